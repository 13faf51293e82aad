//! Faults that can be injected into the platform, and its counters of calls.

use serde::{Deserialize, Serialize};

/// Faults to inject; the default is none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and has no effect.
    pub outage: bool,
    /// Delay of every call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Delay between a write's effect and its response, in milliseconds.
    pub answer_slow_ms: u64,
    /// The number of next writes that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Limits `lose_answers` and `delay_writes` to writes of this kind; empty for all kinds.
    pub only_kind: String,
    /// The number of next writes that get status 500 and take effect after `delay_ms`.
    pub delay_writes: u32,
    /// Delay of late writes in milliseconds; see `delay_writes`.
    pub delay_ms: u64,
    /// Age of the list of instances that is returned, in milliseconds.
    pub list_lag_ms: u64,
    /// The list of instances no longer changes.
    pub list_frozen: bool,
    /// Limit of calls per second; 0 for no limit.
    pub max_calls_per_s: u32,
}

/// Counters of calls.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Reads of one object.
    pub gets: u64,
    /// Writes and deletes.
    pub puts: u64,
    /// Lists of the objects of a kind.
    pub lists: u64,
    /// Watches of a kind; each counts once.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Writes whose precondition did not hold.
    pub conflicts: u64,
    /// Calls refused by the rate limit or an outage.
    pub refused: u64,
    /// Bytes of the bodies of calls and responses.
    pub bytes: u64,
}

impl Stats {
    /// Returns the number of all calls.
    pub const fn calls(&self) -> u64 {
        self.gets + self.puts + self.lists + self.watches + self.instances
    }
}

impl Faults {
    pub(super) fn applies_to(&self, kind: &str) -> bool {
        self.only_kind.is_empty() || self.only_kind == kind
    }
}
