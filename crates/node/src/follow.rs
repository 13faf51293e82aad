//! Follows a run to its end: over lost connections, endpoints that go away, and callers that do.
//!
//! This is the only layer that retries. A retry needs the budgets of its team and its pool, is delayed with full jitter
//! and never begins past the deadline. See `docs/design/answers.md`.

mod place;
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

use bilberryford_cache::Owner;
use bilberryford_coord::{Attempt, Planned, RetryClass, backoff};
use bilberryford_document::ModelSection;
use bilberryford_endpoint::{EndpointError, GenerateCall};
use bilberryford_types::{
    AttemptId, Digest, ErrorKind, EventKind, ModelName, Priority, Ran, TimeMs, Tokens,
    WeightVersion,
};
use parking_lot::Mutex;
use tokio::time::sleep;

pub(crate) use place::{attempt_name, attempt_number, continued_places};
pub(crate) use stream::{Failure, Intake, TraceContext};

use crate::{
    fleet::Endpoint,
    node::{Node, Place},
    quarantine::ClaimGuard,
    refusal::Refusal,
    run::{Run, RunEnd, RunPlace},
    stores::{self, ImportPlan, WriteBackJob},
    weights::choose_pinned,
};

/// How often one run may be lost or fail to connect.
const MAX_LOSSES: usize = 3;
/// How many endpoints are asked for one run, those that lack its weight version included.
const MAX_ATTEMPTS: usize = 8;
/// How often a run whose tokens the caller has already asks for a retry again, in milliseconds.
const BUDGET_WAIT_MS: u64 = 200;

/// What is followed.
pub(crate) struct FollowCall {
    pub(crate) trace: TraceContext,
    pub(crate) section: ModelSection,
    /// Pinned when the run is placed; it changes only while no token has come.
    pub(crate) weight_version: WeightVersion,
    pub(crate) model: ModelName,
    pub(crate) prompt: Arc<str>,
    pub(crate) max_tokens: Tokens,
    pub(crate) priority: Priority,
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
    /// Identifies the request should it crash endpoints.
    pub(crate) fingerprint: Digest,
    /// What the chosen endpoint imports before the prompt is sent.
    pub(crate) import: Option<ImportPlan>,
    /// Held until the run is over.
    pub(crate) _place: Option<Place>,
}

/// What a run begins with.
pub(crate) struct Start {
    pub(crate) attempt: Attempt<Planned>,
    pub(crate) endpoint: Arc<Endpoint>,
    /// The claim on the request, when it is a suspect.
    pub(crate) claim: Option<ClaimGuard>,
}

/// Where a run is now, for the id that is given out at the first token.
pub(crate) type CurrentPlace = Arc<Mutex<Option<RunPlace>>>;

struct Follower {
    node: Arc<Node>,
    run: Arc<Run>,
    call: FollowCall,
    place: CurrentPlace,
    endpoint: Mutex<Option<Arc<Endpoint>>>,
    weight_version: Mutex<WeightVersion>,
    /// Whether the endpoint has answered the current attempt.
    has_answered: AtomicBool,
    /// Whether the current attempt runs under both claims.
    is_alone: AtomicBool,
}

/// Runs the prompt and fills `run`; the run is over when this ends, whatever happens.
pub(crate) async fn follow(
    node: Arc<Node>,
    run: Arc<Run>,
    start: Start,
    call: FollowCall,
    place: CurrentPlace,
) {
    let limit = call.deadline.saturating_duration_since(Instant::now());
    let pick_up_limit = Duration::from_millis(node.settings.pick_up_limit.get());
    let weight_version = Mutex::new(call.weight_version.clone());
    let endpoint_now = Mutex::default();
    let follower = Follower {
        node,
        run: run.clone(),
        call,
        place,
        endpoint: endpoint_now,
        weight_version,
        has_answered: AtomicBool::new(false),
        is_alone: AtomicBool::new(false),
    };
    // Not dropped before the current attempt is resolved, since it holds the claims.
    let mut attempts = pin!(follower.attempts(start));
    let outcome = tokio::select! {
        outcome = &mut attempts => outcome,
        () = sleep(limit) => Err(Refusal::sent(ErrorKind::DeadlineWhileRunning, Ran::Maybe)),
        () = run.abandoned(pick_up_limit) => Err(Refusal::sent(ErrorKind::RunCancelled, Ran::Maybe)),
    };
    match outcome {
        Ok(end) => run.finish(end),
        Err(refusal) => {
            run.fail(refusal);
            // What another instance follows is not cancelled for lack of readers here.
            if refusal.kind() != ErrorKind::RunCancelled || !run.is_handed_over() {
                follower.cancel_current(refusal.kind()).await;
            }
        }
    }
}

impl Follower {
    /// # Invariant
    ///
    /// `proof` is there as long as no attempt of the request may have run; only it makes a "not run" refusal.
    async fn attempts(&self, start: Start) -> Result<RunEnd, Refusal> {
        let Start { attempt: planned, mut endpoint, mut claim } = start;
        let base = planned.id().clone();
        let mut proof = Some(planned);
        let mut tried = Vec::new();
        let mut losses = 0;
        self.node.count_first_attempt(&self.call.trace.team, &self.call.section.pool);
        loop {
            let alone = match &claim {
                Some(_) => Some(self.claim_place(&base, &mut endpoint, &tried).await),
                None => None,
            };
            self.is_alone.store(alone.is_some(), Ordering::Release);
            let id = attempt_name(&base, tried.len());
            let sent = proof.take().map(|proof| proof.with_id(id.clone()).send());
            let failure = match self.attempt(&id, &endpoint).await {
                Ok(end) => {
                    claim.into_iter().for_each(ClaimGuard::clear);
                    self.write_back(endpoint);
                    return Ok(end);
                }
                Err(failure) => failure,
            };
            proof = sent.and_then(|sent| sent.revert_if_not_run(failure.ran()).ok());
            self.failed(&id, &endpoint, &failure);
            self.node.observe_endpoint_error(&endpoint, &failure.error);
            if failure.is_crash {
                self.after_crash(&base, alone.is_some(), &mut claim).await?;
            }
            tried.push(endpoint.clone());
            losses += usize::from(failure.error != EndpointError::VersionGone);
            if failure.is_full {
                return Err(Refusal::sent(ErrorKind::AnswerTooLarge, Ran::Maybe));
            }
            let can_retry = losses < MAX_LOSSES && tried.len() < MAX_ATTEMPTS;
            let next = if can_retry { self.next(&base, &failure, &tried).await } else { None };
            endpoint = next.ok_or_else(|| give_up(proof.take(), failure.error.kind()))?;
        }
    }

