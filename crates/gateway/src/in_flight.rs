//! A request counted at its endpoint, from its placement to its end.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::{EndpointId, TimeMs};

use crate::{
    cache_index::holder_at, gateway::Gateway, part_plan::Transfer, peer_loads::EndpointTag,
    placement::Candidate, quarantine::Fingerprint, slowness::nominal_ms, translation::PartKey,
};

/// How many tokens may wait before a request for its wait to tell of the source of its parts.
const CALM_QUEUE_TOKENS: u64 = 1_500;

/// What a request needs at its endpoint, in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenDemand {
    /// To be read or fetched before its first token.
    pub(crate) waiting_tokens: u64,
    /// In the endpoint's memory until it ends.
    pub(crate) memory_tokens: u64,
}

/// A request counted at an endpoint until it is dropped.
pub(crate) struct InFlight {
    gateway: Arc<Gateway>,
    endpoint: EndpointId,
    incarnation: EndpointTag,
    request: Fingerprint,
    rank: u8,
    waiting_tokens: u64,
    memory_tokens: u64,
    /// What was to be read before the first token when the request came, the queue included.
    queue_tokens: u64,
    began_ms: TimeMs,
    /// The slowness of the endpoint when the request came, in hundredths.
    slowness_percent: u32,
    transfers: Vec<Transfer>,
    pub(crate) saves: Vec<(SocketAddr, PartKey)>,
    pub(crate) is_trial: bool,
}

impl InFlight {
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        candidate: &Candidate,
        request: Fingerprint,
        rank: u8,
        need: TokenDemand,
        is_trial: bool,
    ) -> Self {
        let TokenDemand { waiting_tokens, memory_tokens } = need;
        let endpoint = &candidate.id;
        let mut local = gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.in_flight += 1;
        state.waiting.add(rank, waiting_tokens);
        state.memory_tokens += memory_tokens;
        if is_trial {
            state.health.start_trial();
        }
        drop(local);
        gateway.metrics.in_flight.add(1, &[]);
        Self {
            gateway: gateway.clone(),
            endpoint: endpoint.clone(),
            incarnation: candidate.incarnation,
            request,
            rank,
            waiting_tokens,
            memory_tokens,
            queue_tokens: candidate.waiting_tokens + waiting_tokens,
            began_ms: gateway.clock.now(),
            slowness_percent: candidate.slowness_percent.unwrap_or(100),
            transfers: Vec::new(),
            saves: Vec::new(),
            is_trial,
        }
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Its connection broke after the endpoint may have begun it.
    pub(crate) fn record_loss(&self) {
        self.gateway.request_lost(self.request, self.incarnation);
    }

    /// Its answer was whole.
    pub(crate) fn record_response(&self) {
        let now_ms = self.gateway.clock.now();
        self.gateway.suspects.lock().record_response(self.request, now_ms);
    }

    pub(crate) fn begin_fetches(&mut self, transfers: Vec<Transfer>) {
        let mut holders = self.gateway.holders.lock();
        for transfer in &transfers {
            if let Some(holder) = holder_at(&mut holders, transfer.address) {
                holder.begin_fetch(transfer.tokens);
            }
        }
        drop(holders);
        self.transfers = transfers;
    }

    /// The first token came: what it took tells how fast the endpoint and the sources of its parts are.
    pub(crate) fn record_first_byte(&mut self) {
        let now_ms = self.gateway.clock.now();
        let took_ms = now_ms.since(self.began_ms);
        self.saves.clear();
        if let [transfer] = self.transfers[..] {
            if self.queue_tokens > self.waiting_tokens + CALM_QUEUE_TOKENS {
                // Behind a queue the wait says more of the engine than of the source.
                return self.no_longer_waiting();
            }
            let reading_ms =
                nominal_ms(self.queue_tokens) * f64::from(self.slowness_percent) / 100.0;
            let fetching_ms = took_ms.get() as f64 - reading_ms;
            let mut holders = self.gateway.holders.lock();
            if let Some(holder) = holder_at(&mut holders, transfer.address) {
                holder.record_transfer(transfer.nominal_ms, fetching_ms, now_ms);
            }
        } else if self.waiting_tokens > 0
            && self.transfers.is_empty()
            && let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint)
        {
            state.slowness.sample(self.queue_tokens, took_ms, now_ms);
        }
        self.no_longer_waiting();
    }

    fn no_longer_waiting(&mut self) {
        let waiting_tokens = std::mem::take(&mut self.waiting_tokens);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint) {
            state.waiting.remove(self.rank, waiting_tokens);
        }
        let mut holders = self.gateway.holders.lock();
        for transfer in self.transfers.drain(..) {
            if let Some(holder) = holder_at(&mut holders, transfer.address) {
                holder.end_fetch(transfer.tokens);
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.no_longer_waiting();
        // Whatever was to be saved was not read, so that another request may save it.
        let mut holders = self.gateway.holders.lock();
        for (address, key) in self.saves.drain(..) {
            if let Some(holder) = holder_at(&mut holders, address) {
                holder.cancel_save(&key);
            }
        }
        drop(holders);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.memory_tokens = state.memory_tokens.saturating_sub(self.memory_tokens);
            if self.is_trial {
                state.health.cancel_trial();
            }
        }
        self.gateway.metrics.in_flight.add(-1, &[]);
    }
}
