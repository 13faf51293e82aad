//! What can be switched on at the platform, and the calls that it counted.

use serde::{Deserialize, Serialize};

/// What can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and nothing is done.
    pub outage: bool,
    /// Every call waits that long first, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and are answered that much later, in milliseconds.
    pub answer_slow_ms: u64,
    /// That many next writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// `lose_answers` and `delay_writes` hold for writes of this kind only; empty for all kinds.
    pub only_kind: String,
    /// That many next writes are answered with 500 and take effect after `delay_ms`.
    pub delay_writes: u32,
    /// See `delay_writes`, in milliseconds.
    pub delay_ms: u64,
    /// The list of instances is as it was that long ago, in milliseconds.
    pub list_lag_ms: u64,
    /// The list of instances does not change any more.
    pub list_frozen: bool,
    /// The most calls a second; 0 for no limit.
    pub max_calls_per_s: u32,
}

/// Calls as counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of one object.
    pub gets: u64,
    /// Writes and deletes.
    pub puts: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Writes whose precondition did not hold.
    pub conflicts: u64,
    /// Calls refused by the rate limit or an outage.
    pub refused: u64,
    /// Bytes of bodies that went in and out.
    pub bytes: u64,
}

impl Stats {
    /// All calls that the platform counts.
    pub const fn calls(&self) -> u64 {
        self.gets + self.puts + self.lists + self.watches + self.instances
    }
}

impl Faults {
    pub(super) fn holds_for(&self, kind: &str) -> bool {
        self.only_kind.is_empty() || self.only_kind == kind
    }
}
