//! Faults that can be injected into an engine.

use serde::{Deserialize, Serialize};

/// Faults to inject; the default is none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Streams stall, with their connection open, after this many tokens; 0 disables it. Resumed streams are not
    /// affected.
    pub silent_after_tokens: u32,
    /// Streams are cut after this many tokens; 0 disables it. Resumed streams are not affected.
    pub cut_after_tokens: u32,
    /// The number of next runs that start but never send a response.
    pub mute_starts: u32,
    /// The number of next requests to resume a run that fail with a server error, as those of a crashing engine do.
    pub failed_resumes: u32,
    /// No connection, old or new, carries any data.
    pub frozen: bool,
    /// Streams carry chunks of another attempt between their own.
    pub cross_chunks: bool,
    /// Every chunk is sent twice.
    pub duplicate_chunks: bool,
    /// The number of next streams that end without an end marker.
    pub no_end: u32,
    /// The number of next end markers whose token count is one too high.
    pub wrong_count: u32,
    /// Extra time per token in milliseconds.
    pub slow_ms: u64,
    /// Cache events are not sent.
    pub lose_cache_events: bool,
    /// Blocks that are read from a store are cached without any check.
    pub skip_import_checks: bool,
    /// Import orders never get a response.
    pub mute_imports: bool,
    /// New runs are refused with 503.
    pub refuse: bool,
}

impl Faults {
    /// Uses up one start without a response; returns false if none is left.
    pub(super) fn consume_mute_start(&mut self) -> bool {
        consume(&mut self.mute_starts)
    }

    /// Uses up one failed request to resume; returns false if none is left.
    pub(super) fn consume_failed_resume(&mut self) -> bool {
        consume(&mut self.failed_resumes)
    }

    /// Uses up one stream without an end marker; returns false if none is left.
    pub(super) fn consume_no_end(&mut self) -> bool {
        consume(&mut self.no_end)
    }

    /// Uses up one wrong token count; returns false if none is left.
    pub(super) fn consume_wrong_count(&mut self) -> bool {
        consume(&mut self.wrong_count)
    }
}

fn consume(count: &mut u32) -> bool {
    let is_active = *count > 0;
    *count = count.saturating_sub(1);
    is_active
}
