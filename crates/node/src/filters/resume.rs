//! Resumes a run for a caller whose connection was lost, at any instance.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_endpoint::ChunkStream;
use bilberryford_types::{AttemptId, ErrorKind, Ran, RunId, TeamName, TimeMs};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::{sleep, timeout};

use super::{Context, Filter, Flow, Target, dispatch};
use crate::{
    fleet::Endpoint,
    follow::{StreamReceiver, TraceContext, attempt_id, failover_endpoints, split_attempt_id},
    node::Node,
    refusal::Refusal,
    run::{Run, RunLocation, RunLocator},
};

/// The longest time that a resumed run is relayed, in milliseconds.
const RELAY_LIMIT_MS: u64 = 600_000;
/// The time limit for one query to an endpoint for the run, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 1_000;
/// The time limit for notifying the instance that began the run, in milliseconds.
const NOTIFY_TIMEOUT_MS: u64 = 200;
/// The number of attempts after the one in the run id that are searched for.
const LATER_ATTEMPTS: usize = 2;

pub(crate) struct Resume;

impl Filter for Resume {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        resume(node, ctx).boxed()
    }
}

/// The refusal for a run that does not exist or belongs to another team; callers can't tell these apart.
fn unknown_run() -> Refusal {
    Refusal::after_send(ErrorKind::UnknownRun, Ran::Maybe)
}

async fn resume(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let Target::Run { run: id } = ctx.target.clone() else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    let from = ctx.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let wants_json = ctx.header("accept").is_some_and(|accept| accept == "application/json");
    let team = ctx.team()?.name.clone();
    let locator = node.runs.verify_id(&team, &id).ok_or_else(unknown_run)?;
    // A run that was handed over and has ended here may continue at its endpoint for another instance.
    let is_usable =
        |run: &Arc<Run>| run.first() <= from && !(run.is_handed_over() && run.is_ended());
    let retained = node.runs.get(&id).filter(is_usable);
    let run = match retained {
        Some(run) => run,
        None => find_run(node, ctx, &team, &id, &locator, from).await?,
    };
    let reader = run.add_reader();
    if wants_json {
        return dispatch::complete_response(reader, id, locator.format).await.map(Flow::Respond);
    }
    Ok(Flow::Respond(dispatch::streamed_response(reader, id, locator.format, from)))
}

/// An endpoint that has the run, with the stream from it.
struct FoundRun {
    number: usize,
    attempt: AttemptId,
    endpoint: Arc<Endpoint>,
    stream: ChunkStream,
    first: u32,
}

/// Searches for the run at endpoints and starts to relay it.
async fn find_run(
    node: &Arc<Node>,
    ctx: &Context,
    team: &TeamName,
    id: &RunId,
    locator: &RunLocator,
    from: u32,
) -> Result<Arc<Run>, Refusal> {
    let found = query_endpoints(node, &locator.location, from).await.ok_or_else(unknown_run)?;
    let run = node.runs.create(found.first);
    node.runs.retain(id.clone(), run.clone());
    notify_origin(node, id, &locator.location.attempt).await;
    let trace = TraceContext { request: ctx.request.clone(), team: team.clone() };
    tokio::spawn(relay(node.clone(), run.clone(), found, trace));
    Ok(run)
}

/// Notifies the instance that began the run, so that it does not cancel the run for lack of readers. Failures are
/// ignored: an instance that is gone can't cancel anything.
async fn notify_origin(node: &Node, id: &RunId, attempt: &AttemptId) {
    let Some(peers) = node.peers() else { return };
    let origin = origin_of(attempt);
    let is_origin = |name: &str| origin == Some(name);
    let origin = node
        .members
        .peer_addresses()
        .into_iter()
        .find(|(instance, _)| is_origin(instance.as_str()));
    let Some((_, address)) = origin else { return };
    if let Err(error) =
        peers.notify_handed_over(address, id.clone(), TimeMs(NOTIFY_TIMEOUT_MS)).await
    {
        log::debug!("the instance that began {id} could not be notified: {error}");
    }
}

/// The instance that created the attempt's id; see `Node::next_attempt`.
fn origin_of(attempt: &AttemptId) -> Option<&str> {
    attempt.as_str().strip_prefix("a-")?.rsplitn(3, '-').nth(2)
}

/// Queries the endpoint in the run id and those that the run may have failed over to; the latest attempt wins.
async fn query_endpoints(node: &Node, location: &RunLocation, from: u32) -> Option<FoundRun> {
    let table = node.fleet.endpoints();
    let named = table.get(&location.endpoint).cloned();
    let (base, number) = split_attempt_id(&location.attempt);
    let pool = named.as_ref().map(|endpoint| endpoint.pool.clone());
    let later = pool.map(|pool| failover_endpoints(table.pool(&pool), &base)).unwrap_or_default();
    let queries = FuturesUnordered::new();
    if let Some(endpoint) = named {
        queries.push(query_endpoint(endpoint, location.attempt.clone(), number, from).boxed());
    }
    for endpoint in later {
        for number in number + 1..=number + LATER_ATTEMPTS {
            let attempt = attempt_id(&base, number);
            queries.push(query_endpoint(endpoint.clone(), attempt, number, from).boxed());
        }
    }
    queries
        .filter_map(std::future::ready)
        .collect::<Vec<_>>()
        .await
        .into_iter()
        .max_by_key(|found| found.number)
}

/// Requests the run from its first token, so that the complete response can be retained, or else from the token at
/// which the caller stopped.
async fn query_endpoint(
    endpoint: Arc<Endpoint>,
    attempt: AttemptId,
    number: usize,
    from: u32,
) -> Option<FoundRun> {
    let limit = Duration::from_millis(QUERY_TIMEOUT_MS);
    let firsts = if from == 0 { vec![0] } else { vec![0, from] };
    for first in firsts {
        let resumed = endpoint.engine.resume(&attempt, first, TimeMs(RELAY_LIMIT_MS));
        if let Ok(Ok(stream)) = timeout(limit, resumed).await {
            return Some(FoundRun { number, attempt, endpoint, stream, first });
        }
    }
    None
}

/// Relays a resumed run into its buffer. The run is not cancelled at the endpoint for lack of readers here, since the
/// caller may have resumed it at a third instance.
async fn relay(node: Arc<Node>, run: Arc<Run>, found: FoundRun, trace: TraceContext) {
    let FoundRun { attempt, endpoint, stream, .. } = found;
    let limit = Duration::from_millis(RELAY_LIMIT_MS);
    let pick_up_limit = Duration::from_millis(node.settings.pick_up_limit.get());
    let receiver =
        StreamReceiver::new(&node, &run, &endpoint, &attempt, trace, Instant::now() + limit);
    let outcome = tokio::select! {
        outcome = receiver.resume(stream) => outcome.map_err(|failure| failure.error.kind()),
        () = sleep(limit) => Err(ErrorKind::DeadlineWhileRunning),
        () = run.wait_until_abandoned(pick_up_limit) => Err(ErrorKind::RunCancelled),
    };
    match outcome {
        Ok(end) => run.complete(end),
        Err(kind) => run.fail(Refusal::after_send(kind, Ran::Maybe)),
    }
}
