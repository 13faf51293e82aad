//! The server for callers: accepts connections and closes them without losing a request.
//!
//! Both front ends use it, on hyper's connections. The server loop of poem polls a connection once more after a response
//! body failed, which ends the chunked encoding as if the response were complete; here, a failed body ends the connection.
//!
//! A planned stop loses requests in two places if nothing prevents it: closing the listener resets connections that the
//! kernel has accepted, and hyper closes a connection on which it has read nothing, whatever the socket holds by then.
//! [`serve_callers`] therefore accepts what waits before it closes the listener, gives a new connection the time for its
//! first request, looks for unread bytes before it ends one, and responds to the requests that it finds. A request that still has no response when the
//! time for a stop runs out gets a final one instead of a closed connection. See `docs/design/shutdown.md`.

mod bodies;
mod budget;
mod connection;
mod delivery;
mod ends;
mod errors;
mod gated_reader;
mod log_limiter;
mod response_state;
mod round;
mod socket_queues;
mod stream;

use std::{
    io,
    net::SocketAddr,
    pin::pin,
    sync::{Arc, OnceLock},
    time::Duration,
};

use hyper::{Request, Response, body::Incoming};
use socket2::{SockFilter, SockRef};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::sync::CancellationToken;

pub use crate::connection::{ConnectionLimits, set_socket_options};
pub use crate::{
    bodies::{BodyReservation, BodyRoom, ReadBodyError, discard_body, read_body},
    budget::{ByteBudget, HeldBytes, HeldResponse},
    delivery::{DeliveryLimits, DeliveryWatch},
    ends::{ConnectionEnd, ConnectionEndReason, EndDecision, StopPhase},
    errors::{error_chain, error_text},
    log_limiter::LogLimiter,
    response_state::RequestLabel,
    round::RequestEnd,
};
use crate::{
    connection::{LingeringConnection, serve_connection},
    ends::EndLog,
};

/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long connections are accepted after the first packet of further ones is dropped: a round trip, and the time that the
/// kernel of a busy machine takes to process the last packet of a handshake.
const HANDSHAKE_TIME: Duration = Duration::from_millis(100);
/// The time in which the last responses are written, after those that are not ready were given up: the part of a short
/// drain that [`ANSWER_TIME_DIVISOR`] leaves.
const ANSWER_TIME: Duration = Duration::from_millis(400);
const ANSWER_TIME_DIVISOR: u32 = 4;
/// How late a limit of a stop may be noticed before the process counts as one that stood still.
const LATE_TIME: Duration = Duration::from_millis(20);
/// The time that such a process gets to pass on what has come, once for each of the two limits: the embedder reserves more for
/// the exit.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);
/// A packet filter that drops the first packet of a connection and accepts all others. Its input begins with the TCP header.
const DROP_SYN: [SockFilter; 5] = [
    SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    SockFilter::new(AND, 0, 0, TCP_SYN | TCP_ACK),
    // Goes on for SYN alone, and skips an instruction otherwise.
    SockFilter::new(JUMP_IF_EQUAL, 0, 1, TCP_SYN),
    SockFilter::new(RETURN, 0, 0, DROP),
    SockFilter::new(RETURN, 0, 0, ACCEPT),
];

// Instructions of the classic packet filter, by their names in the kernel: BPF_LD | BPF_B | BPF_ABS, BPF_ALU | BPF_AND | BPF_K,
// BPF_JMP | BPF_JEQ | BPF_K and BPF_RET | BPF_K.
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;
/// The number of a packet's bytes that the filter passes on.
const DROP: u32 = 0;
const ACCEPT: u32 = u32::MAX;
/// The place of the flags in a TCP header, and two of them.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_ACK: u32 = 0x10;

/// The stages of a planned stop, which the server and its embedder share.
#[derive(Debug, Clone, Default)]
pub struct StopStages {
    /// Cancelled by [`Self::close`]: no connection is accepted any more, and kept ones end after their response.
    pub(crate) closing: CancellationToken,
    /// Cancelled by the server shortly before it closes all connections: a request without a response gets a final one.
    pub ending: CancellationToken,
    /// Set before `closing` is cancelled.
    drain_timeout: Arc<OnceLock<Duration>>,
}

impl StopStages {
    /// Begins to close connections, and gives the requests in progress up to `drain_timeout`. The embedder states it here, since
    /// its settings may have changed since the server started. A later call changes nothing.
    pub fn close(&self, drain_timeout: Duration) {
        self.drain_timeout.get_or_init(|| drain_timeout);
        self.closing.cancel();
    }

    /// True once connections are being closed.
    pub fn is_closing(&self) -> bool {
        self.closing.is_cancelled()
    }

    /// The time for the requests in progress, which [`Self::close`] has stated.
    fn drain_timeout(&self) -> Duration {
        self.drain_timeout.get().copied().unwrap_or_default()
    }
}

/// The time from the close of the listener to the end of the last response that is not given up.
pub fn response_time(drain_timeout: Duration) -> Duration {
    drain_timeout - ANSWER_TIME.min(drain_timeout / ANSWER_TIME_DIVISOR)
}

/// The sender of a request.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    /// Its address.
    pub from: SocketAddr,
    /// True if an earlier response on the connection announced its end. The request was sent all the same, or crossed that
    /// response, and is refused: it must not be run on this connection.
    pub is_end_announced: bool,
}

