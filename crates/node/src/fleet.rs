//! Views of what is around the instance: endpoints by pool, and peers.
//!
//! These are views: late, sometimes wrong, never trusted for more than steering. They are replaced as a whole by the
//! controllers and read without locks.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use bilberryford_endpoint::{HttpEngine, HttpService, ModelEngine, PlainService};
use bilberryford_platform::{InstanceRecord, InstanceState};
use bilberryford_types::{EndpointId, PoolName, TimeMs};

/// An endpoint as this instance knows it; counters live as long as the endpoint is on the list.
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) pool: PoolName,
    pub(crate) address: SocketAddr,
    leaving: AtomicBool,
    in_flight: AtomicU32,
    suspected_until_ms: AtomicU64,
    pub(crate) engine: Arc<dyn ModelEngine>,
    pub(crate) service: Arc<dyn PlainService>,
}

impl Endpoint {
    /// Whether someone has seen it leaving; an endpoint never comes back from that under the same name and address.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Marks it as leaving; answers whether that is news.
    pub(crate) fn mark_leaving(&self) -> bool {
        !self.leaving.swap(true, Ordering::AcqRel)
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
}

impl Fleet {
    pub(crate) fn new(clients: EndpointClients) -> Self {
        Self { clients, endpoints: ArcSwap::default() }
    }

    /// The endpoints as known now.
    pub(crate) fn endpoints(&self) -> Arc<EndpointTable> {
        self.endpoints.load_full()
    }

    /// Replaces the endpoints by what the platform lists, keeping the counters of those that stay.
    pub(crate) fn replace_endpoints(&self, records: &[InstanceRecord]) {
        let old = self.endpoints();
        let mut table = EndpointTable::default();
        for record in records {
            let Some(endpoint) = self.endpoint(&old, record) else { continue };
            if record.state == InstanceState::Leaving {
                endpoint.mark_leaving();
            }
            table.by_id.insert(endpoint.id.clone(), endpoint.clone());
            table.by_pool.entry(endpoint.pool.clone()).or_default().push(endpoint);
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
        Some(Arc::new(Endpoint {
            id,
            pool,
            address: record.address,
            leaving: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            suspected_until_ms: AtomicU64::new(0),
            engine: Arc::new(HttpEngine::new(record.address, pooled.clone(), fresh.clone())),
            service: Arc::new(HttpService::new(record.address, pooled, fresh)),
        }))
    }
}
