//! Exports of blocks after an answer, and the store events that announce them to the instances.

use std::rc::Rc;

use bilberryford_cache::{BlockOwner, PendingExport, StoreSlot, Tier, TransferClass, home_store};
use bilberryford_types::Digest;
use tokio::task::spawn_local;

use super::{
    Policy,
    serve::{Request, Run},
    workload::{Arrival, chain},
    world::sleep_ms,
};
use crate::engine::kv::computed_bytes;

/// Time until a store event reaches an instance.
const STORE_EVENT_DELAY_MS: f64 = 250.0;

/// Blocks to write to a store, with their owner.
#[derive(Debug, Clone)]
pub(super) struct ExportJob {
    owner: BlockOwner,
    blocks: Vec<Digest>,
}

impl Run {
    /// Queues the blocks of an answered request that no store holds, each for its home store.
    pub(super) fn queue_exports(self: &Rc<Self>, request: &Request<'_>, engine: usize) {
        let arrival = request.arrival;
        let tokens = arrival.prompt_tokens + arrival.answer_tokens;
        let blocks =
            chain(&request.owner, arrival.conversation.team, arrival.conversation.id, tokens);
        if let Some(last) = blocks.get(request.chain.blocks().len()) {
            self.world.engines[engine].kv.borrow_mut().insert_computed(&request.owner, last);
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
                .filter(|(index, block)| {
                    home_store(&blocks[0], *index, &slots) == Some(*slot) && !is_stored(block)
                })
                .map(|(_, block)| *block)
                .collect();
            if !missing.is_empty() {
                let job = ExportJob { owner: request.owner.clone(), blocks: missing };
                self.queue_export(arrival, slot.0 as usize, job);
            }
        }
    }

    fn queue_export(self: &Rc<Self>, arrival: &Arrival, home: usize, job: ExportJob) {
        let popularity = 1 + u32::from(arrival.conversation.tokens > 0);
        let blocks = u32::try_from(job.blocks.len()).unwrap_or(u32::MAX);
        if self.policy == Policy::Ours {
            self.write_back_queues[home].borrow_mut().push(PendingExport {
                popularity,
                blocks,
                job,
            });
        } else {
            let run = self.clone();
            spawn_local(async move { run.export(home, job, TransferClass::Interactive).await });
        }
    }

    /// Writes the queued exports of a store one at a time, the most valuable first, while its link is idle.
    pub(super) async fn run_write_back(self: Rc<Self>, store: usize) {
        loop {
            let next = self.write_back_queues[store].borrow_mut().pop();
            match next {
                Some(export) => self.export(store, export.job, TransferClass::Background).await,
                None => sleep_ms(50.0).await,
            }
        }
    }

    async fn export(self: &Rc<Self>, store: usize, job: ExportJob, class: TransferClass) {
        let (world, host) = (&self.world, &self.world.stores[store]);
        let space = host.store.borrow_mut().begin();
        for block in &job.blocks {
            if !host.is_up.get() {
                host.store.borrow_mut().free(space);
                return;
            }
            world.transfer(store, Tier::Memory, class, world.next_sequence()).await;
            host.store.borrow_mut().write(space, *block, computed_bytes(block));
        }
        let manifest =
            host.store.borrow().manifest_of(space, &job.owner, world.deployment.piece_size);
        let moved = host.store.borrow_mut().publish(space, manifest);
        let run = self.clone();
        spawn_local(async move {
            sleep_ms(STORE_EVENT_DELAY_MS).await;
            run.announce(store, &job.blocks, &moved);
        });
    }

    fn announce(&self, store: usize, stored: &[Digest], moved: &[(Digest, Option<Tier>)]) {
        let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
        for decider in &self.deciders {
            let index = &mut decider.borrow_mut().views.index;
            stored.iter().for_each(|block| index.set_store_tier(block, slot, Some(Tier::Memory)));
            moved.iter().for_each(|(block, tier)| index.set_store_tier(block, slot, *tier));
        }
    }

    /// Announces to every instance which blocks the stores hold at the start.
    pub(super) fn announce_stored_blocks(&self) {
        for (store, host) in self.world.stores.iter().enumerate() {
            let slot = StoreSlot(u8::try_from(store).unwrap_or(u8::MAX));
            let store = host.store.borrow();
            for decider in &self.deciders {
                let index = &mut decider.borrow_mut().views.index;
                store
                    .blocks()
                    .for_each(|(block, tier)| index.set_store_tier(block, slot, Some(tier)));
            }
        }
    }
}
