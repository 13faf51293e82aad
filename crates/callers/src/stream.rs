//! A connection's socket, which can be examined while hyper reads from it and writes to it.

use std::{
    io,
    mem::MaybeUninit,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    delivery::{DeliveryLimits, DeliveryWatch},
    socket_queues::{SocketQueues, socket_queues},
};

/// How long bytes may be on their way at most, unless the peer's window is closed.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller may leave its window closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(15);
const DELIVERY_LIMITS: DeliveryLimits =
    DeliveryLimits { unanswered: UNACKNOWLEDGED_TIMEOUT, unread: Some(UNREAD_TIMEOUT) };
/// How long bytes may be on their way however few they are. A link that buffers acknowledges them before they arrive.
const DELIVERY_TIME: Duration = Duration::from_secs(2);
/// How fast the slowest peers read.
const SLOWEST_READ_BYTES_PER_S: f64 = 16.0 * 1024.0;
/// How long what the peer sends may take to cross the end of a connection.
const CROSSING_TIME: Duration = Duration::from_secs(1);
/// The time in which a peer that still reads has to acknowledge more bytes.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which a connection that has ended is examined for the end of its peer, while bytes lie unread on it.
const END_EXAMINATION_INTERVAL: Duration = Duration::from_millis(20);
/// The size of one read of bytes that are dropped.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;
/// The most bytes that are read for a connection which has ended: those that were on their way on a fast link.
const MAX_DISCARDED_BYTES: usize = 512 * 1024;

/// What lies ahead on a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Ahead {
    /// Bytes, and no end as far as it is known.
    Bytes,
    /// The end of the peer's stream, maybe behind bytes.
    End,
}

/// How a peer has ended its direction.
#[derive(Debug)]
pub(crate) enum PeerEnd {
    /// It has not.
    None,
    Ended,
    /// The connection has failed.
    Failed(io::Error),
}

#[derive(Debug, Clone, Copy)]
struct LastWrite {
    at: Instant,
    /// When all that was written has been read, by a peer that reads slowly.
    read_by: Instant,
}

impl LastWrite {
    /// A write after `before`, now.
    fn after(before: Option<Self>, bytes: usize) -> Self {
        let at = Instant::now();
        let began_at = before.map_or(at, |before| before.read_by).max(at + DELIVERY_TIME);
        let read_time = Duration::from_secs_f64(bytes as f64 / SLOWEST_READ_BYTES_PER_S);
        Self { at, read_by: (began_at + read_time).min(at + UNACKNOWLEDGED_TIMEOUT) }
    }
}

#[derive(Debug)]
struct Shared {
    socket: TcpStream,
    delivery: DeliveryWatch,
    last_write: Mutex<Option<LastWrite>>,
    /// True while bytes wait for room in the socket.
    is_write_blocked: AtomicBool,
    /// Woken once bytes that waited are written.
    waker: Mutex<Option<Waker>>,
    is_writing_ended: AtomicBool,
    is_end_significant: AtomicBool,
}

/// A shared TCP stream.
#[derive(Debug, Clone)]
pub(crate) struct SharedStream(Arc<Shared>);

impl SharedStream {
    /// Shares a stream.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the connection has been reset.
    pub(crate) fn new(socket: TcpStream) -> io::Result<Self> {
        Ok(Self(Arc::new(Shared {
            delivery: DeliveryWatch::new(&socket, DELIVERY_LIMITS)?,
            socket,
            last_write: Mutex::default(),
            is_write_blocked: AtomicBool::new(false),
            waker: Mutex::default(),
            is_writing_ended: AtomicBool::new(false),
            is_end_significant: AtomicBool::new(false),
        })))
    }

    /// Waits until the peer counts as dead. Writes fail from then on, and the close resets the connection: what was written is
    /// discarded.
    pub(crate) async fn watch_delivery(&self) {
        self.0.delivery.run().await;
        self.reset_on_close();
    }

    /// Marks a response whose end is the end of the connection as under way. Until [`Self::end_writing`], each close is a reset,
    /// also that of a process which is killed: an orderly end would make a cut response look complete.
    pub(crate) fn begin_response_until_end(&self) {
        self.0.is_end_significant.store(true, Ordering::Relaxed);
        self.reset_on_close();
    }

    /// True if the end of the connection is the end of a response.
    pub(crate) fn is_end_significant(&self) -> bool {
        self.0.is_end_significant.load(Ordering::Relaxed)
    }

    fn reset_on_close(&self) {
        if let Err(error) = self.0.socket.set_zero_linger() {
            log::debug!(error:% = error; "can't discard what a peer has not acknowledged");
        }
    }

    /// The time since bytes were last written; none if there were none.
    pub(crate) fn since_write(&self) -> Option<Duration> {
        self.0.last_write.lock().map(|write| write.at.elapsed())
    }

    /// True while bytes wait for room in the socket.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Wakes `waker` once bytes that wait for room in the socket are written. Others may wait by then.
    pub(crate) fn wake_after_write(&self, waker: &Waker) {
        *self.0.waker.lock() = Some(waker.clone());
    }

    fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self.0.is_write_blocked.swap(is_blocked, Ordering::Relaxed);
        if was_blocked && !is_blocked {
            let waker = self.0.waker.lock().take();
            if let Some(waker) = waker {
                waker.wake();
            }
        }
    }

    /// The bytes that were not read, and those that the peer has not acknowledged, the end of the stream left out.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the connection has been reset.
    pub(crate) fn queues(&self) -> io::Result<SocketQueues> {
        let socket = &self.0.socket;
        let mut queues = socket_queues(socket.local_addr()?, socket.peer_addr()?)?;
        let end_bytes = u64::from(self.0.is_writing_ended.load(Ordering::Relaxed));
        queues.unacknowledged_bytes = queues.unacknowledged_bytes.saturating_sub(end_bytes);
        Ok(queues)
    }

    /// True if the socket holds bytes that were not read. The readiness that tokio knows may be older than they are.
    pub(crate) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.0.socket).peek(&mut byte).is_ok_and(|bytes| bytes > 0)
    }

    /// Looks at what lies ahead without reading it. The task is woken when bytes or an end come, but not for an end behind bytes that
    /// lay there before.
    pub(crate) fn poll_ahead(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ahead>> {
        let socket = &self.0.socket;
        loop {
            ready!(socket.poll_read_ready(cx))?;
            let mut byte = [MaybeUninit::uninit()];
            let look = || SockRef::from(socket).peek(&mut byte);
            match socket.try_io(Interest::READABLE, look) {
                Ok(0) => return Poll::Ready(Ok(Ahead::End)),
                Ok(_) => break,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        match pin!(socket.ready(Interest::READABLE)).poll(cx)? {
            Poll::Ready(ready) if ready.is_read_closed() => {
                Poll::Ready(socket.take_error()?.map_or(Ok(Ahead::End), Err))
            }
            _ => Poll::Ready(Ok(Ahead::Bytes)),
        }
    }

    /// Sends the end of the stream behind what was written.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the peer has reset the connection.
    pub(crate) fn end_writing(&self) -> io::Result<()> {
        let socket = SockRef::from(&self.0.socket);
        if self.is_end_significant() {
            socket.set_linger(None)?;
        }
        socket.shutdown(std::net::Shutdown::Write)?;
        self.0.is_writing_ended.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Waits until the peer ends the stream, and reads nothing. Gives up once nothing that was written can be on its way any
    /// more, and nothing that the peer has sent can have crossed the end.
    pub(crate) async fn wait_for_end(&self) -> PeerEnd {
        let ended_at = Instant::now();
        let last_write = *self.0.last_write.lock();
        let mut progress_at = last_write.map_or(ended_at, |write| write.at);
        // Those of the last look.
        let mut unacknowledged_bytes = None;
        let mut until = last_write.map_or(ended_at, |write| write.read_by);
        loop {
            let crossing = if self.has_unread() { UNACKNOWLEDGED_TIMEOUT } else { CROSSING_TIME };
            let left = until.max(ended_at + crossing).saturating_duration_since(Instant::now());
            if left.is_zero() {
                // A peer that goes on reading has acknowledged bytes since the last look.
                let Ok(queues) = self.queues() else { return PeerEnd::None };
                if queues.unacknowledged_bytes == 0 {
                    return PeerEnd::None;
                }
                until = Instant::now() + PROGRESS_INTERVAL;
                let before_bytes = unacknowledged_bytes.replace(queues.unacknowledged_bytes);
                let Some(before_bytes) = before_bytes else { continue };
                if queues.unacknowledged_bytes < before_bytes {
                    progress_at = Instant::now();
                } else if !queues.is_window_closed || progress_at.elapsed() >= UNREAD_TIMEOUT {
                    return PeerEnd::Failed(io::ErrorKind::TimedOut.into());
                }
                continue;
            }
            match timeout(left, self.0.socket.ready(Interest::READABLE)).await {
                Ok(Ok(ready)) if !ready.is_read_closed() => sleep(END_EXAMINATION_INTERVAL).await,
                Ok(_) => {
                    return match self.0.socket.take_error() {
                        Ok(None) => PeerEnd::Ended,
                        Ok(Some(error)) | Err(error) => PeerEnd::Failed(error),
                    };
                }
                Err(_) => {}
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
        self.0.delivery.check()?;
        loop {
            let Poll::Ready(ready) = self.0.socket.poll_write_ready(cx) else {
                self.set_write_blocked(true);
                return Poll::Pending;
            };
            ready?;
            match write(&self.0.socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    if let Ok(bytes) = result {
                        self.set_write_blocked(false);
                        self.0.delivery.record_write(bytes);
                        let mut last_write = self.0.last_write.lock();
                        *last_write = Some(LastWrite::after(*last_write, bytes));
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
        Poll::Ready(self.0.delivery.check())
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.end_writing())
    }
}
