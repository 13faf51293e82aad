//! Who the members are and which of them answer.
//!
//! Each member probes a few random others with a heartbeat, and a heartbeat carries a bounded number of
//! [`MemberReport`]s, so that members and suspicions spread without a list that anyone has to keep. Observations carry
//! ages instead of times, since no two clocks are compared. All of it is a view: it steers who is asked, it never
//! decides. See `docs/design/membership.md`.
//!
//! # Invariant
//!
//! A member is taken for failed only when [`FAILURE_QUORUM`] observers (fewer in a small deployment) found it silent after it
//! was last heard of, and every later sign of life clears that. A lower incarnation never speaks for a higher one, and
//! a member that is leaving stays so for the rest of its incarnation.

use std::{collections::BTreeMap, net::SocketAddr};

use bilberryford_types::{DataCentreId, Generation, Incarnation, InstanceId, TimeMs};
use rand::{Rng, RngExt, seq::IndexedRandom};

/// The most members that are kept.
pub const MAX_MEMBERS: usize = 1_024;
/// How many observers have to find a member silent.
pub const FAILURE_QUORUM: usize = 3;
/// How long a silent or failed member is kept.
const FORGET_AFTER: TimeMs = TimeMs(600_000);
/// How long an observer's word that a member was silent counts.
const VOTE_SPAN: TimeMs = TimeMs(30_000);
/// How long a change is told before other members are.
const NEWS_SPAN: TimeMs = TimeMs(15_000);
/// How long a message may have been on its way; ages are taken as older by this, so that none gets younger in a loop.
const TRANSIT: TimeMs = TimeMs(500);
/// One in so many rounds also probes a failed member, so that parted regions find each other again.
const PROBE_FAILED_IN: u32 = 8;
/// Added to every time that is handed in, so that something older than the process can be told.
const BASE: TimeMs = TimeMs(2 * FORGET_AFTER.0);

/// What a member is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It did not answer someone.
    Suspect,
    /// It is shutting down.
    Leaving,
    /// Enough observers found it silent.
    Failed,
}

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub instance: InstanceId,
    /// Which run of it; 0 when it is only known by an address.
    pub incarnation: Incarnation,
    /// Where it takes calls of its peers.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// The configuration that it has in force.
    pub generation: Generation,
}

/// What one member tells of another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberReport {
    /// The member.
    pub record: MemberRecord,
    /// What the teller takes it to be.
    pub state: Liveness,
    /// How long ago the teller found that out.
    pub age: TimeMs,
}

/// What an event changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// A member or a new incarnation came up.
    Joined,
    /// It began to shut down.
    Leaving,
    /// Enough observers found it silent.
    Failed,
    /// It answers again.
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
    heard: TimeMs,
    votes: Vec<Vote>,
    failed: Option<TimeMs>,
    news_until: TimeMs,
}

