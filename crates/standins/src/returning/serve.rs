//! The life of one request: place, import, compute, answer, write back.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bilberryford_cache::{
    BLOCK_TOKENS, EngineSlot, Export, ImportMiss, ImportProgress, LinkClass, Owner, PlaceRequest,
    PrefixChain, StoreSlot, Tier, WriteBack, home_store, import_plan, split_at,
};
use bilberryford_types::{Digest, TimeMs, Tokens};
use tokio::{task::spawn_local, time::timeout};

use super::{
    Policy,
    policy::{Asked, Decider, Placement},
    workload::{Arrival, chain},
    world::{World, pause},
};
use crate::engine::kv::computed;

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
/// By how much a piece may miss its expected time before an import is cut over.
const PIECE_PATIENCE: f64 = 1.5;
/// How much of the time of recomputing may be lost with an import that is cut over.
const CUT_OVER_SHARE: f64 = 0.1;
/// The deadline of one piece for long work, in milliseconds.
const LONG_PATIENCE_MS: f64 = 10_000.0;
/// How long the news of an export takes to an instance, in milliseconds.
const STORE_EVENT_MS: f64 = 250.0;

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

/// A job of the write-back: a chain, its owner and the instance that saw the answer.
#[derive(Debug, Clone)]
pub(super) struct Job {
    owner: Owner,
    blocks: Vec<Digest>,
}

/// What all requests of a run share.
pub(super) struct Run {
    pub(super) world: Rc<World>,
    pub(super) policy: Policy,
    pub(super) deciders: Vec<RefCell<Decider>>,
    pub(super) hop_ms: f64,
    pub(super) write_back: [RefCell<WriteBack<Job>>; 2],
    pub(super) tally: RefCell<Tally>,
}

/// The engine went away while a request ran there.
struct Lost;

/// Where a block comes from.
type From = Option<(StoreSlot, Tier)>;

/// The part of an import that comes over one link.
struct Leg {
    engine: usize,
    store: StoreSlot,
    tier: Tier,
    /// The places of its blocks in the chain.
    blocks: Vec<usize>,
    queue_ms: f64,
    started_ms: f64,
    /// How long it would take to compute its blocks with the rest, with the wait for the engine.
    recompute_ms: f64,
    /// The tokens that would be computed then.
    rest: u64,
}

