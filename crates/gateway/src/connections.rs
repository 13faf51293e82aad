//! A pool of connections to endpoints. Each connection carries one request at a time.
//!
//! After a failure, the forwarder needs to know if any byte of the request was written, and it has to close a pooled
//! connection on which a response to another request arrived. A pool that retries on its own hides both, so this one
//! uses hyper's connections directly.

use std::{collections::HashMap, io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bilberryford_callers::{DeliveryLimits, DeliveryWatch, HeldResponse, set_socket_options};
use bilberryford_coord::SharePlace;
use bilberryford_types::{EndpointId, TimeMs};
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    clock::Clock,
    response_meter::{MeteredStream, ResponseMeter},
};

/// The timeout for connecting: a few round trips within a region and the endpoint's time to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long written bytes may stay unacknowledged before the connection is considered dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// An endpoint that is there and reads slowly has the time of the request.
const DELIVERY_LIMITS: DeliveryLimits =
    DeliveryLimits { unanswered: UNACKNOWLEDGED_TIMEOUT, unread: None };
/// The idle timeout for endpoints that send no `Keep-Alive` header, in milliseconds: less than common servers have.
const DEFAULT_IDLE_TIMEOUT_MS: TimeMs = TimeMs(4_000);
/// The idle time within which no endpoint is expected to close a connection, in milliseconds.
const MIN_EXPECTED_IDLE_MS: TimeMs = TimeMs(1_500);
/// The most bytes that hyper reads ahead on a connection, and the longest head of a response.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// The most idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Returns the part of one instance in the `capacity` of an endpoint, which `instances` share; `rank` is its place in their
/// order. Where there are fewer connections than instances, the last ones have none: a further connection would be reset,
/// with the request on it.
pub fn connection_share(capacity: u32, instances: u64, rank: impl FnOnce() -> u64) -> u32 {
    let capacity = u64::from(capacity);
    // The rank takes a hash for each peer. What it adds to a whole part is one connection at most.
    let share = match capacity / instances.max(1) {
        0 => SharePlace::new(rank(), instances).part(capacity),
        whole => whole,
    };
    u32::try_from(share).unwrap_or(u32::MAX)
}

/// A connection that is ready for a request.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// True if it has carried a request before.
    pub(crate) is_reused: bool,
    /// When it was opened.
    pub(crate) opened_ms: TimeMs,
    /// Counts the bytes of its responses.
    pub(crate) meter: ResponseMeter,
    idle_timeout_ms: TimeMs,
    /// hyper's task of the connection, which ends with it: hyper itself goes on to read a response of which it has no head.
    _task: AbortOnDropHandle<()>,
}

impl Connection {
    /// True if its response was ended since the budget of bytes was full.
    pub(crate) fn is_over_budget(&self) -> bool {
        self.meter.held().is_ended()
    }

    /// Lowers the idle timeout to fit the endpoint's own, `keep_alive_ms`.
    pub(crate) fn limit_idle_time(&mut self, keep_alive_ms: TimeMs) {
        // Half of it, so that a request does not cross with the endpoint closing the connection.
        self.idle_timeout_ms = self.idle_timeout_ms.min(TimeMs(keep_alive_ms.get() / 2));
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since_ms: TimeMs,
}

/// The pool of idle connections, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: Mutex<HashMap<EndpointId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection, if it was used within `max_idle_ms`.
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

    /// Returns true if the endpoint closed a connection that was idle too briefly for an idle timeout.
    pub(crate) fn has_lost_idle(&self, endpoint: &EndpointId, now_ms: TimeMs) -> bool {
        let is_lost = |idle: &IdleConnection| {
            let expected_ms = idle.connection.idle_timeout_ms.min(MIN_EXPECTED_IDLE_MS);
            idle.connection.sender.is_closed() && now_ms.since(idle.since_ms) < expected_ms
        };
        self.idle.lock().get(endpoint).is_some_and(|pooled| pooled.iter().any(is_lost))
    }

    /// Returns a connection to the pool after its response was read to the end.
    pub(crate) fn release(&self, endpoint: &EndpointId, connection: Connection, now_ms: TimeMs) {
        if connection.sender.is_closed() {
            return;
        }
        connection.meter.drained();
        let mut idle = self.idle.lock();
        let pooled = idle.entry(endpoint.clone()).or_default();
        if pooled.len() < MAX_IDLE_CONNECTIONS {
            pooled.push(IdleConnection { connection, since_ms: now_ms });
        }
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn close_idle(&self, endpoint: &EndpointId) {
        self.idle.lock().remove(endpoint);
    }

    /// Closes the connections to an endpoint that have been idle for longest, but for `max_idle` of them.
    pub(crate) fn limit_idle(&self, endpoint: &EndpointId, max_idle: usize) {
        if let Some(pooled) = self.idle.lock().get_mut(endpoint) {
            pooled.drain(..pooled.len().saturating_sub(max_idle));
        }
    }

    /// The endpoints with idle connections.
    pub(crate) fn idle_endpoints(&self) -> Vec<EndpointId> {
        self.idle.lock().keys().cloned().collect()
    }

    /// Closes connections whose idle timeout has passed.
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

/// Returns false if `address` refuses connections; a connection that takes long says nothing.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    !matches!(connecting, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Opens a connection, whose responses count as `held`.
///
/// # Errors
///
/// The operating system's error, or `TimedOut`. No request bytes were sent in either case.
pub(crate) async fn connect(address: SocketAddr, held: HeldResponse) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    let meter = ResponseMeter::new(held);
    let delivery = Arc::new(DeliveryWatch::new(&stream, DELIVERY_LIMITS)?);
    let stream = MeteredStream { stream, delivery: delivery.clone(), meter: meter.clone() };
    let handshake =
        http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            biased;
            ended = &mut connection => ended,
            // The next write, or the attempt to flush without one, fails.
            () = delivery.run() => connection.await,
        };
        if let Err(error) = ended {
            log::debug!(address:% = address, error:% = error; "connection to an endpoint failed");
        }
    });
    meter.held().end_with(task.abort_handle());
    Ok(Connection {
        sender,
        is_reused: false,
        opened_ms: Clock.now(),
        meter,
        idle_timeout_ms: DEFAULT_IDLE_TIMEOUT_MS,
        _task: AbortOnDropHandle::new(task),
    })
}
