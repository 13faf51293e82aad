//! Index of the engines and stores that are assumed to hold each block.
//!
//! The index is built from events that arrive late and may be lost, so it only guides placement and correctness never
//! depends on it: an engine that has evicted a block recomputes it, and an import verifies the data that it reads
//! ([`crate::Manifest`]).

use std::{collections::HashMap, mem};

use bilberryford_types::{Digest, Incarnation};
use serde::{Deserialize, Serialize};

/// Maximum number of engines in one index; each takes one bit of [`Holders`].
pub const MAX_ENGINES: usize = 32;
/// Maximum number of stores in one index; each takes one bit of [`Holders`] for each tier.
pub const MAX_STORES: usize = 8;

/// Index of an engine in its pool, below [`MAX_ENGINES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineSlot(pub u8);

/// Index of a store among those that the pool uses, below [`MAX_STORES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreSlot(pub u8);

/// Storage tier of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Tier {
    /// Main memory.
    Memory,
    /// Disk.
    Disk,
}

/// Engines and stores that are assumed to hold a block, as bit sets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holders {
    engines: u32,
    memory: u8,
    disk: u8,
}

impl Holders {
    /// Returns true if the engine is assumed to hold the block.
    pub const fn has_engine(self, engine: EngineSlot) -> bool {
        self.engines & (1 << engine.0) != 0
    }

    /// Returns the tier in which the store is assumed to hold the block, memory if it is in both.
    pub const fn store_tier(self, store: StoreSlot) -> Option<Tier> {
        if self.memory & (1 << store.0) != 0 {
            Some(Tier::Memory)
        } else if self.disk & (1 << store.0) != 0 {
            Some(Tier::Disk)
        } else {
            None
        }
    }

    const fn is_empty(self) -> bool {
        self.engines == 0 && self.memory == 0 && self.disk == 0
    }
}

/// Changes to an engine's cache since its previous event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of times that the engine has started; a restart empties its cache.
    pub incarnation: Incarnation,
    /// Sequence number of the event in this incarnation, from 1 without gaps.
    pub sequence: u64,
    /// Blocks that were added to the cache.
    pub stored: Vec<Digest>,
    /// Blocks that were evicted.
    pub removed: Vec<Digest>,
}

/// Complete content of an engine's cache.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// Number of times that the engine has started.
    pub incarnation: Incarnation,
    /// Sequence number of the last event that the snapshot includes.
    pub sequence: u64,
    /// Blocks in the cache.
    pub blocks: Vec<Digest>,
}

/// Result of [`BlockIndex::apply_event`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOutcome {
    /// The event was applied and no earlier one is missing.
    Applied,
    /// The event was ignored, since the index already includes it or a later one.
    Stale,
    /// The event was applied, but earlier ones are missing. The engine's entries may be wrong until a snapshot is
    /// applied or the engine restarts.
    Gap,
}

/// Position of the index in an engine's sequence of events.
#[derive(Debug, Clone, Copy, Default)]
struct EventCursor {
    incarnation: Incarnation,
    sequence: u64,
    has_gap: bool,
}

/// Index of blocks with a bounded number of entries.
///
/// Entries are stored in two maps, which approximates eviction of the least recently used ones. When the recent map is
/// full, it replaces the older one, whose entries are evicted. An entry that is updated or touched moves to the recent
/// map, so an evicted entry has not been used since before the recent map began to fill.
#[derive(Debug)]
pub struct BlockIndex {
    recent: HashMap<u64, Holders>,
    older: HashMap<u64, Holders>,
    recent_limit: usize,
    cursors: [EventCursor; MAX_ENGINES],
}

