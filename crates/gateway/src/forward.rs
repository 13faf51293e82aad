//! Forwards a request: places it, sends it, judges the answer and decides whether to send it again.
//!
//! # Invariant
//!
//! A request that is not idempotent is sent again only when no byte of it was written, or when the endpoint stated that
//! it did not run it. An answer that promises "not run" is given only while that holds for every send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_types::{EndpointId, ErrorKind, PoolName, TimeMs};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    HeaderMap, Method, Response, Uri,
    body::{Body as _, Incoming},
    header::{self, HeaderName},
    http::response::Parts,
};
use tokio::time::timeout;

use crate::{
    admission::{Admit, Forecast, admit},
    answers::{AnswerBody, OwnAnswer, whole},
    body::{Relay, relay, succeeded},
    cache_index::{PartPlan, Reader, Transfer, plan_parts, shared_parts},
    cache_scope::CacheScope,
    connections::{Connection, connect},
    deployment::{Repeatable, Route, Team},
    filters::authorize,
    gateway::Gateway,
    placement::{Candidate, PlacementRequest, PromptShape, Reason, place},
    request_log::{PromptLine, RequestLine},
    slowness::usual_ms,
    translation::{AnswerFacts, CallerFacts, ForwardFacts, PartKey},
};

/// The least time left for which a send is worth it, in milliseconds: a round trip within a region.
const LEAST_LEFT_MS: TimeMs = TimeMs(8);
/// How often a request is offered to endpoints, whatever they answer.
const MAX_OFFERS: u32 = 4;
/// How many connections are tried for one request.
const MAX_UNSENT: u32 = 3;
/// A send that may be repeated waits this many target latencies for its answer's head, and at most half of what is left.
const PATIENCE_TARGETS: u64 = 3;
/// How long a kept connection may have been idle for a request that may run only once, in milliseconds.
const FRESH_IDLE_MS: TimeMs = TimeMs(1_500);
/// The same for one that may be repeated.
const STALE_IDLE_MS: TimeMs = TimeMs(60_000);
/// The largest answer that is read whole before it is passed on, in bytes, so that a cut one can be repeated.
const MAX_BUFFERED: u64 = 64 * 1024;
/// How long an engine that refuses work is passed by, in milliseconds: it loads weights or is full.
const REFUSED_PAUSE_MS: TimeMs = TimeMs(150);
/// When to come back after every endpoint refused, in milliseconds: a few requests have ended by then.
const REFUSED_RETRY_MS: TimeMs = TimeMs(150);
/// When to come back while no endpoint is up, in milliseconds: an endpoint that restarts is listed within seconds.
const NO_ENDPOINT_RETRY_MS: TimeMs = TimeMs(400);

/// How many ranks of routes are told apart within one rank of teams.
const RANKS_OF_ROUTES: u8 = 3;
/// The least urgent rank that endpoints know.
const LAST_RANK: u8 = 9;
/// How many tokens may wait before a request for its wait to tell of the source of its parts.
const CALM_QUEUE_TOKENS: u64 = 1_500;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request ready to be forwarded.
pub(crate) struct Forward {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) facts: CallerFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) deadline_ms: TimeMs,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) line: RequestLine,
}

/// A request counted at an endpoint until it is dropped.
pub(crate) struct InFlight {
    gateway: Arc<Gateway>,
    endpoint: EndpointId,
    rank: u8,
    waiting_tokens: u64,
    /// What was to be read before the first token when the request came, the queue included.
    queue_tokens: u64,
    began_ms: TimeMs,
    /// The slowness of the endpoint when the request came, in hundredths.
    slowness_percent: u32,
    transfers: Vec<Transfer>,
    saves: Vec<(SocketAddr, PartKey)>,
    is_trial: bool,
}

impl InFlight {
    fn new(
        gateway: &Arc<Gateway>,
        candidate: &Candidate,
        rank: u8,
        waiting_tokens: u64,
        is_trial: bool,
    ) -> Self {
        let endpoint = &candidate.id;
        let mut local = gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.in_flight += 1;
        state.waiting.add(rank, waiting_tokens);
        if is_trial {
            state.health.start_trial();
        }
        drop(local);
        gateway.metrics.in_flight.add(1, &[]);
        Self {
            gateway: gateway.clone(),
            endpoint: endpoint.clone(),
            rank,
            waiting_tokens,
            queue_tokens: candidate.waiting_tokens + waiting_tokens,
            began_ms: gateway.clock.now(),
            slowness_percent: candidate.slowness_percent.unwrap_or(100),
            transfers: Vec::new(),
            saves: Vec::new(),
            is_trial,
        }
    }

