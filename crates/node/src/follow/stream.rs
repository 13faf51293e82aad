//! One attempt at one endpoint: receives its stream, and reconnects if the stream ends early.
//!
//! # Invariant
//!
//! Tokens are appended to a [`Run`] in order and once: a chunk must carry the attempt's id and the next index, or it is
//! dropped. The run is complete only if the count in the end marker equals the number of received tokens.

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
use tokio::time::{sleep, timeout};

use crate::{
    fleet::Endpoint,
    node::Node,
    run::{Run, RunEnd},
};

/// How long after a run's deadline its connection times out, in milliseconds.
const TRANSPORT_MARGIN_MS: u64 = 2_000;
/// The time limit for the response to a resume request, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;
/// How often a run is requested again on a new connection that is lost too.
const MAX_PROBES: u32 = 4;
/// The wait before it is requested again, in milliseconds.
const PROBE_RETRY_MS: u64 = 50;
/// How often in a row a stream may be resumed without receiving a token.
const MAX_IDLE_RESUMES: u32 = 6;
/// How many end markers with a wrong token count are tolerated before the attempt fails.
const MAX_WRONG_COUNTS: u32 = 2;
/// How long an endpoint that did not respond is ranked below all others, in milliseconds.
const SUSPECT_MS: u64 = 5_000;

/// Why an attempt ended without the complete response.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) error: EndpointError,
    /// Set if the endpoint may have begun the run.
    pub(crate) may_have_begun: bool,
    /// Set if the endpoint lost the run together with the connection, as in a crash.
    pub(crate) is_crash: bool,
    /// Set if the response exceeds the limits of the buffer.
    pub(crate) is_too_large: bool,
}

impl AttemptFailure {
    const fn not_begun(error: EndpointError) -> Self {
        Self { error, may_have_begun: false, is_crash: false, is_too_large: false }
    }

    const fn lost(error: EndpointError) -> Self {
        Self { error, may_have_begun: true, is_crash: false, is_too_large: false }
    }

    /// States whether the request may have run.
    pub(crate) const fn ran(&self) -> Ran {
        if self.may_have_begun { Ran::Maybe } else { self.error.ran() }
    }
}

/// Why a stream was interrupted before the end of the response.
enum Interruption {
    /// The connection was lost.
    Lost(String),
    /// No chunk arrived within the stall timeout.
    Stalled,
    /// A chunk is missing, or the count in the end marker is wrong.
    Gap(String),
    /// The response exceeds the limits of the buffer.
    TooLarge,
}

/// A probe got no reply in time.
struct Elapsed;

/// Identifies the request in events.
#[derive(Debug, Clone)]
pub(crate) struct TraceContext {
    pub(crate) request: RequestId,
    pub(crate) team: TeamName,
}

/// Receives the stream of one attempt into a run.
pub(crate) struct StreamReceiver<'a> {
    node: &'a Node,
    run: &'a Run,
    endpoint: &'a Arc<Endpoint>,
    attempt: &'a AttemptId,
    trace: TraceContext,
    deadline: Instant,
    received_at: Option<Instant>,
    stall_detector: StallDetector,
    idle_resumes: u32,
    wrong_counts: u32,
    has_responded: bool,
    /// Set as soon as the endpoint has responded, for the code that cancels the attempt.
    response_flag: Option<&'a AtomicBool>,
}

impl<'a> StreamReceiver<'a> {
    pub(crate) fn new(
        node: &'a Node,
        run: &'a Run,
        endpoint: &'a Arc<Endpoint>,
        attempt: &'a AttemptId,
        trace: TraceContext,
        deadline: Instant,
    ) -> Self {
        let stall_detector = StallDetector::new(node.now(), Tokens(0));
        Self {
            node,
            run,
            endpoint,
            attempt,
            trace,
            deadline,
            received_at: None,
            stall_detector,
            idle_resumes: 0,
            wrong_counts: 0,
            has_responded: false,
            response_flag: None,
        }
    }

    /// Records the time to the first token, counted from `at`.
    pub(crate) const fn received_at(mut self, at: Instant) -> Self {
        self.received_at = Some(at);
        self
    }

