//! Writes an order's intent to durable storage before anything is sent.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::{
    DispatchWindow, IntentStep, IntentWrite, KeyAge, OrderDecision, OrderRecord, OrderReply,
    OrderState, OutcomeStep, OutcomeWrite, PutOutcome, StoredOrder, key_age, parse_key,
};
use bilberryford_platform::{ObjectKey, ObjectKind};
use bilberryford_types::{
    Digest, ErrorKind, EventKind, ObjectVersion, OrderKey, Ran, TeamName, TimeMs,
};
use futures::{FutureExt, future::BoxFuture};
use poem::{Response, http::HeaderValue, http::StatusCode};
use tokio::time::timeout;

use super::{Context, Filter, Flow, Target, order_status};
use crate::{
    events::wall_ms,
    node::Node,
    orders::{self, OrderTag, PendingOutcome, ReadError},
    refusal::{RAN_HEADER, Refusal},
};

/// The request header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The response header that states how long the record of a key is retained, in seconds.
const RETENTION_HEADER: &str = "bilberryford-key-retention-s";
/// The response header that marks a replayed response and names its source.
const REPLAYED_HEADER: &str = "bilberryford-replayed";

pub(crate) struct Order;

impl Filter for Order {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        order(node, ctx).boxed()
    }
}

async fn order(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    if ctx.is_idempotent() {
        return Ok(Flow::Next);
    }
    let Some(key) = read_key(ctx)? else {
        return Ok(Flow::Next);
    };
    ctx.order = Some(key.clone());
    match key_age(&key, wall_ms(), node.settings.order_retention) {
        KeyAge::Unknown | KeyAge::Fresh => {}
        KeyAge::Expired => return Err(Refusal::of(ErrorKind::KeyExpired)),
        KeyAge::Future => return Err(ctx.refuse(ErrorKind::KeyMalformed)),
    }
    let team = ctx.team()?.name.clone();
    let object = object_key(&team, &key)?;
    let tag = OrderTag { request: ctx.request.clone(), team, key };
    IntentWriter::new(node, ctx, tag, object)?.run(node, ctx).await
}

fn read_key(ctx: &mut Context) -> Result<Option<OrderKey>, Refusal> {
    let mut values = ctx.headers.get_all(KEY_HEADER).iter();
    let (first, second) = (values.next(), values.next());
    let parsed = match (first, second) {
        (None, _) => None,
        (Some(value), None) => Some(value.to_str().ok().and_then(|value| parse_key(value).ok())),
        (Some(_), Some(_)) => Some(None),
    };
    match parsed {
        Some(Some(key)) => Ok(Some(key)),
        Some(None) => Err(ctx.refuse(ErrorKind::KeyMalformed)),
        None if ctx.route.as_ref().is_some_and(|route| route.single_shot) => Ok(None),
        None => Err(ctx.refuse(ErrorKind::KeyMissing)),
    }
}

/// Adds the header that states how long keys are retained.
pub(super) fn add_retention_header(node: &Node, response: &mut Response) {
    let retention_s = node.settings.order_retention.get() / 1_000;
    response.headers_mut().insert(RETENTION_HEADER, HeaderValue::from(retention_s));
}

fn request_digest(ctx: &Context) -> Result<Digest, Refusal> {
    let Target::Service { service, path } = &ctx.target else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    let parts =
        [service.as_str().as_bytes(), ctx.method.as_str().as_bytes(), path.as_bytes(), &ctx.body];
    Ok(hash_parts(&parts))
}

fn hash_parts(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}

/// Returns the storage key of an order's record. Its name is a hash, so that records spread evenly over the prefixes
/// that are swept.
fn object_key(team: &TeamName, key: &OrderKey) -> Result<ObjectKey, Refusal> {
    let digest = hash_parts(&[team.as_str().as_bytes(), key.as_str().as_bytes()]);
    let name = digest.to_string().parse().map_err(|_| Refusal::of(ErrorKind::Internal))?;
    Ok(ObjectKey::new(ObjectKind::Order, name))
}

/// Writes the intent of one order.
struct IntentWriter {
    tag: OrderTag,
    object: ObjectKey,
    record: OrderRecord,
    window: DispatchWindow,
}

