//! Gossip-based membership and failure detection.
//!
//! Each member probes a few random others with a heartbeat, and each heartbeat carries a bounded number of
//! [`MemberReport`]s, so that members and suspicions spread without an authoritative list. Reports carry ages instead
//! of times, since the clocks of two instances are never compared. The result is an advisory view: it influences which
//! peers are called and guarantees nothing. See `docs/design/membership.md`.
//!
//! # Invariant
//!
//! A member is considered failed only if [`FAILURE_QUORUM`] observers (fewer in a small deployment) found it
//! unresponsive after it was last known to be alive, and every later sign of life clears that. A report about a lower
//! incarnation never changes the state of a higher one, and a leaving member stays so for the rest of its incarnation.

use std::{collections::BTreeMap, net::SocketAddr};

use bilberryford_types::{DataCentreId, Generation, Incarnation, InstanceId, TimeMs};
use rand::{Rng, RngExt, seq::IndexedRandom};

/// The most members that are stored.
pub const MAX_MEMBERS: usize = 1_024;
/// The number of observers that have to find a member unresponsive before it is considered failed.
pub const FAILURE_QUORUM: usize = 3;
/// How long a member is retained after its last sign of life.
const RETENTION: TimeMs = TimeMs(600_000);
/// How long an observer's vote that a member is unresponsive counts.
const VOTE_LIFETIME: TimeMs = TimeMs(30_000);
/// How long a changed member takes precedence over other members in reports.
const PRIORITY_PERIOD: TimeMs = TimeMs(15_000);
/// Upper bound of a message's time in transit. It is added to every received age, so that information that circulates
/// between members never appears to get younger.
const MAX_TRANSIT: TimeMs = TimeMs(500);
/// One round in this many also probes a failed member, so that partitioned groups rediscover each other.
const FAILED_PROBE_ROUNDS: u32 = 8;
/// Offset that is added to every time passed in, so that events older than the process have a positive time.
const CLOCK_OFFSET: TimeMs = TimeMs(2 * RETENTION.0);

/// The state of a member in an observer's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// The member responds.
    Alive,
    /// At least one observer found the member unresponsive.
    Suspect,
    /// The member is shutting down.
    Leaving,
    /// A quorum of observers found the member unresponsive.
    Failed,
}

/// A member's statement about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The incarnation of the instance; 0 if only its address is known.
    pub incarnation: Incarnation,
    /// The address at which it accepts calls of its peers.
    pub address: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: DataCentreId,
    /// The generation of the configuration that it has in force.
    pub generation: Generation,
}

/// A member's report about another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// The member that the report is about.
    pub record: MemberRecord,
    /// The state of the member in the reporter's view.
    pub state: Liveness,
    /// The time since the reporter last confirmed that state.
    pub age: TimeMs,
}

/// The change of a member's state that an event caused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// A new member or a new incarnation appeared.
    Joined,
    /// The member began to shut down.
    Leaving,
    /// A quorum of observers found the member unresponsive.
    Failed,
    /// The member responds again.
    Recovered,
}

#[derive(Debug, Clone)]
struct Vote {
    observer: InstanceId,
    at: TimeMs,
}

#[derive(Debug, Clone)]
struct Entry {
    record: MemberRecord,
    leaving: bool,
    last_alive: TimeMs,
    votes: Vec<Vote>,
    failed: Option<TimeMs>,
    priority_until: TimeMs,
}

impl Entry {
    fn new(record: MemberRecord, leaving: bool, last_alive: TimeMs, now: TimeMs) -> Self {
        let priority_until = now.after(PRIORITY_PERIOD);
        Self { record, leaving, last_alive, votes: Vec::new(), failed: None, priority_until }
    }

    fn state(&self) -> Liveness {
        match (self.failed, self.leaving, self.votes.is_empty()) {
            (Some(_), ..) => Liveness::Failed,
            (None, true, _) => Liveness::Leaving,
            (None, false, false) => Liveness::Suspect,
            (None, false, true) => Liveness::Alive,
        }
    }
}

/// The members as one of them, the local instance, sees them.
#[derive(Debug, Clone)]
pub struct Membership {
    local: InstanceId,
    entries: BTreeMap<InstanceId, Entry>,
}

impl Membership {
    /// Creates the view of instance `local` without any other member.
    pub const fn new(local: InstanceId) -> Self {
        Self { local, entries: BTreeMap::new() }
    }

    /// Applies a message that a member itself sent just now.
    pub fn observe_alive(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(CLOCK_OFFSET);
        self.apply_alive(record, leaving, now, now)
    }

