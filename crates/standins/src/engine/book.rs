//! The engine's book.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::cache::Found;

/// What really ran.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Runs that were started.
    pub started: u64,
    /// Runs that came to their end.
    pub finished: u64,
    /// Runs that were refused.
    pub refused: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Streams that were picked up on a new connection.
    pub resumed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes by the digest of the prompt that caused them.
    pub crashes_by_prompt: HashMap<String, u32>,
    /// Runs whose given text did not fit the answer.
    pub bad_continuations: u64,
    /// Runs that asked for a weight version that was not there.
    pub wrong_version: u64,
    /// Blocks that runs found in the cache.
    pub cached_blocks: u64,
    /// Blocks that were imported.
    pub imported_blocks: u64,
    /// Blocks that could not be imported.
    pub import_misses: u64,
    /// Blocks that were kept though they were freed, partly written, or of another team or weight version.
    pub bad_imports: u64,
    /// Blocks that a run used though they are not what the engine would have computed for it.
    pub bad_blocks_used: u64,
    /// Blocks that were exported.
    pub exported_blocks: u64,
}

impl Stats {
    /// Notes what a run found in the cache.
    pub(super) fn found(&mut self, found: Found) {
        self.cached_blocks += u64::from(found.blocks);
        self.bad_blocks_used += found.bad_blocks;
    }
}
