//! An engine's prefix cache: a limited number of blocks, the least recently used one goes first.
//!
//! It speaks about itself by events with a sequence number, which whoever carries them may delay or drop.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
};

use bilberryford_cache::{CacheEvent, CacheSnapshot, ImportMiss, Manifest, Owner};
use bilberryford_types::{Digest, Generation, Incarnation};

#[derive(Debug)]
struct Block {
    owner: Owner,
    bytes: Vec<u8>,
    used: u64,
}

/// The blocks in an engine's memory.
#[derive(Debug)]
pub struct KvCache {
    limit: usize,
    blocks: HashMap<Digest, Block>,
    by_use: BTreeMap<u64, Digest>,
    clock: u64,
    event: CacheEvent,
}

/// What an engine computes for a block; stands for its keys and values.
pub fn computed_bytes(block: &Digest) -> Vec<u8> {
    blake3::hash(&block.0).as_bytes()[..16].to_vec()
}

impl KvCache {
    /// An empty cache of `limit` blocks in an engine that has started `incarnation` times.
    pub fn new(limit: usize, incarnation: Incarnation) -> Self {
        Self {
            limit,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            event: CacheEvent { incarnation, sequence: 1, ..CacheEvent::default() },
        }
    }

    /// Which blocks of a chain are here; they count as used, the first ones last.
    pub fn look_up_chain(&mut self, chain: &[Digest]) -> Vec<bool> {
        let held = chain.iter().map(|block| self.blocks.contains_key(block)).collect();
        chain.iter().rev().for_each(|block| self.touch(block));
        held
    }

    /// The owner and the bytes of a block.
    pub fn get(&self, block: &Digest) -> Option<(&Owner, &[u8])> {
        self.blocks.get(block).map(|held| (&held.owner, held.bytes.as_slice()))
    }

    /// Keeps a block that was computed here.
    pub fn insert_computed(&mut self, owner: &Owner, block: &Digest) {
        self.insert(owner, block, computed_bytes(block));
    }

    /// Keeps a block that was read from a store.
    ///
    /// # Errors
    ///
    /// [`ImportMiss`] when the read block must not be used; nothing is kept then.
    pub fn import(
        &mut self,
        owner: &Owner,
        block: &Digest,
        manifest: &Manifest,
        bytes: &[u8],
        generation_after: Generation,
    ) -> Result<(), ImportMiss> {
        let piece = manifest.piece(owner, block)?;
        manifest.verify(piece, bytes, generation_after)?;
        self.import_unchecked(owner, block, bytes);
        Ok(())
    }

    /// Keeps whatever was read, as an engine without the checks would.
    pub fn import_unchecked(&mut self, owner: &Owner, block: &Digest, bytes: &[u8]) {
        self.insert(owner, block, bytes.to_vec());
    }

    fn insert(&mut self, owner: &Owner, block: &Digest, bytes: Vec<u8>) {
        if self.blocks.contains_key(block) {
            self.touch(block);
            return;
        }
        if self.blocks.len() == self.limit
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.blocks.remove(&oldest);
            self.event.removed.push(oldest);
        }
        self.clock += 1;
        self.by_use.insert(self.clock, *block);
        self.blocks.insert(*block, Block { owner: owner.clone(), bytes, used: self.clock });
        self.event.stored.push(*block);
    }

    fn touch(&mut self, block: &Digest) {
        if let Some(held) = self.blocks.get_mut(block) {
            self.by_use.remove(&held.used);
            self.clock += 1;
            held.used = self.clock;
            self.by_use.insert(self.clock, *block);
        }
    }

    /// What changed since the last event, if anything.
    pub fn take_event(&mut self) -> Option<CacheEvent> {
        if self.event.stored.is_empty() && self.event.removed.is_empty() {
            return None;
        }
        let CacheEvent { incarnation, sequence, .. } = self.event;
        let next = CacheEvent { incarnation, sequence: sequence + 1, ..CacheEvent::default() };
        let mut event = mem::replace(&mut self.event, next);
        event.stored.retain(|block| self.blocks.contains_key(block));
        event.removed.retain(|block| !self.blocks.contains_key(block));
        Some(event)
    }

    /// All blocks; what changed since the last event is left for the next one.
    pub fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            incarnation: self.event.incarnation,
            sequence: self.event.sequence - 1,
            blocks: self.blocks.keys().copied().collect(),
        }
    }
}
