//! Returning context: where it may be, what it costs to bring back, and where a request should go.
//!
//! A prompt is a chain of blocks ([`PrefixChain`]). Each block's name is a hash over everything before it, salted with
//! team, model, weight version and adapter, so that a block of another team or version has another name and can't
//! even be asked for. [`decide`] weighs endpoints, sources and splits; what is read is checked against its
//! [`Manifest`]. See `docs/design/placement.md`.

mod chain;
mod decide;
mod index;
mod links;
mod load;
mod manifest;
mod write_back;

pub use chain::{BLOCK_TOKENS, ChainSalt, PrefixChain, estimate_prompt_tokens};
pub use decide::{
    CostWeights, EngineView, LinkSet, PlacementDecision, PlacementRequest, PlacementView, decide,
    decide_for_engine, import_sources,
};
pub use index::{
    BlockIndex, CacheEvent, CacheSnapshot, EngineSlot, EventOutcome, Holders, MAX_ENGINES,
    MAX_STORES, StoreSlot, Tier,
};
pub use links::{ImportProgress, Link, LinkTable, TransferClass};
pub use load::{LoadSample, LoadView};
pub use manifest::{BlockOwner, ImportMiss, Manifest, Piece, piece_digest};
pub use write_back::{PendingExport, WriteBackQueue, home_store};
