//! Streams an endpoint's response body to the caller.

use std::{future::poll_fn, io, pin::pin, sync::Arc, task::Poll, time::Duration};

use bilberryford_types::TimeMs;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    StatusCode,
    body::{Body as _, Frame, Incoming},
};
use tokio::{task::yield_now, time::timeout};

use crate::{
    cold_endpoints::ColdSource,
    connections::Connection,
    event_stream::{EventBuffer, EventPosition},
    features::{Loss, ResponseStage},
    forward::StreamContinuation,
    gateway::{ANSWER_AGE_MS, Gateway},
    health::EndpointHealth,
    in_flight::InFlight,
    request_log::RequestRecord,
    response_end::{EndReason, ResponseEnd, error_text},
    responses::ResponseBody,
};

/// A response that is being streamed. Dropping it before its end closes the connection to the endpoint, which cancels
/// the request there.
pub(crate) struct Relay {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) incoming: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) in_flight: InFlight,
    pub(crate) deadline_ms: TimeMs,
    /// The time by which its first content must have come, since its engine has older weights.
    pub(crate) must_begin_by_ms: Option<TimeMs>,
    pub(crate) events: RelayedEvents,
    pub(crate) record: RequestRecord,
    /// The status of the response.
    pub(crate) status: StatusCode,
    /// The bytes of content that were passed on.
    pub(crate) passed_bytes: u64,
    /// Why the endpoint broke the response off, with the text of the error.
    pub(crate) broken_off: Option<(EndReason, String)>,
    pub(crate) is_finished: bool,
}

/// The events of a response.
pub(crate) enum RelayedEvents {
    /// The response is no stream of events.
    None,
    /// The stream ends with this response.
    Final(EventPosition),
    /// The stream may go on at another endpoint.
    Resumable(EventBuffer, Box<StreamContinuation>),
}

/// The next part of a relayed body.
enum Chunk {
    Data(Bytes),
    /// The response ends here, incomplete.
    Failed(io::Error),
    /// The endpoint broke the response off.
    BrokenOff(io::Error),
}

impl Relay {
    fn finish(&mut self, outcome: &'static str, is_failure: bool) {
        if !std::mem::replace(&mut self.is_finished, true) {
            let now_ms = self.gateway.clock.now();
            self.gateway.request_log.write(&self.record, outcome, is_failure, now_ms);
            let first_byte_ms =
                self.record.first_byte_ms.map(|at| at.since(self.record.started_ms).get());
            self.gateway.metrics.record_outcome(outcome, first_byte_ms);
        }
    }

    fn stage(&self) -> ResponseStage {
        ResponseStage::after_head(self.record.first_byte_ms, self.gateway.clock.now())
    }

    /// Records that the caller gets no complete response.
    fn end_incomplete(&mut self, outcome: &'static str, reason: EndReason, error: &str) {
        if self.is_finished {
            return;
        }
        let end = ResponseEnd {
            reason,
            stage: self.stage(),
            incarnation: Some(self.in_flight.candidate().incarnation),
            status: Some(self.status),
            content_bytes: self.passed_bytes,
            error,
        };
        end.record(&self.gateway, &self.record);
        self.finish(outcome, true);
    }

    /// Records that the response is complete.
    fn complete(&mut self) {
        if self.is_finished {
            return;
        }
        if self.status.is_success() {
            self.in_flight.record_answer();
        }
        let endpoint = self.in_flight.endpoint();
        self.gateway.update_health(endpoint, "answered", record_success);
        if let Some(connection) = self.connection.take() {
            self.gateway.connections.release(endpoint, connection, self.gateway.clock.now());
        }
        self.finish("answered", false);
    }

    fn is_inside_event(&self) -> bool {
        match &self.events {
            RelayedEvents::None => false,
            RelayedEvents::Final(position) => position.is_inside_event(),
            RelayedEvents::Resumable(buffer, _) => buffer.is_inside_event(),
        }
    }

    /// Reads the next bytes of the response, and returns those that are to be passed on.
    fn read_events(&mut self, data: Bytes) -> Bytes {
        match &mut self.events {
            RelayedEvents::None => data,
            RelayedEvents::Final(position) => {
                position.read(&data);
                data
            }
            RelayedEvents::Resumable(buffer, _) => buffer.push(&data),
        }
    }

