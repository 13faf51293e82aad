//! What an entry instance knows and how each policy chooses.

use std::collections::HashMap;

use bilberryford_cache::{
    BlockIndex, EngineSlot, EngineView, LinkTable, LoadSample, LoadView, PlacementDecision,
    PlacementRequest, PlacementView, PrefixChain, StoreSlot, TransferClass, decide,
};
use bilberryford_types::{TimeMs, Tokens};
use rand::{RngExt, rngs::StdRng};

use super::{Deployment, Policy};

/// How many blocks an instance's index holds.
const INDEX_BLOCKS: usize = 400_000;

/// One entry instance's knowledge.
#[derive(Debug)]
pub(super) struct Decider {
    pub(super) views: PlacementView,
    pub(super) rng: StdRng,
    reported: Vec<u32>,
    own_since: Vec<Vec<TimeMs>>,
    down_until: HashMap<usize, TimeMs>,
    /// Dispatches that peers have not heard of.
    pub(super) news: Vec<(usize, TimeMs, Tokens)>,
    turn: usize,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub(super) engine: usize,
    pub(super) decision: Option<PlacementDecision>,
}

/// A request as a policy sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Asked<'a> {
    pub(super) chain: &'a PrefixChain,
    pub(super) tokens: Tokens,
    pub(super) class: TransferClass,
    /// What a sticky policy hashes.
    pub(super) affinity: u64,
}

impl Decider {
    pub(super) fn new(deployment: &Deployment, number: usize, rng: StdRng) -> Self {
        let engine = |slot| EngineView {
            slot: EngineSlot(slot),
            is_usable: true,
            load: LoadView::new(deployment.prefill_per_s / 1_000.0),
        };
        let engines = u8::try_from(deployment.engines).expect("a cell is small");
        Self {
            views: PlacementView {
                engines: (0..engines).map(engine).collect(),
                index: BlockIndex::new(INDEX_BLOCKS),
                links: LinkTable::new(&[deployment.link_rates; 2]),
                cost_weights: deployment.weights,
                piece_size: deployment.piece,
            },
            rng,
            reported: vec![0; deployment.engines],
            own_since: vec![Vec::new(); deployment.engines],
            down_until: HashMap::new(),
            news: Vec::new(),
            turn: number,
        }
    }

    pub(super) fn report(&mut self, engine: usize, sample: LoadSample, in_flight: u32) {
        self.views.engines[engine].load.apply_report(sample);
        self.reported[engine] = in_flight;
        self.own_since[engine].retain(|at| *at > sample.taken_ms);
    }

    /// Notes that an engine can't be reached; it is left out until `until`.
    pub(super) fn unreachable(&mut self, engine: usize, until: TimeMs) {
        self.down_until.insert(engine, until);
    }

    pub(super) fn dispatched(&mut self, engine: usize, now: TimeMs, work: Tokens) {
        self.own_since[engine].push(now);
        self.views.engines[engine].load.record_dispatch(now, work);
        self.news.push((engine, now, work));
    }

    pub(super) fn peer_dispatched(&mut self, (engine, at, work): (usize, TimeMs, Tokens)) {
        self.views.engines[engine].load.record_dispatch(at, work);
    }

    pub(super) fn store_down(&mut self, store: usize, is_down: bool) {
        let store = StoreSlot(u8::try_from(store).expect("a cell has few stores"));
        self.views.links.set_store_down(store, is_down);
    }

    pub(super) fn place(
        &mut self,
        policy: Policy,
        asked: Asked<'_>,
        now: TimeMs,
    ) -> Option<Placement> {
        self.down_until.retain(|_, until| *until > now);
        let down = &self.down_until;
        let usable: Vec<usize> =
            (0..self.reported.len()).filter(|engine| !down.contains_key(engine)).collect();
        if usable.is_empty() {
            return None;
        }
        let engine = match policy {
            Policy::RoundRobin => {
                self.turn += 1;
                usable[self.turn % usable.len()]
            }
            Policy::LeastLoaded => {
                let load = |engine: &usize| {
                    self.reported[*engine] as usize + self.own_since[*engine].len()
                };
                let least = usable.iter().map(load).min()?;
                let ties: Vec<_> = usable.iter().filter(|engine| load(engine) == least).collect();
                *ties[self.rng.random_range(0..ties.len())]
            }
            Policy::Sticky => usable.iter().copied().max_by_key(|engine| {
                let mut key = asked.affinity.to_le_bytes().to_vec();
                key.push(u8::try_from(*engine).unwrap_or(u8::MAX));
                xxhash_rust::xxh3::xxh3_64(&key)
            })?,
            Policy::Ours => return self.place_ours(asked, now),
        };
        Some(Placement { engine, decision: None })
    }

    fn place_ours(&mut self, asked: Asked<'_>, now: TimeMs) -> Option<Placement> {
        for (number, engine) in self.views.engines.iter_mut().enumerate() {
            engine.is_usable = !self.down_until.contains_key(&number);
        }
        let request =
            PlacementRequest { chain: asked.chain, tokens: asked.tokens, class: asked.class };
        let decision = decide(&self.views, &request, now, &mut self.rng)?;
        self.views.index.touch(asked.chain.blocks());
        Some(Placement { engine: decision.engine.0 as usize, decision: Some(decision) })
    }
}