    pub(crate) fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    fn fetches(&mut self, transfers: Vec<Transfer>) {
        let mut holders = self.gateway.holders.lock();
        for transfer in &transfers {
            if let Some(holder) = holders.iter_mut().find(|at| at.address() == transfer.address) {
                holder.fetch_begins(transfer.tokens);
            }
        }
        drop(holders);
        self.transfers = transfers;
    }

    /// The first token came: what it took tells how fast the endpoint and the sources of its parts are.
    pub(crate) fn first_byte(&mut self) {
        let now_ms = self.gateway.clock.now();
        let took_ms = now_ms.since(self.began_ms);
        self.saves.clear();
        if let [transfer] = self.transfers[..] {
            if self.queue_tokens > self.waiting_tokens + CALM_QUEUE_TOKENS {
                // Behind a queue the wait says more of the engine than of the source.
                return self.no_longer_waiting();
            }
            let reading_ms = usual_ms(self.queue_tokens) * f64::from(self.slowness_percent) / 100.0;
            let fetching_ms = took_ms.get() as f64 - reading_ms;
            let mut holders = self.gateway.holders.lock();
            if let Some(holder) = holders.iter_mut().find(|at| at.address() == transfer.address) {
                holder.sample(transfer.usual_ms, fetching_ms, now_ms);
            }
        } else if self.waiting_tokens > 0
            && self.transfers.is_empty()
            && let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint)
        {
            state.slowness.sample(self.queue_tokens, took_ms, now_ms);
        }
        self.no_longer_waiting();
    }

    fn no_longer_waiting(&mut self) {
        let waiting_tokens = std::mem::take(&mut self.waiting_tokens);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint) {
            state.waiting.remove(self.rank, waiting_tokens);
        }
        let mut holders = self.gateway.holders.lock();
        for transfer in self.transfers.drain(..) {
            if let Some(holder) = holders.iter_mut().find(|at| at.address() == transfer.address) {
                holder.fetch_ended(transfer.tokens);
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.no_longer_waiting();
        // Whatever was to be saved was not read, so that another request may save it.
        let mut holders = self.gateway.holders.lock();
        for (address, key) in self.saves.drain(..) {
            if let Some(holder) = holders.iter_mut().find(|at| at.address() == address) {
                holder.save_abandoned(&key);
            }
        }
        drop(holders);
        if let Some(state) = self.gateway.local.lock().get_mut(&self.endpoint) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if self.is_trial {
                state.health.trial_abandoned();
            }
        }
        self.gateway.metrics.in_flight.add(-1, &[]);
    }
}

/// Removes the headers that concern one connection, the ones that `Connection` names included.
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

/// Where a request goes.
struct Chosen {
    candidate: Candidate,
    reason: Reason,
    work_tokens: u64,
}

/// How one send ended.
enum Sent {
    /// The head of an answer to this request.
    Answer(Response<Incoming>, AnswerFacts, Connection),
    /// No byte was written.
    Unsent,
    /// The endpoint states that it did not run it.
    NotRun(AnswerFacts, Connection),
    /// It may have run, and there is no answer to it.
    Lost(&'static str),
}

/// What is known over all sends of a request.
#[derive(Default)]
struct Progress {
    tried: Vec<EndpointId>,
    offers: u32,
    runs: u32,
    unsent: u32,
}

impl Progress {
    /// The kind to answer with: one that promises "not run" only if that is so.
    fn kind(&self, not_run: ErrorKind) -> ErrorKind {
        if self.runs > 0 { ErrorKind::EndpointLost } else { not_run }
    }
}

impl Forward {
    /// A team's rank goes before that of the route, which decides within it.
    fn rank(&self) -> u8 {
        let team = self.team.as_ref().and_then(|team| team.rank);
        let team = team.map_or(0, |rank| rank.saturating_mul(RANKS_OF_ROUTES));
        team.saturating_add(self.route.rank.min(RANKS_OF_ROUTES - 1)).min(LAST_RANK)
    }

