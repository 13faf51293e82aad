//! The state of an instance that filters and controllers share.

use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use bilberryford_callers::{BodyRoom, ByteBudget};
use bilberryford_coord::{ConfigOfferOutcome, ConfigStamp, VersionedConfig};
use bilberryford_peer::PeerClient;
use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, InstanceList, ObjectStore, PlatformError,
};
use bilberryford_types::{
    AttemptId, Bytes, Digest, EventKind, Generation, Incarnation, RequestId, TimeMs,
};
use parking_lot::{Mutex, RwLock};

use crate::{
    admission::{AdmissionPermit, AdmissionState},
    config::InForce,
    events::{EventLog, wall_ms},
    fleet::{EndpointClients, Fleet},
    leases::HeldLeases,
    members::Members,
    metrics::{Metrics, MetricsError},
    orders::Orders,
    pause::Pauses,
    placement::Placement,
    quarantine,
    retries::Retries,
    run::RunRegistry,
    settings::NodeSettings,
    stores::Stores,
    weights::Weights,
};

/// How long an idle connection to an endpoint stays in the pool, in milliseconds.
const IDLE_CONNECTION_TIMEOUT_MS: u64 = 5_000;
/// The time limit for opening a connection to an endpoint, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// The memory of the machines that `serve` is made for, by which the room for bodies is measured.
const MEMORY: Bytes = Bytes(256 * 1024 * 1024);

/// The shared state of one instance.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) events: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) platform: Arc<HttpPlatform>,
    pub(crate) objects: Arc<dyn ObjectStore>,
    pub(crate) instances: Arc<dyn InstanceList>,
    pub(crate) fleet: Fleet,
    pub(crate) members: Members,
    pub(crate) runs: RunRegistry,
    pub(crate) retries: Retries,
    config: Mutex<VersionedConfig<Arc<InForce>>>,
    pub(crate) orders: Orders,
    pub(crate) placement: Placement,
    pub(crate) stores: Stores,
    pub(crate) pauses: Pauses,
    pub(crate) quarantine: quarantine::Table,
    pub(crate) unwritten_quarantines: Mutex<Vec<Digest>>,
    pub(crate) leases: HeldLeases,
    pub(crate) admission: AdmissionState,
    pub(crate) weights: Weights,
    /// The room for the bodies of requests.
    pub(crate) body_room: Arc<BodyRoom>,
    in_force: ArcSwapOption<InForce>,
    peers: RwLock<Option<PeerClient>>,
    leaving: AtomicBool,
    /// The time at which responses that are not ready are given up; set once no connection is accepted any more.
    stop_due: OnceLock<Instant>,
    in_flight: AtomicU32,
    id_counter: AtomicU64,
    started: Instant,
}

