//! The platform's list of live and leaving instances.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, PoolName};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// What an instance on the list is.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// An entry instance of bilberryford.
    Entry,
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
    /// A store of cache blocks.
    Store,
}

/// Whether an instance on the list takes new work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It does.
    Live,
    /// It does not, and will be gone soon.
    Leaving,
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance's name.
    pub id: String,
    /// What it is.
    pub role: Role,
    /// The pool that it belongs to; none for entry instances and stores.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// Where it takes HTTP.
    pub address: SocketAddr,
    /// Where an entry instance takes calls of its peers.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub state: InstanceState,
}

/// The platform's list of instances, which lags by seconds.
pub trait InstanceList: Send + Sync {
    /// The list as the platform has it now.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    fn instances(&self) -> BoxFuture<'_, Result<Vec<InstanceRecord>, PlatformError>>;
}