    fn left_ms(&self) -> TimeMs {
        self.deadline_ms.since(self.gateway.clock.now())
    }

    /// Forwards until there is an answer, or nothing more can be tried.
    pub(crate) async fn run(mut self) -> Result<Response<AnswerBody>, (OwnAnswer, RequestLine)> {
        let mut progress = Progress::default();
        loop {
            match self.attempt(&mut progress).await {
                Ok(Some(relay)) => return Ok(relay),
                Ok(None) => {}
                Err(answer) => return Err((answer, self.line)),
            }
        }
    }

    /// One attempt: an answer, nothing yet, or the final answer.
    async fn attempt(
        &mut self,
        progress: &mut Progress,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if self.left_ms() < LEAST_LEFT_MS {
            let kind = match progress.runs {
                0 => ErrorKind::DeadlineBeforeRun,
                _ => ErrorKind::DeadlineWhileRunning,
            };
            return Err(OwnAnswer::new(kind));
        }
        self.team = match authorize(&self.gateway, &self.facts, &self.route) {
            Ok(team) => team,
            Err(answer) if progress.runs == 0 => return Err(answer),
            Err(_) => return Err(OwnAnswer::new(ErrorKind::EndpointLost)),
        };
        let Chosen { candidate, reason, work_tokens } = self.choose(progress)?;
        let is_trial = reason == Reason::Trial;
        let mut in_flight =
            InFlight::new(&self.gateway, &candidate, self.rank(), work_tokens, is_trial);
        self.line.endpoint = Some(candidate.id.clone());
        self.line.placed = reason.into();
        let Some(connection) = self.connection(&candidate, progress).await else {
            return self.unsent(progress);
        };
        // A second arrival at the service is a repeat, whatever became of the first.
        if progress.offers > 0 && !self.gateway.take_repeat(&self.service) {
            self.line.notes.push("no_repeat_left");
            return Err(OwnAnswer::after(
                progress.kind(ErrorKind::EndpointRefused),
                REFUSED_RETRY_MS,
            ));
        }
        if progress.offers == 0 {
            self.gateway.count_first_send(&self.service);
        }
        match self.send(connection, &candidate, &mut in_flight, progress).await {
            Sent::Unsent => {
                progress.unsent += 1;
                self.unsent(progress)
            }
            Sent::NotRun(facts, connection) => {
                self.not_run(progress, &candidate, &facts, connection)
            }
            Sent::Lost(why) => {
                progress.offers += 1;
                progress.runs += 1;
                progress.tried.push(candidate.id.clone());
                self.line.notes.push(why);
                self.gateway.judge(&candidate.id, why, |health, now_ms| {
                    health.failed(now_ms, false);
                });
                self.lost(progress)
            }
            Sent::Answer(response, facts, connection) => {
                progress.offers += 1;
                progress.runs += 1;
                progress.tried.push(candidate.id.clone());
                if response.status().is_server_error() && self.may_repeat(progress) {
                    self.line.notes.push("endpoint_error");
                    self.gateway.judge(&candidate.id, "endpoint_error", |health, now_ms| {
                        health.failed(now_ms, false);
                    });
                    return Ok(None);
                }
                if response.status().is_success() && !facts.is_signed {
                    self.line.notes.push("unsigned");
                    return self.lost(progress);
                }
                in_flight.is_trial = false;
                self.answer(progress, response, connection, in_flight).await
            }
        }
    }

