//! Sends a request over a connection, and reads the head of its answer.

use std::{io, time::Duration};

use bilberryford_types::TimeMs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Response, body::Incoming};
use tokio::time::timeout;

use super::{Forward, LEAST_LEFT_MS, MAX_OFFERS, Progress};
use crate::{
    connections::{Connection, connect},
    deployment::Repeatable,
    in_flight::InFlight,
    part_plan::PartPlan,
    placement::Candidate,
    request_log::PromptLine,
    translation::{ForwardFacts, ResponseFacts},
};

/// A send that may be repeated waits this many target latencies for its answer's head, and at most half of what is left.
const PATIENCE_TARGETS: u64 = 3;
/// How long a kept connection may have been idle for a request that may run only once, in milliseconds.
const FRESH_IDLE_MS: TimeMs = TimeMs(1_500);
/// The same for one that may be repeated.
const STALE_IDLE_MS: TimeMs = TimeMs(60_000);

/// How one send ended.
pub(super) enum Sent {
    /// The head of an answer to this request.
    Answer(Response<Incoming>, ResponseFacts, Connection),
    /// No byte was written.
    Unsent,
    /// The endpoint states that it did not run it.
    NotRun(ResponseFacts, Connection),
    /// It may have run, and there is no answer to it.
    Lost(&'static str),
}

impl Forward {
    pub(super) async fn connection(
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
                if error.kind() == io::ErrorKind::ConnectionRefused {
                    self.gateway.life_ended(candidate.incarnation);
                }
                self.line.notes.push("no_connection");
                progress.unsent += 1;
                progress.tried.push(candidate.id.clone());
                self.gateway.judge(&candidate.id, "no_connection", |health, now_ms| {
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
    ) -> Sent {
        let left_ms = self.left_ms().min(self.old_weights_left_ms(candidate));
        let mut plan = self.part_plan(candidate);
        self.line.prompt = PromptLine {
            tokens: self.facts.prompt.as_ref().map_or(0, |prompt| prompt.input_tokens.get().into()),
            cached_tokens: candidate.prefix.cached_tokens,
            fetched_tokens: plan.transfers.iter().map(|transfer| transfer.tokens).sum(),
            queue_tokens: candidate.waiting_tokens,
            slowness_percent: candidate.slowness_percent.unwrap_or(0),
            free_memory_tokens: candidate.free_memory_tokens.unwrap_or(0),
        };
        in_flight.begin_fetches(std::mem::take(&mut plan.transfers));
        in_flight.saves = std::mem::take(&mut plan.pending_saves);
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
                in_flight.record_loss();
                Sent::Lost("connection_lost")
            }
            Ok(Ok(response)) => self.read_head(response, connection),
        }
    }

    pub(super) fn read_head(
        &self,
        response: Response<Incoming>,
        mut connection: Connection,
    ) -> Sent {
        let facts = self.gateway.translation.read_response(response.status(), response.headers());
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

    pub(super) fn request(
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
}

/// How long the endpoint keeps an idle connection, from the standard `Keep-Alive` header.
fn kept_idle_ms(headers: &HeaderMap) -> Option<TimeMs> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse::<u64>().ok().map(|seconds| TimeMs(seconds * 1_000))
}
