//! The endpoints of all pools, as this instance knows them.
//!
//! The table is a view: late, sometimes wrong, and used only to steer requests. A controller replaces it as a whole,
//! and it is read without locks.

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

/// An endpoint as this instance knows it. Its counters are kept as long as it is in the table.
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
    /// Returns true if the endpoint is leaving, which is final for its name and address, or gone from the list.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.gone.load(Ordering::Acquire)
    }

    /// Returns the name and address that identify the endpoint.
    pub(crate) fn identity(&self) -> AddressedEndpoint {
        AddressedEndpoint { endpoint: self.id.clone(), address: self.address }
    }

    /// Records whether it has been missing from the list for long; unlike leaving, this can be undone.
    fn set_gone(&self, gone: bool) {
        self.gone.store(gone, Ordering::Release);
    }

    /// Marks the endpoint as leaving.
    pub(crate) fn mark_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns the number of runs of this instance in flight there.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records that it did not accept a new connection; it is chosen last until `until`.
    pub(crate) fn mark_suspected(&self, until: TimeMs) {
        self.suspected_until_ms.fetch_max(until.get(), Ordering::Relaxed);
    }

    /// Returns true if it recently did not accept a new connection.
    pub(crate) fn is_suspected(&self, now: TimeMs) -> bool {
        self.suspected_until_ms.load(Ordering::Relaxed) > now.get()
    }

    /// Returns the number of runs that this instance may have in flight there, or `None` before the first report.
    pub(crate) fn capacity(&self) -> Option<u32> {
        self.concurrency.lock().map(|limit| limit.get())
    }

    /// Applies the endpoint's report of its queue, as one of `members` instances that send to it.
    pub(crate) fn observe_queue(&self, report: QueueReport, members: u32) {
        let mut limit = self.concurrency.lock();
        let share = report.slots.saturating_mul(2) / members.max(1);
        let limit = limit.get_or_insert_with(|| ConcurrencyLimit::new(share.max(report.slots)));
        limit.observe(report, self.in_flight());
    }

    /// Counts a run as in flight until the guard is dropped.
    pub(crate) fn track_run(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { endpoint: self.clone() }
    }
}

/// A run in flight at an endpoint; it is counted until the guard is dropped.
pub(crate) struct InFlightGuard {
    endpoint: Arc<Endpoint>,
}

impl Drop for InFlightGuard {
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
    /// Returns the endpoint of that name.
    pub(crate) fn get(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.by_id.get(id)
    }

    /// Returns the endpoints of a pool, leaving ones included.
    pub(crate) fn pool(&self, pool: &PoolName) -> &[Arc<Endpoint>] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of all pools.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Arc<Endpoint>> {
        self.by_id.values()
    }

    fn add(&mut self, endpoint: Arc<Endpoint>) {
        self.by_id.insert(endpoint.id.clone(), endpoint.clone());
        self.by_pool.entry(endpoint.pool.clone()).or_default().push(endpoint);
    }

    /// Returns the number of endpoints.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }
}

/// The HTTP clients that all endpoints share.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClients {
    /// Reuses idle connections.
    pub(crate) pooled: reqwest::Client,
    /// Opens a new connection for each call.
    pub(crate) fresh: reqwest::Client,
}

/// The endpoints, and the rows of the platform's list that they come from.
pub(crate) struct Fleet {
    clients: EndpointClients,
    endpoints: ArcSwap<EndpointTable>,
    listed: ArcSwap<Vec<InstanceRecord>>,
}

impl Fleet {
    pub(crate) fn new(clients: EndpointClients) -> Self {
        Self { clients, endpoints: ArcSwap::default(), listed: ArcSwap::default() }
    }

    /// Returns the current table of endpoints.
    pub(crate) fn endpoints(&self) -> Arc<EndpointTable> {
        self.endpoints.load_full()
    }

    /// Returns the rows of endpoints in the last reading that had any.
    pub(crate) fn listed(&self) -> Arc<Vec<InstanceRecord>> {
        self.listed.load_full()
    }

    /// Applies a reading of the platform's list. Endpoints that stay keep their counters.
    ///
    /// An endpoint that is missing from the list stays in the table until it is in `gone` or leaving, and then until
    /// its runs have ended.
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
            let Some(endpoint) = self.reuse_or_create(&old, record) else { continue };
            endpoint.set_gone(false);
            if has_departed(&endpoint.identity()) {
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
            if gone.contains(&missing.identity()) {
                missing.set_gone(true);
            }
            if !missing.is_leaving() || missing.in_flight() > 0 {
                table.add(missing);
            }
        }
        self.endpoints.store(Arc::new(table));
    }

    fn reuse_or_create(
        &self,
        old: &EndpointTable,
        record: &InstanceRecord,
    ) -> Option<Arc<Endpoint>> {
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
