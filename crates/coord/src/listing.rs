//! What a list of endpoints that lags can be believed.
//!
//! A row that is missing once may be a fault of the list, and a list that lost half of its rows is more likely broken
//! than right. So rows that are missing are kept for a while, and for longer when many are missing at once. Keeping a
//! dead endpoint costs a failed connect; dropping a live one costs capacity. See `docs/design/membership.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use bilberryford_types::{EndpointId, TimeMs};

/// The most rows that are followed.
pub const MAX_LISTED_ENDPOINTS: usize = 16_384;
/// How long a row may be missing before its endpoint is taken for gone.
const GONE_AFTER: TimeMs = TimeMs(3_000);
/// How long when the list lost at least half of its rows at once.
const GONE_AFTER_LOSS: TimeMs = TimeMs(60_000);

/// An endpoint at an address.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AddressedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
}

/// The rows of the list as read so far.
#[derive(Debug, Clone, Default)]
pub struct EndpointListing {
    last_seen: BTreeMap<AddressedEndpoint, TimeMs>,
}

impl EndpointListing {
    /// Takes in a reading, and answers which endpoints are gone by now; each is told once.
    pub fn observe(
        &mut self,
        rows: impl IntoIterator<Item = AddressedEndpoint>,
        now: TimeMs,
    ) -> BTreeSet<AddressedEndpoint> {
        let rows: BTreeSet<_> = rows.into_iter().take(MAX_LISTED_ENDPOINTS).collect();
        let stay = self.last_seen.keys().filter(|row| rows.contains(row)).count();
        let span = if stay * 2 <= self.last_seen.len() { GONE_AFTER_LOSS } else { GONE_AFTER };
        let gone: BTreeSet<_> = self
            .last_seen
            .iter()
            .filter(|(row, seen)| !rows.contains(row) && now.since(**seen) >= span)
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