    /// Sets `flag` as soon as the endpoint has responded.
    pub(crate) const fn with_response_flag(mut self, flag: &'a AtomicBool) -> Self {
        self.response_flag = Some(flag);
        self
    }

    fn mark_responded(&mut self) {
        self.has_responded = true;
        self.response_flag.into_iter().for_each(|flag| flag.store(true, Ordering::Release));
    }

    /// Sends the prompt and receives the response.
    pub(crate) async fn generate(mut self, call: GenerateCall) -> Result<RunEnd, AttemptFailure> {
        self.stall_detector = StallDetector::new(
            self.node.now(),
            bilberryford_cache::estimate_prompt_tokens(&call.prompt),
        );
        self.event(EventKind::Dispatched, "");
        let stall_timeout = Duration::from_millis(self.stall_detector.timeout().get());
        let opened =
            timeout(stall_timeout, self.endpoint.engine.generate(call, self.transport_timeout()))
                .await;
        let stream = match opened {
            Ok(Ok(stream)) => {
                self.mark_responded();
                stream
            }
            Ok(Err(error)) if error.ran() == Ran::No => {
                if matches!(error, EndpointError::Connect { .. }) {
                    self.suspect_endpoint();
                }
                return Err(AttemptFailure::not_begun(error));
            }
            Ok(Err(error)) => self.reconnect(Interruption::Lost(error.to_string())).await?,
            Err(_) => self.reconnect(Interruption::Stalled).await?,
        };
        self.receive(stream).await
    }

    /// Receives the rest of a run from a stream that was resumed.
    pub(crate) async fn resume(mut self, stream: ChunkStream) -> Result<RunEnd, AttemptFailure> {
        self.mark_responded();
        self.receive(stream).await
    }

    async fn receive(&mut self, mut stream: ChunkStream) -> Result<RunEnd, AttemptFailure> {
        loop {
            let count_before = self.run.token_count();
            let interruption = match self.read_stream(&mut stream).await {
                Ok(end) => return Ok(end),
                Err(interruption) => interruption,
            };
            if self.run.token_count() > count_before {
                self.idle_resumes = 0;
            }
            // Closes the old connection before a new one is opened.
            drop(stream);
            stream = self.reconnect(interruption).await?;
        }
    }

    /// Requests the rest of the run on a new connection, which also tests if the endpoint is still reachable.
    async fn reconnect(
        &mut self,
        interruption: Interruption,
    ) -> Result<ChunkStream, AttemptFailure> {
        let was_lost = matches!(interruption, Interruption::Lost(_));
        let reason = match interruption {
            Interruption::Lost(reason) | Interruption::Gap(reason) => reason,
            Interruption::Stalled => "silent".to_owned(),
            Interruption::TooLarge => {
                let error = EndpointError::InvalidResponse { reason: "too large".to_owned() };
                return Err(AttemptFailure { is_too_large: true, ..AttemptFailure::lost(error) });
            }
        };
        self.idle_resumes += 1;
        if self.idle_resumes > MAX_IDLE_RESUMES || self.wrong_counts > MAX_WRONG_COUNTS {
            return Err(AttemptFailure::lost(EndpointError::InvalidResponse { reason }));
        }
        let from = self.run.token_count();
        match self.probe(from).await {
            Ok(Ok(stream)) => {
                self.mark_responded();
                self.stall_detector.record_reconnect(self.node.now());
                self.event(EventKind::Resumed, &format!("from token {from}: {reason}"));
                Ok(stream)
            }
            Ok(Err(error)) => {
                // The endpoint lost a run that it had begun, or is unreachable. A stalled connection may never have
                // carried the request, so a stall alone is no evidence of a crash.
                let is_run_lost =
                    matches!(error, EndpointError::Connect { .. } | EndpointError::UnknownAttempt);
                let is_crash = is_run_lost && (was_lost || self.has_responded);
                if matches!(error, EndpointError::Connect { .. }) {
                    self.suspect_endpoint();
                }
                let error = EndpointError::ResponseLost { reason: format!("{reason}; {error}") };
                Err(AttemptFailure { is_crash, ..AttemptFailure::lost(error) })
            }
            Err(Elapsed) => {
                self.suspect_endpoint();
                let reason = format!("{reason}; no answer on a new connection");
                Err(AttemptFailure::lost(EndpointError::ResponseLost { reason }))
            }
        }
    }

