//! The reader of a connection, which leaves further requests in the socket while a response is on its way.
//!
//! hyper reads ahead to see its caller leave. A request that it has read counts as begun, and can't be responded to before
//! the response that is on its way; if that one is cut, its caller must not send the request again. Bytes that lie in the socket
//! are not read, which the caller sees when the connection is reset.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, ReadBuf},
    time::{Instant, Sleep, sleep},
};

use crate::{round::Round, stream::Ahead};

/// The interval at which a connection with unread bytes is examined for the end of its peer, of which the kernel wakes nobody who has
/// not read them.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the requests of a round.
pub(crate) struct GatedReader {
    round: Arc<Round>,
    /// Set while bytes lie unread.
    examination: Option<Pin<Box<Sleep>>>,
}

impl GatedReader {
    pub(crate) fn new(round: Arc<Round>) -> Self {
        Self { round, examination: None }
    }

    /// Waits for the end of the peer's stream, or an error, whatever lies before it.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            match ready!(self.round.stream.poll_ahead(cx)) {
                Ok(Ahead::End) => return Poll::Ready(Ok(())),
                Err(error) => return Poll::Ready(Err(error)),
                Ok(Ahead::Bytes) => {
                    let examination = self
                        .examination
                        .get_or_insert_with(|| Box::pin(sleep(EXAMINATION_INTERVAL)));
                    ready!(examination.as_mut().poll(cx));
                    examination.as_mut().reset(Instant::now() + EXAMINATION_INTERVAL);
                }
            }
        }
    }
}

impl AsyncRead for GatedReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.round.is_gated() {
            self.round.wake_after_response(cx.waker());
            return self.poll_end(cx);
        }
        self.examination = None;
        Pin::new(&mut self.round.stream.clone()).poll_read(cx, buf)
    }
}