/// Responds to the requests of callers.
pub trait Respond: Send + Sync + 'static {
    /// The body of a response. An error in it ends the connection, so that a truncated response never looks complete.
    type Body: hyper::body::Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + Unpin
        + 'static;

    /// The limits on connections that are in force now.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Completes once the limits in force are not `limits` any more. By default they never change.
    fn limits_changed(&self, _limits: ConnectionLimits) -> impl Future<Output = ()> + Send {
        std::future::pending()
    }

    /// Responds to a request. Its [`RequestEnd`] is to be marked once its body was read. Once [`StopStages::ending`] is cancelled, what is not ready is given up
    /// and the response says so, since the connection is closed soon after.
    fn respond(
        &self,
        request: Request<Incoming>,
        caller: Caller,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Records the end of a connection that may have cost its caller a response. Its line is in the log.
    fn record_end(&self, end: &ConnectionEnd);
}

/// Connections whose responses are complete or have failed, and whose callers have not closed them. They are closed when this is dropped.
#[derive(Debug)]
#[must_use = "a response may be on its way, and the close of its connection discards it"]
pub struct LingeringConnections {
    connections: JoinSet<()>,
    until: Instant,
}

impl LingeringConnections {
    /// Waits for the callers to close them, for up to `exit_time` beyond the limit of the stop: a response that is complete
    /// shortly before that limit is read by then.
    pub async fn close(mut self, exit_time: Duration) {
        let closing = join_all(&mut self.connections);
        if timeout_at(self.until + exit_time, closing).await.is_err() {
            log::info!(
                target: "life", left = self.connections.len();
                "closing connections that their callers have not closed"
            );
        }
    }
}

/// The connections of a server.
struct Connections<R: Respond> {
    responder: Arc<R>,
    stop: StopStages,
    log: Arc<EndLog>,
    serving: JoinSet<Option<LingeringConnection<R>>>,
    lingering: JoinSet<()>,
}

impl<R: Respond> Connections<R> {
    fn accept(&mut self, stream: TcpStream, from: SocketAddr) {
        let (responder, stop, log) = (self.responder.clone(), self.stop.clone(), self.log.clone());
        self.serving.spawn(serve_connection(responder, stream, from, stop, log));
    }

    /// Waits for the end of one connection's responses, or one that lingers. Returns false if none is left of the first.
    async fn join_next(&mut self) -> bool {
        tokio::select! {
            Some(_) = self.lingering.join_next() => true,
            served = self.serving.join_next() => match served {
                Some(served) => {
                    if let Ok(Some(connection)) = served {
                        self.lingering.spawn(connection.close());
                    }
                    true
                }
                None => false,
            }
        }
    }

    /// Waits until all responses are complete.
    async fn respond_to_all(&mut self) {
        while self.join_next().await {}
    }

    /// Waits until all responses are complete, up to `limit`. Returns false if some are not.
    async fn respond_until(&mut self, limit: Instant) -> bool {
        if timeout_at(limit, self.respond_to_all()).await.is_ok() {
            return true;
        }
        // A process that stood still has not read what came meanwhile.
        limit.elapsed() > LATE_TIME && timeout(CATCH_UP_TIME, self.respond_to_all()).await.is_ok()
    }
}

/// Accepts connections until [`StopStages::close`], then waits for the requests in progress up to the time that it states.
/// Returns the connections on which responses may be on their way.
pub async fn serve_callers<R: Respond>(
    responder: Arc<R>,
    listener: TcpListener,
    stop: StopStages,
) -> LingeringConnections {
    let mut connections = Connections {
        responder,
        stop: stop.clone(),
        log: EndLog::new(),
        serving: JoinSet::new(),
        lingering: JoinSet::new(),
    };
    accept_until(&listener, stop.closing.cancelled(), &mut connections).await;
    // All limits count from one moment, so that late timers don't add up.
    let closing_at = Instant::now();
    refuse_new(&listener);
    accept_until(&listener, sleep(HANDSHAKE_TIME), &mut connections).await;
    for (stream, from) in take_waiting(listener) {
        connections.accept(stream, from);
    }
    let drain_timeout = stop.drain_timeout();
    let until = closing_at + drain_timeout;
    let due_at = closing_at + response_time(drain_timeout);
    if !connections.respond_until(due_at).await {
        log::info!(
            target: "life", left = connections.serving.len();
            "stop is due; requests without a response get a final one"
        );
        stop.ending.cancel();
        if !connections.respond_until(until).await {
            log::warn!(
                target: "life", left = connections.serving.len();
                "drain timed out; closing the remaining connections"
            );
        }
    }
    LingeringConnections { connections: connections.lingering, until }
}

async fn join_all(connections: &mut JoinSet<()>) {
    while connections.join_next().await.is_some() {}
}

/// Accepts connections until `end`.
async fn accept_until<R: Respond>(
    listener: &TcpListener,
    end: impl Future<Output = ()>,
    connections: &mut Connections<R>,
) {
    let mut end = pin!(end);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => connections.accept(stream, from),
                Err(error) => {
                    log::warn!(error:% = error; "can't accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            true = connections.join_next() => {}
            () = end.as_mut() => return,
        }
    }
}

/// Keeps the kernel from establishing further connections, which the close of the listener would reset. Callers repeat the
/// packet that is dropped, and are refused after that close.
fn refuse_new(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).attach_filter(&DROP_SYN) {
        log::debug!(error:% = error; "connections may be established until the listener is closed");
    }
}

/// Accepts the connections that the kernel has established, and closes the listener, which would reset them.
fn take_waiting(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(error:% = error; "can't take the waiting connections; they are reset");
            return Vec::new();
        }
    };
    let mut waiting = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, from)) => match into_tokio(stream) {
                Ok(stream) => waiting.push((stream, from)),
                Err(error) => {
                    log::warn!(error:% = error; "can't use a waiting connection; it is reset");
                }
            },
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            // None is left, or no further one can be accepted.
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    log::warn!(error:% = error; "can't accept a waiting connection; the rest is reset");
                }
                return waiting;
            }
        }
    }
}

fn into_tokio(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}
