//! The load of the other instances on endpoints, and the messages that report it.
//!
//! With many instances that each have a few requests, no instance alone sees a queue grow. Each one reports its load on
//! each endpoint to the others several times a second, and placement uses the sum. A lost or late message only makes
//! the view older. Stale views affect only placement; correctness relies on versions.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_coord::{
    BlameReports, SharePlace, StreamKey, StreamKnowledge, StreamOrigin, UnconfirmedOrigin,
    UsageReport,
};
use bilberryford_types::{PoolName, TimeMs};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    cache_index::{PartReport, PartTag, PartUpdate},
    cold_endpoints::ColdReport,
    controllers::{ViewAnswer, ViewQuestion},
    cost::{PlacedPrompt, PlacedPrompts, SpeedReport},
    endpoint_limits::LimitReport,
    part_values::UsesReport,
    translation::CacheChanges,
};

/// How long a peer's report is used, in milliseconds: a few of its messages may be lost.
const REPORT_EXPIRY_MS: TimeMs = TimeMs(1_200);
/// How long a peer counts as live after its last message, in milliseconds, unless its messages are rarer.
const LIVENESS_MS: TimeMs = TimeMs(3_000);
/// The interval of load reports to few peers, in milliseconds: short compared to the waits in engines' queues.
const REPORT_INTERVAL_MS: u64 = 100;
/// The number of peers up to which the interval is not extended.
const PEERS_PER_INTERVAL: u64 = 10;
/// The number of messages that may be lost before a peer no longer counts as live.
const LIVENESS_MESSAGES: u64 = 3;
/// The most endpoints in one message, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_ENDPOINTS: usize = 48;

/// The most ranks that are remembered; keys of holders that are gone are forgotten with the others.
const MAX_CACHED_RANKS: usize = 20_000;

/// A compact identifier of one incarnation of an endpoint, for messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointTag(u32);

impl std::fmt::Display for EndpointTag {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl EndpointTag {
    /// The tag of the incarnation of endpoint `id` that started at `started_ms`.
    pub fn new(id: &str, started_ms: TimeMs) -> Self {
        let hash = xxh3_64(id.as_bytes()) ^ started_ms.get().wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // The low half of the hash is as uniform as all of it.
        Self(hash as u32)
    }

    /// The tag of endpoint `id` in whichever incarnation. No incarnation starts at the time that it stands for.
    pub fn of_endpoint(id: &str) -> Self {
        Self::new(id, TimeMs(u64::MAX))
    }
}

/// The number of priority ranks.
const RANKS: usize = 10;

/// Waiting tokens by priority rank; 0 is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankTokens([u32; RANKS]);

impl RankTokens {
    fn rank_mut(&mut self, rank: u8) -> &mut u32 {
        &mut self.0[usize::from(rank).min(RANKS - 1)]
    }