/// Why the shared state can't be set up.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SetupError {
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    #[error(transparent)]
    Platform(#[from] PlatformError),
    #[error("the HTTP client can't be set up: {0}")]
    Client(#[from] reqwest::Error),
}

impl Node {
    pub(crate) fn new(settings: NodeSettings) -> Result<Self, SetupError> {
        let incarnation = Incarnation(wall_ms().get());
        let config = HttpPlatformConfig::new(settings.platform_url.clone())
            .timeout(settings.platform_timeout);
        let platform = Arc::new(HttpPlatform::new(config)?);
        let build_client = |idle_connections| {
            reqwest::Client::builder()
                .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
                .pool_idle_timeout(Duration::from_millis(IDLE_CONNECTION_TIMEOUT_MS))
                .pool_max_idle_per_host(idle_connections)
                .tcp_nodelay(true)
                // Following a redirect would dispatch the request a second time.
                .redirect(reqwest::redirect::Policy::none())
                .build()
        };
        let clients = EndpointClients { pooled: build_client(64)?, fresh: build_client(0)? };
        Ok(Self {
            incarnation,
            events: EventLog::new(settings.instance.clone(), incarnation),
            metrics: Metrics::new()?,
            objects: platform.clone(),
            instances: platform.clone(),
            platform,
            fleet: Fleet::new(clients.clone()),
            members: Members::new(settings.instance.clone()),
            runs: RunRegistry::new(&settings.run_key),
            retries: Retries::default(),
            config: Mutex::new(VersionedConfig::new()),
            orders: Orders::default(),
            placement: Placement::default(),
            stores: Stores::new(clients.pooled.clone()),
            pauses: Pauses::default(),
            quarantine: quarantine::Table::default(),
            unwritten_quarantines: Mutex::default(),
            leases: HeldLeases::default(),
            admission: AdmissionState::new(TimeMs(0)),
            weights: Weights::default(),
            body_room: BodyRoom::new(MEMORY, ByteBudget::of_memory(MEMORY)),
            in_force: ArcSwapOption::empty(),
            peers: RwLock::new(None),
            stop_due: OnceLock::new(),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            id_counter: AtomicU64::new(0),
            started: Instant::now(),
            settings,
        })
    }

    /// The time on a monotonic clock that starts with the process.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// The configuration in force, if there is one.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// The generation in force; 0 without a configuration.
    pub(crate) fn generation(&self) -> Generation {
        self.in_force().map_or(Generation(0), |in_force| in_force.generation)
    }

    /// Brings `offered` into force if it is newer than the current configuration, and has peers notified at once.
    ///
    /// Returns true if it came into force.
    pub(crate) fn adopt_config(&self, offered: InForce) -> bool {
        let InForce { generation, version, digest, .. } = offered;
        let offered = Arc::new(offered);
        let outcome = {
            let mut config = self.config.lock();
            let stamp = ConfigStamp { generation, version, digest };
            let outcome = config.offer(stamp, offered.clone());
            if outcome == ConfigOfferOutcome::Adopted {
                self.in_force.store(Some(offered));
            }
            outcome
        };
        let (kind, detail) = match outcome {
            ConfigOfferOutcome::Adopted => (EventKind::ConfigInForce, ""),
            ConfigOfferOutcome::Conflict => {
                (EventKind::ConfigRefused, "other content of this generation")
            }
            ConfigOfferOutcome::Unchanged | ConfigOfferOutcome::Stale => return false,
        };
        self.events.write(kind, |event| {
            event.generation = Some(generation);
            event.object_version = Some(version);
            event.detail = detail.to_owned();
        });
        if outcome == ConfigOfferOutcome::Adopted {
            self.members.notify_peers_now();
        }
        outcome == ConfigOfferOutcome::Adopted
    }

    /// The client for calls to peers, once the peer thread has started.
    pub(crate) fn peers(&self) -> Option<PeerClient> {
        self.peers.read().clone()
    }

    pub(crate) fn set_peers(&self, peers: PeerClient) {
        *self.peers.write() = Some(peers);
    }

    /// Returns true if the instance is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Sets when responses that are not ready are given up. A later call changes nothing.
    pub(crate) fn set_stop_due(&self, due: Instant) {
        self.stop_due.get_or_init(|| due);
    }

    /// True for a request that comes once no connection is accepted any more, and that may take longer than this instance has
    /// left.
    pub(crate) fn stops_before(&self, timeout: TimeMs) -> bool {
        let timeout = Duration::from_millis(timeout.get());
        self.stop_due.get().is_some_and(|due| Instant::now() + timeout > *due)
    }

    /// Marks the instance as shutting down and has peers notified at once.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
        self.members.notify_peers_now();
    }

    /// Returns true if the load balancer should send requests here: the instance is not leaving, has a configuration,
    /// and knows which weight versions to pin requests to.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.in_force.load().is_some() && self.weights.is_initialized()
    }

    /// A new request id.
    pub(crate) fn next_request(&self) -> RequestId {
        self.next_id("q")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is made of allowed characters"))
    }

    /// A new attempt id.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        self.next_id("a")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is made of allowed characters"))
    }

    fn next_id(&self, prefix: &str) -> String {
        let count = self.id_counter.fetch_add(1, Ordering::Relaxed);
        format!("{prefix}-{}-{:x}-{count:x}", self.settings.instance, self.incarnation.get())
    }

    /// Takes one of the `max_in_flight` request slots of the instance, if one is free.
    pub(crate) fn try_acquire_slot(self: &Arc<Self>) -> Option<RequestSlot> {
        let limit = self.settings.max_in_flight;
        let taken = self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.metrics.in_flight.add(1, &[]);
        // A slot over the limit is dropped here, which gives it back.
        let slot = RequestSlot { node: self.clone(), permit: None };
        (taken < limit).then_some(slot)
    }

    /// The number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// One of the instance's request slots; dropping it releases the slot.
pub(crate) struct RequestSlot {
    node: Arc<Node>,
    permit: Option<AdmissionPermit>,
}

impl RequestSlot {
    /// Holds the admission permit until the slot is released.
    pub(crate) fn attach(&mut self, permit: AdmissionPermit) {
        self.permit = Some(permit);
    }
}

impl Drop for RequestSlot {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.node.metrics.in_flight.add(-1, &[]);
    }
}
