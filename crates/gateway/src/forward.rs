//! Forwards a request: places it, sends it, classifies the response and decides if it is retried.
//!
//! # Invariant
//!
//! A request that is not idempotent is retried only if no byte of it was written, or if the endpoint stated that it did
//! not run it. An error response states "not run" only if that is true of every attempt.

mod answer;
mod checks;
mod choose;
mod go_on;
mod send;

pub(crate) use go_on::StreamContinuation;

use std::sync::Arc;

use bilberryford_callers::BodyReservation;
use bilberryford_types::{EndpointId, ErrorKind, PoolName, TimeMs};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, Uri,
    header::{self, HeaderName},
};

use self::{choose::ChosenEndpoint, send::SendOutcome};
use crate::{
    connections::Connection,
    deployment::{Route, Team},
    features::RequestFeatures,
    filters::{StreamPart, authorize},
    gateway::Gateway,
    in_flight::InFlight,
    local_state::BuildStanding,
    part_sharing::PartSharing,
    placement::{Candidate, Reason},
    regions::RegionSet,
    request_log::RequestRecord,
    responses::{ErrorResponse, ResponseBody},
    translation::{CallerFacts, ResponseFacts},
};

/// The shortest time left in which an attempt is made, in milliseconds: a round trip within a region.
const MIN_TIME_LEFT_MS: TimeMs = TimeMs(8);
/// The most times that a request is sent to endpoints, including those that refuse it.
const MAX_SENT_ATTEMPTS: u32 = 4;
/// The most attempts of a request that fail before a byte is written.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// The most placements of a request that obstacles prevent: each one takes the time to open a connection at most.
const MAX_OBSTACLES: u32 = 8;
/// How long an engine that refused a request gets no further ones, in milliseconds: it loads weights or is full.
const REFUSAL_PAUSE_MS: TimeMs = TimeMs(150);
/// The retry delay after every endpoint refused, in milliseconds: a few requests have ended by then.
const REFUSAL_RETRY_MS: TimeMs = TimeMs(150);
/// The retry delay while no endpoint is available, in milliseconds: an endpoint that restarts is listed within seconds.
const NO_ENDPOINT_RETRY_MS: TimeMs = TimeMs(400);

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request that is ready to be forwarded.
#[derive(Clone)]
pub(crate) struct Forward {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) facts: CallerFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) stream: StreamPart,
    /// The last event that the caller has, if the gateway itself goes on with the stream.
    pub(crate) last_event_id: Option<String>,
    /// The only regions in which the present attempt may run; none if it may run anywhere.
    pub(crate) allowed_regions: Option<RegionSet>,
    /// The teams that use the parts of the present attempt's prompt.
    pub(crate) sharing: PartSharing,
    pub(crate) deadline_ms: TimeMs,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The room that the body takes.
    pub(crate) _reservation: Arc<BodyReservation>,
    pub(crate) features: Arc<RequestFeatures>,
    pub(crate) record: RequestRecord,
}

/// Removes all hop-by-hop headers, including those that the `Connection` header lists.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The attempts of a request so far.
#[derive(Default, Clone)]
struct Progress {
    /// The endpoints to avoid in further attempts.
    tried: Vec<EndpointId>,
    /// The endpoints that stated that they did not run it.
    refused_by: Vec<EndpointId>,
    /// The attempts that reached an endpoint, including refused ones.
    sent_attempts: u32,
    /// The attempts that an endpoint may have run.
    possible_runs: u32,
    /// The attempts that failed before a byte was written.
    unsent_attempts: u32,
    /// The placements that an obstacle prevented.
    obstacles: u32,
    /// True if it runs as the trial of something that may crash its endpoint, so that it is not repeated elsewhere.
    is_apart: bool,
}

impl Progress {
    /// Returns `not_run`, an error that states that the request did not run, unless an attempt may have run it.
    fn error_kind(&self, not_run: ErrorKind) -> ErrorKind {
        if self.possible_runs > 0 { ErrorKind::EndpointLost } else { not_run }
    }
}

/// The reason why an attempt ended before a byte was written.
#[derive(Debug, Clone, Copy)]
enum Setback {
    /// The connection failed.
    Unsent,
    /// An obstacle arose since the placement.
    Obstacle,
}

