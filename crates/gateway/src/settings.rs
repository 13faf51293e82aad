//! The settings that an instance reads when it starts.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, InstanceId, TimeMs};

/// The time limits and retry limits that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The time within which a revoked key must stop working, even on an instance that can't reach the store.
    pub key_revocation_ms: TimeMs,
    /// The time within which a new configuration must be in force.
    pub config_propagation_ms: TimeMs,
    /// The time between the termination signal and the kill.
    pub grace_ms: TimeMs,
    /// The shortest time between the last weight order of one lease holder and the first of the next.
    pub lease_ms: TimeMs,
    /// The time after the publication of weights after which no request may start on older ones.
    pub weights_propagation_ms: TimeMs,
    /// Retries per thousand first attempts, over all instances.
    pub retry_ratio_per_mille: u64,
    /// The window in which retries are counted.
    pub retry_window_ms: TimeMs,
    /// Retries per window that are allowed regardless of the traffic, over all instances.
    pub retry_slack: u64,
    /// True if engines refuse orders with an outdated fencing number.
    pub are_orders_fenced: bool,
}

/// The settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre of this instance.
    pub data_centre: DataCentreId,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for the load balancer's readiness checks and for metrics.
    pub ready_listen: SocketAddr,
    /// The UDP address for messages of other instances.
    pub peer_listen: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// The limits that the deployment sets.
    pub bounds: Bounds,
}
