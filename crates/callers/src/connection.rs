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
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Version, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, join},
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    Caller, Respond, StopStages,
    ends::{EndLog, EndReporter},
    gated_reader::GatedReader,
    round::{Round, announces_end},
    stream::{PeerEnd, SharedStream, UNACKNOWLEDGED_TIMEOUT},
};

/// The interval between TCP keep-alive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The smallest buffer of a connection that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// The interval at which a connection that is to be closed is examined.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(2);
/// The same for one that gets other limits: what follows its response waits for so long once.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(50);

/// The limits on what a caller may send on one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The time from the end of a response, or from the start of the connection, to the end of the next request's headers.
    pub header_timeout: Duration,
    /// The most bytes of a request's headers.
    pub max_header_bytes: usize,
}

/// Disables Nagle's algorithm, since a token must be sent as soon as it is written, and enables keep-alive probes. The peer of an
/// idle connection counts as dead once it has answered none for `unanswered`. [`DeliveryWatch`](crate::DeliveryWatch) covers
/// connections that are written to.
///
/// # Errors
///
/// The operating system's error for the first option that it rejects.
pub fn set_socket_options(stream: &TcpStream, unanswered: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = unanswered.as_secs_f64() / KEEPALIVE_INTERVAL.as_secs_f64();
    // The first one is sent after an interval.
    let retries = (probes.ceil() as u32).saturating_sub(1).max(1);
    SockRef::from(stream).set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(retries),
    )
}

/// A connection whose responses are complete, or ended early by the responder, and whose caller has not closed it.
///
/// The close of a socket with unread bytes, or on which a request arrives, resets the connection, which discards what is on its way
/// to the caller.
pub(crate) struct LingeringConnection<R: Respond> {
    stream: SharedStream,
    reporter: EndReporter<R>,
    /// True if the rest of a refused body is read, which would keep its sender from reading the response.
    discards: bool,
}

impl<R: Respond> LingeringConnection<R> {
    /// Waits for the end of the caller's direction, and closes the connection. A request that comes now is left unread: it is not
    /// run, and its caller may send it again.
    pub(crate) async fn close(mut self) {
        if self.discards {
            let _ = timeout(UNACKNOWLEDGED_TIMEOUT, self.stream.discard()).await;
            self.reporter.close();
            return;
        }
        match self.stream.wait_for_end().await {
            PeerEnd::None => self.reporter.close(),
            PeerEnd::Ended => self.reporter.leave(),
            PeerEnd::Failed(error) => self.reporter.fail_behind(error),
        }
    }
}

