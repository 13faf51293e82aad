//! The view of an entry instance, and how each policy places a request.

use std::collections::HashMap;

use bilberryford_cache::{
    BlockIndex, EngineSlot, EngineView, LinkTable, LoadSample, LoadView, PlacementDecision,
    PlacementRequest, PlacementView, PrefixChain, StoreSlot, TransferClass, decide,
};
use bilberryford_types::{TimeMs, Tokens};
use rand::{RngExt, rngs::StdRng};

use super::{Deployment, Policy};

/// Capacity of an instance's block index.
const INDEX_BLOCKS: usize = 400_000;

/// The state from which one entry instance places requests.
#[derive(Debug)]
pub(super) struct Decider {
    pub(super) views: PlacementView,
    pub(super) rng: StdRng,
    /// The requests in flight at each engine, as last reported.
    reported_in_flight: Vec<u32>,
    /// The instance's own dispatches to each engine since its last report.
    own_dispatches: Vec<Vec<TimeMs>>,
    unreachable_until: HashMap<usize, TimeMs>,
    /// Dispatches that the next heartbeat sends to the peers.
    pub(super) unsent_dispatches: Vec<(usize, TimeMs, Tokens)>,
    round_robin: usize,
}

/// The engine for a request, with the decision of a policy that has a cost model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub(super) engine: usize,
    pub(super) decision: Option<PlacementDecision>,
}

/// A request as a policy sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct PolicyInput<'a> {
    pub(super) chain: &'a PrefixChain,
    pub(super) tokens: Tokens,
    pub(super) class: TransferClass,
    /// The key that the sticky policy hashes.
    pub(super) affinity: u64,
}

impl Decider {
    pub(super) fn new(deployment: &Deployment, number: usize, rng: StdRng) -> Self {
        let engine = |slot| EngineView {
            slot: EngineSlot(slot),
            is_usable: true,
            load: LoadView::new(deployment.prefill_tokens_per_s / 1_000.0),
        };
        let engines = u8::try_from(deployment.engines).expect("a pool has at most 255 engines");
        Self {
            views: PlacementView {
                engines: (0..engines).map(engine).collect(),
                index: BlockIndex::new(INDEX_BLOCKS),
                links: LinkTable::new(&[deployment.link_rates; 2]),
                cost_weights: deployment.cost_weights,
                piece_size: deployment.piece_size,
            },
            rng,
            reported_in_flight: vec![0; deployment.engines],
            own_dispatches: vec![Vec::new(); deployment.engines],
            unreachable_until: HashMap::new(),
            unsent_dispatches: Vec::new(),
            round_robin: number,
        }
    }

    pub(super) fn apply_report(&mut self, engine: usize, sample: LoadSample, in_flight: u32) {
        self.views.engines[engine].load.apply_report(sample);
        self.reported_in_flight[engine] = in_flight;
        self.own_dispatches[engine].retain(|at| *at > sample.taken_ms);
    }

    /// Excludes an unreachable engine from placement until `until`.
    pub(super) fn mark_unreachable(&mut self, engine: usize, until: TimeMs) {
        self.unreachable_until.insert(engine, until);
    }

    pub(super) fn record_dispatch(&mut self, engine: usize, now: TimeMs, work: Tokens) {
        self.own_dispatches[engine].push(now);
        self.views.engines[engine].load.record_dispatch(now, work);
        self.unsent_dispatches.push((engine, now, work));
    }

    pub(super) fn record_peer_dispatch(&mut self, (engine, at, work): (usize, TimeMs, Tokens)) {
        self.views.engines[engine].load.record_dispatch(at, work);
    }

    pub(super) fn set_store_down(&mut self, store: usize, is_down: bool) {
        let store = StoreSlot(u8::try_from(store).expect("a pool has at most 256 stores"));
        self.views.links.set_store_down(store, is_down);
    }

    pub(super) fn place(
        &mut self,
        policy: Policy,
        input: PolicyInput<'_>,
        now: TimeMs,
    ) -> Option<Placement> {
        self.unreachable_until.retain(|_, until| *until > now);
        let unreachable = &self.unreachable_until;
        let usable: Vec<usize> = (0..self.reported_in_flight.len())
            .filter(|engine| !unreachable.contains_key(engine))
            .collect();
        if usable.is_empty() {
            return None;
        }
        let engine = match policy {
            Policy::RoundRobin => {
                self.round_robin += 1;
                usable[self.round_robin % usable.len()]
            }
            Policy::LeastLoaded => {
                let load = |engine: &usize| {
                    self.reported_in_flight[*engine] as usize + self.own_dispatches[*engine].len()
                };
                let least = usable.iter().map(load).min()?;
                let ties: Vec<_> = usable.iter().filter(|engine| load(engine) == least).collect();
                *ties[self.rng.random_range(0..ties.len())]
            }
            Policy::Sticky => usable.iter().copied().max_by_key(|engine| {
                let mut key = input.affinity.to_le_bytes().to_vec();
                key.push(u8::try_from(*engine).unwrap_or(u8::MAX));
                xxhash_rust::xxh3::xxh3_64(&key)
            })?,
            Policy::Ours => return self.place_by_cost(input, now),
        };
        Some(Placement { engine, decision: None })
    }

    fn place_by_cost(&mut self, input: PolicyInput<'_>, now: TimeMs) -> Option<Placement> {
        for (number, engine) in self.views.engines.iter_mut().enumerate() {
            engine.is_usable = !self.unreachable_until.contains_key(&number);
        }
        let request =
            PlacementRequest { chain: input.chain, tokens: input.tokens, class: input.class };
        let decision = decide(&self.views, &request, now, &mut self.rng)?;
        self.views.index.touch(input.chain.blocks());
        Some(Placement { engine: decision.engine.0 as usize, decision: Some(decision) })
    }
}
