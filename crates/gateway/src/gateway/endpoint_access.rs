//! What the gateway knows of single endpoints, and whether it may send to them.

use bilberryford_types::{EndpointId, ModelName, PoolName, TimeMs};
use rand::RngExt;

use super::Gateway;
use crate::{
    cold_endpoints::ColdSource,
    connections::connection_share,
    controllers::record_changes,
    endpoints::EndpointRecord,
    health::{CircuitState, EndpointHealth},
    local_state::BuildStanding,
    obstacle::{Obstacle, SendFacts, obstacle},
    part_plan::PrefixFacts,
    peer_loads::EndpointTag,
    placement::Candidate,
};

/// The longest random delay after the end of a closure, in milliseconds.
const MAX_REOPENING_DELAY_MS: u64 = 500;

impl Gateway {
    /// Returns the ready endpoints of a service as candidates for placement.
    pub(crate) fn candidates(
        &self,
        service: &PoolName,
        model: Option<&ModelName>,
        rank: u8,
    ) -> Vec<Candidate> {
        let now_ms = self.clock.now();
        let (connections, memory_tokens) = self.endpoint_capacity(service);
        let instances = self.fleet_size(now_ms);
        let local_name = self.settings.instance.as_str();
        let endpoints = self.endpoints.lock();
        let mut local = self.local.lock();
        let mut peers = self.peers.lock();
        let mut limits = self.limits.lock();
        let evacuations = self.evacuations.lock();
        let records: Vec<_> =
            endpoints.ready(now_ms).filter(|record| record.service == *service).collect();
        let members = || {
            let tag =
                |record: &&EndpointRecord| EndpointTag::new(record.id.as_str(), record.started_ms);
            records.iter().map(tag).collect()
        };
        let mut speeds = self.speeds.lock();
        let speeds = speeds.pool(service, members, now_ms);
        records
            .iter()
            .map(|record| {
                let state = local.entry(record.id.clone()).or_default();
                if state.started_ms != record.started_ms {
                    state.reset(record.started_ms);
                }
                let listed = model.and_then(|model| record.weight_version(model));
                let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
                let load = peers.load(incarnation, rank, now_ms);
                let is_loading = model.is_some() && (load.is_loading || state.is_loading(now_ms));
                let circuit = state.health.circuit(now_ms);
                let local_percent = state.slowness.percent(now_ms);
                Candidate {
                    id: record.id.clone(),
                    incarnation,
                    address: record.address,
                    build: (state.build_standing != BuildStanding::Refuted)
                        .then(|| record.build.clone()),
                    is_local: record.data_centre == self.settings.data_centre,
                    circuit: if is_loading { CircuitState::Open } else { circuit },
                    obstacle: obstacle(
                        &SendFacts {
                            is_ready: true,
                            is_evacuated: evacuations.is_evacuated(&record.data_centre),
                            closed_until_ms: state.closed_until_ms,
                            limited_until_ms: Some(limits.next_ms_of(
                                &record.id,
                                incarnation,
                                now_ms,
                            )),
                            in_flight: state.in_flight,
                            connection_share: connection_share(
                                connections,
                                instances.unwrap_or(u64::from(connections)),
                                || peers.rendezvous_rank(local_name, record.id.as_str()) as u64,
                            ),
                        },
                        now_ms,
                    ),
                    in_flight: state.in_flight.saturating_add(load.in_flight),
                    waiting_tokens: state.waiting.ahead_of(rank) + load.waiting_tokens,
                    free_memory_tokens: memory_tokens
                        .map(|all| all.saturating_sub(state.memory_tokens + load.memory_tokens)),
                    slowness_percent: speeds.percent(
                        incarnation,
                        match (local_percent, load.slowness_percent) {
                            (Some(local), Some(peer)) => Some((local + peer) / 2),
                            (local, peer) => local.or(peer),
                        },
                    ),
                    weight_version: listed.max(state.observed_weights.filter(|_| listed.is_some())),
                    start_left_ms: None,
                    prefix: PrefixFacts::default(),
                }
            })
            .collect()
    }

    /// The capacity of each endpoint of a service: its connections, and its memory in tokens.
    fn endpoint_capacity(&self, service: &PoolName) -> (u32, Option<u64>) {
        let deployment = self.deployment.load();
        let service = deployment.as_ref().and_then(|deployment| deployment.service(service));
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let engine = service.and_then(|service| service.engine.as_ref());
        (connections, engine.map(|engine| engine.kv_capacity_tokens))
    }

