//! The filter chains: the steps that a request passes through, in order.

mod admission;
mod context;
mod deadline;
mod dispatch;
mod identify;
mod order;
mod order_status;
mod parse;
mod placement;
mod quarantine;
mod resume;
mod service;

use std::sync::Arc;

use bilberryford_types::{ErrorKind, EventKind};
use futures::future::BoxFuture;
use poem::Response;

pub(crate) use context::{Context, Target};
pub(crate) use placement::least_loaded;
pub(crate) use quarantine::CLAIM_MARGIN_MS;

use crate::{node::Node, refusal::Refusal};

/// The chain for prompts.
const PROMPT: &[&dyn Filter] = &[
    &identify::Identify,
    &parse::Parse,
    &deadline::Deadline,
    &quarantine::Quarantine,
    &admission::Admission,
    &placement::Placement,
    &dispatch::Dispatch,
];

/// The chain for calls of plain services.
const SERVICE: &[&dyn Filter] = &[
    &identify::Identify,
    &parse::Parse,
    &deadline::Deadline,
    &admission::Admission,
    &placement::Placement,
    &order::Order,
    &service::Service,
];

/// The chain for callers that resume a run.
const RESUME: &[&dyn Filter] = &[&identify::Identify, &resume::Resume];

/// The result of a filter that does not refuse the request.
pub(crate) enum Flow {
    /// Continues with the next filter.
    Next,
    /// Ends the chain with this response.
    Respond(Response),
}

/// One step of a chain.
pub(crate) trait Filter: Send + Sync {
    /// Performs the step.
    ///
    /// # Errors
    ///
    /// The refusal that the caller receives.
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>>;
}

/// Runs the chain of a request and returns the response.
///
/// A call that may not be retried runs in a task of its own. If its caller disconnects after the intent was written,
/// the task still records the outcome of the order.
pub(crate) async fn handle(node: &Arc<Node>, ctx: Context) -> Response {
    let is_service = matches!(ctx.target, Target::Service { .. });
    if !is_service || ctx.method.is_safe() {
        return process(node, ctx).await;
    }
    let open_call = node.orders.track_call();
    let node = node.clone();
    let task = tokio::spawn(async move {
        let _open_call = open_call;
        process(&node, ctx).await
    });
    task.await.unwrap_or_else(|_| Refusal::of(ErrorKind::Internal).into_response())
}

async fn process(node: &Arc<Node>, mut ctx: Context) -> Response {
    node.metrics.requests.add(1, &[]);
    let mut response = match run_chain(node, &mut ctx).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(node, &ctx, refusal),
    };
    if ctx.order.is_some() {
        order::add_retention_header(node, &mut response);
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
        if let Flow::Respond(response) = filter.apply(node, ctx).await? {
            return Ok(response);
        }
    }
    unreachable!("the last filter of a chain responds or refuses")
}

fn refusal_response(node: &Node, ctx: &Context, refusal: Refusal) -> Response {
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
