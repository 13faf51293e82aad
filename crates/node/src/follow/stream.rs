//! One attempt at one endpoint: its stream, and new connections when the stream stops short.
//!
//! # Invariant
//!
//! Tokens enter a [`Run`] in order and once: a chunk must carry the attempt and the next index, or it is dropped. The
//! run is whole only when the end marker's count equals the tokens that were taken.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bilberryford_coord::StallDetector;
use bilberryford_endpoint::{Chunk, ChunkStream, EndpointError, GenerateCall};
use bilberryford_types::{AttemptId, EventKind, Ran, RequestId, TeamName, TimeMs, Tokens};
use futures::StreamExt;
use tokio::time::timeout;

use crate::{
    fleet::Endpoint,
    node::Node,
    run::{Run, RunEnd},
};

/// How long after a run's deadline its connection gives up by itself, in milliseconds.
const TRANSPORT_MARGIN_MS: u64 = 2_000;
/// How long an endpoint may take to answer a new connection, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// How often a stream is resumed without a new token in between.
const MAX_IDLE_RESUMES: u32 = 6;
/// How often a run may end with a wrong count before the endpoint is given up.
const MAX_WRONG_ENDS: u32 = 2;
/// How long an endpoint that did not answer is chosen last, in milliseconds.
const SUSPECT_MS: u64 = 5_000;

/// Why an attempt ended without the whole answer.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) error: EndpointError,
    /// Whether the endpoint may have begun the run.
    pub(crate) is_begun: bool,
    /// Whether the connection was lost together with the run, as when the endpoint crashes.
    pub(crate) is_crash: bool,
    /// Whether the answer does not fit.
    pub(crate) is_full: bool,
}

impl Failure {
    const fn not_begun(error: EndpointError) -> Self {
        Self { error, is_begun: false, is_crash: false, is_full: false }
    }

    const fn lost(error: EndpointError) -> Self {
        Self { error, is_begun: true, is_crash: false, is_full: false }
    }

    /// What may be said about having run.
    pub(crate) const fn ran(&self) -> Ran {
        if self.is_begun { Ran::Maybe } else { self.error.ran() }
    }
}

/// How a connection stopped short of the end.
enum Stop {
    /// It was lost.
    Lost(String),
    /// It carried nothing for too long.
    Silent,
    /// A chunk is missing, or the count does not fit.
    Hole(String),
    /// The answer does not fit.
    Full,
}

/// What is known of the request, for the time line.
#[derive(Debug, Clone)]
pub(crate) struct TraceContext {
    pub(crate) request: RequestId,
    pub(crate) team: TeamName,
}

/// Takes one attempt's stream into a run.
pub(crate) struct Intake<'a> {
    node: &'a Node,
    run: &'a Run,
    endpoint: &'a Arc<Endpoint>,
    attempt: &'a AttemptId,
    trace: TraceContext,
    deadline: Instant,
    received: Option<Instant>,
    silence: StallDetector,
    idle_resumes: u32,
    wrong_ends: u32,
    has_answered: bool,
    /// Set as soon as the endpoint has answered, for whoever ends the attempt early.
    answered: Option<&'a AtomicBool>,
}

impl<'a> Intake<'a> {
    pub(crate) fn new(
        node: &'a Node,
        run: &'a Run,
        endpoint: &'a Arc<Endpoint>,
        attempt: &'a AttemptId,
        trace: TraceContext,
        deadline: Instant,
    ) -> Self {
        let silence = StallDetector::new(node.now(), Tokens(0));
        Self {
            node,
            run,
            endpoint,
            attempt,
            trace,
            deadline,
            received: None,
            silence,
            idle_resumes: 0,
            wrong_ends: 0,
            has_answered: false,
            answered: None,
        }
    }

    /// Has the time to the first token counted from when the request was received.
    pub(crate) const fn received(mut self, at: Instant) -> Self {
        self.received = Some(at);
        self
    }

