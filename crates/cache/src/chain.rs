//! Prefix chains.

use bilberryford_types::{Digest, ModelName, TeamName, Tokens, WeightVersion};

/// How many tokens a block holds.
pub const BLOCK_TOKENS: Tokens = Tokens(2_000);

/// How many bytes of text count as a token. Engines count exactly; this estimate only steers.
const BYTES_PER_TOKEN: usize = 4;

/// How many bytes of text a block covers.
const BLOCK_BYTES: usize = BLOCK_TOKENS.0 as usize * BYTES_PER_TOKEN;

/// About how many tokens `prompt` has.
pub fn estimate_prompt_tokens(prompt: &str) -> Tokens {
    Tokens(u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX))
}

/// What a chain is salted with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainSalt {
    /// The team.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The weight version.
    pub weight_version: WeightVersion,
    /// The adapter, empty for none.
    pub adapter: String,
}

/// The names of a prompt's full blocks, first to last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    blocks: Vec<Digest>,
}

impl PrefixChain {
    /// The chain of `prompt`; a last part that fills no block has no name.
    pub fn from_prompt(salt: &ChainSalt, prompt: &str) -> Self {
        let mut previous = salt_digest(salt);
        let blocks = prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                previous = link(previous, block);
                previous
            })
            .collect();
        Self { blocks }
    }

    /// A chain of known names.
    pub const fn from_blocks(blocks: Vec<Digest>) -> Self {
        Self { blocks }
    }

    /// The names, first to last.
    pub fn blocks(&self) -> &[Digest] {
        &self.blocks
    }
}

fn salt_digest(salt: &ChainSalt) -> Digest {
    let parts =
        [salt.team.as_str(), salt.model.as_str(), salt.weight_version.as_str(), &salt.adapter];
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    Digest(*hasher.finalize().as_bytes())
}

fn link(previous: Digest, block: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.0);
    hasher.update(block);
    Digest(*hasher.finalize().as_bytes())
}
