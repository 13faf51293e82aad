//! Views of what is around the instance: endpoints by pool, and peers.
//!
//! These are views: late, sometimes wrong, never trusted for more than steering. They are replaced as a whole by the
//! controllers and read without locks.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use bilberryford_coord::{AddressedEndpoint, MAX_LISTED_ENDPOINTS};
use bilberryford_coord::{ConcurrencyLimit, QueueReport};
use bilberryford_endpoint::{
    CacheFeed, EngineControl, HttpControl, HttpEngine, HttpKvTransfer, HttpService, KvTransfer,
    ModelEngine, PlainService,
};
use bilberryford_platform::InstanceRecord;
use bilberryford_types::{EndpointId, PoolName, TimeMs};
use parking_lot::Mutex;

use crate::weights::EndpointWeights;

/// An endpoint as this instance knows it; counters live as long as the endpoint is on the list.
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) pool: PoolName,
    pub(crate) address: SocketAddr,
    leaving: AtomicBool,
    gone: AtomicBool,
    in_flight: AtomicU32,
    suspected_until_ms: AtomicU64,
    concurrency: Mutex<Option<ConcurrencyLimit>>,
    pub(crate) weights: EndpointWeights,
    pub(crate) control: Arc<dyn EngineControl>,
    pub(crate) engine: Arc<dyn ModelEngine>,
    pub(crate) cache: Arc<dyn CacheFeed>,
    pub(crate) transfer: Arc<dyn KvTransfer>,
    pub(crate) service: Arc<dyn PlainService>,
}

impl Endpoint {
    /// Whether someone has seen it leaving; an endpoint never comes back from that under the same name and address.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.gone.load(Ordering::Acquire)
    }

    /// The endpoint at its address.
    pub(crate) fn at(&self) -> AddressedEndpoint {
        AddressedEndpoint { endpoint: self.id.clone(), address: self.address }
    }

    /// Notes whether the list has lost it for long; other than leaving, that can be undone.
    fn set_gone(&self, gone: bool) {
        self.gone.store(gone, Ordering::Release);
    }

    /// Marks it as leaving.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// How many runs of this instance are in flight there.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Takes note that it did not answer a new connection; it is chosen last until `until`.
    pub(crate) fn suspect(&self, until: TimeMs) {
        self.suspected_until_ms.fetch_max(until.get(), Ordering::Relaxed);
    }

    /// Whether it did not answer lately.
    pub(crate) fn is_suspected(&self, now: TimeMs) -> bool {
        self.suspected_until_ms.load(Ordering::Relaxed) > now.get()
    }

    /// How many runs this instance should keep there; none before the first report.
    pub(crate) fn capacity(&self) -> Option<u32> {
        self.concurrency.lock().map(|limit| limit.get())
    }

    /// Takes in what the endpoint reports of its queue, as one of `members` instances in front of it.
    pub(crate) fn observe_queue(&self, report: QueueReport, members: u32) {
        let mut limit = self.concurrency.lock();
        let part = report.slots.saturating_mul(2) / members.max(1);
        let limit = limit.get_or_insert_with(|| ConcurrencyLimit::new(part.max(report.slots)));
        limit.observe(report, self.in_flight());
    }

    /// Counts a run until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight { endpoint: self.clone() }
    }
}

/// A run in flight at an endpoint.
pub(crate) struct InFlight {
    endpoint: Arc<Endpoint>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.endpoint.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The endpoints of all pools.
#[derive(Default)]
pub(crate) struct EndpointTable {
    by_id: HashMap<EndpointId, Arc<Endpoint>>,
    by_pool: HashMap<PoolName, Vec<Arc<Endpoint>>>,
}

impl EndpointTable {
    /// The endpoint of that name.
    pub(crate) fn get(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }

    /// The members of a pool, leaving ones included.
    pub(crate) fn pool(&self, pool: &PoolName) -> &[Arc<Endpoint>] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// All endpoints.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    fn add(&mut self, endpoint: Arc<Endpoint>) {
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        self.by_pool.entry(endpoint.pool.clone()).or_default().push(endpoint);
    }

    /// How many endpoints there are.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// The clients that endpoints share.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClients {
    pub(crate) pooled: reqwest::Client,
    pub(crate) fresh: reqwest::Client,
}

/// All views.
pub(crate) struct Fleet {
    clients: EndpointClients,
    endpoints: ArcSwap<EndpointTable>,
    listed: ArcSwap<Vec<InstanceRecord>>,
}

impl Fleet {
    pub(crate) fn new(clients: EndpointClients) -> Self {
        Self { clients, endpoints: ArcSwap::default(), listed: ArcSwap::default() }
    }

    /// The endpoints as known now.
    pub(crate) fn endpoints(&self) -> Arc<EndpointTable> {
        self.endpoints.load_full()
    }

    /// The endpoints' rows of the last reading that had any.
    pub(crate) fn listed(&self) -> Arc<Vec<InstanceRecord>> {
        self.listed.load_full()
    }

    /// Takes in a reading of the platform's list, keeping the counters of endpoints that stay.
    ///
    /// An endpoint that the list misses stays until it is gone for long, and then until its runs are over.
    pub(crate) fn replace_endpoints(
        &self,
        records: &[InstanceRecord],
        gone: &BTreeSet<AddressedEndpoint>,
        has_departed: impl Fn(&AddressedEndpoint) -> bool,
    ) {
        let rows = records.iter().filter(|record| record.pool.is_some()).take(MAX_LISTED_ENDPOINTS);
        let rows: Vec<_> = rows.cloned().collect();
        if !rows.is_empty() {
            self.listed.store(Arc::new(rows));
        }
        let old = self.endpoints();
        let mut table = EndpointTable::default();
        for record in records.iter().take(MAX_LISTED_ENDPOINTS) {
            let Some(endpoint) = self.endpoint(&old, record) else { continue };
            endpoint.set_gone(false);
            if has_departed(&endpoint.at()) {
                endpoint.mark_leaving();
            }
            table.add(endpoint);
        }
        for missing in old
            .all()
            .filter(|endpoint| table.get(&endpoint.id).is_none())
            .cloned()
            .collect::<Vec<_>>()
        {
            if gone.contains(&missing.at()) {
                missing.set_gone(true);
            }
            if !missing.is_leaving() || missing.in_flight() > 0 {
                table.add(missing);
            }
        }
        self.endpoints.store(Arc::new(table));
    }

    fn endpoint(&self, old: &EndpointTable, record: &InstanceRecord) -> Option<Arc<Endpoint>> {
        let id: EndpointId = record.id.parse().ok()?;
        let pool = record.pool.clone()?;
        if let Some(known) = old.get(&id).filter(|known| known.address == record.address) {
            return Some(known.clone());
        }
        let EndpointClients { pooled, fresh } = self.clients.clone();
        let engine = Arc::new(HttpEngine::new(record.address, pooled.clone(), fresh.clone()));
        Some(Arc::new(Endpoint {
            id,
            pool,
            address: record.address,
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            suspected_until_ms: AtomicU64::new(0),
            cache: engine.clone(),
            engine,
            transfer: Arc::new(HttpKvTransfer::new(record.address, pooled.clone())),
            concurrency: Mutex::default(),
            weights: EndpointWeights::default(),
            control: Arc::new(HttpControl::new(record.address, fresh.clone())),
            service: Arc::new(HttpService::new(record.address, pooled, fresh)),
        }))
    }
}
