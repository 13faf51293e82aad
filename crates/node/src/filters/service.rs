//! Calls a plain service, once when the call may not be repeated.

use std::sync::Arc;

use bilberryford_coord::{OrderReply, OrderState};
use bilberryford_endpoint::{EndpointError, ServiceCall, ServiceReply};
use bilberryford_types::{AttemptId, ErrorKind, EventKind, Ran, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use poem::{Response, http::StatusCode};

use super::{Context, Filter, Flow, Target};
use crate::{
    fleet::Endpoint,
    node::Node,
    refusal::{RAN_HEADER, Refusal},
};

/// The longest answer that is kept for repeats, in bytes.
const MAX_KEPT_BODY_BYTES: usize = 64 * 1024;

pub(crate) struct Service;

impl Filter for Service {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        call(node, ctx).boxed()
    }
}

async fn call(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let timeout = ctx.time_left();
    let endpoint = ctx.endpoint()?;
    let attempt = ctx.take_attempt()?;
    if timeout == TimeMs(0) {
        settle(node, ctx, OrderState::NotRun).await;
        return Err(attempt.refuse(ErrorKind::DeadlineBeforeRun).into());
    }
    let request = service_call(ctx, attempt.id().clone())?;
    event(node, ctx, EventKind::Dispatched, attempt.id(), &endpoint);
    let sent = attempt.send();
    let guard = endpoint.enter();
    let result = endpoint.service.call(request, timeout).await;
    drop(guard);
    match result {
        Ok(reply) => {
            event(node, ctx, EventKind::Answered, sent.id(), &endpoint);
            settle(node, ctx, OrderState::Done { reply: kept(&reply) }).await;
            Ok(Flow::Answer(respond(reply)))
        }
        Err(error) => {
            node.note_error(&endpoint, &error);
            event(node, ctx, EventKind::AttemptFailed, sent.id(), &endpoint);
            Err(match sent.unsent(error.ran()) {
                Ok(unsent) => {
                    settle(node, ctx, OrderState::NotRun).await;
                    unsent.refuse(error.kind()).into()
                }
                Err(_) => {
                    let is_order = ctx.intent.is_some();
                    settle(node, ctx, OrderState::InDoubt).await;
                    Refusal::sent(doubt_kind(is_order, &error), Ran::Maybe)
                }
            })
        }
    }
}

const fn doubt_kind(is_order: bool, error: &EndpointError) -> ErrorKind {
    if is_order { ErrorKind::OrderInDoubt } else { error.kind() }
}

async fn settle(node: &Node, ctx: &mut Context, state: OrderState) {
    if let Some(intent) = ctx.intent.take() {
        intent.settle(node, state).await;
    }
}

fn service_call(ctx: &Context, attempt: AttemptId) -> Result<ServiceCall, Refusal> {
    let Target::Service { path, .. } = &ctx.target else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    Ok(ServiceCall {
        attempt,
        team: ctx.team()?.name.clone(),
        method: ctx.method.to_string(),
        path: path.clone(),
        content_type: ctx.header("content-type").map(str::to_owned),
        order: ctx.order.clone(),
        body: ctx.body.clone(),
    })
}

fn kept(reply: &ServiceReply) -> OrderReply {
    let body =
        std::str::from_utf8(&reply.body).ok().filter(|body| body.len() <= MAX_KEPT_BODY_BYTES);
    OrderReply {
        status: reply.status,
        content_type: reply.content_type.clone(),
        body: body.map(str::to_owned),
    }
}

fn respond(reply: ServiceReply) -> Response {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY))
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes));
    if let Some(content_type) = reply.content_type {
        response = response.header("content-type", content_type);
    }
    response.body(reply.body)
}

fn event(node: &Node, ctx: &Context, kind: EventKind, attempt: &AttemptId, endpoint: &Endpoint) {
    node.events.write(kind, |event| {
        event.request = Some(ctx.request.clone());
        event.attempt = Some(attempt.clone());
        event.endpoint = Some(endpoint.id.clone());
        event.order = ctx.order.clone();
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
    });
}
