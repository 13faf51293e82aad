//! Sends a prompt and answers with what comes.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, Ran, RunId, TimeMs};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use poem::{Body, Response};

use super::{Context, Filter, Flow};
use crate::{
    api::{self, PromptRequest, Shape},
    follow::{self, FollowCall},
    node::Node,
    refusal::{RAN_HEADER, Refusal},
    run::{Progress, Run, RunPlace},
};

pub(crate) struct Dispatch;

impl Filter for Dispatch {
    fn apply<'a>(
        &'a self,
        node: &'a Arc<Node>,
        ctx: &'a mut Context,
    ) -> BoxFuture<'a, Result<Flow, Refusal>> {
        dispatch(node, ctx).boxed()
    }
}

async fn dispatch(node: &Arc<Node>, ctx: &mut Context) -> Result<Flow, Refusal> {
    let timeout = ctx.time_left();
    if timeout == TimeMs(0) {
        return Err(ctx.refuse(ErrorKind::DeadlineBeforeRun));
    }
    let prompt = ctx.prompt.take().ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let in_force = ctx.in_force()?;
    let section = in_force.document.models.iter().find(|section| section.name == prompt.model);
    let section = section.ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
    let endpoint = ctx.endpoint()?;
    let team = ctx.team()?.name.clone();
    let attempt = ctx.take_attempt()?;
    let place = RunPlace { endpoint: endpoint.id.clone(), attempt: attempt.id().clone() };
    let id = node.runs.id(&team, &place);
    let run = Run::new();
    node.runs.keep(id.clone(), run.clone());
    let call = FollowCall {
        request: ctx.request.clone(),
        team,
        pool: section.pool.clone(),
        weight_version: section.weight_version.clone(),
        model: prompt.model.clone(),
        prompt: prompt.prompt.clone(),
        max_tokens: prompt.max_tokens,
        priority: ctx.priority,
        timeout,
        received: ctx.received,
        _place: ctx.place.take(),
    };
    tokio::spawn(follow::follow(node.clone(), run.clone(), attempt, endpoint, call));
    answer(run, id, &prompt).await.map(Flow::Answer)
}

async fn answer(run: Arc<Run>, id: RunId, prompt: &PromptRequest) -> Result<Response, Refusal> {
    if prompt.stream {
        // The status is decided by the first token, so that a failure before it is a plain refusal.
        if let Progress::Failed = run.after(0).await {
            return Err(failure(&run));
        }
        return Ok(streamed(run, id, prompt.shape, 0));
    }
    whole(run, id, prompt.shape).await
}

/// The whole answer in one piece.
pub(crate) async fn whole(run: Arc<Run>, id: RunId, shape: Shape) -> Result<Response, Refusal> {
    run.over().await;
    let Progress::End(end) = run.after(run.len()).await else {
        return Err(failure(&run));
    };
    let body = api::whole_answer(shape, &id, &run.text(), end.prompt_tokens, end.tokens);
    Ok(Response::builder()
        .content_type("application/json")
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-run", id.as_str())
        .body(body))
}

fn failure(run: &Run) -> Refusal {
    run.take_refusal().unwrap_or_else(|| Refusal::sent(ErrorKind::EndpointLost, Ran::Maybe))
}

struct Reader {
    run: Arc<Run>,
    id: RunId,
    shape: Shape,
    from: u32,
    is_over: bool,
}

/// The answer as server-sent events from the token `from` on; each event's id is the count of tokens up to it.
pub(crate) fn streamed(run: Arc<Run>, id: RunId, shape: Shape, from: u32) -> Response {
    let run_header = id.to_string();
    let reader = Reader { run, id, shape, from, is_over: false };
    let events = stream::unfold(reader, |mut reader| async move {
        if reader.is_over {
            return None;
        }
        let text = next_events(&mut reader).await;
        Some((Ok::<_, std::io::Error>(text), reader))
    });
    Response::builder()
        .content_type("text/event-stream")
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-run", run_header)
        .body(Body::from_bytes_stream(events.boxed()))
}

async fn next_events(reader: &mut Reader) -> Vec<u8> {
    let mut out = Vec::new();
    match reader.run.after(reader.from).await {
        Progress::Tokens(tokens) => {
            for token in tokens {
                reader.from += 1;
                event(&mut out, reader.from, &api::part(reader.shape, &reader.id, &token, false));
            }
        }
        Progress::End(_) => {
            event(&mut out, reader.from, &api::part(reader.shape, &reader.id, "", true));
            event(&mut out, reader.from, b"[DONE]");
            reader.is_over = true;
        }
        Progress::Failed => {
            // No end marker: a caller can tell that the answer is not whole, and can pick it up by its run id.
            out.extend_from_slice(b"event: error\ndata: {\"error\":{\"type\":\"endpoint_lost\",\"ran\":\"maybe\"}}\n\n");
            reader.is_over = true;
        }
    }
    out
}

fn event(out: &mut Vec<u8>, id: u32, data: &[u8]) {
    out.extend_from_slice(format!("id: {id}\ndata: ").as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
}
