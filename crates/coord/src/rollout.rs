//! Plans the roll-out of a weight version over the engines of a model.
//!
//! The plan is made afresh from what the engines report; nothing is remembered between two plans but what silence
//! forces to be assumed, so that a controller can die anywhere and the next one goes on. See
//! `docs/design/endpoint-orders.md`.
//!
//! # Invariant
//!
//! Loads that may run, the unseen ones included, never exceed the limit of the weight store. An order never takes the
//! number of engines that new requests may use below the floor. The version in force changes only to one that enough
//! engines serve.

use bilberryford_types::{EndpointId, WeightVersion};

/// What is known of an engine's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// It reports that it is not loading.
    Idle,
    /// It reports that it is loading, or has an order whose effect was not seen yet.
    Loading,
    /// It does not answer, and may be loading for all that is known.
    Unresponsive,
    /// It has not answered for longer than any load takes.
    Gone,
}

/// An engine as it reported just now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// Which one.
    pub endpoint: EndpointId,
    /// Whether it is leaving, and so gets no order and counts for nothing.
    pub is_leaving: bool,
    /// The versions that new runs may use there.
    pub served: Vec<WeightVersion>,
    /// Whether it loads.
    pub load: LoadState,
}

impl EngineView {
    fn serves(&self, version: &WeightVersion) -> bool {
        !self.is_leaving && self.load == LoadState::Idle && self.served.contains(version)
    }

    fn is_usable(&self) -> bool {
        !self.is_leaving && self.load != LoadState::Gone
    }

    fn may_load(&self) -> bool {
        matches!(self.load, LoadState::Loading | LoadState::Unresponsive)
    }
}

/// What a plan is made from.
#[derive(Debug, Clone, Copy)]
pub struct RolloutView<'a> {
    /// The version that the document asks for.
    pub target: &'a WeightVersion,
    /// The version that new requests take, when one was agreed before.
    pub in_force: Option<&'a WeightVersion>,
    /// The version before it, which new requests may take while too few engines serve the one in force.
    pub previous: Option<&'a WeightVersion>,
    /// Whether every instance has had time to see the version in force.
    pub is_settled: bool,
    /// The engines.
    pub engines: &'a [EngineView],
    /// The fewest engines that new requests must be able to use.
    pub min_available: u32,
    /// How many more loads the weight store can take, before the loads of `engines` are counted.
    pub max_loads: u32,
}

/// Why nothing is ordered although engines lack the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutWait {
    /// The weight store is busy.
    Loads,
    /// An order would go below the floor.
    Floor,
    /// Instances may not yet have seen the version in force.
    Settling,
}

/// What to do now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Agree on this version for new requests, before any order.
    pub put_in_force: Option<WeightVersion>,
    /// Order these engines to load the target.
    pub orders: Vec<EndpointId>,
    /// Why no more is ordered.
    pub wait: Option<RolloutWait>,
    /// How many engines of this model may be loading, without the new orders.
    pub loading: u32,
}

impl RolloutView<'_> {
    /// Plans the next step.
    pub fn plan(&self) -> RolloutPlan {
        let loading = self.count(EngineView::may_load);
        if let Some(version) = self.next_in_force() {
            return RolloutPlan {
                put_in_force: Some(version.clone()),
                loading,
                ..RolloutPlan::default()
            };
        }
        let lacking = self.lacking();
        if lacking.is_empty() {
            return RolloutPlan { loading, ..RolloutPlan::default() };
        }
        if !self.is_settled {
            let wait = Some(RolloutWait::Settling);
            return RolloutPlan { wait, loading, ..RolloutPlan::default() };
        }
        self.order(&lacking, loading)
    }

    fn count(&self, is_counted: impl Fn(&EngineView) -> bool) -> u32 {
        let count = self.engines.iter().filter(|engine| is_counted(engine)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn serving(&self, version: &WeightVersion) -> u32 {
        self.count(|engine| engine.serves(version))
    }

    /// The version to agree on, when it is not the one agreed.
    fn next_in_force(&self) -> Option<&WeightVersion> {
        match self.in_force {
            None => self.most_served(),
            Some(in_force) if in_force == self.target => None,
            Some(_) => self.is_enough().then_some(self.target),
        }
    }

    /// Before anything was agreed: the version of most engines, the target among equals.
    fn most_served(&self) -> Option<&WeightVersion> {
        let versions = self.engines.iter().flat_map(|engine| &engine.served);
        versions
            .filter(|version| self.serving(version) > 0)
            .max_by_key(|version| (self.serving(version), *version == self.target, *version))
    }

    /// Half of the engines serve the target, or as many as can be loaded before the floor is reached.
    fn is_enough(&self) -> bool {
        let usable = self.count(EngineView::is_usable);
        let spare = usable.saturating_sub(self.min_available);
        let enough = usable.div_ceil(2).min(spare).max(1);
        let serving = self.serving(self.target);
        let remaining = self.in_force.map_or(0, |in_force| self.serving(in_force));
        serving >= enough && serving + remaining >= self.min_available
    }

    /// Whether a new request may run there.
    fn is_needed(&self, engine: &EngineView) -> bool {
        self.in_force.iter().chain(&self.previous).any(|version| engine.serves(version))
    }

    /// The order in which engines are loaded: those of no use first, those of the version in force last.
    fn rank(&self, engine: &EngineView) -> u32 {
        let serves_in_force = self.in_force.is_some_and(|version| engine.serves(version));
        u32::from(self.is_needed(engine)) + u32::from(serves_in_force)
    }

    /// Engines that lack the target and can be ordered.
    fn lacking(&self) -> Vec<&EngineView> {
        let mut lacking: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| !engine.is_leaving && engine.load == LoadState::Idle)
            .filter(|engine| !engine.served.contains(self.target))
            .collect();
        lacking.sort_by_key(|engine| (self.rank(engine), engine.endpoint.clone()));
        lacking
    }

    fn order(&self, lacking: &[&EngineView], loading: u32) -> RolloutPlan {
        let mut plan = RolloutPlan { loading, ..RolloutPlan::default() };
        let free = self.max_loads.saturating_sub(loading) as usize;
        let mut serving = self.count(|engine| self.is_needed(engine));
        for engine in lacking {
            if plan.orders.len() >= free {
                plan.wait = Some(RolloutWait::Loads);
                break;
            }
            if self.is_needed(engine) {
                if serving <= self.min_available {
                    plan.wait = Some(RolloutWait::Floor);
                    break;
                }
                serving -= 1;
            }
            plan.orders.push(engine.endpoint.clone());
        }
        plan
    }
}
