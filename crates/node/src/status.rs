//! What `bilberryford status` shows. Nobody needs it to serve; it is a view, written by one instance now and then.

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

/// The most rows of each list in a status.
const MAX_ROWS: usize = 1_024;

/// The content of the platform object with an environment's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusObject {
    /// Who wrote it.
    pub written_by: InstanceId,
    /// When, by the writer's wall clock, in milliseconds since the Unix epoch.
    pub written_ms: TimeMs,
    /// What the members see.
    #[serde(flatten)]
    pub view: StatusView,
}

/// What the writer sees of the environment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// The highest generation that an instance has in force.
    pub generation: Generation,
    /// The instances.
    pub instances: Vec<InstanceStatus>,
    /// The pools of endpoints.
    pub pools: Vec<PoolStatus>,
    /// Roll-outs of weights under way; none while the writer has not read any yet.
    pub roll_outs: Option<Vec<RollOutStatus>>,
    /// Orders whose fate the writer does not know; other instances count theirs on `/metrics`.
    pub orders_in_doubt: Option<Vec<OrderInDoubt>>,
    /// How many requests may not run again, as the writer knows; none from an older writer.
    pub quarantined: Option<u64>,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it is taken to be: alive, suspect, leaving or failed.
    pub state: String,
    /// What it has in force.
    pub generation: Generation,
}

/// The endpoints of a pool by state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// How many endpoints take new work.
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
    /// How many endpoints serve it.
    pub done: u64,
    /// How many endpoints shall serve it.
    pub wanted: u64,
}

/// An order whose fate is not known.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderInDoubt {
    /// The team.
    pub team: TeamName,
    /// The order.
    pub order: OrderKey,
}

impl StatusView {
    /// Instances that serve with a generation below `accepted`.
    pub fn laggards(&self, accepted: Generation) -> impl Iterator<Item = &InstanceStatus> {
        self.instances.iter().filter(move |instance| {
            instance.generation < accepted && instance.state != Liveness::Failed.to_string()
        })
    }
}

/// The platform object that holds the status of `environment`.
///
/// # Errors
///
/// [`IdError`] when the environment's name can't be an object's name.
pub fn status_key(environment: &EnvironmentName) -> Result<ObjectKey, IdError> {
    Ok(ObjectKey::new(ObjectKind::Status, environment.as_str().parse()?))
}

impl Node {
    /// The status as this instance would write it now.
    pub(crate) fn status(&self) -> StatusObject {
        StatusObject {
            written_by: self.settings.instance.clone(),
            written_ms: wall_ms(),
            view: self.status_view(),
        }
    }

    /// The part of the status that does not change by itself.
    pub(crate) fn status_view(&self) -> StatusView {
        let instances = self.instance_statuses();
        StatusView {
            generation: instances.iter().map(|one| one.generation).max().unwrap_or_default(),
            instances,
            pools: self.pool_statuses(),
            roll_outs: self.weights.is_known().then(|| self.roll_outs()),
            orders_in_doubt: Some(self.orders_in_doubt()),
            quarantined: Some(self.quarantined_count()),
        }
    }

    /// How many requests this instance knows to be in quarantine.
    pub(crate) fn quarantined_count(&self) -> u64 {
        self.quarantine.lock().quarantined_count(self.now()) as u64
    }

    /// A roll-out is under way while another version is agreed or an engine reports that it lacks the wished one.
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
        let is_agreed =
            self.weights.agreed(&model.name).is_none_or(|agreed| agreed.record.in_force == *target);
        let is_under_way = !is_agreed || served.contains(&Some(false));
        is_under_way.then(|| RollOutStatus {
            model: model.name.clone(),
            weight_version: target.clone(),
            done: served.iter().filter(|served| **served == Some(true)).count() as u64,
            wanted: served.len() as u64,
        })
    }

    /// Orders whose fate this instance does not know.
    pub(crate) fn orders_in_doubt(&self) -> Vec<OrderInDoubt> {
        let now = self.now();
        let retention = self.settings.order_retention;
        let mut orders = self.orders.in_doubt.list(now, retention);
        orders.sort_by(|one, other| (&one.team, &one.order).cmp(&(&other.team, &other.order)));
        orders
    }

    fn instance_statuses(&self) -> Vec<InstanceStatus> {
        let state = if self.is_leaving() { Liveness::Leaving } else { Liveness::Alive };
        let own = InstanceStatus {
            instance: self.settings.instance.clone(),
            data_centre: self.settings.data_centre.clone(),
            state: state.to_string(),
            generation: self.generation(),
        };
        let others = self.members.all().into_iter().map(|(record, state)| InstanceStatus {
            instance: record.instance,
            data_centre: record.data_centre,
            state: state.to_string(),
            generation: record.generation,
        });
        let mut all: Vec<_> = [own].into_iter().chain(others).take(MAX_ROWS).collect();
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
