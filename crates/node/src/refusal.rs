//! Refusals: the error responses that callers receive. A request fails towards its caller in no other way.

use bilberryford_coord::NotRun;
use bilberryford_types::{ErrorKind, Ran, RetryAfter, TimeMs};
use poem::{Response, http::StatusCode};
use serde::Serialize;

/// The response header that states whether the request ran.
pub(crate) const RAN_HEADER: &str = "bilberryford-ran";

/// An error response to a caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    kind: ErrorKind,
    ran: Ran,
    retry_after: Option<TimeMs>,
}

#[derive(Serialize)]
struct Body {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    #[serde(rename = "type")]
    kind: ErrorKind,
    message: &'static str,
    ran: Ran,
}

impl From<NotRun> for Refusal {
    fn from(not_run: NotRun) -> Self {
        Self { kind: not_run.kind(), ran: Ran::No, retry_after: None }
    }
}

impl Refusal {
    /// A refusal after the request was sent to an endpoint, or may have been; `ran` says what is known about its run.
    pub(crate) const fn after_send(kind: ErrorKind, ran: Ran) -> Self {
        Self { kind, ran, retry_after: None }
    }

    /// A refusal that takes all its properties from the table of error kinds.
    pub(crate) const fn of(kind: ErrorKind) -> Self {
        Self { kind, ran: kind.spec().ran, retry_after: None }
    }

    /// Sets the time for `Retry-After`, before jitter; it has no effect for kinds that are not to be retried.
    pub(crate) const fn with_retry_after(mut self, span: TimeMs) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The error kind.
    pub(crate) const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// States whether the request ran.
    pub(crate) const fn ran(&self) -> Ran {
        self.ran
    }

    /// The time for `Retry-After`, before jitter.
    fn retry_after(&self) -> Option<TimeMs> {
        match (self.kind.spec().retry_after, self.retry_after) {
            (RetryAfter::None, _) => None,
            (_, Some(span)) => Some(span),
            (RetryAfter::FixedMs(span), None) => Some(TimeMs(span)),
            (RetryAfter::DrainRate, None) => Some(TimeMs(1_000)),
        }
    }

    /// The JSON body.
    pub(crate) fn body(&self) -> Vec<u8> {
        let message = self.kind.spec().message;
        let body = Body { error: ErrorBody { kind: self.kind, message, ran: self.ran } };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The server-sent event that ends a stream after its status and headers were sent.
    pub(crate) fn into_event(self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&self.body());
        event.extend_from_slice(b"\n\n");
        event
    }

    /// The HTTP response, with jitter on `Retry-After` so that refused callers don't retry at the same time.
    pub(crate) fn into_response(self) -> Response {
        let properties = self.kind.spec();
        let ran: &'static str = self.ran.into();
        let mut response = Response::builder()
            .status(
                StatusCode::from_u16(properties.status)
                    .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            )
            .content_type("application/json")
            .header(RAN_HEADER, ran);
        if let Some(span) = self.retry_after() {
            let spread = rand::random_range(0..=span.get() / 2 + 500);
            response = response.header("retry-after", (span.get() + spread).div_ceil(1_000).max(1));
        }
        response.body(self.body())
    }
}