    /// Goes on with a stream that the endpoint broke off, and returns the rest of it; none if it ends here.
    async fn go_on(mut self) -> Option<ResponseBody> {
        let now_ms = self.gateway.clock.now();
        let content_age_ms = self.record.first_byte_ms.map(|at_ms| now_ms.since(at_ms));
        let rest = match std::mem::replace(&mut self.events, RelayedEvents::None) {
            RelayedEvents::Resumable(buffer, continuation) => {
                let last_event_id = buffer.last_event_id().map(str::to_owned);
                match last_event_id {
                    Some(id) => continuation.go_on(id, content_age_ms).await,
                    None => None,
                }
            }
            RelayedEvents::None | RelayedEvents::Final(_) => None,
        };
        match rest {
            Some(_) => self.finish("went_on_elsewhere", false),
            None => {
                let broken_off = self.broken_off.take();
                let (reason, error) =
                    broken_off.unwrap_or((EndReason::ConnectionFailed, String::new()));
                self.end_incomplete("answer_cut", reason, &error);
            }
        }
        rest
    }

    /// The next frame of the response. While it is waited for, nothing of the response is held.
    async fn next_frame(
        incoming: &mut Incoming,
        connection: Option<&Connection>,
    ) -> Option<hyper::Result<Frame<Bytes>>> {
        let mut frame = pin!(incoming.frame());
        poll_fn(|cx| {
            let polled = frame.as_mut().poll(cx);
            if let (Poll::Pending, Some(connection)) = (&polled, connection) {
                connection.meter.drained();
            }
            polled
        })
        .await
    }

    /// Records that the endpoint broke the response off, or that it was ended since the budget of bytes was full.
    fn break_off(&mut self, reason: EndReason, error: String) {
        self.in_flight.record_loss(self.stage(), Loss::Connection(&error));
        let incarnation = self.in_flight.candidate().incarnation;
        self.gateway.suspect_restart(incarnation, ColdSource::ConnectionLost);
        let endpoint = self.in_flight.endpoint();
        let is_over_budget = reason == EndReason::OverBudget;
        self.broken_off = Some((reason, error));
        let reason = if is_over_budget { "over_budget" } else { "answer_cut" };
        self.gateway.update_health(endpoint, reason, |health, now_ms| {
            health.record_failure(now_ms, is_over_budget);
        });
        if is_over_budget {
            self.record.notes.push(reason);
        }
        self.connection = None;
    }

    fn failure_reason(&self, error: &hyper::Error) -> EndReason {
        if self.connection.as_ref().is_some_and(Connection::is_over_budget) {
            EndReason::OverBudget
        } else {
            EndReason::of_connection(error)
        }
    }

