//! A connection to an endpoint that ends once the head of a response takes too many bytes.
//!
//! hyper bounds the headers of one response, and skips interim responses whatever their number. An endpoint that sends them
//! without end would keep a core busy until the caller's deadline.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that are read from the start of a request to the head of its response. hyper reads ahead of the head by
/// less than half of it.
const MAX_HEAD_BYTES: u64 = 1024 * 1024;
const UNLIMITED: u64 = u64::MAX;

/// The bytes that may still be read before the head of the response.
#[derive(Debug, Clone)]
pub(crate) struct HeadLimit(Arc<AtomicU64>);

impl HeadLimit {
    pub(crate) fn new() -> Self {
        Self(Arc::new(AtomicU64::new(UNLIMITED)))
    }

    /// Counts the bytes from now on, as a request is about to be sent.
    pub(crate) fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Counts no more bytes, as the head has come.
    pub(crate) fn end(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts `bytes`, and returns false if they are too many.
    fn take(&self, bytes: u64) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
        left > bytes
    }
}

/// A TCP stream whose reads count against a limit.
#[derive(Debug)]
pub(crate) struct HeadLimitedStream {
    pub(crate) stream: TcpStream,
    pub(crate) limit: HeadLimit,
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 && !self.limit.take(bytes as u64) {
            let text = format!("no head of a response within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
