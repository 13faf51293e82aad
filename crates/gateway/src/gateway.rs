//! The gateway's shared state. Each part has its own lock, and no lock is held across an await.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bilberryford_platform::ObjectStore;
use bilberryford_types::{Bytes, EndpointId, ModelName, PoolName, StoreEra, TimeMs};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::sync::Notify;

use crate::{
    cache_index::HolderView,
    change_log::ChangeLog,
    clock::Clock,
    connections::{ConnectionPool, connection_share},
    controllers::{ReadMode, record_changes},
    deployment::{CallerLimits, Deployment},
    endpoints::EndpointTable,
    health::{CircuitState, EndpointHealth},
    key_validity::KeyValidity,
    local_state::LocalState,
    metrics::{Metrics, MetricsError},
    obstacle::{Obstacle, SendFacts, obstacle},
    part_plan::{LocatedParts, PrefixFacts, TargetEngine},
    peer_loads::{EndpointTag, PeerLoads, PendingEngineParts, StorePartsMessage},
    placement::Candidate,
    quarantine::{Fingerprint, Quarantine},
    readers::ReaderSelection,
    request_log::RequestLog,
    retry_budget::{RetryBudget, RetryLimits},
    rollout::PublishedWeights,
    settings::{Bounds, GatewaySettings, SettingChange},
    translation::{PromptPart, TranslateCaches, TranslateOrders, Translation},
};

/// The time after the publication of a version from which engines with it are preferred, in milliseconds.
const PREFER_NEW_WEIGHTS_MS: TimeMs = TimeMs(1_000);
/// How long before the bound requests stop going to engines with older weights, in milliseconds: they may queue there.
const OLD_WEIGHTS_MARGIN_MS: TimeMs = TimeMs(2_000);
/// How long before the bound the deadline of requests at engines with older weights is, in milliseconds.
const OLD_WEIGHTS_END_MS: TimeMs = TimeMs(300);

/// The longest random delay after the end of a closure, in milliseconds.
const MAX_REOPENING_DELAY_MS: u64 = 500;

/// An error in the set-up of a gateway.
#[derive(Debug, thiserror::Error)]
pub enum SetupError {
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// The gateway's state.
pub struct Gateway {
    /// The settings at the start; [`Gateway::bounds`] has the limits in force.
    pub(crate) settings: GatewaySettings,
    bounds: ArcSwap<Bounds>,
    pub(crate) clock: Clock,
    pub(crate) translation: Arc<dyn Translation>,
    pub(crate) store: Arc<dyn ObjectStore>,
    pub(crate) orders: Arc<dyn TranslateOrders>,
    pub(crate) caches: Arc<dyn TranslateCaches>,
    pub(crate) holders: Mutex<Vec<HolderView>>,
    /// Changes of stores, to be forwarded to peers that are not subscribed to them.
    pub(crate) pending_store_parts: Mutex<Vec<StorePartsMessage>>,
    pub(crate) store_parts_added: Notify,
    /// Changes of the engines to which this instance is subscribed, to be reported to all peers.
    pub(crate) pending_engine_parts: Mutex<PendingEngineParts>,
    pub(crate) deployment: ArcSwapOption<Deployment>,
    pub(crate) keys: Mutex<KeyValidity>,
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) endpoint_log: Mutex<ChangeLog>,
    /// Notified when the table of endpoints was found to lack a change.
    pub(crate) endpoints_differ: Notify,
    pub(crate) readers: Mutex<ReaderSelection>,
    /// The era of the store that this instance has reacted to.
    seen_era: Mutex<Option<StoreEra>>,
    pub(crate) read_mode: ReadMode,
    pub(crate) local: Mutex<HashMap<EndpointId, LocalState>>,
    pub(crate) peers: Mutex<PeerLoads>,
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) weights: Mutex<HashMap<ModelName, PublishedWeights>>,
    pub(crate) connections: ConnectionPool,
    retry_budgets: Mutex<HashMap<PoolName, RetryBudget>>,
    pub(crate) metrics: Metrics,
    pub(crate) request_log: RequestLog,
    is_stopping: AtomicBool,
}

