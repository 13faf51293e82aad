//! What is exported to which store, and in what order.

use std::{cmp::Ordering, collections::BinaryHeap};

use bilberryford_types::Digest;

use crate::StoreSlot;

/// How many exports wait at most; the least worthy are dropped.
const MAX_WAITING: usize = 512;

/// Context that an engine has computed and no store holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingExport<T> {
    /// How often the prefix was asked for.
    pub popularity: u32,
    /// How many blocks there are.
    pub blocks: u32,
    /// What the exporter needs to know.
    pub job: T,
}

impl<T> PendingExport<T> {
    const fn worth(&self) -> u64 {
        self.popularity as u64 * self.blocks as u64
    }
}

#[derive(Debug)]
struct ByWorth<T>(PendingExport<T>, u64);

impl<T> Ord for ByWorth<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.worth().cmp(&other.0.worth()).then(other.1.cmp(&self.1))
    }
}

impl<T> PartialOrd for ByWorth<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for ByWorth<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for ByWorth<T> {}

/// Exports that wait for an idle link, the most worthy first.
#[derive(Debug)]
pub struct WriteBackQueue<T> {
    waiting: BinaryHeap<ByWorth<T>>,
    count: u64,
}

impl<T> Default for WriteBackQueue<T> {
    fn default() -> Self {
        Self { waiting: BinaryHeap::new(), count: 0 }
    }
}

impl<T> WriteBackQueue<T> {
    /// Adds an export; the least worthy half goes when too many wait.
    pub fn push(&mut self, export: PendingExport<T>) {
        self.count += 1;
        self.waiting.push(ByWorth(export, self.count));
        if self.waiting.len() > MAX_WAITING {
            let kept = (0..MAX_WAITING / 2).filter_map(|_| self.waiting.pop()).collect();
            self.waiting = kept;
        }
    }

    /// The export to do next.
    pub fn pop(&mut self) -> Option<PendingExport<T>> {
        self.waiting.pop().map(|waiting| waiting.0)
    }

    /// How many exports wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

/// The store of the block at `position` in a chain that begins with `first`.
///
/// Neighbours go to different stores, so that a chain comes back over all links at once, and a dead store takes its
/// share of every chain instead of whole chains; what it took is recomputed between the imported blocks.
pub fn home_store(first: &Digest, position: usize, stores: &[StoreSlot]) -> Option<StoreSlot> {
    let start = usize::try_from(first.prefix() % stores.len().max(1) as u64).unwrap_or_default();
    stores.get((start + position) % stores.len().max(1)).copied()
}
