//! Rolls out weight versions, under one lease for the weight store of an environment.
//!
//! Every step reads the engines' reports and plans from scratch, so that a controller that takes over continues where
//! the previous one stopped. State that is kept between steps only makes the controller more cautious: orders whose
//! effect has not been seen yet, and since when engines are silent. See `docs/design/endpoint-orders.md`.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bilberryford_coord::{EngineView, LoadState, RolloutPlan, RolloutView, RolloutWait};
use bilberryford_document::ModelSection;
use bilberryford_endpoint::{ControlReport, EndpointError, OrderError, WeightOrder};
use bilberryford_platform::{ObjectKey, ObjectKind, Precondition};
use bilberryford_types::{EndpointId, EventKind, ModelName, ObjectVersion, TimeMs, WeightVersion};
use futures::{StreamExt, stream};
use tokio::time::sleep;

use super::weights::{ROLLOUT_POLL_MS, read_rollouts, record_prefix};
use crate::{
    fleet::Endpoint,
    leases::LeaseDriver,
    node::Node,
    weights::{RolloutEntry, RolloutRecord},
};

/// Time between two steps, in milliseconds.
const STEP_MS: u64 = 250;
/// Maximum number of concurrent loads from a weight store.
const MAX_LOADS: u32 = 2;
/// Deadline of a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Maximum number of engines that are polled concurrently.
const MAX_CONCURRENT_REPORTS: usize = 32;
/// How long an order counts as a load although the engine reports none, in milliseconds.
const UNSEEN_ORDER_MS: u64 = 3_000;
/// How long a silent engine counts as loading, in milliseconds; longer than any load takes.
const LONGEST_LOAD_MS: u64 = 30_000;
/// Time for all instances to see a change of the version in force although two reads fail, in milliseconds.
const SETTLE_MS: u64 = 2 * ROLLOUT_POLL_MS + 1_000;

/// Runs until the instance leaves.
pub(crate) async fn run(node: Arc<Node>) {
    let name = format!("{}.rollout", node.settings.environment);
    let Ok(name) = name.parse() else { return };
    let lease = LeaseDriver::new(node.clone(), name);
    let mut controller = Controller { node, lease, observations: Observations::default() };
    while !controller.node.is_leaving() {
        controller.lease.tick().await;
        if controller.lease.is_held() {
            controller.step().await;
        } else {
            controller.observations = Observations::default();
        }
        sleep(Duration::from_millis(STEP_MS)).await;
    }
    controller.lease.release().await;
}

/// Observations since the lease was acquired.
#[derive(Default)]
struct Observations {
    /// When the last order was sent to each engine that has not reported a load in progress since.
    ordered: HashMap<EndpointId, TimeMs>,
    silent_since: HashMap<EndpointId, TimeMs>,
    /// Object version of each roll-out record, and when it was first read.
    rollouts: HashMap<ModelName, (ObjectVersion, TimeMs)>,
    /// The last reported reason for waiting of each model.
    waits: HashMap<ModelName, Option<RolloutWait>>,
}

struct Controller {
    node: Arc<Node>,
    lease: LeaseDriver,
    observations: Observations,
}

/// An engine with the result of polling it.
struct PolledEngine {
    endpoint: Arc<Endpoint>,
    report: Result<ControlReport, EndpointError>,
}

impl Controller {
    async fn step(&mut self) {
        let Some(in_force) = self.node.in_force() else { return };
        let Ok(rollouts) = read_rollouts(&self.node).await else { return };
        let now = self.node.now();
        for entry in &rollouts {
            let seen = self.observations.rollouts.entry(entry.record.model.clone());
            let seen = seen.or_insert((entry.version, now));
            if seen.0 != entry.version {
                *seen = (entry.version, now);
            }
            self.node.weights.apply_rollout(entry.clone());
        }
        let mut loads_left = MAX_LOADS;
        let mut views = Vec::new();
        for model in &in_force.document.models {
            let engines = self.engine_views(model).await;
            let loading = engines.iter().filter(|engine| engine.load != LoadState::Idle);
            let loading = loading.filter(|engine| engine.load != LoadState::Gone).count();
            loads_left = loads_left.saturating_sub(u32::try_from(loading).unwrap_or(u32::MAX));
            views.push((model, engines, u32::try_from(loading).unwrap_or(u32::MAX)));
        }
        for (model, engines, loading) in views {
            let current = rollouts.iter().find(|entry| entry.record.model == model.name);
            let plan = self.plan(model, current, &engines, loading.saturating_add(loads_left));
            loads_left = loads_left.saturating_sub(u32::try_from(plan.orders.len()).unwrap_or(0));
            self.execute(model, current, plan).await;
        }
    }

    fn plan(
        &mut self,
        model: &ModelSection,
        current: Option<&RolloutEntry>,
        engines: &[EngineView],
        max_loads: u32,
    ) -> RolloutPlan {
        let since = self.observations.rollouts.get(&model.name).map(|(_, since)| *since);
        let now = self.node.now();
        RolloutView {
            target: &model.weight_version,
            in_force: current.map(|current| &current.record.in_force),
            previous: current.and_then(|current| current.record.previous.as_ref()),
            is_settled: since.is_some_and(|since| now.since(since) >= TimeMs(SETTLE_MS)),
            engines,
            min_available: model.min_available,
            max_loads,
        }
        .plan()
    }

