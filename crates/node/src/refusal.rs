//! Refusals: the only way in which a request can fail towards its caller.

use bilberryford_coord::NotRun;
use bilberryford_types::{ErrorKind, Ran, RetryAfter, TimeMs};
use poem::{Response, http::StatusCode};
use serde::Serialize;

/// The header that says whether the request ran.
pub(crate) const RAN_HEADER: &str = "bilberryford-ran";

/// A refusal on its way to the caller.
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
    /// A refusal after something was sent; what is known about having run is the caller's to say.
    pub(crate) const fn sent(kind: ErrorKind, ran: Ran) -> Self {
        Self { kind, ran, retry_after: None }
    }

    /// A refusal that makes no statement of its own but the table's.
    pub(crate) const fn of(kind: ErrorKind) -> Self {
        Self { kind, ran: kind.spec().ran, retry_after: None }
    }

    /// Says when to come back, before jitter, where the kind leaves it to the one who refuses.
    pub(crate) const fn come_back_in(mut self, span: TimeMs) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The kind.
    pub(crate) const fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Whether the request ran.
    pub(crate) const fn ran(&self) -> Ran {
        self.ran
    }

    /// When to come back, before jitter.
    fn come_back(&self) -> Option<TimeMs> {
        match (self.kind.spec().retry_after, self.retry_after) {
            (RetryAfter::None, _) => None,
            (_, Some(span)) => Some(span),
            (RetryAfter::FixedMs(span), None) => Some(TimeMs(span)),
            (RetryAfter::DrainRate, None) => Some(TimeMs(1_000)),
        }
    }

    /// The body of the refusal.
    pub(crate) fn body(&self) -> Vec<u8> {
        let message = self.kind.spec().message;
        let body = Body { error: ErrorBody { kind: self.kind, message, ran: self.ran } };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    /// The event that ends a stream whose status has been sent already.
    pub(crate) fn into_event(self) -> Vec<u8> {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&self.body());
        event.extend_from_slice(b"\n\n");
        event
    }

    /// The HTTP answer, with jitter on `Retry-After` so that refused callers don't come back together.
    pub(crate) fn into_response(self) -> Response {
        let answer = self.kind.spec();
        let ran: &'static str = self.ran.into();
        let mut response = Response::builder()
            .status(
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            )
            .content_type("application/json")
            .header(RAN_HEADER, ran);
        if let Some(span) = self.come_back() {
            let spread = rand::random_range(0..=span.get() / 2 + 500);
            response = response.header("retry-after", (span.get() + spread).div_ceil(1_000).max(1));
        }
        response.body(self.body())
    }
}
