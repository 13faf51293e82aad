//! The wire format of stores of cache blocks, and of the engines' orders to move blocks.
//!
//! A store:
//!
//! * `POST /manifests` with a [`LookUpBody`] answers the [`StoredExport`]s that hold any of the blocks.
//! * `GET /usage` answers a [`StoreUsage`].
//! * `POST /exports` opens a space and answers an [`ExportSpace`]; `PUT /exports/<space>/pieces/<block>` writes a piece,
//!   and `PUT /exports/<space>/manifest` makes the export visible, after all of its pieces.
//! * `GET /exports/<space>/pieces/<place>` answers a piece's bytes, `GET /exports/<space>` an [`ExportSpace`].
//!
//! An engine: `POST /kv/import` with an [`ImportOrder`] answers an [`ImportReport`], `POST /kv/export` with an
//! [`ExportOrder`] an [`ExportReport`]. Blocks move between engine and store; whoever orders never sees them.

use std::net::SocketAddr;

use bilberryford_cache::{Manifest, Owner, Tier};
use bilberryford_types::{Bytes, Digest, Generation, TimeMs};
use serde::{Deserialize, Serialize};

/// The tier of a store, as it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TierName {
    /// The store's memory.
    Memory,
    /// The store's disk.
    Disk,
}

impl From<Tier> for TierName {
    fn from(tier: Tier) -> Self {
        match tier {
            Tier::Memory => Self::Memory,
            Tier::Disk => Self::Disk,
        }
    }
}

impl From<TierName> for Tier {
    fn from(tier: TierName) -> Self {
        match tier {
            TierName::Memory => Self::Memory,
            TierName::Disk => Self::Disk,
        }
    }
}

/// Which blocks are looked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUpBody {
    /// The blocks.
    pub blocks: Vec<Digest>,
}

/// An export as a store holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredExport {
    /// Its place in the store.
    pub space: u64,
    /// Where it is.
    pub tier: TierName,
    /// What it consists of.
    pub manifest: Manifest,
}

/// A space and its generation now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportSpace {
    /// Its place in the store.
    pub space: u64,
    /// Freeing the space moves it on.
    pub generation: Generation,
}

/// What a store holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUsage {
    /// Pieces in memory.
    pub memory_pieces: u64,
    /// Pieces on disk.
    pub disk_pieces: u64,
}

/// An order to an engine to read blocks from a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportOrder {
    /// Whose blocks are wanted; an export of another is a miss.
    pub owner: Owner,
    /// Where the store is.
    pub store: SocketAddr,
    /// The wanted blocks, first to last.
    pub blocks: Vec<Digest>,
    /// The exports that hold them.
    pub exports: Vec<StoredExport>,
    /// After that time the engine begins no further piece, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub time_limit: TimeMs,
}

/// What an engine imported; a block that is not listed is a miss.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportReport {
    /// The blocks that it holds now.
    pub imported: Vec<Digest>,
    /// The bytes that were read from the store's memory, those of misses included.
    pub memory: Bytes,
    /// The bytes that were read from the store's disk, those of misses included.
    pub disk: Bytes,
}

/// An order to an engine to write blocks to a store; it writes those that it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportOrder {
    /// Whose blocks they are.
    pub owner: Owner,
    /// Where the store is.
    pub store: SocketAddr,
    /// The blocks, in the order of their chain.
    pub blocks: Vec<Digest>,
}

/// What an engine exported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportReport {
    /// The export; none when the engine holds no such block.
    pub export: Option<StoredExport>,
    /// The bytes that were written.
    pub written: Bytes,
}
