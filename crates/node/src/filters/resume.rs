//! Lets a caller pick up an answer after a lost connection.

use std::sync::Arc;

use bilberryford_endpoint::Chunk;
use bilberryford_types::{ErrorKind, Ran, RunId, TeamName, TimeMs};
use futures::{FutureExt, StreamExt, future::BoxFuture};

use super::{Context, Filter, Flow, Target, dispatch};
use crate::{
    api::Shape,
    node::Node,
    refusal::Refusal,
    run::{Run, RunEnd},
};

/// The longest time that a run is followed for a caller that came back, in milliseconds.
const FOLLOW_LIMIT: TimeMs = TimeMs(60_000);

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

async fn resume(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let Target::Run { run: id } = ctx.target.clone() else {
        return Err(Refusal::of(ErrorKind::Internal));
    };
    let from = ctx.header("last-event-id").and_then(|value| value.parse().ok()).unwrap_or(0);
    let team = ctx.team()?.name.clone();
    let run = find(node, &team, &id).await?;
    Ok(Flow::Answer(dispatch::streamed(run, id, Shape::Chat, from)))
}

/// The run as kept here, or as the endpoint still has it; a run of another team is not told from one that is not there.
async fn find(node: &Arc<Node>, team: &TeamName, id: &RunId) -> Result<Arc<Run>, Refusal> {
    let unknown = || Refusal::sent(ErrorKind::UnknownRun, Ran::Maybe);
    let place = node.runs.place(team, id).ok_or_else(unknown)?;
    if let Some(run) = node.runs.get(id) {
        return Ok(run);
    }
    let endpoint = node.fleet.endpoints().get(&place.endpoint).cloned().ok_or_else(unknown)?;
    let mut stream =
        endpoint.engine.resume(&place.attempt, 0, FOLLOW_LIMIT).await.map_err(|_| unknown())?;
    let run = Run::new();
    node.runs.keep(id.clone(), run.clone());
    let filled = run.clone();
    tokio::spawn(async move {
        while let Some(Ok(chunk)) = stream.next().await {
            match chunk {
                Chunk::Token { attempt, index, text }
                    if attempt == place.attempt && index == filled.len() =>
                {
                    filled.push(&text);
                }
                Chunk::End { tokens, prompt_tokens, .. } if tokens.get() == filled.len() => {
                    filled.finish(RunEnd { tokens, prompt_tokens });
                    return;
                }
                Chunk::Token { .. } | Chunk::End { .. } => {}
            }
        }
        filled.fail(Refusal::sent(ErrorKind::EndpointLost, Ran::Maybe));
    });
    Ok(run)
}