impl Gateway {
    /// Creates a gateway with empty state.
    ///
    /// # Errors
    ///
    /// [`SetupError`] if the metrics can't be set up.
    pub fn new(
        settings: GatewaySettings,
        translation: Arc<dyn Translation>,
        store: Arc<dyn ObjectStore>,
        orders: Arc<dyn TranslateOrders>,
        caches: Arc<dyn TranslateCaches>,
    ) -> Result<Self, SetupError> {
        Ok(Self {
            keys: Mutex::new(KeyValidity::new(settings.bounds.key_revocation_ms)),
            bounds: ArcSwap::from_pointee(settings.bounds),
            settings,
            clock: Clock,
            translation,
            store,
            orders,
            caches,
            holders: Mutex::default(),
            pending_store_parts: Mutex::default(),
            store_parts_added: Notify::new(),
            pending_engine_parts: Mutex::default(),
            deployment: ArcSwapOption::empty(),
            endpoints: Mutex::default(),
            endpoint_log: Mutex::default(),
            endpoints_differ: Notify::new(),
            readers: Mutex::default(),
            seen_era: Mutex::default(),
            read_mode: ReadMode::default(),
            local: Mutex::default(),
            peers: Mutex::default(),
            quarantine: Mutex::default(),
            weights: Mutex::default(),
            connections: ConnectionPool::default(),
            retry_budgets: Mutex::default(),
            metrics: Metrics::new()?,
            request_log: RequestLog::default(),
            is_stopping: AtomicBool::new(false),
        })
    }

    /// The limits in force.
    pub(crate) fn bounds(&self) -> Bounds {
        **self.bounds.load()
    }

    /// Puts the limits of `new` into force, and returns all differences from the settings in force. No request is
    /// interrupted.
    pub fn reload(&self, new: &GatewaySettings) -> Vec<SettingChange> {
        let in_force = GatewaySettings { bounds: self.bounds(), ..self.settings.clone() };
        let changes = in_force.changes_to(new);
        let bounds = Bounds { lease_ms: in_force.bounds.lease_ms, ..new.bounds };
        self.keys.lock().set_bound(bounds.key_revocation_ms);
        self.bounds.store(Arc::new(bounds));
        changes
    }

    /// Returns true if the load balancer may send new connections.
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

    fn retry_limits(&self) -> RetryLimits {
        let bounds = self.bounds();
        RetryLimits {
            ratio_per_mille: bounds.retry_ratio_per_mille,
            window_ms: bounds.retry_window_ms,
            slack: bounds.retry_slack,
            instances: self.peers.lock().live_instances(self.clock.now()),
        }
    }

    pub(crate) fn record_first_attempt(&self, service: &PoolName) {
        let (limits, now_ms) = (self.retry_limits(), self.clock.now());
        self.retry_budgets
            .lock()
            .entry(service.clone())
            .or_default()
            .record_first_attempt(&limits, now_ms);
    }

    pub(crate) fn try_take_retry(&self, service: &PoolName) -> bool {
        let (limits, now_ms) = (self.retry_limits(), self.clock.now());
        let is_granted =
            self.retry_budgets.lock().entry(service.clone()).or_default().try_take(&limits, now_ms);
        if is_granted {
            self.metrics.retries.add(1, &[]);
        }
        is_granted
    }

    /// Returns the ready endpoints of a service as candidates for placement.
    pub(crate) fn candidates(
        &self,
        service: &PoolName,
        model: Option<&ModelName>,
        rank: u8,
    ) -> Vec<Candidate> {
        let now_ms = self.clock.now();
        let (share, memory_tokens) = self.endpoint_capacity(service, now_ms);
        let endpoints = self.endpoints.lock();
        let mut local = self.local.lock();
        let peers = self.peers.lock();
        endpoints
            .ready(now_ms)
            .filter(|record| record.service == *service)
            .map(|record| {
                let state = local.entry(record.id.clone()).or_default();
                if state.started_ms != record.started_ms {
                    state.reset(record.started_ms);
                }
                let listed = model.and_then(|model| record.weight_version(model));
                let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
                let load = peers.load(incarnation, rank, now_ms);
                let is_loading = model.is_some() && (load.is_loading || state.is_loading(now_ms));
                let circuit = state.health.circuit(now_ms);
                let local_percent = state.slowness.percent(now_ms);
                Candidate {
                    id: record.id.clone(),
                    incarnation,
                    address: record.address,
                    is_local: record.data_centre == self.settings.data_centre,
                    circuit: if is_loading { CircuitState::Open } else { circuit },
                    obstacle: obstacle(
                        &SendFacts {
                            is_ready: true,
                            closed_until_ms: state.closed_until_ms,
                            in_flight: state.in_flight,
                            connection_share: share,
                        },
                        now_ms,
                    ),
                    in_flight: state.in_flight.saturating_add(load.in_flight),
                    waiting_tokens: state.waiting.ahead_of(rank) + load.waiting_tokens,
                    free_memory_tokens: memory_tokens
                        .map(|all| all.saturating_sub(state.memory_tokens + load.memory_tokens)),
                    slowness_percent: match (local_percent, load.slowness_percent) {
                        (Some(local), Some(peer)) => Some((local + peer) / 2),
                        (local, peer) => local.or(peer),
                    },
                    weight_version: listed.max(state.observed_weights.filter(|_| listed.is_some())),
                    prefix: PrefixFacts::default(),
                }
            })
            .collect()
    }