impl IntentWriter {
    fn new(node: &Node, ctx: &Context, tag: OrderTag, object: ObjectKey) -> Result<Self, Refusal> {
        let bound = node.settings.order_dispatch;
        let record = OrderRecord {
            digest: request_digest(ctx)?,
            attempt: node.next_attempt(),
            instance: node.settings.instance.clone(),
            written_ms: wall_ms(),
            running_ms: ctx.time_left(),
            state: OrderState::Intent,
        };
        Ok(Self { tag, object, record, window: DispatchWindow::new(node.now(), bound) })
    }

    async fn run(self, node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
        let (mut write, mut step) = IntentWrite::new(self.record.attempt.clone());
        let mut found = None;
        loop {
            if ctx.time_left() == TimeMs(0) && !matches!(step, IntentStep::Durable(_)) {
                step = write.give_up();
            }
            step = match step {
                IntentStep::Put(expected) => {
                    write.on_put(self.put(node, ctx.time_left(), expected).await)
                }
                IntentStep::Get => match self.read(node, ctx.time_left()).await {
                    // A record exists that can't be decoded, so a conditional write of this intent can't succeed.
                    Err(ReadError::Record) => return Err(in_doubt_refusal()),
                    Err(ReadError::Platform) => write.on_get(Err(())),
                    Ok(read) => {
                        found = read;
                        write.on_get(Ok(found.as_ref()))
                    }
                },
                IntentStep::Durable(version) => return Ok(self.set_intent(node, ctx, version)),
                IntentStep::GiveUp { needs_fence, is_key_used } => {
                    return Err(self.give_up(
                        node,
                        ctx,
                        needs_fence.then_some(write.expected()),
                        is_key_used,
                    ));
                }
                IntentStep::Decide => match found.take() {
                    None => write.give_up(),
                    Some(found) => match self.decide(node, ctx, found).await? {
                        Resolution::Restart(version) => write.restart(version),
                        Resolution::Respond(response) => return Ok(Flow::Respond(response)),
                    },
                },
            };
        }
    }

    async fn put(&self, node: &Node, left: TimeMs, expected: ObjectVersion) -> PutOutcome {
        let put = orders::put(node, &self.object, expected, &self.record);
        timeout(Duration::from_millis(left.get()), put).await.unwrap_or(PutOutcome::Unknown)
    }

    async fn read(&self, node: &Node, left: TimeMs) -> Result<Option<StoredOrder>, ReadError> {
        let read = orders::read(node, &self.object);
        timeout(Duration::from_millis(left.get()), read).await.unwrap_or(Err(ReadError::Platform))
    }

    fn set_intent(self, node: &Node, ctx: &mut Context, version: ObjectVersion) -> Flow {
        node.events.write(EventKind::OrderIntent, |event| {
            self.tag.annotate(event, Some(version));
            event.attempt = Some(self.record.attempt.clone());
        });
        let Self { tag, object, record, window } = self;
        ctx.intent = Some(Intent { tag, object, version, record, window });
        Flow::Next
    }

    /// Refuses the request. States "not run" only if no attempt under this key is known that may have run.
    fn give_up(
        self,
        node: &Node,
        ctx: &mut Context,
        fence: Option<ObjectVersion>,
        is_key_used: bool,
    ) -> Refusal {
        let may_have_run = is_key_used || node.orders.was_dispatched(&self.object);
        if let Some(expected) = fence {
            let record = OrderRecord { state: OrderState::NotRun, ..self.record };
            let outcome = OutcomeWrite::new(record, expected);
            let Self { tag, object, .. } = self;
            node.orders.queue_outcome(PendingOutcome { tag, object, outcome, is_fence: true });
        }
        match ctx.time_left() {
            _ if may_have_run => in_doubt_refusal(),
            TimeMs(0) => ctx.refuse(ErrorKind::DeadlineBeforeRun),
            _ => ctx.refuse(ErrorKind::PlatformDown),
        }
    }

