//! What the other instances have in flight, and what they learned of endpoints.
//!
//! The load pattern it answers: many instances with a few requests each, none of which sees a queue grow. Each tells the
//! others, several times a second, what it has at each endpoint; the sum steers placement. A message that is lost or
//! late only makes the view older: views steer, versions decide.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    cache_index::{PartReport, PartTag, PartUpdate},
    quarantine::Fingerprint,
    translation::CacheChanges,
};

/// How long what a peer said is used, in milliseconds: a few of its messages may be lost.
const USED_FOR_MS: TimeMs = TimeMs(1_200);
/// How long a peer counts as live after its last message, in milliseconds.
const LIVE_FOR_MS: TimeMs = TimeMs(3_000);
/// The most endpoints that one message tells of, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_ENDPOINTS: usize = 48;

/// A short name of an endpoint's life, for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointTag(u32);

impl EndpointTag {
    /// The tag of the endpoint `id`, born at `started_ms`.
    pub fn new(id: &str, started_ms: TimeMs) -> Self {
        let hash = xxh3_64(id.as_bytes()) ^ started_ms.get().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // The low half is as uniform as the whole.
        Self(hash as u32)
    }
}

/// How many ranks there are.
const RANKS: usize = 10;

/// Waiting tokens by rank, 0 the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankTokens([u32; RANKS]);

impl RankTokens {
    fn at(&mut self, rank: u8) -> &mut u32 {
        &mut self.0[usize::from(rank).min(RANKS - 1)]
    }

    /// Tokens of a request with `rank` begin to wait.
    pub fn add(&mut self, rank: u8, tokens: u64) {
        let at = self.at(rank);
        *at = at.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    /// They wait no longer.
    pub fn remove(&mut self, rank: u8, tokens: u64) {
        let at = self.at(rank);
        *at = at.saturating_sub(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    /// What goes before a request with `rank`: the tokens of its own rank and of more urgent ones.
    pub fn ahead_of(&self, rank: u8) -> u64 {
        self.0.iter().take(usize::from(rank) + 1).copied().map(u64::from).sum()
    }
}

/// What one instance has at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Its requests there.
    pub in_flight: u32,
    /// The prompt tokens that the endpoint has yet to read for them.
    pub waiting: RankTokens,
    /// The memory that they need there, in tokens.
    pub memory_tokens: u32,
    /// How much slower than usual first tokens came, in hundredths; zero when it has not seen any.
    pub slowness_percent: u32,
    /// Whether it ordered the endpoint to load weights and has not seen the end.
    pub is_loading: bool,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Who says it.
    pub instance: String,
    /// Which run of it.
    pub incarnation: u64,
    /// Counts the messages of that run.
    pub sequence: u64,
    /// Whether it can check keys, and so takes requests.
    pub can_check_keys: bool,
    /// Its endpoints, the busy ones first.
    pub endpoints: Vec<(EndpointTag, EndpointLoad)>,
}

impl LoadMessage {
    /// The message without its least busy endpoints, so that it takes no more than `max_bytes`.
    pub fn trimmed(mut self, max_bytes: usize) -> Self {
        let is_larger = |message: &Self| {
            postcard::to_stdvec(message).is_ok_and(|bytes| bytes.len() > max_bytes)
        };
        while !self.endpoints.is_empty() && is_larger(&self) {
            self.endpoints.truncate(self.endpoints.len() * 3 / 4);
        }
        self
    }
}

/// What a follower of a store passes on to the instances that don't follow it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StorePartsMessage {
    /// The store.
    pub(crate) holder: SocketAddr,
    /// The place that the changes go on from.
    pub(crate) since: u64,
    /// The changes.
    pub(crate) changes: CacheChanges,
}

/// What an instance that follows an engine, or sends prompts to it, tells all others of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineParts {
    /// The engine's life.
    pub engine: EndpointTag,
    /// What became of its parts.
    pub changes: Vec<PartReport>,
}

/// What is yet to be told of engines; of several changes of one part only the last.
#[derive(Debug, Clone, Default)]
pub struct PendingEngineParts(HashMap<EndpointTag, HashMap<PartTag, PartUpdate>>);

impl PendingEngineParts {
    /// Adds what an engine said, or what it was given.
    pub fn add(&mut self, engine: EndpointTag, changes: impl Iterator<Item = PartReport>) {
        self.0.entry(engine).or_default().extend(changes);
    }

    /// Takes up to `limit` changes, for one message; what is left waits for the next.
    pub fn take(&mut self, limit: usize) -> Vec<EngineParts> {
        let mut left = limit;
        let mut taken = Vec::new();
        for (engine, changes) in &mut self.0 {
            let parts: Vec<_> = changes.keys().take(left).copied().collect();
            left -= parts.len();
            let changes: Vec<_> = parts
                .into_iter()
                .filter_map(|part| changes.remove(&part).map(|news| (part, news)))
                .collect();
            if !changes.is_empty() {
                taken.push(EngineParts { engine: *engine, changes });
            }
        }
        self.0.retain(|_, changes| !changes.is_empty());
        taken
    }
}

