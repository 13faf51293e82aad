//! Tolerates gaps in the platform's list of endpoints.
//!
//! The list lags and may be incomplete: a row that is missing once may be an error of the list, and a list that lost
//! half of its rows is more likely broken than correct. Missing rows are therefore retained for a while, and longer if
//! many are missing at once. Retaining a dead endpoint costs a failed connect; dropping a live one costs capacity. See
//! `docs/design/membership.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bilberryford_types::{EndpointId, TimeMs};

/// The most rows that are tracked.
pub const MAX_LISTED_ENDPOINTS: usize = 16_384;
/// How long a row may be missing before its endpoint is considered gone.
const MISSING_GRACE: TimeMs = TimeMs(3_000);
/// The same while at least half of the rows are missing.
const BULK_LOSS_GRACE: TimeMs = TimeMs(60_000);

/// An endpoint together with its address, which is part of its identity.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AddressedEndpoint {
    /// The name of the endpoint.
    pub endpoint: EndpointId,
    /// The address at which it serves.
    pub address: SocketAddr,
}

/// The rows of the list, with the time at which each was last present.
#[derive(Debug, Clone, Default)]
pub struct EndpointListing {
    last_seen: BTreeMap<AddressedEndpoint, TimeMs>,
}

impl EndpointListing {
    /// Applies one reading of the list and returns the endpoints that are now considered gone, each of them once.
    pub fn observe(
        &mut self,
        rows: impl IntoIterator<Item = AddressedEndpoint>,
        now: TimeMs,
    ) -> BTreeSet<AddressedEndpoint> {
        let rows: BTreeSet<_> = rows.into_iter().take(MAX_LISTED_ENDPOINTS).collect();
        let present = self.last_seen.keys().filter(|row| rows.contains(row)).count();
        let grace =
            if present * 2 <= self.last_seen.len() { BULK_LOSS_GRACE } else { MISSING_GRACE };
        let gone: BTreeSet<_> = self
            .last_seen
            .iter()
            .filter(|(row, last_seen)| !rows.contains(row) && now.since(**last_seen) >= grace)
            .map(|(row, _)| row.clone())
            .collect();
        self.last_seen.retain(|row, _| !gone.contains(row));
        for row in rows {
            if self.last_seen.len() < MAX_LISTED_ENDPOINTS || self.last_seen.contains_key(&row) {
                self.last_seen.insert(row, now);
            }
        }
        gone
    }
}