    /// Returns the reason why a request that was placed must not be sent after all. It counts at the endpoint already.
    pub(crate) fn obstacle(&self, candidate: &Candidate) -> Option<Obstacle> {
        let now_ms = self.clock.now();
        let is_ready = self.endpoints.lock().is_ready(&candidate.id, candidate.incarnation, now_ms);
        let local = self.local.lock();
        let closed_until_ms = local.get(&candidate.id).and_then(|state| state.closed_until_ms);
        drop(local);
        let facts =
            SendFacts { is_ready, closed_until_ms, in_flight: 0, connection_share: u32::MAX };
        obstacle(&facts, now_ms)
    }

    /// Records that an incarnation of an endpoint said in an answer that it leaves.
    pub(crate) fn record_departure(&self, incarnation: EndpointTag) {
        let change = self.endpoints.lock().record_departure(incarnation);
        if let Some(change) = change {
            self.connections.close_idle(&change.id);
            record_changes(self, [change]);
        }
    }

    /// Records that `endpoint` takes no request of this instance for `closed_for_ms`.
    ///
    /// A single trial follows, after a random delay, so that the instances that were refused do not return at once.
    pub(crate) fn record_closure(&self, endpoint: &EndpointId, closed_for_ms: TimeMs) {
        let max_delay_ms = (closed_for_ms.get() / 4).min(MAX_REOPENING_DELAY_MS);
        let delay_ms = TimeMs(rand::rng().random_range(0..=max_delay_ms));
        let pause_ms = closed_for_ms.after(delay_ms);
        if let Some(state) = self.local.lock().get_mut(endpoint) {
            state.closed_until_ms =
                state.closed_until_ms.max(Some(self.clock.now().after(pause_ms)));
        }
        self.update_health(endpoint, "closed", |health, now_ms| health.pause(now_ms, pause_ms));
        log::info!(
            target: "belief", endpoint:% = endpoint, closed_for_ms = closed_for_ms.get(),
            reopening_delay_ms = delay_ms.get();
            "endpoint closed itself to this instance"
        );
    }

    /// Sets which of a prompt's shared parts each candidate has cached or can fetch.
    pub(crate) fn fill_prefix_facts(
        &self,
        candidates: &mut [Candidate],
        parts: &[PromptPart],
        scope: impl Fn(&Candidate) -> Option<String>,
    ) {
        let token_bytes = self.token_bytes();
        let now_ms = self.clock.now();
        let endpoints = self.endpoints.lock();
        let holders = self.holders.lock();
        // The scope depends only on a candidate's weights, and most candidates have the same.
        let mut by_weights: HashMap<Option<u64>, Option<LocatedParts<'_>>> = HashMap::new();
        for candidate in candidates {
            let located = by_weights.entry(candidate.weight_version).or_insert_with(|| {
                Some(LocatedParts::new(&holders, &scope(candidate)?, parts, now_ms))
            });
            let Some(located) = located else { continue };
            candidate.prefix =
                located.prefix_facts(&target_engine(&endpoints, candidate, token_bytes));
        }
    }

    /// The limits on requests: those in force, or the defaults before the first configuration.
    pub(crate) fn limits(&self) -> CallerLimits {
        let deployment = self.deployment.load();
        deployment.as_ref().map(|deployment| *deployment.limits()).unwrap_or_default()
    }

