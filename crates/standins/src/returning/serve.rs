//! Serves one request: placement, import, prefill, decode and write-back.

use std::{cell::RefCell, rc::Rc};

use bilberryford_cache::{
    BLOCK_TOKENS, BlockOwner, EngineSlot, PlacementRequest, PrefixChain, TransferClass,
    WriteBackQueue, decide_for_engine,
};
use bilberryford_types::{Digest, TimeMs, Tokens};

use super::{
    Policy,
    export::ExportJob,
    policy::{Decider, Placement, PolicyInput},
    workload::{Arrival, chain},
    world::{World, sleep_ms},
};
use crate::engine::kv::computed_bytes;

/// Time after which a connection to a crashed engine fails.
const CONNECT_FAILURE_MS: f64 = 5.0;
/// Time for which an unreachable engine is excluded from placement.
const UNREACHABLE_MS: u64 = 1_000;
const MAX_ATTEMPTS: usize = 5;
/// Tokens that an engine decodes before the decode gap is computed again.
const DECODE_STEP_TOKENS: u32 = 16;
/// Decode gap of an idle engine.
const DECODE_GAP_MS: f64 = 18.0;
/// Increase of the decode gap for each run in the batch.
const DECODE_GAP_PER_RUN_MS: f64 = 0.5;
/// Increase of the decode gap while the engine also prefills.
const DECODE_GAP_PREFILL_MS: f64 = 12.0;
/// Time that an import which is cut over may lose, as a share of the time to recompute.
pub(super) const MAX_IMPORT_LOSS: f64 = 0.1;

/// Counts and samples of a run.
#[derive(Debug, Default)]
pub(super) struct RunStats {
    pub(super) first_token_ms: Vec<f64>,
    pub(super) returning_first_token_ms: Vec<f64>,
    pub(super) gaps_ms: Vec<f64>,
    pub(super) returning_blocks: u64,
    pub(super) recomputed_blocks: u64,
    pub(super) tail_tokens: u64,
    pub(super) refused: u64,
    pub(super) wrong_blocks: u64,
    pub(super) misses: u64,
    pub(super) cut_over: u64,
    pub(super) late_interactive: u64,
}

/// The state that all requests of a run share.
pub(super) struct Run {
    pub(super) world: Rc<World>,
    pub(super) policy: Policy,
    pub(super) deciders: Vec<RefCell<Decider>>,
    /// One-way delay to the deciding instance; 0 if each instance decides itself.
    pub(super) peer_hop_ms: f64,
    pub(super) write_back_queues: [RefCell<WriteBackQueue<ExportJob>>; 2],
    pub(super) stats: RefCell<RunStats>,
}

/// The engine crashed while a request ran there.
struct EngineLost;

/// A request that is being served.
pub(super) struct Request<'a> {
    pub(super) arrival: &'a Arrival,
    pub(super) owner: BlockOwner,
    pub(super) chain: PrefixChain,
    arrived_ms: f64,
    decider: usize,
}

impl Run {
    pub(super) async fn serve(self: Rc<Self>, arrival: Arrival, number: usize) {
        let world = &self.world;
        let owner = world.owner(arrival.conversation.team);
        let blocks = chain(
            &owner,
            arrival.conversation.team,
            arrival.conversation.id,
            arrival.prompt_tokens,
        );
        let request = Request {
            arrival: &arrival,
            owner,
            chain: PrefixChain::from_blocks(blocks),
            arrived_ms: world.now_ms(),
            decider: number % self.deciders.len(),
        };
        if self.peer_hop_ms > 0.0 {
            sleep_ms(2.0 * self.peer_hop_ms).await;
        }
        for _ in 0..MAX_ATTEMPTS {
            let Some(placement) = self.place(&request) else { break };
            let engine = &world.engines[placement.engine];
            if !engine.is_up.get() {
                sleep_ms(CONNECT_FAILURE_MS).await;
                let until = TimeMs(world.now().get() + UNREACHABLE_MS);
                self.decider(&request).borrow_mut().mark_unreachable(placement.engine, until);
                continue;
            }
            engine.in_flight.set(engine.in_flight.get() + 1);
            let outcome = self.attempt(&request, placement).await;
            engine.in_flight.set(engine.in_flight.get().saturating_sub(1));
            if outcome.is_ok() {
                self.queue_exports(&request, placement.engine);
                return;
            }
        }
        self.stats.borrow_mut().refused += 1;
    }