    fn choose(&mut self, progress: &Progress) -> Result<Chosen, OwnAnswer> {
        let model = self.facts.prompt.as_ref().map(|prompt| &prompt.model);
        let mut candidates = self.gateway.candidates(&self.service, model, self.rank());
        let min_weight_version =
            model.and_then(|model| self.gateway.min_weights(model, &candidates));
        let parts = self.facts.prompt.as_ref().map_or(&[][..], |prompt| &prompt.parts);
        self.gateway.fill_prefixes(&mut candidates, parts, |at| self.cache_scope(at));
        let prompt = self.facts.prompt.as_ref().map(|prompt| PromptShape {
            tokens: u64::from(prompt.input_tokens.get()),
            shared_part: shared_parts(parts).last().map(|part| part.id.as_str()),
        });
        let request = PlacementRequest {
            prompt,
            min_weight_version,
            tried: &progress.tried,
            draw: rand::random(),
        };
        let choice = place(&candidates, &request);
        let Some(index) = choice.index else {
            self.line.placed = choice.reason.into();
            let kind = match choice.reason {
                Reason::AllTried => ErrorKind::EndpointRefused,
                _ => ErrorKind::NoEndpoint,
            };
            return Err(OwnAnswer::after(progress.kind(kind), NO_ENDPOINT_RETRY_MS));
        };
        if progress.offers == 0 && request.prompt.is_some() && choice.reason != Reason::Trial {
            let forecast = Forecast {
                first_token_ms: TimeMs(usual_ms(choice.cost_tokens) as u64),
                waiting_tokens: candidates[index].waiting_tokens,
                left_ms: self.left_ms(),
                timeout_ms: self.route.timeout_ms,
                target_ms: self.route.target_latency_ms,
            };
            if let Admit::Later(after_ms) = admit(&forecast) {
                self.line.placed = choice.reason.into();
                self.line.notes.push("predicted_late");
                self.line.prompt.queue_tokens = forecast.waiting_tokens;
                return Err(OwnAnswer::after(progress.kind(ErrorKind::Overloaded), after_ms));
            }
        }
        Ok(Chosen {
            candidate: candidates[index].clone(),
            reason: choice.reason,
            work_tokens: choice.work_tokens,
        })
    }

