//! A connection's socket, which can be examined while hyper reads from it and writes to it.

use std::{
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::socket_queues::{SocketQueues, socket_queues};

/// The interval at which a connection that has ended is examined for the end of its peer, while bytes lie unread on it.
const END_EXAMINATION_INTERVAL: Duration = Duration::from_millis(20);
/// The size of one read of bytes that are dropped.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;
/// The most bytes that are read for a connection which has ended: those that were on their way on a fast link.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;

#[derive(Debug)]
struct Shared {
    socket: TcpStream,
    written_at: Mutex<Option<Instant>>,
    /// True while bytes wait for room in the socket.
    is_write_blocked: AtomicBool,
    is_writing_ended: AtomicBool,
}

/// A shared TCP stream.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream(Arc<Shared>);

impl SharedStream {
    pub(crate) fn new(socket: TcpStream) -> Self {
        Self(Arc::new(Shared {
            socket,
            written_at: Mutex::default(),
            is_write_blocked: AtomicBool::new(false),
            is_writing_ended: AtomicBool::new(false),
        }))
    }

    /// The time since bytes were last written; none if there were none.
    pub(crate) fn since_write(&self) -> Option<Duration> {
        self.0.written_at.lock().map(|at| at.elapsed())
    }

    /// True while bytes wait for room in the socket.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.load(Ordering::Relaxed)
    }

    /// The bytes that were not read, and those that the peer has not acknowledged, the end of the stream left out.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the connection has been reset.
    pub(crate) fn queues(&self) -> io::Result<SocketQueues> {
        let mut queues = socket_queues(&self.0.socket)?;
        let end_bytes = u64::from(self.0.is_writing_ended.load(Ordering::Relaxed));
        queues.unacknowledged_bytes = queues.unacknowledged_bytes.saturating_sub(end_bytes);
        Ok(queues)
    }

    /// True if the socket holds bytes that were not read. The readiness that tokio knows may be older than they are.
    pub(crate) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.0.socket).peek(&mut byte).is_ok_and(|bytes| bytes > 0)
    }

    /// Sends the end of the stream behind what was written.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the peer has reset the connection.
    pub(crate) fn end_writing(&self) -> io::Result<()> {
        SockRef::from(&self.0.socket).shutdown(std::net::Shutdown::Write)?;
        self.0.is_writing_ended.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until the peer ends the stream, and reads nothing: for `quiet` while nothing lies unread, and for `longest` otherwise.
    pub(crate) async fn wait_for_end(&self, quiet: Duration, longest: Duration) {
        let began_at = Instant::now();
        loop {
            let limit = if self.has_unread() { longest } else { quiet };
            let left = limit.saturating_sub(began_at.elapsed());
            match timeout(left, self.0.socket.ready(Interest::READABLE)).await {
                Ok(Ok(ready)) if !ready.is_read_closed() && !left.is_zero() => {
                    sleep(END_EXAMINATION_INTERVAL).await;
                }
                _ => return,
            }
        }
    }

    /// Reads and drops what comes until the peer ends the stream, or has sent [`MAX_DISCARDED_BYTES`].
    pub(crate) async fn discard(&self) {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        let mut left = MAX_DISCARDED_BYTES;
        while left > 0 && self.0.socket.readable().await.is_ok() {
            match self.0.socket.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(bytes) => left = left.saturating_sub(bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.socket.poll_read_ready(cx))?;
            match self.0.socket.try_read(buf.initialize_unfilled()) {
                Ok(bytes) => {
                    buf.advance(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl SharedStream {
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.socket.poll_write_ready(cx))?;
            match write(&self.0.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.0.is_write_blocked.store(true, Ordering::Relaxed);
                }
                result => {
                    if result.is_ok() {
                        self.0.is_write_blocked.store(false, Ordering::Relaxed);
                        *self.0.written_at.lock() = Some(Instant::now());
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_writing())
    }
}
