//! The document's sections as types.

use bilberryford_types::{
    BytesPerSec, Digest, EnvironmentName, ModelName, PoolName, Priority, ServiceName, Share,
    StoreId, TeamName, WeightVersion,
};
use serde::{Deserialize, Serialize};

/// The whole document of one environment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The environment that the document is for.
    pub environment: EnvironmentName,
    /// What the placement decision weighs.
    #[serde(default)]
    pub placement: PlacementSection,
    /// The teams that may call.
    #[serde(default)]
    pub teams: Vec<TeamSection>,
    /// The pools of endpoints.
    #[serde(default)]
    pub pools: Vec<PoolSection>,
    /// The models that are served.
    #[serde(default)]
    pub models: Vec<ModelSection>,
    /// The plain services that are routed to.
    #[serde(default)]
    pub services: Vec<ServiceSection>,
    /// The stores of cache blocks.
    #[serde(default)]
    pub stores: Vec<StoreSection>,
}

/// Weights of the placement decision; see `docs/design/placement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSection {
    /// The cost in milliseconds of one recomputed token, beyond the time that it takes.
    pub recompute_weight_ms: f64,
    /// The cost in milliseconds of one mebibyte on a scarce link, beyond the time that it takes.
    pub link_weight_ms: f64,
}

impl Default for PlacementSection {
    fn default() -> Self {
        Self { recompute_weight_ms: 0.02, link_weight_ms: 0.2 }
    }
}

/// A team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSection {
    /// The team's name.
    pub name: TeamName,
    /// Digests of the API keys that speak for the team.
    pub key_digests: Vec<Digest>,
    /// The priority of requests that name none; requests may name a lower one, never a higher one.
    #[serde(default)]
    pub priority: Priority,
    /// The team's weight when capacity is short.
    #[serde(default = "default_share")]
    pub share: Share,
    /// The most requests that the team may have in flight over all instances.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
}

fn default_share() -> Share {
    Share(1)
}

fn default_in_flight() -> u32 {
    256
}

/// What the members of a pool are.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PoolKind {
    /// Model engines.
    Engine,
    /// Instances of a plain service.
    Service,
}

/// A pool of endpoints; its members come from the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSection {
    /// The pool's name, as the platform's list gives it.
    pub name: PoolName,
    /// What its members are.
    pub kind: PoolKind,
    /// Whether members refuse an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSection {
    /// The name that callers use.
    pub name: ModelName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The weight version for new requests.
    pub weight_version: WeightVersion,
    /// The least number of members that must stay able to serve during a roll-out.
    #[serde(default = "default_floor")]
    pub min_available: u32,
}

fn default_floor() -> u32 {
    1
}

/// A plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSection {
    /// The name in the path `/services/<name>/…`.
    pub name: ServiceName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// Calls that differ from the defaults; a call that matches none is idempotent only for GET and HEAD.
    #[serde(default)]
    pub routes: Vec<RouteSection>,
}

/// Calls of a service that share a method and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSection {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The start of the path, with a leading slash.
    pub prefix: String,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// For a call that may not be repeated: dispatch once without an idempotency key instead of refusing.
    #[serde(default)]
    pub single_shot: bool,
    /// A path where the outcome of a key can be read; `{key}` stands for the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_path: Option<String>,
    /// Statuses by which the service says that it has not run the call; any other 5xx leaves that open.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_run_statuses: Vec<u16>,
}

/// A store of cache blocks; its address comes from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// The store's name, as the platform's list gives it.
    pub name: StoreId,
    /// The rate of the link to its memory.
    pub memory_link: BytesPerSec,
    /// The rate of the link to its disk.
    pub disk_link: BytesPerSec,
}

impl ServiceSection {
    /// The first route that matches the call.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSection> {
        self.routes.iter().find(|route| route.method == method && path.starts_with(&route.prefix))
    }
}
