//! An engine's prefix cache: a limited number of blocks with least-recently-used eviction.
//!
//! Changes are published as events with sequence numbers, because the transport may delay or drop events.

use std::{
    collections::{BTreeMap, HashMap},
    mem,
};

use bilberryford_cache::{BlockOwner, CacheEvent, CacheSnapshot, ImportMiss, Manifest};
use bilberryford_types::{Digest, Generation, Incarnation};

#[derive(Debug)]
struct Block {
    owner: BlockOwner,
    bytes: Vec<u8>,
    last_used: u64,
}

/// The blocks in an engine's memory, in order of their last use.
#[derive(Debug)]
pub struct KvCache {
    capacity: usize,
    blocks: HashMap<Digest, Block>,
    by_last_use: BTreeMap<u64, Digest>,
    clock: u64,
    pending_event: CacheEvent,
}

/// Returns the bytes that an engine computes for a block; they represent its keys and values.
pub fn computed_bytes(block: &Digest) -> Vec<u8> {
    blake3::hash(&block.0).as_bytes()[..16].to_vec()
}

impl KvCache {
    /// Creates an empty cache of `capacity` blocks for one incarnation of an engine.
    pub fn new(capacity: usize, incarnation: Incarnation) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            by_last_use: BTreeMap::new(),
            clock: 0,
            pending_event: CacheEvent { incarnation, sequence: 1, ..CacheEvent::default() },
        }
    }

    /// Returns, for each block of a chain, true if it is cached, and marks those as used. The first blocks are marked
    /// last, so that the end of a chain is evicted before its beginning.
    pub fn look_up_chain(&mut self, chain: &[Digest]) -> Vec<bool> {
        let cached = chain.iter().map(|block| self.blocks.contains_key(block)).collect();
        chain.iter().rev().for_each(|block| self.touch(block));
        cached
    }

    /// Returns the owner and the bytes of a block.
    pub fn get(&self, block: &Digest) -> Option<(&BlockOwner, &[u8])> {
        self.blocks.get(block).map(|entry| (&entry.owner, entry.bytes.as_slice()))
    }

    /// Caches a block that this engine computed.
    pub fn insert_computed(&mut self, owner: &BlockOwner, block: &Digest) {
        self.insert(owner, block, computed_bytes(block));
    }

    /// Caches a block that was read from a store.
    ///
    /// # Errors
    ///
    /// Returns [`ImportMiss`], and caches nothing, if the block that was read must not be used.
    pub fn import(
        &mut self,
        owner: &BlockOwner,
        block: &Digest,
        manifest: &Manifest,
        bytes: &[u8],
        generation_after: Generation,
    ) -> Result<(), ImportMiss> {
        let piece = manifest.find_piece(owner, block)?;
        manifest.verify_piece(piece, bytes, generation_after)?;
        self.import_unchecked(owner, block, bytes);
        Ok(())
    }

    /// Caches the bytes that were read, as an engine without the checks would.
    pub fn import_unchecked(&mut self, owner: &BlockOwner, block: &Digest, bytes: &[u8]) {
        self.insert(owner, block, bytes.to_vec());
    }

    fn insert(&mut self, owner: &BlockOwner, block: &Digest, bytes: Vec<u8>) {
        if self.blocks.contains_key(block) {
            self.touch(block);
            return;
        }
        if self.blocks.len() == self.capacity
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.blocks.remove(&oldest);
            self.pending_event.removed.push(oldest);
        }
        self.clock += 1;
        self.by_last_use.insert(self.clock, *block);
        self.blocks.insert(*block, Block { owner: owner.clone(), bytes, last_used: self.clock });
        self.pending_event.stored.push(*block);
    }

    fn touch(&mut self, block: &Digest) {
        if let Some(entry) = self.blocks.get_mut(block) {
            self.by_last_use.remove(&entry.last_used);
            self.clock += 1;
            entry.last_used = self.clock;
            self.by_last_use.insert(self.clock, *block);
        }
    }

    /// Returns the changes since the last event, or `None` if there are none.
    pub fn take_event(&mut self) -> Option<CacheEvent> {
        if self.pending_event.stored.is_empty() && self.pending_event.removed.is_empty() {
            return None;
        }
        let CacheEvent { incarnation, sequence, .. } = self.pending_event;
        let next = CacheEvent { incarnation, sequence: sequence + 1, ..CacheEvent::default() };
        let mut event = mem::replace(&mut self.pending_event, next);
        event.stored.retain(|block| self.blocks.contains_key(block));
        event.removed.retain(|block| !self.blocks.contains_key(block));
        Some(event)
    }

    /// Returns all blocks. Changes since the last event stay pending for the next one.
    pub fn snapshot(&self) -> CacheSnapshot {
        CacheSnapshot {
            incarnation: self.pending_event.incarnation,
            sequence: self.pending_event.sequence - 1,
            blocks: self.blocks.keys().copied().collect(),
        }
    }
}
