//! `measure overhead`: what an instance adds between caller and engine, both paths interleaved in one run.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_endpoint::wire::CompletionBody;
use bilberryford_types::{Priority, Tokens};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::{sync::Mutex, task::JoinSet};

use crate::{
    deployment::{Deployment, DeploymentSpec},
    engine::EngineSpec,
    load::{Caller, Outcome},
    process::{Instance, cpu_seconds, find_binary, resident_mb},
};

/// The rate at which latency is measured.
const PACED_RATE_PER_S: u64 = 500;
/// How long latency is measured.
const PACED_TIME_S: u64 = 10;
/// How many callers press at once when the rate is measured.
const PRESSING_CALLERS: usize = 64;
/// How long the rate is measured.
const PRESS_TIME_S: u64 = 5;

/// The length of a short answer in tokens.
const SHORT_TOKENS: u32 = 2;
/// The length of a long answer in tokens.
const LONG_TOKENS: u32 = 200;
/// The time between the tokens of a long answer, in milliseconds.
const LONG_GAP_MS: u64 = 10;
/// How long an instance may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// What was measured.
#[derive(Debug, Serialize)]
pub struct Report {
    /// First token straight from the engine.
    pub direct_p50_ms: f64,
    /// See `direct_p50_ms`.
    pub direct_p99_ms: f64,
    /// First token through one instance.
    pub through_p50_ms: f64,
    /// See `through_p50_ms`.
    pub through_p99_ms: f64,
    /// The difference of the medians.
    pub added_p50_ms: f64,
    /// The difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Short requests a second through one instance under pressure.
    pub requests_per_s: f64,
    /// Processor time of the instance for a short request.
    pub processor_us_per_request: f64,
    /// Processor time of the instance for a token of a long streamed answer.
    pub processor_us_per_token: f64,
    /// Requests that were not answered whole.
    pub not_whole: u64,
    /// Resident memory of an idle instance.
    pub idle_memory_mb: f64,
}

struct Bench {
    deployment: Deployment,
}

/// Measures and prints.
///
/// # Errors
///
/// When a process can't be started.
pub async fn run(json: bool) -> io::Result<()> {
    let bench = Bench::start(0).await?;
    let idle_memory_mb = resident_mb(bench.instance().id());
    let (direct, through, not_whole) = bench.paced().await;
    let short = bench.pressed(SHORT_TOKENS, false).await;
    bench.stop();
    let bench = Bench::start(LONG_GAP_MS).await?;
    let long = bench.pressed(LONG_TOKENS, true).await;
    bench.stop();
    let ms = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    let report = Report {
        direct_p50_ms: ms(&direct, 0.5),
        direct_p99_ms: ms(&direct, 0.99),
        through_p50_ms: ms(&through, 0.5),
        through_p99_ms: ms(&through, 0.99),
        added_p50_ms: ms(&through, 0.5) - ms(&direct, 0.5),
        added_p99_ms: ms(&through, 0.99) - ms(&direct, 0.99),
        requests_per_s: short.requests_per_s,
        processor_us_per_request: short.processor_us,
        processor_us_per_token: long.processor_us / f64::from(LONG_TOKENS),
        not_whole: not_whole + short.lost + long.lost,
        idle_memory_mb,
    };
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}

/// What callers got who sent one request after the other.
#[derive(Debug, Clone, Copy)]
struct Pressed {
    requests_per_s: f64,
    lost: u64,
    /// Processor time of the instance for each request.
    processor_us: f64,
}

impl Bench {
    async fn start(token_gap_ms: u64) -> io::Result<Self> {
        let version = "v1".parse().map_err(io::Error::other)?;
        let engine = EngineSpec {
            slots: 4_096,
            prefill_tokens_per_s: 0,
            token_gap_ms,
            ..EngineSpec::new(version)
        };
        let spec = DeploymentSpec {
            binary: find_binary()?,
            name: "entry",
            environment: "trial",
            document: include_str!("../../../examples/demo.toml"),
            engine_pool: "serving",
            service_pool: "desk",
            data_centres: &["linz-1"],
            instances: 1,
            engines: 1,
            engine,
            services: 0,
            flags: Vec::new(),
        };
        Ok(Self { deployment: Deployment::start(spec, READY_LIMIT).await? })
    }

