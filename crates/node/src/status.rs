//! The status that `bilberryford status` shows: a view that one instance writes, and that serving does not depend on.

use std::collections::BTreeMap;

use bilberryford_coord::Liveness;
use bilberryford_document::ModelSection;
use bilberryford_platform::{ObjectKey, ObjectKind};
use bilberryford_types::{
    DataCentreId, EndpointId, EnvironmentName, Generation, IdError, InstanceId, ModelName,
    OrderKey, PoolName, TeamName, TimeMs, WeightVersion,
};
use serde::{Deserialize, Serialize};

use crate::{events::wall_ms, node::Node};

/// Maximum number of rows of each list in a status.
const MAX_ROWS: usize = 1_024;

/// The content of the platform object with an environment's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusObject {
    /// The instance that wrote it.
    pub written_by: InstanceId,
    /// When it was written, by the writer's wall clock, in milliseconds since the Unix epoch.
    pub written_ms: TimeMs,
    /// The state of the environment.
    #[serde(flatten)]
    pub view: StatusView,
}

/// The state of the environment as the writer sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// The highest generation that an instance has in force.
    pub generation: Generation,
    /// The instances.
    pub instances: Vec<InstanceStatus>,
    /// The pools of endpoints.
    pub pools: Vec<PoolStatus>,
    /// Roll-outs of weights in progress; `None` while the writer has not read any yet.
    pub roll_outs: Option<Vec<RollOutStatus>>,
    /// Orders whose outcome the writer does not know; other instances count theirs on `/metrics`.
    pub orders_in_doubt: Option<Vec<OrderInDoubt>>,
    /// Number of quarantined requests that the writer knows; `None` from a writer of an earlier release.
    pub quarantined: Option<u64>,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its state: alive, suspect, leaving or failed.
    pub state: String,
    /// The generation that it has in force.
    pub generation: Generation,
}

/// The endpoints of a pool by state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// Number of endpoints that take new work.
    pub live: u64,
    /// Endpoints that get no new work.
    pub leaving: Vec<EndpointId>,
}

/// A roll-out of weights.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOutStatus {
    /// The model.
    pub model: ModelName,
    /// The version that is being loaded.
    pub weight_version: WeightVersion,
    /// Number of endpoints that serve it.
    pub done: u64,
    /// Number of endpoints that are to serve it.
    pub wanted: u64,
}

/// An order whose outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderInDoubt {
    /// The team.
    pub team: TeamName,
    /// The order.
    pub order: OrderKey,
}

impl StatusView {
    /// Returns the instances that have not failed and have a generation below `accepted` in force.
    pub fn laggards(&self, accepted: Generation) -> impl Iterator<Item = &InstanceStatus> {
        self.instances.iter().filter(move |instance| {
            instance.generation < accepted && instance.state != Liveness::Failed.to_string()
        })
    }
}

/// Returns the key of the platform object that holds the status of `environment`.
///
/// # Errors
///
/// [`IdError`] if the environment's name is not a valid object name.
pub fn status_key(environment: &EnvironmentName) -> Result<ObjectKey, IdError> {
    Ok(ObjectKey::new(ObjectKind::Status, environment.as_str().parse()?))
}

impl Node {
    /// Returns the status that this instance would write now.
    pub(crate) fn status(&self) -> StatusObject {
        StatusObject {
            written_by: self.settings.instance.clone(),
            written_ms: wall_ms(),
            view: self.status_view(),
        }
    }

    /// Returns the part of the status that does not change with time alone.
    pub(crate) fn status_view(&self) -> StatusView {
        let instances = self.instance_statuses();
        StatusView {
            generation: instances.iter().map(|one| one.generation).max().unwrap_or_default(),
            instances,
            pools: self.pool_statuses(),
            roll_outs: self.weights.is_initialized().then(|| self.roll_outs()),
            orders_in_doubt: Some(self.orders_in_doubt()),
            quarantined: Some(self.quarantined_count()),
        }
    }

    /// Returns the number of quarantined requests that this instance knows.
    pub(crate) fn quarantined_count(&self) -> u64 {
        self.quarantine.lock().quarantined_count(self.now()) as u64
    }

    /// Returns the roll-outs in progress: of models with another version than the target in force, or with an engine
    /// that reports that it does not serve the target.
    fn roll_outs(&self) -> Vec<RollOutStatus> {
        let Some(in_force) = self.in_force() else { return Vec::new() };
        let models = in_force.document.models.iter();
        models.filter_map(|model| self.roll_out(model)).take(MAX_ROWS).collect()
    }

    fn roll_out(&self, model: &ModelSection) -> Option<RollOutStatus> {
        let target = &model.weight_version;
        let table = self.fleet.endpoints();
        let members = table.pool(&model.pool).iter().filter(|endpoint| !endpoint.is_leaving());
        let served: Vec<_> = members.map(|endpoint| endpoint.weights.serves(target)).collect();
        let is_in_force =
            self.weights.rollout(&model.name).is_none_or(|entry| entry.record.in_force == *target);
        let is_in_progress = !is_in_force || served.contains(&Some(false));
        is_in_progress.then(|| RollOutStatus {
            model: model.name.clone(),
            weight_version: target.clone(),
            done: served.iter().filter(|served| **served == Some(true)).count() as u64,
            wanted: served.len() as u64,
        })
    }

    /// Returns the orders whose outcome this instance does not know, by team and key.
    pub(crate) fn orders_in_doubt(&self) -> Vec<OrderInDoubt> {
        let now = self.now();
        let retention = self.settings.order_retention;
        let mut orders = self.orders.in_doubt.list(now, retention);
        orders.sort_by(|one, other| (&one.team, &one.order).cmp(&(&other.team, &other.order)));
        orders
    }

    fn instance_statuses(&self) -> Vec<InstanceStatus> {
        let state = if self.is_leaving() { Liveness::Leaving } else { Liveness::Alive };
        let local = InstanceStatus {
            instance: self.settings.instance.clone(),
            data_centre: self.settings.data_centre.clone(),
            state: state.to_string(),
            generation: self.generation(),
        };
        let others = self.members.peers().into_iter().map(|(record, state)| InstanceStatus {
            instance: record.instance,
            data_centre: record.data_centre,
            state: state.to_string(),
            generation: record.generation,
        });
        let mut all: Vec<_> = [local].into_iter().chain(others).take(MAX_ROWS).collect();
        all.sort_by(|one, other| one.instance.cmp(&other.instance));
        all
    }

    fn pool_statuses(&self) -> Vec<PoolStatus> {
        let mut pools = BTreeMap::new();
        for endpoint in self.fleet.endpoints().all() {
            let pool = pools.entry(endpoint.pool.clone()).or_insert_with(|| PoolStatus {
                pool: endpoint.pool.clone(),
                live: 0,
                leaving: Vec::new(),
            });
            if !endpoint.is_leaving() {
                pool.live += 1;
            } else if pool.leaving.len() < MAX_ROWS {
                pool.leaving.push(endpoint.id.clone());
            }
        }
        let mut pools: Vec<_> = pools.into_values().collect();
        pools.iter_mut().for_each(|pool| pool.leaving.sort());
        pools
    }
}
