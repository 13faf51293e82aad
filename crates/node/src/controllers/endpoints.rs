//! Polls the platform's list of instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::MemberRecord;
use bilberryford_peer::EndpointRow;
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::{Generation, Incarnation, TimeMs};
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::introduction::introduce;
use crate::{node::Node, peering::addressed_endpoint};

/// Minimum time between two readings of the list, in milliseconds.
const MIN_POLL_MS: u64 = 500;
/// Time between two readings per serving instance, which bounds the total rate of readings, in milliseconds.
const POLL_MS_PER_MEMBER: u64 = 25;
/// Deadline of a peer's reply.
const PEER_TIMEOUT: TimeMs = TimeMs(1_000);
/// Maximum number of peers that are asked for endpoints in one attempt.
const MAX_PEERS_ASKED: usize = 2;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    loop {
        match node.instances.instances().await {
            Ok(records) => apply_list(&node, peer_address, &records).await,
            Err(error) => {
                log::debug!("the list of instances can't be read: {error}");
                if node.fleet.endpoints().len() == 0 {
                    fetch_from_peers(&node, peer_address).await;
                }
            }
        }
        let members = u64::try_from(node.members.count()).unwrap_or(u64::MAX);
        let period_ms = MIN_POLL_MS.max(members.saturating_mul(POLL_MS_PER_MEMBER));
        sleep(Duration::from_millis(period_ms).mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Applies a reading of the list.
///
/// # Invariant
///
/// While no endpoint is known, nothing can run here. So the first endpoints are applied only after the peers know this
/// instance, and it knows the requests that they suspect or have in quarantine.
async fn apply_list(node: &Arc<Node>, local_address: SocketAddr, records: &[InstanceRecord]) {
    if node.fleet.endpoints().len() == 0 && records.iter().any(|record| record.pool.is_some()) {
        apply_members(node, local_address, records);
        introduce(node, local_address).await;
    }
    apply_rows(node, local_address, records);
}

fn apply_rows(node: &Node, local_address: SocketAddr, records: &[InstanceRecord]) {
    let endpoints = records.iter().filter(|record| record.pool.is_some());
    let rows = endpoints.clone().filter_map(addressed_endpoint);
    let gone = node.members.apply_list(rows, node.now());
    endpoints
        .filter(|record| record.state == InstanceState::Leaving)
        .filter_map(addressed_endpoint)
        .for_each(|endpoint| node.record_leaving(endpoint, "the list"));
    node.fleet.replace_endpoints(records, &gone, |row| node.members.has_departed(row));
    if let Some(in_force) = node.in_force() {
        node.stores.replace(&in_force.document, records);
    }
    apply_members(node, local_address, records);
}

fn apply_members(node: &Node, local_address: SocketAddr, records: &[InstanceRecord]) {
    records
        .iter()
        .filter(|record| record.role == Role::Entry && record.peer_address != Some(local_address))
        .filter_map(|record| Some((to_member(record)?, record.state)))
        .for_each(|(member, state)| {
            node.members.apply_listed(member, state == InstanceState::Leaving, node.now());
        });
}

/// Fetches the endpoints from a few peers; used when the list can't be read and no endpoint is known.
async fn fetch_from_peers(node: &Arc<Node>, local_address: SocketAddr) {
    let Some(peers) = node.peers() else { return };
    let addresses = node.members.peer_addresses();
    let chosen: Vec<_> = addresses.sample(&mut rand::rng(), MAX_PEERS_ASKED).collect();
    for (_, address) in chosen {
        let rows = peers.endpoints(*address, PEER_TIMEOUT).await.unwrap_or_default();
        let records: Vec<_> = rows.into_iter().filter_map(to_record).collect();
        if !records.is_empty() {
            apply_list(node, local_address, &records).await;
            return;
        }
    }
}

fn to_record(row: EndpointRow) -> Option<InstanceRecord> {
    Some(InstanceRecord {
        id: row.endpoint.to_string(),
        role: row.role.parse().ok()?,
        pool: Some(row.pool),
        address: row.address,
        peer_address: None,
        data_centre: row.data_centre,
        state: if row.is_leaving { InstanceState::Leaving } else { InstanceState::Live },
    })
}

/// Returns a member as the list shows it; its first heartbeat supersedes incarnation 0.
fn to_member(record: &InstanceRecord) -> Option<MemberRecord> {
    Some(MemberRecord {
        instance: record.id.parse().ok()?,
        incarnation: Incarnation(0),
        address: record.peer_address?,
        data_centre: record.data_centre.clone(),
        generation: Generation(0),
    })
}
