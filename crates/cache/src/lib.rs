//! Placement of prompts by their cached prefixes: which engines and stores hold the blocks of a prompt, what an import
//! costs, and which engine should serve the request.
//!
//! A prompt is a chain of blocks ([`PrefixChain`]). A block is identified by a hash over the prefix up to its end,
//! salted with team, model, weight version and adapter. A block of another team or version therefore has another hash
//! and is never found by a request of this one. [`decide`] compares engines, the stores to import from, and how much to
//! import or recompute. Imported data is verified against its [`Manifest`]. See `docs/design/placement.md`.

mod chain;
mod decide;
mod index;
mod links;
mod load;
mod manifest;
mod store_health;
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
pub use store_health::{StoreFailure, StoreHealth};
pub use write_back::{PendingExport, WriteBackQueue, home_store};
