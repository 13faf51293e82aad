//! `measure overhead`: what an instance adds between caller and engine, both paths interleaved in one run.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_endpoint::wire::CompletionBody;
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::{Priority, Tokens};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use tokio::{sync::Mutex, task::JoinSet, time::sleep};

use crate::{
    engine::{Engine, EngineSpec},
    load::{Caller, Outcome},
    platform::Platform,
    process::{Instance, InstanceSpec, find_binary, resident_mb},
};

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// The rate at which latency is measured.
const PACED_RATE_PER_S: u64 = 500;
/// How long latency is measured.
const PACED_TIME_S: u64 = 10;
/// How many callers press at once when the rate is measured.
const PRESSING_CALLERS: usize = 64;
/// How long the rate is measured.
const PRESS_TIME_S: u64 = 5;

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
    /// Requests that were not answered whole.
    pub not_whole: u64,
    /// Resident memory of an idle instance.
    pub idle_memory_mb: f64,
}

struct Bench {
    engine_url: String,
    instance: Instance,
    client: reqwest::Client,
}

/// Measures and prints.
///
/// # Errors
///
/// When a process can't be started.
pub async fn run(json: bool) -> io::Result<()> {
    let platform = Arc::new(Platform::default());
    let platform_host = platform.host(SocketAddr::from(LOOPBACK))?;
    let version = "v1".parse().map_err(io::Error::other)?;
    let spec = EngineSpec {
        slots: 4_096,
        prefill_tokens_per_s: 0,
        token_gap_ms: 0,
        ..EngineSpec::new(version)
    };
    let engine = Engine::new(spec);
    let engine_host = engine.host(SocketAddr::from(LOOPBACK))?;
    let instance = Instance::start(&InstanceSpec {
        binary: find_binary()?,
        name: "entry-1".to_owned(),
        data_centre: "linz-1".to_owned(),
        environment: "trial".to_owned(),
        platform_url: platform_host.url(),
        flags: Vec::new(),
    })?;
    platform.set_instances(vec![engine_record(engine_host.address)?]);
    put_document(&platform_host.url()).await?;
    let bench = Bench { engine_url: engine_host.url(), instance, client: reqwest::Client::new() };
    bench.wait_ready().await?;
    let idle_memory_mb = resident_mb(bench.instance.id());
    let (direct, through, mut not_whole) = bench.paced().await;
    let (requests_per_s, lost) = bench.pressed().await;
    not_whole += lost;
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
        requests_per_s,
        not_whole,
        idle_memory_mb,
    };
    bench.instance.stop(Duration::from_secs(5));
    if json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(())
}

fn engine_record(address: SocketAddr) -> io::Result<InstanceRecord> {
    Ok(InstanceRecord {
        id: "engine-1".to_owned(),
        role: Role::Engine,
        pool: Some("serving".parse().map_err(io::Error::other)?),
        address,
        peer_address: None,
        data_centre: "linz-1".parse().map_err(io::Error::other)?,
        state: InstanceState::Live,
    })
}

async fn put_document(platform_url: &str) -> io::Result<()> {
    let body = json!({ "generation": 1, "document": include_str!("../../../examples/demo.toml") });
    let request = reqwest::Client::new().put(format!("{platform_url}/objects/config/trial"));
    request
        .header("if-none-match", "*")
        .body(body.to_string())
        .send()
        .await
        .map_err(io::Error::other)?;
    Ok(())
}

impl Bench {
    async fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = self.client.get(format!("{}/readyz", self.instance.url())).send().await;
            if let Ok(answer) = answer
                && answer.text().await.is_ok_and(|text| text.ends_with("endpoints 1\n"))
            {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("the instance is not ready in time"))
    }

    /// Alternates between the two paths at a fixed rate.
    async fn paced(&self) -> (Histogram<u64>, Histogram<u64>, u64) {
        let empty = || {
            Histogram::<u64>::new_with_max(60_000_000, 3)
                .unwrap_or_else(|_| unreachable!("valid bounds"))
        };
        let results = Arc::new(Mutex::new((empty(), empty(), 0_u64)));
        let caller = Caller::new(self.client.clone(), "demo-key-linz-formula", &["v1"]);
        let mut tasks = JoinSet::new();
        let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / PACED_RATE_PER_S));
        for number in 0..PACED_RATE_PER_S * PACED_TIME_S {
            ticks.tick().await;
            let results = results.clone();
            let (client, engine_url) = (self.client.clone(), self.engine_url.clone());
            let (caller, url) = (caller.clone(), self.instance.url());
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
                        Outcome::Whole => results.1.saturating_record(micros(seen.first_token)),
                        _ => results.2 += 1,
                    }
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        let results = results.lock().await;
        (results.0.clone(), results.1.clone(), results.2)
    }

    /// As many short requests as one instance takes.
    async fn pressed(&self) -> (f64, u64) {
        let until = Instant::now() + Duration::from_secs(PRESS_TIME_S);
        let started = Instant::now();
        let mut tasks = JoinSet::new();
        for number in 0..PRESSING_CALLERS {
            let caller = Caller::new(self.client.clone(), "demo-key-linz-formula", &["v1"]);
            let url = self.instance.url();
            tasks.spawn(async move {
                let (mut whole, mut lost) = (0_u64, 0_u64);
                while Instant::now() < until {
                    let prompt = format!("a short question of caller {number}");
                    match caller.prompt(&url, "assistant", &prompt, 2, false).await.outcome {
                        Outcome::Whole => whole += 1,
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
        (whole as f64 / started.elapsed().as_secs_f64(), lost)
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
