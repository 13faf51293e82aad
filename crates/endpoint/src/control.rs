//! The control interface of a model engine: weight orders and status reports.
//!
//! An order states the desired state and is idempotent. Its response only acknowledges receipt, so the sender reads a
//! report after every order. See `docs/design/endpoint-orders.md`.

use bilberryford_types::{Fencing, TimeMs, WeightVersion};
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use crate::EndpointError;

/// An order to load and serve a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightOrder {
    /// The version to load.
    pub weight_version: WeightVersion,
    /// The fencing number of the lease under which the order is sent.
    pub fencing: Fencing,
}

/// The weight state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlReport {
    /// The versions that new runs may use, unless `loading` is set.
    pub weight_versions: Vec<WeightVersion>,
    /// The version that is being loaded, if any. The engine accepts no new runs during the load.
    pub loading: Option<WeightVersion>,
    /// The highest fencing number that the engine has seen; `None` if it does not store fencing numbers.
    pub fencing: Option<Fencing>,
}

impl ControlReport {
    /// Returns true if the engine accepts new runs of `version`.
    pub fn serves(&self, version: &WeightVersion) -> bool {
        self.loading.is_none() && self.weight_versions.contains(version)
    }
}

/// The error of a weight order, as far as its sender can tell.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine has seen a greater fencing number, so the sender no longer holds the lease.
    #[error("the engine has seen a greater fencing number")]
    StaleFencing,
    /// The call failed. [`EndpointError::ran`] reports whether the order may still take effect.
    #[error(transparent)]
    Endpoint(#[from] EndpointError),
}

/// The control interface of a model engine.
pub trait EngineControl: Send + Sync {
    /// Sends an order on a new connection.
    ///
    /// # Errors
    ///
    /// [`OrderError::StaleFencing`], only from engines that check fencing numbers; [`OrderError::Endpoint`] if the
    /// call failed.
    fn send_order<'a>(
        &'a self,
        order: &'a WeightOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Reads the engine's current report on a new connection.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn read_report(&self, timeout: TimeMs) -> BoxFuture<'_, Result<ControlReport, EndpointError>>;
}
