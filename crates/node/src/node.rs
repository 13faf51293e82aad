//! What filters and controllers share.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use bilberryford_coord::{ConfigOfferOutcome, ConfigStamp, VersionedConfig};
use bilberryford_peer::PeerClient;
use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, InstanceList, ObjectStore, PlatformError,
};
use bilberryford_types::{
    AttemptId, Digest, EventKind, Generation, Incarnation, RequestId, TimeMs,
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
    pause::PauseDetector,
    placement::Placement,
    quarantine,
    retries::Retries,
    run::Runs,
    settings::NodeSettings,
    stores::Stores,
    weights::Weights,
};

/// How long an idle connection to an endpoint may be used again, in milliseconds.
const POOL_IDLE_MS: u64 = 5_000;
/// The deadline of a connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// One instance's shared state.
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
    pub(crate) runs: Runs,
    pub(crate) retries: Retries,
    config: Mutex<VersionedConfig<Arc<InForce>>>,
    pub(crate) orders: Orders,
    pub(crate) placement: Placement,
    pub(crate) stores: Stores,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) quarantine: quarantine::Table,
    pub(crate) unwritten_quarantines: Mutex<Vec<Digest>>,
    pub(crate) leases: HeldLeases,
    pub(crate) admission: AdmissionState,
    pub(crate) weights: Weights,
    in_force: ArcSwapOption<InForce>,
    peers: RwLock<Option<PeerClient>>,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    counter: AtomicU64,
    started: Instant,
}

/// The shared state could not be set up.
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
        let client = |idle_connections| {
            reqwest::Client::builder()
                .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
                .pool_idle_timeout(Duration::from_millis(POOL_IDLE_MS))
                .pool_max_idle_per_host(idle_connections)
                .tcp_nodelay(true)
                // A redirect would be a second dispatch.
                .redirect(reqwest::redirect::Policy::none())
                .build()
        };
        let clients = EndpointClients { pooled: client(64)?, fresh: client(0)? };
        Ok(Self {
            incarnation,
            events: EventLog::new(settings.instance.clone(), incarnation),
            metrics: Metrics::new()?,
            objects: platform.clone(),
            instances: platform.clone(),
            platform,
            fleet: Fleet::new(clients.clone()),
            members: Members::new(settings.instance.clone()),
            runs: Runs::new(&settings.run_key),
            retries: Retries::default(),
            config: Mutex::new(VersionedConfig::new()),
            orders: Orders::default(),
            placement: Placement::default(),
            stores: Stores::new(clients.pooled.clone()),
            pause_detector: PauseDetector::default(),
            quarantine: quarantine::Table::default(),
            unwritten_quarantines: Mutex::default(),
            leases: HeldLeases::default(),
            admission: AdmissionState::new(TimeMs(0)),
            weights: Weights::default(),
            in_force: ArcSwapOption::empty(),
            peers: RwLock::new(None),
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            counter: AtomicU64::new(0),
            started: Instant::now(),
            settings,
        })
    }

    /// Milliseconds of a monotonic clock since the process started.
    pub(crate) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// The configuration in force, if there is one.
    pub(crate) fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.load_full()
    }

    /// The generation in force, 0 when there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.in_force().map_or(Generation(0), |in_force| in_force.generation)
    }

    /// Brings `offered` into force when it is newer, and has peers told at once; answers whether it did.
    pub(crate) fn adopt_config(&self, offered: InForce) -> bool {
        let InForce { generation, version, digest, .. } = offered;
        let offered = Arc::new(offered);
        let judged = {
            let mut config = self.config.lock();
            let stamp = ConfigStamp { generation, version, digest };
            let judged = config.offer(stamp, offered.clone());
            if judged == ConfigOfferOutcome::Adopted {
                self.in_force.store(Some(offered));
            }
            judged
        };
        let (kind, detail) = match judged {
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
        if judged == ConfigOfferOutcome::Adopted {
            self.members.notify_peers_now();
        }
        judged == ConfigOfferOutcome::Adopted
    }

    /// The handle to call peers, once the peer thread runs.
    pub(crate) fn peers(&self) -> Option<PeerClient> {
        self.peers.read().clone()
    }

    pub(crate) fn set_peers(&self, peers: PeerClient) {
        *self.peers.write() = Some(peers);
    }

    /// Whether the instance is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.members.notify_peers_now();
    }

    /// Whether the balancer should send requests here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.in_force.load().is_some() && self.weights.is_initialized()
    }

    /// A new request id.
    pub(crate) fn next_request(&self) -> RequestId {
        self.next_name("q")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is made of allowed characters"))
    }

    /// A new attempt id.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        self.next_name("a")
            .parse()
            .unwrap_or_else(|_| unreachable!("the name is made of allowed characters"))
    }

    fn next_name(&self, prefix: &str) -> String {
        let count = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{prefix}-{}-{:x}-{count:x}", self.settings.instance, self.incarnation.get())
    }

    /// Takes one of the instance's places, if one is free.
    pub(crate) fn enter(self: &Arc<Self>) -> Option<Place> {
        let limit = self.settings.max_in_flight;
        let taken = self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.metrics.in_flight.add(1, &[]);
        let place = Place { node: self.clone(), ticket: None };
        (taken < limit).then_some(place)
    }

    /// How many places are taken.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// A place in the instance, given back when it is dropped.
pub(crate) struct Place {
    node: Arc<Node>,
    ticket: Option<AdmissionPermit>,
}

impl Place {
    /// Keeps the ticket as long as the place.
    pub(crate) fn keep(&mut self, ticket: AdmissionPermit) {
        self.ticket = Some(ticket);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.node.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.node.metrics.in_flight.add(-1, &[]);
    }
}
