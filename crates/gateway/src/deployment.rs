//! The configuration in force: routes, services, teams and limits, indexed for the request path.
//!
//! A deployment is immutable. A newer version replaces all of it at once, so that a request never sees a mix of two.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use bilberryford_types::{
    Bytes, BytesPerSec, DataCentreId, Generation, PoolName, RequestRate, TeamName, TimeMs,
};

use crate::{part_sharing::IsolatedTeams, regions::RegionSet};

/// How a request may be retried after an endpoint may have started it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// The request is idempotent and may run more than once.
    Always,
    /// The request may run at most once.
    Never,
    /// The response is a stream of events. The request may run once, and the stream may resume after its last event if
    /// the route allows it.
    Stream,
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service.
    pub service: PoolName,
    /// The weight among the route's targets.
    pub weight: u32,
}

/// A rule that maps a host and a path prefix to services.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host to match.
    pub host: String,
    /// The path prefix to match, which starts and ends with a slash.
    pub path_prefix: String,
    /// How its requests may be retried.
    pub retry_policy: RetryPolicy,
    /// True if a stream may resume at another endpoint after its last event.
    pub is_resumable: bool,
    /// The longest time until a complete response.
    pub timeout_ms: TimeMs,
    /// The target latency of a response, or of the first event of a stream.
    pub target_latency_ms: TimeMs,
    /// The priority rank; 0 is the most urgent.
    pub rank: u8,
    /// The services that receive its requests.
    pub targets: Vec<RouteTarget>,
    /// The most endpoints that may start one request.
    pub max_attempts: u32,
    /// True if it accepts requests without a key.
    pub is_public: bool,
    /// The only regions in which its requests may run; none if they may run anywhere.
    pub allowed_regions: Option<RegionSet>,
}

impl Route {
    /// Returns true if a request may be retried after an endpoint may have started it and before its response started.
    pub fn is_idempotent(&self) -> bool {
        match self.retry_policy {
            RetryPolicy::Always => true,
            RetryPolicy::Never => false,
            RetryPolicy::Stream => self.is_resumable,
        }
    }

    /// Selects the service for a request by weight; `draw` is a uniformly distributed random number.
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

/// The properties of a service's engines.
#[derive(Debug, Clone)]
pub struct EngineTraits {
    /// The capacity of an engine's memory, in tokens.
    pub kv_capacity_tokens: u64,
    /// The size of one cached token, in bytes.
    pub token_bytes: Bytes,
    /// The bandwidth of its link for cached tokens.
    pub link: BytesPerSec,
    /// The most instances that may wait for an engine's cache events at a time.
    pub max_subscribers: u32,
}

/// A store of cached prompt parts. Each request tells its engine which parts to fetch from it and to save to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreTraits {
    /// The address.
    pub address: SocketAddr,
    /// The data centre, if known.
    pub data_centre: Option<DataCentreId>,
    /// The capacity, in tokens.
    pub capacity_tokens: u64,
    /// The bandwidth of its link for cached tokens.
    pub link: BytesPerSec,
    /// The latency of a transfer before its first byte.
    pub first_byte_ms: TimeMs,
    /// The most instances that may wait for its events at a time.
    pub max_subscribers: u32,
    /// True if it never evicts on its own, so that a part stays until it is freed.
    pub is_managed: bool,
}

/// How endpoints of a service behave after their start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// How long an endpoint is cold.
    pub lasts_ms: TimeMs,
    /// The requests per second that a cold endpoint tolerates.
    pub rate: RequestRate,
}

/// A service: the endpoints of one pool.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name.
    pub name: PoolName,
    /// The most connections that one endpoint accepts, over all instances.
    pub max_connections: u32,
    /// Set if an endpoint that has just started tolerates few requests.
    pub cold_start: Option<ColdStart>,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineTraits>,
    /// Set if the service is a store of cached prompt parts.
    pub store: Option<StoreTraits>,
}

