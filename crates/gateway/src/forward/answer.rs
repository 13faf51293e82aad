//! Passes an endpoint's answer on: whole where it is small and not a stream, and as it arrives otherwise.

use std::time::Duration;

use bilberryford_types::ErrorKind;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Response,
    body::{Body as _, Incoming},
    http::response::Parts,
};
use tokio::time::timeout;

use super::{Forward, Progress, remove_hop_by_hop};
use crate::{
    answers::{AnswerBody, OwnAnswer, whole},
    body::{Relay, relay, succeeded},
    connections::Connection,
    deployment::Repeatable,
    in_flight::InFlight,
};

/// The largest answer that is read whole before it is passed on, in bytes, so that a cut one can be repeated.
const MAX_BUFFERED: u64 = 64 * 1024;

impl Forward {
    pub(super) async fn answer(
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

    pub(super) async fn whole_answer(
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
                in_flight.record_loss();
                self.gateway.judge(in_flight.endpoint(), "answer_cut", |health, now_ms| {
                    health.record_failure(now_ms, false);
                });
                return self.lost(progress);
            }
            Ok(Ok(body)) => body.to_bytes(),
        };
        in_flight.record_response();
        let now_ms = self.gateway.clock.now();
        self.gateway.judge(in_flight.endpoint(), "answered", succeeded);
        self.gateway.connections.keep(in_flight.endpoint(), connection, now_ms);
        self.line.first_byte_ms = Some(now_ms);
        self.gateway.request_log.write(&self.line, "answered", false, now_ms);
        self.gateway.metrics.outcome("answered", Some(now_ms.since(self.line.started_ms).get()));
        Ok(Some(Response::from_parts(head, whole(body))))
    }
}