impl Entry {
    fn new(record: MemberRecord, leaving: bool, heard: TimeMs, now: TimeMs) -> Self {
        let news_until = now.after(NEWS_SPAN);
        Self { record, leaving, heard, votes: Vec::new(), failed: None, news_until }
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

/// The view of one member.
#[derive(Debug, Clone)]
pub struct Membership {
    me: InstanceId,
    entries: BTreeMap<InstanceId, Entry>,
}

impl Membership {
    /// The view of `me`, which knows nobody yet.
    pub const fn new(me: InstanceId) -> Self {
        Self { me, entries: BTreeMap::new() }
    }

    /// Takes in what a member said of itself just now.
    pub fn observe_alive(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(BASE);
        self.heard(record, leaving, now, now)
    }

    /// Takes in what `teller` says of another member.
    pub fn apply_report(
        &mut self,
        teller: &InstanceId,
        told: MemberReport,
        now: TimeMs,
    ) -> Option<MemberChange> {
        if told.age >= FORGET_AFTER {
            return None;
        }
        let now = now.after(BASE);
        let at = TimeMs(now.since(told.age).since(TRANSIT).get());
        match told.state {
            Liveness::Alive => self.heard(told.record, false, at, now),
            Liveness::Leaving => self.heard(told.record, true, at, now),
            Liveness::Suspect | Liveness::Failed => {
                let entry = self.entries.get(&told.record.instance)?;
                let is_same = entry.record.incarnation == told.record.incarnation;
                if is_same { self.vote(&told.record.instance, teller, at, now) } else { None }
            }
        }
    }

    /// Takes in a row of a list that lags; it names members and can't tell whether they answer.
    pub fn apply_listed(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(BASE);
        let Some(known) = self.entries.get_mut(&record.instance) else {
            return self.heard(record, leaving, now.since(TRANSIT), now);
        };
        if known.record.address != record.address {
            if known.failed.is_some() {
                *known = Entry::new(record, leaving, now.since(TRANSIT), now);
            }
            return None;
        }
        if leaving && !known.leaving {
            known.leaving = true;
            known.news_until = now.after(NEWS_SPAN);
            return Some(MemberChange::Leaving);
        }
        None
    }

    /// Takes in that a probe of a member failed.
    pub fn record_probe_failure(
        &mut self,
        instance: &InstanceId,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let now = now.after(BASE);
        let me = self.me.clone();
        self.vote(instance, &me, now, now)
    }

    /// Takes in that an instance is no member at all, whatever lists say; it is kept apart like a failed one.
    pub fn expel(&mut self, instance: &InstanceId, now: TimeMs) {
        if let Some(entry) = self.entries.get_mut(instance) {
            entry.failed = Some(now.after(BASE));
        }
    }

    /// Forgets what is too old; to be called regularly.
    pub fn tick(&mut self, now: TimeMs) {
        let now = now.after(BASE);
        self.entries.retain(|_, entry| now.since(entry.heard) < FORGET_AFTER);
        for entry in self.entries.values_mut() {
            entry.votes.retain(|vote| now.since(vote.at) < VOTE_SPAN);
        }
    }

    /// The members to probe: a suspect, one that still needs this observer's word first, and up to `count` random ones.
    ///
    /// A suspect is probed again until it fails or answers, since a word given within the transit time after its last
    /// sign of life counts nowhere else.
    pub fn probe_targets(&self, count: usize, rng: &mut impl Rng) -> Vec<(InstanceId, SocketAddr)> {
        let (failed, up): (Vec<_>, Vec<_>) =
            self.entries.values().partition(|entry| entry.failed.is_some());
        let suspects: Vec<_> =
            up.iter().copied().filter(|entry| entry.state() == Liveness::Suspect).collect();
        let unsure: Vec<_> =
            suspects.iter().copied().filter(|entry| self.own_vote(entry).is_none()).collect();
        let suspect = unsure.choose(rng).or_else(|| suspects.choose(rng)).copied();
        let try_failed = up.is_empty() || rng.random_ratio(1, PROBE_FAILED_IN);
        let again = failed.choose(rng).copied().filter(|_| try_failed);
        let mut chosen: Vec<&Entry> = suspect.into_iter().collect();
        let random = up.sample(rng, count).copied();
        chosen.extend(random.filter(|entry| suspect.is_none_or(|one| one.record != entry.record)));
        chosen.extend(again);
        chosen.iter().map(|one| (one.record.instance.clone(), one.record.address)).collect()
    }

    /// Up to `count` observations to send: changes first, then random members.
    pub fn sample_reports(
        &self,
        count: usize,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Vec<MemberReport> {
        let now = now.after(BASE);
        let (mut news, rest): (Vec<_>, Vec<_>) =
            self.entries.values().partition(|entry| entry.news_until > now);
        if news.len() > count {
            news = news.sample(rng, count).copied().collect();
        }
        let random = rest.sample(rng, count - news.len()).copied();
        news.into_iter().chain(random).map(|entry| self.tell(entry, now)).collect()
    }

    /// All members but this one, with their state.
    pub fn members(&self) -> impl Iterator<Item = (&MemberRecord, Liveness)> {
        self.entries.values().map(|entry| (&entry.record, entry.state()))
    }

    /// Members that are neither failed nor leaving, this one not among them.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members()
            .filter(|(_, state)| matches!(state, Liveness::Alive | Liveness::Suspect))
            .map(|(record, _)| record)
    }

    fn tell(&self, entry: &Entry, now: TimeMs) -> MemberReport {
        let own = self.own_vote(entry).map(|vote| vote.at);
        let (state, since) = match (entry.failed, own) {
            (Some(at), own) => (Liveness::Failed, own.map_or(at, |own| own.max(at))),
            (None, Some(at)) => (Liveness::Suspect, at),
            (None, None) if entry.leaving => (Liveness::Leaving, entry.heard),
            (None, None) => (Liveness::Alive, entry.heard),
        };
        MemberReport { record: entry.record.clone(), state, age: now.since(since) }
    }

    fn own_vote<'a>(&self, entry: &'a Entry) -> Option<&'a Vote> {
        entry.votes.iter().find(|vote| vote.observer == self.me)
    }

