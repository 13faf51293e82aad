//! Orders to a model engine, and what it reports of itself.
//!
//! An order states the wished state; sending it again changes nothing. Its answer says only that it arrived, so every
//! order is followed by a read. See `docs/design/endpoint-orders.md`.

use bilberryford_types::{Fencing, TimeMs, WeightVersion};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::EndpointError;

/// The wish that an engine serves a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightOrder {
    /// The version to load.
    pub weight_version: WeightVersion,
    /// The fencing number of the lease under which the order is sent.
    pub fencing: Fencing,
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlReport {
    /// The versions that new runs may use.
    pub weight_versions: Vec<WeightVersion>,
    /// The version that is being loaded; the engine takes no new runs meanwhile.
    pub loading: Option<WeightVersion>,
    /// The highest fencing number seen, where the engine keeps it.
    pub fencing: Option<Fencing>,
}

impl ControlReport {
    /// Whether a new run may use `version` now.
    pub fn serves(&self, version: &WeightVersion) -> bool {
        self.loading.is_none() && self.weight_versions.contains(version)
    }
}

/// Why an order was not taken, as far as its sender can tell.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a greater fencing number; the sender is no longer the holder.
    #[error("the engine has seen a greater fencing number")]
    StaleFencing,
    /// The call failed; [`EndpointError::ran`] says whether the order may still take effect.
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
}

/// The control side of a model engine.
pub trait EngineControl: Send + Sync {
    /// Sends an order on a connection of its own.
    ///
    /// # Errors
    ///
    /// [`OrderError::StaleFencing`] only from engines that check numbers.
    fn send_order<'a>(
        &'a self,
        order: &'a WeightOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Reads what the engine reports now, on a connection of its own.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn read_report(&self, timeout: TimeMs) -> BoxFuture<'_, Result<ControlReport, EndpointError>>;
}
