//! Streams an endpoint's response body to the caller.

use std::{io, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use tokio::{task::yield_now, time::timeout};

use crate::{
    connections::Connection,
    event_stream::EventPosition,
    features::ResponseStage,
    gateway::{ANSWER_AGE_MS, Gateway},
    health::EndpointHealth,
    in_flight::InFlight,
    request_log::RequestRecord,
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
    /// The position in a stream of events; none for other responses.
    pub(crate) event_position: Option<EventPosition>,
    pub(crate) record: RequestRecord,
    /// True if its status states that the endpoint ran the request.
    pub(crate) is_success: bool,
    pub(crate) is_finished: bool,
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

    /// Records that the response is complete.
    fn complete(&mut self) {
        if self.is_finished {
            return;
        }
        if self.is_success {
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
        self.event_position.is_some_and(|position| position.is_inside_event())
    }

    /// Records that the endpoint broke the response off.
    fn break_off(&mut self) {
        let now_ms = self.gateway.clock.now();
        self.in_flight.record_loss(ResponseStage::after_head(self.record.first_byte_ms, now_ms));
        let endpoint = self.in_flight.endpoint();
        self.gateway.update_health(endpoint, "answer_cut", |health, now_ms| {
            health.record_failure(now_ms, false);
        });
        self.finish("answer_cut", true);
    }

    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let time_left_ms = self.deadline_ms.since(self.gateway.clock.now());
            let wait = Duration::from_millis(time_left_ms.get());
            // A timeout does not end a wait for what is always there.
            let frame = match time_left_ms {
                TimeMs(0) => None,
                _ if self.record.first_byte_ms.is_some() => {
                    timeout(wait, self.incoming.frame()).await.ok()
                }
                _ => tokio::select! {
                    frame = timeout(wait, self.incoming.frame()) => frame.ok(),
                    feature = self.gateway.quarantine_of(self.in_flight.features()) => {
                        self.record.blamed = Some(self.in_flight.features().describe(feature));
                        self.finish("held_back", true);
                        return Some(Err(io::ErrorKind::ConnectionAborted.into()));
                    }
                },
            };
            match frame {
                None => {
                    if self.record.first_byte_ms.is_none() {
                        // An endpoint that ended silently shows no other sign.
                        self.in_flight.record_loss(ResponseStage::Head);
                    }
                    self.finish("deadline_in_answer", true);
                    return Some(Err(io::ErrorKind::TimedOut.into()));
                }
                Some(Some(Err(error))) => {
                    self.break_off();
                    return Some(Err(io::Error::other(error)));
                }
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.gateway.record_received(self.in_flight.endpoint());
                    let now_ms = self.gateway.clock.now();
                    match self.record.first_byte_ms {
                        None => {
                            self.record.first_byte_ms = Some(now_ms);
                            self.in_flight.record_first_byte();
                        }
                        Some(at_ms) if self.is_success && now_ms.since(at_ms) >= ANSWER_AGE_MS => {
                            self.in_flight.record_answer();
                        }
                        Some(_) => {}
                    }
                    if let Some(position) = &mut self.event_position {
                        position.read(&data);
                    }
                    // The server asks for nothing after the last byte of a body whose length it knows.
                    if self.incoming.is_end_stream() && !self.is_inside_event() {
                        self.complete();
                    }
                    return Some(Ok(data));
                }
                Some(None) if self.is_inside_event() => {
                    self.break_off();
                    // The server writes what came before while the body is pending, and nothing after an error.
                    yield_now().await;
                    return Some(Err(io::ErrorKind::UnexpectedEof.into()));
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
        self.finish("caller_left_in_answer", true);
    }
}

/// The streamed body, which ends with an error if the response is incomplete.
pub(crate) fn relay_body(relay: Relay) -> ResponseBody {
    let items = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        let item = relay.next_chunk().await?;
        let is_last = item.is_err();
        Some((item.map(Frame::data), (!is_last).then_some(relay)))
    });
    StreamBody::new(items).boxed_unsync()
}

/// Records a complete response in the health of its endpoint.
pub(crate) fn record_success(health: &mut EndpointHealth, _now_ms: TimeMs) {
    health.record_success();
}
