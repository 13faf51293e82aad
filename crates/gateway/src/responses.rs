//! Error responses that the gateway produces itself, from the table of error kinds.

use bilberryford_types::{ErrorKind, RetryAfter, TimeMs};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    header::{self, HeaderValue},
};

use crate::translation::Translation;

/// A response body. An error in it ends the connection, so a truncated response never looks complete.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A body whose content is all in memory.
pub(crate) fn full_body(body: impl Into<Bytes>) -> ResponseBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// A response that did not come from an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ErrorResponse {
    pub(crate) kind: ErrorKind,
    /// The time after which to retry, if it is known more precisely than in the table.
    pub(crate) retry_after_ms: Option<TimeMs>,
}

impl ErrorResponse {
    pub(crate) const fn new(kind: ErrorKind) -> Self {
        Self { kind, retry_after_ms: None }
    }

    pub(crate) const fn with_retry_after(kind: ErrorKind, retry_after_ms: TimeMs) -> Self {
        Self { kind, retry_after_ms: Some(retry_after_ms) }
    }

    fn effective_retry_after_ms(&self) -> Option<TimeMs> {
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
    ) -> Response<ResponseBody> {
        let spec = self.kind.spec();
        let status = StatusCode::from_u16(spec.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = Response::new(full_body(spec.message));
        *response.status_mut() = status;
        let text = HeaderValue::from_static("text/plain; charset=utf-8");
        response.headers_mut().insert(header::CONTENT_TYPE, text);
        if let Some(wait_ms) = self.effective_retry_after_ms() {
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
