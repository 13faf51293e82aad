//! Requests slots of teams from the teams' owners, in batches and before grants run out.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::{SlotGrant, rendezvous_owner};
use bilberryford_peer::GrantRequest;
use bilberryford_types::TimeMs;
use tokio::time::{sleep, timeout};

use crate::{admission::SlotDemand, node::Node};

/// Time between two renewals of grants, in milliseconds; a grant is valid for longer.
const RENEW_MS: u64 = 500;
/// Minimum time between two rounds under high demand, in milliseconds.
const MIN_ROUND_MS: u64 = 50;
/// Deadline of a request for slots, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 300;
/// Maximum number of teams for which one round requests slots; the others use their conservative share.
const MAX_DEMANDS: usize = 32;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let _ =
            timeout(Duration::from_millis(RENEW_MS), node.admission.slots_needed.notified()).await;
        let demands = node.admission.slot_demands(node.member_count(), node.now());
        let requests = demands.iter().take(MAX_DEMANDS).map(|demand| request_slots(&node, demand));
        futures::future::join_all(requests).await;
        sleep(Duration::from_millis(MIN_ROUND_MS)).await;
    }
}

async fn request_slots(node: &Node, demand: &SlotDemand) {
    let peers = node.members.peer_addresses();
    let me = &node.settings.instance;
    let members = peers.iter().map(|(instance, _)| instance).chain([me]);
    let Some(owner) = rendezvous_owner(members, demand.team.as_str().as_bytes()) else { return };
    let request = GrantRequest {
        team: demand.team.clone(),
        requester: me.clone(),
        in_use: demand.in_use,
        wanted: demand.wanted,
    };
    let requested = node.now();
    let address = peers.iter().find(|(instance, _)| instance == owner).map(|(_, address)| *address);
    let reply = match (address, node.peers()) {
        (Some(address), Some(client)) => {
            client.request_slots(address, request, TimeMs(REQUEST_TIMEOUT_MS)).await.ok()
        }
        _ => Some(node.grant_slots(request)),
    };
    // If the owner does not reply, the grant runs out and the conservative share applies.
    if let Some(reply) = reply {
        let grant = SlotGrant { slots: reply.granted, valid_for: reply.valid_for };
        node.admission.record_grant(&demand.team, grant, requested);
    }
}