    /// Adds the waiting tokens of a request with `rank`.
    pub fn add(&mut self, rank: u8, tokens: u64) {
        let waiting = self.rank_mut(rank);
        *waiting = waiting.saturating_add(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    /// Removes tokens that no longer wait.
    pub fn remove(&mut self, rank: u8, tokens: u64) {
        let waiting = self.rank_mut(rank);
        *waiting = waiting.saturating_sub(u32::try_from(tokens).unwrap_or(u32::MAX));
    }

    /// The tokens ahead of a new request with `rank`: those of the same rank and of more urgent ones.
    pub fn ahead_of(&self, rank: u8) -> u64 {
        self.0.iter().take(usize::from(rank) + 1).copied().map(u64::from).sum()
    }
}

/// The load of one instance on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Its requests in flight.
    pub in_flight: u32,
    /// The prompt tokens of these requests that the endpoint has yet to prefill.
    pub waiting: RankTokens,
    /// The memory that these requests occupy at the endpoint, in tokens.
    pub memory_tokens: u32,
    /// The time to first token in percent of the nominal time; zero without a sample.
    pub slowness_percent: u32,
    /// True if it ordered the endpoint to load weights and has not seen the end of that order.
    pub is_loading: bool,
}

/// The interval between two load reports to `peers` peers.
pub fn report_interval_ms(peers: usize) -> TimeMs {
    TimeMs(REPORT_INTERVAL_MS * (peers as u64).div_ceil(PEERS_PER_INTERVAL).max(1))
}

/// The periodic load report of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The sender.
    pub instance: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the message within the incarnation.
    pub sequence: u64,
    /// True if the sender can check API keys, and so accepts requests.
    pub can_check_keys: bool,
    /// The sender's load by endpoint, busiest first.
    pub endpoints: Vec<(EndpointTag, EndpointLoad)>,
}

impl LoadMessage {
    /// Drops the least busy endpoints until the encoded message takes at most `max_bytes`.
    pub fn trimmed(mut self, max_bytes: usize) -> Self {
        let is_too_large = |message: &Self| {
            postcard::to_stdvec(message).is_ok_and(|bytes| bytes.len() > max_bytes)
        };
        while !self.endpoints.is_empty() && is_too_large(&self) {
            self.endpoints.truncate(self.endpoints.len() * 3 / 4);
        }
        self
    }
}

/// Changes of a store's contents, forwarded by a subscriber to instances that are not subscribed to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct StorePartsMessage {
    /// The address of the store.
    pub(crate) holder: SocketAddr,
    /// The cursor from which the changes continue.
    pub(crate) since: u64,
    /// The changes.
    pub(crate) changes: CacheChanges,
}

/// Changes of an engine's memory, reported by an instance that is subscribed to the engine or sends prompts to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineParts {
    /// The engine's incarnation.
    pub engine: EndpointTag,
    /// The changes of its parts.
    pub changes: Vec<PartReport>,
}

/// The changes of engines' parts that are yet to be reported; only the last change of each part is retained.
#[derive(Debug, Clone, Default)]
pub struct PendingEngineParts(HashMap<EndpointTag, HashMap<PartTag, PartUpdate>>);

impl PendingEngineParts {
    /// Adds changes from an engine's events, or from a prompt that was sent to it.
    pub fn add(&mut self, engine: EndpointTag, changes: impl Iterator<Item = PartReport>) {
        self.0.entry(engine).or_default().extend(changes);
    }

    /// Takes up to `limit` changes for one message; the rest remains for the next one.
    pub fn take(&mut self, limit: usize) -> Vec<EngineParts> {
        let mut left = limit;
        let mut taken = Vec::new();
        for (engine, changes) in &mut self.0 {
            let parts: Vec<_> = changes.keys().take(left).copied().collect();
            left -= parts.len();
            let changes: Vec<_> = parts
                .into_iter()
                .filter_map(|part| changes.remove(&part).map(|update| (part, update)))
                .collect();
            if !changes.is_empty() {
                taken.push(EngineParts { engine: *engine, changes });
            }
        }
        self.0.retain(|_, changes| !changes.is_empty());
        taken
    }
}

