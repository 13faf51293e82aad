//! A round of the requests of a connection: those that one run of hyper reads.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::Waker,
    time::Duration,
};

use http::Extensions;
use hyper::{HeaderMap, Request, Version, body::Body, header};
use tokio::time::Instant;

use crate::{
    response_state::{ResponseGuard, ResponseState},
    stream::SharedStream,
};

/// How long a new connection, or the rest of a request, is waited for after the instance has begun to close connections.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Marks the end of a request's body, as an extension of the request.
///
/// # Invariant
///
/// What follows on the connection is taken for a further request only after the mark is set, so that the rest of a body is never
/// taken for one.
#[derive(Debug, Clone, Default)]
pub struct RequestEnd(Arc<AtomicBool>);

impl RequestEnd {
    /// States that the body of the request with these extensions was read to its end.
    pub fn mark_reached(extensions: &Extensions) {
        if let Some(end) = extensions.get::<Self>() {
            end.0.store(true, Ordering::Relaxed);
        }
    }

    fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What is known of a round of requests beside hyper.
pub(crate) struct Round {
    pub(crate) stream: SharedStream,
    began_at: Instant,
    had_request: AtomicBool,
    responses: Arc<ResponseState>,
    /// True once the caller has announced that it sends no further request.
    is_last: AtomicBool,
    /// True once further requests are left to the next round.
    is_ending: AtomicBool,
    last_end: parking_lot::Mutex<RequestEnd>,
}

impl Round {
    pub(crate) fn new(stream: SharedStream, responses: Arc<ResponseState>) -> Arc<Self> {
        Arc::new(Self {
            stream,
            began_at: Instant::now(),
            had_request: AtomicBool::new(false),
            responses,
            is_last: AtomicBool::new(false),
            is_ending: AtomicBool::new(false),
            last_end: parking_lot::Mutex::default(),
        })
    }

    /// Records that hyper has read the head of a request, and marks it as the one being responded to.
    pub(crate) fn begin<B: Body>(&self, request: &mut Request<B>) -> ResponseGuard {
        let end = RequestEnd(Arc::new(AtomicBool::new(request.body().is_end_stream())));
        let is_last = announces_end(request.headers()) || request.version() < Version::HTTP_11;
        self.is_last.store(is_last, Ordering::Relaxed);
        *self.last_end.lock() = end.clone();
        request.extensions_mut().insert(end);
        self.had_request.store(true, Ordering::Relaxed);
        self.responses.begin(request.extensions_mut())
    }

    /// True if a request may be on its way or is waiting to be read, so that the connection must not be closed yet.
    pub(crate) fn expects_request(&self) -> bool {
        if self.responses.is_responding() {
            return false;
        }
        let is_new = !self.had_request.load(Ordering::Relaxed)
            && self.began_at.elapsed() < FIRST_REQUEST_TIME;
        is_new || self.stream.has_unread()
    }

    /// True if what follows on the connection is a further request.
    pub(crate) fn may_be_followed(&self) -> bool {
        self.had_request.load(Ordering::Relaxed)
            && !self.is_last.load(Ordering::Relaxed)
            && self.is_read()
    }

    /// Leaves further requests to the next round.
    pub(crate) fn end(&self) {
        self.is_ending.store(true, Ordering::Relaxed);
    }

    /// True once a request of this round has begun.
    pub(crate) fn had_request(&self) -> bool {
        self.had_request.load(Ordering::Relaxed)
    }

    /// True while a response is on its way.
    pub(crate) fn is_under_way(&self) -> bool {
        // hyper holds bytes of a response that was handed over to its end until the socket has room for them.
        self.responses.is_responding() || self.stream.is_write_blocked()
    }

    /// True while what is unread lies behind a request to which the response is on its way, or belongs to the next round.
    pub(crate) fn is_gated(&self) -> bool {
        let is_ending = self.is_ending.load(Ordering::Relaxed) && self.had_request();
        (is_ending || self.is_under_way()) && self.last_end.lock().is_reached()
    }

    /// Wakes the reader when a part of the response is over.
    pub(crate) fn wake_after_response(&self, waker: &Waker) {
        self.responses.wake_after(waker);
        self.stream.wake_after_write(waker);
    }

    /// True unless the body of a request was not read to its end.
    pub(crate) fn is_read(&self) -> bool {
        !self.had_request.load(Ordering::Relaxed) || self.last_end.lock().is_reached()
    }
}

/// True if the sender of these headers announces that it ends the connection.
pub(crate) fn announces_end(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|name| name.trim().eq_ignore_ascii_case("close"))
}
