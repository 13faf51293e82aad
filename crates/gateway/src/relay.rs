//! Streams an endpoint's response body to the caller.
//!
//! The head of a response is passed on together with its first content. Whatever ends the response before then has delivered
//! nothing, and is treated like a loss before the head: by another attempt, or by a complete error response.

mod first_content;

pub(crate) use first_content::NotBegun;

use std::{future::poll_fn, io, pin::pin, sync::Arc, task::Poll, time::Duration};

use bilberryford_callers::error_text;
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
    response_end::{ResponseEnd, ResponseEndReason},
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
    pub(crate) events: RelayedEvents,
    pub(crate) record: RequestRecord,
    /// The status of the response.
    pub(crate) status: StatusCode,
    /// The bytes of content that were passed on.
    pub(crate) passed_bytes: u64,
    /// True once there is content to pass on. Until then, the end of the request is recorded by who waits for the response.
    pub(crate) has_begun: bool,
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

/// What comes of a part of a response.
enum Chunk {
    /// Content to pass on.
    Data(Bytes),
    /// Nothing to pass on yet.
    Nothing,
    /// The response is complete.
    End,
    /// The endpoint broke the response off.
    BrokenOff(BrokenOff),
}

/// Why and with which error an endpoint broke a response off.
pub(crate) struct BrokenOff {
    reason: ResponseEndReason,
    error: String,
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
    fn end_incomplete(&mut self, reason: ResponseEndReason, error: &str) {
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
        let outcome = match reason {
            ResponseEndReason::Deadline => "deadline_in_answer",
            ResponseEndReason::StopEnded => "stopped_in_answer",
            ResponseEndReason::CallerLeft => "caller_left_in_answer",
            _ => "answer_cut",
        };
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

    /// True once the response has content: for a stream of events, a complete one. An endpoint may send comments while a request
    /// waits.
    fn has_content(&self) -> bool {
        match &self.events {
            RelayedEvents::None => true,
            RelayedEvents::Final(position) => position.has_event(),
            RelayedEvents::Resumable(buffer, _) => buffer.has_event(),
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
    async fn go_on(mut self, broken_off: &BrokenOff) -> Option<ResponseBody> {
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
            None => self.end_incomplete(broken_off.reason, &broken_off.error),
        }
        rest
    }

    /// The next frame of the response, or none if it does not come in time. While it is waited for, nothing of the response is
    /// held.
    async fn next_frame(
        incoming: &mut Incoming,
        connection: Option<&Connection>,
        time_left_ms: TimeMs,
    ) -> Option<Option<hyper::Result<Frame<Bytes>>>> {
        // A timeout does not end a wait for what is always there.
        if time_left_ms == TimeMs(0) {
            return None;
        }
        let mut frame = pin!(incoming.frame());
        let frame = poll_fn(|cx| {
            let polled = frame.as_mut().poll(cx);
            if let (Poll::Pending, Some(connection)) = (&polled, connection) {
                connection.meter.drained();
            }
            polled
        });
        timeout(Duration::from_millis(time_left_ms.get()), frame).await.ok()
    }

    /// Records that the endpoint broke the response off, or that it was ended since the budget of bytes was full.
    fn break_off(&mut self, reason: ResponseEndReason, error: String) -> BrokenOff {
        self.in_flight.record_loss(self.stage(), Loss::Connection(&error));
        let incarnation = self.in_flight.candidate().incarnation;
        self.gateway.suspect_restart(incarnation, ColdSource::ConnectionLost);
        let endpoint = self.in_flight.endpoint();
        let is_over_budget = reason == ResponseEndReason::OverBudget;
        let health_reason = if is_over_budget { "over_budget" } else { "answer_cut" };
        self.gateway.update_health(endpoint, health_reason, |health, now_ms| {
            health.record_failure(now_ms, is_over_budget);
        });
        if is_over_budget {
            self.record.notes.push(health_reason);
        }
        self.connection = None;
        BrokenOff { reason, error }
    }

    fn failure_reason(&self, error: &hyper::Error) -> ResponseEndReason {
        if self.connection.as_ref().is_some_and(Connection::is_over_budget) {
            ResponseEndReason::OverBudget
        } else {
            ResponseEndReason::of_connection(error)
        }
    }

    /// The next part of a response that has begun.
    async fn next_chunk(&mut self) -> Option<Chunk> {
        let time_left_ms = self.deadline_ms.since(self.gateway.clock.now());
        let connection = self.connection.as_ref();
        let frame = Self::next_frame(&mut self.incoming, connection, time_left_ms).await?;
        Some(self.read(frame))
    }

    fn read(&mut self, frame: Option<hyper::Result<Frame<Bytes>>>) -> Chunk {
        match frame {
            Some(Ok(frame)) => {
                frame.into_data().map_or(Chunk::Nothing, |data| self.read_data(data))
            }
            Some(Err(error)) => {
                let reason = self.failure_reason(&error);
                Chunk::BrokenOff(self.break_off(reason, error_text(&error)))
            }
            None if self.is_inside_event() => {
                let text = "the stream ends inside an event".to_owned();
                Chunk::BrokenOff(self.break_off(ResponseEndReason::EndedInsideEvent, text))
            }
            None => {
                self.complete();
                Chunk::End
            }
        }
    }

    fn read_data(&mut self, data: Bytes) -> Chunk {
        if let Some(connection) = &self.connection {
            connection.meter.pass(data.len());
        }
        self.gateway.record_received(self.in_flight.endpoint());
        let now_ms = self.gateway.clock.now();
        let data = self.read_events(data);
        match self.record.first_byte_ms {
            None if !self.has_content() => {}
            None => {
                self.record.first_byte_ms = Some(now_ms);
                let took_ms = self.in_flight.record_first_byte();
                self.record.prompt.first_token_ms =
                    self.record.prompt.predicted_ms.map(|_| took_ms);
            }
            Some(at_ms) if self.status.is_success() && now_ms.since(at_ms) >= ANSWER_AGE_MS => {
                self.in_flight.record_answer();
            }
            Some(_) => {}
        }
        // The server asks for nothing after the last byte of a body whose length it knows.
        if self.incoming.is_end_stream() && !self.is_inside_event() {
            self.complete();
        }
        if data.is_empty() {
            return Chunk::Nothing;
        }
        self.passed_bytes += data.len() as u64;
        Chunk::Data(data)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.has_begun {
            self.end_incomplete(ResponseEndReason::of_drop(&self.gateway), "");
        }
    }
}

/// A body that is being streamed: from the endpoint, or as the rest of a stream that goes on at another one.
enum RelayState {
    /// Its first content.
    Beginning(Bytes, Box<Relay>),
    Relaying(Box<Relay>),
    WentOn(ResponseBody),
}

type RelayItem = (io::Result<Frame<Bytes>>, Option<RelayState>);

async fn next_item(mut state: RelayState) -> Option<RelayItem> {
    loop {
        match state {
            RelayState::Beginning(data, relay) => {
                return Some((Ok(Frame::data(data)), Some(RelayState::Relaying(relay))));
            }
            RelayState::Relaying(mut relay) => match relay.next_chunk().await {
                Some(Chunk::Data(data)) => {
                    return Some((Ok(Frame::data(data)), Some(RelayState::Relaying(relay))));
                }
                Some(Chunk::Nothing) => state = RelayState::Relaying(relay),
                Some(Chunk::End) => return None,
                Some(Chunk::BrokenOff(broken_off)) => match relay.go_on(&broken_off).await {
                    Some(rest) => state = RelayState::WentOn(rest),
                    None => return Some(failed(io::Error::other(broken_off.error)).await),
                },
                None => {
                    relay.end_incomplete(ResponseEndReason::Deadline, "");
                    return Some(failed(io::ErrorKind::TimedOut.into()).await);
                }
            },
            RelayState::WentOn(mut rest) => {
                let frame = rest.frame().await?;
                let is_last = frame.is_err();
                return Some((frame, (!is_last).then_some(RelayState::WentOn(rest))));
            }
        }
    }
}

/// The end of an incomplete body. The server writes what came before while the body is pending, and nothing after an error.
async fn failed(error: io::Error) -> RelayItem {
    yield_now().await;
    (Err(error), None)
}

/// The streamed body, which ends with an error if the response is incomplete.
fn body_of(state: Option<RelayState>) -> ResponseBody {
    let items = stream::unfold(state, |state| async move { next_item(state?).await });
    StreamBody::new(items).boxed_unsync()
}

/// Records a complete response in the health of its endpoint.
pub(crate) fn record_success(health: &mut EndpointHealth, _now_ms: TimeMs) {
    health.record_success();
}
