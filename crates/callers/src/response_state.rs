//! How far the response to the last request of a connection has come.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, Waker, ready},
};

use http::{Extensions, HeaderMap, Method, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

/// The label of a request in the log lines on its connection, as an extension of the request.
#[derive(Debug, Clone, Default)]
pub struct RequestLabel(Arc<Mutex<String>>);

impl RequestLabel {
    /// Sets the label of the request with these extensions.
    pub fn set(extensions: &Extensions, label: &str) {
        if let Some(own) = extensions.get::<Self>() {
            label.clone_into(&mut own.0.lock());
        }
    }

    pub(crate) fn get(&self) -> String {
        self.0.lock().clone()
    }
}

/// The stages of a response.
#[repr(u8)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// None is on its way.
    Idle,
    /// It is awaited, or handed over in parts.
    Responding,
    /// It was given up before its end.
    Cut,
}

/// The state of a connection's responses.
#[derive(Debug, Default)]
pub(crate) struct ResponseState {
    stage: AtomicU8,
    label: Mutex<RequestLabel>,
    /// Woken once the response is over.
    waker: Mutex<Option<Waker>>,
}

impl ResponseState {
    fn set(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
        let waker = self.waker.lock().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn is(&self, stage: Stage) -> bool {
        self.stage.load(Ordering::Relaxed) == stage as u8
    }

    /// Begins the response to a request, and adds the request's label to its extensions.
    pub(crate) fn begin(self: &Arc<Self>, extensions: &mut Extensions) -> ResponseGuard {
        let label = RequestLabel::default();
        *self.label.lock() = label.clone();
        extensions.insert(label);
        self.set(Stage::Responding);
        ResponseGuard { state: self.clone(), is_complete: false }
    }

    /// True while a response is awaited or handed over.
    pub(crate) fn is_responding(&self) -> bool {
        self.is(Stage::Responding)
    }

    /// Wakes `waker` once the response is over.
    pub(crate) fn wake_after(&self, waker: &Waker) {
        *self.waker.lock() = Some(waker.clone());
    }

    /// True if the last response was not handed over to its end.
    pub(crate) fn is_incomplete(&self) -> bool {
        !self.is(Stage::Idle)
    }

    /// The label of the last request; empty if it has none.
    pub(crate) fn label(&self) -> String {
        self.label.lock().get()
    }
}

/// Marks a response as under way until it is complete, and as cut if it is dropped before.
#[derive(Debug)]
pub(crate) struct ResponseGuard {
    state: Arc<ResponseState>,
    is_complete: bool,
}

impl ResponseGuard {
    fn complete(&mut self) {
        if !std::mem::replace(&mut self.is_complete, true) {
            self.state.set(Stage::Idle);
        }
    }

    /// Watches the body of the response to a request with this method.
    pub(crate) fn watch<B: Body>(
        mut self,
        method: &Method,
        response: Response<B>,
    ) -> Response<WatchedBody<B>> {
        let left_bytes =
            response.body().size_hint().exact().or_else(|| announced_bytes(response.headers()));
        // The server drops the body of a response without content unread.
        let has_body = method != Method::HEAD
            && !matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            && left_bytes != Some(0)
            && !response.body().is_end_stream();
        if !has_body {
            self.complete();
        }
        response.map(|inner| WatchedBody { inner, left_bytes, guard: self })
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.state.set(Stage::Cut);
        }
    }
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The body of a response, whose end is noted.
pub(crate) struct WatchedBody<B> {
    inner: B,
    /// The bytes that are still to come, if their number is known. The server asks for nothing after the last one.
    left_bytes: Option<u64>,
    guard: ResponseGuard,
}

impl<B> WatchedBody<B> {
    /// True for content whose size is not known before its end.
    pub(crate) fn has_unknown_length(&self) -> bool {
        self.left_bytes.is_none() && !self.guard.is_complete
    }
}

impl<B: Body + Unpin> Body for WatchedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(cx));
        if let (Some(Ok(frame)), Some(left_bytes)) = (&frame, &mut self.left_bytes) {
            let bytes = frame.data_ref().map_or(0, bytes::Buf::remaining) as u64;
            *left_bytes = left_bytes.saturating_sub(bytes);
        }
        let is_end = match &frame {
            None => true,
            Some(Ok(_)) => self.left_bytes == Some(0) || self.inner.is_end_stream(),
            Some(Err(_)) => false,
        };
        if is_end {
            self.guard.complete();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
