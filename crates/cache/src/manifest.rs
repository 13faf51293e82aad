//! The manifest of an export and the checks of an import.
//!
//! # Invariant
//!
//! A piece is used only when its manifest names the wanted block, team, model and weight version, its bytes have the
//! digest that the manifest gives, and the export's generation is the same after reading as before. A manifest is
//! written after all of its pieces. So a freed or partly written block reads as a miss, whatever any index says.

use bilberryford_types::{Bytes, Digest, Generation, ModelName, TeamName, WeightVersion};
use serde::{Deserialize, Serialize};

/// One piece of an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The block's name in its chain.
    pub block: Digest,
    /// The digest of the piece's bytes.
    pub digest: Digest,
    /// How long the piece is.
    pub size: Bytes,
}

/// Whose context an export holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockOwner {
    /// The team.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The weight version that computed it.
    pub weight_version: WeightVersion,
}

/// What an export consists of; it becomes visible by this alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Whose context it is.
    pub owner: BlockOwner,
    /// The generation of the space that it is stored in; freeing the space moves it on.
    pub generation: Generation,
    /// How many pieces there are.
    pub count: u32,
    /// The pieces, in the order of their chain.
    pub pieces: Vec<Piece>,
}

/// Why an import is a miss.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ImportMiss {
    /// The export belongs to another team, model or weight version.
    #[error("the export belongs to another team, model or weight version")]
    OwnerMismatch,
    /// The manifest does not list as many pieces as it counts.
    #[error("the manifest is not whole")]
    IncompleteManifest,
    /// The manifest does not hold the wanted block.
    #[error("the manifest does not hold the block")]
    BlockNotListed,
    /// The piece's bytes are not those that were exported.
    #[error("the piece was overwritten or only partly written")]
    DigestMismatch,
    /// The space was freed while it was read.
    #[error("the space was freed while it was read")]
    GenerationChanged,
}

/// The digest of a piece's bytes.
pub fn piece_digest(bytes: &[u8]) -> Digest {
    Digest(*blake3::hash(bytes).as_bytes())
}

impl Manifest {
    /// The piece that holds `block`, checked before anything is read.
    ///
    /// # Errors
    ///
    /// [`ImportMiss`] when the export is not what is wanted.
    pub fn find_piece(&self, owner: &BlockOwner, block: &Digest) -> Result<&Piece, ImportMiss> {
        if self.owner != *owner {
            return Err(ImportMiss::OwnerMismatch);
        }
        if self.pieces.len() != self.count as usize {
            return Err(ImportMiss::IncompleteManifest);
        }
        self.pieces.iter().find(|piece| piece.block == *block).ok_or(ImportMiss::BlockNotListed)
    }

    /// Checks what was read, with the generation that the store named after reading.
    ///
    /// # Errors
    ///
    /// [`ImportMiss`] when the bytes must not be used.
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
