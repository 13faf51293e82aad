//! A bounded memory of which export holds a block.

use std::{collections::HashMap, mem, sync::Arc};

use bilberryford_cache::StoreSlot;
use bilberryford_endpoint::kv_wire::StoredExport;
use bilberryford_types::Digest;

/// How many blocks either generation holds.
const MAX_YOUNG: usize = 20_000;

/// An export and the store that holds it.
#[derive(Debug, Clone)]
pub(super) struct KnownExport {
    pub(super) store: StoreSlot,
    pub(super) export: Arc<StoredExport>,
}

/// Exports by block; when the young generation is full, the old one is forgotten.
#[derive(Debug, Default)]
pub(super) struct KnownExports {
    young: HashMap<Digest, KnownExport>,
    old: HashMap<Digest, KnownExport>,
}

impl KnownExports {
    pub(super) fn get(&self, block: &Digest) -> Option<&KnownExport> {
        self.young.get(block).or_else(|| self.old.get(block))
    }

    pub(super) fn add(&mut self, block: Digest, known: KnownExport) {
        if self.young.len() >= MAX_YOUNG {
            self.old = mem::take(&mut self.young);
        }
        self.young.insert(block, known);
    }

    pub(super) fn forget(&mut self, block: &Digest) {
        self.young.remove(block);
        self.old.remove(block);
    }
}