    pub(super) fn decider(&self, request: &Request<'_>) -> &RefCell<Decider> {
        &self.deciders[request.decider]
    }

    fn place(&self, request: &Request<'_>) -> Option<Placement> {
        let input = PolicyInput {
            chain: &request.chain,
            tokens: Tokens(request.arrival.prompt_tokens),
            class: request.arrival.conversation.class,
            affinity: request.arrival.conversation.id,
        };
        self.decider(request).borrow_mut().place(self.policy, input, self.world.now())
    }

    async fn attempt(&self, request: &Request<'_>, placement: Placement) -> Result<(), EngineLost> {
        let world = &self.world;
        let engine = &world.engines[placement.engine];
        let incarnation = engine.incarnation.get();
        let check_running =
            || if engine.incarnation.get() == incarnation { Ok(()) } else { Err(EngineLost) };
        let class = request.arrival.conversation.class;
        let blocks = request.chain.blocks();
        let sequence = world.next_sequence();
        let mut held = engine.kv.borrow_mut().look_up_chain(blocks);
        let is_held = |(_, held): &(&Digest, &bool)| **held;
        blocks
            .iter()
            .zip(&held)
            .filter(is_held)
            .for_each(|(block, _)| self.check_block(request, placement.engine, block));
        let placement = self.correct_placement(request, placement, &held);
        let plan = self.plan_sources(request, placement, &held);
        let planned = plan.iter().flatten().count();
        let tokens = |held: &[bool]| {
            let count = held.iter().filter(|held| **held).count() as u64;
            u64::from(request.arrival.prompt_tokens) - count * u64::from(BLOCK_TOKENS.get())
        };
        let work = tokens(&held) - planned as u64 * u64::from(BLOCK_TOKENS.get());
        self.decider(request).borrow_mut().record_dispatch(
            placement.engine,
            world.now(),
            Tokens(u32::try_from(work).unwrap_or(u32::MAX)),
        );
        let backlog = if class == TransferClass::Interactive {
            &engine.interactive_backlog
        } else {
            &engine.backlog
        };
        let started_ms = world.now_ms();
        let recompute_ms = world.prefill_ms(backlog.get() + tokens(&held));
        self.import(request, placement, &plan, &mut held, sequence).await;
        check_running()?;
        let work = tokens(&held);
        engine.backlog.set(engine.backlog.get() + work);
        if class == TransferClass::Interactive {
            engine.interactive_backlog.set(engine.interactive_backlog.get() + work);
        }
        self.prefill(request, placement.engine, &held, sequence, incarnation).await?;
        let is_import = placement.decision.is_some() && planned > 0;
        let is_late = world.now_ms() - started_ms > recompute_ms * (1.0 + MAX_IMPORT_LOSS);
        self.record_result(request, &held, is_import && is_late);
        self.decode(request, placement.engine).await;
        Ok(())
    }

    fn record_result(&self, request: &Request<'_>, held: &[bool], is_late: bool) {
        let conversation = &request.arrival.conversation;
        let mut stats = self.stats.borrow_mut();
        let first_token_ms = self.world.now_ms() - request.arrived_ms;
        stats.first_token_ms.push(first_token_ms);
        if conversation.tokens > 0 {
            stats.returning_first_token_ms.push(first_token_ms);
        }
        stats.late_interactive +=
            u64::from(conversation.class == TransferClass::Interactive && is_late);
        let returning = (conversation.tokens / BLOCK_TOKENS.get()) as usize;
        stats.returning_blocks += returning as u64;
        let recomputed = held.iter().take(returning).filter(|held| !**held).count();
        stats.recomputed_blocks += recomputed as u64;
        stats.tail_tokens += u64::from(conversation.tokens % BLOCK_TOKENS.get());
    }

