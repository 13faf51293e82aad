//! The life of one request: place, import, compute, answer, write back.

use std::{cell::RefCell, rc::Rc};

use bilberryford_cache::{
    BLOCK_TOKENS, BlockOwner, EngineSlot, PlacementRequest, PrefixChain, TransferClass,
    WriteBackQueue, decide_for_engine,
};
use bilberryford_types::{Digest, TimeMs, Tokens};

use super::{
    Policy,
    export::Job,
    policy::{Asked, Decider, Placement},
    workload::{Arrival, chain},
    world::{World, pause},
};
use crate::engine::kv::computed_bytes;

/// How long a connect to an engine that is away takes to fail, in milliseconds.
const CONNECT_FAIL_MS: f64 = 5.0;
/// How long an engine that can't be reached is left out, in milliseconds.
const LEFT_OUT_MS: u64 = 1_000;
/// How often a request is placed at most.
const MAX_ATTEMPTS: usize = 5;
/// How many tokens a fake engine decodes between two looks at its load.
const DECODE_STEP: u32 = 16;
/// The decode gap of an idle engine, in milliseconds.
const GAP_MS: f64 = 18.0;
/// What each further run in the batch adds to the gap, in milliseconds.
const GAP_PER_RUN_MS: f64 = 0.5;
/// What a prefill beside the batch adds to the gap, in milliseconds.
const GAP_PREFILL_MS: f64 = 12.0;
/// How much of the time of recomputing may be lost with an import that is cut over.
pub(super) const CUT_OVER_SHARE: f64 = 0.1;

/// What a run adds up.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) first_token_ms: Vec<f64>,
    pub(super) returning_first_token_ms: Vec<f64>,
    pub(super) gaps_ms: Vec<f64>,
    pub(super) returning_blocks: u64,
    pub(super) recomputed_blocks: u64,
    pub(super) tail_tokens: u64,
    pub(super) refused: u64,
    pub(super) wrong: u64,
    pub(super) misses: u64,
    pub(super) cut_over: u64,
    pub(super) quick_late: u64,
}

/// What all requests of a run share.
pub(super) struct Run {
    pub(super) world: Rc<World>,
    pub(super) policy: Policy,
    pub(super) deciders: Vec<RefCell<Decider>>,
    pub(super) hop_ms: f64,
    pub(super) write_back: [RefCell<WriteBackQueue<Job>>; 2],
    pub(super) tally: RefCell<Tally>,
}

/// The engine went away while a request ran there.
struct Lost;

/// A request on its way.
pub(super) struct Request<'a> {
    pub(super) arrival: &'a Arrival,
    pub(super) owner: BlockOwner,
    pub(super) chain: PrefixChain,
    at_ms: f64,
    decider: usize,
}

impl Run {
    pub(super) async fn serve(self: Rc<Self>, arrival: Arrival, number: usize) {
        let world = &self.world;
        let owner = world.owner(arrival.before.team);
        let blocks = chain(&owner, arrival.before.team, arrival.before.id, arrival.prompt_tokens);
        let request = Request {
            arrival: &arrival,
            owner,
            chain: PrefixChain::from_blocks(blocks),
            at_ms: world.now_ms(),
            decider: number % self.deciders.len(),
        };
        if self.hop_ms > 0.0 {
            pause(2.0 * self.hop_ms).await;
        }
        for _ in 0..MAX_ATTEMPTS {
            let Some(placement) = self.place(&request) else { break };
            let engine = &world.engines[placement.engine];
            if !engine.is_up.get() {
                pause(CONNECT_FAIL_MS).await;
                let until = TimeMs(world.now().get() + LEFT_OUT_MS);
                self.decider(&request).borrow_mut().unreachable(placement.engine, until);
                continue;
            }
            engine.in_flight.set(engine.in_flight.get() + 1);
            let outcome = self.attempt(&request, placement).await;
            engine.in_flight.set(engine.in_flight.get().saturating_sub(1));
            if outcome.is_ok() {
                self.write_back(&request, placement.engine);
                return;
            }
        }
        self.tally.borrow_mut().refused += 1;
    }

    pub(super) fn decider(&self, request: &Request<'_>) -> &RefCell<Decider> {
        &self.deciders[request.decider]
    }

    fn place(&self, request: &Request<'_>) -> Option<Placement> {
        let asked = Asked {
            chain: &request.chain,
            tokens: Tokens(request.arrival.prompt_tokens),
            class: request.arrival.before.class,
            affinity: request.arrival.before.id,
        };
        self.decider(request).borrow_mut().place(self.policy, asked, self.world.now())
    }

