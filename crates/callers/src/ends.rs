//! Reports the ends of connections that may have kept a response, or a request, from its receiver.
//!
//! A connection that ends behind a complete response, all of which its caller has acknowledged, is not reported.

use std::{
    error::Error as _,
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_types::TimeMs;
use parking_lot::Mutex;

use crate::{
    Caller, Respond, StopStages, errors::error_text, log_limiter::LogLimiter,
    response_state::ResponseState, stream::SharedStream,
};

/// The most log lines in a second on ends of connections that callers decided, and on the others.
const MAX_LINES_PER_S: u64 = 50;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectionEndReason {
    /// The caller ended its direction inside a response.
    CallerLeft,
    /// The caller, or something between, reset the connection inside a response.
    Reset,
    /// Bytes of a response stayed unacknowledged, or unread, for too long.
    NotAcknowledged,
    /// Another error of the operating system inside a response.
    ConnectionFailed,
    /// The responder ended a response before its end.
    ResponseFailed,
    /// What the caller sent is no request. It has a response that says so.
    InvalidRequest,
    /// The connection was closed while bytes of a response were unacknowledged.
    ClosedUnacknowledged,
    /// The connection was closed while bytes behind the last request were unread.
    ClosedUnread,
    /// The connection was closed at the limit of a stop, inside a response.
    StopLimit,
    /// The task of the connection panicked.
    Panicked,
}

/// Who decided that a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum EndDecision {
    /// The caller, or what lies between.
    Caller,
    /// The instance.
    Instance,
    /// The stop of the instance.
    Stop,
}

/// The phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StopPhase {
    /// The instance accepts connections.
    Serving,
    /// Connections end after their response.
    Closing,
    /// What has no response is given up.
    Ending,
}

/// The end of a connection that may have cost its caller something.
#[derive(Debug, Clone)]
pub struct ConnectionEnd {
    /// Why it ended.
    pub reason: ConnectionEndReason,
    /// Who decided it.
    pub decided_by: EndDecision,
    /// The phase of the stop at the end.
    pub phase: StopPhase,
    /// The label of the last request.
    pub request: String,
    /// The time since bytes were last written; none if there were none.
    pub since_write: Option<Duration>,
    /// The bytes that were written and that the caller had not acknowledged; none if they are not known.
    pub unacknowledged_bytes: Option<u64>,
    /// The bytes that lay unread; none if their number is not known.
    pub unread_bytes: Option<u64>,
    /// Those of the unread bytes that had been read from the socket, and belong to no request that was begun.
    pub read_ahead_bytes: u64,
    /// The bytes that lay unread when the instance ended its direction; none if it has not. Others came later: they have crossed
    /// the end.
    pub unread_at_end_bytes: Option<u64>,
    /// The error of the connection; empty if it was closed.
    pub error: String,
}

impl ConnectionEnd {
    /// The labels under which ends are counted.
    pub fn labels(&self) -> [(&'static str, &'static str); 2] {
        [("reason", self.reason.into()), ("decided_by", self.decided_by.into())]
    }
}

/// How the service of a connection ended.
#[derive(Debug)]
enum Outcome {
    /// Its task was given up, or panicked.
    GivenUp,
    /// It was closed.
    Closed,
    /// The caller ended its direction behind a complete response.
    Left,
    /// The connection failed behind a complete response.
    FailedBehind(io::Error),
    Failed(hyper::Error),
}

/// Limits the log lines of all connections of a server.
#[derive(Debug)]
pub(crate) struct EndLog {
    started_at: Instant,
    by_callers: Mutex<LogLimiter>,
    by_instance: Mutex<LogLimiter>,
}

