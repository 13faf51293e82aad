//! Prefix chains: the block hashes that identify a prompt.

use bilberryford_types::{Digest, ModelName, TeamName, Tokens, WeightVersion};

/// Number of tokens in a block.
pub const BLOCK_TOKENS: Tokens = Tokens(2_000);

/// Assumed number of bytes of text per token. Engines count exactly; the estimate only guides decisions.
const BYTES_PER_TOKEN: usize = 4;

/// Number of bytes of text in a block.
const BLOCK_BYTES: usize = BLOCK_TOKENS.0 as usize * BYTES_PER_TOKEN;

/// Estimates the number of tokens in `prompt` from its length, rounded up.
pub fn estimate_prompt_tokens(prompt: &str) -> Tokens {
    Tokens(u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX))
}

/// Salt of a chain's hashes: blocks are shared only between prompts for which all of these values are equal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainSalt {
    /// Team that sends the prompt.
    pub team: TeamName,
    /// Model that computes the blocks.
    pub model: ModelName,
    /// Version of the model's weights.
    pub weight_version: WeightVersion,
    /// Adapter applied to the weights, empty if there is none.
    pub adapter: String,
}

/// Hashes of a prompt's full blocks, first to last.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    blocks: Vec<Digest>,
}

impl PrefixChain {
    /// Computes the chain of `prompt`. Text after the last full block is not part of the chain.
    pub fn from_prompt(salt: &ChainSalt, prompt: &str) -> Self {
        let mut previous = salt_digest(salt);
        let blocks = prompt
            .as_bytes()
            .chunks_exact(BLOCK_BYTES)
            .map(|block| {
                previous = block_digest(previous, block);
                previous
            })
            .collect();
        Self { blocks }
    }

    /// Creates a chain from hashes that were computed before.
    pub const fn from_blocks(blocks: Vec<Digest>) -> Self {
        Self { blocks }
    }

    /// Returns the block hashes, first to last.
    pub fn blocks(&self) -> &[Digest] {
        &self.blocks
    }
}

/// Hashes each field with its length, so that no two different salts give the same input.
fn salt_digest(salt: &ChainSalt) -> Digest {
    let fields =
        [salt.team.as_str(), salt.model.as_str(), salt.weight_version.as_str(), &salt.adapter];
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    Digest(*hasher.finalize().as_bytes())
}

/// Hashes a block together with the hash of the block before it, which covers the whole prefix.
fn block_digest(previous: Digest, block: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&previous.0);
    hasher.update(block);
    Digest(*hasher.finalize().as_bytes())
}
