//! The platform: an object API with versions, conditional updates and watches, and a lagging list of instances.
//!
//! The wire format is that of `bilberryford_platform::wire`. Every call is counted, a waiting watch as one. Faults:
//! outage, slowness, a rate limit, answers lost after the write took effect, writes that take effect later, a list
//! that lags or is frozen.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bilberryford_platform::{
    InstanceRecord,
    wire::{InstancesBody, ListBody, ListItem, entity_tag, tag_version},
};
use bilberryford_types::{ObjectName, ObjectVersion};
use parking_lot::Mutex;
use poem::{
    EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::{Method, StatusCode},
    post,
    web::{Data, Json, Path, Query},
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::host::{Hosted, host};

/// How many changes are kept for watches.
const KEPT_CHANGES: usize = 4_096;
/// The largest object in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

/// What can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503 and nothing is done.
    pub outage: bool,
    /// Every call waits that long first, in milliseconds.
    pub slow_ms: u64,
    /// Writes take effect and are answered that much later, in milliseconds.
    pub answer_slow_ms: u64,
    /// That many next writes take effect, but their answers are lost.
    pub lose_answers: u32,
    /// `lose_answers` and `delay_writes` hold for writes of this kind only; empty for all kinds.
    pub only_kind: String,
    /// That many next writes are answered with 500 and take effect after `delay_ms`.
    pub delay_writes: u32,
    /// See `delay_writes`, in milliseconds.
    pub delay_ms: u64,
    /// The list of instances is as it was that long ago, in milliseconds.
    pub list_lag_ms: u64,
    /// The list of instances does not change any more.
    pub list_frozen: bool,
    /// The most calls a second; 0 for no limit.
    pub max_calls_per_s: u32,
}

/// Calls as counted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Book {
    /// Reads of one object.
    pub gets: u64,
    /// Writes and deletes.
    pub puts: u64,
    /// Lists.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Reads of the list of instances.
    pub instances: u64,
    /// Writes whose precondition did not hold.
    pub conflicts: u64,
    /// Calls refused by the rate limit or an outage.
    pub refused: u64,
    /// Bytes of bodies that went in and out.
    pub bytes: u64,
}

impl Book {
    /// All calls that the platform counts.
    pub const fn calls(&self) -> u64 {
        self.gets + self.puts + self.lists + self.watches + self.instances
    }
}

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    body: String,
}

#[derive(Debug, Clone)]
struct Changed {
    version: u64,
    kind: String,
    name: String,
    body: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<(String, String), Stored>,
    changes: VecDeque<Changed>,
    instances: Vec<InstanceRecord>,
    listed: VecDeque<(std::time::Instant, Vec<InstanceRecord>)>,
    faults: Faults,
    book: Book,
    window: Option<(std::time::Instant, u32)>,
}