/// Whatever one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// What it has in flight.
    Load(LoadMessage),
    /// What a store says.
    Parts(StorePartsMessage),
    /// What engines that it follows have in their memories, and those that it sends prompts to will have.
    Engines(Vec<EngineParts>),
    /// Requests that it saw lost with the lives of endpoints.
    Crashes(Vec<(Fingerprint, EndpointTag)>),
}

#[derive(Debug, Clone)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard_ms: TimeMs,
    can_check_keys: bool,
    endpoints: Vec<EndpointTag>,
}

/// The sum over peers for one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Their requests there.
    pub in_flight: u32,
    /// The prompt tokens yet to be read for them.
    pub waiting_tokens: u64,
    /// The memory that they need there, in tokens.
    pub memory_tokens: u64,
    /// The mean of what they saw, in hundredths; none when no one saw any.
    pub slowness_percent: Option<u32>,
    /// Whether one of them ordered it to load weights.
    pub is_loading: bool,
}

/// What a peer said of an endpoint, and when.
#[derive(Debug, Clone)]
struct Told {
    peer: String,
    heard_ms: TimeMs,
    load: EndpointLoad,
}

/// The view of all peers.
///
/// Loads are kept by endpoint: every request asks for those of all endpoints of its service, and few of many peers have
/// anything at one of them.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    peers: HashMap<String, Peer>,
    by_endpoint: HashMap<EndpointTag, Vec<Told>>,
}

impl PeerLoads {
    /// Takes in a message; an older one than the last of the same run is left out.
    pub fn apply(&mut self, message: LoadMessage, now_ms: TimeMs) {
        let is_newer = self.peers.get(&message.instance).is_none_or(|peer| {
            peer.incarnation != message.incarnation || peer.sequence < message.sequence
        });
        if !is_newer {
            return;
        }
        self.forget(&message.instance);
        let endpoints = message.endpoints.iter().map(|(endpoint, _)| *endpoint).collect();
        for (endpoint, load) in message.endpoints {
            let told = Told { peer: message.instance.clone(), heard_ms: now_ms, load };
            self.by_endpoint.entry(endpoint).or_default().push(told);
        }
        let peer = Peer {
            incarnation: message.incarnation,
            sequence: message.sequence,
            heard_ms: now_ms,
            can_check_keys: message.can_check_keys,
            endpoints,
        };
        self.peers.insert(message.instance, peer);
    }

    /// Drops what a peer said.
    fn forget(&mut self, instance: &str) {
        let Some(peer) = self.peers.remove(instance) else { return };
        for endpoint in peer.endpoints {
            if let Some(told) = self.by_endpoint.get_mut(&endpoint) {
                told.retain(|told| told.peer != instance);
                if told.is_empty() {
                    self.by_endpoint.remove(&endpoint);
                }
            }
        }
    }

    /// Drops peers that are silent.
    pub fn expire(&mut self, now_ms: TimeMs) {
        let is_silent = |peer: &Peer| now_ms.since(peer.heard_ms) >= LIVE_FOR_MS;
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        silent.iter().for_each(|instance| self.forget(instance));
    }

    /// How many instances are live, this one included.
    pub fn live_instances(&self, now_ms: TimeMs) -> u64 {
        let live = |peer: &&Peer| now_ms.since(peer.heard_ms) < LIVE_FOR_MS;
        1 + self.peers.values().filter(live).count() as u64
    }

    /// Whether another instance can check keys, as far as is known.
    pub fn can_any_check_keys(&self, now_ms: TimeMs) -> bool {
        let mut fresh =
            self.peers.values().filter(|peer| now_ms.since(peer.heard_ms) < USED_FOR_MS);
        fresh.any(|peer| peer.can_check_keys)
    }

    /// How many live instances go before `own` in looking after `what`; all instances agree but for those just gone.
    pub fn rendezvous_rank(&self, own: &str, what: &str, now_ms: TimeMs) -> usize {
        let seed = xxh3_64(what.as_bytes());
        let score = |instance: &str| xxh3_64_with_seed(instance.as_bytes(), seed);
        let live = self.peers.iter().filter(|(_, peer)| now_ms.since(peer.heard_ms) < LIVE_FOR_MS);
        live.filter(|(name, _)| name.as_str() != own && score(name) > score(own)).count()
    }

    /// What the peers have at one endpoint that goes before a request with `rank`.
    pub fn load(&self, endpoint: EndpointTag, rank: u8, now_ms: TimeMs) -> PeerLoad {
        let mut sum = PeerLoad::default();
        let mut slowness = (0u32, 0u32);
        let told = self.by_endpoint.get(&endpoint).into_iter().flatten();
        let fresh = told.filter(|told| now_ms.since(told.heard_ms) < USED_FOR_MS);
        for load in fresh.map(|told| &told.load) {
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.memory_tokens += u64::from(load.memory_tokens);
            sum.waiting_tokens += load.waiting.ahead_of(rank);
            sum.is_loading |= load.is_loading;
            if load.slowness_percent > 0 {
                slowness = (slowness.0.saturating_add(load.slowness_percent), slowness.1 + 1);
            }
        }
        sum.slowness_percent = slowness.0.checked_div(slowness.1);
        sum
    }
}
