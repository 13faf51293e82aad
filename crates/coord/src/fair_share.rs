//! Divides the engine time of a pool that can't serve all requests in time among the shares that ask for it.
//!
//! Load pattern: one team or one route sends several times its usual load, and the pool is at one and a half times its
//! capacity. Admission by the predicted first token alone refuses whoever comes while the queue is long, so that a team
//! with few requests loses the same proportion as the team that causes the queue.
//!
//! A share is a rank, a team and a route. Each instance counts the engine time that it gave and refused to each share in
//! a sliding window, and reports these sums to the others while the pool is under pressure. From the sums over all
//! instances, the time that the pool gives is divided by rank first. Within a rank it is divided by max-min fairness:
//! nobody gets more than it demands, and what one share leaves is divided among the others. The result is the standing of
//! a share, on which admission bases its limit. Time that nobody else demands is not withheld from a share that is over.
//!
//! A refused request may get a promised time of return. Promised returns are counted as used time when they are due.
//!
//! # Failures
//!
//! - Lost reports: an instance divides what it gives itself. The sum over all instances is then divided as well.
//! - An instance that has just started knows no usage. Every share is below its part there.
//! - More shares than the tables have room for: those beyond share one entry.

mod reports;
mod returns;
mod standing;
mod usage;

use std::collections::{BTreeMap, HashMap};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use self::{
    reports::PeerUsage,
    returns::PromisedReturns,
    standing::RankLevels,
    usage::{OwnUsage, UsageSum, WINDOW_MS},
};
pub use self::{
    reports::{MAX_REPORTED_SHARES, ShareUsage, UsageReport},
    returns::{ReturnSlot, ReturnState},
    standing::Standing,
};

/// How long the division is used before it is computed again: usage changes little in this time.
const REFRESH_MS: TimeMs = TimeMs(100);

/// A compact identifier of a team and a route, for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareTag(u32);

impl ShareTag {
    /// The entry of all shares for which an instance has no room.
    const OVERFLOW: Self = Self(0);
    /// The sum of the shares that a report does not list.
    const UNLISTED: Self = Self(1);

    /// The tag of a team's requests on a route.
    pub fn new(team: &str, route: &str) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(team.as_bytes());
        // The low half of the hash is as uniform as all of it.
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(route.as_bytes(), seed) as u32;
        Self(hash.max(Self::UNLISTED.0 + 1))
    }
}

/// A share of a pool. The order is by rank first; rank 0 is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShareKey {
    /// The priority rank.
    pub rank: u8,
    /// The team and the route.
    pub tag: ShareTag,
}

/// The standing of a share with the figures that it is derived from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareStanding {
    /// The standing.
    pub standing: Standing,
    /// The engine time that the share used in the window, over all instances, with the promised returns that are due.
    pub used_ms: u64,
    /// The most that a share of this rank gets in the window; none if all demand of the rank is met.
    pub level_ms: Option<u64>,
}

/// The division of one pool as of some time.
#[derive(Debug, Clone, Default)]
struct Division {
    at_ms: TimeMs,
    levels: RankLevels,
}

/// The usage of one pool by share, and the division of its time.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    own: OwnUsage,
    /// The last time at which a request was refused or predicted late here.
    pressure_ms: Option<TimeMs>,
    peers: HashMap<String, PeerUsage>,
    /// The sums of the reports of all peers.
    reported: BTreeMap<ShareKey, UsageSum>,
    report_interval_ms: TimeMs,
    /// The engine time of the pool in a window, as far as it is known.
    capacity_ms: Option<u64>,
    division: Option<Division>,
    returns: PromisedReturns,
}

impl FairShares {
    /// Sets the number of engines of the pool.
    pub fn set_engines(&mut self, engines: u64) {
        self.capacity_ms = Some(engines.saturating_mul(WINDOW_MS.get()));
    }

    /// Records that a request with `work_ms` of engine time was sent to an engine.
    pub fn record_used(&mut self, share: ShareKey, work_ms: u64, now_ms: TimeMs) {
        self.own.add(share, UsageSum { used_ms: work_ms, refused_ms: 0 }, now_ms);
    }

    /// Records that a request with `work_ms` of engine time was refused for want of time.
    pub fn record_refused(&mut self, share: ShareKey, work_ms: u64, now_ms: TimeMs) {
        self.own.add(share, UsageSum { used_ms: 0, refused_ms: work_ms }, now_ms);
        self.record_pressure(now_ms);
    }