/// The limits that endpoints stated to an instance, and for which of them it has requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitsMessage {
    /// The sender.
    pub(crate) instance: String,
    /// One report for each endpoint.
    pub(crate) reports: Vec<LimitReport>,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// The sender's load on endpoints.
    Load(LoadMessage),
    /// Changes of a store's contents.
    Parts(StorePartsMessage),
    /// Changes in the memories of engines.
    Engines(Vec<EngineParts>),
    /// What versions before shared parts reported of requests that crash endpoints; it is ignored.
    RetiredCrashes(Vec<(u64, EndpointTag)>),
    /// The question of versions whose answers passed contact with the store on without its age; it gets no answer, so that
    /// they read the store.
    RetiredQuestion,
    /// The answer of such versions; it is ignored.
    RetiredAnswer,
    /// The question of versions whose answers dated weights by their reading; it gets no answer, so that they read the store.
    RetiredViewQuestion,
    /// The answer of such versions; it is ignored.
    RetiredViewAnswer,
    /// The limits that endpoints state.
    Limits(LimitsMessage),
    /// What the sender knows of crashes and of the features that they are blamed on.
    Blame(BlameMessage),
    /// The question of an instance that has just started for what is blamed.
    AskBlame,
    /// A stream began, or goes on.
    StreamBegan(StreamReport),
    /// The question where a stream began.
    AskStream(StreamKey),
    /// The answer to such a question.
    Stream(StreamAnswer),
    /// Endpoints that have just started or may have.
    Cold(Vec<ColdReport>),
    /// Uses of parts, for the owner of the stores that hold them.
    PartUses(UsesReport),
    /// The parts that the owner of a store is about to free.
    PartsLeaving(PartsLeavingMessage),
    /// The usage of a contended pool.
    Usage(UsageMessage),
    /// How fast endpoints served the sender since its last report.
    Speeds(SpeedReport),
    /// The sender has placed a prompt with much work.
    Placed(PlacedPrompt),
    /// A question for the state of the store.
    AskView(ViewQuestion),
    /// The answer to such a question.
    View(ViewAnswer),
    /// A stream began at an endpoint that has not confirmed its build, or the answer to a question about such a stream.
    StreamUnconfirmed(UnconfirmedReport),
}

/// Where a stream began, if its endpoint is the incarnation that its entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct UnconfirmedReport {
    /// The stream.
    pub(crate) key: StreamKey,
    /// The origin that awaits the word of its endpoint.
    pub(crate) origin: UnconfirmedOrigin<EndpointTag>,
}

/// The announcement of evictions from a store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PartsLeavingMessage {
    /// The address of the store.
    pub(crate) store: SocketAddr,
    /// The parts that leave.
    pub(crate) parts: Vec<PartTag>,
}

/// The usage of a contended pool at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageMessage {
    /// The sender.
    pub instance: String,
    /// The pool.
    pub pool: PoolName,
    /// The usage.
    pub report: UsageReport,
}

/// Where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamReport {
    /// The stream.
    pub(crate) key: StreamKey,
    /// The service and the build of the endpoint that began it.
    pub(crate) origin: StreamOrigin,
}

/// What the sender knows of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StreamAnswer {
    /// The stream.
    pub(crate) key: StreamKey,
    /// What is known of its origin.
    pub(crate) knowledge: StreamKnowledge,
}

/// The occasion of a message on blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BlameOccasion {
    /// Something new, or the repetition of something.
    News,
    /// The question of an instance that has just started; the sender knows what its own peers blame.
    InformedAnswer,
    /// The same; the sender has just started as well.
    UninformedAnswer,
}

/// What an instance reports of crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BlameMessage {
    /// A number that is new with each start of the sender.
    pub(crate) process_number: u64,
    /// The occasion of the message.
    pub(crate) occasion: BlameOccasion,
    /// The reports.
    pub(crate) reports: BlameReports<EndpointTag>,
}

#[derive(Debug, Clone)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    received_ms: TimeMs,
    can_check_keys: bool,
    endpoints: Vec<EndpointTag>,
}

/// The load of all peers on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeerLoad {
    /// Their requests in flight.
    pub in_flight: u32,
    /// The prompt tokens of these requests that the endpoint has yet to prefill.
    pub waiting_tokens: u64,
    /// The memory that these requests occupy at the endpoint, in tokens.
    pub memory_tokens: u64,
    /// The mean of their times to first token in percent of the nominal time; none without a sample.
    pub slowness_percent: Option<u32>,
    /// True if one of them ordered the endpoint to load weights and has not seen the end of that order.
    pub is_loading: bool,
}

/// A peer's report of its load on an endpoint.
#[derive(Debug, Clone)]
struct ReportedLoad {
    peer: String,
    received_ms: TimeMs,
    load: EndpointLoad,
}

