//! Controllers: tasks that turn observations of the platform, peers and endpoints into views.

mod cache;
mod cache_write_back;
mod config;
mod endpoints;
mod heartbeat;
mod introduction;
mod orders;
mod quarantine;
mod rollout;
mod slot_grants;
mod status;
mod weights;

use std::{net::SocketAddr, sync::Arc};

use tokio::task::JoinSet;

pub(crate) use introduction::fetch_snapshots;
pub(crate) use quarantine::MAX_UNWRITTEN;

use crate::{node::Node, pause};

/// Starts all controllers. They end when the returned set is dropped.
pub(crate) fn start(node: &Arc<Node>, peer_address: SocketAddr) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(cache::run(node.clone()));
    tasks.spawn(cache_write_back::run(node.clone()));
    tasks.spawn(config::run(node.clone()));
    tasks.spawn(endpoints::run(node.clone(), peer_address));
    tasks.spawn(heartbeat::run(node.clone(), peer_address));
    tasks.spawn(status::run(node.clone()));
    tasks.spawn(orders::write_outcomes(node.clone()));
    tasks.spawn(orders::sweep(node.clone()));
    tasks.spawn(quarantine::run(node.clone()));
    tasks.spawn(pause::run(node.clone()));
    tasks.spawn(slot_grants::run(node.clone()));
    tasks.spawn(weights::poll_rollouts(node.clone()));
    tasks.spawn(weights::poll_reports(node.clone()));
    tasks.spawn(rollout::run(node.clone()));
    tasks
}
