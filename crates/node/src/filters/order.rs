//! Makes an order's intent durable before anything is sent.

use std::sync::Arc;

use bilberryford_coord::{OrderDecision, OrderRecord, OrderReply, OrderRequest, OrderState};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{
    Digest, ErrorKind, EventKind, ObjectVersion, OrderKey, Ran, TeamName, TimeMs,
};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use poem::{Response, http::StatusCode};

use super::{Context, Filter, Flow, Target};
use crate::{
    events::wall_ms,
    node::Node,
    refusal::{RAN_HEADER, Refusal},
};

/// How long an intent counts as running, in milliseconds.
const RUNNING_FOR: TimeMs = TimeMs(30_000);
/// The header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";

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
    if is_idempotent(ctx) {
        return Ok(Flow::Next);
    }
    let key = match ctx.header(KEY_HEADER).map(|value| value.trim_matches('"').parse::<OrderKey>())
    {
        Some(Ok(key)) => key,
        Some(Err(_)) | None if ctx.route.as_ref().is_some_and(|route| route.single_shot) => {
            return Ok(Flow::Next);
        }
        Some(Err(_)) | None => return Err(ctx.refuse(ErrorKind::KeyMissing)),
    };
    ctx.order = Some(key.clone());
    let request = request(ctx, key)?;
    let object = object_key(&request.team, &request.key)?;
    let found = match node.objects.get(&object).await {
        Ok(found) => found,
        Err(_) => return Err(ctx.refuse(ErrorKind::PlatformDown)),
    };
    let record =
        found.as_ref().and_then(|object| serde_json::from_slice::<OrderRecord>(&object.body).ok());
    match OrderRecord::decide(record.as_ref(), &request, wall_ms(), RUNNING_FOR) {
        OrderDecision::WriteIntent => {
            write_intent(node, ctx, &request, &object, found.map(|found| found.version)).await
        }
        OrderDecision::Replay(reply) => Ok(Flow::Answer(replay(reply))),
        OrderDecision::Running => Err(Refusal::sent(ErrorKind::OrderRunning, Ran::Maybe)),
        OrderDecision::InDoubt => Err(Refusal::sent(ErrorKind::OrderInDoubt, Ran::Maybe)),
        OrderDecision::KeyReused => Err(ctx.refuse(ErrorKind::KeyReused)),
    }
}

fn is_idempotent(ctx: &Context) -> bool {
    match &ctx.route {
        Some(route) => route.idempotent,
        None => ctx.method.is_safe(),
    }
}

fn request(ctx: &Context, key: OrderKey) -> Result<OrderRequest, Refusal> {
    let Target::Service { service, path } = &ctx.target else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    let mut hasher = blake3::Hasher::new();
    for part in [ctx.method.as_str().as_bytes(), path.as_bytes(), &ctx.body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = Digest(*hasher.finalize().as_bytes());
    Ok(OrderRequest { team: ctx.team()?.name.clone(), service: service.clone(), key, digest })
}

fn object_key(team: &TeamName, key: &OrderKey) -> Result<ObjectKey, Refusal> {
    let digest = blake3::hash(key.as_str().as_bytes()).to_hex();
    let name = format!("{team}.{digest}").parse().map_err(|_| Refusal::of(ErrorKind::Internal))?;
    Ok(ObjectKey::new(ObjectKind::Order, name))
}

async fn write_intent(
    node: &Node,
    ctx: &mut Context,
    request: &OrderRequest,
    object: &ObjectKey,
    version: Option<ObjectVersion>,
) -> Result<Flow, Refusal> {
    let record = OrderRecord {
        digest: request.digest,
        attempt: node.next_attempt(),
        instance: node.settings.instance.clone(),
        written_ms: wall_ms(),
        state: OrderState::Intent,
    };
    let precondition = version.map_or(Precondition::Absent, Precondition::Version);
    match node.objects.put(object, precondition, encode(&record)).await {
        Ok(version) => {
            node.events.write(EventKind::OrderIntent, |event| {
                event.request = Some(ctx.request.clone());
                event.order = Some(request.key.clone());
                event.object_version = Some(version);
            });
            ctx.intent = Some(Intent { object: object.clone(), version, record });
            Ok(Flow::Next)
        }
        Err(PlatformError::Conflict { .. }) => {
            Err(Refusal::sent(ErrorKind::OrderRunning, Ran::Maybe))
        }
        Err(_) => Err(ctx.refuse(ErrorKind::PlatformDown)),
    }
}

fn encode(record: &OrderRecord) -> Bytes {
    serde_json::to_vec(record).unwrap_or_default().into()
}

fn replay(reply: OrderReply) -> Response {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK))
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-replayed", "true");
    if let Some(content_type) = reply.content_type {
        response = response.header("content-type", content_type);
    }
    response.body(reply.body.unwrap_or_default())
}

/// An intent that this process wrote; only its holder may dispatch the order.
#[derive(Debug)]
pub(crate) struct Intent {
    object: ObjectKey,
    version: ObjectVersion,
    record: OrderRecord,
}

impl Intent {
    /// Records how the order ended; a failure leaves the intent, which turns into a doubt in time.
    pub(crate) async fn settle(mut self, node: &Node, state: OrderState) {
        self.record.state = state;
        let precondition = Precondition::Version(self.version);
        match node.objects.put(&self.object, precondition, encode(&self.record)).await {
            Ok(version) => node
                .events
                .write(EventKind::OrderSettled, |event| event.object_version = Some(version)),
            Err(error) => {
                node.events.write(EventKind::OrderInDoubt, |event| event.detail = error.to_string())
            }
        }
    }
}
