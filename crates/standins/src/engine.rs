//! A model engine with continuous batching, runs that can be resumed and cancelled, and load reports.
//!
//! The wire format is that of `bilberryford_endpoint::wire`. A prompt that contains [`CRASH_MARKER`] crashes the engine,
//! which loses every run in its batch.

mod cache;
pub mod control;
mod faults;
pub mod kv;
mod reader;
mod stats;
mod transfer;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bilberryford_cache::estimate_prompt_tokens;
use bilberryford_endpoint::{LoadReport, wire::CompletionBody};
use bilberryford_types::{AttemptId, TimeMs, Tokens, WeightVersion};
use futures::StreamExt;
use parking_lot::Mutex;
use poem::{
    Body, EndpointExt, IntoResponse, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;
use tokio::{
    sync::{Semaphore, watch},
    time::{Instant, sleep_until},
};

use crate::{
    answer,
    host::{CrashHandle, ServerHandle, host},
    run_ledger::RunLedger,
};

pub use faults::Faults;
pub use stats::Stats;

/// A prompt that contains this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "[[crash]]";

/// The speed and capacity of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// The number of runs that generate concurrently.
    pub slots: u32,
    /// Prefill speed in tokens per second; with 0, prefill takes no time.
    pub prefill_tokens_per_s: u32,
    /// Time between tokens in milliseconds.
    pub token_gap_ms: u64,
    /// Time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// The weight versions that it serves at start.
    pub weight_versions: Vec<WeightVersion>,
    /// Its handling of weight orders.
    pub control: control::ControlSpec,
}

impl EngineSpec {
    /// Creates the specification of an engine with one weight version and moderate speed.
    pub fn new(weight_version: WeightVersion) -> Self {
        Self {
            slots: 16,
            prefill_tokens_per_s: 20_000,
            token_gap_ms: 5,
            restart_ms: 300,
            cache_blocks: 100,
            weight_versions: vec![weight_version],
            control: control::ControlSpec::default(),
        }
    }
}

/// An engine's settings and counters, which survive a crash.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
    /// The runs that it accepted.
    pub ledger: RunLedger,
    /// The weight orders that it received.
    pub control: control::ControlLedger,
}

impl Engine {
    /// Creates an engine; [`Engine::host`] starts it.
    pub fn new(spec: EngineSpec) -> Arc<Self> {
        Arc::new(Self {
            spec,
            faults: Mutex::default(),
            stats: Mutex::default(),
            ledger: RunLedger::default(),
            control: control::ControlLedger::default(),
        })
    }

    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let engine = self.clone();
        let restart = Duration::from_millis(self.spec.restart_ms);
        host(listen, restart, move |crash_handle| {
            routes(Arc::new(EngineProcess::new(engine.clone(), crash_handle)))
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Returns the counters of what the engine executed.
    pub fn stats(&self) -> Stats {
        self.stats.lock().clone()
    }
}

/// The output of one run so far.
#[derive(Debug)]
struct Output {
    tokens: watch::Sender<u32>,
    seed: AtomicU64,
    first_index: u32,
    total: u32,
    prompt_tokens: Tokens,
    cached_tokens: AtomicU32,
}

/// The state of one incarnation of an engine, from its start to its crash.
struct EngineProcess {
    engine: Arc<Engine>,
    crash_handle: CrashHandle,
    slots: Arc<Semaphore>,
    prefill: tokio::sync::Mutex<()>,
    backlog: AtomicU32,
    cache: cache::ProcessCache,
    client: reqwest::Client,
    runs: Mutex<HashMap<AttemptId, Arc<Output>>>,
    started: Instant,
    control: Arc<control::Control>,
    waiting: AtomicU32,
}

impl EngineProcess {
    fn new(engine: Arc<Engine>, crash_handle: CrashHandle) -> Self {
        let slots = Arc::new(Semaphore::new(engine.spec.slots as usize));
        let prefill = tokio::sync::Mutex::default();
        let spec = &engine.spec;
        let control = control::Control::new(spec.control.clone(), spec.weight_versions.clone());
        let started = Instant::now();
        Self {
            cache: cache::ProcessCache::new(engine.spec.cache_blocks),
            client: reqwest::Client::new(),
            engine,
            crash_handle,
            slots,
            prefill,
            runs: Mutex::default(),
            started,
            control,
            waiting: AtomicU32::new(0),
            backlog: AtomicU32::new(0),
        }
    }

    fn start(self: &Arc<Self>, body: CompletionBody) -> Result<Arc<Output>, StatusCode> {
        if self.engine.faults.lock().refuse || self.control.is_loading() {
            self.engine.stats.lock().refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !self.control.served().contains(&body.weight_version) {
            self.engine.stats.lock().wrong_version += 1;
            return Err(StatusCode::CONFLICT);
        }
        self.engine.ledger.record(&body);
        let seed = answer::seed(&body.prompt, body.weight_version.as_str());
        let first_index = body.skip_tokens.get();
        let mut stats = self.engine.stats.lock();
        stats.started += 1;
        if answer::full_text(&body.prompt, body.weight_version.as_str(), first_index) != body.given
        {
            stats.bad_continuations += 1;
        }
        drop(stats);
        let output = Arc::new(Output {
            tokens: watch::Sender::new(first_index),
            seed: AtomicU64::new(seed),
            first_index,
            total: body.max_tokens.get(),
            prompt_tokens: estimate_prompt_tokens(&body.prompt),
            cached_tokens: AtomicU32::new(0),
        });
        self.runs.lock().insert(body.attempt.clone(), output.clone());
        tokio::spawn(self.clone().generate(body, output.clone()));
        Ok(output)
    }

    async fn generate(self: Arc<Self>, body: CompletionBody, output: Arc<Output>) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let permit = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_permit) = permit else { return };
        let lookup = self.cache.look_up(&body);
        if lookup.bad_blocks > 0 {
            // Output that is computed from wrong blocks must differ from the expected text.
            output.seed.fetch_xor(1, Ordering::AcqRel);
        }
        self.engine.stats.lock().record_lookup(lookup);
        let cached = lookup.tokens();
        output.cached_tokens.store(cached.get(), Ordering::Release);
        self.prefill(Tokens(output.prompt_tokens.get().saturating_sub(cached.get()))).await;
        self.cache.insert_prompt(&body);
        if body.prompt.contains(CRASH_MARKER) {
            let mut stats = self.engine.stats.lock();
            stats.crashes += 1;
            *stats
                .crashes_by_prompt
                .entry(blake3::hash(body.prompt.as_bytes()).to_hex().to_string())
                .or_default() += 1;
            drop(stats);
            self.crash_handle.crash();
            return;
        }
        let gap = Duration::from_millis(self.engine.spec.token_gap_ms);
        let mut next_token_at = Instant::now();
        for count in output.first_index + 1..=output.total {
            let slow = Duration::from_millis(self.engine.faults.lock().slow_ms);
            next_token_at += gap + slow;
            if !(gap + slow).is_zero() {
                sleep_until(next_token_at).await;
            }
            output.tokens.send_replace(count);
            if !self.runs.lock().contains_key(&body.attempt) {
                return;
            }
        }
        self.engine.stats.lock().finished += 1;
    }

    async fn prefill(&self, tokens: Tokens) {
        let speed = self.engine.spec.prefill_tokens_per_s;
        if speed == 0 {
            return;
        }
        self.backlog.fetch_add(tokens.get(), Ordering::Relaxed);
        let _guard = self.prefill.lock().await;
        sleep_until(
            Instant::now() + Duration::from_secs_f64(f64::from(tokens.get()) / f64::from(speed)),
        )
        .await;
        self.backlog.fetch_sub(tokens.get(), Ordering::Relaxed);
    }

    fn stream(
        &self,
        attempt: AttemptId,
        output: Arc<Output>,
        from: u32,
        is_resumed: bool,
    ) -> Response {
        let reader =
            reader::OutputReader::new(self.engine.clone(), attempt, output, from, is_resumed);
        Response::builder()
            .content_type("text/event-stream")
            .body(Body::from_bytes_stream(reader.events().boxed()))
    }
}

fn routes(process: Arc<EngineProcess>) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/v1/completions", post(completions))
        .at("/v1/attempts/:attempt", get(resume).delete(cancel))
        .at("/load", get(load))
        .at("/cache/events", get(cache::cache_events))
        .at("/cache/snapshot", get(cache::cache_snapshot))
        .at("/kv/import", post(transfer::import_blocks))
        .at("/kv/export", post(transfer::export_blocks))
        .at("/control", get(control::show_report))
        .at("/control/weights", poem::put(control::receive_order))
        .at("/faults", post(replace_faults))
        .at("/book", get(show_stats))
        .data(process)
        .map_to_response()
        .boxed()
}