    /// Corrects the index if the engine holds other blocks than expected, and decides again for that engine.
    fn correct_placement(
        &self,
        request: &Request<'_>,
        placement: Placement,
        held: &[bool],
    ) -> Placement {
        let Some(decision) = placement.decision else { return placement };
        let mut decider = self.decider(request).borrow_mut();
        let slot = decision.engine;
        let blocks = request.chain.blocks();
        let index = &mut decider.views.index;
        if blocks
            .iter()
            .zip(held)
            .all(|(block, held)| index.holders(block).has_engine(slot) == *held)
        {
            return placement;
        }
        blocks
            .iter()
            .zip(held)
            .for_each(|(block, held)| index.set_engine_holder(block, slot, *held));
        let placement_request = self.placement_request(request);
        let decision =
            decide_for_engine(&decider.views, &placement_request, slot, held, self.world.now());
        Placement { decision, ..placement }
    }

    pub(super) fn placement_request<'a>(&self, request: &'a Request<'_>) -> PlacementRequest<'a> {
        PlacementRequest {
            chain: &request.chain,
            tokens: Tokens(request.arrival.prompt_tokens),
            class: request.arrival.conversation.class,
        }
    }

    /// Counts a used block that violates the invariant.
    ///
    /// # Invariant
    ///
    /// A used block belongs to the request's team, model and weight version, and holds the bytes that were computed for
    /// it.
    pub(super) fn check_block(&self, request: &Request<'_>, engine: usize, block: &Digest) {
        let kv = self.world.engines[engine].kv.borrow();
        let is_right = kv.get(block).is_some_and(|(owner, bytes)| {
            *owner == request.owner && *bytes == computed_bytes(block)
        });
        self.stats.borrow_mut().wrong_blocks += u64::from(!is_right);
    }

    async fn prefill(
        &self,
        request: &Request<'_>,
        engine: usize,
        held: &[bool],
        sequence: u64,
        incarnation: u32,
    ) -> Result<(), EngineLost> {
        let class = request.arrival.conversation.class;
        let engine = &self.world.engines[engine];
        let piece_tokens = u64::from(BLOCK_TOKENS.get());
        let held_count = held.iter().filter(|held| **held).count() as u64;
        let mut left = u64::from(request.arrival.prompt_tokens) - held_count * piece_tokens;
        let missing = request.chain.blocks().iter().zip(held).filter(|(_, held)| !**held);
        let mut rest = missing.map(|(block, _)| block);
        let mut outcome = Ok(());
        while left > 0 {
            let chunk = left.min(piece_tokens);
            if outcome.is_ok() {
                let _guard = engine.prefill.lock(class, sequence).await;
                sleep_ms(self.world.prefill_ms(chunk)).await;
                if engine.incarnation.get() != incarnation {
                    outcome = Err(EngineLost);
                } else if let Some(block) = rest.next() {
                    engine.kv.borrow_mut().insert_computed(&request.owner, block);
                }
            }
            left -= chunk;
            engine.backlog.set(engine.backlog.get().saturating_sub(chunk));
            if class == TransferClass::Interactive {
                engine
                    .interactive_backlog
                    .set(engine.interactive_backlog.get().saturating_sub(chunk));
            }
        }
        outcome
    }

    async fn decode(&self, request: &Request<'_>, engine: usize) {
        let engine = &self.world.engines[engine];
        engine.decoding.set(engine.decoding.get() + 1);
        let mut left = request.arrival.answer_tokens;
        while left > 0 {
            let step = left.min(DECODE_STEP_TOKENS);
            let prefill_ms = if engine.backlog.get() > 0 { DECODE_GAP_PREFILL_MS } else { 0.0 };
            let gap_ms = DECODE_GAP_MS
                + DECODE_GAP_PER_RUN_MS * f64::from(engine.decoding.get())
                + prefill_ms;
            sleep_ms(gap_ms * f64::from(step)).await;
            self.stats.borrow_mut().gaps_ms.push(gap_ms);
            left -= step;
        }
        engine.decoding.set(engine.decoding.get().saturating_sub(1));
    }
}

/// Returns the slot of an engine.
pub(super) fn slot(engine: usize) -> EngineSlot {
    EngineSlot(u8::try_from(engine).unwrap_or(u8::MAX))
}
