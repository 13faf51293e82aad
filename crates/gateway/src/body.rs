//! Passes an endpoint's answer on as it arrives.

use std::{io, sync::Arc, time::Duration};

use bilberryford_types::TimeMs;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::timeout;

use crate::{
    answers::AnswerBody, connections::Connection, gateway::Gateway, health::EndpointHealth,
    in_flight::InFlight, request_log::RequestLine,
};

/// An answer on its way; dropping it closes the endpoint's connection, which stops its work.
pub(crate) struct Relay {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) incoming: Incoming,
    pub(crate) connection: Option<Connection>,
    pub(crate) in_flight: InFlight,
    pub(crate) deadline_ms: TimeMs,
    pub(crate) line: RequestLine,
    pub(crate) is_over: bool,
}

impl Relay {
    fn finish(&mut self, outcome: &'static str, is_failure: bool) {
        if !std::mem::replace(&mut self.is_over, true) {
            let now_ms = self.gateway.clock.now();
            self.gateway.request_log.write(&self.line, outcome, is_failure, now_ms);
            let first_byte_ms =
                self.line.first_byte_ms.map(|at| at.since(self.line.started_ms).get());
            self.gateway.metrics.outcome(outcome, first_byte_ms);
        }
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let left_ms = self.deadline_ms.since(self.gateway.clock.now());
            let frame = timeout(Duration::from_millis(left_ms.get()), self.incoming.frame()).await;
            match frame {
                Err(_) => {
                    self.finish("deadline_in_answer", true);
                    return Some(Err(io::ErrorKind::TimedOut.into()));
                }
                Ok(Some(Err(error))) => {
                    self.in_flight.record_loss();
                    self.gateway.judge(
                        self.in_flight.endpoint(),
                        "answer_cut",
                        |health, now_ms| {
                            health.record_failure(now_ms, false);
                        },
                    );
                    self.finish("answer_cut", true);
                    return Some(Err(io::Error::other(error)));
                }
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    self.gateway.hear(self.in_flight.endpoint());
                    if self.line.first_byte_ms.is_none() {
                        self.line.first_byte_ms = Some(self.gateway.clock.now());
                        self.in_flight.record_first_byte();
                    }
                    return Some(Ok(data));
                }
                Ok(None) => {
                    self.in_flight.record_response();
                    self.gateway.judge(self.in_flight.endpoint(), "answered", succeeded);
                    if let Some(connection) = self.connection.take() {
                        let now_ms = self.gateway.clock.now();
                        self.gateway.connections.keep(
                            self.in_flight.endpoint(),
                            connection,
                            now_ms,
                        );
                    }
                    self.finish("answered", false);
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

/// The answer's body, which ends with an error when the answer is not whole.
pub(crate) fn relay(relay: Relay) -> AnswerBody {
    let items = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        let item = relay.next().await?;
        let is_last = item.is_err();
        Some((item.map(Frame::data), (!is_last).then_some(relay)))
    });
    StreamBody::new(items).boxed_unsync()
}
/// What a whole answer says of its endpoint.
pub(crate) fn succeeded(health: &mut EndpointHealth, _now_ms: TimeMs) {
    health.record_success();
}
