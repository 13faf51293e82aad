//! Lets a caller pick up an answer after a lost connection, at any instance.

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
    follow::{Intake, TraceContext, attempt_name, attempt_number, continued_places},
    node::Node,
    refusal::Refusal,
    run::{Run, RunName, RunPlace},
};

/// The longest time that a run is followed for a caller that came back, in milliseconds.
const FOLLOW_LIMIT_MS: u64 = 600_000;
/// How long endpoints may take to say whether they have the run, in milliseconds.
const FIND_TIMEOUT_MS: u64 = 1_000;
/// How long the instance that began a run may take to hear that it was picked up, in milliseconds.
const TELL_TIMEOUT_MS: u64 = 200;
/// How many later attempts of a run are asked for.
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

/// A run of another team is not told from one that is not there.
fn unknown() -> Refusal {
    Refusal::sent(ErrorKind::UnknownRun, Ran::Maybe)
}

async fn resume(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let Target::Run { run: id } = ctx.target.clone() else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    let from = ctx.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let wants_whole = ctx.header("accept").is_some_and(|accept| accept == "application/json");
    let team = ctx.team()?.name.clone();
    let name = node.runs.name(&team, &id).ok_or_else(unknown)?;
    // A run that was given up here for lack of a reader may go on at its endpoint for another instance.
    let is_usable =
        |run: &Arc<Run>| run.first() <= from && !(run.is_handed_over() && run.is_over());
    let kept = node.runs.get(&id).filter(is_usable);
    let run = match kept {
        Some(run) => run,
        None => find(node, ctx, &team, &id, &name, from).await?,
    };
    let reading = run.read();
    if wants_whole {
        return dispatch::whole(reading, id, name.shape).await.map(Flow::Answer);
    }
    Ok(Flow::Answer(dispatch::streamed(reading, id, name.shape, from)))
}

/// A place that has the run, with its stream.
struct Found {
    number: usize,
    attempt: AttemptId,
    endpoint: Arc<Endpoint>,
    stream: ChunkStream,
    first: u32,
}

async fn find(
    node: &Arc<Node>,
    ctx: &Context,
    team: &TeamName,
    id: &RunId,
    name: &RunName,
    from: u32,
) -> Result<Arc<Run>, Refusal> {
    let found = ask_places(node, &name.place, from).await.ok_or_else(unknown)?;
    let run = node.runs.begin(found.first);
    node.runs.keep(id.clone(), run.clone());
    tell_origin(node, id, &name.place.attempt).await;
    let trace = TraceContext { request: ctx.request.clone(), team: team.clone() };
    tokio::spawn(fill(node.clone(), run.clone(), found, trace));
    Ok(run)
}

/// Tells the instance that began the run, so that it does not cancel it; one that is gone can't cancel anything.
async fn tell_origin(node: &Node, id: &RunId, attempt: &AttemptId) {
    let Some(peers) = node.peers() else { return };
    let origin = origin_of(attempt);
    let is_origin = |name: &str| origin == Some(name);
    let origin = node
        .members
        .peer_addresses()
        .into_iter()
        .find(|(instance, _)| is_origin(instance.as_str()));
    let Some((_, address)) = origin else { return };
    if let Err(error) = peers.notify_handed_over(address, id.clone(), TimeMs(TELL_TIMEOUT_MS)).await
    {
        log::debug!("the instance that began {id} does not answer: {error}");
    }
}

/// The instance that named the attempt; see `Node::next_attempt`.
fn origin_of(attempt: &AttemptId) -> Option<&str> {
    attempt.as_str().strip_prefix("a-")?.rsplitn(3, '-').nth(2)
}

/// Asks the place that the id names and those where the run may have gone on; the latest attempt counts.
async fn ask_places(node: &Node, place: &RunPlace, from: u32) -> Option<Found> {
    let table = node.fleet.endpoints();
    let named = table.get(&place.endpoint).cloned();
    let (base, number) = attempt_number(&place.attempt);
    let pool = named.as_ref().map(|endpoint| endpoint.pool.clone());
    let later = pool.map(|pool| continued_places(table.pool(&pool), &base)).unwrap_or_default();
    let asked = FuturesUnordered::new();
    if let Some(endpoint) = named {
        asked.push(ask(endpoint, place.attempt.clone(), number, from).boxed());
    }
    for endpoint in later {
        for number in number + 1..=number + LATER_ATTEMPTS {
            let attempt = attempt_name(&base, number);
            asked.push(ask(endpoint.clone(), attempt, number, from).boxed());
        }
    }
    asked
        .filter_map(std::future::ready)
        .collect::<Vec<_>>()
        .await
        .into_iter()
        .max_by_key(|found| found.number)
}

/// Asks from the first token, so that the whole answer can be kept, and else from where the caller stopped.
async fn ask(
    endpoint: Arc<Endpoint>,
    attempt: AttemptId,
    number: usize,
    from: u32,
) -> Option<Found> {
    let limit = Duration::from_millis(FIND_TIMEOUT_MS);
    let firsts = if from == 0 { vec![0] } else { vec![0, from] };
    for first in firsts {
        let resumed = endpoint.engine.resume(&attempt, first, TimeMs(FOLLOW_LIMIT_MS));
        if let Ok(Ok(stream)) = timeout(limit, resumed).await {
            return Some(Found { number, attempt, endpoint, stream, first });
        }
    }
    None
}

/// Fills a run that was picked up. It is not cancelled at the endpoint when nobody reads it here: the caller may have
/// gone on to a third instance.
async fn fill(node: Arc<Node>, run: Arc<Run>, found: Found, trace: TraceContext) {
    let Found { attempt, endpoint, stream, .. } = found;
    let limit = Duration::from_millis(FOLLOW_LIMIT_MS);
    let pick_up_limit = Duration::from_millis(node.settings.pick_up_limit.get());
    let intake = Intake::new(&node, &run, &endpoint, &attempt, trace, Instant::now() + limit);
    let outcome = tokio::select! {
        outcome = intake.follow(stream) => outcome.map_err(|failure| failure.error.kind()),
        () = sleep(limit) => Err(ErrorKind::DeadlineWhileRunning),
        () = run.abandoned(pick_up_limit) => Err(ErrorKind::RunCancelled),
    };
    match outcome {
        Ok(end) => run.finish(end),
        Err(kind) => run.fail(Refusal::sent(kind, Ran::Maybe)),
    }
}