    async fn decide(
        &self,
        node: &Arc<Node>,
        ctx: &mut Context,
        found: StoredOrder,
    ) -> Result<Resolution, Refusal> {
        let retention = node.settings.order_retention;
        let decision = found.record.decide(&self.record.digest, wall_ms(), retention);
        let refusal = match decision {
            OrderDecision::WriteIntent => return Ok(Resolution::Restart(found.version)),
            OrderDecision::Replay { reply, from_status } => {
                node.orders.in_doubt.resolve(&self.tag.team, &self.tag.key);
                return Ok(Resolution::Respond(replay_response(reply, from_status)));
            }
            OrderDecision::Running => Refusal::after_send(ErrorKind::OrderRunning, Ran::Maybe),
            OrderDecision::InDoubt => in_doubt_refusal(),
            OrderDecision::ResponseNotStored => {
                Refusal::after_send(ErrorKind::AnswerNotKept, Ran::Yes)
            }
            OrderDecision::KeyReused => return Err(ctx.refuse(ErrorKind::KeyReused)),
            OrderDecision::KeyExpired => return Err(Refusal::of(ErrorKind::KeyExpired)),
        };
        if refusal.kind() == ErrorKind::OrderRunning {
            return Err(refusal);
        }
        match order_status::read(node, ctx, &self.tag.key).await {
            Some(result) => {
                node.orders.in_doubt.resolve(&self.tag.team, &self.tag.key);
                Ok(Resolution::Respond(self.record_result(node, found, result).await))
            }
            None => {
                if refusal.kind() == ErrorKind::OrderInDoubt {
                    node.record_in_doubt(&self.tag);
                }
                Err(refusal)
            }
        }
    }

    /// Stores the result that a status read returned, and returns the response. A record that was changed meanwhile is
    /// not overwritten.
    async fn record_result(
        &self,
        node: &Node,
        found: StoredOrder,
        result: order_status::OrderResult,
    ) -> Response {
        if !matches!(found.record.state, OrderState::Done { .. }) {
            let state = OrderState::Done { reply: result.stored, from_status: true };
            let record = OrderRecord { state, ..found.record };
            let outcome = OutcomeWrite::new(record, found.version);
            let (tag, object) = (self.tag.clone(), self.object.clone());
            let pending = PendingOutcome { tag, object, outcome, is_fence: false };
            let step = OutcomeStep::Put(found.version);
            // A failure needs no handling: the next retry of the caller reads the status again.
            drop(orders::write_outcome(node, pending, step).await);
        }
        result.response
    }
}

/// How to continue with a record that was found under the key.
enum Resolution {
    /// Write the intent over the record of this version.
    Restart(ObjectVersion),
    /// Respond without dispatching the order.
    Respond(Response),
}

const fn in_doubt_refusal() -> Refusal {
    Refusal::after_send(ErrorKind::OrderInDoubt, Ran::Maybe)
}

/// Builds the response from a reply that was stored, or read from the order's status.
pub(super) fn replay_response(reply: OrderReply, from_status: bool) -> Response {
    let source = if from_status { "status" } else { "record" };
    let mut response = Response::builder()
        .status(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK))
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header(REPLAYED_HEADER, source);
    if let Some(content_type) = reply.content_type {
        response = response.header("content-type", content_type);
    }
    response.body(reply.body.unwrap_or_default())
}

/// A written intent. Only its holder may dispatch the order.
#[derive(Debug)]
pub(crate) struct Intent {
    tag: OrderTag,
    object: ObjectKey,
    version: ObjectVersion,
    record: OrderRecord,
    window: DispatchWindow,
}

impl Intent {
    /// Returns true if the order may be dispatched now; must be called directly before the send.
    pub(crate) fn may_dispatch(&self, node: &Node) -> bool {
        self.window.is_open(node.now())
    }

    /// Records the dispatch, so that this process never reports the order as "not run" afterwards.
    pub(crate) fn record_dispatch(&self, node: &Node) {
        node.orders.record_dispatch(&self.object);
    }

    /// Records the outcome of the order, at once or as soon as the platform responds again.
    pub(crate) async fn record_outcome(self, node: &Node, state: OrderState) {
        let Self { tag, object, version, record, .. } = self;
        if state == OrderState::InDoubt {
            node.record_in_doubt(&tag);
        }
        let outcome = OutcomeWrite::new(OrderRecord { state, ..record }, version);
        let pending = PendingOutcome { tag, object, outcome, is_fence: false };
        let later = orders::write_outcome(node, pending, OutcomeStep::Put(version)).await;
        if let Some(pending) = later {
            node.orders.queue_outcome(pending);
        }
    }
}
