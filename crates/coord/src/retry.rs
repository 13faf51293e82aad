//! Retry budgets and backoff: how often, and how soon, a failed request is tried again.
//!
//! Retries are a share of first tries within a sliding window, counted for the team and for the pool; both must allow
//! one. When a whole pool fails, endpoints therefore see at most that share beyond what callers send. See
//! `docs/design/answers.md`.
//!
//! # Invariant
//!
//! In any window, the retries of a key never exceed the greater of the share of its first tries and the sum of two small
//! floors, one for each class. The floors let a quiet instance retry at all.

use std::{collections::HashMap, hash::Hash};

use bilberryford_types::{PoolName, TeamName, TimeMs};
use rand::{Rng, RngExt};

/// How many slots the window has.
const SLOTS: usize = 10;
/// The length of a slot in milliseconds; the window is [`SLOTS`] times as long.
const SLOT_MS: u64 = 1_000;
/// Retries allowed for a hundred first tries.
const RETRY_PERCENT: u32 = 10;
/// Retries in a window that are allowed whatever the traffic, of requests that no endpoint had begun.
const FLOOR_FRESH: u32 = 2;
/// The same for runs that an endpoint had begun and lost.
const FLOOR_BEGUN: u32 = 8;
/// The most keys that one kind of budget keeps.
const MAX_KEYS: usize = 4_096;
/// The upper bound of the first delay in milliseconds.
const BACKOFF_BASE_MS: u64 = 10;
/// The upper bound of every delay in milliseconds.
const BACKOFF_MAX_MS: u64 = 1_000;

/// What is tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryClass {
    /// No endpoint had begun the request.
    #[strum(serialize = "fresh")]
    NotStarted,
    /// An endpoint had begun the run and was lost.
    #[strum(serialize = "begun")]
    Started,
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first_tries: u32,
    fresh: u32,
    begun: u32,
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

    /// Counts a first try.
    pub fn record_first_attempt(&mut self, now: TimeMs) {
        let slot = self.slot(now);
        slot.first_tries = slot.first_tries.saturating_add(1);
    }

    /// Whether one more retry fits: into the share, or else into the floor of its class.
    pub fn allows(&self, now: TimeMs, class: RetryClass) -> bool {
        let sum =
            |count: fn(&Slot) -> u32| self.recent(now).map(count).fold(0_u32, u32::saturating_add);
        let fresh = sum(|slot| slot.fresh);
        let begun = sum(|slot| slot.begun);
        let share = sum(|slot| slot.first_tries) / (100 / RETRY_PERCENT);
        let is_in_floor = match class {
            RetryClass::NotStarted => fresh < FLOOR_FRESH,
            RetryClass::Started => begun < FLOOR_BEGUN,
        };
        let total = fresh + begun;
        total < share || (is_in_floor && total < FLOOR_FRESH + FLOOR_BEGUN)
    }

    fn retry(&mut self, now: TimeMs, class: RetryClass) {
        let slot = self.slot(now);
        match class {
            RetryClass::NotStarted => slot.fresh += 1,
            RetryClass::Started => slot.begun += 1,
        }
    }

    fn is_idle(&self, now: TimeMs) -> bool {
        self.recent(now).all(|slot| slot.first_tries == 0 && slot.fresh + slot.begun == 0)
    }
}

/// Budgets by key, bounded; a key beyond the bound shares no budget and gets no retry.
#[derive(Debug)]
struct Budgets<K> {
    by_key: HashMap<K, RetryBudget>,
}

impl<K> Default for Budgets<K> {
    fn default() -> Self {
        Self { by_key: HashMap::new() }
    }
}

impl<K: Hash + Eq + Clone> Budgets<K> {
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
    teams: Budgets<TeamName>,
    pools: Budgets<PoolName>,
}

impl RetryBudgets {
    /// Counts the first try of a request; call it once for each request that is dispatched.
    pub fn record_first_attempt(&mut self, team: &TeamName, pool: &PoolName, now: TimeMs) {
        self.teams.record_first_attempt(team, now);
        self.pools.record_first_attempt(pool, now);
    }

    /// Takes one retry from both budgets, or none from either; answers whether the retry may be made.
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
            team.retry(now, class);
            pool.retry(now, class);
        }
        is_allowed
    }
}

/// The delay before the retry number `retry` (0 for the first), with full jitter; none when it would end past the
/// deadline, of which `left` remains.
pub fn backoff(retry: u32, left: TimeMs, rng: &mut impl Rng) -> Option<TimeMs> {
    let bound = BACKOFF_BASE_MS.saturating_mul(1 << retry.min(16)).min(BACKOFF_MAX_MS);
    let delay = TimeMs(rng.random_range(0..=bound));
    (delay < left).then_some(delay)
}
