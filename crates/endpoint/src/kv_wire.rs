//! The wire format of stores of cache blocks, and of the orders to engines to transfer blocks.
//!
//! A store:
//!
//! * `POST /manifests` with a [`LookUpBody`] returns the [`StoredExport`]s that hold any of the blocks.
//! * `GET /usage` returns a [`StoreUsage`].
//! * `POST /exports` allocates a space and returns an [`ExportSpace`]. `PUT /exports/<space>/pieces/<block>` writes a
//!   piece. `PUT /exports/<space>/manifest`, sent after all pieces, makes the export visible.
//! * `GET /exports/<space>/pieces/<index>` returns the bytes of a piece, `GET /exports/<space>` an [`ExportSpace`].
//!
//! An engine: `POST /kv/import` with an [`ImportOrder`] returns an [`ImportReport`], `POST /kv/export` with an
//! [`ExportOrder`] an [`ExportReport`]. Blocks are transferred directly between engine and store, never through the
//! sender of the order.

use std::net::SocketAddr;

use bilberryford_cache::{BlockOwner, Manifest, Tier};
use bilberryford_types::{Bytes, Digest, Generation, TimeMs};
use serde::{Deserialize, Serialize};

/// The serialized form of [`Tier`].
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

/// The body of a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUpBody {
    /// The blocks to find.
    pub blocks: Vec<Digest>,
}

/// An export in a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredExport {
    /// The id of its space in the store.
    pub space: u64,
    /// The tier that holds the export.
    pub tier: TierName,
    /// The list of its pieces.
    pub manifest: Manifest,
}

/// A space of a store and its current generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportSpace {
    /// The id of the space in the store.
    pub space: u64,
    /// The generation, which increases when the space is freed.
    pub generation: Generation,
}

/// The usage of a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUsage {
    /// Number of pieces in memory.
    pub memory_pieces: u64,
    /// Number of pieces on disk.
    pub disk_pieces: u64,
}

/// An order to an engine to read blocks from a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportOrder {
    /// The owner of the blocks. A block in an export of another owner counts as a miss.
    pub owner: BlockOwner,
    /// The address of the store.
    pub store: SocketAddr,
    /// The blocks to import, in the order of their chain.
    pub blocks: Vec<Digest>,
    /// The exports that hold the blocks.
    pub exports: Vec<StoredExport>,
    /// The duration, in milliseconds, after which the engine starts to read no further piece.
    #[serde(rename = "patience_ms")]
    pub time_limit: TimeMs,
}

/// The result of an import. A block that is not listed is a miss.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ImportReport {
    /// The blocks that the engine now holds.
    pub imported: Vec<Digest>,
    /// Bytes read from the store's memory, including those of misses.
    pub memory: Bytes,
    /// Bytes read from the store's disk, including those of misses.
    pub disk: Bytes,
}

/// An order to an engine to write blocks to a store. Blocks that the engine does not hold are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportOrder {
    /// The owner of the blocks.
    pub owner: BlockOwner,
    /// The address of the store.
    pub store: SocketAddr,
    /// The blocks, in the order of their chain.
    pub blocks: Vec<Digest>,
}

/// The result of an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportReport {
    /// The export, or `None` if the engine holds none of the blocks.
    pub export: Option<StoredExport>,
    /// Bytes written.
    pub written: Bytes,
}
