//! The settings of an instance.

use std::net::SocketAddr;

use bilberryford_types::{DataCentreId, EnvironmentName, InstanceId, TimeMs};

/// Settings of one instance; the command line fills them in and validates them.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// The environment that it serves.
    pub environment: EnvironmentName,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that peers connect to.
    pub peer_listen: SocketAddr,
    /// Addresses of peers besides those in the platform's list.
    pub peers: Vec<SocketAddr>,
    /// The base URL of the platform.
    pub platform_url: String,
    /// The time limit for a call to the platform.
    pub platform_timeout: TimeMs,
    /// The key that signs run ids; the same on all instances of a deployment.
    pub run_key: String,
    /// The largest request body in bytes.
    pub max_body_bytes: usize,
    /// The longest deadline that a caller may request.
    pub max_deadline: TimeMs,
    /// The most requests in flight in this instance.
    pub max_in_flight: u32,
    /// How long a stopping instance reports not ready before it refuses connections, so that the load balancer notices.
    pub drain_delay: TimeMs,
    /// The longest wait for requests in flight at shutdown.
    pub drain_limit: TimeMs,
    /// How long a run without a reader continues before it is cancelled.
    pub pick_up_limit: TimeMs,
    /// How long after the write of its intent an order may be dispatched.
    pub order_dispatch: TimeMs,
    /// How long the record of an order is retained.
    pub order_retention: TimeMs,
    /// The number of threads that serve requests.
    pub worker_threads: usize,
}

impl NodeSettings {
    /// Settings with the command line's defaults for all that is not given here, listening on free ports of the
    /// loopback interface.
    pub fn new(
        instance: InstanceId,
        data_centre: DataCentreId,
        environment: EnvironmentName,
        platform_url: String,
        run_key: String,
    ) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            instance,
            data_centre,
            environment,
            listen: loopback,
            peer_listen: loopback,
            peers: Vec::new(),
            platform_url,
            platform_timeout: TimeMs(1_000),
            run_key,
            max_body_bytes: 4 * 1024 * 1024,
            max_deadline: TimeMs(600_000),
            max_in_flight: 4_096,
            drain_delay: TimeMs(3_000),
            drain_limit: TimeMs(600_000),
            pick_up_limit: TimeMs(30_000),
            order_dispatch: TimeMs(5_000),
            order_retention: TimeMs(86_400_000),
            worker_threads: 4,
        }
    }
}
