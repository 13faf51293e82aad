//! What this instance knows of its peers and of endpoints that leave; see `docs/design/membership.md`.
//!
//! The decisions stand in `bilberryford_coord`; here they get a clock, a random generator and a lock that is never
//! held for longer than one step.

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

/// The views, and the signal that something in them should be told at once.
#[derive(Debug)]
pub(crate) struct Members {
    me: InstanceId,
    views: Mutex<Views>,
    news: Notify,
    newer: Notify,
}

impl Members {
    pub(crate) fn new(me: InstanceId) -> Self {
        let views = Views {
            membership: Membership::new(me.clone()),
            departures: Departures::default(),
            listing: EndpointListing::default(),
        };
        Self { me, views: Mutex::new(views), news: Notify::new(), newer: Notify::new() }
    }

    /// Takes in what a member said of itself just now.
    pub(crate) fn hear(
        &self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        self.views.lock().membership.observe_alive(record, leaving, now)
    }

    /// Takes in what a member said of another.
    pub(crate) fn learn(
        &self,
        teller: &InstanceId,
        told: MemberReport,
        now: TimeMs,
    ) -> Option<MemberChange> {
        self.views.lock().membership.apply_report(teller, told, now)
    }

    /// Takes in a row of the platform's list.
    pub(crate) fn list(&self, record: MemberRecord, leaving: bool, now: TimeMs) {
        self.views.lock().membership.apply_listed(record, leaving, now);
    }

    /// Takes in that a call of a peer failed.
    pub(crate) fn probe_failed(&self, instance: &InstanceId, now: TimeMs) -> Option<MemberChange> {
        self.views.lock().membership.record_probe_failure(instance, now)
    }

    /// Takes in that an instance serves another environment.
    pub(crate) fn expel(&self, instance: &InstanceId, now: TimeMs) {
        self.views.lock().membership.expel(instance, now);
    }

    /// Forgets what is too old.
    pub(crate) fn tick(&self, now: TimeMs) {
        let mut views = self.views.lock();
        views.membership.tick(now);
        views.departures.tick(now);
    }

    /// Whom to send heartbeats now.
    pub(crate) fn targets(&self, count: usize) -> Vec<(InstanceId, SocketAddr)> {
        self.views.lock().membership.probe_targets(count, &mut rand::rng())
    }

    /// What to tell of other members.
    pub(crate) fn sample(&self, count: usize, now: TimeMs) -> Vec<MemberReport> {
        self.views.lock().membership.sample_reports(count, now, &mut rand::rng())
    }

    /// Where peers that are neither failed nor leaving can be called.
    pub(crate) fn addresses(&self) -> Vec<(InstanceId, SocketAddr)> {
        let views = self.views.lock();
        let serving = views.membership.serving();
        serving.map(|record| (record.instance.clone(), record.address)).collect()
    }

    /// All other members as known now.
    pub(crate) fn all(&self) -> Vec<(MemberRecord, Liveness)> {
        let views = self.views.lock();
        views.membership.members().map(|(record, state)| (record.clone(), state)).collect()
    }

    /// Whether an instance is among the members.
    pub(crate) fn knows(&self, instance: &InstanceId) -> bool {
        self.views.lock().membership.members().any(|(record, _)| record.instance == *instance)
    }

    /// How many members serve, this one included.
    pub(crate) fn count(&self) -> usize {
        self.addresses().len() + 1
    }

    /// Whether this instance is among the first `count` owners of `key`.
    pub(crate) fn is_owner(&self, key: &[u8], count: usize) -> bool {
        let views = self.views.lock();
        let serving = views.membership.serving().map(|record| &record.instance);
        rendezvous_owners(serving.chain([&self.me]), key, count).contains(&&self.me)
    }

    /// Peers that have a generation above `above` in force, in random order.
    pub(crate) fn with_newer(
        &self,
        above: Generation,
    ) -> Vec<(InstanceId, SocketAddr, Generation)> {
        let mut found: Vec<_> = self
            .all()
            .into_iter()
            .filter(|(record, state)| record.generation > above && *state != Liveness::Failed)
            .map(|(record, _)| (record.instance, record.address, record.generation))
            .collect();
        found.shuffle(&mut rand::rng());
        found
    }

    /// Takes in a leaving endpoint; answers whether it is news, which peers are then told at once.
    pub(crate) fn depart(&self, endpoint: AddressedEndpoint, now: TimeMs) -> bool {
        let is_news = self.views.lock().departures.record(endpoint, now);
        if is_news {
            self.tell_at_once();
        }
        is_news
    }

    /// Whether an endpoint was seen leaving.
    pub(crate) fn has_departed(&self, endpoint: &AddressedEndpoint) -> bool {
        self.views.lock().departures.contains(endpoint)
    }

    /// Leaving endpoints to tell peers of.
    pub(crate) fn departures(&self, count: usize, now: TimeMs) -> Vec<AddressedEndpoint> {
        self.views.lock().departures.recent(count, now)
    }

    /// Takes in a reading of the list; answers the endpoints that are gone by now.
    pub(crate) fn read_list(
        &self,
        rows: impl IntoIterator<Item = AddressedEndpoint>,
        now: TimeMs,
    ) -> BTreeSet<AddressedEndpoint> {
        self.views.lock().listing.observe(rows, now)
    }

    /// Has a few peers told now instead of with the next heartbeat.
    pub(crate) fn tell_at_once(&self) {
        self.news.notify_one();
    }

    /// Ends when there is something to tell at once.
    pub(crate) async fn news(&self) {
        self.news.notified().await;
    }

    /// Notes that a peer has a newer configuration.
    pub(crate) fn note_newer(&self) {
        self.newer.notify_one();
    }

    /// Ends when a peer has a newer configuration.
    pub(crate) async fn newer(&self) {
        self.newer.notified().await;
    }
}
