//! A model engine: a continuous batch, answers that can be resumed and cancelled, a load report.
//!
//! The wire format is that of `bilberryford_endpoint::wire`. A prompt that holds [`CRASH_MARKER`] ends the engine's life
//! together with every run in its batch.

mod book;
mod cache;
pub mod control;
mod faults;
pub mod kv;
mod reader;
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

use bilberryford_cache::prompt_tokens;
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

pub use book::Stats;
pub use faults::Faults;

/// A prompt with this mark crashes the engine that runs it.
pub const CRASH_MARKER: &str = "[[crash]]";

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Runs that generate at once.
    pub slots: u32,
    /// Prefill speed in tokens a second; 0 for no time at all.
    pub prefill_tokens_per_s: u32,
    /// Time between tokens in milliseconds.
    pub token_gap_ms: u64,
    /// How long a crash lasts, in milliseconds.
    pub restart_ms: u64,
    /// How many blocks the prefix cache holds.
    pub cache_blocks: usize,
    /// The weight versions that it has.
    pub weight_versions: Vec<WeightVersion>,
    /// How it takes orders.
    pub control: control::ControlSpec,
}

impl EngineSpec {
    /// An engine with the given weight version and moderate speed.
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

/// An engine's settings and book, which outlive a crash.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    faults: Mutex<Faults>,
    book: Mutex<Stats>,
    /// What it was given.
    pub ledger: RunLedger,
    /// The orders that it was sent.
    pub control: control::ControlLedger,
}

impl Engine {
    /// An engine that is not yet started.
    pub fn new(spec: EngineSpec) -> Arc<Self> {
        Arc::new(Self {
            spec,
            faults: Mutex::default(),
            book: Mutex::default(),
            ledger: RunLedger::default(),
            control: control::ControlLedger::default(),
        })
    }

    /// Starts it over HTTP.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let engine = self.clone();
        let restart = Duration::from_millis(self.spec.restart_ms);
        host(listen, restart, move |exits| routes(Arc::new(Life::new(engine.clone(), exits))))
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// What really ran.
    pub fn stats(&self) -> Stats {
        self.book.lock().clone()
    }
}

/// One run's output so far.
#[derive(Debug)]
struct Output {
    tokens: watch::Sender<u32>,
    seed: AtomicU64,
    first: u32,
    total: u32,
    prompt_tokens: Tokens,
    cached_tokens: AtomicU32,
}

/// One life of an engine, from start to crash.
struct Life {
    engine: Arc<Engine>,
    exits: CrashHandle,
    slots: Arc<Semaphore>,
    prefill: tokio::sync::Mutex<()>,
    backlog: AtomicU32,
    cache: cache::LifeCache,
    client: reqwest::Client,
    runs: Mutex<HashMap<AttemptId, Arc<Output>>>,
    started: Instant,
    control: Arc<control::Control>,
    waiting: AtomicU32,
}

impl Life {
    fn new(engine: Arc<Engine>, exits: CrashHandle) -> Self {
        let slots = Arc::new(Semaphore::new(engine.spec.slots as usize));
        let prefill = tokio::sync::Mutex::default();
        let spec = &engine.spec;
        let control = control::Control::new(spec.control.clone(), spec.weight_versions.clone());
        let started = Instant::now();
        Self {
            cache: cache::LifeCache::new(engine.spec.cache_blocks),
            client: reqwest::Client::new(),
            engine,
            exits,
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
            self.engine.book.lock().refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if !self.control.served().contains(&body.weight_version) {
            self.engine.book.lock().wrong_version += 1;
            return Err(StatusCode::CONFLICT);
        }
        self.engine.ledger.record(&body);
        let seed = answer::seed(&body.prompt, body.weight_version.as_str());
        let first = body.skip_tokens.get();
        let mut book = self.engine.book.lock();
        book.started += 1;
        if answer::full_text(&body.prompt, body.weight_version.as_str(), first) != body.given {
            book.bad_continuations += 1;
        }
        drop(book);
        let output = Arc::new(Output {
            tokens: watch::Sender::new(first),
            seed: AtomicU64::new(seed),
            first,
            total: body.max_tokens.get(),
            prompt_tokens: prompt_tokens(&body.prompt),
            cached_tokens: AtomicU32::new(0),
        });
        self.runs.lock().insert(body.attempt.clone(), output.clone());
        tokio::spawn(self.clone().generate(body, output.clone()));
        Ok(output)
    }

    async fn generate(self: Arc<Self>, body: CompletionBody, output: Arc<Output>) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let slot = self.slots.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Ok(_slot) = slot else { return };
        let found = self.cache.find(&body);
        if found.bad_blocks > 0 {
            // What is computed on bad blocks is a bad answer.
            output.seed.fetch_xor(1, Ordering::AcqRel);
        }
        self.engine.book.lock().found(found);
        let cached = found.tokens();
        output.cached_tokens.store(cached.get(), Ordering::Release);
        self.prefill(Tokens(output.prompt_tokens.get().saturating_sub(cached.get()))).await;
        self.cache.keep(&body);
        if body.prompt.contains(CRASH_MARKER) {
            let mut book = self.engine.book.lock();
            book.crashes += 1;
            *book
                .crashes_by_prompt
                .entry(blake3::hash(body.prompt.as_bytes()).to_hex().to_string())
                .or_default() += 1;
            drop(book);
            self.exits.crash();
            return;
        }
        let gap = Duration::from_millis(self.engine.spec.token_gap_ms);
        let mut due = Instant::now();
        for count in output.first + 1..=output.total {
            let slow = Duration::from_millis(self.engine.faults.lock().slow_ms);
            due += gap + slow;
            if !(gap + slow).is_zero() {
                sleep_until(due).await;
            }
            output.tokens.send_replace(count);
            if !self.runs.lock().contains_key(&body.attempt) {
                return;
            }
        }
        self.engine.book.lock().finished += 1;
    }

