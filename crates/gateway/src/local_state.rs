//! What this instance knows of one endpoint from its own requests.

use bilberryford_types::TimeMs;

use crate::{
    health::EndpointHealth,
    peer_loads::{EndpointLoad, RankTokens},
    slowness::Slowness,
};

/// Whether the endpoint at an address is the incarnation that its entry describes.
///
/// An endpoint may start again under its id and address with another build while its entry is still the old one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum BuildStanding {
    /// Nothing speaks against it.
    #[default]
    AsListed,
    /// A connection to it was lost since it was listed, or since its own report last confirmed the entry.
    Doubtful,
    /// Its own report names another start than the entry.
    Refuted,
}

/// The state of this instance for one endpoint.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    /// The start time of the incarnation to which this state belongs.
    pub(crate) started_ms: TimeMs,
    pub(crate) health: EndpointHealth,
    pub(crate) in_flight: u32,
    pub(crate) waiting: RankTokens,
    /// The memory that the requests in flight occupy, in tokens.
    pub(crate) memory_tokens: u64,
    /// A weight version that the endpoint reported, or implied by rejecting an older one, before the list contains it.
    pub(crate) observed_weights: Option<u64>,
    pub(crate) slowness: Slowness,
    /// The time of the last data from the endpoint.
    pub(crate) last_received_ms: TimeMs,
    /// The time until which an order of this instance to load weights is assumed to be in progress.
    pub(crate) loading_until_ms: Option<TimeMs>,
    /// The time until which it takes no request of this instance, on its own word.
    pub(crate) closed_until_ms: Option<TimeMs>,
    /// Whether its build is the one in its entry.
    pub(crate) build_standing: BuildStanding,
    /// When a report of the endpoint last confirmed its entry.
    pub(crate) build_confirmed_ms: Option<TimeMs>,
}

impl LocalState {
    /// Resets the state for a new incarnation. The counts stay until the requests in flight have ended on their own.
    pub(crate) fn reset(&mut self, started_ms: TimeMs) {
        self.started_ms = started_ms;
        self.health = EndpointHealth::default();
        self.observed_weights = None;
        self.slowness = Slowness::default();
        self.loading_until_ms = None;
        self.closed_until_ms = None;
        self.build_standing = BuildStanding::AsListed;
        self.build_confirmed_ms = None;
    }

    pub(crate) fn is_loading(&self, now_ms: TimeMs) -> bool {
        self.loading_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// The load that is reported to other instances.
    pub(crate) fn load_report(&self, now_ms: TimeMs) -> EndpointLoad {
        EndpointLoad {
            in_flight: self.in_flight,
            waiting: self.waiting,
            memory_tokens: u32::try_from(self.memory_tokens).unwrap_or(u32::MAX),
            slowness_percent: self.slowness.percent(now_ms).unwrap_or(0),
            is_loading: self.is_loading(now_ms),
        }
    }
}
