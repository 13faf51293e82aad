//! Controllers: background tasks that synchronise the gateway's state with the object store, the engines and the peers.

mod blame;
mod caches;
mod cold;
mod config;
mod endpoints;
mod eras;
mod evacuations;
mod evict_parts;
mod free_parts;
mod housekeeping;
mod limits;
mod list_watch;
mod peers;
mod shared_view;
mod speeds;
mod streams;
mod weight_orders;
mod weights;

use std::sync::Arc;

pub(crate) use endpoints::record_changes;
pub(crate) use peers::{PeerLink, announce_prompt};
pub(crate) use shared_view::{ReadMode, ViewAnswer, ViewQuestion};
pub(crate) use streams::{
    FoundStream, StreamInquiries, TakeUp, find_stream, report_stream, report_unconfirmed_stream,
};
use tokio::task::JoinSet;

use crate::gateway::Gateway;

/// Starts all controllers. Dropping the returned set stops them.
pub(crate) fn start(gateway: &Arc<Gateway>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(eras::run(gateway.clone()));
    tasks.spawn(config::run_confirmation(gateway.clone()));
    tasks.spawn(list_watch::run(gateway.clone(), config::ConfigHandler));
    tasks.spawn(list_watch::run(gateway.clone(), endpoints::EndpointHandler));
    tasks.spawn(endpoints::reconcile(gateway.clone()));
    tasks.spawn(list_watch::run(gateway.clone(), weights::WeightHandler::default()));
    tasks.spawn(weights::reconcile(gateway.clone()));
    if let Some(bound_ms) = gateway.bounds().evacuation_ms {
        tasks.spawn(list_watch::run(gateway.clone(), evacuations::EvacuationHandler));
        tasks.spawn(evacuations::reconcile(gateway.clone(), bound_ms));
        tasks.spawn(evacuations::check(gateway.clone()));
    }
    tasks.spawn(weight_orders::run(gateway.clone()));
    let addresses = peers::PeerAddresses::default();
    tasks.spawn(peers::register(gateway.clone()));
    tasks.spawn(list_watch::run(gateway.clone(), peers::PeerHandler(addresses.clone())));
    tasks.spawn(peers::exchange(gateway.clone(), addresses));
    tasks.spawn(caches::run(gateway.clone()));
    tasks.spawn(free_parts::run(gateway.clone()));
    tasks.spawn(housekeeping::run(gateway.clone()));
    tasks
}