struct Request<'a> {
    arrival: &'a Arrival,
    owner: Owner,
    chain: PrefixChain,
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

    fn decider(&self, request: &Request<'_>) -> &RefCell<Decider> {
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
        let mut held = engine.kv.borrow_mut().use_chain(blocks);
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
        let ahead = if class == LinkClass::Quick { &engine.quick_backlog } else { &engine.backlog };
        let started_ms = world.now_ms();
        let recompute_ms = world.prefill_ms(ahead.get() + tokens(&held));
        self.import(request, placement, &plan, &mut held, ticket).await;
        alive()?;
        let work = tokens(&held);
        engine.backlog.set(engine.backlog.get() + work);
        if class == LinkClass::Quick {
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
        tally.quick_late += u64::from(before.class == LinkClass::Quick && is_late);
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
        if blocks.iter().zip(held).all(|(block, held)| index.holders(block).engine(slot) == *held) {
            return placement;
        }
        blocks.iter().zip(held).for_each(|(block, held)| index.set_engine(block, slot, *held));
        let asked = self.asked(request);
        let decision = split_at(&decider.views, &asked, slot, held, self.world.now());
        Placement { decision, ..placement }
    }

    fn asked<'a>(&self, request: &'a Request<'_>) -> PlaceRequest<'a> {
        PlaceRequest {
            chain: &request.chain,
            tokens: Tokens(request.arrival.prompt_tokens),
            class: request.arrival.before.class,
        }
    }

    /// # Invariant
    ///
    /// A block that is used belongs to the request's team, model and weight version, and is what was computed for it.
    fn check(&self, request: &Request<'_>, engine: usize, block: &Digest) {
        let kv = self.world.engines[engine].kv.borrow();
        let is_right = kv
            .get(block)
            .is_some_and(|(owner, bytes)| *owner == request.owner && *bytes == computed(block));
        self.tally.borrow_mut().wrong += u64::from(!is_right);
    }

    /// Where each block comes from: as decided, or for a policy without a cost model from any store that has it.
    fn plan(&self, request: &Request<'_>, placement: Placement, held: &[bool]) -> Vec<From> {
        if let Some(decision) = placement.decision {
            let decider = self.decider(request).borrow();
            return import_plan(&decider.views, &self.asked(request), &decision, held);
        }
        let find = |block: &Digest| {
            let mut stores = self.world.stores.iter().enumerate();
            stores.find_map(|(number, host)| {
                let (_, tier) = host.store.borrow().find(block).filter(|_| host.is_up.get())?;
                Some((StoreSlot(u8::try_from(number).ok()?), tier))
            })
        };
        let blocks = request.chain.blocks().iter().zip(held);
        blocks.map(|(block, is_held)| if *is_held { None } else { find(block) }).collect()
    }

    /// Imports over all links at once, over each in the order of the chain.
    async fn import(
        &self,
        request: &Request<'_>,
        placement: Placement,
        plan: &[From],
        held: &mut [bool],
        ticket: u64,
    ) {
        let mut legs: Vec<(StoreSlot, Tier, Vec<usize>)> = Vec::new();
        for (number, from) in plan.iter().enumerate() {
            let Some((store, tier)) = *from else { continue };
            match legs.iter_mut().find(|leg| (leg.0, leg.1) == (store, tier)) {
                Some(leg) => leg.2.push(number),
                None => legs.push((store, tier, vec![number])),
            }
        }
        let legs = legs.into_iter().map(|(store, tier, blocks)| async move {
            let leg = self.leg(request, placement, (store, tier), blocks);
            let done = if placement.decision.is_some() {
                self.import_ours(request, &leg, ticket).await
            } else {
                self.import_all(request, &leg, ticket).await
            };
            (leg, done)
        });
        for (leg, done) in futures::future::join_all(legs).await {
            leg.blocks[..done].iter().for_each(|number| held[*number] = true);
        }
    }

    /// What a policy without a cost model does: everything, in the order of arrival, however long it takes.
    async fn import_all(&self, request: &Request<'_>, leg: &Leg, ticket: u64) -> usize {
        let from = (leg.store.0 as usize, LinkClass::Quick);
        for (done, number) in leg.blocks.iter().enumerate() {
            let block = &request.chain.blocks()[*number];
            if self.piece(request, leg.engine, from, block, ticket).await.is_none() {
                return done;
            }
        }
        leg.blocks.len()
    }

    async fn import_ours(&self, request: &Request<'_>, leg: &Leg, ticket: u64) -> usize {
        let (class, piece) = (request.arrival.before.class, self.world.deployment.piece);
        for _ in &leg.blocks {
            self.decider(request).borrow_mut().views.links.start(leg.store, leg.tier, class, piece);
        }
        for (done, number) in leg.blocks.iter().enumerate() {
            let block = &request.chain.blocks()[*number];
            if !self.import_piece(request, leg, done, block, ticket).await {
                let mut decider = self.decider(request).borrow_mut();
                for _ in done..leg.blocks.len() {
                    decider.views.links.cancel(leg.store, leg.tier, class, piece);
                }
                return done;
            }
        }
        leg.blocks.len()
    }

    /// Works out until when one link's part of an import beats recomputing it.
    fn leg(
        &self,
        request: &Request<'_>,
        placement: Placement,
        (store, tier): (StoreSlot, Tier),
        blocks: Vec<usize>,
    ) -> Leg {
        let (world, engine) = (&self.world, placement.engine);
        let decider = self.decider(request).borrow();
        let class = request.arrival.before.class;
        let link = decider.views.links.link(store, tier);
        let queue_ms = link.wait_ms(class, world.deployment.piece);
        let wait_ms = decider.views.engines[engine].load.wait_ms(world.now());
        let compute = placement.decision.map_or(0, |decision| u64::from(decision.compute.get()));
        let own = blocks.len() as u64 * u64::from(BLOCK_TOKENS.get());
        let rest = compute + own;
        let recompute_ms = wait_ms + world.prefill_ms(rest);
        let started_ms = world.now_ms();
        Leg { engine, store, tier, blocks, queue_ms, started_ms, recompute_ms, rest }
    }

    /// Imports the next piece unless recomputing is the better way by now.
    async fn import_piece(
        &self,
        request: &Request<'_>,
        leg: &Leg,
        done: usize,
        block: &Digest,
        ticket: u64,
    ) -> bool {
        let world = &self.world;
        let (tier, class) = (leg.tier, request.arrival.before.class);
        let piece = world.deployment.piece;
        let piece_ms = {
            let decider = self.decider(request).borrow();
            decider.views.links.link(leg.store, tier).transfer_ms(piece)
        };
        let elapsed_ms = world.now_ms() - leg.started_ms;
        let queue_ms = (leg.queue_ms - elapsed_ms).max(0.0);
        let block_ms = world.prefill_ms(u64::from(BLOCK_TOKENS.get()));
        let progress = ImportProgress {
            remaining: u32::try_from(leg.blocks.len() - done).unwrap_or(u32::MAX),
            piece_ms,
            recompute_ms: block_ms + self.long_weight_ms(request),
            engine_wait_ms: (leg.recompute_ms - elapsed_ms).max(0.0),
        };
        if !progress.keeps_up() {
            return false;
        }
        // What is left to compute if the import is cut over now.
        let left_ms = world.prefill_ms(leg.rest) - block_ms * done as f64;
        let slack_ms = leg.recompute_ms * (1.0 + CUT_OVER_SHARE) - left_ms - elapsed_ms;
        let patience_ms = match class {
            LinkClass::Quick => ((queue_ms + piece_ms) * PIECE_PATIENCE).max(slack_ms),
            LinkClass::Long | LinkClass::Idle => LONG_PATIENCE_MS,
        };
        let from = (leg.store.0 as usize, class);
        let read = self.piece(request, leg.engine, from, block, ticket);
        let read = timeout(Duration::from_secs_f64(patience_ms / 1_000.0), read).await;
        let mut decider = self.decider(request).borrow_mut();
        let now_ms = world.now_ms();
        match read {
            Ok(Some(moved_ms)) => {
                let link = (leg.store, tier);
                decider.views.links.finish(link, class, piece, moved_ms, now_ms);
                true
            }
            Ok(None) => false,
            Err(_) => {
                decider.views.links.slower((leg.store, tier), piece, patience_ms - queue_ms);
                self.tally.borrow_mut().cut_over += 1;
                false
            }
        }
    }

    /// What recomputing a block costs beyond its time; long work may wait for it, quick work never does.
    fn long_weight_ms(&self, request: &Request<'_>) -> f64 {
        if request.arrival.before.class == LinkClass::Quick {
            return 0.0;
        }
        self.world.deployment.weights.recompute_ms * f64::from(BLOCK_TOKENS.get())
    }

    /// Reads one piece, checks it and keeps it at the engine; answers for how long it moved.
    async fn piece(
        &self,
        request: &Request<'_>,
        engine: usize,
        (store, class): (usize, LinkClass),
        block: &Digest,
        ticket: u64,
    ) -> Option<f64> {
        let (world, host) = (&self.world, &self.world.stores[store]);
        let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
        if !host.is_up.get() {
            self.decider(request).borrow_mut().store_down(store, true);
            return None;
        }
        let found = host.store.borrow().find(block);
        let Some((space, tier)) = found else {
            self.miss(request, block, slot);
            return None;
        };
        let manifest = host.store.borrow().manifest(space).cloned()?;
        let moved_ms = world.transfer(store, tier, class, ticket).await;
        if !host.is_up.get() {
            return None;
        }
        let place = manifest.pieces.iter().position(|piece| piece.block == *block)?;
        let read = host.store.borrow().read(space, place).map(<[u8]>::to_vec);
        let generation = host.store.borrow().generation(space);
        let kept: Result<(), ImportMiss> = read.ok_or(ImportMiss::Block).and_then(|bytes| {
            let mut kv = world.engines[engine].kv.borrow_mut();
            kv.import(&request.owner, block, &manifest, &bytes, generation)
        });
        if kept.is_err() {
            self.miss(request, block, slot);
            return None;
        }
        host.store.borrow_mut().use_space(space);
        self.check(request, engine, block);
        Some(moved_ms)
    }

    fn miss(&self, request: &Request<'_>, block: &Digest, store: StoreSlot) {
        self.tally.borrow_mut().misses += 1;
        self.decider(request).borrow_mut().views.index.set_store(block, store, None);
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
                    engine.kv.borrow_mut().compute(&request.owner, block);
                }
            }
            left -= chunk;
            engine.backlog.set(engine.backlog.get().saturating_sub(chunk));
            if class == LinkClass::Quick {
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

    /// Hands the context of an answered request to the write-back.
    fn write_back(self: &Rc<Self>, request: &Request<'_>, engine: usize) {
        let arrival = request.arrival;
        let tokens = arrival.prompt_tokens + arrival.answer_tokens;
        let blocks = chain(&request.owner, arrival.before.team, arrival.before.id, tokens);
        if let Some(last) = blocks.get(request.chain.blocks().len()) {
            self.world.engines[engine].kv.borrow_mut().compute(&request.owner, last);
        }
        let slots: Vec<StoreSlot> = (0..2_u8)
            .filter(|store| self.world.stores[usize::from(*store)].is_up.get())
            .map(StoreSlot)
            .collect();
        let is_stored = |block: &Digest| {
            slots
                .iter()
                .any(|slot| self.world.stores[slot.0 as usize].store.borrow().find(block).is_some())
        };
        for slot in &slots {
            let missing: Vec<_> = blocks
                .iter()
                .enumerate()
                .filter(|(place, block)| {
                    home_store(&blocks[0], *place, &slots) == Some(*slot) && !is_stored(block)
                })
                .map(|(_, block)| *block)
                .collect();
            if !missing.is_empty() {
                let job = Job { owner: request.owner.clone(), blocks: missing };
                self.hand_over(arrival, slot.0 as usize, job);
            }
        }
    }

    fn hand_over(self: &Rc<Self>, arrival: &Arrival, home: usize, job: Job) {
        let popularity = 1 + u32::from(arrival.before.tokens > 0);
        let blocks = u32::try_from(job.blocks.len()).unwrap_or(u32::MAX);
        if self.policy == Policy::Ours {
            self.write_back[home].borrow_mut().push(Export { popularity, blocks, job });
        } else {
            let run = self.clone();
            spawn_local(async move { run.export(home, job, LinkClass::Quick).await });
        }
    }

    /// Writes the most worthy exports of a store, one after the other, whenever its link is idle.
    pub(super) async fn write_back_loop(self: Rc<Self>, store: usize) {
        loop {
            let next = self.write_back[store].borrow_mut().pop();
            match next {
                Some(export) => self.export(store, export.job, LinkClass::Idle).await,
                None => pause(50.0).await,
            }
        }
    }

    async fn export(self: &Rc<Self>, store: usize, job: Job, class: LinkClass) {
        let (world, host) = (&self.world, &self.world.stores[store]);
        let space = host.store.borrow_mut().begin();
        for block in &job.blocks {
            if !host.is_up.get() {
                host.store.borrow_mut().free(space);
                return;
            }
            world.transfer(store, Tier::Memory, class, world.ticket()).await;
            host.store.borrow_mut().write(space, *block, computed(block));
        }
        let manifest = host.store.borrow().manifest_of(space, &job.owner, world.deployment.piece);
        let moved = host.store.borrow_mut().publish(space, manifest);
        let run = self.clone();
        spawn_local(async move {
            pause(STORE_EVENT_MS).await;
            run.tell(store, &job.blocks, &moved);
        });
    }

    fn tell(&self, store: usize, stored: &[Digest], moved: &[(Digest, Option<Tier>)]) {
        let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
        for decider in &self.deciders {
            let index = &mut decider.borrow_mut().views.index;
            stored.iter().for_each(|block| index.set_store(block, slot, Some(Tier::Memory)));
            moved.iter().for_each(|(block, tier)| index.set_store(block, slot, *tier));
        }
    }

    /// Tells every instance what the stores hold at the start.
    pub(super) fn tell_all(&self) {
        for (store, host) in self.world.stores.iter().enumerate() {
            let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
            let store = host.store.borrow();
            for decider in &self.deciders {
                let index = &mut decider.borrow_mut().views.index;
                store.blocks().for_each(|(block, tier)| index.set_store(block, slot, Some(tier)));
            }
        }
    }
}

/// The slot of an engine.
pub(super) fn slot(engine: usize) -> EngineSlot {
    EngineSlot(u8::try_from(engine).unwrap_or(u8::MAX))
}