impl EndLog {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            started_at: Instant::now(),
            by_callers: Mutex::default(),
            by_instance: Mutex::default(),
        })
    }

    fn write(&self, end: &ConnectionEnd, caller: Caller) {
        let now_ms = TimeMs(self.started_at.elapsed().as_millis() as u64);
        // Callers that leave must not crowd out the lines that tell a lost request from one that was left unread.
        let (level, limiter) = match end.decided_by {
            EndDecision::Caller => (log::Level::Info, &self.by_callers),
            EndDecision::Instance | EndDecision::Stop => (log::Level::Warn, &self.by_instance),
        };
        let Some(suppressed) = limiter.lock().take(now_ms, MAX_LINES_PER_S) else { return };
        // -1 is a number that is not known: 0 would state that there is none.
        let known =
            |bytes: Option<u64>| bytes.and_then(|bytes| i64::try_from(bytes).ok()).unwrap_or(-1);
        log::log!(
            target: "connection", level,
            reason:% = end.reason, decided_by:% = end.decided_by, phase:% = end.phase,
            request = end.request.as_str(), caller:% = caller.from,
            since_write_ms = known(end.since_write.map(|time| time.as_millis() as u64)),
            unacknowledged_bytes = known(end.unacknowledged_bytes),
            unread_bytes = known(end.unread_bytes), read_ahead_bytes = end.read_ahead_bytes,
            unread_at_end_bytes = known(end.unread_at_end_bytes),
            error = end.error.as_str(), left_out = suppressed;
            "connection ended early"
        );
    }
}

/// Reports the end of a connection when it is dropped, also with its task.
pub(crate) struct EndReporter<R: Respond> {
    responder: Arc<R>,
    log: Arc<EndLog>,
    stop: StopStages,
    caller: Caller,
    stream: SharedStream,
    pub(crate) state: Arc<ResponseState>,
    outcome: Outcome,
    /// The phase in which hyper has ended the connection with an error: what is on its way is waited for behind it.
    failed_in: Option<StopPhase>,
    /// The bytes behind the last request that had been read when the instance ended its direction.
    unused_bytes: u64,
    unread_at_end_bytes: Option<u64>,
}

impl<R: Respond> EndReporter<R> {
    pub(crate) fn new(
        responder: Arc<R>,
        log: Arc<EndLog>,
        stop: StopStages,
        caller: Caller,
        stream: SharedStream,
    ) -> Self {
        let (state, outcome) = (Arc::default(), Outcome::GivenUp);
        Self {
            responder,
            log,
            stop,
            caller,
            stream,
            state,
            outcome,
            failed_in: None,
            unused_bytes: 0,
            unread_at_end_bytes: None,
        }
    }

    /// Records that the instance has just ended its direction, with bytes that were read and not used.
    pub(crate) fn end_writing(&mut self, unused_bytes: u64) {
        self.unused_bytes = unused_bytes;
        let left_bytes = if self.stream.has_unread() {
            // At least the byte that was seen.
            self.stream.queues().map_or(1, |queues| queues.unread_bytes)
        } else {
            0
        };
        self.unread_at_end_bytes = Some(unused_bytes + left_bytes);
    }

    /// Records that hyper has ended the connection with an error.
    pub(crate) fn fail(&mut self, error: hyper::Error) {
        self.failed_in = Some(self.phase());
        self.outcome = Outcome::Failed(error);
    }

    /// Records that the connection is closed behind its last response, and its caller has not ended its direction.
    pub(crate) fn close(&mut self) {
        self.set_unless_failed(Outcome::Closed);
    }

    /// Records that the caller has ended its direction behind a complete response.
    pub(crate) fn leave(&mut self) {
        self.set_unless_failed(Outcome::Left);
    }

    /// Records that the connection has failed behind a complete response.
    pub(crate) fn fail_behind(&mut self, error: io::Error) {
        self.set_unless_failed(Outcome::FailedBehind(error));
    }

    fn set_unless_failed(&mut self, outcome: Outcome) {
        if !matches!(self.outcome, Outcome::Failed(_)) {
            self.outcome = outcome;
        }
    }

    fn phase(&self) -> StopPhase {
        if self.stop.ending.is_cancelled() {
            StopPhase::Ending
        } else if self.stop.is_closing() {
            StopPhase::Closing
        } else {
            StopPhase::Serving
        }
    }