    /// Returns the reason why a request that was placed must not be sent after all; none if it is to be sent now, and then
    /// it is counted in a limit that the endpoint states. It counts at the endpoint already.
    pub(crate) fn last_obstacle(&self, candidate: &Candidate) -> Option<Obstacle> {
        let now_ms = self.clock.now();
        let is_ready = self.endpoints.lock().is_ready(&candidate.id, candidate.incarnation, now_ms);
        let local = self.local.lock();
        let closed_until_ms = local.get(&candidate.id).and_then(|state| state.closed_until_ms);
        drop(local);
        let facts = SendFacts {
            is_ready,
            is_evacuated: self.is_endpoint_evacuated(&candidate.id),
            closed_until_ms,
            limited_until_ms: None,
            in_flight: 0,
            connection_share: u32::MAX,
        };
        obstacle(&facts, now_ms)
            .or_else(|| self.limit_obstacle(&candidate.id, candidate.incarnation, now_ms))
    }

    /// Records that an incarnation of an endpoint said in an answer that it leaves.
    pub(crate) fn record_departure(&self, incarnation: EndpointTag) {
        let change = self.endpoints.lock().record_departure(incarnation);
        if let Some(change) = change {
            self.connections.close_idle(&change.id);
            record_changes(self, [change]);
        }
    }

    /// Records that `endpoint` takes no request of this instance for `closed_for_ms`.
    ///
    /// A single trial follows, after a random delay, so that the instances that were refused do not return at once.
    pub(crate) fn record_closure(&self, endpoint: &EndpointId, closed_for_ms: TimeMs) {
        let max_delay_ms = (closed_for_ms.get() / 4).min(MAX_REOPENING_DELAY_MS);
        let delay_ms = TimeMs(rand::rng().random_range(0..=max_delay_ms));
        let pause_ms = closed_for_ms.after(delay_ms);
        if let Some(state) = self.local.lock().get_mut(endpoint) {
            state.closed_until_ms =
                state.closed_until_ms.max(Some(self.clock.now().after(pause_ms)));
        }
        self.update_health(endpoint, "closed", |health, now_ms| health.pause(now_ms, pause_ms));
        log::info!(
            target: "belief", endpoint:% = endpoint, closed_for_ms = closed_for_ms.get(),
            reopening_delay_ms = delay_ms.get();
            "endpoint closed itself to this instance"
        );
    }

    /// Records that the endpoint sent data.
    pub(crate) fn record_received(&self, endpoint: &EndpointId) {
        if let Some(state) = self.local.lock().get_mut(endpoint) {
            state.last_received_ms = self.clock.now();
        }
    }

    /// Returns true if the endpoint sent data to this instance after `since_ms`.
    pub(crate) fn has_received_since(&self, endpoint: &EndpointId, since_ms: TimeMs) -> bool {
        self.local.lock().get(endpoint).is_some_and(|state| state.last_received_ms > since_ms)
    }

    /// Updates the health of an endpoint, and logs a change of its circuit state.
    pub(crate) fn update_health(
        &self,
        endpoint: &EndpointId,
        reason: &'static str,
        change: impl FnOnce(&mut EndpointHealth, TimeMs),
    ) {
        let now_ms = self.clock.now();
        let (before, after, has_failed) = {
            let mut local = self.local.lock();
            let Some(state) = local.get_mut(endpoint) else { return };
            let (before, failures) = (state.health.circuit(now_ms), state.health.failures());
            change(&mut state.health, now_ms);
            (before, state.health.circuit(now_ms), state.health.failures() > failures)
        };
        if before != after {
            log::info!(
                target: "belief", endpoint:% = endpoint, before:% = before, now:% = after,
                why = reason; "endpoint standing changed"
            );
        }
        if after == CircuitState::Open && before != CircuitState::Open {
            self.connections.close_idle(endpoint);
        }
        if after == CircuitState::Open && has_failed {
            self.suspect_restart_of(endpoint, ColdSource::CircuitOpened);
        }
    }

    /// Removes the state of endpoints that are no longer listed, once they have no requests in flight.
    pub(crate) fn remove_unlisted_endpoints(&self) {
        let endpoints = self.endpoints.lock();
        self.local.lock().retain(|id, state| state.in_flight > 0 || endpoints.get(id).is_some());
        drop(endpoints);
        self.connections.expire(self.clock.now());
        // Their limit may be lower than when they were used.
        self.connections.idle_endpoints().iter().for_each(|id| self.limit_idle_connections(id));
    }

    /// Closes idle connections to an endpoint that don't fit into this instance's part of those that it accepts, beside those in
    /// use: the endpoint would reset a further one, with the request on it.
    pub(crate) fn limit_idle_connections(&self, id: &EndpointId) {
        let service = self.endpoints.lock().get(id).map(|record| record.service.clone());
        let Some(service) = service else { return };
        let (connections, _) = self.endpoint_capacity(&service);
        let instances = self.fleet_size(self.clock.now()).unwrap_or(u64::from(connections));
        let local_name = self.settings.instance.as_str();
        let rank = || self.peers.lock().rendezvous_rank(local_name, id.as_str()) as u64;
        let share = connection_share(connections, instances, rank);
        let in_use = self.local.lock().get(id).map_or(0, |state| state.in_flight);
        self.connections.limit_idle(id, share.saturating_sub(in_use) as usize);
    }
}
