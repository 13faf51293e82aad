//! Admission control in front of a pool: decides by queueing delay, priority and the team's weighted fair share.
//!
//! The decision is immediate and final for the request; no request is queued here to be refused later. See
//! `docs/design/admission.md`.

use std::collections::HashMap;

use bilberryford_types::{Priority, Share, TeamName, TimeMs};

/// Weight of the newest sample in the exponentially smoothed drain rate.
const DRAIN_RATE_SMOOTHING: f64 = 0.3;
/// Shortest window over which one sample of the drain rate is taken.
const MIN_DRAIN_WINDOW: TimeMs = TimeMs(200);
/// Upper bound of the retry delay that a shed request is given.
const MAX_RETRY_AFTER: TimeMs = TimeMs(30_000);
/// Retry delay while no drain rate is known.
const DEFAULT_RETRY_AFTER: TimeMs = TimeMs(1_000);
const PRIORITY_COUNT: usize = 3;

/// Limit for teams below their fair share, in percent of the capacity.
const UNDER_SHARE_LIMIT_PERCENT: u64 = 150;

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The team that sends it.
    pub team: TeamName,
    /// The team's weight in the fair share.
    pub share: Share,
    /// The priority; a request is measured against those of its priority and above.
    pub priority: Priority,
    /// Time until the caller's deadline.
    pub time_left: TimeMs,
}

/// The reason for shedding a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ShedReason {
    /// The capacity for its priority is exhausted.
    Overloaded,
    /// Its team already uses its fair share of an exhausted capacity.
    TeamOverShare,
    /// It would still be queued at its caller's deadline.
    Deadline,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request may proceed; count it with [`AdmissionController::record_admitted`].
    Admit,
    /// The request is refused.
    Shed {
        /// The reason for the refusal.
        reason: ShedReason,
        /// The expected time until there is capacity; the caller adds jitter.
        retry_after: TimeMs,
    },
}

#[derive(Debug, Clone, Copy)]
struct TeamLoad {
    in_flight: u32,
    share: Share,
}

/// Exponentially smoothed rate of completions.
#[derive(Debug, Clone, Copy, Default)]
struct DrainRate {
    per_s: f64,
    window_start: TimeMs,
    completed: u32,
}

impl DrainRate {
    fn record_completion(&mut self, now: TimeMs) {
        self.completed += 1;
        let window = now.since(self.window_start);
        if window < MIN_DRAIN_WINDOW {
            return;
        }
        let seconds = window.get() as f64 / 1_000.0;
        let rate = f64::from(self.completed) / seconds;
        let weight = if self.per_s == 0.0 { 1.0 } else { DRAIN_RATE_SMOOTHING };
        self.per_s += weight * (rate - self.per_s);
        *self = Self { window_start: now, completed: 0, ..*self };
    }

    /// The expected time for `count` completions; `None` while the rate is unknown.
    fn time_for(&self, count: u32) -> Option<TimeMs> {
        (self.per_s > 0.0).then(|| TimeMs((f64::from(count) * 1_000.0 / self.per_s) as u64))
    }
}

/// Admission control of one pool.
///
/// A team takes memory only while it has requests in flight.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    teams: HashMap<TeamName, TeamLoad>,
    by_priority: [u32; PRIORITY_COUNT],
    total_weight: u64,
    drain_rate: DrainRate,
}

impl AdmissionController {
    /// Decides on a request, given that `capacity` requests fit before the endpoints' queues grow too long.
    ///
    /// Endpoints schedule by priority, so a request is only measured against requests of its own priority and above.
    /// The lowest priority is measured against all of them and is shed first. A team at its fair share is limited to
    /// the capacity; a team below it may exceed the capacity, so that a large team that arrives first can't starve a
    /// small one.
    pub fn decide(&self, request: &AdmissionRequest, capacity: u32) -> AdmissionDecision {
        let total = self.in_flight();
        if total < capacity {
            return AdmissionDecision::Admit;
        }
        let excess = total.saturating_sub(capacity).saturating_add(1);
        let shed =
            |reason| AdmissionDecision::Shed { reason, retry_after: self.retry_after(excess) };
        let ahead = self.count_ahead(request.priority);
        if self.is_over_share(request, capacity) && ahead >= capacity {
            return shed(self.over_share_reason(request));
        }
        if u64::from(ahead) >= u64::from(capacity) * UNDER_SHARE_LIMIT_PERCENT / 100 {
            return shed(ShedReason::Overloaded);
        }
        match self.drain_rate.time_for(ahead.saturating_add(1).saturating_sub(capacity)) {
            Some(wait) if wait >= request.time_left => shed(ShedReason::Deadline),
            _ => AdmissionDecision::Admit,
        }
    }

    /// Requests in flight that are scheduled no later than one of `priority`.
    fn count_ahead(&self, priority: Priority) -> u32 {
        self.by_priority[priority as usize..].iter().sum()
    }

    /// A team alone on the pool has all of the capacity as its share, so the pool is overloaded rather than the team
    /// over its share.
    fn over_share_reason(&self, request: &AdmissionRequest) -> ShedReason {
        match self.teams.len() {
            1 if self.teams.contains_key(&request.team) => ShedReason::Overloaded,
            _ => ShedReason::TeamOverShare,
        }
    }

    fn retry_after(&self, excess: u32) -> TimeMs {
        self.drain_rate.time_for(excess).unwrap_or(DEFAULT_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }

    /// Returns true if the team uses its fair share of the capacity, among the teams that have requests in flight.
    fn is_over_share(&self, request: &AdmissionRequest, capacity: u32) -> bool {
        let Some(load) = self.teams.get(&request.team) else { return false };
        let total_weight = self.total_weight.max(1);
        let fair_share = u64::from(capacity) * u64::from(request.share.get()) / total_weight;
        u64::from(load.in_flight) >= fair_share.max(1)
    }

    /// Counts an admitted request; call [`Self::record_finished`] when it ends.
    pub fn record_admitted(&mut self, request: &AdmissionRequest) {
        let load = self.teams.entry(request.team.clone()).or_insert_with(|| {
            self.total_weight += u64::from(request.share.get());
            TeamLoad { in_flight: 0, share: request.share }
        });
        load.in_flight += 1;
        self.by_priority[request.priority as usize] += 1;
    }

    /// Counts the end of an admitted request, whatever its outcome.
    pub fn record_finished(&mut self, team: &TeamName, priority: Priority, now: TimeMs) {
        self.drain_rate.record_completion(now);
        let count = &mut self.by_priority[priority as usize];
        *count = count.saturating_sub(1);
        let Some(load) = self.teams.get_mut(team) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 {
            self.total_weight = self.total_weight.saturating_sub(u64::from(load.share.get()));
            self.teams.remove(team);
        }
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.by_priority.iter().sum()
    }

    /// The number of requests of a team in flight.
    pub fn team_in_flight(&self, team: &TeamName) -> u32 {
        self.teams.get(team).map_or(0, |load| load.in_flight)
    }

    /// The number of teams with requests in flight.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}