/// The latest load reports of all peers.
///
/// Loads are indexed by endpoint: every request looks up all endpoints of its service, and only few peers have requests
/// at any one of them.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    peers: HashMap<String, Peer>,
    by_endpoint: HashMap<EndpointTag, Vec<ReportedLoad>>,
    /// What peers have placed since their last load reports.
    placed: PlacedPrompts,
    /// Changes whenever a peer is added or removed.
    membership: u64,
    ranks: RankCache,
}

/// The ranks of this instance by key, for one membership. To work them out takes a hash for each peer and key, which
/// with hundreds of peers and thousands of keys would be most of what an idle instance does.
#[derive(Debug, Clone, Default)]
struct RankCache {
    membership: u64,
    by_key: HashMap<String, usize>,
}

fn rendezvous_score(instance: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), seed)
}

impl PeerLoads {
    /// Applies a message; one that is not newer than the last one of the same incarnation is ignored.
    pub fn apply(&mut self, message: LoadMessage, now_ms: TimeMs) {
        let is_newer = self.peers.get(&message.instance).is_none_or(|peer| {
            peer.incarnation != message.incarnation || peer.sequence < message.sequence
        });
        if !is_newer {
            return;
        }
        if !self.peers.contains_key(&message.instance) {
            self.membership += 1;
        }
        self.remove_peer(&message.instance);
        let endpoints = message.endpoints.iter().map(|(endpoint, _)| *endpoint).collect();
        for (endpoint, load) in message.endpoints {
            let report = ReportedLoad { peer: message.instance.clone(), received_ms: now_ms, load };
            self.by_endpoint.entry(endpoint).or_default().push(report);
        }
        let peer = Peer {
            incarnation: message.incarnation,
            sequence: message.sequence,
            received_ms: now_ms,
            can_check_keys: message.can_check_keys,
            endpoints,
        };
        self.peers.insert(message.instance, peer);
    }

    /// Adds a prompt that a peer has placed. Of an instance that is not a peer yet, the first load report will contain it.
    pub fn apply_placed(&mut self, prompt: PlacedPrompt, now_ms: TimeMs) {
        if self.peers.contains_key(&prompt.instance) {
            let ahead = self.load(prompt.endpoint, prompt.rank, now_ms);
            self.placed.add(prompt, ahead.waiting_tokens, now_ms);
        }
    }

    /// Removes a peer with its reports.
    fn remove_peer(&mut self, instance: &str) {
        self.placed.remove_of(instance);
        let Some(peer) = self.peers.remove(instance) else { return };
        for endpoint in peer.endpoints {
            if let Some(reports) = self.by_endpoint.get_mut(&endpoint) {
                reports.retain(|report| report.peer != instance);
                if reports.is_empty() {
                    self.by_endpoint.remove(&endpoint);
                }
            }
        }
    }

    /// Removes peers that are no longer live.
    pub fn expire(&mut self, now_ms: TimeMs) {
        let liveness_ms = self.liveness_ms();
        let is_silent = |peer: &Peer| now_ms.since(peer.received_ms) >= liveness_ms;
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        let silent: Vec<_> = silent.map(|(instance, _)| instance.clone()).collect();
        self.membership += silent.len() as u64;
        silent.iter().for_each(|instance| self.remove_peer(instance));
    }

    /// How long a peer counts as live after its last message; the interval of its messages grows with the peers.
    fn liveness_ms(&self) -> TimeMs {
        let interval_ms = report_interval_ms(self.peers.len()).get();
        LIVENESS_MS.max(TimeMs(LIVENESS_MESSAGES * interval_ms))
    }

    /// The number of live instances, this one included.
    pub fn live_instances(&self, now_ms: TimeMs) -> u64 {
        let liveness_ms = self.liveness_ms();
        let is_live = |peer: &&Peer| now_ms.since(peer.received_ms) < liveness_ms;
        1 + self.peers.values().filter(is_live).count() as u64
    }

