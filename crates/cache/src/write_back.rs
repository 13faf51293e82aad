//! Write-back of computed blocks to stores: the order of exports, and the store of each block.

use std::{cmp::Ordering, collections::BinaryHeap};

use bilberryford_types::Digest;

use crate::StoreSlot;

/// Maximum number of queued exports. Beyond it, the half with the lowest value is dropped.
const MAX_QUEUED: usize = 512;

/// Blocks that an engine has computed and that no store holds yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingExport<T> {
    /// Number of times that the prefix was requested.
    pub popularity: u32,
    /// Number of blocks to export.
    pub blocks: u32,
    /// Data that the exporter needs to carry out the export.
    pub job: T,
}

impl<T> PendingExport<T> {
    /// Returns the blocks that the export could save from recomputation, by which exports are ordered.
    const fn value(&self) -> u64 {
        self.popularity as u64 * self.blocks as u64
    }
}

/// Export with its sequence number; of two with the same value, the earlier one is greater.
#[derive(Debug)]
struct QueuedExport<T>(PendingExport<T>, u64);

impl<T> Ord for QueuedExport<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.value().cmp(&other.0.value()).then(other.1.cmp(&self.1))
    }
}

impl<T> PartialOrd for QueuedExport<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for QueuedExport<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for QueuedExport<T> {}

/// Queue of exports that wait for an idle link, highest value first.
#[derive(Debug)]
pub struct WriteBackQueue<T> {
    queue: BinaryHeap<QueuedExport<T>>,
    last_sequence: u64,
}

impl<T> Default for WriteBackQueue<T> {
    fn default() -> Self {
        Self { queue: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<T> WriteBackQueue<T> {
    /// Adds an export. Beyond the queue's limit, only the half with the highest value is retained. Returns the number of
    /// exports that were dropped.
    pub fn push(&mut self, export: PendingExport<T>) -> usize {
        self.last_sequence += 1;
        self.queue.push(QueuedExport(export, self.last_sequence));
        if self.queue.len() <= MAX_QUEUED {
            return 0;
        }
        let retained: BinaryHeap<_> =
            (0..MAX_QUEUED / 2).filter_map(|_| self.queue.pop()).collect();
        let dropped = self.queue.len();
        self.queue = retained;
        dropped
    }

    /// Removes and returns the export with the highest value.
    pub fn pop(&mut self) -> Option<PendingExport<T>> {
        self.queue.pop().map(|queued| queued.0)
    }

    /// Returns the number of queued exports.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns true if no export is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Returns the store that the block at `position` is exported to, in a chain that begins with `first`, or none if
/// `stores` is empty.
///
/// Adjacent blocks go to different stores. A chain is then imported over all links in parallel, and the failure of a
/// store costs every chain a share of its blocks instead of some chains all of theirs. The missing blocks are
/// recomputed between the imported ones.
pub fn home_store(first: &Digest, position: usize, stores: &[StoreSlot]) -> Option<StoreSlot> {
    let start = usize::try_from(first.prefix() % stores.len().max(1) as u64).unwrap_or_default();
    stores.get((start + position) % stores.len().max(1)).copied()
}
