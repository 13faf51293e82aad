//! The shared state of the gateway: each part behind a lock of its own, none held across an await.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use bilberryford_platform::ObjectStore;
use bilberryford_types::{Bytes, EndpointId, ModelName, PoolName, TimeMs};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::{
    cache_index::HolderView,
    clock::Clock,
    connections::{Connections, connection_share},
    deployment::{CallerLimits, Deployment},
    endpoints::EndpointTable,
    health::{CircuitState, EndpointHealth},
    key_validity::KeyValidity,
    metrics::{Metrics, MetricsError},
    part_plan::{LocatedParts, PrefixFacts, TargetEngine},
    peer_loads::{
        EndpointLoad, EndpointTag, PeerLoads, PendingEngineParts, RankTokens, StorePartsMessage,
    },
    placement::Candidate,
    quarantine::{Fingerprint, Quarantine},
    request_log::RequestLog,
    retry_budget::{RetryBudget, RetryLimits},
    rollout::PublishedWeights,
    settings::GatewaySettings,
    slowness::Slowness,
    translation::{PromptPart, TranslateCaches, TranslateOrders, Translation},
};

/// How long after a version was named engines with it are preferred, in milliseconds.
const PREFER_NEW_WEIGHTS_MS: TimeMs = TimeMs(1_000);
/// How long before the bound requests are no longer sent to older weights, in milliseconds: they may wait in a queue.
const OLD_WEIGHTS_MARGIN_MS: TimeMs = TimeMs(2_000);
/// How long before the bound an engine gives up a request to older weights, in milliseconds.
const OLD_WEIGHTS_END_MS: TimeMs = TimeMs(300);

/// Why a gateway can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The instruments.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// What this instance has with one endpoint.
#[derive(Debug, Default)]
pub(crate) struct LocalState {
    /// Which life of the endpoint this is about.
    pub(crate) born_ms: TimeMs,
    pub(crate) health: EndpointHealth,
    pub(crate) in_flight: u32,
    pub(crate) waiting: RankTokens,
    /// The memory that the requests in flight need there, in tokens.
    pub(crate) memory_tokens: u64,
    /// A version that the endpoint showed by refusing an older one, until the list says so too.
    pub(crate) shown_weights: Option<u64>,
    pub(crate) slowness: Slowness,
    /// When the endpoint last sent anything to this instance.
    pub(crate) heard_ms: TimeMs,
    /// Until when an order of this instance to load weights is believed to be under way.
    pub(crate) loading_until_ms: Option<TimeMs>,
}

impl LocalState {
    /// The endpoint began another life: what the earlier one showed is void, and what is in flight ends by itself.
    fn restarted(&mut self, born_ms: TimeMs) {
        self.born_ms = born_ms;
        self.health = EndpointHealth::default();
        self.shown_weights = None;
        self.slowness = Slowness::default();
        self.loading_until_ms = None;
    }

