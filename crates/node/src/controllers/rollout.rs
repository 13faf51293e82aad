//! Rolls weight versions out, under one lease for each environment's weight store.
//!
//! Every step reads what engines report and plans afresh, so that a controller that takes over goes on where the last
//! one stopped. What is kept between steps only makes it more careful: orders whose effect was not seen yet, and since
//! when an engine is silent. See `docs/design/endpoint-orders.md`.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bilberryford_coord::{EngineView, LoadState, RolloutPlan, RolloutView, RolloutWait};
use bilberryford_document::ModelSection;
use bilberryford_endpoint::{ControlReport, EndpointError, OrderError, WeightOrder};
use bilberryford_platform::{ObjectKey, ObjectKind, Precondition};
use bilberryford_types::{EndpointId, EventKind, ModelName, ObjectVersion, TimeMs, WeightVersion};
use futures::{StreamExt, stream};
use tokio::time::sleep;

use super::weights::{AGREED_POLL_MS, read_agreed, record_prefix};
use crate::{
    fleet::Endpoint,
    leases::LeaseKeeper,
    node::Node,
    weights::{Agreed, RolloutRecord},
};

/// How often the holder looks, in milliseconds.
const STEP_MS: u64 = 250;
/// The most loads at once from a weight store.
const MAX_LOADS: u32 = 2;
/// The deadline of a report, in milliseconds.
const REPORT_TIMEOUT_MS: u64 = 500;
/// How many engines are asked at once.
const REPORTS_AT_ONCE: usize = 32;
/// How long an order counts as a load although none is reported, in milliseconds.
const ORDER_UNSEEN_MS: u64 = 3_000;
/// How long a silent engine counts as loading: longer than any load takes, in milliseconds.
const LONGEST_LOAD_MS: u64 = 30_000;
/// How long instances have to see a change of the version in force: two reads may fail, in milliseconds.
const SETTLE_MS: u64 = 2 * AGREED_POLL_MS + 1_000;

/// Runs until the instance leaves.
pub(crate) async fn run(node: Arc<Node>) {
    let name = format!("{}.rollout", node.settings.environment);
    let Ok(name) = name.parse() else { return };
    let keeper = LeaseKeeper::new(node.clone(), name);
    let mut controller = Controller { node, keeper, seen: Seen::default() };
    while !controller.node.is_leaving() {
        controller.keeper.tick().await;
        if controller.keeper.is_held() {
            controller.step().await;
        } else {
            controller.seen = Seen::default();
        }
        sleep(Duration::from_millis(STEP_MS)).await;
    }
    controller.keeper.release().await;
}

/// What the controller has seen since it holds the lease.
#[derive(Default)]
struct Seen {
    ordered: HashMap<EndpointId, TimeMs>,
    silent: HashMap<EndpointId, TimeMs>,
    agreed: HashMap<ModelName, (ObjectVersion, TimeMs)>,
    waits: HashMap<ModelName, Option<RolloutWait>>,
}

struct Controller {
    node: Arc<Node>,
    keeper: LeaseKeeper,
    seen: Seen,
}

/// An engine with what it answered just now.
struct Answered {
    endpoint: Arc<Endpoint>,
    report: Result<ControlReport, EndpointError>,
}

impl Controller {
    async fn step(&mut self) {
        let Some(in_force) = self.node.in_force() else { return };
        let Ok(agreed) = read_agreed(&self.node).await else { return };
        let now = self.node.now();
        for agreed in &agreed {
            let seen = self.seen.agreed.entry(agreed.record.model.clone());
            let seen = seen.or_insert((agreed.version, now));
            if seen.0 != agreed.version {
                *seen = (agreed.version, now);
            }
            self.node.weights.observe(agreed.clone());
        }
        let mut loads_left = MAX_LOADS;
        let mut views = Vec::new();
        for model in &in_force.document.models {
            let engines = self.views(model).await;
            let loading = engines.iter().filter(|engine| engine.load != LoadState::Idle);
            let loading = loading.filter(|engine| engine.load != LoadState::Gone).count();
            loads_left = loads_left.saturating_sub(u32::try_from(loading).unwrap_or(u32::MAX));
            views.push((model, engines, u32::try_from(loading).unwrap_or(u32::MAX)));
        }
        for (model, engines, loading) in views {
            let known = agreed.iter().find(|agreed| agreed.record.model == model.name);
            let plan = self.plan(model, known, &engines, loading.saturating_add(loads_left));
            loads_left = loads_left.saturating_sub(u32::try_from(plan.orders.len()).unwrap_or(0));
            self.carry_out(model, known, plan).await;
        }
    }

    fn plan(
        &mut self,
        model: &ModelSection,
        known: Option<&Agreed>,
        engines: &[EngineView],
        max_loads: u32,
    ) -> RolloutPlan {
        let since = self.seen.agreed.get(&model.name).map(|(_, since)| *since);
        let now = self.node.now();
        RolloutView {
            target: &model.weight_version,
            in_force: known.map(|known| &known.record.in_force),
            previous: known.and_then(|known| known.record.previous.as_ref()),
            is_settled: since.is_some_and(|since| now.since(since) >= TimeMs(SETTLE_MS)),
            engines,
            min_available: model.min_available,
            max_loads,
        }
        .plan()
    }

