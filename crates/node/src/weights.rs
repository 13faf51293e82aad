//! Weight versions of new requests: the version that a request is pinned to, and the endpoints that can run it.
//!
//! The version in force of a model is in one platform object, which the holder of the roll-out lease writes by
//! conditional updates. Instances read it and move to higher object versions only, so that all of them converge. Until
//! an instance has seen a change, it pins new requests to the previous version, which is safe: a request is pinned
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

/// The content of the platform object of a model's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RolloutRecord {
    /// The model.
    pub(crate) model: ModelName,
    /// The version of new requests.
    pub(crate) in_force: WeightVersion,
    /// The version before it, for new requests while too few engines serve the one in force.
    pub(crate) previous: Option<WeightVersion>,
    /// The fencing number of the lease under which this was written.
    pub(crate) fencing: Fencing,
}

/// A roll-out record with the version of its object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RolloutEntry {
    pub(crate) version: ObjectVersion,
    pub(crate) record: RolloutRecord,
}

/// The roll-out records as read from the platform, one for each model that has an object there.
#[derive(Debug, Default)]
pub(crate) struct Weights {
    rollouts: ArcSwap<HashMap<ModelName, Arc<RolloutEntry>>>,
    /// Notified when an engine refused a version, since the version in force may have changed.
    pub(crate) version_refused: Notify,
    has_read_rollouts: AtomicBool,
    has_read_reports: AtomicBool,
}

impl Weights {
    /// Applies a roll-out record; an older one never replaces a newer one.
    pub(crate) fn apply_rollout(&self, offered: RolloutEntry) {
        let offered = Arc::new(offered);
        self.rollouts.rcu(|known| {
            let mut known = HashMap::clone(known);
            let entry = known.entry(offered.record.model.clone());
            let entry = entry.or_insert_with(|| offered.clone());
            if entry.version < offered.version {
                *entry = offered.clone();
            }
            known
        });
    }

    /// Records that the roll-out records have been read once, or could not be read in time.
    pub(crate) fn mark_rollouts_read(&self) {
        self.has_read_rollouts.store(true, Ordering::Release);
    }

    /// Records that engines have been polled once, or none could be polled in time.
    pub(crate) fn mark_reports_read(&self) {
        self.has_read_reports.store(true, Ordering::Release);
    }

    /// Returns true once roll-out records and engines' reports have been read. An instance is not ready before, since
    /// it would pin requests without knowing which versions are served.
    pub(crate) fn is_initialized(&self) -> bool {
        self.has_read_rollouts.load(Ordering::Acquire)
            && self.has_read_reports.load(Ordering::Acquire)
    }

    /// Returns the roll-out of a model.
    pub(crate) fn rollout(&self, model: &ModelName) -> Option<Arc<RolloutEntry>> {
        self.rollouts.load().get(model).cloned()
    }
}

/// The last report of an engine on its weights. It only steers requests, since an engine refuses a version that it does
/// not serve.
#[derive(Debug, Default)]
pub(crate) struct EndpointWeights {
    report: ArcSwapOption<ControlReport>,
}

impl EndpointWeights {
    /// Replaces the report.
    pub(crate) fn apply_report(&self, report: ControlReport) {
        self.report.store(Some(Arc::new(report)));
    }

    /// Removes a version that the engine refused from the report.
    pub(crate) fn remove_served(&self, version: &WeightVersion) {
        self.report.rcu(|report| {
            let none = ControlReport { weight_versions: Vec::new(), loading: None, fencing: None };
            let mut report = report.as_ref().map_or(none, |report| ControlReport::clone(report));
            report.weight_versions.retain(|served| served != version);
            Some(Arc::new(report))
        });
    }

    /// Returns true if a new run of `version` may be sent to the engine. One without a report may serve any version.
    pub(crate) fn may_serve(&self, version: &WeightVersion) -> bool {
        self.report.load().as_ref().is_none_or(|report| report.serves(version))
    }

    /// Returns true if the engine reported that it serves new runs of `version`, or `None` without a report.
    pub(crate) fn serves(&self, version: &WeightVersion) -> Option<bool> {
        self.report.load().as_ref().map(|report| report.serves(version))
    }

    /// Returns the versions that the engine serves, none while it loads one.
    fn served(&self) -> Vec<WeightVersion> {
        let report = self.report.load();
        let report = report.as_ref().filter(|report| report.loading.is_none());
        report.map(|report| report.weight_versions.clone()).unwrap_or_default()
    }
}

/// An endpoint for a new request, and the version that the request is pinned to.
pub(crate) struct PinnedEndpoint {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(crate) weight_version: WeightVersion,
}

/// Chooses an endpoint that is not in `excluded`, and a version, for a new request of `model`.
pub(crate) fn choose_pinned(
    node: &Node,
    model: &ModelSection,
    excluded: &[Arc<Endpoint>],
) -> Option<PinnedEndpoint> {
    let (in_force, previous) = match node.weights.rollout(&model.name) {
        Some(entry) => (entry.record.in_force.clone(), entry.record.previous.clone()),
        // Without a roll-out record the version of the configuration applies, as far as engines serve it.
        None => (model.weight_version.clone(), most_served(node, &model.pool)),
    };
    let table = node.fleet.endpoints();
    let members = table.pool(&model.pool).iter().filter(|endpoint| !endpoint.is_leaving());
    let serving = members.filter(|endpoint| endpoint.weights.may_serve(&in_force)).count();
    let previous = previous.filter(|_| serving < model.min_available as usize);
    // If no engine serves it, the version in force has changed since it was read, and the reports are more recent.
    let reported = if serving == 0 { most_served(node, &model.pool) } else { None };
    let candidates = [Some(in_force.clone()), previous, reported];
    let found = candidates
        .into_iter()
        .flatten()
        .filter_map(|version| {
            let endpoint = choose_serving(node, &model.pool, &version, excluded)?;
            Some(PinnedEndpoint { endpoint, weight_version: version })
        })
        .min_by_key(|pinned| pinned.endpoint.in_flight());
    // No engine is known to serve any of them. The reports may be outdated, and an engine refuses what it does not
    // serve.
    found.or_else(|| {
        let endpoint = least_loaded(node, &model.pool, excluded)?;
        Some(PinnedEndpoint { endpoint, weight_version: in_force })
    })
}

/// Chooses an endpoint of `pool` that may serve `version` and is not in `excluded`.
pub(crate) fn choose_serving(
    node: &Node,
    pool: &PoolName,
    version: &WeightVersion,
    excluded: &[Arc<Endpoint>],
) -> Option<Arc<Endpoint>> {
    let table = node.fleet.endpoints();
    let not_serving =
        table.pool(pool).iter().filter(|endpoint| !endpoint.weights.may_serve(version));
    let excluded: Vec<_> = excluded.iter().chain(not_serving).cloned().collect();
    least_loaded(node, pool, &excluded)
}

/// Returns the version that the most engines of `pool` serve.
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