    /// The end of the connection; none if it cost nothing.
    fn end(&self) -> Option<ConnectionEnd> {
        // The number of bytes is not asked of the kernel for the usual ends.
        let has_unread =
            self.unread_at_end_bytes.is_some_and(|bytes| bytes > 0) || self.stream.has_unread();
        if matches!(self.outcome, Outcome::Left) && !has_unread {
            return None;
        }
        let queues = self.stream.queues().ok();
        let unacknowledged_bytes = queues.map(|queues| queues.unacknowledged_bytes);
        let unread_bytes = queues.map(|queues| queues.unread_bytes + self.unused_bytes);
        let is_cut = self.state.is_incomplete() || self.stream.is_write_blocked();
        let phase = self.failed_in.unwrap_or_else(|| self.phase());
        let by_instance = match phase {
            StopPhase::Serving => EndDecision::Instance,
            StopPhase::Closing | StopPhase::Ending => EndDecision::Stop,
        };
        let closed = || {
            let reason = if unacknowledged_bytes.is_some_and(|bytes| bytes > 0) {
                ConnectionEndReason::ClosedUnacknowledged
            } else if has_unread || unread_bytes.is_some_and(|bytes| bytes > 0) {
                ConnectionEndReason::ClosedUnread
            } else {
                return None;
            };
            Some((reason, by_instance))
        };
        let (reason, decided_by) = match &self.outcome {
            Outcome::GivenUp if std::thread::panicking() => {
                (ConnectionEndReason::Panicked, EndDecision::Instance)
            }
            Outcome::GivenUp if is_cut => (ConnectionEndReason::StopLimit, EndDecision::Stop),
            Outcome::GivenUp | Outcome::Closed | Outcome::Left => closed()?,
            // A reset behind a response is one of the ways in which callers close.
            Outcome::FailedBehind(error) if error.kind() == io::ErrorKind::TimedOut => {
                (ConnectionEndReason::NotAcknowledged, EndDecision::Instance)
            }
            Outcome::FailedBehind(_) => return None,
            Outcome::Failed(error) => match classify(error) {
                failed @ (
                    ConnectionEndReason::InvalidRequest | ConnectionEndReason::ResponseFailed,
                    _,
                ) => failed,
                failed if is_cut => failed,
                _ => closed()?,
            },
        };
        let error = match &self.outcome {
            Outcome::Failed(error) => error_text(error),
            Outcome::FailedBehind(error) => error.to_string(),
            Outcome::GivenUp | Outcome::Closed | Outcome::Left => String::new(),
        };
        Some(ConnectionEnd {
            reason,
            decided_by,
            phase,
            request: self.state.label(),
            since_write: self.stream.since_write(),
            unacknowledged_bytes,
            unread_bytes,
            read_ahead_bytes: self.unused_bytes,
            unread_at_end_bytes: self.unread_at_end_bytes,
            error,
        })
    }
}

impl<R: Respond> Drop for EndReporter<R> {
    fn drop(&mut self) {
        if let Some(end) = self.end() {
            self.responder.record_end(&end);
            self.log.write(&end, self.caller);
        }
    }
}

/// The reason of a connection's error, and who decided it.
fn classify(error: &hyper::Error) -> (ConnectionEndReason, EndDecision) {
    if error.is_parse() {
        return (ConnectionEndReason::InvalidRequest, EndDecision::Caller);
    }
    if error.is_user() {
        return (ConnectionEndReason::ResponseFailed, EndDecision::Instance);
    }
    if error.is_incomplete_message() {
        return (ConnectionEndReason::CallerLeft, EndDecision::Caller);
    }
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => {
            (ConnectionEndReason::NotAcknowledged, EndDecision::Instance)
        }
        Some(
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe,
        ) => (ConnectionEndReason::Reset, EndDecision::Caller),
        _ => (ConnectionEndReason::ConnectionFailed, EndDecision::Instance),
    }
}
