//! The link ledger: what is on its way over the links to the stores, by class.

use bilberryford_types::{Bytes, BytesPerSec};

use crate::{StoreSlot, Tier};

/// How much one observed transfer moves the estimate of a link's rate.
const RATE_GAIN: f64 = 0.3;
/// How fast the measured use of a link follows, as the share that remains after a second.
const USE_DECAY_PER_S: f64 = 0.8;

/// Who waits for a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, strum::Display)]
pub enum TransferClass {
    /// A person waits.
    #[strum(serialize = "quick")]
    Interactive,
    /// Long work, whose pieces give way to quick ones.
    #[strum(serialize = "long")]
    Batch,
    /// Nobody waits; an export.
    #[strum(serialize = "idle")]
    Background,
}

const CLASSES: usize = 3;

/// One link, to one tier of one store.
#[derive(Debug, Clone)]
pub struct Link {
    declared: f64,
    bytes_per_ms: f64,
    pending: [u64; CLASSES],
    use_bytes: f64,
    use_at_ms: f64,
    is_down: bool,
}

impl Link {
    fn new(rate: BytesPerSec) -> Self {
        let bytes_per_ms = rate.get() as f64 / 1_000.0;
        Self {
            declared: bytes_per_ms,
            bytes_per_ms,
            pending: [0; CLASSES],
            use_bytes: 0.0,
            use_at_ms: 0.0,
            is_down: false,
        }
    }

    /// How long `size` takes once it moves, in milliseconds.
    pub fn transfer_ms(&self, size: Bytes) -> f64 {
        size.get() as f64 / self.bytes_per_ms
    }

    /// How long a transfer of `class` waits for what is ahead, in milliseconds; `piece` is the size of one piece, since
    /// a piece that moves is never interrupted.
    pub fn wait_ms(&self, class: TransferClass, piece: Bytes) -> f64 {
        let ahead: u64 = self.pending[..=class as usize].iter().sum();
        let behind: u64 = self.pending[class as usize + 1..].iter().sum();
        (ahead + behind.min(piece.get())) as f64 / self.bytes_per_ms
    }

    /// How scarce the link is: the share of the last seconds in which it was used, and above 1 when it is slower than
    /// declared.
    pub fn congestion(&self, now_ms: f64) -> f64 {
        let window_ms = 1_000.0 / -USE_DECAY_PER_S.ln();
        let used = self.decayed(now_ms) / (self.bytes_per_ms * window_ms);
        used.min(1.0) * (self.declared / self.bytes_per_ms).max(1.0)
    }

    /// Whether transfers fail.
    pub const fn is_down(&self) -> bool {
        self.is_down
    }

    fn decayed(&self, now_ms: f64) -> f64 {
        self.use_bytes * USE_DECAY_PER_S.powf((now_ms - self.use_at_ms).max(0.0) / 1_000.0)
    }
}

/// All links of a cell.
#[derive(Debug, Clone)]
pub struct LinkTable {
    links: Vec<[Link; 2]>,
}

impl LinkTable {
    /// Links at their declared rates, memory before disk for each store.
    pub fn new(rates: &[[BytesPerSec; 2]]) -> Self {
        Self { links: rates.iter().map(|rates| rates.map(Link::new)).collect() }
    }

    /// One link.
    pub fn link(&self, store: StoreSlot, tier: Tier) -> &Link {
        &self.links[store.0 as usize][tier as usize]
    }

    fn link_mut(&mut self, store: StoreSlot, tier: Tier) -> &mut Link {
        &mut self.links[store.0 as usize][tier as usize]
    }

    /// How many stores there are.
    pub fn store_count(&self) -> usize {
        self.links.len()
    }

    /// Books a transfer that was decided on.
    pub fn reserve(&mut self, store: StoreSlot, tier: Tier, class: TransferClass, size: Bytes) {
        self.link_mut(store, tier).pending[class as usize] += size.get();
    }

    /// Takes back what will not be transferred.
    pub fn release(&mut self, store: StoreSlot, tier: Tier, class: TransferClass, size: Bytes) {
        let pending = &mut self.link_mut(store, tier).pending[class as usize];
        *pending = pending.saturating_sub(size.get());
    }

    /// Notes a transfer that ended, with the milliseconds for which it moved, and learns the rate from it.
    pub fn complete(
        &mut self,
        (store, tier): (StoreSlot, Tier),
        class: TransferClass,
        size: Bytes,
        moved_ms: f64,
        now_ms: f64,
    ) {
        self.release(store, tier, class, size);
        let link = self.link_mut(store, tier);
        let seen = size.get() as f64 / moved_ms.max(0.001);
        link.bytes_per_ms += (seen - link.bytes_per_ms) * RATE_GAIN;
        link.use_bytes = link.decayed(now_ms) + size.get() as f64;
        link.use_at_ms = now_ms;
    }

    /// Notes that a piece had not come after `waited_ms` of moving, and learns from it that the link is slower.
    pub fn record_delay(&mut self, (store, tier): (StoreSlot, Tier), size: Bytes, waited_ms: f64) {
        let link = self.link_mut(store, tier);
        let most = size.get() as f64 / waited_ms.max(0.001);
        if most < link.bytes_per_ms {
            link.bytes_per_ms += (most - link.bytes_per_ms) * RATE_GAIN;
        }
    }

    /// Notes that a store does not answer, or answers again.
    pub fn set_store_down(&mut self, store: StoreSlot, is_down: bool) {
        self.links[store.0 as usize].iter_mut().for_each(|link| link.is_down = is_down);
    }
}

/// An import on its way, seen at a piece boundary.
#[derive(Debug, Clone, Copy)]
pub struct ImportProgress {
    /// The pieces that are still to come.
    pub remaining_pieces: u32,
    /// How long a piece takes now, with what is ahead of it, in milliseconds.
    pub piece_ms: f64,
    /// How long the engine would compute one piece, in milliseconds.
    pub recompute_ms: f64,
    /// How long the engine will be busy with others, in milliseconds.
    pub engine_wait_ms: f64,
}

impl ImportProgress {
    /// Whether to go on importing; otherwise the rest is recomputed.
    pub fn should_continue(&self) -> bool {
        let rest = f64::from(self.remaining_pieces);
        self.piece_ms * rest <= self.engine_wait_ms + self.recompute_ms * rest
    }
}
