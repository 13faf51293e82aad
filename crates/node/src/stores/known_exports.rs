//! A bounded map from blocks to the exports that hold them.

use std::{collections::HashMap, mem, sync::Arc};

use bilberryford_cache::StoreSlot;
use bilberryford_endpoint::kv_wire::StoredExport;
use bilberryford_types::Digest;

/// Maximum number of blocks in each of the two generations.
const MAX_GENERATION_BLOCKS: usize = 20_000;

/// An export and the slot of the store that holds it.
#[derive(Debug, Clone)]
pub(super) struct KnownExport {
    pub(super) store: StoreSlot,
    pub(super) export: Arc<StoredExport>,
}

/// Exports by block, in two generations: when the recent one is full, it replaces the old one.
#[derive(Debug, Default)]
pub(super) struct KnownExports {
    recent: HashMap<Digest, KnownExport>,
    old: HashMap<Digest, KnownExport>,
}

impl KnownExports {
    pub(super) fn get(&self, block: &Digest) -> Option<&KnownExport> {
        self.recent.get(block).or_else(|| self.old.get(block))
    }

    pub(super) fn insert(&mut self, block: Digest, stored: KnownExport) {
        if self.recent.len() >= MAX_GENERATION_BLOCKS {
            self.old = mem::take(&mut self.recent);
        }
        self.recent.insert(block, stored);
    }

    pub(super) fn remove(&mut self, block: &Digest) {
        self.recent.remove(block);
        self.old.remove(block);
    }
}
