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

pub use chain::{BLOCK_TOKENS, ChainSalt, PrefixChain, prompt_tokens};
pub use decide::{
    Decision, EngineView, LinkSet, PlaceRequest, Views, Weights, decide, import_plan, split_at,
};
pub use index::{
    BlockIndex, CacheEvent, CacheSnapshot, EngineSlot, Fed, Holders, MAX_ENGINES, MAX_STORES,
    StoreSlot, Tier,
};
pub use links::{ImportProgress, Link, LinkClass, LinkLedger};
pub use load::{LoadSample, LoadView};
pub use manifest::{ImportMiss, Manifest, Owner, Piece, piece_digest};
pub use write_back::{Export, WriteBack, home_store};
