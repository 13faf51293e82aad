//! The accounting of a request at its endpoint, from its placement to its end.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::{EndpointId, TimeMs};

use crate::{
    cache_index::holder_at,
    features::{Loss, RequestFeatures, ResponseStage},
    gateway::Gateway,
    part_plan::Transfer,
    placement::Candidate,
    slowness::nominal_ms,
    translation::PartKey,
};

/// The longest queue ahead of a request, in tokens, behind which its wait is attributed to the source of its parts.
const MAX_SAMPLED_QUEUE_TOKENS: u64 = 1_500;

/// The resources that a request needs at its endpoint, in tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenDemand {
    /// The tokens to prefill or fetch before its first token.
    pub(crate) waiting_tokens: u64,
    /// The memory that it occupies until it ends.
    pub(crate) memory_tokens: u64,
    /// The predicted time to its first token; none where none is predicted.
    pub(crate) predicted_ms: Option<TimeMs>,
}

/// A request that is counted at its endpoint until this is dropped.
pub(crate) struct InFlight {
    gateway: Arc<Gateway>,
    candidate: Candidate,
    features: Arc<RequestFeatures>,
    rank: u8,
    waiting_tokens: u64,
    memory_tokens: u64,
    /// The tokens to prefill before the first token at the time of placement, the queue included.
    queue_tokens: u64,
    placed_ms: TimeMs,
    /// The time to first token that was predicted then.
    pub(crate) predicted_ms: Option<TimeMs>,
    /// The slowness of the endpoint at the time of placement, in percent of the nominal time.
    slowness_percent: u32,
    transfers: Vec<Transfer>,
    /// The saves that the endpoint was asked for and that may not have happened yet.
    pub(crate) saves: Vec<(SocketAddr, PartKey)>,
    pub(crate) is_trial: bool,
    is_answered: bool,
}

impl InFlight {
    pub(crate) fn new(
        gateway: &Arc<Gateway>,
        candidate: &Candidate,
        features: &Arc<RequestFeatures>,
        rank: u8,
        demand: TokenDemand,
        is_trial: bool,
    ) -> Self {
        let TokenDemand { waiting_tokens, memory_tokens, predicted_ms } = demand;
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
            candidate: candidate.clone(),
            features: features.clone(),
            rank,
            waiting_tokens,
            memory_tokens,
            queue_tokens: candidate.waiting_tokens + waiting_tokens,
            placed_ms: gateway.clock.now(),
            predicted_ms,
            slowness_percent: candidate.slowness_percent.unwrap_or(100),
            transfers: Vec::new(),
            saves: Vec::new(),
            is_trial,
            is_answered: false,
        }
    }

    pub(crate) fn candidate(&self) -> &Candidate {
        &self.candidate
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.candidate.id
    }

    pub(crate) fn features(&self) -> &RequestFeatures {
        &self.features
    }

    /// Records that its response was lost after the endpoint may have started it, at `stage` of the response.
    pub(crate) fn record_loss(&self, stage: ResponseStage, loss: Loss<'_>) {
        self.gateway.record_request_loss(&self.candidate, &self.features, stage, loss);
    }

    /// Records that its response is complete, or went on for a while after its first content.
    pub(crate) fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            self.gateway.record_answer(&self.features);
        }
    }

    /// Counts the transfers at their holders until the first token.
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

    /// Records the first token and samples the speed of the endpoint, or of the source of its parts, from the time that
    /// it took. Returns this time.
    pub(crate) fn record_first_byte(&mut self) -> TimeMs {
        let now_ms = self.gateway.clock.now();
        let took_ms = now_ms.since(self.placed_ms);
        if let Some(predicted_ms) = self.predicted_ms {
            self.gateway.metrics.record_first_token(predicted_ms, took_ms);
        }
        self.begin_save_transfers(now_ms);
        if let [transfer] = self.transfers[..] {
            if self.queue_tokens > self.waiting_tokens + MAX_SAMPLED_QUEUE_TOKENS {
                // Behind a longer queue, the wait depends more on the engine than on the source.
                self.end_waiting();
                return took_ms;
            }
            let prefill_ms =
                nominal_ms(self.queue_tokens) * f64::from(self.slowness_percent) / 100.0;
            let fetch_ms = took_ms.get() as f64 - prefill_ms;
            let mut holders = self.gateway.holders.lock();
            if let Some(holder) = holder_at(&mut holders, transfer.address) {
                holder.record_transfer(transfer.nominal_ms, fetch_ms, now_ms);
            }
        } else if self.waiting_tokens > 0 && self.transfers.is_empty() {
            let expected_ms = nominal_ms(self.queue_tokens);
            self.gateway.speeds.lock().record(self.candidate.incarnation, expected_ms, took_ms);
            if let Some(state) = self.gateway.local.lock().get_mut(&self.candidate.id) {
                state.slowness.sample(self.queue_tokens, took_ms, now_ms);
            }
        }
        self.end_waiting();
        took_ms
    }

    /// Records that the parts to be saved were prefilled.
    fn begin_save_transfers(&mut self, now_ms: TimeMs) {
        let mut holders = self.gateway.holders.lock();
        for (address, key) in self.saves.drain(..) {
            if let Some(holder) = holder_at(&mut holders, address) {
                holder.record_save_transfer(&key, now_ms);
            }
        }
    }

    fn end_waiting(&mut self) {
        let waiting_tokens = std::mem::take(&mut self.waiting_tokens);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.candidate.id) {
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
        self.end_waiting();
        // The parts of the remaining saves were not prefilled, so another request may save them.
        let mut holders = self.gateway.holders.lock();
        for (address, key) in self.saves.drain(..) {
            if let Some(holder) = holder_at(&mut holders, address) {
                holder.cancel_save(&key);
            }
        }
        drop(holders);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.candidate.id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            state.memory_tokens = state.memory_tokens.saturating_sub(self.memory_tokens);
            if self.is_trial {
                state.health.cancel_trial();
            }
        }
        self.gateway.metrics.in_flight.add(-1, &[]);
    }
}
