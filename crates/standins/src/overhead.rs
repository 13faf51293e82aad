//! `measure overhead`: measures the latency and CPU time that an instance adds between caller and engine. Direct and
//! proxied requests are interleaved in one run.

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

/// Request rate of the latency measurement.
const LATENCY_RATE_PER_S: u64 = 500;
const LATENCY_TIME_S: u64 = 10;
/// Concurrent callers of the throughput measurement.
const CONCURRENT_CALLERS: usize = 64;
const THROUGHPUT_TIME_S: u64 = 5;

const SHORT_TOKENS: u32 = 2;
const LONG_TOKENS: u32 = 200;
/// Time between the tokens of a long answer.
const LONG_GAP_MS: u64 = 10;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The measured latency, throughput, CPU time and memory.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Median time to the first token, directly from the engine.
    pub direct_p50_ms: f64,
    /// 99th percentile of the time to the first token, directly from the engine.
    pub direct_p99_ms: f64,
    /// Median time to the first token through one instance.
    pub through_p50_ms: f64,
    /// 99th percentile of the time to the first token through one instance.
    pub through_p99_ms: f64,
    /// The difference of the medians.
    pub added_p50_ms: f64,
    /// The difference of the 99th percentiles.
    pub added_p99_ms: f64,
    /// Throughput of short requests through one instance.
    pub requests_per_s: f64,
    /// CPU time of the instance per short request.
    pub processor_us_per_request: f64,
    /// CPU time of the instance per token of a long streamed answer.
    pub processor_us_per_token: f64,
    /// Requests without a complete response.
    pub not_whole: u64,
    /// Resident memory of an idle instance.
    pub idle_memory_mb: f64,
}

struct Bench {
    deployment: Deployment,
}

/// Runs all measurements and prints the report.
///
/// # Errors
///
/// Returns an error if a process can't be started or does not become ready in time.
pub async fn run(json: bool) -> io::Result<()> {
    let bench = Bench::start(0).await?;
    let idle_memory_mb = resident_mb(bench.instance().id());
    let (direct, through, not_whole) = bench.measure_latency().await;
    let short = bench.measure_throughput(SHORT_TOKENS, false).await;
    bench.stop();
    let bench = Bench::start(LONG_GAP_MS).await?;
    let long = bench.measure_throughput(LONG_TOKENS, true).await;
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
        processor_us_per_request: short.cpu_us,
        processor_us_per_token: long.cpu_us / f64::from(LONG_TOKENS),
        not_whole: not_whole + short.failed + long.failed,
        idle_memory_mb,
    };
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}

/// The result of callers that send requests back to back.
#[derive(Debug, Clone, Copy)]
struct Throughput {
    requests_per_s: f64,
    failed: u64,
    /// CPU time of the instance per request.
    cpu_us: f64,
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
        Ok(Self { deployment: Deployment::start(spec, READY_TIMEOUT).await? })
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

    /// Measures the time to the first token, alternating between the two paths at a fixed rate. Returns the direct and
    /// the proxied latencies in microseconds, and the number of failed requests.
    async fn measure_latency(&self) -> (Histogram<u64>, Histogram<u64>, u64) {
        let empty = || {
            Histogram::<u64>::new_with_max(60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        let results = Arc::new(Mutex::new((empty(), empty(), 0_u64)));
        let caller = self.caller();
        let mut tasks = JoinSet::new();
        let mut ticks =
            tokio::time::interval(Duration::from_micros(1_000_000 / LATENCY_RATE_PER_S));
        for number in 0..LATENCY_RATE_PER_S * LATENCY_TIME_S {
            ticks.tick().await;
            let results = results.clone();
            let (client, engine_url) = (self.deployment.client.clone(), self.engine_url());
            let (caller, url) = (caller.clone(), self.instance().url());
            tasks.spawn(async move {
                let prompt = format!("a short question, number {number}");
                if number % 2 == 0 {
                    let first = direct_first_token(&client, &engine_url, &prompt, number).await;
                    let mut results = results.lock().await;
                    match first {
                        Some(first) => results.0.saturating_record(micros(first)),
                        None => results.2 += 1,
                    }
                } else {
                    let result = caller.prompt(&url, "assistant", &prompt, 8, true).await;
                    let mut results = results.lock().await;
                    match result.outcome {
                        Outcome::Complete => {
                            results.1.saturating_record(micros(result.first_token))
                        }
                        _ => results.2 += 1,
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let results = results.lock().await;
        (results.0.clone(), results.1.clone(), results.2)
    }

    /// Measures how many requests one instance serves for a fixed number of callers.
    async fn measure_throughput(&self, tokens: u32, stream: bool) -> Throughput {
        let started = Instant::now();
        let until = started + Duration::from_secs(THROUGHPUT_TIME_S);
        let cpu_s_before = cpu_seconds(self.instance().id());
        let mut tasks = JoinSet::new();
        for number in 0..CONCURRENT_CALLERS {
            let caller = self.caller();
            let url = self.instance().url();
            tasks.spawn(async move {
                let (mut complete, mut failed) = (0_u64, 0_u64);
                while Instant::now() < until {
                    let prompt = format!("a question of caller {number}");
                    match caller.prompt(&url, "assistant", &prompt, tokens, stream).await.outcome {
                        Outcome::Complete => complete += 1,
                        _ => failed += 1,
                    }
                }
                (complete, failed)
            });
        }
        let (mut complete, mut failed) = (0, 0);
        while let Some(Ok(part)) = tasks.join_next().await {
            complete += part.0;
            failed += part.1;
        }
        let cpu_s = cpu_seconds(self.instance().id()) - cpu_s_before;
        Throughput {
            requests_per_s: complete as f64 / started.elapsed().as_secs_f64(),
            failed,
            cpu_us: cpu_s * 1e6 / complete as f64,
        }
    }

    fn caller(&self) -> Caller {
        Caller::new(self.deployment.client.clone(), "demo-key-linz-formula", &["v1"])
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the time to the first token for a request sent directly to the engine.
async fn direct_first_token(
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
