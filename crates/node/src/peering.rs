//! The instance among its peers: the view of members, and answers to peers' calls.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Weak},
};

use bilberryford_peer::{
    Borrow, BorrowReply, ConfigReply, EndpointView, Heartbeat, Member, MemberState, PeerHandler,
    PlaceReply, PlaceRequest, Suspect, SuspectReply,
};
use bilberryford_types::{EventKind, Generation, InstanceId, RunId, TimeMs, Tokens};
use parking_lot::RwLock;

use crate::node::Node;

/// The most members that are kept.
const MAX_MEMBERS: usize = 1_024;
/// The most endpoints that a heartbeat speaks of.
const MAX_ENDPOINT_VIEWS: usize = 256;

/// A member with the time at which it was last heard of.
#[derive(Debug, Clone)]
struct Seen {
    member: Member,
    at: TimeMs,
}

/// The view of peers.
#[derive(Debug, Default)]
pub(crate) struct Members {
    seen: RwLock<HashMap<InstanceId, Seen>>,
}

impl Members {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Takes a member in; a lower incarnation never speaks for a higher one. Answers whether it is new.
    pub(crate) fn observe(&self, member: Member, now: TimeMs) -> bool {
        let mut seen = self.seen.write();
        let known = seen.get(&member.instance);
        if known.is_some_and(|known| known.member.incarnation > member.incarnation) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.member.incarnation < member.incarnation);
        if known.is_none() && seen.len() >= MAX_MEMBERS {
            return false;
        }
        seen.insert(member.instance.clone(), Seen { member, at: now });
        is_new
    }

    /// Where peers can be called.
    pub(crate) fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        self.seen
            .read()
            .values()
            .map(|seen| (seen.member.instance.clone(), seen.member.address))
            .collect()
    }

    /// Forgets members that were not heard of for `span`.
    pub(crate) fn expire(&self, now: TimeMs, span: TimeMs) {
        self.seen.write().retain(|_, seen| now.since(seen.at) < span);
    }
}

impl Node {
    /// The heartbeat to send now.
    pub(crate) fn beat(&self, address: SocketAddr) -> Heartbeat {
        let state = if self.is_leaving() { MemberState::Leaving } else { MemberState::Alive };
        let endpoints = self
            .fleet
            .endpoints()
            .all()
            .filter(|endpoint| endpoint.is_leaving() || endpoint.in_flight() > 0)
            .take(MAX_ENDPOINT_VIEWS)
            .map(|endpoint| EndpointView {
                endpoint: endpoint.id.clone(),
                leaving: endpoint.is_leaving(),
                in_flight: endpoint.in_flight(),
                queued_tokens: Tokens(0),
            })
            .collect();
        Heartbeat {
            at: self.events.now(),
            sender: Member {
                instance: self.settings.instance.clone(),
                incarnation: self.incarnation,
                address,
                data_centre: self.settings.data_centre.clone(),
                state,
                generation: self.in_force().map_or(Generation(0), |in_force| in_force.generation),
            },
            members: Vec::new(),
            endpoints,
            quarantined: Vec::new(),
        }
    }

    /// Takes a peer's heartbeat in.
    pub(crate) fn take_beat(&self, beat: &Heartbeat) {
        self.events.observe(beat.at);
        if beat.sender.instance != self.settings.instance
            && self.members.observe(beat.sender.clone(), self.now())
        {
            self.events
                .write(EventKind::Joined, |event| event.detail = beat.sender.instance.to_string());
        }
        let table = self.fleet.endpoints();
        for view in beat.endpoints.iter().filter(|view| view.leaving) {
            if table.get(&view.endpoint).is_some_and(|endpoint| endpoint.mark_leaving()) {
                self.events.write(EventKind::Leaving, |event| {
                    event.endpoint = Some(view.endpoint.clone())
                });
            }
        }
    }
}

/// Answers peers on behalf of a node.
pub(crate) struct Handler {
    pub(crate) node: Weak<Node>,
    pub(crate) address: SocketAddr,
}

impl Handler {
    fn node(&self) -> Option<Arc<Node>> {
        self.node.upgrade()
    }
}

impl PeerHandler for Handler {
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat {
        let Some(node) = self.node() else { return beat };
        node.take_beat(&beat);
        node.beat(self.address)
    }

    fn configuration(&self, above: Generation) -> Option<ConfigReply> {
        let in_force = self.node()?.in_force()?;
        (in_force.generation > above).then(|| ConfigReply {
            generation: in_force.generation,
            version: in_force.version,
            body: serde_json::to_vec(&in_force.object).unwrap_or_default(),
        })
    }

    fn suspect(&self, _suspect: Suspect) -> SuspectReply {
        SuspectReply::default()
    }

    fn picked_up(&self, run: RunId) {
        if let Some(node) = self.node() {
            node.runs.hand_over(&run);
        }
    }

    fn borrow(&self, _borrow: Borrow) -> BorrowReply {
        BorrowReply::default()
    }

    fn place(&self, _request: PlaceRequest) -> Option<PlaceReply> {
        None
    }
}