    /// The capacity of each endpoint of a service: this instance's share of its connections, and its memory in tokens.
    fn endpoint_capacity(&self, service: &PoolName, now_ms: TimeMs) -> (u32, Option<u64>) {
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

    /// The lowest weight version on which a request may start now, and the preferred version.
    pub(crate) fn weight_constraints(&self, model: &ModelName) -> (Option<u64>, Option<u64>) {
        let now_ms = self.clock.now();
        let weights = self.weights.lock();
        let Some(published) = weights.get(model) else { return (None, None) };
        let bound_ms = self.bounds().weights_propagation_ms.since(OLD_WEIGHTS_MARGIN_MS);
        let is_preferred = published.age_ms(now_ms) >= PREFER_NEW_WEIGHTS_MS;
        (published.required(now_ms, bound_ms), is_preferred.then(|| published.newest()))
    }

    /// Notices that the store came back from a copy, before anything that it says now is relied on.
    pub(crate) fn observe_era(&self) {
        let era = self.store.era();
        let before = {
            let mut seen = self.seen_era.lock();
            let before = seen.unwrap_or(era);
            *seen = seen.max(Some(era));
            before
        };
        // A process without a configuration learns from the first answer in which era it starts.
        if before >= era || self.deployment.load().is_none() {
            return;
        }
        let now_ms = self.clock.now();
        let confirms_from_ms = self.keys.lock().record_new_era(now_ms);
        log::warn!(
            target: "belief", before:% = before, now:% = era,
            kept = "configuration, weights, departures", dropped = "lease, registration",
            held = "confirmations, missing endpoints",
            held_for_ms = confirms_from_ms.since(now_ms).get();
            "store came back from a copy"
        );
    }

    /// Records that a linearizable read that started at `started_ms`, here or at a reader, confirmed the configuration.
    pub(crate) fn confirm_keys(&self, started_ms: TimeMs) {
        self.observe_era();
        self.keys.lock().confirm(started_ms);
    }

    /// Records that the endpoint sent data.
    pub(crate) fn record_received(&self, endpoint: &EndpointId) {
        if let Some(state) = self.local.lock().get_mut(endpoint) {
            state.last_received_ms = self.clock.now();
        }
    }

    /// Returns true if the endpoint sent data to this instance after `since_ms`.
    pub(crate) fn has_received_since(&self, endpoint: &EndpointId, since_ms: TimeMs) -> bool {
        self.local.lock().get(endpoint).is_some_and(|state| state.last_received_ms > since_ms)
    }

    /// How long an engine with `version` may work on a request that starts now, if newer weights are published.
    pub(crate) fn old_weights_left_ms(&self, model: &ModelName, version: u64) -> Option<TimeMs> {
        let bound_ms = self.bounds().weights_propagation_ms.since(OLD_WEIGHTS_END_MS);
        let until_ms = self.weights.lock().get(model)?.usable_until(version, bound_ms)?;
        Some(until_ms.since(self.clock.now()))
    }

    /// Updates the health of an endpoint, and logs a change of its circuit state.
    pub(crate) fn update_health(
        &self,
        endpoint: &EndpointId,
        reason: &'static str,
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
                target: "belief", endpoint:% = endpoint, before:% = before, now:% = after,
                why = reason; "endpoint standing changed"
            );
        }
        if after == CircuitState::Open && before != CircuitState::Open {
            self.connections.close_idle(endpoint);
        }
    }

    /// Logs and counts newly quarantined requests.
    pub(crate) fn record_quarantined(
        &self,
        requests: impl IntoIterator<Item = Fingerprint>,
        reason: &'static str,
    ) {
        for request in requests {
            log::warn!(target: "belief", request:% = request, why = reason; "request held back");
            self.metrics.quarantined.add(1, &[]);
        }
    }

    /// Records that a request lost its connection to an endpoint that may have started it.
    pub(crate) fn record_request_loss(&self, request: Fingerprint, incarnation: EndpointTag) {
        if self.quarantine.lock().record_loss(request, incarnation, self.clock.now()) {
            self.record_quarantined([request], "lost with a third endpoint");
        }
    }

    /// Records the end of an endpoint's incarnation: its address refuses connections, or belongs to another endpoint.
    pub(crate) fn record_incarnation_end(&self, incarnation: EndpointTag) {
        let requests = self.quarantine.lock().record_incarnation_end(incarnation, self.clock.now());
        self.record_quarantined(requests, "a third endpoint that lost it is gone");
    }

    /// Removes the state of endpoints that are no longer listed, once they have no requests in flight.
    pub(crate) fn remove_unlisted_endpoints(&self) {
        let endpoints = self.endpoints.lock();
        self.local.lock().retain(|id, state| state.in_flight > 0 || endpoints.get(id).is_some());
        drop(endpoints);
        self.connections.expire(self.clock.now());
    }
}

pub(crate) fn target_engine<'a>(
    endpoints: &'a EndpointTable,
    candidate: &Candidate,
    token_bytes: Bytes,
) -> TargetEngine<'a> {
    let data_centre = endpoints.get(&candidate.id).map(|record| &record.data_centre);
    TargetEngine { address: candidate.address, data_centre, token_bytes }
}
