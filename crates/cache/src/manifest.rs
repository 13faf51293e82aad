//! Manifests of exports, and the verification of imports against them.
//!
//! # Invariant
//!
//! A piece is used only if its manifest lists the requested block for the requested team, model and weight version, its
//! bytes have the digest in the manifest, and the generation of the export's space is the same after reading as in the
//! manifest. A manifest is written after all of its pieces. A block that was freed or partly written therefore reads as
//! a miss, even if an index still lists it.

use bilberryford_types::{Bytes, Digest, Generation, ModelName, TeamName, WeightVersion};
use serde::{Deserialize, Serialize};

/// Piece of an export: the exported bytes of one block.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Hash of the block in its prefix chain.
    pub block: Digest,
    /// Digest of the piece's bytes.
    pub digest: Digest,
    /// Size of the piece.
    pub size: Bytes,
}

/// Team, model and weight version that blocks belong to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockOwner {
    /// Team that sent the prompt.
    pub team: TeamName,
    /// Model that computed the blocks.
    pub model: ModelName,
    /// Version of the model's weights that computed the blocks.
    pub weight_version: WeightVersion,
}

/// Content of an export, which is readable only once its manifest is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Owner of all blocks in the export.
    pub owner: BlockOwner,
    /// Generation of the space that the export is stored in; it increases when the space is freed.
    pub generation: Generation,
    /// Number of pieces, which detects a list of pieces that was cut off.
    pub count: u32,
    /// Pieces in the order of their chain.
    pub pieces: Vec<Piece>,
}

/// Reason for which a piece must not be used and the import is a miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ImportMiss {
    /// The export belongs to another team, model or weight version.
    #[error("the export belongs to another team, model or weight version")]
    OwnerMismatch,
    /// The number of listed pieces differs from the manifest's count.
    #[error("the number of listed pieces differs from the manifest's count")]
    IncompleteManifest,
    /// The manifest does not list the requested block.
    #[error("the manifest does not list the block")]
    BlockNotListed,
    /// The digest of the piece's bytes differs from the one in the manifest.
    #[error("the piece was overwritten or only partly written")]
    DigestMismatch,
    /// The space was freed before or during the read.
    #[error("the space was freed before or during the read")]
    GenerationChanged,
}

/// Computes the digest of a piece's bytes.
pub fn piece_digest(bytes: &[u8]) -> Digest {
    Digest(*blake3::hash(bytes).as_bytes())
}

impl Manifest {
    /// Returns the piece that holds `block`, after checking the manifest and its owner. Call this before reading data.
    ///
    /// # Errors
    ///
    /// [`ImportMiss`] if the owner differs, the manifest is incomplete or the block is not listed.
    pub fn find_piece(&self, owner: &BlockOwner, block: &Digest) -> Result<&Piece, ImportMiss> {
        if self.owner != *owner {
            return Err(ImportMiss::OwnerMismatch);
        }
        if self.pieces.len() != self.count as usize {
            return Err(ImportMiss::IncompleteManifest);
        }
        self.pieces.iter().find(|piece| piece.block == *block).ok_or(ImportMiss::BlockNotListed)
    }

    /// Verifies the bytes that were read, with the generation that the store reported after the read.
    ///
    /// # Errors
    ///
    /// [`ImportMiss`] if the bytes differ from the exported ones or the space was freed.
    pub fn verify_piece(
        &self,
        piece: &Piece,
        bytes: &[u8],
        generation_after: Generation,
    ) -> Result<(), ImportMiss> {
        if piece_digest(bytes) != piece.digest {
            return Err(ImportMiss::DigestMismatch);
        }
        if generation_after != self.generation {
            return Err(ImportMiss::GenerationChanged);
        }
        Ok(())
    }
}