    fn instance(&self) -> &Instance {
        &self.deployment.instances[0]
    }

    fn engine_url(&self) -> String {
        self.deployment.engines[0].host.url()
    }

    fn stop(mut self) {
        for instance in self.deployment.instances.drain(..) {
            instance.stop(Duration::from_secs(5));
        }
    }

    /// Alternates between the two paths at a fixed rate.
    async fn paced(&self) -> (Histogram<u64>, Histogram<u64>, u64) {
        let empty = || {
            Histogram::<u64>::new_with_max(60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        let results = Arc::new(Mutex::new((empty(), empty(), 0_u64)));
        let caller = self.caller();
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / PACED_RATE_PER_S));
        for number in 0..PACED_RATE_PER_S * PACED_TIME_S {
            ticks.tick().await;
            let results = results.clone();
            let (client, engine_url) = (self.deployment.client.clone(), self.engine_url());
            let (caller, url) = (caller.clone(), self.instance().url());
            tasks.spawn(async move {
                let prompt = format!("a short question, number {number}");
                if number % 2 == 0 {
                    let first = direct(&client, &engine_url, &prompt, number).await;
                    let mut results = results.lock().await;
                    match first {
                        Some(first) => results.0.saturating_record(micros(first)),
                        None => results.2 += 1,
                    }
                } else {
                    let seen = caller.prompt(&url, "assistant", &prompt, 8, true).await;
                    let mut results = results.lock().await;
                    match seen.outcome {
                        Outcome::Complete => results.1.saturating_record(micros(seen.first_token)),
                        _ => results.2 += 1,
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let results = results.lock().await;
        (results.0.clone(), results.1.clone(), results.2)
    }

    /// As many requests as one instance takes from a fixed number of callers.
    async fn pressed(&self, tokens: u32, stream: bool) -> Pressed {
        let started = Instant::now();
        let until = started + Duration::from_secs(PRESS_TIME_S);
        let processor_s = cpu_seconds(self.instance().id());
        let mut tasks = JoinSet::new();
        for number in 0..PRESSING_CALLERS {
            let caller = self.caller();
            let url = self.instance().url();
            tasks.spawn(async move {
                let (mut whole, mut lost) = (0_u64, 0_u64);
                while Instant::now() < until {
                    let prompt = format!("a question of caller {number}");
                    match caller.prompt(&url, "assistant", &prompt, tokens, stream).await.outcome {
                        Outcome::Complete => whole += 1,
                        _ => lost += 1,
                    }
                }
                (whole, lost)
            });
        }
        let (mut whole, mut lost) = (0, 0);
        while let Some(Ok(part)) = tasks.join_next().await {
            whole += part.0;
            lost += part.1;
        }
        let spent_s = cpu_seconds(self.instance().id()) - processor_s;
        Pressed {
            requests_per_s: whole as f64 / started.elapsed().as_secs_f64(),
            lost,
            processor_us: spent_s * 1e6 / whole as f64,
        }
    }

    fn caller(&self) -> Caller {
        Caller::new(self.deployment.client.clone(), "demo-key-linz-formula", &["v1"])
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// The first token straight from the engine.
async fn direct(
    client: &reqwest::Client,
    url: &str,
    prompt: &str,
    number: u64,
) -> Option<Duration> {
    let started = Instant::now();
    let body = CompletionBody {
        model: "assistant".parse().ok()?,
        prompt: prompt.to_owned(),
        max_tokens: Tokens(8),
        stream: true,
        attempt: format!("direct-{number}").parse().ok()?,
        team: "linz-formula".parse().ok()?,
        weight_version: "v1".parse().ok()?,
        priority: Priority::Standard,
        skip_tokens: Tokens(0),
        given: String::new(),
    };
    let response = client.post(format!("{url}/v1/completions")).json(&body).send().await.ok()?;
    let mut events = response.bytes_stream().eventsource();
    events.next().await?.ok()?;
    let first = started.elapsed();
    while events.next().await.is_some() {}
    Some(first)
}
