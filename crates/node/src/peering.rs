//! The instance among its peers: what it tells them, and what it makes of what they tell.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
};

use bilberryford_coord::{AddressedEndpoint, Liveness, MemberChange, MemberRecord, MemberReport};
use bilberryford_endpoint::EndpointError;
use bilberryford_peer::{
    Borrow, BorrowReply, ConfigReply, EndpointRow, EndpointView, Heartbeat, Member, MemberState,
    PeerHandler, PlaceReply, PlaceRequest, Standings, Suspect, SuspectReply,
};
use bilberryford_platform::{InstanceRecord, InstanceState};
use bilberryford_types::{EventKind, Generation, InstanceId, RunId, TimeMs, Tokens};

use crate::{fleet::Endpoint, node::Node, quarantine::GOSSIP_LIMIT};

/// How many other members a heartbeat speaks of.
const MAX_SAMPLE: usize = 4;
/// How many leaving endpoints a heartbeat speaks of.
const MAX_DEPARTURES: usize = 16;
/// How many busy endpoints a heartbeat speaks of.
const MAX_BUSY: usize = 8;

/// How much a heartbeat tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BeatKind {
    /// The sender, other members and endpoints.
    Regular,
    /// The sender, leaving endpoints and quarantined requests only, so that news told at once costs little.
    News,
}

impl Node {
    /// The heartbeat to send now.
    pub(crate) fn beat(&self, address: SocketAddr, kind: BeatKind) -> Heartbeat {
        let now = self.now();
        let (max_sample, max_busy) = match kind {
            BeatKind::Regular => (MAX_SAMPLE, MAX_BUSY),
            BeatKind::News => (0, 0),
        };
        Heartbeat {
            at: self.events.now(),
            environment: self.settings.environment.clone(),
            sender: self.own_member(address),
            members: self.members.sample(max_sample, now).into_iter().map(member).collect(),
            endpoints: self.endpoint_views(now, max_busy),
            quarantined: self.quarantine.lock().keys_to_announce(GOSSIP_LIMIT, now),
        }
    }

    fn own_member(&self, address: SocketAddr) -> Member {
        Member {
            instance: self.settings.instance.clone(),
            incarnation: self.incarnation,
            address,
            data_centre: self.settings.data_centre.clone(),
            state: if self.is_leaving() { MemberState::Leaving } else { MemberState::Alive },
            generation: self.generation(),
            age: TimeMs(0),
        }
    }

    fn endpoint_views(&self, now: TimeMs, max_busy: usize) -> Vec<EndpointView> {
        let departures = self.members.departures(MAX_DEPARTURES, now);
        let leaving = departures.into_iter().map(|at| EndpointView {
            endpoint: at.endpoint,
            address: at.address,
            leaving: true,
            in_flight: 0,
            queued_tokens: Tokens(0),
        });
        let table = self.fleet.endpoints();
        let mut busy: Vec<_> = table
            .all()
            .filter(|endpoint| !endpoint.is_leaving() && endpoint.in_flight() > 0)
            .collect();
        busy.sort_by_key(|endpoint| std::cmp::Reverse(endpoint.in_flight()));
        let busy = busy.into_iter().take(max_busy).map(|endpoint| EndpointView {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            leaving: false,
            in_flight: endpoint.in_flight(),
            queued_tokens: Tokens(0),
        });
        leaving.chain(busy).collect()
    }

    /// Takes a peer's heartbeat in; one of another environment only shows that the sender is no peer.
    pub(crate) fn take_beat(&self, beat: Heartbeat) {
        let sender = &beat.sender.instance;
        let now = self.now();
        if beat.environment != self.settings.environment {
            self.members.expel(sender, now);
            return;
        }
        if *sender == self.settings.instance {
            return;
        }
        self.events.observe(beat.at);
        self.take_quarantined(&beat.quarantined, None, sender.as_str());
        let teller = sender.clone();
        let is_leaving = beat.sender.state == MemberState::Leaving;
        let change = self.members.hear(record(beat.sender), is_leaving, now);
        self.note_change(&teller, change);
        for told in beat.members {
            let instance = told.instance.clone();
            let change = self.members.learn(&teller, observation(told), now);
            self.note_change(&instance, change);
        }
        for view in beat.endpoints.into_iter().filter(|view| view.leaving) {
            let at = AddressedEndpoint { endpoint: view.endpoint, address: view.address };
            self.note_leaving(at, teller.as_str());
        }
        if !self.members.with_newer(self.generation()).is_empty() {
            self.members.note_newer();
        }
    }

