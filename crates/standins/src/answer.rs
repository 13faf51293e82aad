//! The text that an engine generates: a function of prompt and weight version, so that it can be checked byte for byte.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the token at `index` of the text for `prompt` under `weight_version`.
pub fn token(prompt: &str, weight_version: &str, index: u32) -> String {
    token_for_seed(seed(prompt, weight_version), index)
}

/// Returns the seed from which all tokens of a text are derived.
pub fn seed(prompt: &str, weight_version: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(weight_version.as_bytes(), 0))
}

/// Returns the token at `index` of the text with this seed.
pub fn token_for_seed(seed: u64, index: u32) -> String {
    format!(" {:04x}", xxh3_64_with_seed(&index.to_le_bytes(), seed) & 0xffff)
}

/// Returns the complete text of `tokens` tokens.
pub fn full_text(prompt: &str, weight_version: &str, tokens: u32) -> String {
    let seed = seed(prompt, weight_version);
    (0..tokens).map(|index| token_for_seed(seed, index)).collect()
}

/// Returns the prompt into which an instance renders a chat of one user message.
pub fn chat_prompt(content: &str) -> String {
    format!("user: {content}\n")
}
