//! Passes an endpoint's response on: buffered if it is small and not a stream of events, streamed otherwise.

use std::time::Duration;

use bilberryford_callers::error_text;
use bilberryford_types::{ErrorKind, TimeMs};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Response,
    body::{Body as _, Incoming},
    header,
    http::response::Parts,
};
use tokio::time::timeout;

use super::{Forward, Progress, StreamContinuation, remove_hop_by_hop};
use crate::{
    cold_endpoints::ColdSource,
    connections::Connection,
    controllers::report_stream,
    deployment::RetryPolicy,
    event_stream::{EventBuffer, EventPosition, is_event_stream},
    features::{Loss, ResponseStage},
    filters::StreamPart,
    in_flight::InFlight,
    placement::Candidate,
    relay::{NotBegun, Relay, RelayedEvents, record_success},
    responses::{ErrorResponse, ResponseBody, full_body},
};

/// The largest response that is buffered before it is passed on, so that a truncated one can be retried.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

impl Forward {
    pub(super) async fn pass_response(
        &mut self,
        progress: &Progress,
        response: Response<Incoming>,
        connection: Connection,
        in_flight: InFlight,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        let (mut head, incoming) = response.into_parts();
        remove_hop_by_hop(&mut head.headers);
        let is_small =
            incoming.size_hint().upper().is_some_and(|bytes| bytes <= MAX_BUFFERED_BYTES);
        if self.route.retry_policy != RetryPolicy::Stream && is_small {
            return self.buffer_response(progress, head, incoming, connection, in_flight).await;
        }
        let is_stream = is_event_stream(&head.headers);
        if is_stream {
            // A body with a length could not be broken off at its end.
            head.headers.remove(header::CONTENT_LENGTH);
        }
        let (candidate, opened_ms) = (in_flight.candidate().clone(), connection.opened_ms);
        let may_go_on = is_stream && head.status.is_success() && self.may_retry(progress);
        let continuation = may_go_on.then(|| StreamContinuation::new(self, progress)).flatten();
        let events = match continuation {
            Some(continuation) => {
                RelayedEvents::Resumable(EventBuffer::default(), Box::new(continuation))
            }
            None if is_stream => RelayedEvents::Final(EventPosition::default()),
            None => RelayedEvents::None,
        };
        let must_begin_by_ms = self.start_bound(&candidate).map(|bound| bound.until_ms);
        let gateway = self.gateway.clone();
        self.record.record_head();
        let record = std::mem::take(&mut self.record);
        let relay = Relay {
            gateway,
            incoming,
            connection: Some(connection),
            in_flight,
            deadline_ms: self.deadline_ms,
            must_begin_by_ms,
            events,
            record,
            status: head.status,
            passed_bytes: 0,
            has_begun: false,
            is_finished: false,
        };
        let silence_ms =
            self.may_retry(progress).then(|| self.silence_limit_ms(self.time_left_ms()));
        match relay.begin(silence_ms).await {
            Ok(body) => {
                if head.status.is_success() {
                    self.record_stream(&candidate, opened_ms);
                }
                Ok(Some(Response::from_parts(head, body)))
            }
            Err((not_begun, record)) => {
                self.record = record;
                self.after_head(progress, not_begun)
            }
        }
    }

    /// Classifies a response that ended between its head and its first content.
    fn after_head(
        &mut self,
        progress: &Progress,
        not_begun: NotBegun,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        // What came is no content of the next attempt.
        self.record.first_byte_ms = None;
        match not_begun {
            NotBegun::Withdrawn(feature) => Err(self.withdraw(feature)),
            NotBegun::Deadline => Err(ErrorResponse::new(ErrorKind::DeadlineWhileRunning)),
            NotBegun::OldWeights => {
                self.record.notes.push("old_weights");
                self.after_loss(progress)
            }
            NotBegun::Silent => {
                self.record.notes.push("no_answer");
                self.after_loss(progress)
            }
            NotBegun::BrokenOff => {
                self.record.notes.push("answer_cut");
                self.after_loss(progress)
            }
        }
    }

    /// Records where the stream of the response began, before its first event is passed on. From here on, the request
    /// is not sent to another endpoint.
    fn record_stream(&self, candidate: &Candidate, opened_ms: TimeMs) {
        match &self.stream {
            StreamPart::None => {}
            StreamPart::Beginning(key) => {
                self.gateway.record_stream_beginning(*key, candidate, &self.service, opened_ms);
            }
            StreamPart::Continuation { key, origin, .. } => {
                self.gateway.metrics.record_stream("continued");
                report_stream(&self.gateway, *key, *origin);
            }
        }
    }

    pub(super) async fn buffer_response(
        &mut self,
        progress: &Progress,
        head: Parts,
        incoming: Incoming,
        connection: Connection,
        mut in_flight: InFlight,
    ) -> Result<Option<Response<ResponseBody>>, ErrorResponse> {
        let left = Duration::from_millis(self.time_left_ms().get());
        let max_bytes = incoming.size_hint().upper().unwrap_or(MAX_BUFFERED_BYTES);
        let _held = self.gateway.byte_budget.take(max_bytes);
        // What is read is held here, and counted already.
        connection.meter.begin();
        let reading = Limited::new(incoming, MAX_BUFFERED_BYTES as usize).collect();
        let body = match timeout(left, reading).await {
            Err(_) => return Err(ErrorResponse::new(ErrorKind::DeadlineWhileRunning)),
            Ok(Err(error)) => {
                log::debug!(error:% = error; "response truncated");
                self.record.notes.push("answer_cut");
                let text = error_text(error.as_ref());
                in_flight.record_loss(ResponseStage::Head, Loss::Connection(&text));
                // A body that is too large says nothing of its endpoint.
                if !error.is::<LengthLimitError>() {
                    let incarnation = in_flight.candidate().incarnation;
                    self.gateway.suspect_restart(incarnation, ColdSource::ConnectionLost);
                }
                self.gateway.update_health(in_flight.endpoint(), "answer_cut", |health, now_ms| {
                    health.record_failure(now_ms, false);
                });
                return self.after_loss(progress);
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        if head.status.is_success() {
            in_flight.record_answer();
        }
        let now_ms = self.gateway.clock.now();
        self.gateway.update_health(in_flight.endpoint(), "answered", record_success);
        self.gateway.connections.release(in_flight.endpoint(), connection, now_ms);
        self.record.first_byte_ms = Some(now_ms);
        self.gateway.request_log.write(&self.record, "answered", false, now_ms);
        self.gateway
            .metrics
            .record_outcome("answered", Some(now_ms.since(self.record.started_ms).get()));
        Ok(Some(Response::from_parts(head, full_body(body))))
    }
}
