//! The prefix cache of one life of an engine, over HTTP: cache events and snapshots.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bilberryford_cache::{BLOCK_TOKENS, CacheEvent, CacheSnapshot, ChainSalt, Owner, PrefixChain};
use bilberryford_endpoint::wire::CompletionBody;
use bilberryford_types::{Incarnation, Tokens};
use parking_lot::Mutex;
use poem::{
    handler,
    web::{Data, Json, Query},
};
use serde::Deserialize;

use super::{Life, kv::KvCache};

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

    /// How many tokens of a prompt need not be computed.
    pub(super) fn find(&self, body: &CompletionBody) -> Tokens {
        let mut state = self.state.lock();
        let held = state.kv.use_chain(chain(body).blocks());
        let blocks = held.iter().take_while(|held| **held).count();
        Tokens(u32::try_from(blocks).unwrap_or(0) * BLOCK_TOKENS.get())
    }

    /// Keeps the blocks of a prompt that was computed.
    pub(super) fn keep(&self, body: &CompletionBody) {
        let owner = Owner {
            team: body.team.clone(),
            model: body.model.clone(),
            weight_version: body.weight_version.clone(),
        };
        let mut state = self.state.lock();
        chain(body).blocks().iter().for_each(|block| state.kv.compute(&owner, block));
        if let Some(event) = state.kv.take_event() {
            state.events.push_back(event);
        }
        if state.events.len() > KEPT_EVENTS {
            state.events.pop_front();
        }
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
