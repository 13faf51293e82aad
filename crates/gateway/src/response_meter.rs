//! The bytes that a connection to an endpoint reads: how many are held, and how many are no content.
//!
//! hyper bounds the headers of one response, and skips interim responses whatever their number. An endpoint that sends them, or the
//! extensions of chunks, without end would keep a core busy until the caller's deadline. What is content is passed on, and
//! bounded by what its caller reads; what is held of all responses is bounded by the budget of the instance.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker, ready},
};

use bilberryford_callers::{DeliveryWatch, HeldResponse};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The most bytes that are read from the start of a request to the head of its response, and between two parts of its content.
/// hyper reads ahead by less than half of it.
const MAX_OVERHEAD_BYTES: u64 = 256 * 1024;

/// A connection was ended since too much of what it read was no content.
#[derive(Debug, thiserror::Error)]
#[error("{limit_bytes} bytes without any content of a response")]
pub(crate) struct TooMuchOverhead {
    limit_bytes: u64,
}

impl TooMuchOverhead {
    pub(crate) fn is_cause_of(error: &io::Error) -> bool {
        error.get_ref().is_some_and(|cause| cause.is::<Self>())
    }
}

/// Counts the bytes of a connection.
#[derive(Debug, Clone)]
pub(crate) struct ResponseMeter {
    held: Arc<HeldResponse>,
    /// True until the head of the response has come, which can't be passed on in parts.
    is_in_head: Arc<AtomicBool>,
    /// The bytes since the last part of the content.
    overhead_bytes: Arc<AtomicU64>,
}

impl ResponseMeter {
    pub(crate) fn new(held: HeldResponse) -> Self {
        Self {
            held: Arc::new(held),
            is_in_head: Arc::new(AtomicBool::new(true)),
            overhead_bytes: Arc::default(),
        }
    }

    /// What the connection holds.
    pub(crate) fn held(&self) -> &HeldResponse {
        &self.held
    }

    /// Begins to count, as a request is about to be sent.
    pub(crate) fn begin(&self) {
        self.is_in_head.store(true, Ordering::Relaxed);
        self.overhead_bytes.store(0, Ordering::Relaxed);
        self.held.clear();
    }

    /// Counts the head of a response, which has come.
    pub(crate) fn end_head(&self) {
        self.is_in_head.store(false, Ordering::Relaxed);
        self.overhead_bytes.store(0, Ordering::Relaxed);
    }

    /// Counts that all of the response so far was passed on, and more is waited for.
    pub(crate) fn drained(&self) {
        self.held.clear();
    }

    fn readable_bytes(&self, waker: &Waker) -> usize {
        if self.is_in_head.load(Ordering::Relaxed) {
            return usize::MAX;
        }
        usize::try_from(self.held.readable_bytes(waker)).unwrap_or(usize::MAX)
    }

    /// Counts a part of the content that is about to be passed on; earlier parts were.
    pub(crate) fn pass(&self, bytes: usize) {
        self.overhead_bytes.store(0, Ordering::Relaxed);
        self.held.shrink(bytes as u64);
    }

    /// Counts bytes that were read, and returns false if too many were no content.
    fn read(&self, bytes: u64) -> bool {
        self.held.grow(bytes);
        self.overhead_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_OVERHEAD_BYTES
    }
}

/// A TCP stream whose reads are counted.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    pub(crate) stream: TcpStream,
    pub(crate) delivery: Arc<DeliveryWatch>,
    pub(crate) meter: ResponseMeter,
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        // What the endpoint has not taken of a request that was given up must not be run later.
        if self.delivery.is_undelivered()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!(error:% = error; "can't discard a request that was given up");
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.delivery.check()?;
        let readable_bytes = self.meter.readable_bytes(cx.waker());
        if readable_bytes == 0 {
            return Poll::Pending;
        }
        let most = buf.remaining().min(readable_bytes);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let bytes = part.filled().len();
        buf.advance(bytes);
        if bytes == 0 {
            return Poll::Ready(Ok(()));
        }
        self.delivery.record_answer();
        if !self.meter.read(bytes as u64) {
            let error = TooMuchOverhead { limit_bytes: MAX_OVERHEAD_BYTES };
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.delivery.check()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.delivery.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.delivery.check()?;
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.delivery.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.delivery.check()?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
