//! The filter chains: what happens to a request, in order.

mod admission;
mod context;
mod deadline;
mod dispatch;
mod identify;
mod order;
mod order_status;
mod parse;
mod place;
mod quarantine;
mod resume;
mod service;

use std::sync::Arc;

use bilberryford_types::{ErrorKind, EventKind};
use futures::future::BoxFuture;
use poem::Response;

pub(crate) use context::{Context, Target};
pub(crate) use place::least_loaded;
pub(crate) use quarantine::CLAIM_MARGIN_MS;

use crate::{node::Node, refusal::Refusal};

/// The chain of a prompt.
const PROMPT: &[&dyn Filter] = &[
    &identify::Identify,
    &parse::Parse,
    &deadline::Deadline,
    &quarantine::Quarantine,
    &admission::Admission,
    &place::Place,
    &dispatch::Dispatch,
];

/// The chain of a call to a plain service.
const SERVICE: &[&dyn Filter] = &[
    &identify::Identify,
    &parse::Parse,
    &deadline::Deadline,
    &admission::Admission,
    &place::Place,
    &order::Order,
    &service::Service,
];

/// The chain of a caller that picks a run up again.
const RESUME: &[&dyn Filter] = &[&identify::Identify, &resume::Resume];

/// What a filter says of a request that it does not refuse.
pub(crate) enum Flow {
    /// The next filter goes on.
    Next,
    /// This is the answer.
    Answer(Response),
}

/// One step of a chain.
pub(crate) trait Filter: Send + Sync {
    /// Does the step.
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>>;
}

/// Carries a request through its chain.
///
/// A call that may not be repeated is carried by a task of its own, so that a caller who hangs up between intent and
/// outcome does not leave the order without either.
pub(crate) async fn run(node: &Arc<Node>, ctx: Context) -> Response {
    let is_service = matches!(ctx.target, Target::Service { .. });
    if !is_service || ctx.method.is_safe() {
        return carry(node, ctx).await;
    }
    let open = node.orders.track_call();
    let node = node.clone();
    let task = tokio::spawn(async move {
        let _open = open;
        carry(&node, ctx).await
    });
    task.await.unwrap_or_else(|_| Refusal::of(ErrorKind::Internal).into_response())
}

async fn carry(node: &Arc<Node>, mut ctx: Context) -> Response {
    node.metrics.requests.add(1, &[]);
    let mut response = match run_chain(node, &mut ctx).await {
        Ok(response) => response,
        Err(refusal) => refused(node, &ctx, refusal),
    };
    if ctx.order.is_some() {
        order::state_retention(node, &mut response);
    }
    response
}

async fn run_chain(node: &Arc<Node>, ctx: &mut Context) -> Result<Response, Refusal> {
    let chain = match ctx.target {
        Target::Prompt(_) => PROMPT,
        Target::Service { .. } => SERVICE,
        Target::Run { .. } => RESUME,
    };
    for filter in chain {
        if let Flow::Answer(response) = filter.apply(node, ctx).await? {
            return Ok(response);
        }
    }
    unreachable!("the last filter of a chain answers")
}

fn refused(node: &Node, ctx: &Context, refusal: Refusal) -> Response {
    node.metrics.count_refusal(refusal.kind());
    node.events.write(EventKind::Refused, |event| {
        event.request = Some(ctx.request.clone());
        event.team = ctx.team.as_ref().map(|team| team.name.clone());
        event.order = ctx.order.clone();
        event.error = Some(refusal.kind());
        let ran: &'static str = refusal.ran().into();
        event.detail = format!("ran {ran}");
    });
    refusal.into_response()
}
