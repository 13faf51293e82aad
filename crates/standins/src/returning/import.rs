//! Imports of one request: which blocks come over which link, and when they are recomputed instead.

use std::time::Duration;

use bilberryford_cache::{
    BLOCK_TOKENS, ImportMiss, ImportProgress, StoreSlot, Tier, TransferClass, import_sources,
};
use bilberryford_types::Digest;
use tokio::time::timeout;

use super::{
    policy::Placement,
    serve::{MAX_IMPORT_LOSS, Request, Run},
};

/// Multiple of a piece's expected time after which an import is cut over to recomputing.
const PIECE_TIMEOUT_FACTOR: f64 = 1.5;
/// Timeout of one piece for batch requests.
const BATCH_PIECE_TIMEOUT_MS: f64 = 10_000.0;

/// The store and tier that a block is imported from, if any.
pub(super) type BlockSource = Option<(StoreSlot, Tier)>;

/// The part of an import that comes over one link.
struct LinkImport {
    engine: usize,
    store: StoreSlot,
    tier: Tier,
    /// The indices of its blocks in the chain.
    blocks: Vec<usize>,
    queue_ms: f64,
    started_ms: f64,
    /// Expected time to compute its blocks along with the rest of the prompt, including the wait for the engine.
    recompute_ms: f64,
    /// Tokens that are computed in that case.
    compute_tokens: u64,
}

