//! Follows a run to its end: dispatch, first token, lost connections, endpoints that go away.
//!
//! # Invariant
//!
//! Tokens enter a [`Run`] in order and once: a chunk must carry the current attempt and the next index, or it is
//! dropped. The run is whole only when the end marker's count equals the tokens that were taken.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_coord::{Attempt, Planned};
use bilberryford_endpoint::{Chunk, ChunkStream, EndpointError, GenerateCall};
use bilberryford_types::{
    AttemptId, ErrorKind, EventKind, ModelName, PoolName, Priority, Ran, RequestId, TeamName,
    TimeMs, Tokens, WeightVersion,
};
use futures::StreamExt;
use tokio::time::timeout;

use crate::{
    filters::choose,
    fleet::Endpoint,
    node::{Node, Place},
    refusal::Refusal,
    run::{Run, RunEnd},
};

/// How long a stream may be silent before it is resumed on a new connection, in milliseconds.
const SILENCE_MS: u64 = 2_000;
/// How many endpoints one run may be sent to.
const MAX_ATTEMPTS: usize = 3;

/// What is followed.
pub(crate) struct FollowCall {
    pub(crate) request: RequestId,
    pub(crate) team: TeamName,
    pub(crate) pool: PoolName,
    pub(crate) weight_version: WeightVersion,
    pub(crate) model: ModelName,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: Tokens,
    pub(crate) priority: Priority,
    pub(crate) timeout: TimeMs,
    pub(crate) received: Instant,
    /// Held until the run is over.
    pub(crate) _place: Option<Place>,
}

/// How a stream stopped short of its end.
enum Stop {
    Error(EndpointError),
    Silent,
}

struct Follower {
    node: Arc<Node>,
    run: Arc<Run>,
    call: FollowCall,
}

/// Runs the prompt and fills `run`; the run is over when this ends, whatever happens.
pub(crate) async fn follow(
    node: Arc<Node>,
    run: Arc<Run>,
    attempt: Attempt<Planned>,
    endpoint: Arc<Endpoint>,
    call: FollowCall,
) {
    let limit = Duration::from_millis(call.timeout.get());
    let follower = Follower { node, run: run.clone(), call };
    let outcome = timeout(limit, follower.attempts(attempt, endpoint)).await;
    match outcome {
        Ok(Ok(end)) => run.finish(end),
        Ok(Err(refusal)) => run.fail(refusal),
        Err(_) => run.fail(Refusal::of(ErrorKind::DeadlineWhileRunning)),
    }
}

impl Follower {
    async fn attempts(
        &self,
        mut attempt: Attempt<Planned>,
        mut endpoint: Arc<Endpoint>,
    ) -> Result<RunEnd, Refusal> {
        let mut tried = Vec::new();
        loop {
            let id = attempt.id().clone();
            let sent = attempt.send();
            let guard = endpoint.enter();
            let result = self.attempt(&id, &endpoint).await;
            drop(guard);
            let error = match result {
                Ok(end) => return Ok(end),
                Err(error) => error,
            };
            self.node.note_error(&endpoint, &error);
            self.event(EventKind::AttemptFailed, &id, &endpoint, &error.to_string());
            tried.push(endpoint);
            let next = (tried.len() < MAX_ATTEMPTS)
                .then(|| choose(&self.node, &self.call.pool, &tried))
                .flatten();
            match (sent.unsent(error.ran()), next) {
                (Ok(unsent), None) if self.run.len() == 0 && tried.len() == 1 => {
                    return Err(unsent.refuse(error.kind()).into());
                }
                (_, None) => return Err(Refusal::sent(error.kind(), Ran::Maybe)),
                (_, Some(next)) => {
                    self.node.metrics.retries.add(1, &[]);
                    attempt = Attempt::new(self.node.next_attempt());
                    endpoint = next;
                }
            }
        }
    }

