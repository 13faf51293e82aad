//! Endpoints that are known to be leaving, and how long that is gossiped.
//!
//! The first sign may come from the platform's list, from a refusal of the endpoint itself or from a peer. Each
//! instance that learns of a departure notifies a few peers at once, and repeats it in its heartbeats for a while; a
//! departure that is known already starts no further notification. The endpoint's address is part of its identity: a
//! replacement with the same name is another endpoint. See `docs/design/membership.md`.

use std::collections::HashMap;

use bilberryford_types::TimeMs;

use crate::AddressedEndpoint;

/// The most departures that are stored; the oldest is evicted.
pub const MAX_DEPARTURES: usize = 4_096;
/// How long a departure is gossiped to peers.
const GOSSIP_PERIOD: TimeMs = TimeMs(15_000);
/// How long a departure is remembered, so that a lagging list does not bring the endpoint back.
const RETENTION: TimeMs = TimeMs(900_000);

/// The leaving endpoints that are known, with the time at which each became known.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    since: HashMap<AddressedEndpoint, TimeMs>,
}

impl Departures {
    /// Records a departure; returns true if it was not known before.
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

    /// Returns true if the endpoint is known to be leaving.
    pub fn contains(&self, departure: &AddressedEndpoint) -> bool {
        self.since.contains_key(departure)
    }

    /// Up to `count` departures to gossip, the latest first.
    pub fn recent(&self, count: usize, now: TimeMs) -> Vec<AddressedEndpoint> {
        let recent = self.since.iter().filter(|(_, since)| now.since(**since) < GOSSIP_PERIOD);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(departure, since)| {
            (std::cmp::Reverse(**since), departure.endpoint.as_str())
        });
        recent.into_iter().take(count).map(|(departure, _)| departure.clone()).collect()
    }

    /// Evicts departures past their retention; call it periodically.
    pub fn tick(&mut self, now: TimeMs) {
        self.since.retain(|_, since| now.since(*since) < RETENTION);
    }
}