#[handler]
async fn completions(
    Data(process): Data<&Arc<EngineProcess>>,
    Json(body): Json<CompletionBody>,
) -> Response {
    reader::wait_while_frozen(&process.engine).await;
    let attempt = body.attempt.clone();
    let from = body.skip_tokens.get();
    match process.start(body) {
        Ok(_) if process.engine.faults.lock().consume_mute_start() => std::future::pending().await,
        Ok(output) => process.stream(attempt, output, from, false),
        Err(status) => status.into_response(),
    }
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u32,
}

#[handler]
async fn resume(
    Data(process): Data<&Arc<EngineProcess>>,
    Path(attempt): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    reader::wait_while_frozen(&process.engine).await;
    if process.engine.faults.lock().consume_failed_resume() {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let output = process.runs.lock().get(&attempt).cloned();
    match output {
        // An attempt that continues another engine's run does not have the tokens before its first one.
        Some(output) if query.from >= output.first_index => {
            process.engine.stats.lock().resumed += 1;
            process.stream(attempt, output, query.from, true)
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
fn cancel(Data(process): Data<&Arc<EngineProcess>>, Path(attempt): Path<String>) -> StatusCode {
    let cancelled =
        attempt.parse::<AttemptId>().ok().and_then(|attempt| process.runs.lock().remove(&attempt));
    if cancelled.is_none() {
        return StatusCode::NOT_FOUND;
    }
    process.engine.stats.lock().cancelled += 1;
    StatusCode::NO_CONTENT
}

#[handler]
fn load(Data(process): Data<&Arc<EngineProcess>>) -> Json<LoadReport> {
    let slots = process.engine.spec.slots;
    let running = slots - u32::try_from(process.slots.available_permits()).unwrap_or(slots);
    Json(LoadReport {
        taken_ms: TimeMs(u64::try_from(process.started.elapsed().as_millis()).unwrap_or(u64::MAX)),
        running,
        waiting: process.waiting.load(Ordering::Relaxed),
        backlog: Tokens(process.backlog.load(Ordering::Relaxed)),
        slots,
        cache_tokens: Tokens(0),
        weight_versions: process.control.served(),
    })
}

#[handler]
fn replace_faults(
    Data(process): Data<&Arc<EngineProcess>>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    process.engine.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_stats(Data(process): Data<&Arc<EngineProcess>>) -> Json<Stats> {
    Json(process.engine.stats())
}