    /// Applies the report of `reporter` about another member.
    pub fn apply_report(
        &mut self,
        reporter: &InstanceId,
        report: MemberReport,
        now: TimeMs,
    ) -> Option<MemberChange> {
        if report.age >= RETENTION {
            return None;
        }
        let now = now.after(CLOCK_OFFSET);
        let at = TimeMs(now.since(report.age).since(MAX_TRANSIT).get());
        match report.state {
            Liveness::Alive => self.apply_alive(report.record, false, at, now),
            Liveness::Leaving => self.apply_alive(report.record, true, at, now),
            Liveness::Suspect | Liveness::Failed => {
                let entry = self.entries.get_mut(&report.record.instance)?;
                // A member that was only listed has the incarnation that the observer knew.
                if entry.record.incarnation == Incarnation(0)
                    && entry.record.address == report.record.address
                {
                    entry.record.incarnation = report.record.incarnation;
                }
                let is_same = entry.record.incarnation == report.record.incarnation;
                if is_same {
                    self.record_vote(&report.record.instance, reporter, at, now)
                } else {
                    None
                }
            }
        }
    }

    /// Applies a row of the platform's list, which lags: it names members but does not show whether they respond.
    ///
    /// A row with another address than the known one takes effect only if the known member is considered failed.
    pub fn apply_listed(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(CLOCK_OFFSET);
        let Some(known) = self.entries.get_mut(&record.instance) else {
            return self.apply_alive(record, leaving, now.since(MAX_TRANSIT), now);
        };
        if known.record.address != record.address {
            if known.failed.is_some() {
                *known = Entry::new(record, leaving, now.since(MAX_TRANSIT), now);
            }
            return None;
        }
        if leaving && !known.leaving {
            known.leaving = true;
            known.priority_until = now.after(PRIORITY_PERIOD);
            return Some(MemberChange::Leaving);
        }
        None
    }

    /// Records that a probe of a member failed, which is this instance's vote that it is unresponsive.
    pub fn record_probe_failure(
        &mut self,
        instance: &InstanceId,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(CLOCK_OFFSET);
        let local = self.local.clone();
        self.record_vote(instance, &local, now, now)
    }

