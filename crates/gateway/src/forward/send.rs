//! Sends a request over a connection and reads the head of the response.

use std::{io, time::Duration};

use bilberryford_callers::error_text;
use bilberryford_coord::Feature;
use bilberryford_types::TimeMs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Response, body::Incoming};
use tokio::time::timeout;

use super::{Forward, MAX_SENT_ATTEMPTS, MIN_TIME_LEFT_MS, Progress};
use crate::{
    cold_endpoints::ColdSource,
    connections::{Connection, connect},
    deployment::RetryPolicy,
    features::{Loss, ResponseStage},
    in_flight::InFlight,
    part_plan::PartPlan,
    placement::Candidate,
    request_log::{PromptRecord, WeightsRecord},
    rollout::engine_time_ms,
    translation::{ForwardFacts, ResponseFacts},
};

/// How long an endpoint may send nothing of a response to a request that can be retried, in target latencies of its route. It
/// is at most half of the time that is left.
const SILENCE_LIMIT_TARGETS: u64 = 3;
/// The longest idle time of a pooled connection for a request that may run only once, in milliseconds.
const MAX_IDLE_NO_RETRY_MS: TimeMs = TimeMs(1_500);
/// The longest idle time of a pooled connection for a request that can be retried, in milliseconds.
const MAX_IDLE_RETRY_MS: TimeMs = TimeMs(60_000);

/// The outcome of one attempt.
pub(super) enum SendOutcome {
    /// The head of a response to this request.
    Response(Response<Incoming>, ResponseFacts, Connection),
    /// No byte of the request was written.
    Unsent,
    /// The endpoint stated that it did not run the request.
    NotRun(ResponseFacts, Connection),
    /// A feature of the request was quarantined before its response began; the connection is closed.
    Withdrawn(Feature),
    /// The request did not begin before the weights of its engine became too old; the connection is closed.
    NotBegun,
    /// The request may have run, and there is no response to it; with the note for the request log.
    Lost(&'static str),
}

impl Forward {
    /// How long an endpoint may send nothing of a response, where another attempt is allowed.
    pub(super) fn silence_limit_ms(&self, time_left_ms: TimeMs) -> TimeMs {
        let targets_ms = self.route.target_latency_ms.get() * SILENCE_LIMIT_TARGETS;
        TimeMs(targets_ms.min(time_left_ms.get() / 2).max(MIN_TIME_LEFT_MS.get()))
    }

