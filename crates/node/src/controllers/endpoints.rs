//! Follows the platform's list of instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::MemberRecord;
use bilberryford_peer::EndpointRow;
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::{Generation, Incarnation, TimeMs};
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::introduction::introduce;
use crate::{node::Node, peering::endpoint_at};

/// The least time between two readings of the list, in milliseconds.
const MIN_POLL_MS: u64 = 500;
/// How much longer it is for each instance, so that all together read it no more often than a few can.
const POLL_MS_PER_MEMBER: u64 = 25;

/// The deadline of a peer's answer.
const PEER_TIMEOUT: TimeMs = TimeMs(1_000);
/// How many peers are asked at a time.
const MAX_ASKED: usize = 2;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    loop {
        match node.instances.instances().await {
            Ok(records) => take_first(&node, peer_address, &records).await,
            Err(error) => {
                log::debug!("the list of instances can't be read: {error}");
                if node.fleet.endpoints().len() == 0 {
                    from_peers(&node, peer_address).await;
                }
            }
        }
        let members = u64::try_from(node.members.count()).unwrap_or(u64::MAX);
        let period_ms = MIN_POLL_MS.max(members.saturating_mul(POLL_MS_PER_MEMBER));
        sleep(Duration::from_millis(period_ms).mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// # Invariant
///
/// While no endpoint is known, nothing can run here. So the first ones are taken in only after the peers know this
/// instance and it knows what they suspect.
async fn take_first(node: &Arc<Node>, own: SocketAddr, records: &[InstanceRecord]) {
    if node.fleet.endpoints().len() == 0 && records.iter().any(|record| record.pool.is_some()) {
        take_members(node, own, records);
        introduce(node, own).await;
    }
    take(node, own, records);
}

fn take(node: &Node, own: SocketAddr, records: &[InstanceRecord]) {
    let endpoints = records.iter().filter(|record| record.pool.is_some());
    let rows = endpoints.clone().filter_map(endpoint_at);
    let gone = node.members.read_list(rows, node.now());
    endpoints
        .filter(|record| record.state == InstanceState::Leaving)
        .filter_map(endpoint_at)
        .for_each(|at| node.note_leaving(at, "the list"));
    node.fleet.replace_endpoints(records, &gone, |at| node.members.has_departed(at));
    if let Some(in_force) = node.in_force() {
        node.stores.replace(&in_force.document, records);
    }
    take_members(node, own, records);
}

fn take_members(node: &Node, own: SocketAddr, records: &[InstanceRecord]) {
    records
        .iter()
        .filter(|record| record.role == Role::Entry && record.peer_address != Some(own))
        .filter_map(|record| Some((member(record)?, record.state)))
        .for_each(|(member, state)| {
            node.members.list(member, state == InstanceState::Leaving, node.now());
        });
}

/// Asks a few peers for the endpoints; used when there is neither a list nor an earlier reading.
async fn from_peers(node: &Arc<Node>, own: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    let addresses = node.members.peer_addresses();
    let chosen: Vec<_> = addresses.sample(&mut rand::rng(), MAX_ASKED).collect();
    for (_, address) in chosen {
        let rows = peers.endpoints(*address, PEER_TIMEOUT).await.unwrap_or_default();
        let records: Vec<_> = rows.into_iter().filter_map(listed).collect();
        if !records.is_empty() {
            take_first(node, own, &records).await;
            return;
        }
    }
}

fn listed(row: EndpointRow) -> Option<InstanceRecord> {
    Some(InstanceRecord {
        id: row.endpoint.to_string(),
        role: row.role.parse().ok()?,
        pool: Some(row.pool),
        address: row.address,
        peer_address: None,
        data_centre: row.data_centre,
        state: if row.leaving { InstanceState::Leaving } else { InstanceState::Live },
    })
}

/// A member known from the list only; incarnation 0 gives way to the first heartbeat.
fn member(record: &InstanceRecord) -> Option<MemberRecord> {
    Some(MemberRecord {
        instance: record.id.parse().ok()?,
        incarnation: Incarnation(0),
        address: record.peer_address?,
        data_centre: record.data_centre.clone(),
        generation: Generation(0),
    })
}
