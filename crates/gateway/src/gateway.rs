//! The gateway's shared state. Each part has its own lock, and no lock is held across an await.

mod blame;
mod cold;
mod confirmation;
mod endpoint_access;
mod evacuation;
mod fair_shares;
mod limits;
mod regions;
mod reload;
mod stop;
mod streams;
mod weights;

pub(crate) use blame::ANSWER_AGE_MS;
pub(crate) use fair_shares::{ShareRequest, USAGE_REPORT_INTERVAL_MS};
pub(crate) use weights::WaitingBound;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, OnceLock, atomic::AtomicBool},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bilberryford_callers::{BodyRoom, ByteBudget, StopStages};
use bilberryford_coord::{Blame, FairShares, StreamKey, StreamRecords, UnconfirmedStreams};
use bilberryford_platform::ObjectStore;
use bilberryford_types::{Bytes, EndpointId, ModelName, PoolName, StoreEra, TimeMs};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::{
    cache_index::{HolderView, PartTag},
    change_log::ChangeLog,
    clock::Clock,
    cold_endpoints::ColdEndpoints,
    connections::ConnectionPool,
    controllers::{PeerLink, ReadMode, StreamInquiries},
    cost::Speeds,
    deployment::{CallerLimits, Deployment},
    endpoint_limits::EndpointLimits,
    endpoints::EndpointTable,
    evacuation::Evacuations,
    key_validity::KeyValidity,
    local_state::LocalState,
    metrics::{Metrics, MetricsError},
    part_plan::{LocatedParts, TargetEngine},
    part_values::PartValues,
    peer_loads::{EndpointTag, PeerLoads, PendingEngineParts, StorePartsMessage},
    placement::Candidate,
    planned_stop::PlannedStop,
    publications::PublishedWeights,
    readers::ReaderSelection,
    regions::{RegionLimit, RegionSet},
    request_log::RequestLog,
    retry_budget::{RetryBudget, RetryLimits},
    revision_times::RevisionTimes,
    settings::{Bounds, GatewaySettings},
    translation::{PromptPart, TranslateCaches, TranslateOrders, Translation},
};

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
    /// Notified when a reload has changed the limits.
    pub(crate) bounds_changed: Notify,
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
    /// The uses of parts, for the values of those in the stores that this instance owns.
    pub(crate) part_values: Mutex<PartValues>,
    pub(crate) deployment: ArcSwapOption<Deployment>,
    /// Notified when a configuration has changed [`Self::limits`].
    pub(crate) limits_on_callers_changed: Notify,
    pub(crate) keys: Mutex<KeyValidity>,
    pub(crate) endpoints: Mutex<EndpointTable>,
    pub(crate) endpoint_log: Mutex<ChangeLog>,
    /// Notified when the table of endpoints was found to lack a change.
    pub(crate) endpoints_differ: Notify,
    pub(crate) evacuations: Mutex<Evacuations>,
    /// Notified when the view of evacuations may lack a change.
    pub(crate) evacuations_differ: Notify,
    pub(crate) readers: Mutex<ReaderSelection>,
    /// The era of the store that this instance has reacted to.
    seen_era: Mutex<StoreEra>,
    /// Notified when the store says that its era has settled.
    pub(crate) era_settled: Notify,
    pub(crate) read_mode: ReadMode,
    /// When the store was at which revision.
    pub(crate) revision_times: Mutex<RevisionTimes>,
    pub(crate) local: Mutex<HashMap<EndpointId, LocalState>>,
    pub(crate) peers: Mutex<PeerLoads>,
    pub(crate) speeds: Mutex<Speeds>,
    /// The number of peers that the store lists; none before the first list.
    pub(crate) listed_peers: Mutex<Option<usize>>,
    pub(crate) limits: Mutex<EndpointLimits>,
    pub(crate) limits_changed: Notify,
    pub(crate) cold: Mutex<ColdEndpoints>,
    pub(crate) cold_changed: Notify,
    started_ms: TimeMs,
    pub(crate) blame: Mutex<Blame<EndpointTag>>,
    /// Notified when a crash, an answer or a quarantine is to be reported to peers at once.
    pub(crate) blame_changed: Notify,
    /// The number of features quarantined or cleared so far, for those that wait for one.
    pub(crate) quarantines: watch::Sender<u64>,
    /// True once this instance has read which quarantines the store keeps.
    pub(crate) has_read_quarantines: AtomicBool,
    /// True once this instance knows what its peers blame, or has none that could know.
    pub(crate) has_learned_blame: AtomicBool,
    /// The peers that answered the question for what is blamed, and have just started as well.
    pub(crate) uninformed_peers: Mutex<BTreeSet<u64>>,
    /// A number that is new with each start of the process.
    pub(crate) process_number: u64,
    /// Where streams began.
    pub(crate) streams: Mutex<StreamRecords>,
    /// The streams whose endpoints have not confirmed their builds.
    pub(crate) unconfirmed_streams: Mutex<UnconfirmedStreams<EndpointTag>>,
    /// Those of them whose endpoints this instance asks.
    confirming_streams: Mutex<HashSet<StreamKey>>,
    /// The inquiries of this instance about streams that it does not know.
    pub(crate) inquiries: Mutex<StreamInquiries>,
    /// Notified when an inquiry was answered.
    pub(crate) inquiry_answered: Notify,
    /// The link to the peers; none before its socket is bound.
    pub(crate) peer_link: OnceLock<PeerLink>,
    pub(crate) weights: Mutex<HashMap<ModelName, PublishedWeights>>,
    /// Notified when this instance was found to lack a publication.
    pub(crate) weights_differ: Notify,
    /// The number of changes of the bounds on older weights, for requests that wait at engines with them.
    weight_changes: watch::Sender<u64>,
    pub(crate) connections: ConnectionPool,
    retry_budgets: Mutex<HashMap<PoolName, RetryBudget>>,
    /// The usage of each pool of engines by share.
    fair_shares: Mutex<HashMap<PoolName, FairShares>>,
    pub(crate) metrics: Metrics,
    pub(crate) request_log: RequestLog,
    /// The bytes that messages may take.
    pub(crate) byte_budget: Arc<ByteBudget>,
    /// The room for the bodies of requests.
    pub(crate) body_room: Arc<BodyRoom>,
    /// The stages of a planned stop.
    pub(crate) stop_stages: StopStages,
    /// Set once a planned stop has begun.
    planned_stop: OnceLock<PlannedStop>,
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
        let byte_budget = ByteBudget::of_memory(settings.memory);
        let body_room = BodyRoom::new(settings.memory, byte_budget.clone());
        Ok(Self {
            keys: Mutex::new(KeyValidity::new(settings.bounds.key_revocation_ms)),
            bounds: ArcSwap::from_pointee(settings.bounds),
            bounds_changed: Notify::new(),
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
            part_values: Mutex::default(),
            deployment: ArcSwapOption::empty(),
            limits_on_callers_changed: Notify::new(),
            endpoints: Mutex::default(),
            endpoint_log: Mutex::default(),
            endpoints_differ: Notify::new(),
            evacuations: Mutex::default(),
            evacuations_differ: Notify::new(),
            readers: Mutex::default(),
            seen_era: Mutex::default(),
            era_settled: Notify::new(),
            read_mode: ReadMode::default(),
            revision_times: Mutex::default(),
            local: Mutex::default(),
            peers: Mutex::default(),
            speeds: Mutex::default(),
            listed_peers: Mutex::default(),
            limits: Mutex::default(),
            limits_changed: Notify::new(),
            cold: Mutex::default(),
            cold_changed: Notify::new(),
            started_ms: Clock.now(),
            blame: Mutex::default(),
            blame_changed: Notify::new(),
            quarantines: watch::Sender::new(0),
            has_read_quarantines: AtomicBool::new(false),
            has_learned_blame: AtomicBool::new(false),
            uninformed_peers: Mutex::default(),
            process_number: rand::random(),
            streams: Mutex::default(),
            unconfirmed_streams: Mutex::default(),
            confirming_streams: Mutex::default(),
            inquiries: Mutex::default(),
            inquiry_answered: Notify::new(),
            peer_link: OnceLock::new(),
            weights: Mutex::default(),
            weights_differ: Notify::new(),
            weight_changes: watch::Sender::new(0),
            connections: ConnectionPool::default(),
            retry_budgets: Mutex::default(),
            fair_shares: Mutex::default(),
            metrics: Metrics::new()?,
            request_log: RequestLog::default(),
            byte_budget,
            body_room,
            stop_stages: StopStages::default(),
            planned_stop: OnceLock::new(),
        })
    }

    /// The time since the store's last reply to a linearizable call, of this instance or of the one that reads it for it.
    pub fn store_contact_age_ms(&self) -> Option<TimeMs> {
        self.endpoints.lock().contact_age_ms(self.clock.now())
    }

    /// Returns true if the load balancer may send new connections.
    pub(crate) fn is_ready(&self) -> bool {
        let has_deployment = self.deployment.load().is_some();
        let can_check_keys = self.keys.lock().is_valid(self.clock.now());
        let has_endpoints = self.endpoints.lock().records().next().is_some();
        !self.is_stopping()
            && has_deployment
            && can_check_keys
            && has_endpoints
            && self.has_learned_blame()
            && self.knows_evacuations()
    }

    fn retry_limits(&self) -> RetryLimits {
        let bounds = self.bounds();
        RetryLimits {
            ratio_per_mille: bounds.retry_ratio_per_mille,
            window_ms: bounds.retry_window_ms,
            slack: bounds.retry_slack,
            instances: self.fleet_size(self.clock.now()),
            uptime_ms: self.clock.now().since(self.started_ms),
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

    /// Sets which of a prompt's shared parts each candidate has cached or can fetch.
    pub(crate) fn fill_prefix_facts(
        &self,
        candidates: &mut [Candidate],
        parts: &[PromptPart],
        regions: Option<&RegionSet>,
        scope: impl Fn(&Candidate) -> Option<String>,
    ) {
        let region_limit = RegionLimit::new(&self.settings.regions, regions);
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
            let engine = target_engine(&endpoints, candidate, token_bytes, region_limit);
            candidate.prefix = located.prefix_facts(&engine);
        }
    }

    /// Counts a use of each part at the stores that hold it.
    pub(crate) fn record_part_uses(&self, uses: &[(SocketAddr, PartTag)]) {
        let mut values = self.part_values.lock();
        uses.iter().for_each(|(store, part)| values.pending.add(*store, *part));
    }

    /// The limits on requests: those in force, or the defaults before the first configuration.
    pub(crate) fn limits(&self) -> CallerLimits {
        let deployment = self.deployment.load();
        deployment.as_ref().map(|deployment| *deployment.limits()).unwrap_or_default()
    }

    /// The size of one cached token.
    pub(crate) fn token_bytes(&self) -> Bytes {
        let deployment = self.deployment.load();
        deployment.as_ref().and_then(|deployment| deployment.token_bytes()).unwrap_or_default()
    }
}

pub(crate) fn target_engine<'a>(
    endpoints: &'a EndpointTable,
    candidate: &Candidate,
    token_bytes: Bytes,
    region_limit: RegionLimit<'a>,
) -> TargetEngine<'a> {
    let data_centre = endpoints.get(&candidate.id).map(|record| &record.data_centre);
    TargetEngine { address: candidate.address, data_centre, token_bytes, region_limit }
}
