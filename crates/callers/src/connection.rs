//! One connection of a caller, from its acceptance to its end.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

use crate::{Respond, stream::SharedStream};

/// How long bytes to a caller may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval between TCP keep-alive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest buffer of a connection that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long a new connection is kept for its first request after the instance has begun to close connections.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);
/// The interval at which a connection that is to be closed is examined.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(2);

/// The limits on what a caller may send on one connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The time from the end of a response, or from the start of the connection, to the end of the next request's headers.
    pub header_timeout: Duration,
    /// The most bytes of a request's headers.
    pub max_header_bytes: usize,
}

/// What is known of a connection beside hyper.
struct ConnectionState {
    stream: SharedStream,
    accepted_at: Instant,
    had_request: AtomicBool,
    /// True while a request is responded to. Further requests may wait in the socket meanwhile.
    is_busy: AtomicBool,
}

impl ConnectionState {
    /// True if a request may be on its way or is waiting to be read, so that the connection must not be closed yet.
    fn expects_request(&self) -> bool {
        if self.is_busy.load(Ordering::Relaxed) {
            return false;
        }
        let is_new = !self.had_request.load(Ordering::Relaxed)
            && self.accepted_at.elapsed() < FIRST_REQUEST_TIME;
        is_new || self.stream.has_unread()
    }
}

/// Marks the connection as busy until it is dropped.
struct BusyGuard(Arc<ConnectionState>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.is_busy.store(false, Ordering::Relaxed);
    }
}

/// Enables the detection of dead peers and disables Nagle's algorithm, since a token must be sent as soon as it is written.
/// A peer that leaves bytes unacknowledged for `unacknowledged`, or reads none for so long, counts as dead.
///
/// # Errors
///
/// The operating system's error for the first option that it rejects.
pub fn set_socket_options(stream: &TcpStream, unacknowledged: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(unacknowledged))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL),
    )
}

pub(crate) async fn serve_connection<R: Respond>(
    responder: Arc<R>,
    stream: TcpStream,
    from: SocketAddr,
    shutdown: CancellationToken,
) {
    if let Err(error) = set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!(error:% = error; "can't set the socket options of a caller's connection");
    }
    let stream = SharedStream::new(stream);
    let state = Arc::new(ConnectionState {
        stream: stream.clone(),
        accepted_at: Instant::now(),
        had_request: AtomicBool::new(false),
        is_busy: AtomicBool::new(false),
    });
    let limits = responder.connection_limits();
    let service = service_fn(|request| {
        let (responder, state) = (responder.clone(), state.clone());
        async move {
            state.had_request.store(true, Ordering::Relaxed);
            state.is_busy.store(true, Ordering::Relaxed);
            let guard = BusyGuard(state);
            let response = responder.respond(request, from).await;
            drop(guard);
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shutdown.cancelled() => {
            let is_ended = tokio::select! {
                biased;
                ended = connection.as_mut() => Some(ended),
                () = wait_while(|| state.expects_request()) => None,
            };
            match is_ended {
                Some(ended) => ended,
                None => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection failed");
    }
}

async fn wait_while(is_met: impl Fn() -> bool) {
    while is_met() {
        sleep(EXAMINATION_INTERVAL).await;
    }
}
