//! Stores of cache blocks as this instance knows them, and which of their exports hold what.
//!
//! All of it steers only: the engine checks what it reads, and a block that can't be had is computed. See
//! `docs/design/placement.md`.

mod import;
mod known;
mod look_up;

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use bilberryford_cache::{
    BlockOwner, ChainSalt, MAX_STORES, PendingExport, PrefixChain, StoreSlot, WriteBackQueue,
};
use bilberryford_document::Document;
use bilberryford_endpoint::{HttpStore, StoreClient};
use bilberryford_platform::{InstanceRecord, Role};
use bilberryford_types::{BytesPerSec, Digest, StoreId, TimeMs};
use parking_lot::Mutex;
use tokio::sync::Notify;

pub(crate) use import::{ImportPlan, import, plan};
pub(crate) use look_up::look_up;

use crate::fleet::Endpoint;
use known::KnownExports;

/// How long a store that did not answer is left alone, in milliseconds.
const DOWN_MS: u64 = 2_000;

/// A store of the document that the platform lists.
pub(crate) struct StoreAt {
    pub(crate) slot: StoreSlot,
    pub(crate) record: InstanceRecord,
    client: Arc<dyn StoreClient>,
    down_until_ms: AtomicU64,
}

impl StoreAt {
    /// Whether it did not answer lately.
    pub(crate) fn is_down(&self, now: TimeMs) -> bool {
        self.down_until_ms.load(Ordering::Relaxed) > now.get()
    }

    fn set_down(&self, now: TimeMs) {
        self.down_until_ms.store(now.get() + DOWN_MS, Ordering::Relaxed);
    }
}

/// The stores of the document in force.
#[derive(Default)]
pub(crate) struct StoreTable {
    /// All of the document; the place is the slot.
    names: Vec<StoreId>,
    /// Those that are listed.
    pub(crate) stores: Vec<Arc<StoreAt>>,
    /// The declared rates of the links of all, memory before disk.
    pub(crate) rates: Vec<[BytesPerSec; 2]>,
}

impl StoreTable {
    /// The stores that answer.
    pub(crate) fn up(&self, now: TimeMs) -> impl Iterator<Item = &Arc<StoreAt>> {
        self.stores.iter().filter(move |store| !store.is_down(now))
    }

    fn get(&self, slot: StoreSlot) -> Option<&Arc<StoreAt>> {
        self.stores.iter().find(|store| store.slot == slot)
    }
}

/// Context that an engine has computed.
pub(crate) struct WriteBackJob {
    pub(crate) owner: BlockOwner,
    pub(crate) chain: PrefixChain,
    pub(crate) endpoint: Arc<Endpoint>,
}

/// All that is known of stores.
pub(crate) struct Stores {
    client: reqwest::Client,
    table: ArcSwap<StoreTable>,
    known: Mutex<KnownExports>,
    write_back: Mutex<WriteBackQueue<WriteBackJob>>,
    has_work: Notify,
}

impl Stores {
    pub(crate) fn new(client: reqwest::Client) -> Self {
        Self {
            client,
            table: ArcSwap::default(),
            known: Mutex::default(),
            write_back: Mutex::default(),
            has_work: Notify::new(),
        }
    }

    /// The stores as known now.
    pub(crate) fn table(&self) -> Arc<StoreTable> {
        self.table.load_full()
    }

    /// Takes in a reading of the platform's list. One without any store, as peers tell it, changes nothing.
    pub(crate) fn replace(&self, document: &Document, records: &[InstanceRecord]) {
        let is_store = |record: &&InstanceRecord| record.role == Role::Store;
        if records.iter().find(is_store).is_none() && !document.stores.is_empty() {
            return;
        }
        let old = self.table();
        let sections = || document.stores.iter().take(MAX_STORES);
        let listed = |name: &StoreId| {
            records.iter().filter(is_store).find(|record| record.id == name.as_str())
        };
        let stores = sections()
            .zip(0_u8..)
            .filter_map(|(section, slot)| {
                Some(self.store(&old, StoreSlot(slot), listed(&section.name)?))
            })
            .collect();
        let rates = sections().map(|section| [section.memory_link, section.disk_link]).collect();
        let names: Vec<_> = sections().map(|section| section.name.clone()).collect();
        if old.names != names {
            // Slots have another meaning now.
            *self.known.lock() = KnownExports::default();
        }
        self.table.store(Arc::new(StoreTable { names, stores, rates }));
    }

    fn store(&self, old: &StoreTable, slot: StoreSlot, record: &InstanceRecord) -> Arc<StoreAt> {
        if let Some(known) = old.get(slot).filter(|known| known.record == *record) {
            return known.clone();
        }
        Arc::new(StoreAt {
            slot,
            record: record.clone(),
            client: Arc::new(HttpStore::new(record.address, self.client.clone())),
            down_until_ms: AtomicU64::new(0),
        })
    }

    /// Hands the context of an answered prompt to the write-back, where the least worthy gives way.
    pub(crate) fn write_back(&self, job: WriteBackJob) {
        let blocks = u32::try_from(job.chain.blocks().len()).unwrap_or(u32::MAX);
        if blocks == 0 || self.table().stores.is_empty() {
            return;
        }
        self.write_back.lock().push(PendingExport { popularity: 1, blocks, job });
        self.has_work.notify_one();
    }

    /// The most worthy context that is not yet written back.
    pub(crate) async fn next_write_back(&self) -> WriteBackJob {
        loop {
            let next = self.write_back.lock().pop();
            match next {
                Some(export) => return export.job,
                None => self.has_work.notified().await,
            }
        }
    }

    /// Whether a store is thought to hold the block.
    pub(crate) fn is_stored(&self, block: &Digest) -> bool {
        self.known.lock().get(block).is_some()
    }
}

/// The chain of a prompt of that owner.
pub(crate) fn chain_of(owner: &BlockOwner, prompt: &str) -> PrefixChain {
    let BlockOwner { team, model, weight_version } = owner.clone();
    PrefixChain::from_prompt(
        &ChainSalt { team, model, weight_version, adapter: String::new() },
        prompt,
    )
}
