//! Calls a plain service. A call that may not be retried is sent at most once.

use std::sync::Arc;

use bilberryford_coord::{Attempt, OrderState, Planned, RetryClass};
use bilberryford_endpoint::{EndpointError, ServiceCall, ServiceReply};
use bilberryford_types::{AttemptId, ErrorKind, EventKind, Ran, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use poem::{Response, http::StatusCode};

use super::{Context, Filter, Flow, Target, least_loaded, order_status::stored_reply};
use crate::{
    fleet::Endpoint,
    node::Node,
    refusal::{RAN_HEADER, Refusal},
};

/// The most attempts of one call, each at another endpoint.
const MAX_ATTEMPTS: usize = 2;

pub(crate) struct Service;

impl Filter for Service {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        call_service(node, ctx).boxed()
    }
}

/// The outcome of one attempt.
enum Outcome {
    /// The service responded.
    Responded(ServiceReply),
    /// Nothing was sent.
    Unsent(Attempt<Planned>, EndpointError),
    /// The call may have run.
    Lost(EndpointError),
    /// The dispatch window of the intent has closed; nothing was sent.
    WindowClosed,
}

async fn call_service(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let mut attempt = ctx.take_attempt()?;
    let mut tried = Vec::new();
    // The error of an earlier attempt that may have run.
    let mut lost = None;
    node.count_first_attempt(&ctx.team()?.name, &ctx.endpoint()?.pool);
    loop {
        // Asked before each attempt: the record of an order and earlier attempts take time.
        let too_late = match ctx.time_left() {
            TimeMs(0) => Some(ErrorKind::DeadlineBeforeRun),
            left if node.stops_before(left) => Some(ErrorKind::ShuttingDown),
            _ => None,
        };
        if let Some(kind) = too_late {
            return Err(end_unsent(node, ctx, attempt, kind, lost).await);
        }
        let endpoint = ctx.endpoint()?;
        let outcome = try_once(node, ctx, &endpoint, attempt).await?;
        tried.push(endpoint.clone());
        let next = endpoint_for_retry(node, ctx, &tried, &outcome);
        match (outcome, next) {
            (Outcome::Responded(reply), _) => return finish_call(node, ctx, reply).await,
            (Outcome::WindowClosed, _) => {
                record_outcome(node, ctx, OrderState::InDoubt).await;
                return Err(Refusal::after_send(ErrorKind::OrderInDoubt, Ran::Maybe));
            }
            (Outcome::Unsent(unsent, _), Some(next)) => {
                attempt = unsent;
                ctx.endpoint = Some(next);
            }
            (Outcome::Unsent(unsent, error), None) => {
                return Err(end_unsent(node, ctx, unsent, error.kind(), lost).await);
            }
            (Outcome::Lost(error), Some(next)) => {
                lost = Some(error);
                attempt = Attempt::new(node.next_attempt());
                ctx.endpoint = Some(next);
            }
            (Outcome::Lost(error), None) => return Err(end_lost(node, ctx, &error).await),
        }
    }
}

/// Ends a call whose last attempt was not sent. It did not run unless an earlier attempt may have.
async fn end_unsent(
    node: &Node,
    ctx: &mut Context,
    unsent: Attempt<Planned>,
    kind: ErrorKind,
    lost: Option<EndpointError>,
) -> Refusal {
    if let Some(error) = lost {
        return end_lost(node, ctx, &error).await;
    }
    record_outcome(node, ctx, OrderState::NotRun).await;
    unsent.refuse(kind).into()
}

/// Ends a call of which an attempt may have run.
async fn end_lost(node: &Node, ctx: &mut Context, error: &EndpointError) -> Refusal {
    let kind = if ctx.intent.is_some() { ErrorKind::OrderInDoubt } else { error.kind() };
    record_outcome(node, ctx, OrderState::InDoubt).await;
    Refusal::after_send(kind, Ran::Maybe)
}

/// Returns the endpoint for a retry, if the outcome allows one; takes the retry from the budgets.
fn endpoint_for_retry(
    node: &Node,
    ctx: &Context,
    tried: &[Arc<Endpoint>],
    outcome: &Outcome,
) -> Option<Arc<Endpoint>> {
    let class = match outcome {
        Outcome::Unsent(..) => RetryClass::NotStarted,
        Outcome::Lost(_) if ctx.is_idempotent() => RetryClass::Started,
        Outcome::Lost(_) | Outcome::Responded(_) | Outcome::WindowClosed => return None,
    };
    let (team, pool) = (&ctx.team.as_ref()?.name, &tried.first()?.pool);
    let next = least_loaded(node, pool, tried).filter(|_| tried.len() < MAX_ATTEMPTS)?;
    node.take_retry(team, pool, class).then_some(next)
}

