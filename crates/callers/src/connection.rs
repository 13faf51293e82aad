//! One connection of a caller, from its acceptance to its end.
//!
//! hyper ends a connection after its last response, whatever was sent behind the request. The requests of a
//! connection are therefore served in rounds: what is unread at the end of a round begins the next one, and the socket is
//! closed once nothing is left. See `docs/design/shutdown.md`.

use std::{
    convert::Infallible,
    future::poll_fn,
    io::{self, Cursor},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Extensions;
use hyper::{
    HeaderMap, Request, Version, body::Body, header, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, join},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Caller, Respond, StopStages,
    ends::{EndLog, EndReporter},
    response_state::ResponseState,
    stream::{PeerEnd, SharedStream, UNACKNOWLEDGED_TIMEOUT},
};

/// The interval between TCP keep-alive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest buffer of a connection that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// How long a new connection, or the rest of a request, is waited for after the instance has begun to close connections.
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

/// Marks the end of a request's body, as an extension of the request.
///
/// # Invariant
///
/// What follows on the connection is taken for a further request only after the mark is set, so that the rest of a body is never
/// taken for one.
#[derive(Debug, Clone, Default)]
pub struct RequestEnd(Arc<AtomicBool>);

impl RequestEnd {
    /// States that the body of the request with these extensions was read to its end.
    pub fn mark_reached(extensions: &Extensions) {
        if let Some(end) = extensions.get::<Self>() {
            end.0.store(true, Ordering::Relaxed);
        }
    }

