//! Follows the platform's list of instances.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_peer::{Member, MemberState};
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::{Generation, Incarnation};
use tokio::time::sleep;

use crate::node::Node;

/// How often the list is read, in milliseconds.
const POLL_MS: u64 = 500;

pub(crate) async fn run(node: Arc<Node>, peer_address: SocketAddr) {
    loop {
        match node.instances.instances().await {
            Ok(records) => take(&node, peer_address, &records),
            Err(error) => log::debug!("the list of instances can't be read: {error}"),
        }
        sleep(Duration::from_millis(POLL_MS)).await;
    }
}

fn take(node: &Node, own: SocketAddr, records: &[InstanceRecord]) {
    node.fleet.replace_endpoints(records);
    records
        .iter()
        .filter(|record| record.role == Role::Entry && record.peer_address != Some(own))
        .filter_map(member)
        .for_each(|member| {
            node.members.observe(member, node.now());
        });
}

/// A member known from the list only; incarnation 0 gives way to the first heartbeat.
fn member(record: &InstanceRecord) -> Option<Member> {
    Some(Member {
        instance: record.id.parse().ok()?,
        incarnation: Incarnation(0),
        address: record.peer_address?,
        data_centre: record.data_centre.clone(),
        state: match record.state {
            InstanceState::Live => MemberState::Alive,
            InstanceState::Leaving => MemberState::Leaving,
        },
        generation: Generation(0),
    })
}
