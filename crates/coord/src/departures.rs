//! Endpoints that were seen leaving.
//!
//! Anyone may see it first: the platform's list, the endpoint's own refusal, a peer. Each instance tells it at once to
//! a few peers and then with every heartbeat for a while, and it is told on exactly once by each. The endpoint's
//! address is part of its identity: a replacement under the same name is another endpoint.
//! See `docs/design/membership.md`.

use std::collections::HashMap;

use bilberryford_types::TimeMs;

use crate::AddressedEndpoint;

/// The most departures that are kept; the oldest makes room.
pub const MAX_DEPARTURES: usize = 4_096;
/// How long a departure is told to peers.
const NEWS_SPAN: TimeMs = TimeMs(15_000);
/// How long a departure is kept, so that a list that lags doesn't bring the endpoint back.
const KEEP: TimeMs = TimeMs(900_000);

/// What is known of leaving endpoints.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    since: HashMap<AddressedEndpoint, TimeMs>,
}

impl Departures {
    /// Takes a departure in; answers whether it is news.
    pub fn record(&mut self, departure: AddressedEndpoint, now: TimeMs) -> bool {
        if self.since.contains_key(&departure) {
            return false;
        }
        if self.since.len() >= MAX_DEPARTURES {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since);
            if let Some(oldest) = oldest.map(|(departure, _)| departure.clone()) {
                self.since.remove(&oldest);
            }
        }
        self.since.insert(departure, now);
        true
    }

    /// Whether the endpoint was seen leaving.
    pub fn contains(&self, departure: &AddressedEndpoint) -> bool {
        self.since.contains_key(departure)
    }

    /// Up to `count` departures to tell, the latest first.
    pub fn recent(&self, count: usize, now: TimeMs) -> Vec<AddressedEndpoint> {
        let fresh = self.since.iter().filter(|(_, since)| now.since(**since) < NEWS_SPAN);
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|(departure, since)| {
            (std::cmp::Reverse(**since), departure.endpoint.as_str())
        });
        fresh.into_iter().take(count).map(|(departure, _)| departure.clone()).collect()
    }

    /// Forgets what is too old; to be called regularly.
    pub fn tick(&mut self, now: TimeMs) {
        self.since.retain(|_, since| now.since(*since) < KEEP);
    }
}