    /// One attempt at one endpoint, resumed on new connections as long as the endpoint still has it.
    async fn attempt(
        &self,
        id: &AttemptId,
        endpoint: &Arc<Endpoint>,
    ) -> Result<RunEnd, EndpointError> {
        self.event(EventKind::Dispatched, id, endpoint, "");
        let left = self.time_left();
        let mut stream = endpoint.engine.generate(self.generate_call(id), left).await?;
        loop {
            let before = self.run.len();
            let stop = match self.pump(id, endpoint, &mut stream).await {
                Ok(end) => return Ok(end),
                Err(stop) => stop,
            };
            if let Stop::Error(error @ EndpointError::Broken { .. }) = stop {
                return Err(error);
            }
            stream = endpoint.engine.resume(id, self.run.len(), self.time_left()).await?;
            self.event(EventKind::Resumed, id, endpoint, &format!("from token {before}"));
        }
    }

    fn generate_call(&self, id: &AttemptId) -> GenerateCall {
        GenerateCall {
            attempt: id.clone(),
            team: self.call.team.clone(),
            model: self.call.model.clone(),
            weight_version: self.call.weight_version.clone(),
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            skip_tokens: Tokens(self.run.len()),
            given: self.run.text().into(),
            priority: self.call.priority,
        }
    }

    fn time_left(&self) -> TimeMs {
        let spent = u64::try_from(self.call.received.elapsed().as_millis()).unwrap_or(u64::MAX);
        TimeMs(self.call.timeout.get().saturating_sub(spent).max(1))
    }

    async fn pump(
        &self,
        id: &AttemptId,
        endpoint: &Endpoint,
        stream: &mut ChunkStream,
    ) -> Result<RunEnd, Stop> {
        loop {
            let next = timeout(Duration::from_millis(SILENCE_MS), stream.next())
                .await
                .map_err(|_| Stop::Silent)?;
            let chunk = match next {
                Some(chunk) => chunk.map_err(Stop::Error)?,
                None => {
                    return Err(Stop::Error(EndpointError::Lost {
                        reason: "no end marker".to_owned(),
                    }));
                }
            };
            match chunk {
                Chunk::Token { attempt, index, text }
                    if attempt == *id && index == self.run.len() =>
                {
                    self.take(id, endpoint, &text);
                }
                Chunk::End { attempt, tokens, cached_tokens, prompt_tokens } if attempt == *id => {
                    if tokens.get() != self.run.len() {
                        let reason = format!("{tokens} announced, {} came", self.run.len());
                        return Err(Stop::Error(EndpointError::Broken { reason }));
                    }
                    self.ended(id, endpoint, cached_tokens, prompt_tokens);
                    return Ok(RunEnd { tokens, prompt_tokens });
                }
                Chunk::Token { .. } | Chunk::End { .. } => {
                    self.node.metrics.chunks_dropped.add(1, &[]);
                    self.event(EventKind::ChunkDropped, id, endpoint, "");
                }
            }
        }
    }

    fn take(&self, id: &AttemptId, endpoint: &Endpoint, text: &str) {
        if self.run.len() == 0 {
            self.node.metrics.first_token_s.record(self.call.received.elapsed().as_secs_f64(), &[]);
            self.event(EventKind::FirstToken, id, endpoint, "");
        }
        self.run.push(text);
    }

    fn ended(
        &self,
        id: &AttemptId,
        endpoint: &Endpoint,
        cached_tokens: Tokens,
        prompt_tokens: Tokens,
    ) {
        self.node.metrics.prompt_tokens.add(prompt_tokens.get().into(), &[]);
        self.node.metrics.cached_tokens.add(cached_tokens.get().into(), &[]);
        self.event(EventKind::Answered, id, endpoint, "");
    }

    fn event(&self, kind: EventKind, id: &AttemptId, endpoint: &Endpoint, detail: &str) {
        self.node.events.write(kind, |event| {
            event.request = Some(self.call.request.clone());
            event.attempt = Some(id.clone());
            event.team = Some(self.call.team.clone());
            event.endpoint = Some(endpoint.id.clone());
            event.detail = detail.to_owned();
        });
    }
}
