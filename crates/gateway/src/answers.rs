//! Answers of the gateway itself: the table of error kinds, with the time to come back.

use bilberryford_types::{ErrorKind, RetryAfter, TimeMs};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use crate::translation::Translation;

/// The body of an answer; an error ends the connection, so that a cut answer never looks whole.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body that is whole.
pub(crate) fn whole(body: impl Into<Bytes>) -> AnswerBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An answer that no endpoint gave.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnAnswer {
    pub(crate) kind: ErrorKind,
    /// When to come back, where it is known better than the table.
    pub(crate) retry_after_ms: Option<TimeMs>,
}

impl OwnAnswer {
    pub(crate) const fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after_ms: None }
    }

    pub(crate) const fn after(kind: ErrorKind, retry_after_ms: TimeMs) -> Self {
        Self { kind, retry_after_ms: Some(retry_after_ms) }
    }

    fn wait_ms(&self) -> Option<TimeMs> {
        self.retry_after_ms.or(match self.kind.spec().retry_after {
            RetryAfter::None => None,
            RetryAfter::FixedMs(wait_ms) => Some(TimeMs(wait_ms)),
            RetryAfter::DrainRate => Some(TimeMs(200)),
        })
    }

    pub(crate) fn into_response(
        self,
        translation: &dyn Translation,
        request_id: Option<&str>,
    ) -> Response<AnswerBody> {
        let answer = self.kind.spec();
        let status =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::new(whole(answer.message));
        *response.status_mut() = status;
        let text = HeaderValue::from_static("text/plain; charset=utf-8");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        if let Some(wait_ms) = self.wait_ms() {
            let seconds = format!("{}.{:03}", wait_ms.get() / 1_000, wait_ms.get() % 1_000);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if let Some(id) = request_id {
            translation.label_response(response.headers_mut(), id);
        }
        response
    }
}
