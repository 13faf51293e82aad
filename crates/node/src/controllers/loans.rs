//! Borrows slots of teams from their owners, in batches and before they run out.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::{SlotGrant, rendezvous_owner};
use bilberryford_peer::Borrow;
use bilberryford_types::TimeMs;
use tokio::time::{sleep, timeout};

use crate::{admission::Need, node::Node};

/// How often loans are renewed, in milliseconds; well before they run out.
const RENEW_MS: u64 = 500;
/// The shortest time between two rounds when demand is high, in milliseconds.
const MIN_ROUND_MS: u64 = 50;
/// The deadline of a question, in milliseconds.
const BORROW_TIMEOUT_MS: u64 = 300;
/// How many teams one round asks for; the others keep their conservative share.
const MAX_NEEDS: usize = 32;

pub(crate) async fn run(node: Arc<Node>) {
    loop {
        let _ = timeout(Duration::from_millis(RENEW_MS), node.admissions.demand.notified()).await;
        let needs = node.admissions.needs(node.member_count(), node.now());
        let questions = needs.iter().take(MAX_NEEDS).map(|need| borrow(&node, need));
        futures::future::join_all(questions).await;
        sleep(Duration::from_millis(MIN_ROUND_MS)).await;
    }
}

async fn borrow(node: &Node, need: &Need) {
    let peers = node.members.addresses();
    let me = &node.settings.instance;
    let members = peers.iter().map(|(instance, _)| instance).chain([me]);
    let Some(owner) = rendezvous_owner(members, need.team.as_str().as_bytes()) else { return };
    let question = Borrow {
        team: need.team.clone(),
        borrower: me.clone(),
        in_use: need.in_use,
        want: need.want,
    };
    let asked = node.now();
    let address = peers.iter().find(|(instance, _)| instance == owner).map(|(_, address)| *address);
    let reply = match (address, node.peers()) {
        (Some(address), Some(client)) => {
            client.borrow(address, question, TimeMs(BORROW_TIMEOUT_MS)).await.ok()
        }
        _ => Some(node.lend(question)),
    };
    // A silent owner leaves the loan to run out, and then the conservative share.
    if let Some(reply) = reply {
        let loan = SlotGrant { slots: reply.granted, valid_for: reply.valid };
        node.admissions.borrowed(&need.team, loan, asked);
    }
}