    /// Returns true if `instance` is a live peer.
    pub fn is_live(&self, instance: &str, now_ms: TimeMs) -> bool {
        let liveness_ms = self.liveness_ms();
        let peer = self.peers.get(instance);
        peer.is_some_and(|peer| now_ms.since(peer.received_ms) < liveness_ms)
    }

    /// Returns true if another instance recently reported that it can check API keys.
    pub fn can_any_check_keys(&self, now_ms: TimeMs) -> bool {
        let mut fresh =
            self.peers.values().filter(|peer| now_ms.since(peer.received_ms) < REPORT_EXPIRY_MS);
        fresh.any(|peer| peer.can_check_keys)
    }

    /// The position of `local`, which is always the same instance, among the instances that did not expire, in the
    /// rendezvous order for `key`, from zero.
    ///
    /// The first ones take on shared work for `key`. All instances agree on the order, except about recent leavers.
    pub fn rendezvous_rank(&mut self, local: &str, key: &str) -> usize {
        if self.ranks.membership != self.membership || self.ranks.by_key.len() > MAX_CACHED_RANKS {
            self.ranks = RankCache { membership: self.membership, by_key: HashMap::new() };
        }
        if let Some(rank) = self.ranks.by_key.get(key) {
            return *rank;
        }
        let seed = xxh3_64(key.as_bytes());
        let own_score = rendezvous_score(local, seed);
        let precedes =
            |name: &&String| name.as_str() != local && rendezvous_score(name, seed) > own_score;
        let rank = self.peers.keys().filter(precedes).count();
        self.ranks.by_key.insert(key.to_owned(), rank);
        rank
    }

    /// The first instance in the rendezvous order for `key`; none if it is `local`.
    pub fn rendezvous_first(&self, local: &str, key: &str) -> Option<&str> {
        let seed = xxh3_64(key.as_bytes());
        let score = |name: &str| rendezvous_score(name, seed);
        let first = self.peers.keys().max_by_key(|name| score(name))?;
        (first != local && score(first) > score(local)).then_some(first.as_str())
    }

    /// The place of `local` among itself and the live peers that take part, in the rendezvous order for `endpoint`.
    pub fn place(
        &self,
        local: &str,
        endpoint: EndpointTag,
        takes_part: &dyn Fn(&str) -> bool,
        now_ms: TimeMs,
    ) -> SharePlace {
        let liveness_ms = self.liveness_ms();
        let seed = u64::from(endpoint.0);
        let own_score = rendezvous_score(local, seed);
        let others = self.peers.iter().filter(|(name, peer)| {
            name.as_str() != local
                && now_ms.since(peer.received_ms) < liveness_ms
                && takes_part(name)
        });
        let (rank, count) = others.fold((0, 0), |(rank, count), (name, _)| {
            (rank + u64::from(rendezvous_score(name, seed) > own_score), count + 1)
        });
        SharePlace::new(rank, count + 1)
    }

    /// The load of all peers on an endpoint, with the waiting tokens ahead of a request with `rank`.
    pub fn load(&self, endpoint: EndpointTag, rank: u8, now_ms: TimeMs) -> PeerLoad {
        let mut sum = PeerLoad::default();
        let mut slowness = (0u32, 0u32);
        let reports = self.by_endpoint.get(&endpoint).into_iter().flatten();
        let fresh = reports.filter(|report| now_ms.since(report.received_ms) < REPORT_EXPIRY_MS);
        for load in fresh.map(|report| &report.load) {
            sum.in_flight = sum.in_flight.saturating_add(load.in_flight);
            sum.memory_tokens += u64::from(load.memory_tokens);
            sum.waiting_tokens += load.waiting.ahead_of(rank);
            sum.is_loading |= load.is_loading;
            if load.slowness_percent > 0 {
                slowness = (slowness.0.saturating_add(load.slowness_percent), slowness.1 + 1);
            }
        }
        sum.slowness_percent = slowness.0.checked_div(slowness.1);
        self.placed.add_to(&mut sum, endpoint, rank, now_ms);
        sum
    }
}