    fn heard(
        &mut self,
        record: MemberRecord,
        leaving: bool,
        at: TimeMs,
        now: TimeMs,
    ) -> Option<MemberChange> {
        if record.instance == self.me {
            return None;
        }
        let Some(known) = self.entries.get_mut(&record.instance) else {
            self.make_room();
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
        if at > known.heard {
            known.heard = at;
        }
        let heard = known.heard;
        known.votes.retain(|vote| vote.at > heard);
        let recovered = known.failed.is_some_and(|failed| failed < heard);
        if recovered {
            known.failed = None;
        }
        if recovered || began_leaving {
            known.news_until = now.after(NEWS_SPAN);
        }
        match (recovered, began_leaving) {
            (_, true) => Some(MemberChange::Leaving),
            (true, false) => Some(MemberChange::Recovered),
            (false, false) => None,
        }
    }

    /// Gives up the member that was silent longest when there is no place left and it is failed.
    fn make_room(&mut self) {
        if self.entries.len() < MAX_MEMBERS {
            return;
        }
        let failed = self.entries.values().filter(|entry| entry.failed.is_some());
        let oldest = failed.min_by_key(|entry| entry.heard);
        if let Some(instance) = oldest.map(|entry| entry.record.instance.clone()) {
            self.entries.remove(&instance);
        }
    }

    fn vote(
        &mut self,
        instance: &InstanceId,
        observer: &InstanceId,
        at: TimeMs,
        now: TimeMs,
    ) -> Option<MemberChange> {
        let quorum = self.quorum(instance);
        let entry = self.entries.get_mut(instance).filter(|entry| at > entry.heard)?;
        entry.votes.retain(|vote| now.since(vote.at) < VOTE_SPAN);
        if let Some(vote) = entry.votes.iter_mut().find(|vote| vote.observer == *observer) {
            vote.at = vote.at.max(at);
        } else if entry.votes.len() < 2 * FAILURE_QUORUM {
            entry.votes.push(Vote { observer: observer.clone(), at });
            entry.news_until = now.after(NEWS_SPAN);
        }
        if entry.failed.is_some() || entry.votes.len() < quorum {
            return None;
        }
        entry.failed = Some(at);
        Some(MemberChange::Failed)
    }

    /// How many observers it takes: all others and this one when there are few.
    fn quorum(&self, instance: &InstanceId) -> usize {
        let others = self
            .entries
            .values()
            .filter(|entry| entry.state() == Liveness::Alive && entry.record.instance != *instance)
            .count();
        FAILURE_QUORUM.min(others + 1)
    }
}