    fn is_loading(&self, now_ms: TimeMs) -> bool {
        self.loading_until_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// What other instances are told.
    pub(crate) fn told(&self, now_ms: TimeMs) -> EndpointLoad {
        EndpointLoad {
            in_flight: self.in_flight,
            waiting: self.waiting,
            memory_tokens: u32::try_from(self.memory_tokens).unwrap_or(u32::MAX),
            slowness_percent: self.slowness.percent(now_ms).unwrap_or(0),
            is_loading: self.is_loading(now_ms),
        }
    }
}

/// The gateway's state.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Clock,
    pub(crate) translation: Arc<dyn Translation>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) orders: Arc<dyn TranslateOrders>,
    pub(crate) caches: Arc<dyn TranslateCaches>,
    pub(crate) holders: Mutex<Vec<HolderView>>,
    /// What stores said, to be passed on to peers that don't follow them.
    pub(crate) parts_to_tell: Mutex<Vec<StorePartsMessage>>,
    pub(crate) has_parts_to_tell: Notify,
    /// What engines that this instance follows said, for all peers.
    pub(crate) engine_parts: Mutex<PendingEngineParts>,
    pub(crate) deployment: ArcSwapOption<Deployment>,
    pub(crate) keys: Mutex<KeyValidity>,
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) local: Mutex<HashMap<EndpointId, LocalState>>,
    pub(crate) peers: Mutex<PeerLoads>,
    pub(crate) suspects: Mutex<Quarantine>,
    pub(crate) weights: Mutex<HashMap<ModelName, PublishedWeights>>,
    pub(crate) connections: Connections,
    budgets: Mutex<HashMap<PoolName, RetryBudget>>,
    pub(crate) metrics: Metrics,
    pub(crate) request_log: RequestLog,
    is_stopping: AtomicBool,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    ///
    /// # Errors
    ///
    /// [`SetupError`] when the instruments can't be made.
    pub fn new(
        settings: GatewaySettings,
        translation: Arc<dyn Translation>,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn TranslateOrders>,
        caches: Arc<dyn TranslateCaches>,
    ) -> Result<Self, SetupError> {
        Ok(Self {
            keys: Mutex::new(KeyValidity::new(settings.bounds.revoke_ms)),
            settings,
            clock: Clock,
            translation,
            store,
            orders,
            caches,
            holders: Mutex::default(),
            parts_to_tell: Mutex::default(),
            has_parts_to_tell: Notify::new(),
            engine_parts: Mutex::default(),
            deployment: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            local: Mutex::default(),
            peers: Mutex::default(),
            suspects: Mutex::default(),
            weights: Mutex::default(),
            connections: Connections::default(),
            budgets: Mutex::default(),
            metrics: Metrics::new()?,
            request_log: RequestLog::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    /// Whether the balancer may send new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let has_deployment = self.deployment.load().is_some();
        let can_check_keys = self.keys.lock().is_valid(self.clock.now());
        let has_endpoints = self.endpoints.lock().records().next().is_some();
        !self.is_stopping() && has_deployment && can_check_keys && has_endpoints
    }

    pub(crate) fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    fn repeat_limits(&self) -> RetryLimits {
        let bounds = &self.settings.bounds;
        RetryLimits {
            ratio_per_mille: bounds.repeat_ratio_per_mille,
            window_ms: bounds.repeat_window_ms,
            slack: bounds.repeat_slack,
            instances: self.peers.lock().live_instances(self.clock.now()),
        }
    }

    pub(crate) fn count_first_send(&self, service: &PoolName) {
        let (limits, now_ms) = (self.repeat_limits(), self.clock.now());
        self.budgets
            .lock()
            .entry(service.clone())
            .or_default()
            .record_first_attempt(&limits, now_ms);
    }

    pub(crate) fn take_repeat(&self, service: &PoolName) -> bool {
        let (limits, now_ms) = (self.repeat_limits(), self.clock.now());
        let is_taken =
            self.budgets.lock().entry(service.clone()).or_default().try_take(&limits, now_ms);
        if is_taken {
            self.metrics.repeats.add(1, &[]);
        }
        is_taken
    }

    /// The endpoints of a service as the placement sees them.
    pub(crate) fn candidates(
        &self,
        service: &PoolName,
        model: Option<&ModelName>,
        rank: u8,
    ) -> Vec<Candidate> {
        let now_ms = self.clock.now();
        let (share, memory_tokens) = self.room(service, now_ms);
        let endpoints = self.endpoints.lock();
        let mut local = self.local.lock();
        let peers = self.peers.lock();
        endpoints
            .ready(service)
            .map(|record| {
                let state = local.entry(record.id.clone()).or_default();
                if state.born_ms != record.started_ms {
                    state.restarted(record.started_ms);
                }
                let listed = model.and_then(|model| record.weight_version(model));
                let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
                let load = peers.load(incarnation, rank, now_ms);
                let is_loading = model.is_some() && (load.is_loading || state.is_loading(now_ms));
                let circuit = state.health.circuit(now_ms);
                let own = state.slowness.percent(now_ms);
                Candidate {
                    id: record.id.clone(),
                    incarnation,
                    address: record.address,
                    is_local: record.data_centre == self.settings.data_centre,
                    circuit: if is_loading { CircuitState::Open } else { circuit },
                    is_full: state.in_flight >= share,
                    in_flight: state.in_flight.saturating_add(load.in_flight),
                    waiting_tokens: state.waiting.ahead_of(rank) + load.waiting_tokens,
                    free_memory_tokens: memory_tokens
                        .map(|all| all.saturating_sub(state.memory_tokens + load.memory_tokens)),
                    slowness_percent: match (own, load.slowness_percent) {
                        (Some(own), Some(theirs)) => Some((own + theirs) / 2),
                        (own, theirs) => own.or(theirs),
                    },
                    weight_version: listed.max(state.shown_weights.filter(|_| listed.is_some())),
                    prefix: PrefixFacts::default(),
                }
            })
            .collect()
    }

    /// Fills in what each candidate has and can get of a prompt's shared parts.
    pub(crate) fn fill_prefixes(
        &self,
        candidates: &mut [Candidate],
        parts: &[PromptPart],
        scope: impl Fn(&Candidate) -> Option<String>,
    ) {
        let token_bytes = self.token_bytes();
        let now_ms = self.clock.now();
        let endpoints = self.endpoints.lock();
        let holders = self.holders.lock();
        // Candidates differ in their weights at most, and mostly don't.
        let mut by_weights: HashMap<Option<u64>, Option<LocatedParts<'_>>> = HashMap::new();
        for candidate in candidates {
            let located = by_weights.entry(candidate.weight_version).or_insert_with(|| {
                Some(LocatedParts::new(&holders, &scope(candidate)?, parts, now_ms))
            });
            let Some(located) = located else { continue };
            candidate.prefix = located.prefix_facts(&reader(&endpoints, candidate, token_bytes));
        }
    }

    /// What callers may send: the limits in force, or those before the first configuration.
    pub(crate) fn limits(&self) -> CallerLimits {
        let deployment = self.deployment.load();
        deployment.as_ref().map(|deployment| *deployment.limits()).unwrap_or_default()
    }

    /// What each endpoint of a service has room for: this instance's share of its connections, and its memory in tokens.
    fn room(&self, service: &PoolName, now_ms: TimeMs) -> (u32, Option<u64>) {
        let deployment = self.deployment.load();
        let service = deployment.as_ref().and_then(|deployment| deployment.service(service));
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let engine = service.and_then(|service| service.engine.as_ref());
        let share = connection_share(connections, self.peers.lock().live_instances(now_ms));
        (share, engine.map(|engine| engine.kv_capacity_tokens))
    }

    /// The size of one cached token.
    pub(crate) fn token_bytes(&self) -> Bytes {
        let deployment = self.deployment.load();
        deployment.as_ref().and_then(|deployment| deployment.token_bytes()).unwrap_or_default()
    }

    /// The lowest weight version for a request that begins now, and the one that is preferred.
    pub(crate) fn weights_wanted(&self, model: &ModelName) -> (Option<u64>, Option<u64>) {
        let now_ms = self.clock.now();
        let weights = self.weights.lock();
        let Some(named) = weights.get(model) else { return (None, None) };
        let bound_ms = self.settings.bounds.weights_ms.since(OLD_WEIGHTS_MARGIN_MS);
        let is_preferred = named.age_ms(now_ms) >= PREFER_NEW_WEIGHTS_MS;
        (named.required(now_ms, bound_ms), is_preferred.then(|| named.newest()))
    }

    /// The endpoint sent something.
    pub(crate) fn hear(&self, endpoint: &EndpointId) {
        if let Some(state) = self.local.lock().get_mut(endpoint) {
            state.heard_ms = self.clock.now();
        }
    }

    /// Whether the endpoint sent anything to this instance since `since_ms`.
    pub(crate) fn was_heard(&self, endpoint: &EndpointId, since_ms: TimeMs) -> bool {
        self.local.lock().get(endpoint).is_some_and(|state| state.heard_ms > since_ms)
    }

    /// How long an engine with `version` may work on a request that begins now, where newer weights are named.
    pub(crate) fn old_weights_left_ms(&self, model: &ModelName, version: u64) -> Option<TimeMs> {
        let bound_ms = self.settings.bounds.weights_ms.since(OLD_WEIGHTS_END_MS);
        let until_ms = self.weights.lock().get(model)?.usable_until(version, bound_ms)?;
        Some(until_ms.since(self.clock.now()))
    }

    /// Changes what is believed of an endpoint, and logs a change of its standing.
    pub(crate) fn judge(
        &self,
        endpoint: &EndpointId,
        why: &'static str,
        change: impl FnOnce(&mut EndpointHealth, TimeMs),
    ) {
        let now_ms = self.clock.now();
        let (before, after) = {
            let mut local = self.local.lock();
            let Some(state) = local.get_mut(endpoint) else { return };
            let before = state.health.circuit(now_ms);
            change(&mut state.health, now_ms);
            (before, state.health.circuit(now_ms))
        };
        if before != after {
            log::info!(
                target: "belief", endpoint:% = endpoint, before:% = before, now:% = after, why = why;
                "endpoint standing changed"
            );
        }
        if after == CircuitState::Open && before != CircuitState::Open {
            self.connections.forget(endpoint);
        }
    }

    /// Logs and counts requests that are held back from now on.
    pub(crate) fn note_held(
        &self,
        requests: impl IntoIterator<Item = Fingerprint>,
        why: &'static str,
    ) {
        for request in requests {
            log::warn!(target: "belief", request:% = request, why = why; "request held back");
            self.metrics.held_back.add(1, &[]);
        }
    }

    /// A request lost its connection to an endpoint that may have begun it.
    pub(crate) fn request_lost(&self, request: Fingerprint, life: EndpointTag) {
        if self.suspects.lock().record_loss(request, life, self.clock.now()) {
            self.note_held([request], "lost with a third endpoint");
        }
    }

    /// A life of an endpoint ended: its address takes no connections, or belongs to another one.
    pub(crate) fn life_ended(&self, life: EndpointTag) {
        let held = self.suspects.lock().record_incarnation_end(life, self.clock.now());
        self.note_held(held, "a third endpoint that lost it is gone");
    }

    /// Drops what is kept of endpoints that are gone.
    pub(crate) fn forget_gone(&self) {
        let endpoints = self.endpoints.lock();
        self.local.lock().retain(|id, state| state.in_flight > 0 || endpoints.get(id).is_some());
        drop(endpoints);
        self.connections.expire(self.clock.now());
    }
}

/// A candidate as a reader of parts.
pub(crate) fn reader<'a>(
    endpoints: &'a EndpointTable,
    candidate: &Candidate,
    token_bytes: Bytes,
) -> TargetEngine<'a> {
    let data_centre = endpoints.get(&candidate.id).map(|record| &record.data_centre);
    TargetEngine { address: candidate.address, data_centre, token_bytes }
}
