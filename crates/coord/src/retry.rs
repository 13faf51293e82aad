//! Retry budgets and backoff: limit how often and how soon failed requests are retried.
//!
//! Retries are limited to a share of the first attempts in a sliding window, counted per team and per pool; a retry
//! needs both budgets. When a whole pool fails, its endpoints therefore receive at most that share on top of what
//! callers send. See `docs/design/answers.md`.
//!
//! # Invariant
//!
//! In any window, the retries of a key never exceed the greater of the share of its first attempts and the sum of two
//! small floors, one per class. The floors allow an instance with little traffic to retry at all.

use std::{collections::HashMap, hash::Hash};

use bilberryford_types::{PoolName, TeamName, TimeMs};
use rand::{Rng, RngExt};

/// The number of slots of the sliding window.
const SLOTS: usize = 10;
/// The length of a slot in milliseconds; the window has [`SLOTS`] of them.
const SLOT_MS: u64 = 1_000;
/// Retries allowed per hundred first attempts.
const RETRY_PERCENT: u32 = 10;
/// Retries per window that are allowed regardless of traffic, of requests that no endpoint had started.
const NOT_STARTED_FLOOR: u32 = 2;
/// The same for runs that an endpoint had started and lost.
const STARTED_FLOOR: u32 = 8;
/// The most teams, and the most pools, with a budget.
const MAX_KEYS: usize = 4_096;
/// The upper bound of the delay before the first retry, in milliseconds; it doubles with every retry.
const BACKOFF_BASE_MS: u64 = 10;
/// The upper bound of any delay, in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// The class of a retry, by how far the failed attempt had come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryClass {
    /// No endpoint had started the request.
    #[strum(serialize = "fresh")]
    NotStarted,
    /// An endpoint had started the run and was lost.
    #[strum(serialize = "begun")]
    Started,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first_attempts: u32,
    not_started: u32,
    started: u32,
}

/// The budget of one team or pool.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    slots: [Slot; SLOTS],
}

impl RetryBudget {
    fn slot(&mut self, now: TimeMs) -> &mut Slot {
        let number = now.get() / SLOT_MS;
        let slot = &mut self.slots[(number % SLOTS as u64) as usize];
        if slot.number != number {
            *slot = Slot { number, ..Slot::default() };
        }
        slot
    }

    fn recent(&self, now: TimeMs) -> impl Iterator<Item = &Slot> {
        let number = now.get() / SLOT_MS;
        self.slots.iter().filter(move |slot| slot.number + SLOTS as u64 > number)
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: TimeMs) {
        let slot = self.slot(now);
        slot.first_attempts = slot.first_attempts.saturating_add(1);
    }

    /// Returns true if one more retry fits into the share, or into the floor of its class.
    pub fn allows(&self, now: TimeMs, class: RetryClass) -> bool {
        let sum =
            |count: fn(&Slot) -> u32| self.recent(now).map(count).fold(0_u32, u32::saturating_add);
        let not_started = sum(|slot| slot.not_started);
        let started = sum(|slot| slot.started);
        let share = sum(|slot| slot.first_attempts) / (100 / RETRY_PERCENT);
        let is_in_floor = match class {
            RetryClass::NotStarted => not_started < NOT_STARTED_FLOOR,
            RetryClass::Started => started < STARTED_FLOOR,
        };
        let total = not_started + started;
        total < share || (is_in_floor && total < NOT_STARTED_FLOOR + STARTED_FLOOR)
    }

    fn record_retry(&mut self, now: TimeMs, class: RetryClass) {
        let slot = self.slot(now);
        match class {
            RetryClass::NotStarted => slot.not_started += 1,
            RetryClass::Started => slot.started += 1,
        }
    }

    fn is_idle(&self, now: TimeMs) -> bool {
        self.recent(now)
            .all(|slot| slot.first_attempts == 0 && slot.not_started + slot.started == 0)
    }
}

/// A bounded number of budgets by key; a key beyond the bound has no budget and gets no retry.
#[derive(Debug)]
struct BudgetsByKey<K> {
    by_key: HashMap<K, RetryBudget>,
}

impl<K> Default for BudgetsByKey<K> {
    fn default() -> Self {
        Self { by_key: HashMap::new() }
    }
}

impl<K: Hash + Eq + Clone> BudgetsByKey<K> {
    fn record_first_attempt(&mut self, key: &K, now: TimeMs) {
        if let Some(budget) = self.by_key.get_mut(key) {
            return budget.record_first_attempt(now);
        }
        if self.by_key.len() >= MAX_KEYS {
            self.by_key.retain(|_, budget| !budget.is_idle(now));
        }
        if self.by_key.len() < MAX_KEYS {
            self.by_key.entry(key.clone()).or_default().record_first_attempt(now);
        }
    }
}

/// The budgets of all teams and pools of one instance.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    teams: BudgetsByKey<TeamName>,
    pools: BudgetsByKey<PoolName>,
}

impl RetryBudgets {
    /// Counts the first attempt of a request; call it once for each request that is dispatched.
    pub fn record_first_attempt(&mut self, team: &TeamName, pool: &PoolName, now: TimeMs) {
        self.teams.record_first_attempt(team, now);
        self.pools.record_first_attempt(pool, now);
    }

    /// Takes one retry from both budgets, or none from either; returns true if the retry may be made.
    pub fn try_take(
        &mut self,
        team: &TeamName,
        pool: &PoolName,
        class: RetryClass,
        now: TimeMs,
    ) -> bool {
        let team = self.teams.by_key.get_mut(team);
        let pool = self.pools.by_key.get_mut(pool);
        let (Some(team), Some(pool)) = (team, pool) else { return false };
        let is_allowed = team.allows(now, class) && pool.allows(now, class);
        if is_allowed {
            team.record_retry(now, class);
            pool.record_retry(now, class);
        }
        is_allowed
    }
}

/// Returns the delay before retry number `retry` (0 for the first), exponential with full jitter.
///
/// The result is `None` if the delay would not end before the caller's deadline, which is `time_left` away.
pub fn backoff(retry: u32, time_left: TimeMs, rng: &mut impl Rng) -> Option<TimeMs> {
    let bound = BACKOFF_BASE_MS.saturating_mul(1 << retry.min(16)).min(BACKOFF_MAX_MS);
    let delay = TimeMs(rng.random_range(0..=bound));
    (delay < time_left).then_some(delay)
}