    pub(super) async fn take_connection(
        &mut self,
        candidate: &Candidate,
        progress: &mut Progress,
    ) -> Option<Connection> {
        let max_idle_ms = match self.route.retry_policy {
            RetryPolicy::Never => MAX_IDLE_NO_RETRY_MS,
            _ => MAX_IDLE_RETRY_MS,
        };
        let now_ms = self.gateway.clock.now();
        if self.gateway.connections.has_lost_idle(&candidate.id, now_ms) {
            self.gateway.suspect_restart(candidate.incarnation, ColdSource::ConnectionLost);
        }
        // After a pooled connection turned out to be closed, open a new one. A response on a pooled one is matched by the id of
        // its request, so that a request without an id, or one that the endpoint has refused before, needs a new one too.
        if progress.unsent_attempts == 0
            && self.facts.request_id.is_some()
            && !progress.refused_by.contains(&candidate.id)
            && let Some(connection) =
                self.gateway.connections.reuse(&candidate.id, max_idle_ms, now_ms)
        {
            return Some(connection);
        }
        self.gateway.metrics.connections.add(1, &[]);
        let held = self.gateway.byte_budget.register(candidate.id.to_string());
        match connect(candidate.address, held).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::debug!(endpoint:% = candidate.id, error:% = error; "can't connect");
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.gateway
                        .record_incarnation_end(candidate.incarnation, "connection_refused");
                }
                self.record.notes.push("no_connection");
                progress.tried.push(candidate.id.clone());
                self.gateway.doubt_build(&candidate.id);
                self.gateway.update_health(&candidate.id, "no_connection", |health, now_ms| {
                    health.record_failure(now_ms, true);
                });
                None
            }
        }
    }

    pub(super) async fn send(
        &mut self,
        mut connection: Connection,
        candidate: &Candidate,
        in_flight: &mut InFlight,
        progress: &Progress,
    ) -> SendOutcome {
        let start_bound = self.start_bound(candidate);
        let must_begin_by_ms = start_bound.map(|bound| bound.until_ms);
        self.record.weights = WeightsRecord {
            version: candidate.weight_version,
            newer: start_bound.map(|bound| bound.newer),
            start_left_ms: must_begin_by_ms.map(|by_ms| by_ms.since(self.gateway.clock.now())),
        };
        let time_left_ms = match must_begin_by_ms {
            None => self.time_left_ms(),
            Some(by_ms) => {
                let predicted_ms = in_flight.predicted_ms.unwrap_or_default();
                let start_left_ms = by_ms.since(self.gateway.clock.now());
                engine_time_ms(self.time_left_ms(), start_left_ms, predicted_ms)
            }
        };
        let mut plan = self.part_plan(candidate);
        self.record.prompt = PromptRecord {
            tokens: self.facts.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens.get().into()),
            cached_tokens: candidate.prefix.cached_tokens,
            fetched_tokens: plan.transfers.iter().map(|transfer| transfer.tokens).sum(),
            queue_tokens: candidate.waiting_tokens,
            slowness_percent: candidate.slowness_percent.unwrap_or(0),
            predicted_ms: in_flight.predicted_ms,
            first_token_ms: None,
            free_memory_tokens: candidate.free_memory_tokens.unwrap_or(0),
            parts: std::mem::take(&mut plan.account),
        };
        self.gateway.metrics.record_parts(&self.record.prompt.parts);
        in_flight.begin_fetches(std::mem::take(&mut plan.transfers));
        in_flight.saves = std::mem::take(&mut plan.pending_saves);
        let request = self.build_request(candidate, &plan, time_left_ms);
        let may_retry_later = self.route.is_idempotent()
            && progress.possible_runs + 1 < self.route.max_attempts
            && progress.sent_attempts + 1 < MAX_SENT_ATTEMPTS;
        let head_timeout_ms =
            if may_retry_later { self.silence_limit_ms(time_left_ms) } else { time_left_ms };
        self.record.attempts += 1;
        connection.meter.begin();
        let sending = connection.sender.try_send_request(request);
        let sent_ms = self.gateway.clock.now();
        tokio::pin!(sending);
        let result = loop {
            let now_ms = self.gateway.clock.now();
            let start_left_ms = must_begin_by_ms.map(|by_ms| by_ms.since(now_ms));
            let wait_ms = start_left_ms.unwrap_or(head_timeout_ms).min(head_timeout_ms);
            let head_timeout = Duration::from_millis(wait_ms.get());
            let result = tokio::select! {
                result = timeout(head_timeout, sending.as_mut()) => result,
                feature = self.gateway.quarantine_of(&self.features) => {
                    return SendOutcome::Withdrawn(feature);
                }
            };
            let is_too_late =
                must_begin_by_ms.is_some_and(|by_ms| self.gateway.clock.now() >= by_ms);
            if result.is_err() && is_too_late {
                return SendOutcome::NotBegun;
            }
            // An endpoint that responds to other requests is alive, and a retry would lose the place in its queue.
            let is_alive = self.gateway.has_received_since(&candidate.id, sent_ms);
            if result.is_ok() || !is_alive || self.time_left_ms() < MIN_TIME_LEFT_MS {
                break result;
            }
        };
        match result {
            Err(_) => {
                in_flight.record_loss(ResponseStage::NoHead, Loss::Silence);
                SendOutcome::Lost("no_answer")
            }
            Ok(Err(error)) if error.message().is_some() => {
                self.gateway.doubt_build(&candidate.id);
                self.gateway.suspect_restart(candidate.incarnation, ColdSource::ConnectionLost);
                SendOutcome::Unsent
            }
            Ok(Err(error)) => {
                let error = error_text(error.error());
                log::debug!(endpoint:% = candidate.id, error = error.as_str(); "answer lost");
                self.gateway.suspect_restart(candidate.incarnation, ColdSource::ConnectionLost);
                in_flight.record_loss(ResponseStage::NoHead, Loss::Connection(&error));
                SendOutcome::Lost("connection_lost")
            }
            Ok(Ok(response)) => {
                connection.meter.end_head();
                self.classify_response(response, connection, candidate, sent_ms)
            }
        }
    }

    pub(super) fn classify_response(
        &self,
        response: Response<Incoming>,
        mut connection: Connection,
        candidate: &Candidate,
        sent_ms: TimeMs,
    ) -> SendOutcome {
        let facts = self.gateway.translation.read_response(response.status(), response.headers());
        // The endpoint that a request did not reach speaks of itself, not of the candidate.
        if facts.is_leaving && !facts.is_misdirected {
            self.gateway.record_departure(candidate.incarnation);
        }
        let is_for_other_request = match &facts.request_id {
            Some(_) => facts.request_id != self.facts.request_id,
            // Endpoints repeat the id: without one, it may be a copy of a response to an earlier request.
            None => connection.is_reused,
        };
        // Only the endpoint's own response to this request shows that its limit has ended.
        let is_own = !is_for_other_request && (facts.is_signed || facts.is_not_run);
        if !facts.is_misdirected && is_own {
            self.gateway.record_cold_contact(candidate, sent_ms);
        }
        if !facts.is_misdirected && (facts.limit.is_some() || is_own) {
            self.gateway.record_limit(candidate, facts.limit, sent_ms);
        }
        if is_for_other_request {
            // This response may belong to an earlier request. The connection is dropped, since its own may still arrive.
            return SendOutcome::Lost("answer_of_another");
        }
        if let Some(keep_alive_ms) = keep_alive_timeout_ms(response.headers()) {
            connection.limit_idle_time(keep_alive_ms);
        }
        if facts.is_not_run {
            return SendOutcome::NotRun(facts, connection);
        }
        SendOutcome::Response(response, facts, connection)
    }

    pub(super) fn build_request(
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
            last_event_id: self.last_event_id.as_deref(),
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
}

/// The endpoint's idle timeout, from the `Keep-Alive` header.
fn keep_alive_timeout_ms(headers: &HeaderMap) -> Option<TimeMs> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| TimeMs(seconds * 1_000))
}
