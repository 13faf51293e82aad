//! Relays a run from endpoints into its buffer until it ends, across lost connections, failed endpoints and callers
//! that disconnect.
//!
//! This is the only layer that retries. A retry takes from the budgets of its team and its pool, is delayed with full
//! jitter, and never starts after the deadline. See `docs/design/answers.md`.

mod failover;
mod stream;
mod suspect;

use std::{
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bilberryford_cache::BlockOwner;
use bilberryford_coord::{Attempt, Planned, QuarantineState, RetryClass, backoff};
use bilberryford_document::ModelSection;
use bilberryford_endpoint::{EndpointError, GenerateCall};
use bilberryford_types::{
    AttemptId, Digest, ErrorKind, EventKind, ModelName, Priority, Ran, TimeMs, Tokens,
    WeightVersion,
};
use parking_lot::Mutex;
use tokio::time::sleep;

pub(crate) use failover::{attempt_id, failover_endpoints, split_attempt_id};
pub(crate) use stream::{AttemptFailure, StreamReceiver, TraceContext};

use crate::{
    fleet::Endpoint,
    node::{Node, RequestSlot},
    quarantine::ClaimGuard,
    refusal::Refusal,
    run::{Run, RunEnd, RunLocation},
    stores::{self, ImportPlan, WriteBackJob},
    weights::choose_pinned,
};

/// The most attempts of one run that may fail, not counting those at endpoints that lack its weight version.
const MAX_FAILED_ATTEMPTS: usize = 3;
/// The most attempts of one run, counting all.
const MAX_ATTEMPTS: usize = 8;
/// How long a run that has sent tokens to the caller waits before it requests a retry again, in milliseconds.
const BUDGET_RETRY_MS: u64 = 200;

/// The request that is relayed.
pub(crate) struct RelayCall {
    pub(crate) trace: TraceContext,
    pub(crate) section: ModelSection,
    /// Pinned when the run is placed; it changes only as long as no token was received.
    pub(crate) weight_version: WeightVersion,
    pub(crate) model: ModelName,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: Tokens,
    pub(crate) priority: Priority,
    pub(crate) received_at: Instant,
    pub(crate) deadline: Instant,
    /// Identifies the request in crash reports.
    pub(crate) fingerprint: Digest,
    /// The blocks that the chosen endpoint imports before the prompt is sent.
    pub(crate) import: Option<ImportPlan>,
    /// Held until the run has ended.
    pub(crate) _slot: Option<RequestSlot>,
}

/// The first attempt of a run.
pub(crate) struct FirstAttempt {
    pub(crate) attempt: Attempt<Planned>,
    pub(crate) endpoint: Arc<Endpoint>,
    /// The claim on the request, if it is a suspect.
    pub(crate) claim: Option<ClaimGuard>,
}

/// The current location of a run, for the run id that is issued at the first token.
pub(crate) type CurrentLocation = Arc<Mutex<Option<RunLocation>>>;

struct Relay {
    node: Arc<Node>,
    run: Arc<Run>,
    call: RelayCall,
    location: CurrentLocation,
    endpoint: Mutex<Option<Arc<Endpoint>>>,
    weight_version: Mutex<WeightVersion>,
    /// Set if the endpoint has responded to the current attempt.
    has_responded: AtomicBool,
    /// Set if the current attempt runs under both claims, on the request and on the endpoint.
    is_exclusive: AtomicBool,
}

/// Runs the prompt and fills `run`, which has ended in every case when this returns.
pub(crate) async fn relay(
    node: Arc<Node>,
    run: Arc<Run>,
    first: FirstAttempt,
    call: RelayCall,
    location: CurrentLocation,
) {
    let limit = call.deadline.saturating_duration_since(Instant::now());
    let pick_up_limit = Duration::from_millis(node.settings.pick_up_limit.get());
    let weight_version = Mutex::new(call.weight_version.clone());
    let current_endpoint = Mutex::default();
    let relay = Relay {
        node,
        run: run.clone(),
        call,
        location,
        endpoint: current_endpoint,
        weight_version,
        has_responded: AtomicBool::new(false),
        is_exclusive: AtomicBool::new(false),
    };
    // Not dropped before `cancel_current` returns, since the future holds the claims.
    let mut attempts = pin!(relay.run_attempts(first));
    let outcome = tokio::select! {
        outcome = &mut attempts => outcome,
        () = sleep(limit) => Err(Refusal::after_send(ErrorKind::DeadlineWhileRunning, Ran::Maybe)),
        () = run.wait_until_abandoned(pick_up_limit) => Err(Refusal::after_send(ErrorKind::RunCancelled, Ran::Maybe)),
    };
    match outcome {
        Ok(end) => run.complete(end),
        Err(refusal) => {
            run.fail(refusal);
            // A run that another instance relays is not cancelled for lack of readers here.
            if refusal.kind() != ErrorKind::RunCancelled || !run.is_handed_over() {
                relay.cancel_current(refusal.kind()).await;
            }
        }
    }
}

impl Relay {
    /// Makes attempts until one completes the run or no retry is left.
    ///
    /// # Invariant
    ///
    /// `unsent` is present as long as no attempt of the request may have run; a "not run" refusal is made only from it.
    async fn run_attempts(&self, first: FirstAttempt) -> Result<RunEnd, Refusal> {
        let FirstAttempt { attempt: planned, mut endpoint, mut claim } = first;
        let base = planned.id().clone();
        let mut unsent = Some(planned);
        let mut tried = Vec::new();
        let mut failed_attempts = 0;
        self.node.count_first_attempt(&self.call.trace.team, &self.call.section.pool);
        loop {
            let endpoint_claim = match &claim {
                Some(_) => Some(self.claim_any_endpoint(&base, &mut endpoint, &tried).await),
                None => None,
            };
            self.is_exclusive.store(endpoint_claim.is_some(), Ordering::Release);
            if self.node.quarantine_state(&self.call.fingerprint) == QuarantineState::Quarantined {
                // Decided elsewhere since the request was admitted or its last attempt failed.
                return Err(final_refusal(unsent.take(), ErrorKind::Quarantined));
            }
            let id = attempt_id(&base, tried.len());
            let sent = unsent.take().map(|attempt| attempt.with_id(id.clone()).send());
            let failure = match self.attempt(&id, &endpoint).await {
                Ok(end) => {
                    claim.into_iter().for_each(ClaimGuard::clear);
                    self.write_back(endpoint);
                    return Ok(end);
                }
                Err(failure) => failure,
            };
            unsent = sent.and_then(|sent| sent.revert_if_not_run(failure.ran()).ok());
            self.record_failure(&id, &endpoint, &failure);
            self.node.observe_endpoint_error(&endpoint, &failure.error);
            if failure.is_crash {
                self.handle_crash(&base, endpoint_claim.is_some(), &mut claim).await?;
            }
            tried.push(endpoint.clone());
            failed_attempts += usize::from(failure.error != EndpointError::VersionGone);
            if failure.is_too_large {
                return Err(Refusal::after_send(ErrorKind::AnswerTooLarge, Ran::Maybe));
            }
            let can_retry = failed_attempts < MAX_FAILED_ATTEMPTS && tried.len() < MAX_ATTEMPTS;
            let next =
                if can_retry { self.next_endpoint(&base, &failure, &tried).await } else { None };
            endpoint = next.ok_or_else(|| final_refusal(unsent.take(), failure.error.kind()))?;
        }
    }

    async fn attempt(
        &self,
        id: &AttemptId,
        endpoint: &Arc<Endpoint>,
    ) -> Result<RunEnd, AttemptFailure> {
        *self.location.lock() =
            Some(RunLocation { endpoint: endpoint.id.clone(), attempt: id.clone() });
        self.has_responded.store(false, Ordering::Release);
        *self.endpoint.lock() = Some(endpoint.clone());
        let _guard = endpoint.track_run();
        if let Some(plan) = self.call.import.as_ref().filter(|_| self.run.token_count() == 0) {
            stores::import(&self.node, endpoint, plan, &self.call.trace).await;
        }
        let trace = self.call.trace.clone();
        let receiver =
            StreamReceiver::new(&self.node, &self.run, endpoint, id, trace, self.call.deadline);
        receiver
            .with_response_flag(&self.has_responded)
            .received_at(self.call.received_at)
            .generate(self.generate_call(id))
            .await
    }

    /// Queues a job that writes the blocks that the endpoint computed back to the stores.
    fn write_back(&self, endpoint: Arc<Endpoint>) {
        let owner = BlockOwner {
            team: self.call.trace.team.clone(),
            model: self.call.model.clone(),
            weight_version: self.weight_version.lock().clone(),
        };
        if !self.node.stores.table().stores.is_empty() {
            let chain = stores::prefix_chain(&owner, &self.call.prompt);
            let queued_at = self.node.now();
            let job = WriteBackJob { owner, chain, endpoint, queued_at };
            let dropped = self.node.stores.queue_write_back(job);
            if dropped > 0 {
                self.node.metrics.write_backs_dropped.add(dropped as u64, &[]);
                log::warn!("{dropped} write-backs dropped: the queue is full");
            }
        }
    }

    fn generate_call(&self, id: &AttemptId) -> GenerateCall {
        GenerateCall {
            attempt: id.clone(),
            team: self.call.trace.team.clone(),
            model: self.call.model.clone(),
            weight_version: self.weight_version.lock().clone(),
            prompt: self.call.prompt.clone(),
            max_tokens: self.call.max_tokens,
            skip_tokens: Tokens(self.run.token_count()),
            skipped_text: self.run.text().into(),
            priority: self.call.priority,
        }
    }

    /// Takes a retry from the budgets, waits for the delay, and returns the next endpoint; none if no retry is left.
    async fn next_endpoint(
        &self,
        base: &AttemptId,
        failure: &AttemptFailure,
        tried: &[Arc<Endpoint>],
    ) -> Option<Arc<Endpoint>> {
        if tried.len() == 1
            && self.run.token_count() == 0
            && failure.error == EndpointError::VersionGone
        {
            // The view of weight versions was stale. Nothing failed, so the first new placement is not a retry.
            return self.pin_again(tried);
        }
        let may_have_begun = failure.may_have_begun || self.run.token_count() > 0;
        let class = if may_have_begun { RetryClass::Started } else { RetryClass::NotStarted };
        while !self.node.take_retry(&self.call.trace.team, &self.call.section.pool, class) {
            if self.run.token_count() == 0 {
                return None;
            }
            // The caller has a part of the response: the rest may be late, but the run is not given up.
            sleep(Duration::from_millis(BUDGET_RETRY_MS)).await;
        }
        let retry = u32::try_from(tried.len() - 1).unwrap_or(u32::MAX);
        let delay = backoff(retry, self.time_left(), &mut rand::rng())?;
        sleep(Duration::from_millis(delay.get())).await;
        if self.run.token_count() > 0 {
            let table = self.node.fleet.endpoints();
            let candidates = failover_endpoints(table.pool(&self.call.section.pool), base);
            let is_new =
                |candidate: &&Arc<Endpoint>| tried.iter().all(|other| other.id != candidate.id);
            let next = candidates.iter().find(is_new).or(candidates.first()).cloned();
            self.node.events.write(EventKind::Continued, |event| {
                event.request = Some(self.call.trace.request.clone());
                event.endpoint = next.as_ref().map(|next| next.id.clone());
                event.detail = format!("from token {}", self.run.token_count());
            });
            return next;
        }
        self.pin_again(tried)
    }

    /// Places the run again. No token was received, so it may use another weight version than before.
    fn pin_again(&self, tried: &[Arc<Endpoint>]) -> Option<Arc<Endpoint>> {
        let section = &self.call.section;
        let pinned = choose_pinned(&self.node, section, tried)
            .or_else(|| choose_pinned(&self.node, section, &[]))?;
        *self.weight_version.lock() = pinned.weight_version;
        Some(pinned.endpoint)
    }

    fn time_left(&self) -> TimeMs {
        let left = self.call.deadline.saturating_duration_since(Instant::now()).as_millis();
        TimeMs(u64::try_from(left).unwrap_or(u64::MAX))
    }

    fn record_failure(&self, id: &AttemptId, endpoint: &Arc<Endpoint>, failure: &AttemptFailure) {
        self.node.events.write(EventKind::AttemptFailed, |event| {
            event.request = Some(self.call.trace.request.clone());
            event.attempt = Some(id.clone());
            event.team = Some(self.call.trace.team.clone());
            event.endpoint = Some(endpoint.id.clone());
            event.error = Some(failure.error.kind());
            event.detail = failure.error.to_string();
        });
        *self.endpoint.lock() = None;
        if failure.error == EndpointError::VersionGone {
            endpoint.weights.remove_served(&self.weight_version.lock());
            self.node.weights.version_refused.notify_one();
        }
        if failure.may_have_begun && !failure.is_crash {
            spawn_cancel(endpoint.clone(), id.clone());
        }
    }

    async fn cancel_current(&self, kind: ErrorKind) {
        let Some(endpoint) = self.endpoint.lock().take() else { return };
        let Some(location) = self.location.lock().clone() else { return };
        self.node.events.write(EventKind::Cancelled, |event| {
            event.request = Some(self.call.trace.request.clone());
            event.attempt = Some(location.attempt.clone());
            event.endpoint = Some(location.endpoint.clone());
            event.error = Some(kind);
        });
        self.cancel_and_watch(&endpoint, &location.attempt).await;
    }
}

fn final_refusal(unsent: Option<Attempt<Planned>>, kind: ErrorKind) -> Refusal {
    match unsent {
        Some(attempt) => attempt.refuse(kind).into(),
        None => Refusal::after_send(kind, Ran::Maybe),
    }
}

/// Cancels the attempt at the endpoint, on a new connection and with a short deadline, in a task of its own.
fn spawn_cancel(endpoint: Arc<Endpoint>, attempt: AttemptId) {
    tokio::spawn(async move {
        if let Err(error) = endpoint.engine.cancel(&attempt).await {
            log::debug!("attempt {attempt} could not be cancelled: {error}");
        }
    });
}
