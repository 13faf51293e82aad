//! The trait of the platform's list of live and leaving instances.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, PoolName};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// The role of an instance.
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

/// The state of an instance.
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
    /// The instance accepts new work.
    Live,
    /// The instance accepts no new work and will stop soon.
    Leaving,
}

/// A row of the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The instance's name.
    pub id: String,
    /// The instance's role.
    pub role: Role,
    /// The instance's pool; `None` for entry instances and stores.
    #[serde(default)]
    pub pool: Option<PoolName>,
    /// The address for HTTP.
    pub address: SocketAddr,
    /// The address for calls of peers; entry instances only.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// The instance's data centre.
    pub data_centre: DataCentreId,
    /// The instance's state.
    pub state: InstanceState,
}

/// The platform's list of instances. It may be several seconds out of date.
pub trait InstanceList: Send + Sync {
    /// Reads the platform's current list.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except [`PlatformError::Conflict`].
    fn instances(&self) -> BoxFuture<'_, Result<Vec<InstanceRecord>, PlatformError>>;
}
