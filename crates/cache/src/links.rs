//! Links to the stores: pending transfers by class, estimated rates, and when to stop an import.

use bilberryford_types::{Bytes, BytesPerSec};

use crate::{StoreSlot, Tier};

/// Weight of one observed transfer in the moving average of a link's rate.
const RATE_GAIN: f64 = 0.3;
/// Fraction of a link's measured use that remains after one second.
const USE_RETAINED_PER_S: f64 = 0.8;

/// Priority class of a transfer, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
pub enum TransferClass {
    /// A person waits for the request.
    #[strum(serialize = "quick")]
    Interactive,
    /// Long-running work; its pieces wait for pending interactive ones.
    #[strum(serialize = "long")]
    Batch,
    /// No request waits, as for an export.
    #[strum(serialize = "idle")]
    Background,
}

const CLASS_COUNT: usize = 3;

/// Link to one tier of one store.
#[derive(Debug, Clone)]
pub struct Link {
    declared_bytes_per_ms: f64,
    bytes_per_ms: f64,
    pending_bytes: [u64; CLASS_COUNT],
    recent_bytes: f64,
    recent_bytes_at_ms: f64,
    is_down: bool,
}

impl Link {
    fn new(rate: BytesPerSec) -> Self {
        let bytes_per_ms = rate.get() as f64 / 1_000.0;
        Self {
            declared_bytes_per_ms: bytes_per_ms,
            bytes_per_ms,
            pending_bytes: [0; CLASS_COUNT],
            recent_bytes: 0.0,
            recent_bytes_at_ms: 0.0,
            is_down: false,
        }
    }

    /// Returns the time that transferring `size` takes after the transfer has started, in milliseconds.
    pub fn transfer_ms(&self, size: Bytes) -> f64 {
        size.get() as f64 / self.bytes_per_ms
    }

    /// Returns how long a transfer of `class` is queued, in milliseconds.
    ///
    /// It waits for the pending bytes of its own and more urgent classes. Of less urgent classes it waits for at most
    /// one piece, of size `piece`, since a piece that has started is never interrupted.
    pub fn wait_ms(&self, class: TransferClass, piece: Bytes) -> f64 {
        let ahead_bytes: u64 = self.pending_bytes[..=class as usize].iter().sum();
        let behind_bytes: u64 = self.pending_bytes[class as usize + 1..].iter().sum();
        (ahead_bytes + behind_bytes.min(piece.get())) as f64 / self.bytes_per_ms
    }

    /// Returns the link's utilization over the last seconds, from 0 to 1, multiplied by the declared rate over the
    /// estimated one where the link is slower than declared.
    pub fn congestion(&self, now_ms: f64) -> f64 {
        let window_ms = 1_000.0 / -USE_RETAINED_PER_S.ln();
        let utilization = self.decayed_bytes(now_ms) / (self.bytes_per_ms * window_ms);
        utilization.min(1.0) * (self.declared_bytes_per_ms / self.bytes_per_ms).max(1.0)
    }

    /// Returns true if the store does not respond, so that transfers would fail.
    pub const fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns the recently transferred bytes, decayed to `now_ms`.
    fn decayed_bytes(&self, now_ms: f64) -> f64 {
        self.recent_bytes
            * USE_RETAINED_PER_S.powf((now_ms - self.recent_bytes_at_ms).max(0.0) / 1_000.0)
    }
}

/// Links of all stores that a pool uses.
#[derive(Debug, Clone)]
pub struct LinkTable {
    links: Vec<[Link; 2]>,
}

impl LinkTable {
    /// Creates idle links with their declared rates, memory before disk for each store.
    pub fn new(rates: &[[BytesPerSec; 2]]) -> Self {
        Self { links: rates.iter().map(|rates| rates.map(Link::new)).collect() }
    }

    /// Returns the link to a tier of a store.
    ///
    /// # Panics
    ///
    /// If `store` is not below [`Self::store_count`].
    pub fn link(&self, store: StoreSlot, tier: Tier) -> &Link {
        &self.links[store.0 as usize][tier as usize]
    }

    fn link_mut(&mut self, store: StoreSlot, tier: Tier) -> &mut Link {
        &mut self.links[store.0 as usize][tier as usize]
    }

    /// Returns the number of stores.
    pub fn store_count(&self) -> usize {
        self.links.len()
    }

    /// Adds a planned transfer to the pending bytes of its link.
    pub fn reserve(&mut self, store: StoreSlot, tier: Tier, class: TransferClass, size: Bytes) {
        self.link_mut(store, tier).pending_bytes[class as usize] += size.get();
    }

    /// Removes bytes that will not be transferred from the pending ones.
    pub fn release(&mut self, store: StoreSlot, tier: Tier, class: TransferClass, size: Bytes) {
        let pending = &mut self.link_mut(store, tier).pending_bytes[class as usize];
        *pending = pending.saturating_sub(size.get());
    }

    /// Records a finished transfer that took `transfer_ms` without queueing, and updates the link's rate and use.
    pub fn complete(
        &mut self,
        (store, tier): (StoreSlot, Tier),
        class: TransferClass,
        size: Bytes,
        transfer_ms: f64,
        now_ms: f64,
    ) {
        self.release(store, tier, class, size);
        let link = self.link_mut(store, tier);
        let observed = size.get() as f64 / transfer_ms.max(0.001);
        link.bytes_per_ms += (observed - link.bytes_per_ms) * RATE_GAIN;
        link.recent_bytes = link.decayed_bytes(now_ms) + size.get() as f64;
        link.recent_bytes_at_ms = now_ms;
    }

    /// Lowers the rate estimate after a piece of `size` has not arrived within `waited_ms` of transfer time.
    pub fn record_delay(&mut self, (store, tier): (StoreSlot, Tier), size: Bytes, waited_ms: f64) {
        let link = self.link_mut(store, tier);
        let max_bytes_per_ms = size.get() as f64 / waited_ms.max(0.001);
        if max_bytes_per_ms < link.bytes_per_ms {
            link.bytes_per_ms += (max_bytes_per_ms - link.bytes_per_ms) * RATE_GAIN;
        }
    }

    /// Marks the links of a store as down or up again.
    pub fn set_store_down(&mut self, store: StoreSlot, is_down: bool) {
        self.links[store.0 as usize].iter_mut().for_each(|link| link.is_down = is_down);
    }
}

/// State of an import at a piece boundary.
#[derive(Debug, Clone, Copy)]
pub struct ImportProgress {
    /// Number of pieces that have not arrived yet.
    pub remaining_pieces: u32,
    /// Expected time per piece, including the transfers that are queued ahead of it, in milliseconds.
    pub piece_ms: f64,
    /// Time that the engine takes to compute the blocks of one piece, in milliseconds.
    pub recompute_ms: f64,
    /// Time for which the engine is still busy with other work, in milliseconds.
    pub engine_wait_ms: f64,
}

impl ImportProgress {
    /// Returns true if importing the remaining pieces takes no longer than recomputing them. Otherwise the caller stops
    /// the import and has the engine recompute the rest.
    pub fn should_continue(&self) -> bool {
        let remaining = f64::from(self.remaining_pieces);
        self.piece_ms * remaining <= self.engine_wait_ms + self.recompute_ms * remaining
    }
}
