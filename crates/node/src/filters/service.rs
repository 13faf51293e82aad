//! Calls a plain service, once when the call may not be repeated.

use std::sync::Arc;

use bilberryford_coord::{Attempt, OrderState, Planned, RetryClass};
use bilberryford_endpoint::{EndpointError, ServiceCall, ServiceReply};
use bilberryford_types::{AttemptId, ErrorKind, EventKind, Ran, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use poem::{Response, http::StatusCode};

use super::{Context, Filter, Flow, Target, least_loaded, order_status::kept};
use crate::{
    fleet::Endpoint,
    node::Node,
    refusal::{RAN_HEADER, Refusal},
};

/// How many endpoints are tried.
const MAX_TRIES: usize = 2;

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

/// How one try ended.
enum Tried {
    /// The service answered.
    Answered(ServiceReply),
    /// Nothing was sent.
    Unsent(Attempt<Planned>, EndpointError),
    /// It may have run.
    Lost(EndpointError),
    /// The intent is too old to be dispatched.
    TooLate,
}

async fn call(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let mut attempt = ctx.take_attempt()?;
    let mut tried = Vec::new();
    node.count_first_attempt(&ctx.team()?.name, &ctx.endpoint()?.pool);
    loop {
        if ctx.time_left() == TimeMs(0) {
            settle(node, ctx, OrderState::NotRun).await;
            return Err(attempt.refuse(ErrorKind::DeadlineBeforeRun).into());
        }
        let endpoint = ctx.endpoint()?;
        let outcome = try_once(node, ctx, &endpoint, attempt).await?;
        tried.push(endpoint.clone());
        let next = next(node, ctx, &tried, &outcome);
        match (outcome, next) {
            (Tried::Answered(reply), _) => return answered(node, ctx, reply).await,
            (Tried::TooLate, _) => {
                settle(node, ctx, OrderState::InDoubt).await;
                return Err(Refusal::sent(ErrorKind::OrderInDoubt, Ran::Maybe));
            }
            (Tried::Unsent(unsent, _), Some(next)) => {
                attempt = unsent;
                ctx.endpoint = Some(next);
            }
            (Tried::Unsent(unsent, error), None) => {
                settle(node, ctx, OrderState::NotRun).await;
                return Err(unsent.refuse(error.kind()).into());
            }
            (Tried::Lost(_), Some(next)) => {
                attempt = Attempt::new(node.next_attempt());
                ctx.endpoint = Some(next);
            }
            (Tried::Lost(error), _) => {
                let kind =
                    if ctx.intent.is_some() { ErrorKind::OrderInDoubt } else { error.kind() };
                settle(node, ctx, OrderState::InDoubt).await;
                return Err(Refusal::sent(kind, Ran::Maybe));
            }
        }
    }
}

/// The endpoint for another try, when the outcome allows one and the budget has one.
fn next(
    node: &Node,
    ctx: &Context,
    tried: &[Arc<Endpoint>],
    outcome: &Tried,
) -> Option<Arc<Endpoint>> {
    let class = match outcome {
        Tried::Unsent(..) => RetryClass::NotStarted,
        Tried::Lost(_) if ctx.is_idempotent() => RetryClass::Started,
        Tried::Lost(_) | Tried::Answered(_) | Tried::TooLate => return None,
    };
    let (team, pool) = (&ctx.team.as_ref()?.name, &tried.first()?.pool);
    let next = least_loaded(node, pool, tried).filter(|_| tried.len() < MAX_TRIES)?;
    node.take_retry(team, pool, class).then_some(next)
}

async fn try_once(
    node: &Node,
    ctx: &Context,
    endpoint: &Arc<Endpoint>,
    attempt: Attempt<Planned>,
) -> Result<Tried, Refusal> {
    let request = service_call(ctx, attempt.id().clone())?;
    let guard = endpoint.track_run();
    let call = endpoint.service.call(request, ctx.time_left());
    // # Invariant
    //
    // Nothing that may wait stands between this check and the first poll of the call.
    if ctx.intent.as_ref().is_some_and(|intent| !intent.may_dispatch(node)) {
        return Ok(Tried::TooLate);
    }
    let sent = attempt.send();
    let (result, ()) = tokio::join!(biased; call, dispatched(node, ctx, sent.id(), endpoint));
    drop(guard);
    Ok(match result {
        Ok(reply) => {
            event(node, ctx, EventKind::Answered, sent.id(), endpoint);
            Tried::Answered(reply)
        }
        Err(error) => {
            node.observe_endpoint_error(endpoint, &error);
            event(node, ctx, EventKind::AttemptFailed, sent.id(), endpoint);
            match sent.revert_if_not_run(error.ran()) {
                Ok(unsent) => Tried::Unsent(unsent, error),
                Err(_) => Tried::Lost(error),
            }
        }
    })
}

async fn dispatched(node: &Node, ctx: &Context, attempt: &AttemptId, endpoint: &Endpoint) {
    if let Some(intent) = &ctx.intent {
        intent.note_dispatch(node);
    }
    event(node, ctx, EventKind::Dispatched, attempt, endpoint);
}

async fn answered(node: &Node, ctx: &mut Context, reply: ServiceReply) -> Result<Flow, Refusal> {
    let ran = ran(ctx, &reply);
    if ctx.intent.is_none() {
        return Ok(Flow::Answer(respond(reply, ran)));
    }
    match ran {
        Ran::Yes => {
            let state = OrderState::Done { reply: kept(&reply), from_status: false };
            settle(node, ctx, state).await;
            Ok(Flow::Answer(respond(reply, ran)))
        }
        Ran::No => {
            settle(node, ctx, OrderState::NotRun).await;
            Err(Refusal::sent(ErrorKind::EndpointRefused, Ran::No))
        }
        Ran::Maybe => {
            settle(node, ctx, OrderState::InDoubt).await;
            Err(Refusal::sent(ErrorKind::OrderInDoubt, Ran::Maybe))
        }
    }
}

/// What an answer says about having run: a 5xx leaves it open, unless the service or its route says otherwise.
fn ran(ctx: &Context, reply: &ServiceReply) -> Ran {
    let declared =
        ctx.route.as_ref().is_some_and(|route| route.not_run_statuses.contains(&reply.status));
    match reply.status {
        400.. if declared || reply.reported_not_run => Ran::No,
        500.. => Ran::Maybe,
        _ => Ran::Yes,
    }
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
        idempotent: ctx.is_idempotent(),
        order: ctx.order.clone(),
        body: ctx.body.clone(),
    })
}

fn respond(reply: ServiceReply, ran: Ran) -> Response {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY))
        .header(RAN_HEADER, <&'static str>::from(ran));
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