    async fn next_chunk(&mut self) -> Option<Chunk> {
        loop {
            let until_ms = match self.must_begin_by_ms {
                Some(by_ms) if self.record.first_byte_ms.is_none() => by_ms.min(self.deadline_ms),
                _ => self.deadline_ms,
            };
            let time_left_ms = until_ms.since(self.gateway.clock.now());
            let wait = Duration::from_millis(time_left_ms.get());
            // A timeout does not end a wait for what is always there.
            let frame = match time_left_ms {
                TimeMs(0) => None,
                _ if self.record.first_byte_ms.is_some() => {
                    timeout(wait, Self::next_frame(&mut self.incoming, self.connection.as_ref()))
                        .await
                        .ok()
                }
                _ => tokio::select! {
                    frame = timeout(wait, Self::next_frame(&mut self.incoming, self.connection.as_ref())) => frame.ok(),
                    feature = self.gateway.quarantine_of(self.in_flight.features()) => {
                        self.record.blamed = Some(self.in_flight.features().describe(feature));
                        self.end_incomplete("held_back", EndReason::Quarantined, "");
                        return Some(Chunk::Failed(io::ErrorKind::ConnectionAborted.into()));
                    }
                },
            };
            match frame {
                None if until_ms < self.deadline_ms => {
                    self.end_incomplete("old_weights", EndReason::OldWeights, "");
                    return Some(Chunk::Failed(io::ErrorKind::TimedOut.into()));
                }
                None => {
                    if self.record.first_byte_ms.is_none() {
                        // An endpoint that ended silently shows no other sign.
                        self.in_flight.record_loss(ResponseStage::Head, Loss::Silence);
                    }
                    self.end_incomplete("deadline_in_answer", EndReason::Deadline, "");
                    return Some(Chunk::Failed(io::ErrorKind::TimedOut.into()));
                }
                Some(Some(Err(error))) => {
                    self.break_off(self.failure_reason(&error), error_text(&error));
                    return Some(Chunk::BrokenOff(io::Error::other(error)));
                }
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if let Some(connection) = &self.connection {
                        connection.meter.pass(data.len());
                    }
                    self.gateway.record_received(self.in_flight.endpoint());
                    let now_ms = self.gateway.clock.now();
                    match self.record.first_byte_ms {
                        None => {
                            self.record.first_byte_ms = Some(now_ms);
                            let took_ms = self.in_flight.record_first_byte();
                            self.record.prompt.first_token_ms =
                                self.record.prompt.predicted_ms.map(|_| took_ms);
                        }
                        Some(at_ms)
                            if self.status.is_success() && now_ms.since(at_ms) >= ANSWER_AGE_MS =>
                        {
                            self.in_flight.record_answer();
                        }
                        Some(_) => {}
                    }
                    let data = self.read_events(data);
                    // The server asks for nothing after the last byte of a body whose length it knows.
                    if self.incoming.is_end_stream() && !self.is_inside_event() {
                        self.complete();
                    }
                    if !data.is_empty() {
                        self.passed_bytes += data.len() as u64;
                        return Some(Chunk::Data(data));
                    }
                }
                Some(None) if self.is_inside_event() => {
                    let text = "the stream ends inside an event".to_owned();
                    self.break_off(EndReason::EndedInsideEvent, text);
                    // The server writes what came before while the body is pending, and nothing after an error.
                    yield_now().await;
                    return Some(Chunk::BrokenOff(io::ErrorKind::UnexpectedEof.into()));
                }
                Some(None) => {
                    self.complete();
                    return None;
                }
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let reason = EndReason::of_drop(&self.gateway);
        let outcome = match reason {
            EndReason::StopEnded => "stopped_in_answer",
            _ => "caller_left_in_answer",
        };
        self.end_incomplete(outcome, reason, "");
    }
}

/// A body that is being streamed: from the endpoint, or as the rest of a stream that goes on at another one.
enum RelayState {
    Relaying(Box<Relay>),
    WentOn(ResponseBody),
}

type RelayItem = (io::Result<Frame<Bytes>>, Option<RelayState>);

async fn next_item(mut state: RelayState) -> Option<RelayItem> {
    loop {
        match state {
            RelayState::Relaying(mut relay) => match relay.next_chunk().await? {
                Chunk::Data(data) => {
                    return Some((Ok(Frame::data(data)), Some(RelayState::Relaying(relay))));
                }
                Chunk::Failed(error) => return Some((Err(error), None)),
                Chunk::BrokenOff(error) => match relay.go_on().await {
                    Some(rest) => state = RelayState::WentOn(rest),
                    None => return Some((Err(error), None)),
                },
            },
            RelayState::WentOn(mut rest) => {
                let frame = rest.frame().await?;
                let is_last = frame.is_err();
                return Some((frame, (!is_last).then_some(RelayState::WentOn(rest))));
            }
        }
    }
}

/// The streamed body, which ends with an error if the response is incomplete.
pub(crate) fn relay_body(relay: Relay) -> ResponseBody {
    let items = stream::unfold(Some(RelayState::Relaying(Box::new(relay))), |state| async move {
        next_item(state?).await
    });
    StreamBody::new(items).boxed_unsync()
}

/// Records a complete response in the health of its endpoint.
pub(crate) fn record_success(health: &mut EndpointHealth, _now_ms: TimeMs) {
    health.record_success();
}
