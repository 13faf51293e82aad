//! What an instance is told at its start.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, InstanceId, TimeMs};

/// The bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Within which a revoked key must stop working, also on an instance that is cut off.
    pub key_revocation_ms: TimeMs,
    /// Within which a configuration must be in force.
    pub config_propagation_ms: TimeMs,
    /// Between the signal to stop and the kill.
    pub grace_ms: TimeMs,
    /// How long a holder of orders may be silent before another takes over.
    pub lease_ms: TimeMs,
    /// Within which no request may begin on older weights.
    pub weights_propagation_ms: TimeMs,
    /// Repeats for a thousand first sends, over all instances.
    pub retry_ratio_per_mille: u64,
    /// The window in which repeats are counted.
    pub retry_window_ms: TimeMs,
    /// Repeats in a window whatever the traffic, over all instances.
    pub retry_slack: u64,
    /// Whether engines refuse orders with an old fencing number.
    pub are_orders_fenced: bool,
}

/// All settings of the gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// This instance.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the instance is ready, and where metrics are.
    pub ready_listen: SocketAddr,
    /// Where other instances send what they have in flight, over UDP.
    pub peer_listen: SocketAddr,
    /// The path of the balancer's question.
    pub ready_path: &'static str,
    /// The bounds.
    pub bounds: Bounds,
}
