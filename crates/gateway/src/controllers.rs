//! The controllers: tasks that keep the gateway's state in step with the store and the engines.

mod caches;
mod config;
mod endpoints;
mod follow;
mod free_parts;
mod housekeeping;
mod peers;
mod weight_orders;
mod weights;

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::gateway::Gateway;

/// Starts all controllers; they end when the set is dropped.
pub(crate) fn start(gateway: &Arc<Gateway>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(config::confirm(gateway.clone()));
    tasks.spawn(follow::follow(gateway.clone(), config::ConfigSink));
    tasks.spawn(follow::follow(gateway.clone(), endpoints::EndpointSink));
    tasks.spawn(follow::follow(gateway.clone(), weights::WeightSink));
    tasks.spawn(weight_orders::run(gateway.clone()));
    let addresses = peers::PeerAddresses::default();
    tasks.spawn(peers::register(gateway.clone()));
    tasks.spawn(follow::follow(gateway.clone(), peers::PeerSink(addresses.clone())));
    tasks.spawn(peers::exchange(gateway.clone(), addresses));
    tasks.spawn(caches::run(gateway.clone()));
    tasks.spawn(free_parts::run(gateway.clone()));
    tasks.spawn(housekeeping::run(gateway.clone()));
    tasks
}
