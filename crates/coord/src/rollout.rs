//! Plans the roll-out of a weight version over the engines of a model.
//!
//! Each plan is computed from what the engines report. No state is carried from one plan to the next except assumptions
//! about unresponsive engines, so that a controller can fail at any point and its successor continues. See
//! `docs/design/endpoint-orders.md`.
//!
//! # Invariant
//!
//! The loads that may be running, including those on unresponsive engines, never exceed the limit of the weight store.
//! An order never reduces the number of engines that new requests may use below the minimum. The version in force
//! changes only to one that enough engines serve.

use bilberryford_types::{EndpointId, WeightVersion};

/// The loading state of an engine, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadState {
    /// The engine reports that it is not loading.
    Idle,
    /// The engine reports that it is loading, or it has an order whose effect has not been observed yet.
    Loading,
    /// The engine does not respond and may be loading.
    Unresponsive,
    /// The engine has not responded for longer than any load takes.
    Gone,
}

/// The current report of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineView {
    /// The endpoint that is the engine.
    pub endpoint: EndpointId,
    /// True if the engine is leaving: it then receives no order and is not counted.
    pub is_leaving: bool,
    /// The versions that the engine serves to new runs.
    pub served: Vec<WeightVersion>,
    /// Its loading state.
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

/// The input of a plan.
#[derive(Debug, Clone, Copy)]
pub struct RolloutView<'a> {
    /// The version that the configuration document requests.
    pub target: &'a WeightVersion,
    /// The version that new requests use; `None` if no version has been agreed on yet.
    pub in_force: Option<&'a WeightVersion>,
    /// The version in force before, which new requests may use while too few engines serve the one in force.
    pub previous: Option<&'a WeightVersion>,
    /// True if every instance has had time to observe the version in force.
    pub is_settled: bool,
    /// The engines of the model.
    pub engines: &'a [EngineView],
    /// The minimum number of engines that new requests can use.
    pub min_available: u32,
    /// The loads that the weight store allows for these engines, including those that may be running.
    pub max_loads: u32,
}

/// The reason why no further engine is ordered although some lack the target version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutWait {
    /// The weight store's limit of concurrent loads is reached.
    Loads,
    /// An order would leave too few engines for new requests.
    Floor,
    /// Instances may not have observed the version in force yet.
    Settling,
}

/// The actions to take now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutPlan {
    /// Put this version in force for new requests; the plan then has no orders.
    pub put_in_force: Option<WeightVersion>,
    /// Order these engines to load the target version.
    pub orders: Vec<EndpointId>,
    /// The reason why no further engine is ordered.
    pub wait: Option<RolloutWait>,
    /// The number of engines of this model that may be loading, not counting `orders`.
    pub loading: u32,
}

impl RolloutView<'_> {
    /// Computes the next step of the roll-out.
    pub fn plan(&self) -> RolloutPlan {
        let loading = self.count(EngineView::may_load);
        if let Some(version) = self.next_in_force() {
            return RolloutPlan {
                put_in_force: Some(version.clone()),
                loading,
                ..RolloutPlan::default()
            };
        }
        let lacking = self.lacking_target();
        if lacking.is_empty() {
            return RolloutPlan { loading, ..RolloutPlan::default() };
        }
        if !self.is_settled {
            let wait = Some(RolloutWait::Settling);
            return RolloutPlan { wait, loading, ..RolloutPlan::default() };
        }
        self.plan_orders(&lacking, loading)
    }

    fn count(&self, is_counted: impl Fn(&EngineView) -> bool) -> u32 {
        let count = self.engines.iter().filter(|engine| is_counted(engine)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn serving(&self, version: &WeightVersion) -> u32 {
        self.count(|engine| engine.serves(version))
    }

    /// The version to put in force, if that has to change.
    fn next_in_force(&self) -> Option<&WeightVersion> {
        match self.in_force {
            None => self.most_served(),
            Some(in_force) if in_force == self.target => None,
            Some(_) => self.is_target_ready().then_some(self.target),
        }
    }

    /// The version that most engines serve, preferring the target among equals; it is put in force first.
    fn most_served(&self) -> Option<&WeightVersion> {
        let versions = self.engines.iter().flat_map(|engine| &engine.served);
        versions
            .filter(|version| self.serving(version) > 0)
            .max_by_key(|version| (self.serving(version), *version == self.target, *version))
    }

    /// Returns true if enough engines serve the target to put it in force: half of the engines, or as many as can be
    /// loaded without going below the minimum.
    fn is_target_ready(&self) -> bool {
        let usable = self.count(EngineView::is_usable);
        let spare = usable.saturating_sub(self.min_available);
        let enough = usable.div_ceil(2).min(spare).max(1);
        let serving = self.serving(self.target);
        let remaining = self.in_force.map_or(0, |in_force| self.serving(in_force));
        serving >= enough && serving + remaining >= self.min_available
    }

    /// Returns true if new requests may use the engine.
    fn is_available(&self, engine: &EngineView) -> bool {
        self.in_force.iter().chain(&self.previous).any(|version| engine.serves(version))
    }

    /// The priority for loading, lowest first: engines that no new request can use, then those of the previous version,
    /// then those of the version in force.
    fn load_rank(&self, engine: &EngineView) -> u32 {
        let serves_in_force = self.in_force.is_some_and(|version| engine.serves(version));
        u32::from(self.is_available(engine)) + u32::from(serves_in_force)
    }

    /// The engines that lack the target and can be ordered to load it, in the order of loading.
    fn lacking_target(&self) -> Vec<&EngineView> {
        let mut lacking: Vec<_> = self
            .engines
            .iter()
            .filter(|engine| !engine.is_leaving && engine.load == LoadState::Idle)
            .filter(|engine| !engine.served.contains(self.target))
            .collect();
        lacking.sort_by_key(|engine| (self.load_rank(engine), engine.endpoint.clone()));
        lacking
    }

    fn plan_orders(&self, lacking: &[&EngineView], loading: u32) -> RolloutPlan {
        let mut plan = RolloutPlan { loading, ..RolloutPlan::default() };
        let free_loads = self.max_loads.saturating_sub(loading) as usize;
        let mut available = self.count(|engine| self.is_available(engine));
        for engine in lacking {
            if plan.orders.len() >= free_loads {
                plan.wait = Some(RolloutWait::Loads);
                break;
            }
            if self.is_available(engine) {
                if available <= self.min_available {
                    plan.wait = Some(RolloutWait::Floor);
                    break;
                }
                available -= 1;
            }
            plan.orders.push(engine.endpoint.clone());
        }
        plan
    }
}