/// Responds to the requests of a connection. Returns it once the responses are complete, or the responder has ended one early, and
/// the end of the stream is sent. Returns none if the connection has failed.
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
    let stream = match SharedStream::new(stream) {
        Ok(stream) => stream,
        Err(error) => {
            log::debug!(error:% = error; "a caller's connection failed before its first request");
            return None;
        }
    };
    let mut caller = Caller { from, is_end_announced: false };
    let mut reporter =
        EndReporter::new(responder.clone(), log, stop.clone(), caller, stream.clone());
    let state = reporter.state.clone();
    let mut unread = Bytes::new();
    let discards = loop {
        let round = Round::new(stream.clone(), state.clone());
        let served = serve_round(&responder, &round, &mut caller, unread, &stop.closing).await;
        unread = match served {
            Ok(RoundEnd::Renewed { unread: rest }) => {
                unread = rest;
                continue;
            }
            Ok(RoundEnd::Ended { unread: rest }) => rest,
            Err(error) => {
                log::debug!(error:% = error; "a caller's connection failed");
                let (is_parse, is_user) = (error.is_parse(), error.is_user());
                reporter.fail(error);
                unread = Bytes::new();
                // hyper has responded to a request that it can't read.
                if is_parse {
                    break true;
                }
                // The responder ended the body, and what was passed on before may be on its way.
                if is_user {
                    break !round.is_read();
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
    if stream.is_end_significant() && reporter.state.is_incomplete() {
        log::debug!(caller:% = from; "a response that was to end with its connection is cut; resetting it");
        return None;
    }
    if let Err(error) = stream.end_writing() {
        log::debug!(error:% = error; "can't end a caller's connection");
        reporter.close();
        return None;
    }
    // What follows a body that was not read is its rest.
    let unused_bytes = if discards { 0 } else { unread.len() as u64 };
    reporter.end_writing(unused_bytes);
    Some(LingeringConnection { stream, reporter, discards })
}

/// How hyper's run on a connection ended, with what it has read beyond the last request.
enum RoundEnd {
    /// The connection is to be closed, unless a request is left.
    Ended { unread: Bytes },
    /// Other limits are in force for the requests that follow.
    Renewed { unread: Bytes },
}

/// Serves requests until hyper ends the connection, or other limits are in force.
async fn serve_round<R: Respond>(
    responder: &Arc<R>,
    round: &Arc<Round>,
    caller: &mut Caller,
    unread: Bytes,
    closing: &CancellationToken,
) -> hyper::Result<RoundEnd> {
    let limits = responder.connection_limits();
    let is_end_announced = Arc::new(AtomicBool::new(caller.is_end_announced));
    let announced = is_end_announced.clone();
    let from = caller.from;
    let renewing = responder.clone();
    // Whether the round had a request when it was ended for other limits. One that began later has got an end of the connection.
    let mut renewed_after = None;
    let service = service_fn(move |mut request| {
        let guard = round.begin(&mut request);
        let (method, version) = (request.method().clone(), request.version());
        let (responder, announced) = (responder.clone(), announced.clone());
        let stream = round.stream.clone();
        Box::pin(async move {
            let caller = Caller { from, is_end_announced: announced.load(Ordering::Relaxed) };
            let mut response = responder.respond(request, caller).await;
            // hyper frames a response by the version of its head, which is an endpoint's, and lowers it to the request's.
            *response.version_mut() = Version::HTTP_11;
            announced.fetch_or(announces_end(response.headers()), Ordering::Relaxed);
            let response = guard.watch(&method, response);
            // hyper has no other way to state where its body ends.
            if version < Version::HTTP_11 && response.body().has_unknown_length() {
                stream.begin_response_until_end();
            }
            Ok::<_, Infallible>(response)
        })
    });
    let reader = Cursor::new(unread).chain(GatedReader::new(round.clone()));
    let stream = join(reader, round.stream.clone());
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    {
        let mut served = pin!(async {
            let is_ended = tokio::select! {
                biased;
                ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => Some(ended),
                () = async {
                    closing.cancelled().await;
                    wait_while(|| round.expects_request(), EXAMINATION_INTERVAL).await;
                } => None,
                () = async {
                    renewing.limits_changed(limits).await;
                    round.end();
                    wait_while(|| round.is_under_way(), RENEWAL_INTERVAL).await;
                    renewed_after = Some(round.had_request());
                } => None,
            };
            if let Some(ended) = is_ended {
                return ended;
            }
            Pin::new(&mut connection).graceful_shutdown();
            poll_fn(|cx| connection.poll_without_shutdown(cx)).await
        });
        tokio::select! {
            biased;
            ended = &mut served => ended?,
            // The next write, or the attempt to flush without one, fails.
            () = round.stream.watch_delivery() => served.await?,
        }
    }
    caller.is_end_announced = is_end_announced.load(Ordering::Relaxed);
    let http1::Parts { io, read_buf, .. } = connection.into_parts();
    let (reader, _) = io.into_inner().into_inner();
    let (unread, _) = reader.into_inner();
    let position = usize::try_from(unread.position()).unwrap_or(usize::MAX);
    let left = unread.into_inner().slice(position..);
    let unread = if left.is_empty() { read_buf } else { Bytes::from([read_buf, left].concat()) };
    let may_go_on = !caller.is_end_announced && (!round.had_request() || round.may_be_followed());
    let is_renewed = renewed_after == Some(round.had_request()) && may_go_on;
    Ok(if is_renewed { RoundEnd::Renewed { unread } } else { RoundEnd::Ended { unread } })
}

async fn wait_while(is_met: impl Fn() -> bool, interval: Duration) {
    while is_met() {
        sleep(interval).await;
    }
}