    /// Excludes an instance that is not a member, whatever lists report; it is then treated like a failed member.
    pub fn expel(&mut self, instance: &InstanceId, now: TimeMs) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.failed = Some(now.after(CLOCK_OFFSET));
        }
    }

    /// Evicts members and votes that are too old; call it periodically.
    pub fn tick(&mut self, now: TimeMs) {
        let now = now.after(CLOCK_OFFSET);
        self.entries.retain(|_, entry| now.since(entry.last_alive) < RETENTION);
        for entry in self.entries.values_mut() {
            entry.votes.retain(|vote| now.since(vote.at) < VOTE_LIFETIME);
        }
    }

    /// Selects the members to probe: one suspect, preferably one without this instance's vote, and up to `count` random
    /// members.
    ///
    /// A suspect is probed until it is considered failed or responds. One vote would not be enough: other members
    /// discard a vote that is cast within the assumed transit time after the last sign of life.
    pub fn probe_targets(&self, count: usize, rng: &mut impl Rng) -> Vec<(InstanceId, SocketAddr)> {
        let (failed, up): (Vec<_>, Vec<_>) =
            self.entries.values().partition(|entry| entry.failed.is_some());
        let suspects: Vec<_> =
            up.iter().copied().filter(|entry| entry.state() == Liveness::Suspect).collect();
        let without_vote: Vec<_> =
            suspects.iter().copied().filter(|entry| self.local_vote(entry).is_none()).collect();
        let suspect = without_vote.choose(rng).or_else(|| suspects.choose(rng)).copied();
        let probe_failed = up.is_empty() || rng.random_ratio(1, FAILED_PROBE_ROUNDS);
        let retried = failed.choose(rng).copied().filter(|_| probe_failed);
        let mut chosen: Vec<&Entry> = suspect.into_iter().collect();
        let random = up.sample(rng, count).copied();
        chosen.extend(random.filter(|entry| suspect.is_none_or(|one| one.record != entry.record)));
        chosen.extend(retried);
        chosen.iter().map(|one| (one.record.instance.clone(), one.record.address)).collect()
    }

    /// Selects up to `count` reports to send: recently changed members first, then random ones.
    pub fn sample_reports(
        &self,
        count: usize,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Vec<MemberReport> {
        let now = now.after(CLOCK_OFFSET);
        let (mut changed, rest): (Vec<_>, Vec<_>) =
            self.entries.values().partition(|entry| entry.priority_until > now);
        if changed.len() > count {
            changed = changed.sample(rng, count).copied().collect();
        }
        let random = rest.sample(rng, count - changed.len()).copied();
        changed.into_iter().chain(random).map(|entry| self.report(entry, now)).collect()
    }

    /// All members except this instance, with their state.
    pub fn members(&self) -> impl Iterator<Item = (&MemberRecord, Liveness)> {
        self.entries.values().map(|entry| (&entry.record, entry.state()))
    }

    /// All members except this instance that are neither failed nor leaving.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members()
            .filter(|(_, state)| matches!(state, Liveness::Alive | Liveness::Suspect))
            .map(|(record, _)| record)
    }

    fn report(&self, entry: &Entry, now: TimeMs) -> MemberReport {
        let local_vote = self.local_vote(entry).map(|vote| vote.at);
        let (state, since) = match (entry.failed, local_vote) {
            (Some(at), vote) => (Liveness::Failed, vote.map_or(at, |vote| vote.max(at))),
            (None, Some(at)) => (Liveness::Suspect, at),
            (None, None) if entry.leaving => (Liveness::Leaving, entry.last_alive),
            (None, None) => (Liveness::Alive, entry.last_alive),
        };
        MemberReport { record: entry.record.clone(), state, age: now.since(since) }
    }

    fn local_vote<'a>(&self, entry: &'a Entry) -> Option<&'a Vote> {
        entry.votes.iter().find(|vote| vote.observer == self.local)
    }

    /// Applies a sign of life at `at`; `now` is the time of its arrival.
    fn apply_alive(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        at: TimeMs,
        now: TimeMs,
    ) -> Option<MemberChange> {
        if record.instance == self.local {
            return None;
        }
        let Some(known) = self.entries.get_mut(&record.instance) else {
            self.evict_failed();
            if self.entries.len() >= MAX_MEMBERS {
                return None;
            }
            self.entries.insert(record.instance.clone(), Entry::new(record, leaving, at, now));
            return Some(MemberChange::Joined);
        };
        if known.record.incarnation > record.incarnation {
            return None;
        }
        if known.record.incarnation < record.incarnation {
            *known = Entry::new(record, leaving, at, now);
            return Some(MemberChange::Joined);
        }
        known.record.generation = known.record.generation.max(record.generation);
        let began_leaving = leaving && !known.leaving;
        known.leaving |= leaving;
        if at > known.last_alive {
            known.last_alive = at;
        }
        let last_alive = known.last_alive;
        known.votes.retain(|vote| vote.at > last_alive);
        let recovered = known.failed.is_some_and(|failed| failed < last_alive);
        if recovered {
            known.failed = None;
        }
        if recovered || began_leaving {
            known.priority_until = now.after(PRIORITY_PERIOD);
        }
        match (recovered, began_leaving) {
            (_, true) => Some(MemberChange::Leaving),
            (true, false) => Some(MemberChange::Recovered),
            (false, false) => None,
        }
    }

    /// Evicts the failed member with the oldest sign of life if the table is full.
    fn evict_failed(&mut self) {
        if self.entries.len() < MAX_MEMBERS {
            return;
        }
        let failed = self.entries.values().filter(|entry| entry.failed.is_some());
        let oldest = failed.min_by_key(|entry| entry.last_alive);
        if let Some(instance) = oldest.map(|entry| entry.record.instance.clone()) {
            self.entries.remove(&instance);
        }
    }

    fn record_vote(
        &mut self,
        instance: &InstanceId,
        observer: &InstanceId,
        at: TimeMs,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let quorum = self.quorum(instance);
        let entry = self.entries.get_mut(instance).filter(|entry| at > entry.last_alive)?;
        entry.votes.retain(|vote| now.since(vote.at) < VOTE_LIFETIME);
        if let Some(vote) = entry.votes.iter_mut().find(|vote| vote.observer == *observer) {
            vote.at = vote.at.max(at);
        } else if entry.votes.len() < 2 * FAILURE_QUORUM {
            entry.votes.push(Vote { observer: observer.clone(), at });
            entry.priority_until = now.after(PRIORITY_PERIOD);
        }
        if entry.failed.is_some() || entry.votes.len() < quorum {
            return None;
        }
        entry.failed = Some(at);
        Some(MemberChange::Failed)
    }

    /// The votes needed to consider `instance` failed: [`FAILURE_QUORUM`], or all alive observers if there are fewer.
    fn quorum(&self, instance: &InstanceId) -> usize {
        let others = self
            .entries
            .values()
            .filter(|entry| entry.state() == Liveness::Alive && entry.record.instance != *instance)
            .count();
        FAILURE_QUORUM.min(others + 1)
    }
}