    fn is_reached(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// What is known of a round of requests beside hyper.
struct Round {
    stream: SharedStream,
    began_at: Instant,
    had_request: AtomicBool,
    /// True until the head of a response is there. Further requests may wait in the socket meanwhile.
    is_busy: AtomicBool,
    /// True once the caller has announced that it sends no further request.
    is_last: AtomicBool,
    last_end: parking_lot::Mutex<RequestEnd>,
}

impl Round {
    fn new(stream: SharedStream) -> Arc<Self> {
        Arc::new(Self {
            stream,
            began_at: Instant::now(),
            had_request: AtomicBool::new(false),
            is_busy: AtomicBool::new(false),
            is_last: AtomicBool::new(false),
            last_end: parking_lot::Mutex::default(),
        })
    }

    /// Records that hyper has read the head of a request, and marks it as the one being responded to.
    fn begin<B: Body>(self: &Arc<Self>, request: &mut Request<B>) -> BusyGuard {
        let end = RequestEnd(Arc::new(AtomicBool::new(request.body().is_end_stream())));
        let is_last = announces_end(request.headers()) || request.version() < Version::HTTP_11;
        self.is_last.store(is_last, Ordering::Relaxed);
        *self.last_end.lock() = end.clone();
        request.extensions_mut().insert(end);
        self.had_request.store(true, Ordering::Relaxed);
        self.is_busy.store(true, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    /// True if a request may be on its way or is waiting to be read, so that the connection must not be closed yet.
    fn expects_request(&self) -> bool {
        if self.is_busy.load(Ordering::Relaxed) {
            return false;
        }
        let is_new = !self.had_request.load(Ordering::Relaxed)
            && self.began_at.elapsed() < FIRST_REQUEST_TIME;
        is_new || self.stream.has_unread()
    }

    /// True if what follows on the connection is a further request.
    fn may_be_followed(&self) -> bool {
        self.had_request.load(Ordering::Relaxed)
            && !self.is_last.load(Ordering::Relaxed)
            && self.is_read()
    }

    /// True unless the body of a request was not read to its end.
    fn is_read(&self) -> bool {
        !self.had_request.load(Ordering::Relaxed) || self.last_end.lock().is_reached()
    }
}

/// Marks a round as busy until it is dropped.
struct BusyGuard(Arc<Round>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.is_busy.store(false, Ordering::Relaxed);
    }
}

/// True if the sender of these headers announces that it ends the connection.
fn announces_end(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|name| name.trim().eq_ignore_ascii_case("close"))
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

/// A connection whose responses are complete, and whose caller has not closed it.
///
/// The close of a socket with unread bytes, or on which a request arrives, resets the connection, which discards what is on its way
/// to the caller.
pub(crate) struct LingeringConnection<R: Respond> {
    stream: SharedStream,
    reporter: EndReporter<R>,
    /// True if the rest of a refused body is read, which would keep its sender from reading the response.
    discards: bool,
    unused_bytes: u64,
}

impl<R: Respond> LingeringConnection<R> {
    /// Waits for the end of the caller's direction, and closes the connection. A request that comes now is left unread: it is not
    /// run, and its caller may send it again.
    pub(crate) async fn close(mut self) {
        if self.discards {
            let _ = timeout(UNACKNOWLEDGED_TIMEOUT, self.stream.discard()).await;
            self.reporter.close(self.unused_bytes);
            return;
        }
        match self.stream.wait_for_end().await {
            PeerEnd::None => self.reporter.close(self.unused_bytes),
            PeerEnd::Ended => self.reporter.leave(),
            PeerEnd::Failed(error) => self.reporter.fail_behind(error),
        }
    }
}

/// Responds to the requests of a connection. Returns it once the responses are complete and the end of the stream is sent, unless
/// it has failed.
pub(crate) async fn serve_connection<R: Respond>(
    responder: Arc<R>,
    stream: TcpStream,
    from: SocketAddr,
    stop: StopStages,
    log: Arc<EndLog>,
) -> Option<LingeringConnection<R>> {
    if let Err(error) = set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!(error:% = error; "can't set the socket options of a caller's connection");
    }
    let stream = SharedStream::new(stream);
    let mut caller = Caller { from, is_end_announced: false };
    let mut reporter =
        EndReporter::new(responder.clone(), log, stop.clone(), caller, stream.clone());
    let state = reporter.state.clone();
    let mut unread = Bytes::new();
    let discards = loop {
        let round = Round::new(stream.clone());
        let served =
            serve_round(&responder, &round, &state, &mut caller, unread, &stop.closing).await;
        unread = match served {
            Ok(rest) => rest,
            Err(error) => {
                log::debug!(error:% = error; "a caller's connection failed");
                // hyper has responded to a request that it can't read.
                let is_parse = error.is_parse();
                reporter.fail(error);
                if is_parse {
                    unread = Bytes::new();
                    break true;
                }
                return None;
            }
        };
        let has_more = !unread.is_empty() || stream.has_unread();
        if !has_more || !round.may_be_followed() {
            break !round.is_read();
        }
        log::debug!(caller:% = from; "a request waits behind the last response of a connection");
    };
    if let Err(error) = stream.end_writing() {
        log::debug!(error:% = error; "can't end a caller's connection");
        reporter.close(unread.len() as u64);
        return None;
    }
    let unused_bytes = unread.len() as u64;
    Some(LingeringConnection { stream, reporter, discards, unused_bytes })
}

/// Serves requests until hyper ends the connection, and returns what it has read beyond the last one.
async fn serve_round<R: Respond>(
    responder: &Arc<R>,
    round: &Arc<Round>,
    state: &Arc<ResponseState>,
    caller: &mut Caller,
    unread: Bytes,
    closing: &CancellationToken,
) -> hyper::Result<Bytes> {
    let limits = responder.connection_limits();
    let is_end_announced = Arc::new(AtomicBool::new(caller.is_end_announced));
    let announced = is_end_announced.clone();
    let from = caller.from;
    let service = service_fn(move |mut request| {
        let guard = round.begin(&mut request);
        let response_guard = state.begin(request.extensions_mut());
        let method = request.method().clone();
        let (responder, announced) = (responder.clone(), announced.clone());
        Box::pin(async move {
            let caller = Caller { from, is_end_announced: announced.load(Ordering::Relaxed) };
            let response = responder.respond(request, caller).await;
            announced.fetch_or(announces_end(response.headers()), Ordering::Relaxed);
            drop(guard);
            Ok::<_, Infallible>(response_guard.watch(&method, response))
        })
    });
    let reader = Cursor::new(unread).chain(round.stream.clone());
    let stream = join(reader, round.stream.clone());
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let is_ended = tokio::select! {
        biased;
        ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(ended),
        () = async {
            closing.cancelled().await;
            wait_while(|| round.expects_request()).await;
        } => None,
    };
    match is_ended {
        Some(ended) => ended?,
        None => {
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await?;
        }
    }
    caller.is_end_announced = is_end_announced.load(Ordering::Relaxed);
    let http1::Parts { io, read_buf, .. } = connection.into_parts();
    let (reader, _) = io.into_inner().into_inner();
    let (unread, _) = reader.into_inner();
    let position = usize::try_from(unread.position()).unwrap_or(usize::MAX);
    let left = unread.into_inner().slice(position..);
    Ok(if left.is_empty() { read_buf } else { Bytes::from([read_buf, left].concat()) })
}

async fn wait_while(is_met: impl Fn() -> bool) {
    while is_met() {
        sleep(EXAMINATION_INTERVAL).await;
    }
}