    /// Records that a request was refused, or predicted later than its target.
    pub fn record_pressure(&mut self, now_ms: TimeMs) {
        self.pressure_ms = Some(now_ms);
    }

    /// True if this instance saw pressure within the window.
    pub fn has_own_pressure(&self, now_ms: TimeMs) -> bool {
        self.pressure_ms.is_some_and(|at_ms| now_ms.since(at_ms) < WINDOW_MS)
    }

    /// True if this instance or a peer saw pressure within the window.
    pub fn has_pressure(&self, now_ms: TimeMs) -> bool {
        let is_pressed = |peer: &PeerUsage| peer.is_pressed && self.is_fresh(peer, now_ms);
        self.has_own_pressure(now_ms) || self.peers.values().any(is_pressed)
    }

    /// The standing of a share; none without pressure, and if no other share uses the pool.
    pub fn decide(&mut self, share: ShareKey, now_ms: TimeMs) -> Option<ShareStanding> {
        if !self.has_pressure(now_ms) {
            return None;
        }
        self.refresh(now_ms);
        let share = self.own.key_of(share);
        let levels = &self.division.as_ref()?.levels;
        if !levels.has_others(share) {
            return None;
        }
        let level_ms = levels.level_ms(share.rank);
        let sum = self.sum_of(share, now_ms);
        let used_ms = sum.used_ms + self.returns.due_ms(share, now_ms);
        let standing = levels.standing(share.rank, used_ms, sum.demand_ms());
        Some(ShareStanding { standing, used_ms, level_ms })
    }

    /// The part of the pool's time that more urgent ranks leave to `rank`, per thousand; all of it without pressure.
    pub fn rank_per_mille(&mut self, rank: u8, now_ms: TimeMs) -> u64 {
        if !self.has_pressure(now_ms) {
            return 1_000;
        }
        self.refresh(now_ms);
        let division = self.division.as_ref();
        division.map_or(1_000, |division| division.levels.left_per_mille(rank))
    }

    /// What the table of promised returns knows of a request. A return that is due is taken out of the table.
    pub fn take_return(&mut self, request: u64, now_ms: TimeMs) -> ReturnState {
        self.returns.take(request, now_ms)
    }

    /// Gives up the promised return of a request that was admitted before.
    pub fn cancel_return(&mut self, request: u64) {
        self.returns.remove(request);
    }

    /// The time of return for a refused request, with a reservation if there is room for it within the longest time.
    /// Returns of a share are as far apart as the share gets engine time for them at this instance.
    pub fn promise_return(
        &mut self,
        request: u64,
        share: ShareKey,
        slot: &ReturnSlot,
        now_ms: TimeMs,
    ) -> TimeMs {
        let share = self.own.key_of(share);
        let own_demand_ms = self.own.sum(share, now_ms).demand_ms();
        let all_demand_ms = self.sum_of(share, now_ms).demand_ms();
        let level_ms =
            self.division.as_ref().and_then(|division| division.levels.level_ms(share.rank));
        // Without a level, the rank's demand is met, and the returns need not be apart.
        let own_ms = level_ms.map(|level_ms| {
            level_ms.saturating_mul(own_demand_ms).checked_div(all_demand_ms).unwrap_or(level_ms)
        });
        self.returns.promise(request, share, slot, own_ms, now_ms)
    }

    /// The number of shares that are tracked, those of the reports included.
    pub fn len(&self) -> usize {
        self.own.len() + self.reported.len()
    }

    /// True if no share is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn sum_of(&self, share: ShareKey, now_ms: TimeMs) -> UsageSum {
        let reported = self.reported.get(&share).copied().unwrap_or_default();
        self.own.sum(share, now_ms).plus(reported)
    }

    fn refresh(&mut self, now_ms: TimeMs) {
        let is_fresh = |division: &Division| now_ms.since(division.at_ms) < REFRESH_MS;
        if self.division.as_ref().is_some_and(is_fresh) {
            return;
        }
        self.expire_peers(now_ms);
        let mut sums = self.reported.clone();
        for (share, sum) in self.own.sums(now_ms) {
            let total = sums.entry(share).or_default();
            *total = total.plus(sum);
        }
        self.division =
            Some(Division { at_ms: now_ms, levels: RankLevels::new(&sums, self.capacity_ms) });
    }
}
