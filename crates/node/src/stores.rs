//! Stores of cache blocks: which of them are reachable, and which of their exports hold a block.
//!
//! The state is advisory: an engine verifies what it reads, and recomputes a block that it can't get. See
//! `docs/design/placement.md`.

mod import;
mod known_exports;
mod look_up;

use std::sync::Arc;

use arc_swap::ArcSwap;
use bilberryford_cache::{
    BlockOwner, ChainSalt, MAX_STORES, PendingExport, PrefixChain, StoreFailure, StoreHealth,
    StoreSlot, WriteBackQueue,
};
use bilberryford_document::Document;
use bilberryford_endpoint::{EndpointError, HttpStore, StoreClient};
use bilberryford_platform::{InstanceRecord, Role};
use bilberryford_types::{BytesPerSec, Digest, StoreId, TimeMs};
use parking_lot::Mutex;
use tokio::sync::Notify;

pub(crate) use import::{ImportPlan, import, plan};
pub(crate) use look_up::look_up;

use crate::fleet::Endpoint;
use known_exports::KnownExports;

/// A store that the configuration names and the platform lists.
pub(crate) struct ListedStore {
    pub(crate) slot: StoreSlot,
    pub(crate) record: InstanceRecord,
    client: Arc<dyn StoreClient>,
    health: Mutex<StoreHealth>,
}

impl ListedStore {
    /// Returns true if it should not be called now.
    pub(crate) fn is_down(&self, now: TimeMs) -> bool {
        self.health.lock().is_down(now)
    }

    fn record_reply(&self) {
        self.health.lock().record_reply();
    }

    fn record_failure(&self, error: &EndpointError, now: TimeMs) {
        let failure = match error {
            EndpointError::Connect { .. } => StoreFailure::Unreachable,
            _ => StoreFailure::NoReply,
        };
        if self.health.lock().record_failure(failure, now) {
            log::warn!("store {} counts as down: {error}", self.record.id);
        }
    }
}

/// The stores of the configuration in force.
#[derive(Default)]
pub(crate) struct StoreTable {
    /// All stores of the configuration; the index is the slot.
    names: Vec<StoreId>,
    /// Those that the platform lists.
    pub(crate) stores: Vec<Arc<ListedStore>>,
    /// Declared link rates of each slot, memory tier before disk tier.
    pub(crate) link_rates: Vec<[BytesPerSec; 2]>,
}

impl StoreTable {
    /// Returns the listed stores that are not down.
    pub(crate) fn up(&self, now: TimeMs) -> impl Iterator<Item = &Arc<ListedStore>> {
        self.stores.iter().filter(move |store| !store.is_down(now))
    }

    fn get(&self, slot: StoreSlot) -> Option<&Arc<ListedStore>> {
        self.stores.iter().find(|store| store.slot == slot)
    }
}

/// Blocks of a prompt that an engine has computed, to be exported to stores.
pub(crate) struct WriteBackJob {
    pub(crate) owner: BlockOwner,
    pub(crate) chain: PrefixChain,
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) queued_at: TimeMs,
}

/// The stores, the known exports and the queue of write-backs.
pub(crate) struct Stores {
    client: reqwest::Client,
    table: ArcSwap<StoreTable>,
    exports: Mutex<KnownExports>,
    write_backs: Mutex<WriteBackQueue<WriteBackJob>>,
    write_back_queued: Notify,
}

impl Stores {
    pub(crate) fn new(client: reqwest::Client) -> Self {
        Self {
            client,
            table: ArcSwap::default(),
            exports: Mutex::default(),
            write_backs: Mutex::default(),
            write_back_queued: Notify::new(),
        }
    }

    /// Returns the current table of stores.
    pub(crate) fn table(&self) -> Arc<StoreTable> {
        self.table.load_full()
    }

    /// Rebuilds the table from the configuration and the platform's list. Rows from peers hold no stores, so a list
    /// without any store changes nothing.
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
                Some(self.reuse_or_create(&old, StoreSlot(slot), listed(&section.name)?))
            })
            .collect();
        let link_rates =
            sections().map(|section| [section.memory_link, section.disk_link]).collect();
        let names: Vec<_> = sections().map(|section| section.name.clone()).collect();
        if old.names != names {
            // Known exports refer to stores by slot, and slots now stand for other stores.
            *self.exports.lock() = KnownExports::default();
        }
        self.table.store(Arc::new(StoreTable { names, stores, link_rates }));
    }

    fn reuse_or_create(
        &self,
        old: &StoreTable,
        slot: StoreSlot,
        record: &InstanceRecord,
    ) -> Arc<ListedStore> {
        if let Some(known) = old.get(slot).filter(|known| known.record == *record) {
            return known.clone();
        }
        Arc::new(ListedStore {
            slot,
            record: record.clone(),
            client: Arc::new(HttpStore::new(record.address, self.client.clone())),
            health: Mutex::default(),
        })
    }

    /// Queues the blocks of an answered prompt for write-back; a full queue drops its least valuable jobs. Returns the
    /// number of dropped jobs.
    pub(crate) fn queue_write_back(&self, job: WriteBackJob) -> usize {
        let blocks = u32::try_from(job.chain.blocks().len()).unwrap_or(u32::MAX);
        if blocks == 0 || self.table().stores.is_empty() {
            return 0;
        }
        let dropped = self.write_backs.lock().push(PendingExport { popularity: 1, blocks, job });
        self.write_back_queued.notify_one();
        dropped
    }

    /// Waits for the most valuable queued write-back, and removes it from the queue.
    pub(crate) async fn next_write_back(&self) -> WriteBackJob {
        loop {
            let next = self.write_backs.lock().pop();
            match next {
                Some(export) => return export.job,
                None => self.write_back_queued.notified().await,
            }
        }
    }

    /// Returns true if a store is assumed to hold the block.
    pub(crate) fn is_stored(&self, block: &Digest) -> bool {
        self.exports.lock().get(block).is_some()
    }
}

/// Returns the chain of blocks of a prompt of `owner`.
pub(crate) fn prefix_chain(owner: &BlockOwner, prompt: &str) -> PrefixChain {
    let BlockOwner { team, model, weight_version } = owner.clone();
    PrefixChain::from_prompt(
        &ChainSalt { team, model, weight_version, adapter: String::new() },
        prompt,
    )
}
