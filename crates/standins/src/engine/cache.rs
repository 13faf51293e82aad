//! The prefix cache of one incarnation of an engine, with its cache events and snapshots over HTTP.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bilberryford_cache::{
    BLOCK_TOKENS, BlockOwner, CacheEvent, CacheSnapshot, ChainSalt, Manifest, PrefixChain,
};
use bilberryford_endpoint::wire::CompletionBody;
use bilberryford_types::{Digest, Generation, Incarnation, Tokens};
use parking_lot::Mutex;
use poem::{
    handler,
    web::{Data, Json, Query},
};
use serde::Deserialize;

use super::{
    EngineProcess,
    kv::{KvCache, computed_bytes},
};

/// The number of cache events that an engine retains for subscribers.
const MAX_RETAINED_EVENTS: usize = 64;

/// The next incarnation; one counter for all engines keeps incarnations unique.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

#[derive(Debug)]
struct State {
    kv: KvCache,
    events: VecDeque<CacheEvent>,
}

/// The prefix cache of one incarnation.
#[derive(Debug)]
pub(super) struct ProcessCache {
    state: Mutex<State>,
}

impl ProcessCache {
    pub(super) fn new(blocks: usize) -> Self {
        let incarnation = Incarnation(INCARNATIONS.fetch_add(1, Ordering::Relaxed));
        let kv = KvCache::new(blocks, incarnation);
        Self { state: Mutex::new(State { kv, events: VecDeque::new() }) }
    }

    /// Counts the cached blocks of a prompt. They need not be contiguous with the cached prefix.
    pub(super) fn look_up(&self, body: &CompletionBody) -> CacheLookup {
        let chain = chain(body);
        let owner = owner(body);
        let mut state = self.state.lock();
        state.kv.look_up_chain(chain.blocks());
        let cached: Vec<_> = chain
            .blocks()
            .iter()
            .filter_map(|block| state.kv.get(block).map(|cached| (block, cached)))
            .collect();
        let is_bad = |(block, (block_owner, bytes)): &&(&Digest, (&BlockOwner, &[u8]))| {
            **block_owner != owner || *bytes != computed_bytes(block)
        };
        let blocks = u32::try_from(cached.len()).unwrap_or(0);
        CacheLookup { blocks, bad_blocks: cached.iter().filter(is_bad).count() as u64 }
    }

    /// Caches a block that was read from a store. Returns false if the checks rejected it.
    pub(super) fn import(
        &self,
        owner: &BlockOwner,
        piece: &ReadPiece<'_>,
        is_checked: bool,
    ) -> bool {
        let ReadPiece { block, manifest, bytes, generation_after } = *piece;
        let mut state = self.state.lock();
        if !is_checked {
            state.kv.import_unchecked(&manifest.owner, block, bytes);
        } else if state.kv.import(owner, block, manifest, bytes, generation_after).is_err() {
            return false;
        }
        state.push_event();
        true
    }

    /// Returns those of `blocks` that are cached and belong to `owner`, with their bytes.
    pub(super) fn owned_blocks(
        &self,
        owner: &BlockOwner,
        blocks: &[Digest],
    ) -> Vec<(Digest, Vec<u8>)> {
        let state = self.state.lock();
        let cached = blocks.iter().filter_map(|block| Some((*block, state.kv.get(block)?)));
        cached
            .filter(|(_, (block_owner, _))| *block_owner == owner)
            .map(|(block, (_, bytes))| (block, bytes.to_vec()))
            .collect()
    }

    /// Caches the blocks of a prompt after its prefill.
    pub(super) fn insert_prompt(&self, body: &CompletionBody) {
        let owner = owner(body);
        let mut state = self.state.lock();
        chain(body).blocks().iter().for_each(|block| state.kv.insert_computed(&owner, block));
        state.push_event();
    }

    fn events(&self, incarnation: Incarnation, after: u64) -> Vec<CacheEvent> {
        let state = self.state.lock();
        let is_new =
            |event: &&CacheEvent| event.incarnation != incarnation || event.sequence > after;
        state.events.iter().filter(is_new).cloned().collect()
    }

    fn snapshot(&self) -> CacheSnapshot {
        self.state.lock().kv.snapshot()
    }
}

/// A piece that was read from a store.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadPiece<'a> {
    pub(super) block: &'a Digest,
    pub(super) manifest: &'a Manifest,
    pub(super) bytes: &'a [u8],
    /// The generation of the space after the read.
    pub(super) generation_after: Generation,
}

/// The result of looking up a prompt's blocks.
#[derive(Debug, Clone, Copy)]
pub(super) struct CacheLookup {
    /// Blocks that are cached and need no prefill.
    pub(super) blocks: u32,
    /// Cached blocks that differ from what the engine would have computed itself.
    pub(super) bad_blocks: u64,
}

impl CacheLookup {
    pub(super) const fn tokens(self) -> Tokens {
        Tokens(self.blocks * BLOCK_TOKENS.get())
    }
}

impl State {
    fn push_event(&mut self) {
        if let Some(event) = self.kv.take_event() {
            self.events.push_back(event);
        }
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }
}

fn owner(body: &CompletionBody) -> BlockOwner {
    BlockOwner {
        team: body.team.clone(),
        model: body.model.clone(),
        weight_version: body.weight_version.clone(),
    }
}

fn chain(body: &CompletionBody) -> PrefixChain {
    let salt = ChainSalt {
        team: body.team.clone(),
        model: body.model.clone(),
        weight_version: body.weight_version.clone(),
        adapter: String::new(),
    };
    PrefixChain::from_prompt(&salt, &body.prompt)
}

#[derive(Deserialize)]
struct EventsQuery {
    #[serde(default)]
    incarnation: u64,
    #[serde(default)]
    after: u64,
}

#[handler]
pub(super) fn cache_events(
    Data(process): Data<&Arc<EngineProcess>>,
    Query(query): Query<EventsQuery>,
) -> Json<Vec<CacheEvent>> {
    let are_dropped = process.engine.faults.lock().lose_cache_events;
    Json(if are_dropped {
        Vec::new()
    } else {
        process.cache.events(Incarnation(query.incarnation), query.after)
    })
}

#[handler]
pub(super) fn cache_snapshot(Data(process): Data<&Arc<EngineProcess>>) -> Json<CacheSnapshot> {
    Json(process.cache.snapshot())
}