/// The platform's state; it outlives a crash of the process in front of it.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl Platform {
    /// Starts it over HTTP.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<Hosted> {
        let platform = self.clone();
        host(listen, Duration::from_millis(50), move |_| routes(platform.clone()))
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<InstanceRecord>) {
        let mut state = self.state.lock();
        state.instances = instances.clone();
        state.listed.push_back((std::time::Instant::now(), instances));
        if state.listed.len() > 1_024 {
            state.listed.pop_front();
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        if faults.list_frozen && !state.faults.list_frozen {
            let latest = state.listed.pop_back();
            state.listed = latest.into_iter().collect();
        }
        state.faults = faults;
    }

    /// The calls so far.
    pub fn book(&self) -> Book {
        self.state.lock().book.clone()
    }

    /// All objects of a kind, as stored.
    pub fn objects(&self, kind: &str) -> Vec<(String, String)> {
        let state = self.state.lock();
        let of_kind = state.objects.iter().filter(|((found, _), _)| found == kind);
        of_kind.map(|((_, name), stored)| (name.clone(), stored.body.clone())).collect()
    }

    fn write(&self, write: Write) -> Result<u64, u64> {
        let mut state = self.state.lock();
        let key = (write.kind.clone(), write.name.clone());
        let current = state.objects.get(&key).map_or(0, |stored| stored.version);
        if current != write.expected {
            state.book.conflicts += 1;
            return Err(current);
        }
        state.version += 1;
        let version = state.version;
        match &write.body {
            Some(body) => drop(state.objects.insert(key, Stored { version, body: body.clone() })),
            None => drop(state.objects.remove(&key)),
        }
        state.changes.push_back(Changed {
            version,
            kind: write.kind,
            name: write.name,
            body: write.body,
        });
        if state.changes.len() > KEPT_CHANGES {
            state.changes.pop_front();
        }
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Counts a call, and answers how long it waits or that it is refused.
    fn admit(&self, count: impl FnOnce(&mut Book)) -> Result<Duration, StatusCode> {
        let mut state = self.state.lock();
        count(&mut state.book);
        let now = std::time::Instant::now();
        let (since, calls) = state.window.unwrap_or((now, 0));
        let is_fresh = now.duration_since(since) >= Duration::from_secs(1);
        let (since, calls) = if is_fresh { (now, 1) } else { (since, calls + 1) };
        state.window = Some((since, calls));
        let limit = state.faults.max_calls_per_s;
        if limit > 0 && calls > limit {
            state.book.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        if state.faults.outage {
            state.book.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(Duration::from_millis(state.faults.slow_ms))
    }

    fn changes(&self, kind: &str, after: u64) -> Option<ListBody> {
        let state = self.state.lock();
        let oldest = state.changes.front().map_or(state.version + 1, |change| change.version);
        if after + 1 < oldest && after < state.version {
            return None;
        }
        let items = state
            .changes
            .iter()
            .filter(|change| change.version > after && change.kind == kind)
            .filter_map(|change| item(&change.name, change.version, change.body.clone()))
            .collect();
        Some(ListBody { version: ObjectVersion(state.version), items })
    }

    fn listed(&self) -> Vec<InstanceRecord> {
        let state = self.state.lock();
        if state.faults.list_frozen {
            return state.listed.front().map(|(_, list)| list.clone()).unwrap_or_default();
        }
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let seen = state.listed.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Write {
    kind: String,
    name: String,
    expected: u64,
    body: Option<String>,
}

fn item(name: &str, version: u64, body: Option<String>) -> Option<ListItem> {
    let name: ObjectName = name.parse().ok()?;
    Some(ListItem { name, version: ObjectVersion(version), body })
}

fn routes(platform: Arc<Platform>) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/objects/:kind", get(list_objects))
        .at("/objects/:kind/:name", get(read_object).put(write_object).delete(write_object))
        .at("/watch/:kind", get(watch_kind))
        .at("/instances", get(read_instances).put(put_instances))
        .at("/faults", post(switch_faults))
        .at("/book", get(show_book))
        .data(platform.clone())
        .map_to_response()
        .around(move |app, request| count_bytes(platform.clone(), app, request))
        .boxed()
}

/// Counts the bodies of a call and its answer.
async fn count_bytes<E: poem::Endpoint<Output = Response>>(
    platform: Arc<Platform>,
    app: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    let taken =
        request.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let (parts, body) = app.call(request).await?.into_parts();
    let body = body.into_bytes().await.map_err(poem::error::InternalServerError)?;
    platform.state.lock().book.bytes += taken + body.len() as u64;
    Ok(Response::from_parts(parts, body.into()))
}

#[handler]
async fn read_object(
    Data(platform): Data<&Arc<Platform>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    match platform.admit(|book| book.gets += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let state = platform.state.lock();
    match state.objects.get(&(kind, name)) {
        None => StatusCode::NOT_FOUND.into_response(),
        Some(stored) => Response::builder()
            .header("etag", entity_tag(ObjectVersion(stored.version)))
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
    match platform.admit(|book| book.puts += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    if body.len() > MAX_OBJECT_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let if_match = request.header("if-match").and_then(tag_version);
    let expected = match (if_match, request.header("if-none-match")) {
        (Some(version), _) => version.get(),
        (None, Some("*")) => 0,
        _ => return StatusCode::PRECONDITION_REQUIRED.into_response(),
    };
    let body = (request.method() == Method::PUT).then_some(body);
    let write = Write { kind, name, expected, body };
    let kind = write.kind.clone();
    if let Some(delay) = take_delay(platform, &kind) {
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
        Ok(_) if take_loss(platform, &kind) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Ok(version) => {
            Response::builder().header("etag", entity_tag(ObjectVersion(version))).finish()
        }
        Err(current) => Response::builder()
            .status(StatusCode::PRECONDITION_FAILED)
            .header("etag", entity_tag(ObjectVersion(current)))
            .finish(),
    }
}

impl Faults {
    fn holds_for(&self, kind: &str) -> bool {
        self.only_kind.is_empty() || self.only_kind == kind
    }
}

fn take_delay(platform: &Platform, kind: &str) -> Option<Duration> {
    let mut state = platform.state.lock();
    if !state.faults.holds_for(kind) {
        return None;
    }
    let delay = Duration::from_millis(state.faults.delay_ms);
    state.faults.delay_writes = state.faults.delay_writes.checked_sub(1)?;
    Some(delay)
}

fn take_loss(platform: &Platform, kind: &str) -> bool {
    let mut state = platform.state.lock();
    if !state.faults.holds_for(kind) {
        return false;
    }
    match state.faults.lose_answers.checked_sub(1) {
        Some(rest) => {
            state.faults.lose_answers = rest;
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
    match platform.admit(|book| book.lists += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let state = platform.state.lock();
    let items = state
        .objects
        .iter()
        .filter(|((found, name), _)| *found == kind && name.starts_with(&query.prefix))
        .filter_map(|((_, name), stored)| item(name, stored.version, Some(stored.body.clone())))
        .collect();
    Json(ListBody { version: ObjectVersion(state.version), items }).into_response()
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
    match platform.admit(|book| book.watches += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    let mut changed = platform.changed.subscribe();
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let Some(body) = platform.changes(&kind, query.after) else {
            return StatusCode::GONE.into_response();
        };
        let left = until.saturating_duration_since(Instant::now());
        if !body.items.is_empty() || left.is_zero() {
            return Json(body).into_response();
        }
        let _ = timeout(left, changed.changed()).await;
    }
}

#[handler]
async fn read_instances(Data(platform): Data<&Arc<Platform>>) -> Response {
    match platform.admit(|book| book.instances += 1) {
        Ok(wait) => sleep(wait).await,
        Err(status) => return status.into_response(),
    }
    Json(InstancesBody { instances: platform.listed() }).into_response()
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
fn switch_faults(Data(platform): Data<&Arc<Platform>>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_book(Data(platform): Data<&Arc<Platform>>) -> Json<Book> {
    Json(platform.book())
}