    async fn carry_out(&mut self, model: &ModelSection, known: Option<&Agreed>, plan: RolloutPlan) {
        self.tell_wait(model, plan.wait);
        if let Some(version) = plan.put_in_force {
            self.put_in_force(model, known, version).await;
            return;
        }
        for endpoint in plan.orders {
            self.order(&endpoint, &model.weight_version).await;
        }
    }

    /// Writes an event when the reason for waiting changes.
    fn tell_wait(&mut self, model: &ModelSection, wait: Option<RolloutWait>) {
        if self.seen.waits.insert(model.name.clone(), wait) == Some(wait) {
            return;
        }
        self.node.events.write(EventKind::RolloutState, |event| {
            let wait = wait.map_or_else(|| "none".to_owned(), |wait| wait.to_string());
            event.detail =
                format!("{} target {} waits for {wait}", model.name, model.weight_version);
        });
    }

    async fn views(&mut self, model: &ModelSection) -> Vec<EngineView> {
        let table = self.node.fleet.endpoints();
        let ask = |endpoint: Arc<Endpoint>| async move {
            let report = endpoint.control.report(TimeMs(REPORT_TIMEOUT_MS)).await;
            Answered { endpoint, report }
        };
        let answers: Vec<_> = stream::iter(table.pool(&model.pool).to_vec())
            .map(ask)
            .buffer_unordered(REPORTS_AT_ONCE)
            .collect()
            .await;
        let is_listed = |id: &EndpointId, _: &mut TimeMs| table.get(id).is_some();
        self.seen.ordered.retain(is_listed);
        self.seen.silent.retain(is_listed);
        answers.into_iter().map(|answer| self.view(answer)).collect()
    }

    fn view(&mut self, Answered { endpoint, report }: Answered) -> EngineView {
        let now = self.node.now();
        let (served, load) = match report {
            Ok(report) => {
                self.seen.silent.remove(&endpoint.id);
                endpoint.weights.observe(report.clone());
                let load = self.load_state(&endpoint.id, &report, now);
                (report.weight_versions, load)
            }
            // It answers, but not as an engine that takes orders.
            Err(EndpointError::Refused { .. }) => (Vec::new(), LoadState::Gone),
            Err(_) => {
                let since = *self.seen.silent.entry(endpoint.id.clone()).or_insert(now);
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

    /// An order that is not yet seen at the engine may still arrive there.
    fn load_state(&mut self, id: &EndpointId, report: &ControlReport, now: TimeMs) -> LoadState {
        if report.loading.is_some() {
            self.seen.ordered.remove(id);
            return LoadState::Loading;
        }
        let ordered = self.seen.ordered.get(id);
        match ordered.is_some_and(|at| now.since(*at) < TimeMs(ORDER_UNSEEN_MS)) {
            true => LoadState::Loading,
            false => LoadState::Idle,
        }
    }

    async fn put_in_force(
        &mut self,
        model: &ModelSection,
        known: Option<&Agreed>,
        version: WeightVersion,
    ) {
        let name = format!("{}{}", record_prefix(&self.node.settings.environment), model.name);
        let Ok(name) = name.parse() else { return };
        let Some(permit) = self.keeper.permit(true) else { return };
        if known.is_some_and(|known| known.record.fencing > permit.fencing) {
            return self.keeper.give_up();
        }
        let record = RolloutRecord {
            model: model.name.clone(),
            in_force: version,
            previous: known.map(|known| known.record.in_force.clone()),
            fencing: permit.fencing,
        };
        let key = ObjectKey::new(ObjectKind::Rollout, name);
        let precondition =
            known.map_or(Precondition::Absent, |known| Precondition::Version(known.version));
        let body = serde_json::to_vec(&record).unwrap_or_default().into();
        // A lost answer needs nothing: the next step reads the object.
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
        // An unseen order of the holder before counts against the weight store, so its longest time is waited out
        // also where numbers are checked.
        let Some(permit) = self.keeper.permit(false) else { return };
        let order = WeightOrder { weight_version: version.clone(), fencing: permit.fencing };
        self.seen.ordered.insert(id.clone(), self.node.now());
        let result = endpoint.control.order(&order, LeaseKeeper::longest_order()).await;
        self.node.events.write(EventKind::EndpointOrdered, |event| {
            event.endpoint = Some(id.clone());
            let end = result.as_ref().map_or_else(ToString::to_string, |()| "taken".to_owned());
            event.detail = format!("load {version} fencing {}: {end}", permit.fencing);
        });
        match result {
            Err(OrderError::OldFencing) => self.keeper.give_up(),
            Err(OrderError::Endpoint(EndpointError::Connect { .. })) => {
                self.seen.ordered.remove(id);
            }
            _ => {}
        }
    }
}