impl BlockIndex {
    /// Creates an index that never holds more than `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            recent: HashMap::new(),
            older: HashMap::new(),
            recent_limit: (max_blocks / 2).max(1),
            cursors: [EventCursor::default(); MAX_ENGINES],
        }
    }

    /// Returns the engines and stores that are assumed to hold the block.
    pub fn holders(&self, block: &Digest) -> Holders {
        let key = block.prefix();
        self.recent.get(&key).or_else(|| self.older.get(&key)).copied().unwrap_or_default()
    }

    /// Marks blocks as recently used, so that they are evicted last.
    pub fn touch(&mut self, blocks: &[Digest]) {
        for block in blocks {
            self.update(block, |_| {});
        }
    }

    /// Applies an event of an engine. An event of a newer incarnation first clears the engine's entries.
    pub fn apply_event(&mut self, engine: EngineSlot, event: &CacheEvent) -> EventOutcome {
        if event.incarnation > self.cursors[engine.0 as usize].incarnation {
            self.reset_engine(engine, event.incarnation);
        }
        let cursor = &mut self.cursors[engine.0 as usize];
        if event.incarnation < cursor.incarnation || event.sequence <= cursor.sequence {
            return EventOutcome::Stale;
        }
        let is_next = event.sequence == cursor.sequence + 1;
        cursor.sequence = event.sequence;
        cursor.has_gap |= !is_next;
        let outcome = if cursor.has_gap { EventOutcome::Gap } else { EventOutcome::Applied };
        event.removed.iter().for_each(|block| self.set_engine_holder(block, engine, false));
        event.stored.iter().for_each(|block| self.set_engine_holder(block, engine, true));
        outcome
    }

    /// Replaces the engine's entries by those of the snapshot, which ends a gap. A snapshot that is older than the
    /// engine's cursor is ignored.
    pub fn apply_snapshot(&mut self, engine: EngineSlot, snapshot: &CacheSnapshot) {
        let CacheSnapshot { incarnation, sequence, ref blocks } = *snapshot;
        let current = self.cursors[engine.0 as usize];
        if (incarnation, sequence) < (current.incarnation, current.sequence) {
            return;
        }
        self.reset_engine(engine, incarnation);
        self.cursors[engine.0 as usize].sequence = sequence;
        blocks.iter().for_each(|block| self.set_engine_holder(block, engine, true));
    }

    /// Clears the engine's entries and moves its cursor to the start of `incarnation`.
    fn reset_engine(&mut self, engine: EngineSlot, incarnation: Incarnation) {
        let mask = !(1 << engine.0);
        for holders in self.recent.values_mut().chain(self.older.values_mut()) {
            holders.engines &= mask;
        }
        self.cursors[engine.0 as usize] = EventCursor { incarnation, ..EventCursor::default() };
    }

    /// Returns the engine's incarnation and the sequence number of its last applied event.
    pub const fn cursor(&self, engine: EngineSlot) -> (Incarnation, u64) {
        let cursor = self.cursors[engine.0 as usize];
        (cursor.incarnation, cursor.sequence)
    }

    /// Clears the engine's entries and its cursor, for a slot that is reassigned to another engine.
    pub fn clear_engine(&mut self, engine: EngineSlot) {
        self.reset_engine(engine, Incarnation(0));
    }

    /// Returns true if events of the engine are missing, so that its entries may be wrong.
    pub const fn has_gap(&self, engine: EngineSlot) -> bool {
        self.cursors[engine.0 as usize].has_gap
    }

    /// Records if the engine holds the block, as reported by an event or a response.
    pub fn set_engine_holder(&mut self, block: &Digest, engine: EngineSlot, is_held: bool) {
        self.update(block, |holders| {
            holders.engines = with_bit(holders.engines, engine.0, is_held);
        });
    }

    /// Records the tier in which the store holds the block, or that it does not hold it.
    pub fn set_store_tier(&mut self, block: &Digest, store: StoreSlot, tier: Option<Tier>) {
        let bit = 1 << store.0;
        self.update(block, |holders| {
            holders.memory &= !bit;
            holders.disk &= !bit;
            match tier {
                Some(Tier::Memory) => holders.memory |= bit,
                Some(Tier::Disk) => holders.disk |= bit,
                None => {}
            }
        });
    }

    /// Changes the entry of a block and moves it to the recent map; an entry without holders is removed.
    fn update(&mut self, block: &Digest, apply: impl FnOnce(&mut Holders)) {
        let key = block.prefix();
        let entry = self.recent.get(&key).copied().or_else(|| self.older.remove(&key));
        let mut holders = entry.unwrap_or_default();
        apply(&mut holders);
        if holders.is_empty() {
            self.recent.remove(&key);
            return;
        }
        self.recent.insert(key, holders);
        if self.recent.len() >= self.recent_limit {
            self.older = mem::take(&mut self.recent);
        }
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Returns true if the index holds no block.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimates the memory that the index takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        // The hash map has one control byte for each bucket, and its capacity is 7/8 of its buckets.
        let bucket_bytes = mem::size_of::<(u64, Holders)>() + 1;
        (self.recent.capacity() + self.older.capacity()) * bucket_bytes * 8 / 7
            + mem::size_of::<Self>()
    }
}

const fn with_bit(bits: u32, bit: u8, is_set: bool) -> u32 {
    if is_set { bits | (1 << bit) } else { bits & !(1 << bit) }
}
