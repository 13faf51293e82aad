//! Counters of what an engine executed.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::cache::CacheLookup;

/// Counters of what an engine executed, independent of what bilberryford reports.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Runs that were started.
    pub started: u64,
    /// Runs that completed.
    pub finished: u64,
    /// Runs that were refused.
    pub refused: u64,
    /// Runs that were cancelled.
    pub cancelled: u64,
    /// Streams that were resumed on a new connection.
    pub resumed: u64,
    /// Crashes.
    pub crashes: u64,
    /// Crashes by the digest of the prompt that caused them.
    pub crashes_by_prompt: HashMap<String, u32>,
    /// Continued runs whose text so far differs from the text that this prompt yields.
    pub bad_continuations: u64,
    /// Runs that named a weight version that the engine does not serve.
    pub wrong_version: u64,
    /// Prompt blocks that were found in the cache.
    pub cached_blocks: u64,
    /// Blocks that were imported.
    pub imported_blocks: u64,
    /// Blocks that could not be imported.
    pub import_misses: u64,
    /// Blocks that were cached although they had been freed, were partly written, or belong to another team or weight
    /// version.
    pub bad_imports: u64,
    /// Cached blocks that a run used although they differ from what the engine would have computed for it.
    pub bad_blocks_used: u64,
    /// Blocks that were exported.
    pub exported_blocks: u64,
}

impl Stats {
    /// Adds the result of a cache look-up.
    pub(super) fn record_lookup(&mut self, lookup: CacheLookup) {
        self.cached_blocks += u64::from(lookup.blocks);
        self.bad_blocks_used += lookup.bad_blocks;
    }
}
