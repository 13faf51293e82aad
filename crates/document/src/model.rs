//! The sections of a document.

use bilberryford_types::{
    BytesPerSec, Digest, EnvironmentName, ModelName, PoolName, Priority, ServiceName, Share,
    StoreId, TeamName, WeightVersion,
};
use serde::{Deserialize, Serialize};

/// The document of one environment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The environment that the document is for.
    pub environment: EnvironmentName,
    /// The weights of the placement decision.
    #[serde(default)]
    pub placement: PlacementSection,
    /// The teams that may send requests.
    #[serde(default)]
    pub teams: Vec<TeamSection>,
    /// The pools of endpoints.
    #[serde(default)]
    pub pools: Vec<PoolSection>,
    /// The models that are served.
    #[serde(default)]
    pub models: Vec<ModelSection>,
    /// The plain services that requests are routed to.
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
    /// The cost of one recomputed token, in milliseconds, in addition to the time that it takes.
    pub recompute_weight_ms: f64,
    /// The cost of one mebibyte on a scarce link, in milliseconds, in addition to the time that it takes.
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
    /// The digests of the team's API keys.
    pub key_digests: Vec<Digest>,
    /// The default priority of the team's requests; a request may ask for a lower one, but not for a higher one.
    #[serde(default)]
    pub priority: Priority,
    /// The team's weight in the division of scarce capacity.
    #[serde(default = "default_share")]
    pub share: Share,
    /// The limit on the team's requests in flight, over all instances.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
}

fn default_share() -> Share {
    Share(1)
}

fn default_in_flight() -> u32 {
    256
}

/// The kind of a pool's endpoints.
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

/// A pool of endpoints. Its members come from the platform's list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSection {
    /// The pool's name in the platform's list.
    pub name: PoolName,
    /// The kind of its members.
    pub kind: PoolKind,
    /// True if the members refuse an order with an old fencing number.
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
    /// The minimum number of members that stay able to serve during a roll-out.
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
    /// The routes that differ from the defaults; a call that matches none is idempotent only if it is a GET or HEAD.
    #[serde(default)]
    pub routes: Vec<RouteSection>,
}

/// A route of a service: its calls with one method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSection {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path prefix, with a leading slash.
    pub prefix: String,
    /// True if the call may be retried.
    pub idempotent: bool,
    /// True if a call that is not idempotent and has no idempotency key is dispatched once instead of refused.
    #[serde(default)]
    pub single_shot: bool,
    /// The path that returns the outcome of an idempotency key; `{key}` is replaced by the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status_path: Option<String>,
    /// The statuses that mean that the service has not run the call; after any other 5xx the outcome is unknown.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_run_statuses: Vec<u16>,
}

/// A store of cache blocks. Its address comes from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// The store's name in the platform's list.
    pub name: StoreId,
    /// The bandwidth of the link to its memory.
    pub memory_link: BytesPerSec,
    /// The bandwidth of the link to its disk.
    pub disk_link: BytesPerSec,
}

impl ServiceSection {
    /// Returns the first route that matches the call.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteSection> {
        self.routes.iter().find(|route| route.method == method && path.starts_with(&route.prefix))
    }
}
