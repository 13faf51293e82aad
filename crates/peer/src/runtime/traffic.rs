//! Counters of the traffic with peers, and the stream wrapper that updates them.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use futures::{AsyncRead, AsyncWrite};

/// The traffic of an instance with its peers, on incoming and outgoing connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Bytes written, without the headers of TCP and IP.
    pub sent_bytes: u64,
    /// Bytes read, without the headers of TCP and IP.
    pub received_bytes: u64,
    /// Number of outgoing calls.
    pub calls: u64,
}

/// The counters from which [`PeerTraffic`] is read.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    calls: AtomicU64,
}

impl Counters {
    pub(crate) fn read(&self) -> PeerTraffic {
        PeerTraffic {
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
        }
    }

    pub(super) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }
}

/// The time of the last read from a connection, at first the time of its creation. Clones share the value.
#[derive(Debug, Clone)]
pub(super) struct LastRead(Rc<Cell<Instant>>);

impl LastRead {
    pub(super) fn now() -> Self {
        Self(Rc::new(Cell::new(Instant::now())))
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.0.get().elapsed()
    }
}

/// One half of a connection; counts its bytes and records the time of the last read.
pub(super) struct CountingStream<T> {
    pub(super) inner: T,
    pub(super) counters: Arc<Counters>,
    pub(super) last_read: LastRead,
}

impl<T: AsyncRead + Unpin> AsyncRead for CountingStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.counters.received_bytes.fetch_add(*bytes as u64, Ordering::Relaxed);
            self.last_read.0.set(Instant::now());
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountingStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, buffer);
        if let Poll::Ready(Ok(bytes)) = &written {
            self.counters.sent_bytes.fetch_add(*bytes as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