    /// Requests the rest of the run, again if the new connection is lost as well: an endpoint that is crashing may still
    /// accept connections, and only a refused one, or a run that it does not know, shows that it crashed.
    async fn probe(&self, from: u32) -> Result<Result<ChunkStream, EndpointError>, Elapsed> {
        let mut probes = 0;
        loop {
            let probe = self.endpoint.engine.resume(self.attempt, from, self.transport_timeout());
            let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
            let reply = timeout(limit, probe).await.map_err(|_| Elapsed)?;
            probes += 1;
            let is_ambiguous = matches!(reply, Err(EndpointError::ResponseLost { .. }));
            if !is_ambiguous || probes == MAX_PROBES {
                return Ok(reply);
            }
            sleep(Duration::from_millis(PROBE_RETRY_MS)).await;
        }
    }

    fn suspect_endpoint(&self) {
        self.endpoint.mark_suspected(self.node.now().after(TimeMs(SUSPECT_MS)));
        self.event(EventKind::Failed, "");
    }

    async fn read_stream(&mut self, stream: &mut ChunkStream) -> Result<RunEnd, Interruption> {
        loop {
            let stall_timeout =
                Duration::from_millis(self.stall_detector.remaining(self.node.now()).get());
            let next =
                timeout(stall_timeout, stream.next()).await.map_err(|_| Interruption::Stalled)?;
            let chunk = next
                .ok_or_else(|| Interruption::Lost("no end marker".to_owned()))?
                .map_err(|error| Interruption::Lost(error.to_string()))?;
            if let Some(end) = self.handle_chunk(chunk)? {
                return Ok(end);
            }
        }
    }

    fn handle_chunk(&mut self, chunk: Chunk) -> Result<Option<RunEnd>, Interruption> {
        let next = self.run.token_count();
        match chunk {
            Chunk::Token { attempt, index, text } if attempt == *self.attempt && index == next => {
                self.append_token(&text)?;
                Ok(None)
            }
            Chunk::Token { attempt, index, .. } if attempt == *self.attempt && index > next => {
                self.record_dropped_chunk();
                Err(Interruption::Gap(format!("token {index} came where {next} was due")))
            }
            Chunk::End { attempt, tokens, cached_tokens, prompt_tokens }
                if attempt == *self.attempt =>
            {
                if tokens.get() != next {
                    self.wrong_counts += 1;
                    return Err(Interruption::Gap(format!("{tokens} announced, {next} came")));
                }
                self.node.metrics.prompt_tokens.add(prompt_tokens.get().into(), &[]);
                self.node.metrics.cached_tokens.add(cached_tokens.get().into(), &[]);
                let recomputed = prompt_tokens.get().saturating_sub(cached_tokens.get());
                self.node.metrics.recomputed_tokens.add(recomputed.into(), &[]);
                self.event(EventKind::Answered, "");
                Ok(Some(RunEnd { tokens, prompt_tokens }))
            }
            Chunk::Token { .. } | Chunk::End { .. } => {
                self.record_dropped_chunk();
                Ok(None)
            }
        }
    }

    fn append_token(&mut self, text: &str) -> Result<(), Interruption> {
        if self.run.token_count() == self.run.first() {
            self.event(EventKind::FirstToken, "");
        }
        // Recorded here and not in a separate task, because a fast response ends before such a task runs.
        if let Some(received_at) = self.received_at.filter(|_| self.run.token_count() == 0) {
            self.node.metrics.first_token_s.record(received_at.elapsed().as_secs_f64(), &[]);
        }
        self.run.push(text).map_err(|_| Interruption::TooLarge)?;
        self.stall_detector.record_token(self.node.now());
        Ok(())
    }

    fn record_dropped_chunk(&self) {
        self.node.metrics.chunks_dropped.add(1, &[]);
        self.event(EventKind::ChunkDropped, "");
    }

    /// The time limit of the connection. It ends after the deadline, so that a run past its deadline is never mistaken
    /// for a lost connection.
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
