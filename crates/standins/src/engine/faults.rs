//! What can be switched on at an engine.

use serde::{Deserialize, Serialize};

/// The faults of an engine; the default has none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Streams stop after that many tokens and stay open; 0 for never. Resumed streams go on.
    pub silent_after_tokens: u32,
    /// Streams are cut after that many tokens; 0 for never. Resumed streams go on.
    pub cut_after_tokens: u32,
    /// That many next runs start, but their connection never carries anything.
    pub mute_starts: u32,
    /// Nothing is answered on any connection, old or new.
    pub frozen: bool,
    /// Chunks of another attempt come between a stream's own.
    pub cross_chunks: bool,
    /// Every chunk comes twice.
    pub duplicate_chunks: bool,
    /// That many next streams end without their end marker.
    pub no_end: u32,
    /// That many next end markers count one token too many.
    pub wrong_count: u32,
    /// Every token takes that much longer, in milliseconds.
    pub slow_ms: u64,
    /// Cache events are not told.
    pub lose_cache_events: bool,
    /// What is read from a store is kept without any check.
    pub skip_import_checks: bool,
    /// Orders to import are never answered.
    pub mute_imports: bool,
    /// New runs are refused with 503.
    pub refuse: bool,
}

impl Faults {
    /// Uses up one of the runs that stay mute.
    pub(super) fn take_mute_start(&mut self) -> bool {
        take(&mut self.mute_starts)
    }

    /// Uses up one of the streams without an end marker.
    pub(super) fn take_no_end(&mut self) -> bool {
        take(&mut self.no_end)
    }

    /// Uses up one of the wrong counts.
    pub(super) fn take_wrong_count(&mut self) -> bool {
        take(&mut self.wrong_count)
    }
}

fn take(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}