impl Run {
    /// Returns the source of each block: as decided, or any store that holds it for a policy without a cost model.
    pub(super) fn plan_sources(
        &self,
        request: &Request<'_>,
        placement: Placement,
        held: &[bool],
    ) -> Vec<BlockSource> {
        if let Some(decision) = placement.decision {
            let decider = self.decider(request).borrow();
            return import_sources(
                &decider.views,
                &self.placement_request(request),
                &decision,
                held,
            );
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

    /// Imports over all links in parallel, over each in the order of the chain.
    pub(super) async fn import(
        &self,
        request: &Request<'_>,
        placement: Placement,
        plan: &[BlockSource],
        held: &mut [bool],
        sequence: u64,
    ) {
        let mut link_imports: Vec<(StoreSlot, Tier, Vec<usize>)> = Vec::new();
        for (number, from) in plan.iter().enumerate() {
            let Some((store, tier)) = *from else { continue };
            match link_imports
                .iter_mut()
                .find(|link_import| (link_import.0, link_import.1) == (store, tier))
            {
                Some(link_import) => link_import.2.push(number),
                None => link_imports.push((store, tier, vec![number])),
            }
        }
        let link_imports = link_imports.into_iter().map(|(store, tier, blocks)| async move {
            let link_import = self.link_import(request, placement, (store, tier), blocks);
            let done = if placement.decision.is_some() {
                self.import_with_cost_model(request, &link_import, sequence).await
            } else {
                self.import_all(request, &link_import, sequence).await
            };
            (link_import, done)
        });
        for (link_import, done) in futures::future::join_all(link_imports).await {
            link_import.blocks[..done].iter().for_each(|number| held[*number] = true);
        }
    }

    /// Imports all blocks, however long it takes, as a policy without a cost model does.
    async fn import_all(
        &self,
        request: &Request<'_>,
        link_import: &LinkImport,
        sequence: u64,
    ) -> usize {
        let from = (link_import.store.0 as usize, TransferClass::Interactive);
        for (done, number) in link_import.blocks.iter().enumerate() {
            let block = &request.chain.blocks()[*number];
            if self.fetch_piece(request, link_import.engine, from, block, sequence).await.is_none()
            {
                return done;
            }
        }
        link_import.blocks.len()
    }

    async fn import_with_cost_model(
        &self,
        request: &Request<'_>,
        link_import: &LinkImport,
        sequence: u64,
    ) -> usize {
        let (class, piece) = (request.arrival.conversation.class, self.world.deployment.piece_size);
        for _ in &link_import.blocks {
            self.decider(request).borrow_mut().views.links.reserve(
                link_import.store,
                link_import.tier,
                class,
                piece,
            );
        }
        for (done, number) in link_import.blocks.iter().enumerate() {
            let block = &request.chain.blocks()[*number];
            if !self.import_piece(request, link_import, done, block, sequence).await {
                let mut decider = self.decider(request).borrow_mut();
                for _ in done..link_import.blocks.len() {
                    decider.views.links.release(link_import.store, link_import.tier, class, piece);
                }
                return done;
            }
        }
        link_import.blocks.len()
    }

    /// Estimates how long one link's part of an import may take before recomputing is faster.
    fn link_import(
        &self,
        request: &Request<'_>,
        placement: Placement,
        (store, tier): (StoreSlot, Tier),
        blocks: Vec<usize>,
    ) -> LinkImport {
        let (world, engine) = (&self.world, placement.engine);
        let decider = self.decider(request).borrow();
        let class = request.arrival.conversation.class;
        let link = decider.views.links.link(store, tier);
        let queue_ms = link.wait_ms(class, world.deployment.piece_size);
        let wait_ms = decider.views.engines[engine].load.wait_ms(world.now());
        let planned_tokens =
            placement.decision.map_or(0, |decision| u64::from(decision.compute_tokens.get()));
        let import_tokens = blocks.len() as u64 * u64::from(BLOCK_TOKENS.get());
        let compute_tokens = planned_tokens + import_tokens;
        let recompute_ms = wait_ms + world.prefill_ms(compute_tokens);
        let started_ms = world.now_ms();
        LinkImport {
            engine,
            store,
            tier,
            blocks,
            queue_ms,
            started_ms,
            recompute_ms,
            compute_tokens,
        }
    }

    /// Imports the next piece unless recomputing is faster by now; returns `true` if the piece was imported.
    async fn import_piece(
        &self,
        request: &Request<'_>,
        link_import: &LinkImport,
        done: usize,
        block: &Digest,
        sequence: u64,
    ) -> bool {
        let world = &self.world;
        let (tier, class) = (link_import.tier, request.arrival.conversation.class);
        let piece = world.deployment.piece_size;
        let piece_ms = {
            let decider = self.decider(request).borrow();
            decider.views.links.link(link_import.store, tier).transfer_ms(piece)
        };
        let elapsed_ms = world.now_ms() - link_import.started_ms;
        let queue_ms = (link_import.queue_ms - elapsed_ms).max(0.0);
        let block_ms = world.prefill_ms(u64::from(BLOCK_TOKENS.get()));
        let progress = ImportProgress {
            remaining_pieces: u32::try_from(link_import.blocks.len() - done).unwrap_or(u32::MAX),
            piece_ms,
            recompute_ms: block_ms + self.batch_recompute_cost_ms(request),
            engine_wait_ms: (link_import.recompute_ms - elapsed_ms).max(0.0),
        };
        if !progress.should_continue() {
            return false;
        }
        // Time to compute the rest if the import is cut over now.
        let remaining_compute_ms =
            world.prefill_ms(link_import.compute_tokens) - block_ms * done as f64;
        let slack_ms =
            link_import.recompute_ms * (1.0 + MAX_IMPORT_LOSS) - remaining_compute_ms - elapsed_ms;
        let timeout_ms = match class {
            TransferClass::Interactive => {
                ((queue_ms + piece_ms) * PIECE_TIMEOUT_FACTOR).max(slack_ms)
            }
            TransferClass::Batch | TransferClass::Background => BATCH_PIECE_TIMEOUT_MS,
        };
        let from = (link_import.store.0 as usize, class);
        let read = self.fetch_piece(request, link_import.engine, from, block, sequence);
        let read = timeout(Duration::from_secs_f64(timeout_ms / 1_000.0), read).await;
        let mut decider = self.decider(request).borrow_mut();
        let now_ms = world.now_ms();
        match read {
            Ok(Some(moved_ms)) => {
                let link = (link_import.store, tier);
                decider.views.links.complete(link, class, piece, moved_ms, now_ms);
                true
            }
            Ok(None) => false,
            Err(_) => {
                decider.views.links.record_delay(
                    (link_import.store, tier),
                    piece,
                    timeout_ms - queue_ms,
                );
                self.stats.borrow_mut().cut_over += 1;
                false
            }
        }
    }

    /// Returns the weighted cost of recomputing a block. A batch request may wait for an import to avoid it; an
    /// interactive request never does.
    fn batch_recompute_cost_ms(&self, request: &Request<'_>) -> f64 {
        if request.arrival.conversation.class == TransferClass::Interactive {
            return 0.0;
        }
        self.world.deployment.cost_weights.recompute_ms_per_token * f64::from(BLOCK_TOKENS.get())
    }

    /// Reads one piece, verifies it and imports it into the engine's cache; returns its transfer time in milliseconds.
    async fn fetch_piece(
        &self,
        request: &Request<'_>,
        engine: usize,
        (store, class): (usize, TransferClass),
        block: &Digest,
        sequence: u64,
    ) -> Option<f64> {
        let (world, host) = (&self.world, &self.world.stores[store]);
        let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
        if !host.is_up.get() {
            self.decider(request).borrow_mut().set_store_down(store, true);
            return None;
        }
        let found = host.store.borrow().find(block);
        let Some((space, tier)) = found else {
            self.record_miss(request, block, slot);
            return None;
        };
        let manifest = host.store.borrow().manifest(space).cloned()?;
        let moved_ms = world.transfer(store, tier, class, sequence).await;
        if !host.is_up.get() {
            return None;
        }
        let index = manifest.pieces.iter().position(|piece| piece.block == *block)?;
        let read = host.store.borrow().read(space, index).map(<[u8]>::to_vec);
        let generation = host.store.borrow().generation(space);
        let imported: Result<(), ImportMiss> =
            read.ok_or(ImportMiss::BlockNotListed).and_then(|bytes| {
                let mut kv = world.engines[engine].kv.borrow_mut();
                kv.import(&request.owner, block, &manifest, &bytes, generation)
            });
        if imported.is_err() {
            self.record_miss(request, block, slot);
            return None;
        }
        host.store.borrow_mut().use_space(space);
        self.check_block(request, engine, block);
        Some(moved_ms)
    }

    fn record_miss(&self, request: &Request<'_>, block: &Digest, store: StoreSlot) {
        self.stats.borrow_mut().misses += 1;
        self.decider(request).borrow_mut().views.index.set_store_tier(block, store, None);
    }
}
