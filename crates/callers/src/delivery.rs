//! Detects peers that are gone, by the bytes that they leave unacknowledged.
//!
//! The kernel's own limit, `TCP_USER_TIMEOUT`, counts from the first probe of a closed window and is not reset by a peer that goes on
//! reading, at times not even between two responses: it ends the connections of peers that read slowly. See
//! `docs/design/shutdown.md`.

use std::{
    io,
    net::SocketAddr,
    sync::{
        OnceLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep},
};

use crate::socket_queues::{SocketQueues, socket_queues};

/// How often a connection with unacknowledged bytes is examined within its timeout.
const EXAMINATIONS: u32 = 4;

/// How long a peer may acknowledge nothing of what was written.
#[derive(Debug, Clone, Copy)]
pub struct DeliveryLimits {
    /// While its kernel does not answer.
    pub unanswered: Duration,
    /// While its kernel answers that its window is closed. A window opens again in large steps, for which a peer that reads slowly
    /// needs seconds. None if something else bounds the time.
    pub unread: Option<Duration>,
}

impl DeliveryLimits {
    /// True if a peer that has acknowledged nothing for `silence` counts as dead.
    pub(crate) fn is_dead(&self, silence: Duration, queues: &SocketQueues) -> bool {
        if queues.is_window_closed {
            self.unread.is_some_and(|limit| silence >= limit)
        } else {
            silence >= self.unanswered
        }
    }
}

/// Whether the peer of a connection acknowledges what is written to it.
#[derive(Debug)]
pub struct DeliveryWatch {
    local: SocketAddr,
    peer: SocketAddr,
    limits: DeliveryLimits,
    written_bytes: AtomicU64,
    /// Those that are known to be acknowledged.
    acknowledged_bytes: AtomicU64,
    written: Notify,
    /// True from bytes of the peer until the next write.
    is_answered: AtomicBool,
    is_dead: AtomicBool,
}

impl DeliveryWatch {
    /// Watches a connection. Where the kernel has no socket diagnostics, its own limit takes the place of the watch.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the connection has been reset.
    pub fn new(stream: &TcpStream, limits: DeliveryLimits) -> io::Result<Self> {
        let (local, peer) = (stream.local_addr()?, stream.peer_addr()?);
        if !has_diagnostics(local, peer) {
            SockRef::from(stream).set_tcp_user_timeout(Some(limits.unanswered))?;
        }
        Ok(Self {
            local,
            peer,
            limits,
            written_bytes: AtomicU64::new(0),
            acknowledged_bytes: AtomicU64::new(0),
            written: Notify::new(),
            is_answered: AtomicBool::new(false),
            is_dead: AtomicBool::new(false),
        })
    }

    /// Records that bytes were written.
    pub fn record_write(&self, bytes: usize) {
        self.written_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.is_answered.store(false, Ordering::Relaxed);
        self.written.notify_one();
    }

    /// Records that the peer has answered what was written, so that the kernel need not be asked.
    pub fn record_answer(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }

    /// Fails once the peer counts as dead.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::TimedOut`] from then on.
    pub fn check(&self) -> io::Result<()> {
        if self.is_dead.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(())
    }

    /// True if bytes may be on their way to the peer, or wait in its or our kernel. The kernel is asked even if the peer has sent bytes
    /// since the last write: it may respond to what it has read, and leave the rest unread.
    pub fn is_undelivered(&self) -> bool {
        socket_queues(self.local, self.peer).is_ok_and(|queues| queues.unacknowledged_bytes > 0)
    }

    /// Waits until the peer counts as dead.
    pub async fn run(&self) {
        loop {
            self.written.notified().await;
            if !self.is_acknowledged().await {
                self.is_dead.store(true, Ordering::Relaxed);
                return;
            }
        }
    }

    /// Waits until all bytes are acknowledged, or the peer counts as dead.
    async fn is_acknowledged(&self) -> bool {
        let mut progress_at = Instant::now();
        loop {
            sleep(self.limits.unanswered / EXAMINATIONS).await;
            let written_bytes = self.written_bytes.load(Ordering::Relaxed);
            if self.is_answered.load(Ordering::Relaxed) {
                self.acknowledged_bytes.store(written_bytes, Ordering::Relaxed);
                return true;
            }
            let queues = match socket_queues(self.local, self.peer) {
                Ok(queues) => queues,
                // The connection has ended.
                Err(error) if error.kind() == io::ErrorKind::NotFound => return true,
                Err(error) => {
                    log::debug!(error:% = error; "can't ask for the queues of a connection");
                    continue;
                }
            };
            let acknowledged_bytes = written_bytes.saturating_sub(queues.unacknowledged_bytes);
            let before_bytes =
                self.acknowledged_bytes.fetch_max(acknowledged_bytes, Ordering::Relaxed);
            if queues.unacknowledged_bytes == 0 {
                return true;
            }
            if acknowledged_bytes > before_bytes {
                progress_at = Instant::now();
            } else if self.limits.is_dead(progress_at.elapsed(), &queues) {
                return false;
            }
        }
    }
}

/// True if the kernel can be asked for the queues of a socket, as one connection has shown.
fn has_diagnostics(local: SocketAddr, peer: SocketAddr) -> bool {
    static HAS_DIAGNOSTICS: OnceLock<bool> = OnceLock::new();
    *HAS_DIAGNOSTICS.get_or_init(|| match socket_queues(local, peer) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            log::warn!(error:% = error; "no socket diagnostics: the kernel's limit applies to unacknowledged bytes");
            false
        }
        _ => true,
    })
}
