//! What an engine answers: a function of prompt and weight version, so that anyone can check an answer byte for byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The token at `index` of the answer to `prompt` under `weight_version`.
pub fn token(prompt: &str, weight_version: &str, index: u32) -> String {
    token_for_seed(seed(prompt, weight_version), index)
}

/// What all tokens of an answer have in common.
pub fn seed(prompt: &str, weight_version: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(weight_version.as_bytes(), 0))
}

/// The token at `index` for a seed.
pub fn token_for_seed(seed: u64, index: u32) -> String {
    format!(" {:04x}", xxh3_64_with_seed(&index.to_le_bytes(), seed) & 0xffff)
}

/// The whole answer.
pub fn full_text(prompt: &str, weight_version: &str, tokens: u32) -> String {
    let seed = seed(prompt, weight_version);
    (0..tokens).map(|index| token_for_seed(seed, index)).collect()
}

/// The prompt that a chat of one user message becomes.
pub fn chat_prompt(content: &str) -> String {
    format!("user: {content}\n")
}
