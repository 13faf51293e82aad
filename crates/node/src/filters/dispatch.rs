//! Dispatches a prompt and returns the response to the caller.

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
    api::{self, ResponseFormat},
    follow::{self, CurrentLocation, FirstAttempt, RelayCall, TraceContext},
    node::Node,
    refusal::{RAN_HEADER, Refusal},
    run::{Progress, ReaderGuard, Run, RunLocator},
};

/// How long after the first token the headers of an unstreamed response are sent, if it is not complete by then, in
/// milliseconds. They carry the run id, with which a caller whose connection is lost can resume the run.
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
    let run = node.runs.create(0);
    let reader = run.add_reader();
    let call = RelayCall {
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
        received_at: ctx.received_at,
        deadline: Instant::now() + Duration::from_millis(timeout.get()),
        fingerprint: ctx.fingerprint.ok_or_else(|| Refusal::of(ErrorKind::Internal))?,
        import: ctx.import.take(),
        _slot: ctx.slot.take(),
    };
    let location = CurrentLocation::default();
    let first = FirstAttempt { attempt, endpoint, claim: ctx.claim.take() };
    tokio::spawn(follow::relay(node.clone(), run.clone(), first, call, location.clone()));
    // The status is sent after the first token, so that a failure before it is an ordinary refusal.
    if let Progress::Failed(refusal) = run.progress_after(0).await {
        return Err(refusal);
    }
    let id = sign_run_id(node, &team, &location, prompt.format)?;
    node.runs.retain(id.clone(), run);
    if prompt.stream {
        return Ok(Flow::Respond(streamed_response(reader, id, prompt.format, 0)));
    }
    complete_response(reader, id, prompt.format).await.map(Flow::Respond)
}

fn sign_run_id(
    node: &Node,
    team: &TeamName,
    location: &CurrentLocation,
    format: ResponseFormat,
) -> Result<RunId, Refusal> {
    let location = location.lock().clone();
    location
        .and_then(|location| node.runs.sign_id(team, &RunLocator { location, format }))
        .ok_or_else(|| Refusal::of(ErrorKind::Internal))
}

/// Responds with the complete text in one body. If this takes long, the headers are sent early; a run that fails
/// afterwards has the refusal as its body.
pub(crate) async fn complete_response(
    reader: ReaderGuard,
    id: RunId,
    format: ResponseFormat,
) -> Result<Response, Refusal> {
    let early = Duration::from_millis(EARLY_HEADERS_MS);
    let is_ended = timeout(early, reader.run().wait_until_ended()).await.is_ok();
    let response = Response::builder()
        .content_type("application/json")
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-run", id.as_str());
    if is_ended {
        return Ok(response.body(complete_body(reader.run(), &id, format).await?));
    }
    let body = stream::once(async move {
        reader.run().wait_until_ended().await;
        let body = complete_body(reader.run(), &id, format).await;
        Ok::<_, std::io::Error>(body.unwrap_or_else(|refusal| refusal.body()))
    });
    Ok(response.body(Body::from_bytes_stream(body.boxed())))
}

async fn complete_body(run: &Run, id: &RunId, format: ResponseFormat) -> Result<Vec<u8>, Refusal> {
    match run.progress_after(run.token_count()).await {
        Progress::End(end) if run.first() == 0 => {
            Ok(api::completion_json(format, id, &run.text(), end.prompt_tokens, end.tokens))
        }
        Progress::Failed(refusal) => Err(refusal),
        Progress::End(_) | Progress::Tokens(_) => {
            Err(Refusal::after_send(ErrorKind::UnknownRun, Ran::Maybe))
        }
    }
}

struct EventStream {
    reader: ReaderGuard,
    id: RunId,
    format: ResponseFormat,
    from: u32,
    is_ended: bool,
}

/// Responds with server-sent events from the token `from` on. The id of each event is the number of tokens up to and
/// including it, so that a caller can resume with `Last-Event-ID`.
pub(crate) fn streamed_response(
    reader: ReaderGuard,
    id: RunId,
    format: ResponseFormat,
    from: u32,
) -> Response {
    let run_header = id.to_string();
    let stream = EventStream { reader, id, format, from, is_ended: false };
    let events = stream::unfold(stream, |mut stream| async move {
        if stream.is_ended {
            return None;
        }
        let text = next_events(&mut stream).await;
        Some((Ok::<_, std::io::Error>(text), stream))
    });
    Response::builder()
        .content_type("text/event-stream")
        .header(RAN_HEADER, <&'static str>::from(Ran::Yes))
        .header("bilberryford-run", run_header)
        .body(Body::from_bytes_stream(events.boxed()))
}

async fn next_events(stream: &mut EventStream) -> Vec<u8> {
    let mut out = Vec::new();
    match stream.reader.run().progress_after(stream.from).await {
        Progress::Tokens(tokens) => {
            for token in tokens {
                stream.from += 1;
                write_event(
                    &mut out,
                    stream.from,
                    &api::chunk_json(stream.format, &stream.id, &token, false),
                );
            }
        }
        Progress::End(_) => {
            write_event(
                &mut out,
                stream.from,
                &api::chunk_json(stream.format, &stream.id, "", true),
            );
            write_event(&mut out, stream.from, b"[DONE]");
            stream.is_ended = true;
        }
        Progress::Failed(refusal) => {
            // Without the end marker, so that the caller can tell that the response is incomplete.
            out = refusal.into_event();
            stream.is_ended = true;
        }
    }
    out
}

fn write_event(out: &mut Vec<u8>, id: u32, data: &[u8]) {
    out.extend_from_slice(format!("id: {id}\ndata: ").as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\n\n");
}
