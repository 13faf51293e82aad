//! Imports of one request: what comes over which link, and when to recompute instead.

use std::time::Duration;

use bilberryford_cache::{
    BLOCK_TOKENS, ImportMiss, ImportProgress, StoreSlot, Tier, TransferClass, import_sources,
};
use bilberryford_types::Digest;
use tokio::time::timeout;

use super::{
    policy::Placement,
    serve::{CUT_OVER_SHARE, Request, Run},
};

/// By how much a piece may miss its expected time before an import is cut over.
const PIECE_PATIENCE: f64 = 1.5;
/// The deadline of one piece for long work, in milliseconds.
const LONG_PATIENCE_MS: f64 = 10_000.0;

/// Where a block comes from.
pub(super) type From = Option<(StoreSlot, Tier)>;

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

impl Run {
    /// Where each block comes from: as decided, or for a policy without a cost model from any store that has it.
    pub(super) fn plan(
        &self,
        request: &Request<'_>,
        placement: Placement,
        held: &[bool],
    ) -> Vec<From> {
        if let Some(decision) = placement.decision {
            let decider = self.decider(request).borrow();
            return import_sources(&decider.views, &self.asked(request), &decision, held);
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
    pub(super) async fn import(
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
        let from = (leg.store.0 as usize, TransferClass::Interactive);
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
            self.decider(request)
                .borrow_mut()
                .views
                .links
                .reserve(leg.store, leg.tier, class, piece);
        }
        for (done, number) in leg.blocks.iter().enumerate() {
            let block = &request.chain.blocks()[*number];
            if !self.import_piece(request, leg, done, block, ticket).await {
                let mut decider = self.decider(request).borrow_mut();
                for _ in done..leg.blocks.len() {
                    decider.views.links.release(leg.store, leg.tier, class, piece);
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
        let compute =
            placement.decision.map_or(0, |decision| u64::from(decision.compute_tokens.get()));
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
            remaining_pieces: u32::try_from(leg.blocks.len() - done).unwrap_or(u32::MAX),
            piece_ms,
            recompute_ms: block_ms + self.long_weight_ms(request),
            engine_wait_ms: (leg.recompute_ms - elapsed_ms).max(0.0),
        };
        if !progress.should_continue() {
            return false;
        }
        // What is left to compute if the import is cut over now.
        let left_ms = world.prefill_ms(leg.rest) - block_ms * done as f64;
        let slack_ms = leg.recompute_ms * (1.0 + CUT_OVER_SHARE) - left_ms - elapsed_ms;
        let patience_ms = match class {
            TransferClass::Interactive => ((queue_ms + piece_ms) * PIECE_PATIENCE).max(slack_ms),
            TransferClass::Batch | TransferClass::Background => LONG_PATIENCE_MS,
        };
        let from = (leg.store.0 as usize, class);
        let read = self.piece(request, leg.engine, from, block, ticket);
        let read = timeout(Duration::from_secs_f64(patience_ms / 1_000.0), read).await;
        let mut decider = self.decider(request).borrow_mut();
        let now_ms = world.now_ms();
        match read {
            Ok(Some(moved_ms)) => {
                let link = (leg.store, tier);
                decider.views.links.complete(link, class, piece, moved_ms, now_ms);
                true
            }
            Ok(None) => false,
            Err(_) => {
                decider.views.links.record_delay((leg.store, tier), piece, patience_ms - queue_ms);
                self.tally.borrow_mut().cut_over += 1;
                false
            }
        }
    }

    /// What recomputing a block costs beyond its time; long work may wait for it, quick work never does.
    fn long_weight_ms(&self, request: &Request<'_>) -> f64 {
        if request.arrival.before.class == TransferClass::Interactive {
            return 0.0;
        }
        self.world.deployment.weights.recompute_ms_per_token * f64::from(BLOCK_TOKENS.get())
    }

    /// Reads one piece, checks it and keeps it at the engine; answers for how long it moved.
    async fn piece(
        &self,
        request: &Request<'_>,
        engine: usize,
        (store, class): (usize, TransferClass),
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
        let kept: Result<(), ImportMiss> =
            read.ok_or(ImportMiss::BlockNotListed).and_then(|bytes| {
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
        self.decider(request).borrow_mut().views.index.set_store_tier(block, store, None);
    }
}