    async fn connection(
        &mut self,
        candidate: &Candidate,
        progress: &mut Progress,
    ) -> Option<Connection> {
        let max_idle_ms = match self.route.repeatable {
            Repeatable::Never => FRESH_IDLE_MS,
            _ => STALE_IDLE_MS,
        };
        let now_ms = self.gateway.clock.now();
        // After a kept connection turned out to be closed, the next one is new.
        if progress.unsent == 0
            && let Some(connection) =
                self.gateway.connections.reuse(&candidate.id, max_idle_ms, now_ms)
        {
            return Some(connection);
        }
        self.gateway.metrics.connections.add(1, &[]);
        match connect(candidate.address).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::debug!(endpoint:% = candidate.id, error:% = error; "no connection");
                self.line.notes.push("no_connection");
                progress.unsent += 1;
                progress.tried.push(candidate.id.clone());
                self.gateway.judge(&candidate.id, "no_connection", |health, now_ms| {
                    health.failed(now_ms, true);
                });
                None
            }
        }
    }

    fn unsent(&mut self, progress: &Progress) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if progress.unsent < MAX_UNSENT {
            return Ok(None);
        }
        Err(OwnAnswer::after(progress.kind(ErrorKind::ConnectFailed), NO_ENDPOINT_RETRY_MS))
    }

    fn may_repeat(&self, progress: &Progress) -> bool {
        self.route.is_idempotent()
            && progress.runs < self.route.max_attempts
            && progress.offers < MAX_OFFERS
    }

    fn lost(&mut self, progress: &Progress) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if self.may_repeat(progress) {
            return Ok(None);
        }
        let kind = if self.left_ms() < LEAST_LEFT_MS {
            ErrorKind::DeadlineWhileRunning
        } else {
            ErrorKind::EndpointLost
        };
        Err(OwnAnswer::new(kind))
    }

    fn not_run(
        &mut self,
        progress: &mut Progress,
        candidate: &Candidate,
        facts: &AnswerFacts,
        connection: Connection,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        progress.offers += 1;
        drop(connection);
        self.line.notes.push(if facts.is_misdirected { "misdirected" } else { "refused" });
        let has_shown = facts.is_misdirected && self.shows_newer_weights(candidate);
        if !has_shown {
            progress.tried.push(candidate.id.clone());
            if self.facts.prompt.is_some() {
                self.gateway.judge(&candidate.id, "refused", |health, now_ms| {
                    health.paused(now_ms, REFUSED_PAUSE_MS);
                });
            }
        }
        if progress.offers < MAX_OFFERS {
            return Ok(None);
        }
        Err(OwnAnswer::after(progress.kind(ErrorKind::EndpointRefused), REFUSED_RETRY_MS))
    }

    /// An engine that refuses the listed weights probably has the named ones, which the list tells only later.
    fn shows_newer_weights(&self, candidate: &Candidate) -> bool {
        let Some(prompt) = &self.facts.prompt else { return false };
        let weights = self.gateway.weights.lock();
        let newest = weights.get(&prompt.model).map_or(0, |named| named.newest());
        drop(weights);
        if candidate.weight_version.is_none_or(|version| version >= newest) {
            return false;
        }
        let mut local = self.gateway.local.lock();
        local.entry(candidate.id.clone()).or_default().shown_weights = Some(newest);
        true
    }

    async fn send(
        &mut self,
        mut connection: Connection,
        candidate: &Candidate,
        in_flight: &mut InFlight,
        progress: &Progress,
    ) -> Sent {
        let left_ms = self.left_ms().min(self.old_weights_left_ms(candidate));
        let mut plan = self.part_plan(candidate);
        self.line.prompt = PromptLine {
            tokens: self.facts.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens.get().into()),
            cached_tokens: candidate.prefix.cached_tokens,
            fetched_tokens: plan.transfers.iter().map(|transfer| transfer.tokens).sum(),
            queue_tokens: candidate.waiting_tokens,
            slowness_percent: candidate.slowness_percent.unwrap_or(0),
        };
        in_flight.fetches(std::mem::take(&mut plan.transfers));
        in_flight.saves = std::mem::take(&mut plan.saving);
        let request = self.request(candidate, &plan, left_ms);
        let could_repeat = self.route.is_idempotent()
            && progress.runs + 1 < self.route.max_attempts
            && progress.offers + 1 < MAX_OFFERS;
        let patience_ms = if could_repeat {
            let targets_ms = self.route.target_latency_ms.get() * PATIENCE_TARGETS;
            TimeMs(targets_ms.min(left_ms.get() / 2).max(LEAST_LEFT_MS.get()))
        } else {
            left_ms
        };
        self.line.attempts += 1;
        let sending = connection.sender.try_send_request(request);
        let began_ms = self.gateway.clock.now();
        tokio::pin!(sending);
        let answered = loop {
            let patience = Duration::from_millis(patience_ms.get());
            let answered = timeout(patience, sending.as_mut()).await;
            // An endpoint that sends to others meanwhile is alive, and leaving its queue would lose the place in it.
            let is_alive = self.gateway.was_heard(&candidate.id, began_ms);
            if answered.is_ok() || !is_alive || self.left_ms() < LEAST_LEFT_MS {
                break answered;
            }
        };
        match answered {
            Err(_) => Sent::Lost("no_answer"),
            Ok(Err(error)) if error.message().is_some() => Sent::Unsent,
            Ok(Err(error)) => {
                log::debug!(endpoint:% = candidate.id, error:% = error.error(); "answer lost");
                Sent::Lost("connection_lost")
            }
            Ok(Ok(response)) => self.read_head(response, connection),
        }
    }

    /// A request that waits in the queue of an engine with older weights must not begin after the bound.
    fn old_weights_left_ms(&self, candidate: &Candidate) -> TimeMs {
        let prompt = self.facts.prompt.as_ref().zip(candidate.weight_version);
        let left = prompt
            .and_then(|(prompt, version)| self.gateway.old_weights_left_ms(&prompt.model, version));
        left.unwrap_or(TimeMs(u64::MAX))
    }

    fn read_head(&self, response: Response<Incoming>, mut connection: Connection) -> Sent {
        let facts = self.gateway.translation.read_answer(response.status(), response.headers());
        let is_other = facts.request_id.is_some() && facts.request_id != self.facts.request_id;
        if is_other {
            // The answer belongs to an earlier request; this one's may come later, on a connection that is given up.
            return Sent::Lost("answer_of_another");
        }
        if let Some(kept_ms) = kept_idle_ms(response.headers()) {
            connection.limit_idle(kept_ms);
        }
        if facts.is_not_run {
            return Sent::NotRun(facts, connection);
        }
        Sent::Answer(response, facts, connection)
    }

    fn request(
        &self,
        candidate: &Candidate,
        plan: &PartPlan,
        time_left_ms: TimeMs,
    ) -> hyper::Request<Full<Bytes>> {
        let mut headers = self.headers.clone();
        let scope = self.cache_scope(candidate);
        let facts = ForwardFacts {
            endpoint: &candidate.id,
            time_left_ms,
            team: self.team.as_ref().map(|team| &team.name),
            rank: self.facts.prompt.is_some().then(|| self.rank()),
            cache_scope: scope.as_deref(),
            weight_version: candidate.weight_version,
            fetch: &plan.fetch,
            save: &plan.save,
        };
        self.gateway.translation.prepare_forward(&mut headers, &facts);
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Cached parts are found only under the same model, weights and, for an isolated team, team.
    fn cache_scope(&self, candidate: &Candidate) -> Option<String> {
        let prompt = self.facts.prompt.as_ref()?;
        let version = candidate.weight_version?;
        let team = self.team.as_ref().filter(|team| team.is_isolated);
        let scope = CacheScope {
            model: prompt.model.clone(),
            weight_version: version,
            team: team.map(|team| team.name.clone()),
        };
        Some(scope.to_string())
    }

    /// Where the prompt's shared parts come from, and where those go that no store has.
    fn part_plan(&self, candidate: &Candidate) -> PartPlan {
        let (Some(prompt), Some(scope)) = (&self.facts.prompt, self.cache_scope(candidate)) else {
            return PartPlan::default();
        };
        let token_bytes = self.gateway.token_bytes();
        let now_ms = self.gateway.clock.now();
        let endpoints = self.gateway.endpoints.lock();
        let data_centre = endpoints.get(&candidate.id).map(|record| &record.data_centre);
        let reader = Reader { address: candidate.address, data_centre, token_bytes };
        let mut holders = self.gateway.holders.lock();
        plan_parts(&mut holders, &scope, &prompt.parts, &reader, now_ms)
    }

    async fn answer(
        &mut self,
        progress: &Progress,
        response: Response<Incoming>,
        connection: Connection,
        in_flight: InFlight,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        let (mut head, incoming) = response.into_parts();
        remove_hop_by_hop(&mut head.headers);
        let is_small = incoming.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BUFFERED);
        if self.route.repeatable != Repeatable::Stream && is_small {
            return self.whole_answer(progress, head, incoming, connection, in_flight).await;
        }
        let gateway = self.gateway.clone();
        let line = std::mem::take(&mut self.line);
        let passing = Relay {
            gateway,
            incoming,
            connection: Some(connection),
            in_flight,
            deadline_ms: self.deadline_ms,
            line,
            is_over: false,
        };
        Ok(Some(Response::from_parts(head, relay(passing))))
    }

    async fn whole_answer(
        &mut self,
        progress: &Progress,
        head: Parts,
        incoming: Incoming,
        connection: Connection,
        in_flight: InFlight,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        let left = Duration::from_millis(self.left_ms().get());
        let reading = Limited::new(incoming, MAX_BUFFERED as usize).collect();
        let body = match timeout(left, reading).await {
            Err(_) => return Err(OwnAnswer::new(ErrorKind::DeadlineWhileRunning)),
            Ok(Err(error)) => {
                log::debug!(error:% = error; "answer cut");
                self.line.notes.push("answer_cut");
                self.gateway.judge(in_flight.endpoint(), "answer_cut", |health, now_ms| {
                    health.failed(now_ms, false);
                });
                return self.lost(progress);
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        let now_ms = self.gateway.clock.now();
        self.gateway.judge(in_flight.endpoint(), "answered", succeeded);
        self.gateway.connections.keep(in_flight.endpoint(), connection, now_ms);
        self.line.first_byte_ms = Some(now_ms);
        self.gateway.request_log.write(&self.line, "answered", false, now_ms);
        self.gateway.metrics.outcome("answered", Some(now_ms.since(self.line.started_ms).get()));
        Ok(Some(Response::from_parts(head, whole(body))))
    }
}

/// How long the endpoint keeps an idle connection, from the standard `Keep-Alive` header.
fn kept_idle_ms(headers: &HeaderMap) -> Option<TimeMs> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| TimeMs(seconds * 1_000))
}
