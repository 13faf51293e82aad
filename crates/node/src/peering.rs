//! Exchange with peers: the heartbeats that this instance sends and applies, and the calls of peers that it handles.

use std::{
    net::SocketAddr,
    sync::{Arc, Weak},
};

use bilberryford_coord::{AddressedEndpoint, Liveness, MemberChange, MemberRecord, MemberReport};
use bilberryford_endpoint::EndpointError;
use bilberryford_peer::{
    ConfigReply, EndpointRow, EndpointView, GrantReply, GrantRequest, Heartbeat, Member,
    MemberState, PeerHandler, PlacementQuery, PlacementReply, QuarantineSnapshot, SuspectMessage,
    SuspectReply,
};
use bilberryford_platform::{InstanceRecord, InstanceState};
use bilberryford_types::{EventKind, Generation, InstanceId, RunId, TimeMs, Tokens};

use crate::{fleet::Endpoint, node::Node, quarantine::MAX_GOSSIPED_KEYS};

/// Maximum number of other members in a heartbeat.
const MAX_SAMPLED_MEMBERS: usize = 4;
/// Maximum number of leaving endpoints in a heartbeat.
const MAX_DEPARTURES: usize = 16;
/// Maximum number of busy endpoints in a heartbeat.
const MAX_BUSY_ENDPOINTS: usize = 8;

/// The contents of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeartbeatKind {
    /// The sender, other members, leaving and busy endpoints, and quarantined requests.
    Regular,
    /// The sender, leaving endpoints and quarantined requests only, so that an immediate notification is cheap.
    Urgent,
}

impl Node {
    /// Builds the heartbeat to send now.
    pub(crate) fn heartbeat(&self, address: SocketAddr, kind: HeartbeatKind) -> Heartbeat {
        let now = self.now();
        let (max_sample, max_busy) = match kind {
            HeartbeatKind::Regular => (MAX_SAMPLED_MEMBERS, MAX_BUSY_ENDPOINTS),
            HeartbeatKind::Urgent => (0, 0),
        };
        Heartbeat {
            sent_at: self.events.now(),
            environment: self.settings.environment.clone(),
            sender: self.local_member(address),
            members: self
                .members
                .sample_reports(max_sample, now)
                .into_iter()
                .map(to_member)
                .collect(),
            endpoints: self.endpoint_views(now, max_busy),
            quarantined: self.quarantine.lock().keys_to_announce(MAX_GOSSIPED_KEYS, now),
        }
    }

    fn local_member(&self, address: SocketAddr) -> Member {
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
        let departures = self.members.recent_departures(MAX_DEPARTURES, now);
        let leaving = departures.into_iter().map(|departure| EndpointView {
            endpoint: departure.endpoint,
            address: departure.address,
            is_leaving: true,
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
            is_leaving: false,
            in_flight: endpoint.in_flight(),
            queued_tokens: Tokens(0),
        });
        leaving.chain(busy).collect()
    }

    /// Applies a peer's heartbeat. One of another environment only excludes its sender from the members.
    pub(crate) fn apply_heartbeat(&self, heartbeat: Heartbeat) {
        let sender = &heartbeat.sender.instance;
        let now = self.now();
        if heartbeat.environment != self.settings.environment {
            self.members.expel(sender, now);
            return;
        }
        if *sender == self.settings.instance {
            return;
        }
        self.events.observe(heartbeat.sent_at);
        self.apply_quarantined(&heartbeat.quarantined, None, sender.as_str());
        let reporter = sender.clone();
        let is_leaving = heartbeat.sender.state == MemberState::Leaving;
        let change = self.members.observe_alive(to_record(heartbeat.sender), is_leaving, now);
        self.write_member_change(&reporter, change);
        for member in heartbeat.members {
            let instance = member.instance.clone();
            let change = self.members.apply_report(&reporter, to_report(member), now);
            self.write_member_change(&instance, change);
        }
        for view in heartbeat.endpoints.into_iter().filter(|view| view.is_leaving) {
            let endpoint = AddressedEndpoint { endpoint: view.endpoint, address: view.address };
            self.record_leaving(endpoint, reporter.as_str());
        }
        if !self.members.peers_with_newer(self.generation()).is_empty() {
            self.members.signal_newer_config();
        }
    }

