//! Detects peers that leave written bytes unacknowledged, or unread.
//!
//! The kernel's own limit, `TCP_USER_TIMEOUT`, counts from the first probe of a closed window and is not reset by a peer that goes on
//! reading, at times not even between two responses: it ends the connections of peers that read slowly. See
//! `docs/design/shutdown.md`.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::Duration,
};

use tokio::{
    net::TcpStream,
    sync::Notify,
    time::{Instant, sleep},
};

use crate::socket_queues::socket_queues;

/// How often a connection with unacknowledged bytes is examined within its timeout.
const EXAMINATIONS: u32 = 4;

/// Whether the peer of a connection acknowledges what is written to it.
#[derive(Debug)]
pub struct DeliveryWatch {
    local: SocketAddr,
    peer: SocketAddr,
    timeout: Duration,
    written_bytes: AtomicU64,
    written: Notify,
    /// True from bytes of the peer until the next write.
    is_answered: AtomicBool,
    is_dead: AtomicBool,
}

impl DeliveryWatch {
    /// Watches a connection whose peer counts as dead once it has acknowledged nothing for `timeout`.
    ///
    /// # Errors
    ///
    /// The operating system's error, for example if the connection has been reset.
    pub fn new(stream: &TcpStream, timeout: Duration) -> io::Result<Self> {
        Ok(Self {
            local: stream.local_addr()?,
            peer: stream.peer_addr()?,
            timeout,
            written_bytes: AtomicU64::new(0),
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

    /// Waits until all bytes are acknowledged, or none were for as long as the timeout.
    async fn is_acknowledged(&self) -> bool {
        let mut acknowledged_bytes = 0;
        let mut progress_at = Instant::now();
        loop {
            sleep(self.timeout / EXAMINATIONS).await;
            if self.is_answered.load(Ordering::Relaxed) {
                return true;
            }
            let written_bytes = self.written_bytes.load(Ordering::Relaxed);
            let unacknowledged_bytes = match socket_queues(self.local, self.peer) {
                Ok(queues) if queues.unacknowledged_bytes > 0 => queues.unacknowledged_bytes,
                // A connection that the kernel does not know has ended.
                Ok(_) | Err(_) => return true,
            };
            let now_bytes = written_bytes.saturating_sub(unacknowledged_bytes);
            if now_bytes > acknowledged_bytes {
                acknowledged_bytes = now_bytes;
                progress_at = Instant::now();
            } else if progress_at.elapsed() >= self.timeout {
                return false;
            }
        }
    }
}
