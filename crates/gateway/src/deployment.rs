//! The configuration in force: routes, services, teams and limits, indexed for the request path.
//!
//! A deployment is immutable. A newer version replaces it as a whole, so that one request never sees two versions.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use bilberryford_types::{
    Bytes, BytesPerSec, DataCentreId, Generation, PoolName, TeamName, TimeMs,
};

/// What may be repeated of a request once an endpoint may have begun it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// Idempotent: it may run more than once.
    Always,
    /// It may run at most once.
    Never,
    /// A stream of events, which may run once and, where the route says so, go on after its last event.
    Stream,
}

/// Where a share of a route's requests goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: PoolName,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The prefix of the path, which begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// Whether a stream may go on at another endpoint after its last event.
    pub is_resumable: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: TimeMs,
    /// The time within which an answer, or the first event of a stream, is on time.
    pub target_latency_ms: TimeMs,
    /// The rank, 0 the most urgent.
    pub rank: u8,
    /// The services, by weight.
    pub targets: Vec<RouteTarget>,
    /// The most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether it takes requests without a key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request may be sent again after an endpoint may have begun it and before its answer began.
    pub fn is_idempotent(&self) -> bool {
        match self.retry_policy {
            RetryPolicy::Always => true,
            RetryPolicy::Never => false,
            RetryPolicy::Stream => self.is_resumable,
        }
    }

    /// The service for a request; `draw` is a uniform number.
    pub fn service(&self, draw: u64) -> Option<&PoolName> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

/// What the engines of a service are like.
#[derive(Debug, Clone)]
pub struct EngineTraits {
    /// How many tokens its memory holds.
    pub kv_capacity_tokens: u64,
    /// The size of one cached token.
    pub token_bytes: Bytes,
    /// How fast its link carries cached tokens.
    pub link: BytesPerSec,
    /// How many callers may wait for an engine's cache events at once.
    pub max_subscribers: u32,
}

/// A store of cached prompt parts, which engines save to and fetch from by order of each request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreTraits {
    /// Where it is.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Option<DataCentreId>,
    /// How many tokens it holds.
    pub capacity_tokens: u64,
    /// How fast its link carries cached tokens.
    pub link: BytesPerSec,
    /// What every transfer waits besides.
    pub first_byte_ms: TimeMs,
    /// How many callers may wait for its events at once.
    pub max_subscribers: u32,
    /// Whether it drops nothing on its own, so that a part stays until it is freed.
    pub is_managed: bool,
}

/// One service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: PoolName,
    /// The most connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// For services of model engines.
    pub engine: Option<EngineTraits>,
    /// For stores of cached prompt parts.
    pub store: Option<StoreTraits>,
}

/// One team.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its rank, which goes before the route's.
    pub rank: Option<u8>,
    /// Whether it shares no cached prompt part with any other team.
    pub is_isolated: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest header section.
    pub max_header_bytes: Bytes,
    /// The largest body.
    pub max_body_bytes: Bytes,
    /// The longest time for a header section.
    pub header_timeout_ms: TimeMs,
    /// How long a connection may stay idle.
    pub idle_timeout_ms: TimeMs,
}

impl Default for CallerLimits {
    /// The limits until a configuration is in force: those that `serve` has.
    fn default() -> Self {
        Self {
            max_header_bytes: Bytes(16 * 1024),
            max_body_bytes: Bytes(4 * 1024 * 1024),
            header_timeout_ms: TimeMs(10_000),
            idle_timeout_ms: TimeMs(60_000),
        }
    }
}

/// A configuration, ready to be looked up.
#[derive(Debug, Clone)]
pub struct Deployment {
    version: Generation,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<PoolName, Service>,
    teams_by_key: HashMap<String, Arc<Team>>,
    has_teams: bool,
    limits: CallerLimits,
}

impl Deployment {
    /// Indexes what was decoded.
    pub fn new(
        version: Generation,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Option<Vec<(Team, Vec<String>)>>,
        limits: CallerLimits,
    ) -> Self {
        let mut routes_by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            routes_by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_teams = teams.is_some();
        let mut teams_by_key = HashMap::new();
        for (team, keys) in teams.unwrap_or_default() {
            let team = Arc::new(team);
            teams_by_key.extend(keys.into_iter().map(|key| (key, team.clone())));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, routes_by_host, services, teams_by_key, has_teams, limits }
    }

    /// The version, which only grows.
    pub const fn version(&self) -> Generation {
        self.version
    }

    /// The limits for callers.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether requests need a key at all.
    pub const fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// The team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// A service by name.
    pub fn service(&self, name: &PoolName) -> Option<&Service> {
        self.services.get(name)
    }

    /// The size of one cached token, where the deployment has engines.
    pub fn token_bytes(&self) -> Option<Bytes> {
        self.services().find_map(|service| service.engine.as_ref().map(|engine| engine.token_bytes))
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
