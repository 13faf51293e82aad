//! The prefix cache of one life of an engine, over HTTP: cache events and snapshots.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bilberryford_cache::{
    BLOCK_TOKENS, CacheEvent, CacheSnapshot, ChainSalt, Manifest, Owner, PrefixChain,
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
    Life,
    kv::{KvCache, computed_bytes},
};

/// How many events an engine still tells.
const KEPT_EVENTS: usize = 64;

/// Counts the lives of all engines, so that each has an incarnation of its own.
static LIVES: AtomicU64 = AtomicU64::new(1);

#[derive(Debug)]
struct State {
    kv: KvCache,
    events: VecDeque<CacheEvent>,
}

/// The cache of one life.
#[derive(Debug)]
pub(super) struct LifeCache {
    state: Mutex<State>,
}

impl LifeCache {
    pub(super) fn new(blocks: usize) -> Self {
        let incarnation = Incarnation(LIVES.fetch_add(1, Ordering::Relaxed));
        let kv = KvCache::new(blocks, incarnation);
        Self { state: Mutex::new(State { kv, events: VecDeque::new() }) }
    }

    /// What of a prompt need not be computed; a block need not be next to the cached prefix.
    pub(super) fn find(&self, body: &CompletionBody) -> Found {
        let chain = chain(body);
        let owner = owner(body);
        let mut state = self.state.lock();
        state.kv.look_up_chain(chain.blocks());
        let held: Vec<_> = chain
            .blocks()
            .iter()
            .filter_map(|block| state.kv.get(block).map(|held| (block, held)))
            .collect();
        let is_bad = |(block, (whose, bytes)): &&(&Digest, (&Owner, &[u8]))| {
            **whose != owner || *bytes != computed_bytes(block)
        };
        let blocks = u32::try_from(held.len()).unwrap_or(0);
        Found { blocks, bad_blocks: held.iter().filter(is_bad).count() as u64 }
    }

    /// Keeps a block that was read from a store; answers whether it was kept.
    pub(super) fn import(&self, owner: &Owner, read: &ReadPiece<'_>, is_checked: bool) -> bool {
        let ReadPiece { block, manifest, bytes, after } = *read;
        let mut state = self.state.lock();
        if !is_checked {
            state.kv.import_unchecked(&manifest.owner, block, bytes);
        } else if state.kv.import(owner, block, manifest, bytes, after).is_err() {
            return false;
        }
        state.tell();
        true
    }

    /// Those of `blocks` that are here and the owner's, with their bytes.
    pub(super) fn held(&self, owner: &Owner, blocks: &[Digest]) -> Vec<(Digest, Vec<u8>)> {
        let state = self.state.lock();
        let held = blocks.iter().filter_map(|block| Some((*block, state.kv.get(block)?)));
        held.filter(|(_, (whose, _))| *whose == owner)
            .map(|(block, (_, bytes))| (block, bytes.to_vec()))
            .collect()
    }

    /// Keeps the blocks of a prompt that was computed.
    pub(super) fn keep(&self, body: &CompletionBody) {
        let owner = owner(body);
        let mut state = self.state.lock();
        chain(body).blocks().iter().for_each(|block| state.kv.insert_computed(&owner, block));
        state.tell();
    }

    fn events(&self, known: Incarnation, after: u64) -> Vec<CacheEvent> {
        let state = self.state.lock();
        let is_new = |event: &&CacheEvent| event.incarnation != known || event.sequence > after;
        state.events.iter().filter(is_new).cloned().collect()
    }

    fn snapshot(&self) -> CacheSnapshot {
        self.state.lock().kv.snapshot()
    }
}

/// A piece as it was read from a store.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadPiece<'a> {
    pub(super) block: &'a Digest,
    pub(super) manifest: &'a Manifest,
    pub(super) bytes: &'a [u8],
    /// The generation of the space after the read.
    pub(super) after: Generation,
}

/// What an engine finds of a prompt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Found {
    /// Blocks that need not be computed.
    pub(super) blocks: u32,
    /// Those of them that are not what the engine would have computed itself.
    pub(super) bad_blocks: u64,
}

impl Found {
    pub(super) const fn tokens(self) -> Tokens {
        Tokens(self.blocks * BLOCK_TOKENS.get())
    }
}

impl State {
    fn tell(&mut self) {
        if let Some(event) = self.kv.take_event() {
            self.events.push_back(event);
        }
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}

fn owner(body: &CompletionBody) -> Owner {
    Owner {
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
    PrefixChain::of(&salt, &body.prompt)
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
    Data(life): Data<&Arc<Life>>,
    Query(query): Query<EventsQuery>,
) -> Json<Vec<CacheEvent>> {
    let lost = life.engine.faults.lock().lose_cache_events;
    Json(if lost {
        Vec::new()
    } else {
        life.cache.events(Incarnation(query.incarnation), query.after)
    })
}

#[handler]
pub(super) fn cache_snapshot(Data(life): Data<&Arc<Life>>) -> Json<CacheSnapshot> {
    Json(life.cache.snapshot())
}
