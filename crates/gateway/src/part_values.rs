//! The value of cached parts: how often they are used, which ones a store keeps, and why parts are prefilled again.
//!
//! See `docs/design/store-contents.md`.

mod account;
mod eviction;
mod usage;

use std::{collections::HashMap, net::SocketAddr};

pub use account::{PartAccount, PartOutcome, SaveOutcome};
pub(crate) use eviction::ANNOUNCEMENT_EXPIRY_MS;
pub use eviction::{
    EvictionStep, LEARNING_MS, STEP_INTERVAL_MS, StoreContents, StoreEviction, grace_ms,
};
pub(crate) use usage::MAX_REPORTED_USES;
pub use usage::{PartUsage, PendingUses, UseEstimate, UsesReport};

/// What this instance knows of the uses of parts.
#[derive(Debug, Default)]
pub(crate) struct PartValues {
    /// The uses that were reported to this instance as the owner of stores, by store.
    pub(crate) usage: HashMap<SocketAddr, PartUsage>,
    /// The uses that it is yet to report.
    pub(crate) pending: PendingUses,
}