    /// Has `flag` set when the endpoint answers.
    pub(crate) const fn with_flag(mut self, flag: &'a AtomicBool) -> Self {
        self.answered = Some(flag);
        self
    }

    fn note_answer(&mut self) {
        self.has_answered = true;
        self.answered.into_iter().for_each(|flag| flag.store(true, Ordering::Release));
    }

    /// Sends the prompt and takes the answer in.
    pub(crate) async fn generate(mut self, call: GenerateCall) -> Result<RunEnd, Failure> {
        self.silence =
            StallDetector::new(self.node.now(), bilberryford_cache::prompt_tokens(&call.prompt));
        self.event(EventKind::Dispatched, "");
        let patience = Duration::from_millis(self.silence.timeout().get());
        let opened =
            timeout(patience, self.endpoint.engine.generate(call, self.transport_timeout())).await;
        let stream = match opened {
            Ok(Ok(stream)) => {
                self.note_answer();
                stream
            }
            Ok(Err(error)) if error.ran() == Ran::No => {
                if matches!(error, EndpointError::Connect { .. }) {
                    self.suspect_endpoint();
                }
                return Err(Failure::not_begun(error));
            }
            Ok(Err(error)) => self.reconnect(Stop::Lost(error.to_string())).await?,
            Err(_) => self.reconnect(Stop::Silent).await?,
        };
        self.take_all(stream).await
    }

    /// Picks the run up and takes the rest of the answer in.
    pub(crate) async fn follow(mut self, stream: ChunkStream) -> Result<RunEnd, Failure> {
        self.note_answer();
        self.take_all(stream).await
    }

    async fn take_all(&mut self, mut stream: ChunkStream) -> Result<RunEnd, Failure> {
        loop {
            let before = self.run.len();
            let stop = match self.take_stream(&mut stream).await {
                Ok(end) => return Ok(end),
                Err(stop) => stop,
            };
            if self.run.len() > before {
                self.idle_resumes = 0;
            }
            // The old connection is dropped before the new one is opened.
            drop(stream);
            stream = self.reconnect(stop).await?;
        }
    }

    /// Asks for the rest on a new connection, which also tells whether the endpoint is still there.
    async fn reconnect(&mut self, stop: Stop) -> Result<ChunkStream, Failure> {
        let was_lost = matches!(stop, Stop::Lost(_));
        let reason = match stop {
            Stop::Lost(reason) | Stop::Hole(reason) => reason,
            Stop::Silent => "silent".to_owned(),
            Stop::Full => {
                let error = EndpointError::InvalidResponse { reason: "too large".to_owned() };
                return Err(Failure { is_full: true, ..Failure::lost(error) });
            }
        };
        self.idle_resumes += 1;
        if self.idle_resumes > MAX_IDLE_RESUMES || self.wrong_ends > MAX_WRONG_ENDS {
            return Err(Failure::lost(EndpointError::InvalidResponse { reason }));
        }
        let from = self.run.len();
        let probe = self.endpoint.engine.resume(self.attempt, from, self.transport_timeout());
        match timeout(Duration::from_millis(PROBE_TIMEOUT_MS), probe).await {
            Ok(Ok(stream)) => {
                self.note_answer();
                self.silence.record_reconnect(self.node.now());
                self.event(EventKind::Resumed, &format!("from token {from}: {reason}"));
                Ok(stream)
            }
            Ok(Err(error)) => {
                // A run that the endpoint had begun and forgot, or an endpoint that is gone with it. A silent
                // connection may never have carried the request, so that silence alone convicts nobody.
                let is_gone =
                    matches!(error, EndpointError::Connect { .. } | EndpointError::UnknownAttempt);
                let is_crash = is_gone && (was_lost || self.has_answered);
                if matches!(error, EndpointError::Connect { .. }) {
                    self.suspect_endpoint();
                }
                let error = EndpointError::ResponseLost { reason: format!("{reason}; {error}") };
                Err(Failure { is_crash, ..Failure::lost(error) })
            }
            Err(_) => {
                self.suspect_endpoint();
                let reason = format!("{reason}; no answer on a new connection");
                Err(Failure::lost(EndpointError::ResponseLost { reason }))
            }
        }
    }

