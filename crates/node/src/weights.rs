//! Which weight version a new request takes, and where it can run.
//!
//! The version in force of a model stands in one platform object, written by the holder of the roll-out lease under
//! conditional updates. Instances read it and move to higher object versions only, so all of them end at the same one.
//! Until an instance has seen a change it pins new requests to the version before, which is safe: a request is pinned
//! once, and an engine refuses a version that it does not serve. See `docs/design/endpoint-orders.md`.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use bilberryford_document::ModelSection;
use bilberryford_endpoint::ControlReport;
use bilberryford_types::{Fencing, ModelName, ObjectVersion, PoolName, WeightVersion};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::{filters::least_loaded, fleet::Endpoint, node::Node};

/// The content of the platform object of one model's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutRecord {
    /// The model.
    pub(crate) model: ModelName,
    /// The version that new requests take.
    pub(crate) in_force: WeightVersion,
    /// The version before it, for new requests while too few engines serve the one in force.
    pub(crate) previous: Option<WeightVersion>,
    /// The fencing number of the lease under which this was written.
    pub(crate) fencing: Fencing,
}

/// A record with the version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Agreed {
    pub(crate) version: ObjectVersion,
    pub(crate) record: RolloutRecord,
}

/// What this instance knows of versions in force; bounded by the models that the platform's objects name.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    agreed: ArcSwap<HashMap<ModelName, Arc<Agreed>>>,
    /// Rings when an engine refused a version, since the one in force may have changed.
    pub(crate) refused: Notify,
    has_agreed: AtomicBool,
    has_reports: AtomicBool,
}

impl Weights {
    /// Takes a record in; an older one never displaces a newer one.
    pub(crate) fn observe(&self, offered: Agreed) {
        let offered = Arc::new(offered);
        self.agreed.rcu(|known| {
            let mut known = HashMap::clone(known);
            let entry = known.entry(offered.record.model.clone());
            let entry = entry.or_insert_with(|| offered.clone());
            if entry.version < offered.version {
                *entry = offered.clone();
            }
            known
        });
    }

    /// Notes that the versions in force were read once, or can't be read.
    pub(crate) fn note_agreed(&self) {
        self.has_agreed.store(true, Ordering::Release);
    }

    /// Notes that engines were asked once, or can't be.
    pub(crate) fn note_reports(&self) {
        self.has_reports.store(true, Ordering::Release);
    }

    /// Whether a request can be pinned on more than a guess; an instance is not ready before.
    pub(crate) fn is_known(&self) -> bool {
        self.has_agreed.load(Ordering::Acquire) && self.has_reports.load(Ordering::Acquire)
    }

    /// What is agreed for a model.
    pub(crate) fn agreed(&self, model: &ModelName) -> Option<Arc<Agreed>> {
        self.agreed.load().get(model).cloned()
    }
}

/// What an engine last reported of its weights; a view that steers, since the engine itself refuses what it lacks.
#[derive(Debug, Default)]
pub(crate) struct EndpointWeights {
    report: ArcSwapOption<ControlReport>,
}

impl EndpointWeights {
    /// Takes a report in.
    pub(crate) fn observe(&self, report: ControlReport) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Takes in that the engine refused a version.
    pub(crate) fn lacks(&self, version: &WeightVersion) {
        self.report.rcu(|report| {
            let none = ControlReport { weight_versions: Vec::new(), loading: None, fencing: None };
            let mut report = report.as_ref().map_or(none, |report| ControlReport::clone(report));
            report.weight_versions.retain(|served| served != version);
            Some(Arc::new(report))
        });
    }

    /// Whether a new run of `version` may be sent there; an engine that reported nothing may serve anything.
    pub(crate) fn may_serve(&self, version: &WeightVersion) -> bool {
        self.report.load().as_ref().is_none_or(|report| report.serves(version))
    }

    /// Whether it reported that new runs may use `version`; none when it reported nothing.
    pub(crate) fn serves(&self, version: &WeightVersion) -> Option<bool> {
        self.report.load().as_ref().map(|report| report.serves(version))
    }

    fn served(&self) -> Vec<WeightVersion> {
        let report = self.report.load();
        let report = report.as_ref().filter(|report| report.loading.is_none());
        report.map(|report| report.weight_versions.clone()).unwrap_or_default()
    }
}

/// An endpoint for a new request, and the version that the request is pinned to.
pub(crate) struct Pinned {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) weight_version: WeightVersion,
}

/// Chooses an endpoint and a version for a new request of `model`, not one of `excluded`.
pub(crate) fn pin(node: &Node, model: &ModelSection, excluded: &[Arc<Endpoint>]) -> Option<Pinned> {
    let (in_force, previous) = match node.weights.agreed(&model.name) {
        Some(agreed) => (agreed.record.in_force.clone(), agreed.record.previous.clone()),
        // Before anything is agreed the document's version holds, as far as an engine serves it.
        None => (model.weight_version.clone(), most_served(node, &model.pool)),
    };
    let table = node.fleet.endpoints();
    let members = table.pool(&model.pool).iter().filter(|endpoint| !endpoint.is_leaving());
    let serving = members.filter(|endpoint| endpoint.weights.may_serve(&in_force)).count();
    let previous = previous.filter(|_| serving < model.min_available as usize);
    // With nobody to serve it, what is agreed has changed unseen: engines know better.
    let reported = if serving == 0 { most_served(node, &model.pool) } else { None };
    let candidates = [Some(in_force.clone()), previous, reported];
    let found = candidates
        .into_iter()
        .flatten()
        .filter_map(|version| {
            let endpoint = choose_serving(node, &model.pool, &version, excluded)?;
            Some(Pinned { endpoint, weight_version: version })
        })
        .min_by_key(|pinned| pinned.endpoint.in_flight());
    // No engine is known to serve it: the view may be late, and an engine refuses what it lacks.
    found.or_else(|| {
        let endpoint = least_loaded(node, &model.pool, excluded)?;
        Some(Pinned { endpoint, weight_version: in_force })
    })
}

/// An endpoint of `pool` that may serve `version`, not one of `excluded`.
pub(crate) fn choose_serving(
    node: &Node,
    pool: &PoolName,
    version: &WeightVersion,
    excluded: &[Arc<Endpoint>],
) -> Option<Arc<Endpoint>> {
    let table = node.fleet.endpoints();
    let lacking = table.pool(pool).iter().filter(|endpoint| !endpoint.weights.may_serve(version));
    let excluded: Vec<_> = excluded.iter().chain(lacking).cloned().collect();
    least_loaded(node, pool, &excluded)
}

fn most_served(node: &Node, pool: &PoolName) -> Option<WeightVersion> {
    let table = node.fleet.endpoints();
    let mut counts: HashMap<WeightVersion, u32> = HashMap::new();
    let members = table.pool(pool).iter().filter(|endpoint| !endpoint.is_leaving());
    for version in members.flat_map(|endpoint| endpoint.weights.served()) {
        *counts.entry(version).or_default() += 1;
    }
    let most = counts.into_iter().max_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
    most.map(|(version, _)| version)
}
