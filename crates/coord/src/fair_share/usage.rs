//! The engine time that one instance gave and refused to each share, in a sliding window.

use std::collections::BTreeMap;

use bilberryford_types::TimeMs;

use super::{ShareKey, ShareTag};

/// The length of the window: several deadlines of short prompts, and short compared to a burst.
pub(super) const WINDOW_MS: TimeMs = TimeMs(4_000);
/// The buckets of a window.
const BUCKETS: usize = 8;
const BUCKET_MS: u64 = WINDOW_MS.get() / BUCKETS as u64;
/// The most shares that one instance tracks for a pool, beside one entry of each rank for the others.
const MAX_SHARES: usize = 1_024;

/// Engine time of a share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct UsageSum {
    pub(super) used_ms: u64,
    pub(super) refused_ms: u64,
}

impl UsageSum {
    pub(super) const fn demand_ms(self) -> u64 {
        self.used_ms.saturating_add(self.refused_ms)
    }

    pub(super) const fn plus(self, other: Self) -> Self {
        Self {
            used_ms: self.used_ms.saturating_add(other.used_ms),
            refused_ms: self.refused_ms.saturating_add(other.refused_ms),
        }
    }

    pub(super) const fn minus(self, other: Self) -> Self {
        Self {
            used_ms: self.used_ms.saturating_sub(other.used_ms),
            refused_ms: self.refused_ms.saturating_sub(other.refused_ms),
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    sum: UsageSum,
}

/// The usage of one share in the buckets of the window.
#[derive(Debug, Clone, Copy, Default)]
struct ShareWindow([Bucket; BUCKETS]);

fn bucket_number(now_ms: TimeMs) -> u64 {
    now_ms.get() / BUCKET_MS
}

impl ShareWindow {
    fn add(&mut self, added: UsageSum, now_ms: TimeMs) {
        let number = bucket_number(now_ms);
        let bucket = &mut self.0[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket { number, sum: UsageSum::default() };
        }
        bucket.sum = bucket.sum.plus(added);
    }

    fn sum(&self, now_ms: TimeMs) -> UsageSum {
        let number = bucket_number(now_ms);
        let is_recent = |bucket: &&Bucket| bucket.number + BUCKETS as u64 > number;
        let recent = self.0.iter().filter(is_recent);
        recent.fold(UsageSum::default(), |sum, bucket| sum.plus(bucket.sum))
    }
}

/// The usage at one instance by share.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnUsage {
    shares: BTreeMap<ShareKey, ShareWindow>,
    /// The bucket in which shares without usage were last removed.
    pruned: u64,
}

impl OwnUsage {
    pub(super) fn add(&mut self, share: ShareKey, added: UsageSum, now_ms: TimeMs) {
        let number = bucket_number(now_ms);
        if self.shares.len() >= MAX_SHARES && self.pruned != number {
            self.pruned = number;
            self.shares.retain(|_, window| window.sum(now_ms) != UsageSum::default());
        }
        let share = self.key_of(share);
        self.shares.entry(share).or_default().add(added, now_ms);
    }

    /// The key under which a share is tracked.
    pub(super) fn key_of(&self, share: ShareKey) -> ShareKey {
        if self.shares.len() < MAX_SHARES || self.shares.contains_key(&share) {
            share
        } else {
            ShareKey { rank: share.rank, tag: ShareTag::OVERFLOW }
        }
    }

    pub(super) fn sum(&self, share: ShareKey, now_ms: TimeMs) -> UsageSum {
        self.shares.get(&share).map_or(UsageSum::default(), |window| window.sum(now_ms))
    }

    /// The shares with usage in the window.
    pub(super) fn sums(&self, now_ms: TimeMs) -> impl Iterator<Item = (ShareKey, UsageSum)> {
        let sums = self.shares.iter().map(move |(share, window)| (*share, window.sum(now_ms)));
        sums.filter(|(_, sum)| *sum != UsageSum::default())
    }

    pub(super) fn len(&self) -> usize {
        self.shares.len()
    }
}