    fn suspect_endpoint(&self) {
        self.endpoint.mark_suspected(self.node.now().after(TimeMs(SUSPECT_MS)));
        self.event(EventKind::Failed, "");
    }

    async fn take_stream(&mut self, stream: &mut ChunkStream) -> Result<RunEnd, Stop> {
        loop {
            let patience = Duration::from_millis(self.silence.remaining(self.node.now()).get());
            let next = timeout(patience, stream.next()).await.map_err(|_| Stop::Silent)?;
            let chunk = next
                .ok_or_else(|| Stop::Lost("no end marker".to_owned()))?
                .map_err(|error| Stop::Lost(error.to_string()))?;
            if let Some(end) = self.take_chunk(chunk)? {
                return Ok(end);
            }
        }
    }

    fn take_chunk(&mut self, chunk: Chunk) -> Result<Option<RunEnd>, Stop> {
        let next = self.run.len();
        match chunk {
            Chunk::Token { attempt, index, text } if attempt == *self.attempt && index == next => {
                self.take_token(&text)?;
                Ok(None)
            }
            Chunk::Token { attempt, index, .. } if attempt == *self.attempt && index > next => {
                self.drop_chunk();
                Err(Stop::Hole(format!("token {index} came where {next} was due")))
            }
            Chunk::End { attempt, tokens, cached_tokens, prompt_tokens }
                if attempt == *self.attempt =>
            {
                if tokens.get() != next {
                    self.wrong_ends += 1;
                    return Err(Stop::Hole(format!("{tokens} announced, {next} came")));
                }
                self.node.metrics.prompt_tokens.add(prompt_tokens.get().into(), &[]);
                self.node.metrics.cached_tokens.add(cached_tokens.get().into(), &[]);
                let recomputed = prompt_tokens.get().saturating_sub(cached_tokens.get());
                self.node.metrics.recomputed_tokens.add(recomputed.into(), &[]);
                self.event(EventKind::Answered, "");
                Ok(Some(RunEnd { tokens, prompt_tokens }))
            }
            Chunk::Token { .. } | Chunk::End { .. } => {
                self.drop_chunk();
                Ok(None)
            }
        }
    }

    fn take_token(&mut self, text: &str) -> Result<(), Stop> {
        if self.run.len() == self.run.first() {
            self.event(EventKind::FirstToken, "");
        }
        // Here and not in a task beside it: a fast answer ends before such a task runs.
        if let Some(received) = self.received.filter(|_| self.run.len() == 0) {
            self.node.metrics.first_token_s.record(received.elapsed().as_secs_f64(), &[]);
        }
        self.run.push(text).map_err(|_| Stop::Full)?;
        self.silence.record_token(self.node.now());
        Ok(())
    }

    fn drop_chunk(&self) {
        self.node.metrics.chunks_dropped.add(1, &[]);
        self.event(EventKind::ChunkDropped, "");
    }

    /// How long the transport may take. It outlasts the deadline, so that the deadline ends a run and never a timeout
    /// that looks like a lost connection.
    fn transport_timeout(&self) -> TimeMs {
        let left = self.deadline.saturating_duration_since(Instant::now()).as_millis();
        TimeMs(u64::try_from(left).unwrap_or(u64::MAX)).after(TimeMs(TRANSPORT_MARGIN_MS))
    }

    fn event(&self, kind: EventKind, detail: &str) {
        self.node.events.write(kind, |event| {
            event.request = Some(self.trace.request.clone());
            event.attempt = Some(self.attempt.clone());
            event.team = Some(self.trace.team.clone());
            event.endpoint = Some(self.endpoint.id.clone());
            event.detail = detail.to_owned();
        });
    }
}
