//! Sends a prompt and answers with what comes.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_types::{ErrorKind, Ran, RunId, TeamName, TimeMs};
use futures::{FutureExt, StreamExt, future::BoxFuture, stream};
use poem::{Body, Response};
use tokio::time::timeout;

use super::{Context, Filter, Flow};
use crate::{
    api::{self, Shape},
    follow::{self, CurrentPlace, FollowCall, Start, TraceContext},
    node::Node,
    refusal::{RAN_HEADER, Refusal},
    run::{Progress, Reading, Run, RunName},
};

/// How long a whole answer may take after its first token before its headers are sent with the run's id, so that a
/// caller that loses the connection can pick it up; in milliseconds.
const EARLY_HEADERS_MS: u64 = 1_000;

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
    let run = node.runs.begin(0);
    let reading = run.read();
    let call = FollowCall {
        trace: TraceContext { request: ctx.request.clone(), team: team.clone() },
        weight_version: ctx
            .weight_version
            .take()
            .ok_or_else(|| Refusal::of(ErrorKind::Internal))?,
        section: section.clone(),
        model: prompt.model.clone(),
        prompt: prompt.prompt.clone(),
        max_tokens: prompt.max_tokens,
        priority: ctx.priority,
        received: ctx.received,
        deadline: Instant::now() + Duration::from_millis(timeout.get()),
        fingerprint: ctx.fingerprint.ok_or_else(|| Refusal::of(ErrorKind::Internal))?,
        import: ctx.import.take(),
        _place: ctx.place.take(),
    };
    let place = CurrentPlace::default();
    let start = Start { attempt, endpoint, claim: ctx.claim.take() };
    tokio::spawn(follow::follow(node.clone(), run.clone(), start, call, place.clone()));
    // The status is decided by the first token, so that a failure before it is a plain refusal.
    if let Progress::Failed(refusal) = run.after(0).await {
        return Err(refusal);
    }
    let id = name_run(node, &team, &place, prompt.shape)?;
    node.runs.keep(id.clone(), run);
    if prompt.stream {
        return Ok(Flow::Answer(streamed(reading, id, prompt.shape, 0)));
    }
    whole(reading, id, prompt.shape).await.map(Flow::Answer)
}

fn name_run(
    node: &Node,
    team: &TeamName,
    place: &CurrentPlace,
    shape: Shape,
) -> Result<RunId, Refusal> {
    let place = place.lock().clone();
    place
        .and_then(|place| node.runs.id(team, &RunName { place, shape }))
        .ok_or_else(|| Refusal::of(ErrorKind::Internal))
}

/// The whole answer in one piece. One that takes long gets its headers early; when it then fails, its body
/// is the refusal's, without choices.
pub(crate) async fn whole(reading: Reading, id: RunId, shape: Shape) -> Result<Response, Refusal> {
    let early = Duration::from_millis(EARLY_HEADERS_MS);
    let is_over = timeout(early, reading.run().over()).await.is_ok();
    let response = Response::builder()
        .content_type("application/json")
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-run", id.as_str());
    if is_over {
        return Ok(response.body(whole_body(reading.run(), &id, shape).await?));
    }
    let body = stream::once(async move {
        reading.run().over().await;
        let body = whole_body(reading.run(), &id, shape).await;
        Ok::<_, std::io::Error>(body.unwrap_or_else(|refusal| refusal.body()))
    });
    Ok(response.body(Body::from_bytes_stream(body.boxed())))
}

async fn whole_body(run: &Run, id: &RunId, shape: Shape) -> Result<Vec<u8>, Refusal> {
    match run.after(run.len()).await {
        Progress::End(end) if run.first() == 0 => {
            Ok(api::whole_answer(shape, id, &run.text(), end.prompt_tokens, end.tokens))
        }
        Progress::Failed(refusal) => Err(refusal),
        Progress::End(_) | Progress::Tokens(_) => {
            Err(Refusal::sent(ErrorKind::UnknownRun, Ran::Maybe))
        }
    }
}

struct Reader {
    reading: Reading,
    id: RunId,
    shape: Shape,
    from: u32,
    is_over: bool,
}

/// The answer as server-sent events from the token `from` on; each event's id is the count of tokens up to it.
pub(crate) fn streamed(reading: Reading, id: RunId, shape: Shape, from: u32) -> Response {
    let run_header = id.to_string();
    let reader = Reader { reading, id, shape, from, is_over: false };
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
    match reader.reading.run().after(reader.from).await {
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
        Progress::Failed(refusal) => {
            // No end marker: a caller can tell that the answer is not whole.
            out = refusal.into_event();
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