    async fn attempt(&self, request: &Request<'_>, placement: Placement) -> Result<(), Lost> {
        let world = &self.world;
        let engine = &world.engines[placement.engine];
        let life = engine.life.get();
        let alive = || if engine.life.get() == life { Ok(()) } else { Err(Lost) };
        let class = request.arrival.before.class;
        let blocks = request.chain.blocks();
        let ticket = world.ticket();
        let mut held = engine.kv.borrow_mut().look_up_chain(blocks);
        let is_held = |(_, held): &(&Digest, &bool)| **held;
        blocks
            .iter()
            .zip(&held)
            .filter(is_held)
            .for_each(|(block, _)| self.check(request, placement.engine, block));
        let placement = self.correct(request, placement, &held);
        let plan = self.plan(request, placement, &held);
        let planned = plan.iter().flatten().count();
        let tokens = |held: &[bool]| {
            let count = held.iter().filter(|held| **held).count() as u64;
            u64::from(request.arrival.prompt_tokens) - count * u64::from(BLOCK_TOKENS.get())
        };
        let work = tokens(&held) - planned as u64 * u64::from(BLOCK_TOKENS.get());
        self.decider(request).borrow_mut().dispatched(
            placement.engine,
            world.now(),
            Tokens(u32::try_from(work).unwrap_or(u32::MAX)),
        );
        let ahead = if class == TransferClass::Interactive {
            &engine.quick_backlog
        } else {
            &engine.backlog
        };
        let started_ms = world.now_ms();
        let recompute_ms = world.prefill_ms(ahead.get() + tokens(&held));
        self.import(request, placement, &plan, &mut held, ticket).await;
        alive()?;
        let work = tokens(&held);
        engine.backlog.set(engine.backlog.get() + work);
        if class == TransferClass::Interactive {
            engine.quick_backlog.set(engine.quick_backlog.get() + work);
        }
        self.compute(request, placement.engine, &held, ticket, life).await?;
        let is_import = placement.decision.is_some() && planned > 0;
        let is_late = world.now_ms() - started_ms > recompute_ms * (1.0 + CUT_OVER_SHARE);
        self.count(request, &held, is_import && is_late);
        self.decode(request, placement.engine).await;
        Ok(())
    }

    fn count(&self, request: &Request<'_>, held: &[bool], is_late: bool) {
        let before = &request.arrival.before;
        let mut tally = self.tally.borrow_mut();
        let first_token_ms = self.world.now_ms() - request.at_ms;
        tally.first_token_ms.push(first_token_ms);
        if before.tokens > 0 {
            tally.returning_first_token_ms.push(first_token_ms);
        }
        tally.quick_late += u64::from(before.class == TransferClass::Interactive && is_late);
        let returning = (before.tokens / BLOCK_TOKENS.get()) as usize;
        tally.returning_blocks += returning as u64;
        let recomputed = held.iter().take(returning).filter(|held| !**held).count();
        tally.recomputed_blocks += recomputed as u64;
        tally.tail_tokens += u64::from(before.tokens % BLOCK_TOKENS.get());
    }

    /// Compares what the engine really holds with what was thought, and decides again when it differs.
    fn correct(&self, request: &Request<'_>, placement: Placement, held: &[bool]) -> Placement {
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
        let asked = self.asked(request);
        let decision = decide_for_engine(&decider.views, &asked, slot, held, self.world.now());
        Placement { decision, ..placement }
    }

    pub(super) fn asked<'a>(&self, request: &'a Request<'_>) -> PlacementRequest<'a> {
        PlacementRequest {
            chain: &request.chain,
            tokens: Tokens(request.arrival.prompt_tokens),
            class: request.arrival.before.class,
        }
    }

    /// # Invariant
    ///
    /// A block that is used belongs to the request's team, model and weight version, and is what was computed for it.
    pub(super) fn check(&self, request: &Request<'_>, engine: usize, block: &Digest) {
        let kv = self.world.engines[engine].kv.borrow();
        let is_right = kv.get(block).is_some_and(|(owner, bytes)| {
            *owner == request.owner && *bytes == computed_bytes(block)
        });
        self.tally.borrow_mut().wrong += u64::from(!is_right);
    }

    async fn compute(
        &self,
        request: &Request<'_>,
        engine: usize,
        held: &[bool],
        ticket: u64,
        life: u32,
    ) -> Result<(), Lost> {
        let class = request.arrival.before.class;
        let engine = &self.world.engines[engine];
        let piece = u64::from(BLOCK_TOKENS.get());
        let have = held.iter().filter(|held| **held).count() as u64;
        let mut left = u64::from(request.arrival.prompt_tokens) - have * piece;
        let missing = request.chain.blocks().iter().zip(held).filter(|(_, held)| !**held);
        let mut rest = missing.map(|(block, _)| block);
        let mut outcome = Ok(());
        while left > 0 {
            let chunk = left.min(piece);
            if outcome.is_ok() {
                let _turn = engine.prefill.enter(class, ticket).await;
                pause(self.world.prefill_ms(chunk)).await;
                if engine.life.get() != life {
                    outcome = Err(Lost);
                } else if let Some(block) = rest.next() {
                    engine.kv.borrow_mut().insert_computed(&request.owner, block);
                }
            }
            left -= chunk;
            engine.backlog.set(engine.backlog.get().saturating_sub(chunk));
            if class == TransferClass::Interactive {
                engine.quick_backlog.set(engine.quick_backlog.get().saturating_sub(chunk));
            }
        }
        outcome
    }

    async fn decode(&self, request: &Request<'_>, engine: usize) {
        let engine = &self.world.engines[engine];
        engine.decoding.set(engine.decoding.get() + 1);
        let mut left = request.arrival.answer_tokens;
        while left > 0 {
            let step = left.min(DECODE_STEP);
            let prefill_ms = if engine.backlog.get() > 0 { GAP_PREFILL_MS } else { 0.0 };
            let gap_ms = GAP_MS + GAP_PER_RUN_MS * f64::from(engine.decoding.get()) + prefill_ms;
            pause(gap_ms * f64::from(step)).await;
            self.tally.borrow_mut().gaps_ms.push(gap_ms);
            left -= step;
        }
        engine.decoding.set(engine.decoding.get().saturating_sub(1));
    }
}

/// The slot of an engine.
pub(super) fn slot(engine: usize) -> EngineSlot {
    EngineSlot(u8::try_from(engine).unwrap_or(u8::MAX))
}