    async fn prefill(&self, tokens: Tokens) {
        let speed = self.engine.spec.prefill_tokens_per_s;
        if speed == 0 {
            return;
        }
        self.backlog.fetch_add(tokens.get(), Ordering::Relaxed);
        let _turn = self.prefill.lock().await;
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
        let reader = reader::Reader::new(self.engine.clone(), attempt, output, from, is_resumed);
        Response::builder()
            .content_type("text/event-stream")
            .body(Body::from_bytes_stream(reader.events().boxed()))
    }
}

fn routes(life: Arc<Life>) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/v1/completions", post(completions))
        .at("/v1/attempts/:attempt", get(resume).delete(cancel))
        .at("/load", get(load))
        .at("/cache/events", get(cache::cache_events))
        .at("/cache/snapshot", get(cache::cache_snapshot))
        .at("/kv/import", post(transfer::take_import))
        .at("/kv/export", post(transfer::take_export))
        .at("/control", get(control::show_report))
        .at("/control/weights", poem::put(control::take_order))
        .at("/faults", post(switch_faults))
        .at("/book", get(show_book))
        .data(life)
        .map_to_response()
        .boxed()
}

#[handler]
async fn completions(Data(life): Data<&Arc<Life>>, Json(body): Json<CompletionBody>) -> Response {
    reader::thaw(&life.engine).await;
    let attempt = body.attempt.clone();
    let from = body.skip_tokens.get();
    match life.start(body) {
        Ok(_) if life.engine.faults.lock().take_mute_start() => std::future::pending().await,
        Ok(output) => life.stream(attempt, output, from, false),
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
    Data(life): Data<&Arc<Life>>,
    Path(attempt): Path<String>,
    Query(query): Query<ResumeQuery>,
) -> Response {
    reader::thaw(&life.engine).await;
    let Ok(attempt) = attempt.parse::<AttemptId>() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let output = life.runs.lock().get(&attempt).cloned();
    match output {
        // An attempt that was continued from elsewhere does not have the tokens before it.
        Some(output) if query.from >= output.first => {
            life.engine.book.lock().resumed += 1;
            life.stream(attempt, output, query.from, true)
        }
        _ => StatusCode::NOT_FOUND.into_response(),
    }
}

#[handler]
fn cancel(Data(life): Data<&Arc<Life>>, Path(attempt): Path<String>) -> StatusCode {
    let known =
        attempt.parse::<AttemptId>().ok().and_then(|attempt| life.runs.lock().remove(&attempt));
    if known.is_none() {
        return StatusCode::NOT_FOUND;
    }
    life.engine.book.lock().cancelled += 1;
    StatusCode::NO_CONTENT
}

#[handler]
fn load(Data(life): Data<&Arc<Life>>) -> Json<LoadReport> {
    let slots = life.engine.spec.slots;
    let running = slots - u32::try_from(life.slots.available_permits()).unwrap_or(slots);
    Json(LoadReport {
        taken_ms: TimeMs(u64::try_from(life.started.elapsed().as_millis()).unwrap_or(u64::MAX)),
        running,
        waiting: life.waiting.load(Ordering::Relaxed),
        backlog: Tokens(life.backlog.load(Ordering::Relaxed)),
        slots,
        cache_tokens: Tokens(0),
        weight_versions: life.control.served(),
    })
}

#[handler]
fn switch_faults(Data(life): Data<&Arc<Life>>, Json(faults): Json<Faults>) -> StatusCode {
    life.engine.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_book(Data(life): Data<&Arc<Life>>) -> Json<Stats> {
    Json(life.engine.stats())
}
