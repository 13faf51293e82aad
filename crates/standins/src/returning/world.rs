//! The fakes of one run: engines and stores behind links, with the faults that are switched on.

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
    turns::Turns,
    workload::{Workload, chain},
};
use crate::{
    engine::kv::{KvCache, computed_bytes},
    store::Store,
};

/// How long a crashed engine is away, in milliseconds.
const RESTART_MS: u64 = 30_000;
/// How long an engine takes no work while it loads weights, in milliseconds.
const LOAD_WEIGHTS_MS: u64 = 1_000;
/// How many engines load weights at once.
const LOADS_AT_ONCE: usize = 2;

/// An engine: a cache, a prefill that serves one prompt at a time, a batch that decodes.
#[derive(Debug)]
pub(super) struct Engine {
    pub(super) kv: RefCell<KvCache>,
    pub(super) prefill: Turns,
    pub(super) backlog: Cell<u64>,
    pub(super) quick_backlog: Cell<u64>,
    pub(super) in_flight: Cell<u32>,
    pub(super) decoding: Cell<u32>,
    pub(super) life: Cell<u32>,
    pub(super) is_up: Cell<bool>,
}

/// A store and the links to its tiers.
#[derive(Debug)]
pub(super) struct StoreHost {
    pub(super) store: RefCell<Store>,
    pub(super) links: [Turns; 2],
    pub(super) slowness: Cell<f64>,
    pub(super) is_up: Cell<bool>,
}

/// Everything that one run of one policy meets.
#[derive(Debug)]
pub(super) struct World {
    pub(super) deployment: Deployment,
    pub(super) engines: Vec<Engine>,
    pub(super) stores: Vec<StoreHost>,
    pub(super) version: RefCell<WeightVersion>,
    pub(super) is_cut: Cell<bool>,
    pub(super) report_lag_ms: Cell<u64>,
    pub(super) link_bytes: [Cell<u64>; 2],
    tickets: Cell<u64>,
    start: Instant,
}

pub(super) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the text is a name")
}

pub(super) async fn pause(span_ms: f64) {
    sleep(Duration::from_secs_f64(span_ms.max(0.0) / 1_000.0)).await;
}

impl World {
    pub(super) fn new(deployment: &Deployment, workload: &Workload) -> Rc<Self> {
        let engine = |_| Engine {
            kv: RefCell::new(KvCache::new(deployment.engine_pieces, Incarnation(0))),
            prefill: Turns::default(),
            backlog: Cell::new(0),
            quick_backlog: Cell::new(0),
            in_flight: Cell::new(0),
            decoding: Cell::new(0),
            life: Cell::new(0),
            is_up: Cell::new(true),
        };
        let store = |_| StoreHost {
            store: RefCell::new(Store::new(deployment.memory_pieces, deployment.disk_pieces)),
            links: Default::default(),
            slowness: Cell::new(1.0),
            is_up: Cell::new(true),
        };
        let world = Self {
            deployment: deployment.clone(),
            engines: (0..deployment.engines).map(engine).collect(),
            stores: (0..2).map(store).collect(),
            version: RefCell::new(name("v1")),
            is_cut: Cell::new(false),
            report_lag_ms: Cell::new(deployment.report_lag_ms),
            link_bytes: Default::default(),
            tickets: Cell::new(0),
            start: Instant::now(),
        };
        world.fill(workload);
        Rc::new(world)
    }

    /// Puts what was known before the first arrival into the stores, the oldest first.
    fn fill(&self, workload: &Workload) {
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
                let manifest = store.manifest_of(space, &owner, self.deployment.piece);
                store.publish(space, manifest);
            }
        }
    }

    pub(super) fn owner(&self, team: usize) -> BlockOwner {
        BlockOwner {
            team: name(&format!("team-{team}")),
            model: name("assistant"),
            weight_version: self.version.borrow().clone(),
        }
    }

    pub(super) fn now(&self) -> TimeMs {
        TimeMs(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub(super) fn ticket(&self) -> u64 {
        self.tickets.set(self.tickets.get() + 1);
        self.tickets.get()
    }

    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 * 1_000.0 / self.deployment.prefill_per_s
    }

    /// Moves one piece over a link; answers for how many milliseconds it moved.
    pub(super) async fn transfer(
        &self,
        store: usize,
        tier: Tier,
        class: TransferClass,
        ticket: u64,
    ) -> f64 {
        let host = &self.stores[store];
        let _turn = host.links[tier as usize].enter(class, ticket).await;
        let Bytes(size) = self.deployment.piece;
        let moved_ms = size as f64 * 1_000.0
            / self.deployment.link_rates[tier as usize].get() as f64
            * host.slowness.get();
        let bytes = &self.link_bytes[tier as usize];
        bytes.set(bytes.get() + size);
        pause(moved_ms).await;
        moved_ms
    }

    /// Brings a fault about in the middle third of the run.
    pub(super) async fn break_down(self: Rc<Self>, fault: Fault) {
        let third_ms = self.deployment.span_ms as f64 / 3.0;
        pause(third_ms).await;
        match fault {
            Fault::None => {}
            Fault::StoreDead => {
                self.stores[0].is_up.set(false);
                pause(third_ms).await;
                self.stores[0].is_up.set(true);
            }
            Fault::LinkTenth => {
                self.stores[0].slowness.set(10.0);
                pause(third_ms).await;
                self.stores[0].slowness.set(1.0);
            }
            Fault::EngineCrash => {
                let engine = &self.engines[0];
                engine.life.set(engine.life.get() + 1);
                engine.is_up.set(false);
                *engine.kv.borrow_mut() =
                    KvCache::new(self.deployment.engine_pieces, Incarnation(1));
                pause(RESTART_MS as f64).await;
                engine.is_up.set(true);
            }
            Fault::EventsCut => {
                self.is_cut.set(true);
                pause(10_000.0).await;
                self.is_cut.set(false);
            }
            Fault::WeightSwap => self.swap_weights().await,
            Fault::StaleLoad => {
                self.report_lag_ms.set(5_000);
                pause(third_ms).await;
                self.report_lag_ms.set(self.deployment.report_lag_ms);
            }
        }
    }

    async fn swap_weights(&self) {
        *self.version.borrow_mut() = name("v2");
        for pair in self.engines.chunks(LOADS_AT_ONCE) {
            let mut turns = Vec::new();
            for engine in pair {
                turns.push(engine.prefill.enter(TransferClass::Interactive, 0).await);
            }
            pause(LOAD_WEIGHTS_MS as f64).await;
        }
    }
}
