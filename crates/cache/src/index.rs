//! Which engine and which store is thought to hold a block.
//!
//! The index is fed by events that come late and with gaps, so it only steers: an engine that lost a block recomputes
//! it, and an import verifies what it reads ([`crate::Manifest`]).

use std::{collections::HashMap, mem};

use bilberryford_types::{Digest, Incarnation};
use serde::{Deserialize, Serialize};

/// How many engines a cell has at most; each takes one bit of [`Holders`].
pub const MAX_ENGINES: usize = 32;
/// How many stores a cell uses at most; each takes one bit for either tier of [`Holders`].
pub const MAX_STORES: usize = 8;

/// The place of an engine in its cell, below [`MAX_ENGINES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineSlot(pub u8);

/// The place of a store in its cell, below [`MAX_STORES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreSlot(pub u8);

/// A tier of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Tier {
    /// The store's memory.
    Memory,
    /// The store's disk.
    Disk,
}

/// Who is thought to hold a block, as bits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holders {
    engines: u32,
    memory: u8,
    disk: u8,
}

impl Holders {
    /// Whether the engine is thought to hold the block.
    pub const fn has_engine(self, engine: EngineSlot) -> bool {
        self.engines & (1 << engine.0) != 0
    }

    /// The tier in which the store is thought to hold the block; memory goes first.
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

/// What an engine says that it cached and dropped since its last event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// How often the engine has started; a restart empties its memory.
    pub incarnation: Incarnation,
    /// Counts the engine's events without a gap.
    pub sequence: u64,
    /// Blocks that it holds since.
    pub stored: Vec<Digest>,
    /// Blocks that it no longer holds.
    pub removed: Vec<Digest>,
}

/// All blocks that an engine holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheSnapshot {
    /// How often the engine has started.
    pub incarnation: Incarnation,
    /// The last event that is contained.
    pub sequence: u64,
    /// The blocks.
    pub blocks: Vec<Digest>,
}

/// What became of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOutcome {
    /// It was taken in.
    Applied,
    /// It was older than what is known.
    Stale,
    /// Events before it are missing: the engine's view is doubtful and a snapshot is wanted.
    Gap,
}

#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    incarnation: Incarnation,
    sequence: u64,
    is_doubtful: bool,
}

/// A bounded index of blocks.
///
/// Knowledge is kept in two generations. When the young one is full, the old one is dropped and the young one takes
/// its place; a block that is used moves to the young one, so what is forgotten has not been used for long.
#[derive(Debug)]
pub struct BlockIndex {
    young: HashMap<u64, Holders>,
    old: HashMap<u64, Holders>,
    young_limit: usize,
    feeds: [Feed; MAX_ENGINES],
}

impl BlockIndex {
    /// An index that never holds more than `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        Self {
            young: HashMap::new(),
            old: HashMap::new(),
            young_limit: (max_blocks / 2).max(1),
            feeds: [Feed::default(); MAX_ENGINES],
        }
    }

    /// Who is thought to hold the block.
    pub fn holders(&self, block: &Digest) -> Holders {
        let key = block.prefix();
        self.young.get(&key).or_else(|| self.old.get(&key)).copied().unwrap_or_default()
    }

    /// Marks blocks as used, so that they are forgotten last.
    pub fn touch(&mut self, blocks: &[Digest]) {
        for block in blocks {
            self.change(block, |_| {});
        }
    }

    /// Takes an engine's event in.
    pub fn apply_event(&mut self, engine: EngineSlot, event: &CacheEvent) -> EventOutcome {
        if event.incarnation > self.feeds[engine.0 as usize].incarnation {
            self.restarted(engine, event.incarnation);
        }
        let feed = &mut self.feeds[engine.0 as usize];
        if event.incarnation < feed.incarnation || event.sequence <= feed.sequence {
            return EventOutcome::Stale;
        }
        let is_next = event.sequence == feed.sequence + 1;
        feed.sequence = event.sequence;
        feed.is_doubtful |= !is_next;
        let fed = if feed.is_doubtful { EventOutcome::Gap } else { EventOutcome::Applied };
        event.removed.iter().for_each(|block| self.set_engine_holder(block, engine, false));
        event.stored.iter().for_each(|block| self.set_engine_holder(block, engine, true));
        fed
    }

    /// Replaces all that is known of an engine; the events up to its sequence are contained.
    pub fn apply_snapshot(&mut self, engine: EngineSlot, snapshot: &CacheSnapshot) {
        let CacheSnapshot { incarnation, sequence, ref blocks } = *snapshot;
        let known = self.feeds[engine.0 as usize];
        if (incarnation, sequence) < (known.incarnation, known.sequence) {
            return;
        }
        self.restarted(engine, incarnation);
        self.feeds[engine.0 as usize].sequence = sequence;
        blocks.iter().for_each(|block| self.set_engine_holder(block, engine, true));
    }

    fn restarted(&mut self, engine: EngineSlot, incarnation: Incarnation) {
        let mask = !(1 << engine.0);
        for holders in self.young.values_mut().chain(self.old.values_mut()) {
            holders.engines &= mask;
        }
        self.feeds[engine.0 as usize] = Feed { incarnation, ..Feed::default() };
    }

    /// The last event of the engine that is contained, with the incarnation that it belongs to.
    pub const fn cursor(&self, engine: EngineSlot) -> (Incarnation, u64) {
        let feed = self.feeds[engine.0 as usize];
        (feed.incarnation, feed.sequence)
    }

    /// Drops all that is known of an engine, for a slot that another engine takes.
    pub fn clear_engine(&mut self, engine: EngineSlot) {
        self.restarted(engine, Incarnation(0));
    }

    /// Whether events of the engine are missing.
    pub const fn has_gap(&self, engine: EngineSlot) -> bool {
        self.feeds[engine.0 as usize].is_doubtful
    }

    /// Notes whether an engine holds a block, as an event or an answer told.
    pub fn set_engine_holder(&mut self, block: &Digest, engine: EngineSlot, is_held: bool) {
        self.change(block, |holders| {
            holders.engines = with_bit(holders.engines, engine.0, is_held);
        });
    }

    /// Notes in which tier a store holds a block, if in any.
    pub fn set_store_tier(&mut self, block: &Digest, store: StoreSlot, tier: Option<Tier>) {
        let bit = 1 << store.0;
        self.change(block, |holders| {
            holders.memory &= !bit;
            holders.disk &= !bit;
            match tier {
                Some(Tier::Memory) => holders.memory |= bit,
                Some(Tier::Disk) => holders.disk |= bit,
                None => {}
            }
        });
    }

    fn change(&mut self, block: &Digest, change: impl FnOnce(&mut Holders)) {
        let key = block.prefix();
        let known = self.young.get(&key).copied().or_else(|| self.old.remove(&key));
        let mut holders = known.unwrap_or_default();
        change(&mut holders);
        if holders.is_empty() {
            self.young.remove(&key);
            return;
        }
        self.young.insert(key, holders);
        if self.young.len() >= self.young_limit {
            self.old = mem::take(&mut self.young);
        }
    }

    /// How many blocks are known.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// About how many bytes the index takes.
    pub fn memory_bytes(&self) -> usize {
        let entry = mem::size_of::<(u64, Holders)>() + 1;
        (self.young.capacity() + self.old.capacity()) * entry * 8 / 7 + mem::size_of::<Self>()
    }
}

const fn with_bit(bits: u32, bit: u8, is_set: bool) -> u32 {
    if is_set { bits | (1 << bit) } else { bits & !(1 << bit) }
}
