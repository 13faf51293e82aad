//! Whether a request is let in: by the wait that it would have, its priority, and its team's part of what is short.
//!
//! The decision is made at once and is final for the request; nothing is held back to be refused later. See
//! `docs/design/admission.md`.

use std::collections::HashMap;

use bilberryford_types::{Priority, Share, TeamName, TimeMs};

/// How far the drain rate looks back, as the part that each new second counts.
const DRAIN_WEIGHT: f64 = 0.3;
/// The shortest span over which a drain rate is measured.
const DRAIN_SPAN: TimeMs = TimeMs(200);
/// The longest time to come back that is told.
const MAX_RETRY_AFTER: TimeMs = TimeMs(30_000);
/// What is told while no drain rate is known.
const DEFAULT_RETRY_AFTER: TimeMs = TimeMs(1_000);
/// How many priorities there are.
const PRIORITIES: usize = 3;

/// How far a team that has less than its part may go beyond the capacity, in percent of it.
const UNDER_SHARE_PERCENT: u64 = 150;

/// A request that wants to be let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Its team.
    pub team: TeamName,
    /// The team's weight.
    pub share: Share,
    /// Its priority.
    pub priority: Priority,
    /// How long its caller still waits.
    pub time_left: TimeMs,
}

/// Why a request is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ShedReason {
    /// There is no room for its priority.
    Overloaded,
    /// Its team has more than its part of what is short.
    TeamOverShare,
    /// It would wait longer than its caller does.
    Deadline,
}

/// The decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is let in.
    Admit,
    /// It is refused, now.
    Shed {
        /// Why.
        reason: ShedReason,
        /// When there will be room, before jitter.
        retry_after: TimeMs,
    },
}

#[derive(Debug, Clone, Copy)]
struct TeamLoad {
    in_flight: u32,
    share: Share,
}

/// Completions a second, smoothed.
#[derive(Debug, Clone, Copy, Default)]
struct Drain {
    per_s: f64,
    since: TimeMs,
    done: u32,
}

impl Drain {
    fn add(&mut self, now: TimeMs) {
        self.done += 1;
        let span = now.since(self.since);
        if span < DRAIN_SPAN {
            return;
        }
        let seconds = span.get() as f64 / 1_000.0;
        let rate = f64::from(self.done) / seconds;
        let weight = if self.per_s == 0.0 { 1.0 } else { DRAIN_WEIGHT };
        self.per_s += weight * (rate - self.per_s);
        *self = Self { since: now, done: 0, ..*self };
    }

    /// How long until `count` more are done.
    fn wait(&self, count: u32) -> Option<TimeMs> {
        (self.per_s > 0.0).then(|| TimeMs((f64::from(count) * 1_000.0 / self.per_s) as u64))
    }
}

/// What is in flight in front of one pool; teams are kept only while they have requests.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    teams: HashMap<TeamName, TeamLoad>,
    by_priority: [u32; PRIORITIES],
    weights: u64,
    drain: Drain,
}

impl AdmissionController {
    /// Decides on a request, with room for `capacity` requests before the endpoints' queues grow too long.
    ///
    /// Endpoints honour priorities, so a request counts what is of its priority and above; the lowest counts all and
    /// is refused first. A team that has its part stops at the capacity, and one that has less may go beyond it, so
    /// that a large team that came first doesn't keep a small one out.
    pub fn decide(&self, request: &AdmissionRequest, capacity: u32) -> AdmissionDecision {
        let total = self.in_flight();
        if total < capacity {
            return AdmissionDecision::Admit;
        }
        let excess = total.saturating_sub(capacity).saturating_add(1);
        let no = |reason| AdmissionDecision::Shed { reason, retry_after: self.retry_after(excess) };
        let ahead = self.ahead(request.priority);
        if self.is_over_share(request, capacity) && ahead >= capacity {
            return no(self.shed_over_share(request));
        }
        if u64::from(ahead) >= u64::from(capacity) * UNDER_SHARE_PERCENT / 100 {
            return no(ShedReason::Overloaded);
        }
        match self.drain.wait(ahead.saturating_add(1).saturating_sub(capacity)) {
            Some(wait) if wait >= request.time_left => no(ShedReason::Deadline),
            _ => AdmissionDecision::Admit,
        }
    }

    /// What runs before a request of `priority`.
    fn ahead(&self, priority: Priority) -> u32 {
        self.by_priority[priority as usize..].iter().sum()
    }

    /// A team that is alone has all of the capacity, so it is the system that is full.
    fn shed_over_share(&self, request: &AdmissionRequest) -> ShedReason {
        match self.teams.len() {
            1 if self.teams.contains_key(&request.team) => ShedReason::Overloaded,
            _ => ShedReason::TeamOverShare,
        }
    }

    fn retry_after(&self, excess: u32) -> TimeMs {
        self.drain.wait(excess).unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// Whether the team has its part of the capacity already, counted among the teams that have requests now.
    fn is_over_share(&self, request: &AdmissionRequest, capacity: u32) -> bool {
        let Some(load) = self.teams.get(&request.team) else { return false };
        let weights = self.weights.max(1);
        let part = u64::from(capacity) * u64::from(request.share.get()) / weights;
        u64::from(load.in_flight) >= part.max(1)
    }

    /// Counts a request that was let in.
    pub fn record_admitted(&mut self, request: &AdmissionRequest) {
        let load = self.teams.entry(request.team.clone()).or_insert_with(|| {
            self.weights += u64::from(request.share.get());
            TeamLoad { in_flight: 0, share: request.share }
        });
        load.in_flight += 1;
        self.by_priority[request.priority as usize] += 1;
    }

    /// Counts a request that is over.
    pub fn record_finished(&mut self, team: &TeamName, priority: Priority, now: TimeMs) {
        self.drain.add(now);
        let count = &mut self.by_priority[priority as usize];
        *count = count.saturating_sub(1);
        let Some(load) = self.teams.get_mut(team) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 {
            self.weights = self.weights.saturating_sub(u64::from(load.share.get()));
            self.teams.remove(team);
        }
    }

    /// How many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.by_priority.iter().sum()
    }

    /// How many requests of a team are in flight.
    pub fn team_in_flight(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |load| load.in_flight)
    }

    /// How many teams are kept.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}