    /// Takes in that an endpoint is leaving, whoever saw it; peers are told at once.
    pub(crate) fn note_leaving(&self, at: AddressedEndpoint, source: &str) {
        if !self.members.depart(at.clone(), self.now()) {
            return;
        }
        if let Some(endpoint) = self.fleet.endpoints().get(&at.endpoint)
            && endpoint.address == at.address
        {
            endpoint.mark_leaving();
        }
        self.events.write(EventKind::Leaving, |event| {
            event.endpoint = Some(at.endpoint);
            event.detail = format!("told by {source}");
        });
    }

    /// Takes in why a call of an endpoint failed.
    pub(crate) fn note_error(&self, endpoint: &Endpoint, error: &EndpointError) {
        if *error == EndpointError::Draining {
            self.note_leaving(endpoint.at(), "itself");
        }
    }

    /// Writes the event of a change in the view of members.
    pub(crate) fn note_change(&self, instance: &InstanceId, change: Option<MemberChange>) {
        let kind = match change {
            None => return,
            Some(MemberChange::Joined | MemberChange::Recovered) => EventKind::Joined,
            Some(MemberChange::Leaving) => EventKind::Leaving,
            Some(MemberChange::Failed) => EventKind::Failed,
        };
        self.events.write(kind, |event| event.detail = format!("instance {instance}"));
    }
}

/// An endpoint's row of the list as an endpoint at an address.
pub(crate) fn endpoint_at(record: &InstanceRecord) -> Option<AddressedEndpoint> {
    Some(AddressedEndpoint { endpoint: record.id.parse().ok()?, address: record.address })
}

fn record(member: Member) -> MemberRecord {
    MemberRecord {
        instance: member.instance,
        incarnation: member.incarnation,
        address: member.address,
        data_centre: member.data_centre,
        generation: member.generation,
    }
}

fn observation(member: Member) -> MemberReport {
    let state = match member.state {
        MemberState::Alive => Liveness::Alive,
        MemberState::Suspect => Liveness::Suspect,
        MemberState::Leaving => Liveness::Leaving,
        MemberState::Failed => Liveness::Failed,
    };
    let age = member.age;
    MemberReport { record: record(member), state, age }
}

fn member(told: MemberReport) -> Member {
    let state = match told.state {
        Liveness::Alive => MemberState::Alive,
        Liveness::Suspect => MemberState::Suspect,
        Liveness::Leaving => MemberState::Leaving,
        Liveness::Failed => MemberState::Failed,
    };
    let MemberRecord { instance, incarnation, address, data_centre, generation } = told.record;
    Member { instance, incarnation, address, data_centre, state, generation, age: told.age }
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
        // News is answered in kind; a sender that is new here wants to know the others.
        let is_news = beat.members.is_empty() && node.members.knows(&beat.sender.instance);
        node.take_beat(beat);
        node.beat(self.address, if is_news { BeatKind::News } else { BeatKind::Regular })
    }

    fn configuration(&self, above: Generation) -> Option<ConfigReply> {
        let in_force = self.node()?.in_force()?;
        (in_force.generation > above).then(|| ConfigReply {
            generation: in_force.generation,
            version: in_force.version,
            body: serde_json::to_vec(&in_force.object).unwrap_or_default(),
        })
    }

    fn endpoints(&self) -> Vec<EndpointRow> {
        let Some(node) = self.node() else { return Vec::new() };
        let listed = node.fleet.listed();
        let has_departed =
            |at: Option<AddressedEndpoint>| at.is_some_and(|at| node.members.has_departed(&at));
        listed
            .iter()
            .filter_map(|record| {
                Some(EndpointRow {
                    endpoint: record.id.parse().ok()?,
                    role: record.role.to_string(),
                    pool: record.pool.clone()?,
                    address: record.address,
                    data_centre: record.data_centre.clone(),
                    leaving: record.state == InstanceState::Leaving
                        || has_departed(endpoint_at(record)),
                })
            })
            .collect()
    }

    fn standings(&self) -> Standings {
        self.node().map(|node| node.standings()).unwrap_or_default()
    }

    fn suspect(&self, suspect: Suspect) -> SuspectReply {
        self.node().map(|node| node.take_suspect(&suspect)).unwrap_or_default()
    }

    fn picked_up(&self, run: RunId) {
        if let Some(node) = self.node() {
            node.runs.mark_handed_over(&run);
        }
    }

    fn borrow(&self, borrow: Borrow) -> BorrowReply {
        self.node().map_or_else(BorrowReply::default, |node| node.lend(borrow))
    }

    fn place(&self, _request: PlaceRequest) -> Option<PlaceReply> {
        None
    }
}