async fn try_once(
    node: &Node,
    ctx: &Context,
    endpoint: &Arc<Endpoint>,
    attempt: Attempt<Planned>,
) -> Result<Outcome, Refusal> {
    let request = service_call(ctx, attempt.id().clone())?;
    let guard = endpoint.track_run();
    let call = endpoint.service.call(request, ctx.time_left());
    // # Invariant
    //
    // There is no await point between this check and the first poll of the call.
    if ctx.intent.as_ref().is_some_and(|intent| !intent.may_dispatch(node)) {
        return Ok(Outcome::WindowClosed);
    }
    let sent = attempt.send();
    let (result, ()) = tokio::join!(biased; call, record_dispatch(node, ctx, sent.id(), endpoint));
    drop(guard);
    Ok(match result {
        Ok(reply) => {
            write_event(node, ctx, EventKind::Answered, sent.id(), endpoint);
            Outcome::Responded(reply)
        }
        Err(error) => {
            node.observe_endpoint_error(endpoint, &error);
            write_event(node, ctx, EventKind::AttemptFailed, sent.id(), endpoint);
            match sent.revert_if_not_run(error.ran()) {
                Ok(unsent) => Outcome::Unsent(unsent, error),
                Err(_) => Outcome::Lost(error),
            }
        }
    })
}

async fn record_dispatch(node: &Node, ctx: &Context, attempt: &AttemptId, endpoint: &Endpoint) {
    if let Some(intent) = &ctx.intent {
        intent.record_dispatch(node);
    }
    write_event(node, ctx, EventKind::Dispatched, attempt, endpoint);
}

async fn finish_call(node: &Node, ctx: &mut Context, reply: ServiceReply) -> Result<Flow, Refusal> {
    let ran = ran_from_reply(ctx, &reply);
    if ctx.intent.is_none() {
        return Ok(Flow::Respond(to_response(reply, ran)));
    }
    match ran {
        Ran::Yes => {
            let state = OrderState::Done { reply: stored_reply(&reply), from_status: false };
            record_outcome(node, ctx, state).await;
            Ok(Flow::Respond(to_response(reply, ran)))
        }
        Ran::No => {
            record_outcome(node, ctx, OrderState::NotRun).await;
            Err(Refusal::after_send(ErrorKind::EndpointRefused, Ran::No))
        }
        Ran::Maybe => {
            record_outcome(node, ctx, OrderState::InDoubt).await;
            Err(Refusal::after_send(ErrorKind::OrderInDoubt, Ran::Maybe))
        }
    }
}

/// Returns what the reply says about the run of the call. After a 5xx status this is not known, unless the service or
/// the configuration of its route states that the call did not run.
fn ran_from_reply(ctx: &Context, reply: &ServiceReply) -> Ran {
    let declared =
        ctx.route.as_ref().is_some_and(|route| route.not_run_statuses.contains(&reply.status));
    match reply.status {
        400.. if declared || reply.reported_not_run => Ran::No,
        500.. => Ran::Maybe,
        _ => Ran::Yes,
    }
}

async fn record_outcome(node: &Node, ctx: &mut Context, state: OrderState) {
    if let Some(intent) = ctx.intent.take() {
        intent.record_outcome(node, state).await;
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

fn to_response(reply: ServiceReply, ran: Ran) -> Response {
    let mut response = Response::builder()
        .status(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY))
        .header(RAN_HEADER, <&'static str>::from(ran));
    if let Some(content_type) = reply.content_type {
        response = response.header("content-type", content_type);
    }
    response.body(reply.body)
}

fn write_event(
    node: &Node,
    ctx: &Context,
    kind: EventKind,
    attempt: &AttemptId,
    endpoint: &Endpoint,
) {
    node.events.write(kind, |event| {
        event.request = Some(ctx.request.clone());
        event.attempt = Some(attempt.clone());
        event.endpoint = Some(endpoint.id.clone());
        event.order = ctx.order.clone();
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
    });
}
