//! Connections to endpoints, each with one request at a time.
//!
//! The forwarder needs to know of every failure whether any byte of the request was written, and has to give a kept
//! connection up for good after an answer that belongs to no request. A pool that retries by itself hides both, so
//! this one stands directly on the HTTP library's connection.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bilberryford_types::{EndpointId, TimeMs};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

/// How long a connection may take to be made: a few round trips within a region and the endpoint's own work on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long written bytes may stay unacknowledged before the connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between keep-alive probes of a silent connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a connection is kept idle when the endpoint does not say, in milliseconds: under common idle timeouts.
const DEFAULT_IDLE_TIMEOUT_MS: TimeMs = TimeMs(4_000);
/// The most idle connections to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// The connections to one endpoint that are an instance's share, of `all` that it takes from `instances`: at least one.
pub fn connection_share(capacity: u32, instances: u64) -> u32 {
    let share = u64::from(capacity) / instances.max(1);
    u32::try_from(share).unwrap_or(u32::MAX).max(1)
}

/// A connection that can take a request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    idle_timeout_ms: TimeMs,
}

impl Connection {
    /// The endpoint said how long it keeps an idle connection.
    pub(crate) fn limit_idle_time(&mut self, keep_alive_ms: TimeMs) {
        // Half of it, so that a request never crosses the endpoint's close.
        self.idle_timeout_ms = self.idle_timeout_ms.min(TimeMs(keep_alive_ms.get() / 2));
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since_ms: TimeMs,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    idle: Mutex<HashMap<EndpointId, Vec<IdleConnection>>>,
}

/// Sets the options by which a dead peer is noticed and small writes leave at once.
pub(crate) fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
    )
}

impl Connections {
    /// The idle connection that was used last, if one was used within `max_idle_ms`.
    pub(crate) fn reuse(
        &self,
        endpoint: &EndpointId,
        max_idle_ms: TimeMs,
        now_ms: TimeMs,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let pooled = idle.get_mut(endpoint)?;
        pooled.retain(|idle| {
            !idle.connection.sender.is_closed()
                && now_ms.since(idle.since_ms) < idle.connection.idle_timeout_ms
        });
        let index = pooled.iter().rposition(|idle| {
            idle.connection.sender.is_ready() && now_ms.since(idle.since_ms) < max_idle_ms
        })?;
        let mut connection = pooled.remove(index).connection;
        connection.is_reused = true;
        Some(connection)
    }

    /// Keeps a connection whose answer was read to its end.
    pub(crate) fn release(&self, endpoint: &EndpointId, connection: Connection, now_ms: TimeMs) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock();
        let pooled = idle.entry(endpoint.clone()).or_default();
        if pooled.len() < MAX_IDLE_CONNECTIONS {
            pooled.push(IdleConnection { connection, since_ms: now_ms });
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: &EndpointId) {
        self.idle.lock().remove(endpoint);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now_ms: TimeMs) {
        self.idle.lock().retain(|_, pooled| {
            pooled.retain(|idle| {
                !idle.connection.sender.is_closed()
                    && now_ms.since(idle.since_ms) < idle.connection.idle_timeout_ms
            });
            !pooled.is_empty()
        });
    }
}

/// Makes a connection.
///
/// # Errors
///
/// The operating system's error, or `TimedOut`; nothing of any request was sent.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection to an endpoint ended");
        }
    });
    Ok(Connection { sender, is_reused: false, idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS })
}