    async fn execute(
        &mut self,
        model: &ModelSection,
        current: Option<&RolloutEntry>,
        plan: RolloutPlan,
    ) {
        self.report_wait(model, plan.wait);
        if let Some(version) = plan.put_in_force {
            self.put_in_force(model, current, version).await;
            return;
        }
        for endpoint in plan.orders {
            self.order(&endpoint, &model.weight_version).await;
        }
    }

    /// Writes an event when the reason for waiting changes.
    fn report_wait(&mut self, model: &ModelSection, wait: Option<RolloutWait>) {
        if self.observations.waits.insert(model.name.clone(), wait) == Some(wait) {
            return;
        }
        self.node.events.write(EventKind::RolloutState, |event| {
            let wait = wait.map_or_else(|| "none".to_owned(), |wait| wait.to_string());
            event.detail =
                format!("{} target {} waits for {wait}", model.name, model.weight_version);
        });
    }

    async fn engine_views(&mut self, model: &ModelSection) -> Vec<EngineView> {
        let table = self.node.fleet.endpoints();
        let poll = |endpoint: Arc<Endpoint>| async move {
            let report = endpoint.control.read_report(TimeMs(REPORT_TIMEOUT_MS)).await;
            PolledEngine { endpoint, report }
        };
        let polled: Vec<_> = stream::iter(table.pool(&model.pool).to_vec())
            .map(poll)
            .buffer_unordered(MAX_CONCURRENT_REPORTS)
            .collect()
            .await;
        let is_listed = |id: &EndpointId, _: &mut TimeMs| table.get(id).is_some();
        self.observations.ordered.retain(is_listed);
        self.observations.silent_since.retain(is_listed);
        polled.into_iter().map(|polled| self.engine_view(polled)).collect()
    }

    fn engine_view(&mut self, PolledEngine { endpoint, report }: PolledEngine) -> EngineView {
        let now = self.node.now();
        let (served, load) = match report {
            Ok(report) => {
                self.observations.silent_since.remove(&endpoint.id);
                endpoint.weights.apply_report(report.clone());
                let load = self.load_state(&endpoint.id, &report, now);
                (report.weight_versions, load)
            }
            // It replies, but does not take weight orders.
            Err(EndpointError::Refused { .. }) => (Vec::new(), LoadState::Gone),
            Err(_) => {
                let since =
                    *self.observations.silent_since.entry(endpoint.id.clone()).or_insert(now);
                let is_gone = now.since(since) >= TimeMs(LONGEST_LOAD_MS);
                (Vec::new(), if is_gone { LoadState::Gone } else { LoadState::Unresponsive })
            }
        };
        EngineView {
            endpoint: endpoint.id.clone(),
            is_leaving: endpoint.is_leaving(),
            served,
            load,
        }
    }

    /// Returns the load state of an engine that replied. A recent order whose load it does not report may still arrive.
    fn load_state(&mut self, id: &EndpointId, report: &ControlReport, now: TimeMs) -> LoadState {
        if report.loading.is_some() {
            self.observations.ordered.remove(id);
            return LoadState::Loading;
        }
        let ordered = self.observations.ordered.get(id);
        match ordered.is_some_and(|at| now.since(*at) < TimeMs(UNSEEN_ORDER_MS)) {
            true => LoadState::Loading,
            false => LoadState::Idle,
        }
    }

    async fn put_in_force(
        &mut self,
        model: &ModelSection,
        current: Option<&RolloutEntry>,
        version: WeightVersion,
    ) {
        let name = format!("{}{}", record_prefix(&self.node.settings.environment), model.name);
        let Ok(name) = name.parse() else { return };
        let Some(permit) = self.lease.permit(true) else { return };
        if current.is_some_and(|current| current.record.fencing > permit.fencing) {
            return self.lease.give_up();
        }
        let record = RolloutRecord {
            model: model.name.clone(),
            in_force: version,
            previous: current.map(|current| current.record.in_force.clone()),
            fencing: permit.fencing,
        };
        let key = ObjectKey::new(ObjectKind::Rollout, name);
        let precondition =
            current.map_or(Precondition::Absent, |current| Precondition::Version(current.version));
        let body = serde_json::to_vec(&record).unwrap_or_default().into();
        // A lost reply needs no handling, since the next step reads the object.
        if let Ok(version) = self.node.objects.put(&key, precondition, body).await {
            self.node.events.write(EventKind::RolloutState, |event| {
                event.object_version = Some(version);
                event.detail = format!("{} in force {}", record.model, record.in_force);
            });
        }
    }

    async fn order(&mut self, id: &EndpointId, version: &WeightVersion) {
        let table = self.node.fleet.endpoints();
        let Some(endpoint) = table.get(id) else { return };
        // An order of the previous holder that is still in transit counts against the limit of the weight store, so
        // its longest duration is waited out even where the engine checks fencing numbers.
        let Some(permit) = self.lease.permit(false) else { return };
        let order = WeightOrder { weight_version: version.clone(), fencing: permit.fencing };
        self.observations.ordered.insert(id.clone(), self.node.now());
        let result = endpoint.control.send_order(&order, LeaseDriver::max_order_duration()).await;
        self.node.events.write(EventKind::EndpointOrdered, |event| {
            event.endpoint = Some(id.clone());
            let outcome = result.as_ref().map_or_else(ToString::to_string, |()| "taken".to_owned());
            event.detail = format!("load {version} fencing {}: {outcome}", permit.fencing);
        });
        match result {
            Err(OrderError::StaleFencing) => self.lease.give_up(),
            Err(OrderError::Endpoint(EndpointError::Connect { .. })) => {
                self.observations.ordered.remove(id);
            }
            _ => {}
        }
    }
}
