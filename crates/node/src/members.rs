//! Views of the members and of the endpoints that are leaving; see `docs/design/membership.md`.
//!
//! The rules are those of `bilberryford_coord`; this module adds a random generator, and a lock that is held for one
//! step at a time.

use std::{collections::BTreeSet, net::SocketAddr};

use bilberryford_coord::{
    AddressedEndpoint, Departures, EndpointListing, Liveness, MemberChange, MemberRecord,
    MemberReport, Membership, rendezvous_owners,
};
use bilberryford_types::{Generation, InstanceId, TimeMs};
use parking_lot::Mutex;
use rand::seq::SliceRandom;
use tokio::sync::Notify;

#[derive(Debug)]
struct Views {
    membership: Membership,
    departures: Departures,
    listing: EndpointListing,
}

/// The views, and the signals that peers are to be notified and that a peer has a newer configuration.
#[derive(Debug)]
pub(crate) struct Members {
    local: InstanceId,
    views: Mutex<Views>,
    urgent: Notify,
    newer_config: Notify,
}

impl Members {
    pub(crate) fn new(local: InstanceId) -> Self {
        let views = Views {
            membership: Membership::new(local.clone()),
            departures: Departures::default(),
            listing: EndpointListing::default(),
        };
        Self { local, views: Mutex::new(views), urgent: Notify::new(), newer_config: Notify::new() }
    }

    /// Applies what a member reported of itself just now.
    pub(crate) fn observe_alive(
        &self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        self.views.lock().membership.observe_alive(record, leaving, now)
    }

    /// Applies what a member reported of another one.
    pub(crate) fn apply_report(
        &self,
        reporter: &InstanceId,
        report: MemberReport,
        now: TimeMs,
    ) -> Option<MemberChange> {
        self.views.lock().membership.apply_report(reporter, report, now)
    }

    /// Applies a row of the platform's list.
    pub(crate) fn apply_listed(&self, record: MemberRecord, leaving: bool, now: TimeMs) {
        self.views.lock().membership.apply_listed(record, leaving, now);
    }

    /// Records that a call to a peer failed.
    pub(crate) fn probe_failed(&self, instance: &InstanceId, now: TimeMs) -> Option<MemberChange> {
        self.views.lock().membership.record_probe_failure(instance, now)
    }

    /// Excludes an instance that serves another environment.
    pub(crate) fn expel(&self, instance: &InstanceId, now: TimeMs) {
        self.views.lock().membership.expel(instance, now);
    }

    /// Removes expired entries.
    pub(crate) fn tick(&self, now: TimeMs) {
        let mut views = self.views.lock();
        views.membership.tick(now);
        views.departures.tick(now);
    }

    /// Returns the peers to send heartbeats to: up to `count` random ones, and those that need a probe.
    pub(crate) fn heartbeat_targets(&self, count: usize) -> Vec<(InstanceId, SocketAddr)> {
        self.views.lock().membership.probe_targets(count, &mut rand::rng())
    }

    /// Returns up to `count` reports of other members for a heartbeat.
    pub(crate) fn sample_reports(&self, count: usize, now: TimeMs) -> Vec<MemberReport> {
        self.views.lock().membership.sample_reports(count, now, &mut rand::rng())
    }

    /// Returns the addresses of the peers that are neither failed nor leaving.
    pub(crate) fn peer_addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let views = self.views.lock();
        let serving = views.membership.serving();
        serving.map(|record| (record.instance.clone(), record.address)).collect()
    }

    /// Returns all other members with their states.
    pub(crate) fn peers(&self) -> Vec<(MemberRecord, Liveness)> {
        let views = self.views.lock();
        views.membership.members().map(|(record, state)| (record.clone(), state)).collect()
    }

    /// Returns true if an instance is among the other members.
    pub(crate) fn contains(&self, instance: &InstanceId) -> bool {
        self.views.lock().membership.members().any(|(record, _)| record.instance == *instance)
    }

    /// Returns the number of serving members, this one included.
    pub(crate) fn count(&self) -> usize {
        self.peer_addresses().len() + 1
    }

    /// Returns true if this instance is among the first `count` rendezvous owners of `key`.
    pub(crate) fn is_owner(&self, key: &[u8], count: usize) -> bool {
        let views = self.views.lock();
        let serving = views.membership.serving().map(|record| &record.instance);
        rendezvous_owners(serving.chain([&self.local]), key, count).contains(&&self.local)
    }

    /// Returns the peers that have a generation above `above` in force, in random order.
    pub(crate) fn peers_with_newer(
        &self,
        above: Generation,
    ) -> Vec<(InstanceId, SocketAddr, Generation)> {
        let mut newer: Vec<_> = self
            .peers()
            .into_iter()
            .filter(|(record, state)| record.generation > above && *state != Liveness::Failed)
            .map(|(record, _)| (record.instance, record.address, record.generation))
            .collect();
        newer.shuffle(&mut rand::rng());
        newer
    }

    /// Records that an endpoint is leaving. Returns true if that was not known, in which case peers are notified at
    /// once.
    pub(crate) fn record_departure(&self, endpoint: AddressedEndpoint, now: TimeMs) -> bool {
        let is_new = self.views.lock().departures.record(endpoint, now);
        if is_new {
            self.notify_peers_now();
        }
        is_new
    }

    /// Returns true if an endpoint is known to be leaving.
    pub(crate) fn has_departed(&self, endpoint: &AddressedEndpoint) -> bool {
        self.views.lock().departures.contains(endpoint)
    }

    /// Returns up to `count` leaving endpoints to report to peers, the latest first.
    pub(crate) fn recent_departures(&self, count: usize, now: TimeMs) -> Vec<AddressedEndpoint> {
        self.views.lock().departures.recent(count, now)
    }

    /// Applies a reading of the platform's list. Returns the endpoints that have been missing for long enough to count
    /// as gone.
    pub(crate) fn apply_list(
        &self,
        rows: impl IntoIterator<Item = AddressedEndpoint>,
        now: TimeMs,
    ) -> BTreeSet<AddressedEndpoint> {
        self.views.lock().listing.observe(rows, now)
    }

    /// Has a few peers notified now instead of with the next regular heartbeat.
    pub(crate) fn notify_peers_now(&self) {
        self.urgent.notify_one();
    }

    /// Waits until peers are to be notified.
    pub(crate) async fn urgent_update(&self) {
        self.urgent.notified().await;
    }

    /// Signals that a peer has a newer configuration.
    pub(crate) fn signal_newer_config(&self) {
        self.newer_config.notify_one();
    }

    /// Waits until a peer has a newer configuration.
    pub(crate) async fn newer_config(&self) {
        self.newer_config.notified().await;
    }
}
