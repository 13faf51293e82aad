//! The end of a request whose caller gets no complete response: one log line and one count for each, with its reason.
//!
//! An incomplete response is a closed connection to its caller, who sees the same whether the endpoint broke it off, a limit
//! of this instance ended it, or the instance had to exit. See "A caller says that its answer stopped" in
//! `docs/OPERATIONS.md`.

use std::{error::Error, io};

use bilberryford_callers::error_chain;
use bilberryford_types::TimeMs;
use hyper::StatusCode;

use crate::{
    features::ResponseStage, gateway::Gateway, peer_loads::EndpointTag, request_log::RequestRecord,
    response_meter::TooMuchOverhead,
};

/// The reasons for which a request ends without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ResponseEndReason {
    /// The connection to the endpoint was reset or closed.
    ConnectionFailed,
    /// The endpoint ended a stream inside an event.
    EndedInsideEvent,
    /// The endpoint left bytes unacknowledged for too long.
    ConnectionTimedOut,
    /// The endpoint sent bytes that are no response.
    Malformed,
    /// The endpoint sent too many bytes without any content.
    TooMuchOverhead,
    /// The response held most when the budget of bytes was full.
    OverBudget,
    /// The deadline of the request passed.
    Deadline,
    /// The caller closed its connection.
    CallerLeft,
    /// The instance had to exit.
    StopEnded,
}

/// Who decided that a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Decider {
    /// A limit of this instance.
    Instance,
    Endpoint,
    /// The caller, by leaving or by the time that its request has.
    Caller,
    /// The planned stop of this instance.
    Stop,
}

impl ResponseEndReason {
    pub(crate) fn decider(self) -> Decider {
        match self {
            Self::ConnectionFailed | Self::EndedInsideEvent => Decider::Endpoint,
            Self::ConnectionTimedOut
            | Self::Malformed
            | Self::TooMuchOverhead
            | Self::OverBudget => Decider::Instance,
            Self::Deadline | Self::CallerLeft => Decider::Caller,
            Self::StopEnded => Decider::Stop,
        }
    }

    /// The reason for which a connection to an endpoint failed with `error`.
    pub(crate) fn of_connection(error: &(dyn Error + 'static)) -> Self {
        let cause = error_chain(error).find_map(|error| error.downcast_ref::<io::Error>());
        if cause.is_some_and(TooMuchOverhead::is_cause_of) {
            return Self::TooMuchOverhead;
        }
        match cause.map(io::Error::kind) {
            Some(io::ErrorKind::TimedOut) => Self::ConnectionTimedOut,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::Malformed,
            _ => Self::ConnectionFailed,
        }
    }

    /// The reason for which a response is dropped that neither failed nor was complete.
    pub(crate) fn of_drop(gateway: &Gateway) -> Self {
        if gateway.is_stop_due() { Self::StopEnded } else { Self::CallerLeft }
    }
}

/// How far a planned stop of the instance has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum StopPhase {
    /// None has begun.
    Running,
    /// Connections are still accepted, while the load balancer notices.
    Draining,
    /// Connections end after their responses.
    Closing,
    /// What is not ready is given up.
    Ending,
}

impl StopPhase {
    pub(crate) fn of(gateway: &Gateway) -> Self {
        if gateway.is_stop_due() {
            Self::Ending
        } else if gateway.stop_stages.is_closing() {
            Self::Closing
        } else if gateway.is_stopping() {
            Self::Draining
        } else {
            Self::Running
        }
    }
}

/// The end of a request without a complete response.
pub(crate) struct ResponseEnd<'a> {
    pub(crate) reason: ResponseEndReason,
    pub(crate) stage: ResponseStage,
    pub(crate) incarnation: Option<EndpointTag>,
    /// The status that the caller got.
    pub(crate) status: Option<StatusCode>,
    /// The bytes of content that were passed on to the caller.
    pub(crate) content_bytes: u64,
    /// The text of the error that ended it.
    pub(crate) error: &'a str,
}

impl ResponseEnd<'_> {
    /// Counts the end, and writes its log line within the rate limit.
    pub(crate) fn record(&self, gateway: &Gateway, request: &RequestRecord) {
        let now_ms = gateway.clock.now();
        let decider = self.reason.decider();
        let phase = StopPhase::of(gateway);
        gateway.metrics.record_response_end(self.reason, phase, self.stage);
        let is_of_instance = matches!(decider, Decider::Instance | Decider::Stop);
        let Some(suppressed) = gateway.request_log.take_end_record(is_of_instance, now_ms) else {
            return;
        };
        let level = if is_of_instance { log::Level::Warn } else { log::Level::Info };
        let [reason, decider, phase, stage]: [&'static str; 4] =
            [self.reason.into(), decider.into(), phase.into(), self.stage.into()];
        log::log!(
            target: "response", level,
            request = request.request_id.as_deref().unwrap_or_default(),
            reason = reason,
            decided_by = decider,
            phase = phase,
            stop_age_ms = gateway.stop_age_ms().map_or(0, TimeMs::get),
            stage = stage,
            content_age_ms = self.stage.content_age_ms().map_or(0, TimeMs::get),
            route = request.route.as_deref().unwrap_or_default(),
            endpoint = request.endpoint.as_ref().map_or("", |id| id.as_str()),
            incarnation:% = self.incarnation.map(|tag| tag.to_string()).unwrap_or_default(),
            status = self.status.map_or(0, |status| status.as_u16()),
            content_bytes = self.content_bytes,
            error = self.error,
            elapsed_ms = now_ms.since(request.started_ms).get(),
            left_out = suppressed;
            "request ended without a complete response"
        );
    }
}