    async fn attempt(&self, id: &AttemptId, endpoint: &Arc<Endpoint>) -> Result<RunEnd, Failure> {
        *self.place.lock() = Some(RunPlace { endpoint: endpoint.id.clone(), attempt: id.clone() });
        self.has_answered.store(false, Ordering::Release);
        *self.endpoint.lock() = Some(endpoint.clone());
        let _guard = endpoint.track_run();
        if let Some(plan) = self.call.import.as_ref().filter(|_| self.run.len() == 0) {
            stores::import(&self.node, endpoint, plan, &self.call.trace).await;
        }
        let trace = self.call.trace.clone();
        let intake = Intake::new(&self.node, &self.run, endpoint, id, trace, self.call.deadline);
        intake
            .with_flag(&self.has_answered)
            .received(self.call.received)
            .generate(self.generate_call(id))
            .await
    }

    /// Has what the endpoint computed written back to the stores.
    fn write_back(&self, endpoint: Arc<Endpoint>) {
        let owner = Owner {
            team: self.call.trace.team.clone(),
            model: self.call.model.clone(),
            weight_version: self.weight_version.lock().clone(),
        };
        if !self.node.stores.table().stores.is_empty() {
            let chain = stores::prefix_chain(&owner, &self.call.prompt);
            self.node.stores.queue_write_back(WriteBackJob { owner, chain, endpoint });
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
            skip_tokens: Tokens(self.run.len()),
            skipped_text: self.run.text().into(),
            priority: self.call.priority,
        }
    }

    /// The next endpoint, after the budget and the delay; none when the request is given up.
    async fn next(
        &self,
        base: &AttemptId,
        failure: &Failure,
        tried: &[Arc<Endpoint>],
    ) -> Option<Arc<Endpoint>> {
        if tried.len() == 1 && self.run.len() == 0 && failure.error == EndpointError::VersionGone {
            // Placed on a late view of versions: nothing failed there, so the first new placement is no retry.
            return self.pin_again(tried);
        }
        let is_begun = failure.is_begun || self.run.len() > 0;
        let class = if is_begun { RetryClass::Started } else { RetryClass::NotStarted };
        while !self.node.take_retry(&self.call.trace.team, &self.call.section.pool, class) {
            if self.run.len() == 0 {
                return None;
            }
            // The caller has a part of the answer: the rest may come late, but it is not given up.
            sleep(Duration::from_millis(BUDGET_WAIT_MS)).await;
        }
        let retry = u32::try_from(tried.len() - 1).unwrap_or(u32::MAX);
        let delay = backoff(retry, self.time_left(), &mut rand::rng())?;
        sleep(Duration::from_millis(delay.get())).await;
        if self.run.len() > 0 {
            let table = self.node.fleet.endpoints();
            let places = continued_places(table.pool(&self.call.section.pool), base);
            let is_new = |place: &&Arc<Endpoint>| tried.iter().all(|other| other.id != place.id);
            let next = places.iter().find(is_new).or(places.first()).cloned();
            self.node.events.write(EventKind::Continued, |event| {
                event.request = Some(self.call.trace.request.clone());
                event.endpoint = next.as_ref().map(|next| next.id.clone());
                event.detail = format!("from token {}", self.run.len());
            });
            return next;
        }
        self.pin_again(tried)
    }

    /// Places the run anew. No token has come, so it may take another version than the one it was placed with.
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

    fn failed(&self, id: &AttemptId, endpoint: &Arc<Endpoint>, failure: &Failure) {
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
        if failure.is_begun && !failure.is_crash {
            cancel(endpoint.clone(), id.clone());
        }
    }

    async fn cancel_current(&self, kind: ErrorKind) {
        let Some(endpoint) = self.endpoint.lock().take() else { return };
        let Some(place) = self.place.lock().clone() else { return };
        self.node.events.write(EventKind::Cancelled, |event| {
            event.request = Some(self.call.trace.request.clone());
            event.attempt = Some(place.attempt.clone());
            event.endpoint = Some(place.endpoint.clone());
            event.error = Some(kind);
        });
        self.resolve(&endpoint, &place.attempt).await;
    }
}

fn give_up(proof: Option<Attempt<Planned>>, kind: ErrorKind) -> Refusal {
    match proof {
        Some(proof) => proof.refuse(kind).into(),
        None => Refusal::sent(kind, Ran::Maybe),
    }
}

/// Tells the endpoint, on a new connection and with a short deadline, that nobody needs the attempt any more.
fn cancel(endpoint: Arc<Endpoint>, attempt: AttemptId) {
    tokio::spawn(async move {
        if let Err(error) = endpoint.engine.cancel(&attempt).await {
            log::debug!("attempt {attempt} was not cancelled: {error}");
        }
    });
}
