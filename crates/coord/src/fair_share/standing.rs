//! The division of a pool's time by rank, and by max-min fairness within a rank.

use std::collections::BTreeMap;

use super::{ShareKey, ShareTag, usage::UsageSum};

/// A share with more than this part of the level is above it, in percent.
const OVER_PERCENT: u64 = 105;

/// How the usage of a share compares to its fair part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// It demands no more than its part, or has clearly less.
    Under,
    /// It has about its part.
    Within,
    /// It has more than its part, and others demand the time.
    Over,
}

/// The most that a share gets, for each rank whose demand can't be met.
#[derive(Debug, Clone, Default)]
pub(super) struct RankLevels {
    levels_ms: BTreeMap<u8, u64>,
    /// An equal part of the time of each rank.
    equal_ms: BTreeMap<u8, u64>,
    /// The part of the pool's time that more urgent ranks leave to each rank, per thousand.
    left_per_mille: BTreeMap<u8, u64>,
    active: Vec<ShareKey>,
}

impl RankLevels {
    /// Divides the time that was given to all shares.
    ///
    /// A rank gets all of it except what more urgent ranks used: a pool under pressure gives what it can, and what less
    /// urgent ranks used would have been given to this rank.
    ///
    /// Time that is given counts before an engine has spent it. While queues grow it is more than the engines have, which
    /// is at most `capacity_ms`.
    pub(super) fn new(sums: &BTreeMap<ShareKey, UsageSum>, capacity_ms: Option<u64>) -> Self {
        let all_used_ms: u64 = sums.values().map(|sum| sum.used_ms).sum();
        let mut left_ms = all_used_ms.min(capacity_ms.unwrap_or(u64::MAX));
        let whole_ms = left_ms;
        let mut by_rank: BTreeMap<u8, Vec<(ShareTag, UsageSum)>> = BTreeMap::new();
        for (share, sum) in sums {
            by_rank.entry(share.rank).or_default().push((share.tag, *sum));
        }
        let mut levels_ms = BTreeMap::new();
        let mut equal_ms = BTreeMap::new();
        let mut left_per_mille = BTreeMap::new();
        for (rank, shares) in by_rank {
            left_per_mille.insert(rank, (left_ms * 1_000).checked_div(whole_ms).unwrap_or(1_000));
            let used_ms: u64 = shares.iter().map(|(_, sum)| sum.used_ms).sum();
            // The shares that a report does not list are small. Their sum is no share of its own.
            let (unlisted, listed): (Vec<_>, Vec<_>) =
                shares.into_iter().partition(|(tag, _)| *tag == ShareTag::UNLISTED);
            let unlisted_ms: u64 = unlisted.iter().map(|(_, sum)| sum.used_ms).sum();
            equal_ms
                .insert(rank, left_ms.saturating_sub(unlisted_ms) / (listed.len() as u64).max(1));
            let demands_ms = listed.iter().map(|(_, sum)| sum.demand_ms()).collect();
            if let Some(level_ms) =
                max_min_level_ms(demands_ms, left_ms.saturating_sub(unlisted_ms))
            {
                levels_ms.insert(rank, level_ms);
            }
            left_ms = left_ms.saturating_sub(used_ms);
        }
        Self { levels_ms, equal_ms, left_per_mille, active: sums.keys().copied().collect() }
    }

    pub(super) fn level_ms(&self, rank: u8) -> Option<u64> {
        self.levels_ms.get(&rank).copied()
    }

    /// An equal part of the time of a rank; none if no share of it has usage.
    pub(super) fn equal_ms(&self, rank: u8) -> Option<u64> {
        self.equal_ms.get(&rank).copied()
    }

    /// The part of the time that more urgent ranks leave to `rank` or the next less urgent one with usage.
    pub(super) fn left_per_mille(&self, rank: u8) -> u64 {
        self.left_per_mille.range(rank..).next().map_or(1_000, |(_, left)| *left)
    }

    /// True if another share than this one uses the pool.
    pub(super) fn has_others(&self, share: ShareKey) -> bool {
        self.active.iter().any(|active| *active != share)
    }
}

/// The level at which the demands, each cut off at the level, take exactly `available_ms`; none if they take less.
fn max_min_level_ms(mut demands_ms: Vec<u64>, available_ms: u64) -> Option<u64> {
    demands_ms.sort_unstable();
    let (mut left_ms, mut sharers) = (available_ms, demands_ms.len() as u64);
    for demand_ms in demands_ms {
        let level_ms = left_ms / sharers;
        if demand_ms > level_ms {
            return Some(level_ms);
        }
        left_ms -= demand_ms;
        sharers -= 1;
    }
    None
}

impl RankLevels {
    /// The standing of a share of `rank`.
    ///
    /// Where all demand of the rank was met, the level is an equal part, and no share is over. A share with more must not
    /// be below its part: time that is given counts before an engine has spent it, so that the demand would be met until
    /// the queues are as long as the deadlines.
    pub(super) fn standing(&self, rank: u8, used_ms: u64, demand_ms: u64) -> Standing {
        let level_ms = self.level_ms(rank);
        let Some(part_ms) = level_ms.or(self.equal_ms(rank)) else { return Standing::Under };
        if demand_ms.max(used_ms) <= part_ms {
            Standing::Under
        } else if level_ms.is_some() && used_ms * 100 > part_ms * OVER_PERCENT {
            Standing::Over
        } else {
            Standing::Within
        }
    }
}