/// Counts a setback, and returns `Ok(None)` to place the request once more, or the final error.
fn after_setback(
    progress: &mut Progress,
    setback: Setback,
) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
    let (count, limit, kind) = match setback {
        Setback::Unsent => {
            (&mut progress.unsent_attempts, MAX_UNSENT_ATTEMPTS, ErrorKind::ConnectFailed)
        }
        Setback::Obstacle => (&mut progress.obstacles, MAX_OBSTACLES, ErrorKind::Overloaded),
    };
    *count += 1;
    if *count < limit {
        return Ok(None);
    }
    Err(ErrorResponse::with_retry_after(progress.error_kind(kind), NO_ENDPOINT_RETRY_MS))
}

impl Forward {
    fn time_left_ms(&self) -> TimeMs {
        self.deadline_ms.since(self.gateway.clock.now())
    }

    /// Makes attempts until one has a response or no further attempt is allowed.
    pub(crate) async fn run(
        self,
    ) -> Result<Response<ResponseBody>, (ErrorResponse, RequestRecord)> {
        self.run_after(Progress::default()).await
    }

    /// Makes attempts after those of `progress`.
    async fn run_after(
        mut self,
        mut progress: Progress,
    ) -> Result<Response<ResponseBody>, (ErrorResponse, RequestRecord)> {
        loop {
            match self.attempt(&mut progress).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(error) => return Err((error, self.record)),
            }
        }
    }

    /// Makes one attempt. Returns its response, `None` to make another attempt, or the final error.
    async fn attempt(
        &mut self,
        progress: &mut Progress,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        if self.time_left_ms() < MIN_TIME_LEFT_MS {
            let kind = match progress.possible_runs {
                0 => ErrorKind::DeadlineBeforeRun,
                _ => ErrorKind::DeadlineWhileRunning,
            };
            return Err(ErrorResponse::new(kind));
        }
        self.check_stop(progress)?;
        self.team = match authorize(&self.gateway, &self.facts, &self.route) {
            Ok(team) => team,
            Err(error) if progress.possible_runs == 0 => return Err(error),
            Err(_) => return Err(ErrorResponse::new(ErrorKind::EndpointLost)),
        };
        let team = self.team.as_deref();
        self.allowed_regions = self.gateway.allowed_regions(&self.route, self.uri.path(), team);
        self.sharing = self.gateway.part_sharing(team);
        if self.facts.prompt.is_some() && !self.gateway.has_learned_blame() {
            return Err(ErrorResponse::new(progress.error_kind(ErrorKind::NotReady)));
        }
        if !self.gateway.knows_evacuations() {
            return Err(ErrorResponse::new(progress.error_kind(ErrorKind::NotReady)));
        }
        self.check_blame(progress)?;
        let ChosenEndpoint { candidate, reason, demand, engine_ms } =
            self.choose_endpoint(progress)?;
        let is_trial = reason == Reason::Trial;
        let mut in_flight =
            InFlight::new(&self.gateway, &candidate, &self.features, self.rank(), demand, is_trial);
        if self.facts.prompt.is_some() {
            self.announce(&candidate, demand);
        }
        self.record.place(&candidate);
        self.record.placed = reason.into();
        let Some(connection) = self.take_connection(&candidate, progress).await else {
            return after_setback(progress, Setback::Unsent);
        };
        if self.stream.required_build().is_some()
            && self.gateway.confirm_build(&(&candidate).into(), &self.service).await
                != BuildStanding::AsListed
        {
            self.record.notes.push("build_unconfirmed");
            progress.tried.push(candidate.id.clone());
            return after_setback(progress, Setback::Unsent);
        }
        if let Some(obstacle) = self.gateway.last_obstacle(&candidate) {
            self.record.notes.push(obstacle.into());
            let now_ms = self.gateway.clock.now();
            self.gateway.connections.release(&candidate.id, connection, now_ms);
            return after_setback(progress, Setback::Obstacle);
        }
        // The connection and the build took their time.
        self.check_stop(progress)?;
        // Every request that reaches the service after its first attempt is a retry, whatever the outcome of the first.
        if progress.sent_attempts > 0 && !self.gateway.try_take_retry(&self.service) {
            self.record.notes.push("no_repeat_left");
            return Err(ErrorResponse::with_retry_after(
                progress.error_kind(ErrorKind::EndpointRefused),
                REFUSAL_RETRY_MS,
            ));
        }
        if progress.sent_attempts == 0 {
            self.gateway.record_first_attempt(&self.service);
        }
        if let Some(engine_ms) = engine_ms {
            self.gateway.record_share_used(&self.service, self.share(), engine_ms);
        }
        match self.send(connection, &candidate, &mut in_flight, progress).await {
            SendOutcome::Unsent => after_setback(progress, Setback::Unsent),
            SendOutcome::NotRun(facts, connection) => {
                self.after_refusal(progress, &candidate, &facts, connection)
            }
            SendOutcome::Withdrawn(feature) => Err(self.withdraw(feature)),
            SendOutcome::NotBegun => {
                progress.sent_attempts += 1;
                progress.possible_runs += 1;
                progress.tried.push(candidate.id.clone());
                self.record.notes.push("old_weights");
                self.after_loss(progress)
            }
            SendOutcome::Lost(reason) => {
                progress.sent_attempts += 1;
                progress.possible_runs += 1;
                progress.tried.push(candidate.id.clone());
                self.record.notes.push(reason);
                self.gateway.update_health(&candidate.id, reason, |health, now_ms| {
                    health.record_failure(now_ms, false);
                });
                self.after_loss(progress)
            }
            SendOutcome::Response(response, facts, connection) => {
                progress.sent_attempts += 1;
                progress.possible_runs += 1;
                progress.tried.push(candidate.id.clone());
                if let Some(closed_for_ms) = facts.closed_for_ms {
                    self.gateway.record_closure(&candidate.id, closed_for_ms);
                }
                if response.status().is_server_error()
                    && self.may_retry(progress)
                    && !self.may_be_cut()
                {
                    self.record.notes.push("endpoint_error");
                    self.gateway.update_health(
                        &candidate.id,
                        "endpoint_error",
                        |health, now_ms| {
                            health.record_failure(now_ms, false);
                        },
                    );
                    return Ok(None);
                }
                if response.status().is_success() && !facts.is_signed {
                    self.record.notes.push("unsigned");
                    return self.after_loss(progress);
                }
                in_flight.is_trial = false;
                self.pass_response(progress, response, connection, in_flight).await
            }
        }
    }

    fn may_retry(&self, progress: &Progress) -> bool {
        self.route.is_idempotent()
            && !progress.is_apart
            && progress.possible_runs < self.route.max_attempts
            && progress.sent_attempts < MAX_SENT_ATTEMPTS
    }

    fn after_loss(
        &mut self,
        progress: &Progress,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        if self.may_retry(progress) {
            return Ok(None);
        }
        let kind = if self.time_left_ms() < MIN_TIME_LEFT_MS {
            ErrorKind::DeadlineWhileRunning
        } else {
            ErrorKind::EndpointLost
        };
        Err(ErrorResponse::new(kind))
    }

    fn after_refusal(
        &mut self,
        progress: &mut Progress,
        candidate: &Candidate,
        facts: &ResponseFacts,
        connection: Connection,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        progress.sent_attempts += 1;
        progress.refused_by.push(candidate.id.clone());
        drop(connection);
        self.record.notes.push(if facts.is_misdirected { "misdirected" } else { "refused" });
        let has_newer_weights = facts.is_misdirected && self.infer_newer_weights(candidate);
        if facts.is_misdirected && self.facts.prompt.is_none() {
            // Another incarnation has the address now. For a prompt, the engine may only have rejected the weights.
            self.gateway.record_incarnation_end(candidate.incarnation, "misdirected");
        }
        if !has_newer_weights {
            progress.tried.push(candidate.id.clone());
            if self.facts.prompt.is_some() {
                self.gateway.update_health(&candidate.id, "refused", |health, now_ms| {
                    health.pause(now_ms, REFUSAL_PAUSE_MS);
                });
            }
        }
        if let Some(closed_for_ms) = facts.closed_for_ms {
            self.gateway.record_closure(&candidate.id, closed_for_ms);
        }
        if progress.sent_attempts < MAX_SENT_ATTEMPTS {
            return Ok(None);
        }
        Err(ErrorResponse::with_retry_after(
            progress.error_kind(ErrorKind::EndpointRefused),
            REFUSAL_RETRY_MS,
        ))
    }
}
