//! The HTTP routes of the platform.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::wire::{InstancesBody, ListBody, entity_tag, parse_entity_tag};
use bilberryford_types::ObjectVersion;
use poem::{
    EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::{Method, StatusCode},
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;
use tokio::time::{Instant, sleep, timeout};

use super::{Faults, Platform, Stats, WriteRequest, list_item};

/// The largest body of an object in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

pub(super) fn routes(platform: Arc<Platform>) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/objects/:kind", get(list_objects))
        .at("/objects/:kind/:name", get(read_object).put(write_object).delete(write_object))
        .at("/watch/:kind", get(watch_kind))
        .at("/instances", get(read_instances).put(put_instances))
        .at("/faults", post(replace_faults))
        .at("/book", get(show_stats))
        .data(platform.clone())
        .map_to_response()
        .around(move |app, request| count_bytes(platform.clone(), app, request))
        .boxed()
}

/// Counts the bytes of the bodies of a call and its response.
async fn count_bytes<E: poem::Endpoint<Output = Response>>(
    platform: Arc<Platform>,
    app: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let received =
        request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let (parts, body) = app.call(request).await?.into_parts();
    let body = body.into_bytes().await.map_err(poem::error::InternalServerError)?;
    platform.state.lock().stats.bytes += received + body.len() as u64;
    Ok(Response::from_parts(parts, body.into()))
}

#[handler]
async fn read_object(
    Data(platform): Data<&Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    match platform.admit(|stats| stats.gets += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let state = platform.state.lock();
    match state.objects.get(&(kind, name)) {
        None => StatusCode::NOT_FOUND.into_response(),
        Some(stored) => Response::builder()
            .header("etag", entity_tag(ObjectVersion::new(stored.version)))
            .body(stored.body.clone()),
    }
}

#[handler]
async fn write_object(
    request: &Request,
    Data(platform): Data<&Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
    body: String,
) -> Response {
    match platform.admit(|stats| stats.puts += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    if body.len() > MAX_OBJECT_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let if_match = request.header("if-match").and_then(parse_entity_tag);
    let expected = match (if_match, request.header("if-none-match")) {
        (Some(version), _) => version.revision(),
        (None, Some("*")) => 0,
        _ => return StatusCode::PRECONDITION_REQUIRED.into_response(),
    };
    let body = (request.method() == Method::PUT).then_some(body);
    let write = WriteRequest { kind, name, expected, body };
    let kind = write.kind.clone();
    if let Some(delay) = consume_delayed_write(platform, &kind) {
        let platform = platform.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = platform.write(write);
        });
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let written = platform.write(write);
    let answer_slow_ms = platform.state.lock().faults.answer_slow_ms;
    sleep(Duration::from_millis(answer_slow_ms)).await;
    match written {
        Ok(_) if consume_lost_response(platform, &kind) => {
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
        Ok(version) => {
            Response::builder().header("etag", entity_tag(ObjectVersion::new(version))).finish()
        }
        Err(current) => Response::builder()
            .status(StatusCode::PRECONDITION_FAILED)
            .header("etag", entity_tag(ObjectVersion::new(current)))
            .finish(),
    }
}

fn consume_delayed_write(platform: &Platform, kind: &str) -> Option<Duration> {
    let mut state = platform.state.lock();
    if !state.faults.applies_to(kind) {
        return None;
    }
    let delay = Duration::from_millis(state.faults.delay_ms);
    state.faults.delay_writes = state.faults.delay_writes.checked_sub(1)?;
    Some(delay)
}

fn consume_lost_response(platform: &Platform, kind: &str) -> bool {
    let mut state = platform.state.lock();
    if !state.faults.applies_to(kind) {
        return false;
    }
    match state.faults.lose_answers.checked_sub(1) {
        Some(remaining) => {
            state.faults.lose_answers = remaining;
            true
        }
        None => false,
    }
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[handler]
async fn list_objects(
    Data(platform): Data<&Arc<Platform>>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    match platform.admit(|stats| stats.lists += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let state = platform.state.lock();
    let items = state
        .objects
        .iter()
        .filter(|((object_kind, name), _)| *object_kind == kind && name.starts_with(&query.prefix))
        .filter_map(|((_, name), stored)| {
            list_item(name, stored.version, Some(stored.body.clone()))
        })
        .collect();
    Json(ListBody { version: ObjectVersion::new(state.version), items }).into_response()
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

#[handler]
async fn watch_kind(
    Data(platform): Data<&Arc<Platform>>,
    Path(kind): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    match platform.admit(|stats| stats.watches += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let mut changes = platform.changed.subscribe();
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let Some(body) = platform.changes_since(&kind, query.after) else {
            return StatusCode::GONE.into_response();
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !body.items.is_empty() || remaining.is_zero() {
            return Json(body).into_response();
        }
        let _ = timeout(remaining, changes.changed()).await;
    }
}

#[handler]
async fn read_instances(request: &Request, Data(platform): Data<&Arc<Platform>>) -> Response {
    match platform.admit(|stats| stats.instances += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let body = InstancesBody { instances: platform.visible_instances() };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let tag = format!("\"{}\"", blake3::hash(&body).to_hex());
    if request.header("if-none-match") == Some(tag.as_str()) {
        return StatusCode::NOT_MODIFIED.into_response();
    }
    Response::builder().content_type("application/json").header("etag", tag).body(body)
}

#[handler]
fn put_instances(
    Data(platform): Data<&Arc<Platform>>,
    Json(body): Json<InstancesBody>,
) -> StatusCode {
    platform.set_instances(body.instances);
    StatusCode::NO_CONTENT
}

#[handler]
fn replace_faults(Data(platform): Data<&Arc<Platform>>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_stats(Data(platform): Data<&Arc<Platform>>) -> Json<Stats> {
    Json(platform.stats())
}
