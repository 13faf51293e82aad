//! The simulated engines and stores of one run, the links between them, and the faults.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use bilberryford_cache::{BlockOwner, StoreSlot, Tier, TransferClass, home_store};
use bilberryford_types::{Bytes, Incarnation, TimeMs, WeightVersion};
use tokio::time::{Instant, sleep};

use super::{
    Deployment, Fault,
    priority_mutex::PriorityMutex,
    workload::{Workload, chain},
};
use crate::{
    engine::kv::{KvCache, computed_bytes},
    store::Store,
};

/// Time that a crashed engine takes to restart.
const ENGINE_RESTART_MS: u64 = 30_000;
/// Time for which an engine prefills nothing because it loads weights.
const WEIGHT_LOAD_MS: u64 = 1_000;
const MAX_CONCURRENT_LOADS: usize = 2;

/// An engine: a cache, a prefill that processes one chunk at a time, and a decoding batch.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) kv: RefCell<KvCache>,
    pub(super) prefill: PriorityMutex,
    pub(super) backlog: Cell<u64>,
    pub(super) interactive_backlog: Cell<u64>,
    pub(super) in_flight: Cell<u32>,
    pub(super) decoding: Cell<u32>,
    pub(super) incarnation: Cell<u32>,
    pub(super) is_up: Cell<bool>,
}

/// A store and the links to its tiers.
#[derive(Debug)]
pub(super) struct StoreHost {
    pub(super) store: RefCell<Store>,
    pub(super) links: [PriorityMutex; 2],
    pub(super) slowdown: Cell<f64>,
    pub(super) is_up: Cell<bool>,
}

/// The simulated environment of one run.
#[derive(Debug)]
pub(super) struct World {
    pub(super) deployment: Deployment,
    pub(super) engines: Vec<Engine>,
    pub(super) stores: Vec<StoreHost>,
    pub(super) version: RefCell<WeightVersion>,
    pub(super) events_are_cut: Cell<bool>,
    /// Time from a load sample to its delivery.
    pub(super) report_lag_ms: Cell<u64>,
    pub(super) link_bytes: [Cell<u64>; 2],
    sequence: Cell<u64>,
    start: Instant,
}

pub(super) fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the text is a name")
}

pub(super) async fn sleep_ms(duration_ms: f64) {
    sleep(Duration::from_secs_f64(duration_ms.max(0.0) / 1_000.0)).await;
}

impl World {
    pub(super) fn new(deployment: &Deployment, workload: &Workload) -> Rc<Self> {
        let engine = |_| Engine {
            kv: RefCell::new(KvCache::new(deployment.engine_pieces, Incarnation(0))),
            prefill: PriorityMutex::default(),
            backlog: Cell::new(0),
            interactive_backlog: Cell::new(0),
            in_flight: Cell::new(0),
            decoding: Cell::new(0),
            incarnation: Cell::new(0),
            is_up: Cell::new(true),
        };
        let store = |_| StoreHost {
            store: RefCell::new(Store::new(deployment.memory_pieces, deployment.disk_pieces)),
            links: Default::default(),
            slowdown: Cell::new(1.0),
            is_up: Cell::new(true),
        };
        let world = Self {
            deployment: deployment.clone(),
            engines: (0..deployment.engines).map(engine).collect(),
            stores: (0..2).map(store).collect(),
            version: RefCell::new(parse_name("v1")),
            events_are_cut: Cell::new(false),
            report_lag_ms: Cell::new(deployment.report_lag_ms),
            link_bytes: Default::default(),
            sequence: Cell::new(0),
            start: Instant::now(),
        };
        world.fill_stores(workload);
        Rc::new(world)
    }

    /// Stores the blocks of the conversations that exist before the first arrival, the oldest first.
    fn fill_stores(&self, workload: &Workload) {
        let slots = [StoreSlot(0), StoreSlot(1)];
        for known in &workload.known {
            let owner = self.owner(known.team);
            let blocks = chain(&owner, known.team, known.id, known.tokens);
            for (slot, host) in slots.iter().zip(&self.stores) {
                let mut store = host.store.borrow_mut();
                let space = store.begin();
                for (position, block) in blocks.iter().enumerate() {
                    let home = home_store(&blocks[0], position, &slots);
                    if home == Some(*slot) && store.find(block).is_none() {
                        store.write(space, *block, computed_bytes(block));
                    }
                }
                let manifest = store.manifest_of(space, &owner, self.deployment.piece_size);
                store.publish(space, manifest);
            }
        }
    }

    pub(super) fn owner(&self, team: usize) -> BlockOwner {
        BlockOwner {
            team: parse_name(&format!("team-{team}")),
            model: parse_name("assistant"),
            weight_version: self.version.borrow().clone(),
        }
    }

    pub(super) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    /// Returns the next sequence number, which orders requests of one class.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }

    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * 1_000.0 / self.deployment.prefill_tokens_per_s
    }

    /// Moves one piece over a link and returns the transfer time in milliseconds, without the wait for the link.
    pub(super) async fn transfer(
        &self,
        store: usize,
        tier: Tier,
        class: TransferClass,
        sequence: u64,
    ) -> f64 {
        let host = &self.stores[store];
        let _guard = host.links[tier as usize].lock(class, sequence).await;
        let Bytes(size) = self.deployment.piece_size;
        let moved_ms = size as f64 * 1_000.0
            / self.deployment.link_rates[tier as usize].get() as f64
            * host.slowdown.get();
        let bytes = &self.link_bytes[tier as usize];
        bytes.set(bytes.get() + size);
        sleep_ms(moved_ms).await;
        moved_ms
    }

    /// Injects a fault in the middle third of the run.
    pub(super) async fn inject_fault(self: Rc<Self>, fault: Fault) {
        let third_ms = self.deployment.duration_ms as f64 / 3.0;
        sleep_ms(third_ms).await;
        match fault {
            Fault::None => {}
            Fault::StoreDead => {
                self.stores[0].is_up.set(false);
                sleep_ms(third_ms).await;
                self.stores[0].is_up.set(true);
            }
            Fault::LinkTenth => {
                self.stores[0].slowdown.set(10.0);
                sleep_ms(third_ms).await;
                self.stores[0].slowdown.set(1.0);
            }
            Fault::EngineCrash => {
                let engine = &self.engines[0];
                engine.incarnation.set(engine.incarnation.get() + 1);
                engine.is_up.set(false);
                *engine.kv.borrow_mut() =
                    KvCache::new(self.deployment.engine_pieces, Incarnation(1));
                sleep_ms(ENGINE_RESTART_MS as f64).await;
                engine.is_up.set(true);
            }
            Fault::EventsCut => {
                self.events_are_cut.set(true);
                sleep_ms(10_000.0).await;
                self.events_are_cut.set(false);
            }
            Fault::WeightSwap => self.swap_weights().await,
            Fault::StaleLoad => {
                self.report_lag_ms.set(5_000);
                sleep_ms(third_ms).await;
                self.report_lag_ms.set(self.deployment.report_lag_ms);
            }
        }
    }

    async fn swap_weights(&self) {
        *self.version.borrow_mut() = parse_name("v2");
        for engines in self.engines.chunks(MAX_CONCURRENT_LOADS) {
            let mut guards = Vec::new();
            for engine in engines {
                guards.push(engine.prefill.lock(TransferClass::Interactive, 0).await);
            }
            sleep_ms(WEIGHT_LOAD_MS as f64).await;
        }
    }
}
