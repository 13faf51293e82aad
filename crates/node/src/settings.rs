//! What an instance is told at start.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, EnvironmentName, InstanceId, TimeMs};

/// Settings of one instance; the command line fills and checks them.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// The environment that it serves.
    pub environment: EnvironmentName,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// Where peers may be found besides the platform's list.
    pub peers: Vec<SocketAddr>,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The deadline of a call to the platform.
    pub platform_timeout: TimeMs,
    /// The key under which run ids are signed; the same on all instances of a deployment.
    pub run_key: String,
    /// The largest request body in bytes.
    pub max_body_bytes: usize,
    /// The longest deadline that a caller may ask for.
    pub max_deadline: TimeMs,
    /// The most requests in flight in this instance.
    pub max_in_flight: u32,
    /// How long to stay up and not ready before connections are refused, so that the balancer notices.
    pub drain_delay: TimeMs,
    /// The longest wait for running requests at shutdown.
    pub drain_limit: TimeMs,
    /// How long a run goes on that nobody reads, before it is cancelled.
    pub pick_up_limit: TimeMs,
    /// How long after its intent was written an order may be dispatched.
    pub order_dispatch: TimeMs,
    /// How long the record of an order is kept.
    pub order_retention: TimeMs,
    /// How many threads serve requests.
    pub worker_threads: usize,
}
