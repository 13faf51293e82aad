//! What this instance shares with its peers: the size of the fleet, and the limits that endpoints state.

use std::collections::HashSet;

use bilberryford_coord::SharePlace;
use bilberryford_types::{EndpointId, RequestRate, TimeMs};

use super::Gateway;
use crate::{
    endpoint_limits::{LimitChange, LimitReport, LimitSharers},
    obstacle::Obstacle,
    peer_loads::{EndpointTag, PeerLoads, report_interval_ms},
    placement::Candidate,
};

/// The time after the start of the process in which it learns of its peers, in reports.
const ACQUAINTANCE_REPORTS: u64 = 5;
/// The shortest such time, in milliseconds: the list of peers is read and they are sent a first message.
const MIN_ACQUAINTANCE_MS: u64 = 2_000;

/// The live peers, as of one moment.
pub(super) struct LiveSharers<'a> {
    peers: &'a PeerLoads,
    local: &'a str,
    listed_peers: usize,
    knows_peers: bool,
    now_ms: TimeMs,
}

impl LimitSharers for LiveSharers<'_> {
    fn place(
        &self,
        endpoint: EndpointTag,
        takes_part: &dyn Fn(&str) -> bool,
    ) -> Option<SharePlace> {
        let place = || self.peers.place(self.local, endpoint, takes_part, self.now_ms);
        self.knows_peers.then(place)
    }

    fn listed_instances(&self) -> u64 {
        self.listed_peers as u64 + 1
    }

    fn report_interval_ms(&self) -> TimeMs {
        report_interval_ms(self.listed_peers)
    }
}

impl Gateway {
    /// The number of instances that share what the fleet may use, this one included; none while it does not know the
    /// others. A process that has just started has not had messages from all peers that the store lists.
    pub(crate) fn fleet_size(&self, now_ms: TimeMs) -> Option<u64> {
        let live = self.peers.lock().live_instances(now_ms);
        let listed_peers = *self.listed_peers.lock();
        if self.knows_peers(listed_peers, now_ms) {
            return Some(live);
        }
        listed_peers.map(|peers| live.max(peers as u64 + 1))
    }

    fn knows_peers(&self, listed_peers: Option<usize>, now_ms: TimeMs) -> bool {
        let interval_ms = report_interval_ms(listed_peers.unwrap_or(0)).get();
        let acquaintance_ms = MIN_ACQUAINTANCE_MS.max(ACQUAINTANCE_REPORTS * interval_ms);
        now_ms.since(self.started_ms).get() >= acquaintance_ms
    }

    /// True if this process has just started, and has not had messages from all others.
    pub(crate) fn fleet_is_unknown(&self) -> bool {
        let listed_peers = *self.listed_peers.lock();
        !self.knows_peers(listed_peers, self.clock.now())
    }

    pub(super) fn with_sharers<T>(
        &self,
        now_ms: TimeMs,
        work: impl FnOnce(&LiveSharers<'_>) -> T,
    ) -> T {
        let listed_peers = *self.listed_peers.lock();
        let peers = self.peers.lock();
        work(&LiveSharers {
            peers: &peers,
            local: self.settings.instance.as_str(),
            listed_peers: listed_peers.unwrap_or(0),
            knows_peers: self.knows_peers(listed_peers, now_ms),
            now_ms,
        })
    }

    /// Records whether the response to a request that was sent at `sent_ms` stated a limit.
    pub(crate) fn record_limit(
        &self,
        candidate: &Candidate,
        limit: Option<RequestRate>,
        sent_ms: TimeMs,
    ) {
        let now_ms = self.clock.now();
        if limit.is_none() && self.limits.lock().is_empty() {
            return;
        }
        let change = self.with_sharers(now_ms, |sharers| {
            let endpoint = candidate.incarnation;
            self.limits.lock().record_response(endpoint, limit, sent_ms, sharers, now_ms)
        });
        if change.is_some() {
            self.limits_changed.notify_one();
        }
        self.log_limit_change(Some(&candidate.id), candidate.incarnation, change, "response", None);
    }

    /// Applies a peer's reports on limits.
    pub(crate) fn apply_limit_reports(&self, peer: &str, reports: &[LimitReport]) {
        let now_ms = self.clock.now();
        if self.limits.lock().is_empty() {
            // The task that reports sleeps while there is no limit.
            self.limits_changed.notify_one();
        }
        let changes: Vec<_> = self.with_sharers(now_ms, |sharers| {
            let mut limits = self.limits.lock();
            reports
                .iter()
                .map(|report| limits.apply_report(peer, report, sharers, now_ms))
                .collect()
        });
        for (report, change) in reports.iter().zip(changes) {
            if change.is_some() {
                let id = self.endpoints.lock().id_of(report.endpoint);
                let age_ms = report.statement.map(|statement| statement.age_ms);
                self.log_limit_change(id.as_ref(), report.endpoint, change, peer, age_ms);
            }
        }
    }

    /// Updates this instance's parts of the limits, and returns its reports for the others: all, or those that are not to be
    /// delayed.
    pub(crate) fn refresh_limits(&self, are_all_due: bool) -> Vec<LimitReport> {
        let now_ms = self.clock.now();
        let listed: HashSet<EndpointTag> = self.endpoints.lock().tags().collect();
        let over = self.with_sharers(now_ms, |sharers| {
            self.limits.lock().refresh(sharers, |endpoint| listed.contains(&endpoint), now_ms)
        });
        for endpoint in over {
            let id = self.endpoints.lock().id_of(endpoint);
            log::info!(
                target: "belief", endpoint = id.as_ref().map_or("", |id| id.as_str());
                "endpoint's limit is over"
            );
        }
        self.limits.lock().take_reports(are_all_due, now_ms)
    }

    /// Takes one request of this instance's parts of all limits of an endpoint: the one that its incarnation states, and
    /// the one that holds while it is cold. Returns the limit that does not allow it as the obstacle.
    pub(super) fn limit_obstacle(
        &self,
        id: &EndpointId,
        incarnation: EndpointTag,
        now_ms: TimeMs,
    ) -> Option<Obstacle> {
        let mut limits = self.limits.lock();
        if limits.is_empty() {
            return None;
        }
        let endpoint = EndpointTag::of_endpoint(id.as_str());
        let until_ms = limits.next_ms_of(id, incarnation, now_ms);
        let is_taken = until_ms <= now_ms
            && limits.try_take(incarnation, now_ms)
            && limits.try_take(endpoint, now_ms);
        (!is_taken).then_some(Obstacle::Limited { until_ms })
    }

    fn log_limit_change(
        &self,
        id: Option<&EndpointId>,
        endpoint: EndpointTag,
        change: Option<LimitChange>,
        source: &str,
        age_ms: Option<TimeMs>,
    ) {
        let Some(change) = change else { return };
        let id = id.map_or("", |id| id.as_str());
        let own_part = self.limits.lock().own_part(endpoint).unwrap_or_default();
        match change {
            LimitChange::Stated(limit) => log::info!(
                target: "belief", endpoint = id, limit:% = limit, own_part:% = own_part,
                source = source, age_ms = age_ms.unwrap_or_default().get();
                "endpoint states a limit"
            ),
            LimitChange::Ended => log::info!(
                target: "belief", endpoint = id, own_part:% = own_part, source = source;
                "endpoint states no limit any more"
            ),
        }
    }
}