    /// Records that an endpoint is leaving, as `source` reported; peers are notified at once.
    pub(crate) fn record_leaving(&self, leaving: AddressedEndpoint, source: &str) {
        if !self.members.record_departure(leaving.clone(), self.now()) {
            return;
        }
        if let Some(endpoint) = self.fleet.endpoints().get(&leaving.endpoint)
            && endpoint.address == leaving.address
        {
            endpoint.mark_leaving();
        }
        self.events.write(EventKind::Leaving, |event| {
            event.endpoint = Some(leaving.endpoint);
            event.detail = format!("told by {source}");
        });
    }

    /// Observes why a call to an endpoint failed: one that refuses work because it is draining is leaving.
    pub(crate) fn observe_endpoint_error(&self, endpoint: &Endpoint, error: &EndpointError) {
        if *error == EndpointError::Draining {
            self.record_leaving(endpoint.identity(), "itself");
        }
    }

    /// Writes the event of a change in the view of members.
    pub(crate) fn write_member_change(&self, instance: &InstanceId, change: Option<MemberChange>) {
        let kind = match change {
            None => return,
            Some(MemberChange::Joined | MemberChange::Recovered) => EventKind::Joined,
            Some(MemberChange::Leaving) => EventKind::Leaving,
            Some(MemberChange::Failed) => EventKind::Failed,
        };
        self.events.write(kind, |event| event.detail = format!("instance {instance}"));
    }
}

/// Returns the endpoint and address of a row of the list, or `None` if the row has no valid name of an endpoint.
pub(crate) fn addressed_endpoint(record: &InstanceRecord) -> Option<AddressedEndpoint> {
    Some(AddressedEndpoint { endpoint: record.id.parse().ok()?, address: record.address })
}

fn to_record(member: Member) -> MemberRecord {
    MemberRecord {
        instance: member.instance,
        incarnation: member.incarnation,
        address: member.address,
        data_centre: member.data_centre,
        generation: member.generation,
    }
}

fn to_report(member: Member) -> MemberReport {
    let state = match member.state {
        MemberState::Alive => Liveness::Alive,
        MemberState::Suspect => Liveness::Suspect,
        MemberState::Leaving => Liveness::Leaving,
        MemberState::Failed => Liveness::Failed,
    };
    let age = member.age;
    MemberReport { record: to_record(member), state, age }
}

fn to_member(report: MemberReport) -> Member {
    let state = match report.state {
        Liveness::Alive => MemberState::Alive,
        Liveness::Suspect => MemberState::Suspect,
        Liveness::Leaving => MemberState::Leaving,
        Liveness::Failed => MemberState::Failed,
    };
    let MemberRecord { instance, incarnation, address, data_centre, generation } = report.record;
    Member { instance, incarnation, address, data_centre, state, generation, age: report.age }
}

/// Handles the calls of peers on behalf of a node.
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
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let Some(node) = self.node() else { return heartbeat };
        // An urgent heartbeat gets an urgent reply, unless its sender is unknown here and so needs to learn of other
        // members.
        let is_urgent =
            heartbeat.members.is_empty() && node.members.contains(&heartbeat.sender.instance);
        node.apply_heartbeat(heartbeat);
        node.heartbeat(
            self.address,
            if is_urgent { HeartbeatKind::Urgent } else { HeartbeatKind::Regular },
        )
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
            |row: Option<AddressedEndpoint>| row.is_some_and(|row| node.members.has_departed(&row));
        listed
            .iter()
            .filter_map(|record| {
                Some(EndpointRow {
                    endpoint: record.id.parse().ok()?,
                    role: record.role.to_string(),
                    pool: record.pool.clone()?,
                    address: record.address,
                    data_centre: record.data_centre.clone(),
                    is_leaving: record.state == InstanceState::Leaving
                        || has_departed(addressed_endpoint(record)),
                })
            })
            .collect()
    }

    fn quarantine_snapshot(&self) -> QuarantineSnapshot {
        self.node().map(|node| node.quarantine_snapshot()).unwrap_or_default()
    }

    fn apply_suspect(&self, suspect: SuspectMessage) -> SuspectReply {
        self.node().map(|node| node.apply_suspect(&suspect)).unwrap_or_default()
    }

    fn mark_handed_over(&self, run: RunId) {
        if let Some(node) = self.node() {
            node.runs.mark_handed_over(&run);
        }
    }

    fn grant_slots(&self, request: GrantRequest) -> GrantReply {
        self.node().map_or_else(GrantReply::default, |node| node.grant_slots(request))
    }

    fn decide_placement(&self, _request: PlacementQuery) -> Option<PlacementReply> {
        None
    }
}
