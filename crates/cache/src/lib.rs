//! Returning context: where it may be, what it costs to bring back, and where a request should go.
//!
//! A prompt is a chain of blocks ([`PrefixChain`]). Each block's name is a hash over everything before it, salted with
//! team, model, weight version and adapter, so that a block of another team or version has another name and can't
//! even be asked for. See `docs/design/placement.md`.

mod chain;

pub use chain::{BLOCK_TOKENS, ChainSalt, PrefixChain, prompt_tokens};