/// A team that sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// The name.
    pub name: TeamName,
    /// The priority rank, which takes precedence over the route's.
    pub rank: Option<u8>,
    /// True if it shares no cached prompt parts with other teams.
    pub is_isolated: bool,
    /// The only regions in which its requests may run; none if they may run anywhere.
    pub allowed_regions: Option<RegionSet>,
}

/// Limits on the size and timing of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest header section, in bytes.
    pub max_header_bytes: Bytes,
    /// The largest body, in bytes.
    pub max_body_bytes: Bytes,
    /// The longest time to receive a header section.
    pub header_timeout_ms: TimeMs,
    /// The longest time that a connection may be idle.
    pub idle_timeout_ms: TimeMs,
}

impl Default for CallerLimits {
    /// The limits before the first configuration, the same as those of the `serve` command.
    fn default() -> Self {
        Self {
            max_header_bytes: Bytes(16 * 1024),
            max_body_bytes: Bytes(4 * 1024 * 1024),
            header_timeout_ms: TimeMs(10_000),
            idle_timeout_ms: TimeMs(60_000),
        }
    }
}

/// A configuration that is indexed for look-ups.
#[derive(Debug, Clone)]
pub struct Deployment {
    version: Generation,
    routes_by_host: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<PoolName, Service>,
    teams_by_key: HashMap<String, Arc<Team>>,
    has_teams: bool,
    isolated_teams: IsolatedTeams,
    limits: CallerLimits,
}

impl Deployment {
    /// Indexes a decoded configuration. Without `teams`, requests need no key; each team comes with its keys.
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
        let teams = teams.unwrap_or_default();
        // A team without a key is among them, since it may have made parts before.
        let isolated = teams.iter().map(|(team, _)| team).filter(|team| team.is_isolated);
        let isolated_teams = isolated.map(|team| team.name.clone()).collect();
        let mut teams_by_key = HashMap::new();
        for (team, keys) in teams {
            let team = Arc::new(team);
            teams_by_key.extend(keys.into_iter().map(|key| (key, team.clone())));
        }
        let services =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        Self { version, routes_by_host, services, teams_by_key, has_teams, isolated_teams, limits }
    }

    /// The version, which increases with every change.
    pub const fn version(&self) -> Generation {
        self.version
    }

    /// The limits on requests.
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _port)| name).to_ascii_lowercase();
        let routes = self.routes_by_host.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The regions in which requests of a route may run, by this configuration; none if they may run anywhere. A route that
    /// is gone since the request came keeps its regions.
    pub fn regions_of_route<'a>(&'a self, known: &'a Route, path: &str) -> Option<&'a RegionSet> {
        let current = self.route(&known.host, path).map_or(known, |route| route.as_ref());
        current.allowed_regions.as_ref()
    }

    /// The names of routes and teams that restrict their requests to regions for which `is_met` is false.
    pub fn restrictions_without(
        &self,
        is_met: impl Fn(&RegionSet) -> bool,
    ) -> BTreeSet<(&'static str, &str)> {
        let is_unmet =
            |regions: &Option<RegionSet>| regions.as_ref().is_some_and(|regions| !is_met(regions));
        let routes = self.routes_by_host.values().flatten();
        let routes = routes.filter(|route| is_unmet(&route.allowed_regions));
        let teams = self.teams_by_key.values().filter(|team| is_unmet(&team.allowed_regions));
        let routes = routes.map(|route| ("route", route.name.as_str()));
        routes.chain(teams.map(|team| ("team", team.name.as_str()))).collect()
    }

    /// Returns true if requests need a key, except on public routes.
    pub const fn has_teams(&self) -> bool {
        self.has_teams
    }

    /// The teams that share no cached parts with others.
    pub const fn isolated_teams(&self) -> &IsolatedTeams {
        &self.isolated_teams
    }

    /// Looks up the team of an API key.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &PoolName) -> Option<&Service> {
        self.services.get(name)
    }

    /// The size of one cached token, if the deployment has engines.
    pub fn token_bytes(&self) -> Option<Bytes> {
        self.services().find_map(|service| service.engine.as_ref().map(|engine| engine.token_bytes))
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
