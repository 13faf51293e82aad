//! Admission: refusals under overload, and team limits over several instances.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bilberryford_endpoint::LoadReport;
use bilberryford_standins::{
    deployment::{Deployment as Fleet, DeploymentSpec},
    engine::EngineSpec,
    load::{Caller, Outcome},
};
use serde_json::{Value, json};

use crate::support::{DOCUMENT, Deployment, KEY, LIMIT, eventually, fast_engine};

/// The API key of a team of the lowest priority.
const BATCH_KEY: &str = "demo-key-steyr-infant";
/// Longest time until a refusal arrives, although its caller's deadline is a minute.
const REFUSAL_LIMIT: Duration = Duration::from_secs(3);
/// The deadline of the callers, in milliseconds.
const CALLER_DEADLINE_MS: u64 = 60_000;

/// A refusal as its caller received it.
#[derive(Debug)]
struct Refusal {
    kind: String,
    ran: String,
    retry_after_s: u64,
    took: Duration,
}

/// Sends a prompt. Returns `None` if it was served.
async fn prompt(client: &reqwest::Client, url: &str, key: &str, text: &str) -> Option<Refusal> {
    let started = Instant::now();
    let body = json!({ "model": "assistant", "prompt": text, "max_tokens": 20, "stream": false });
    let request = client.post(format!("{url}/v1/completions")).bearer_auth(key).json(&body);
    let response =
        request.header("bilberryford-timeout-ms", CALLER_DEADLINE_MS).send().await.unwrap();
    let took = started.elapsed();
    if response.status().is_success() {
        response.bytes().await.unwrap();
        return None;
    }
    let header = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let ran = header("bilberryford-ran").unwrap_or_default().to_owned();
    let retry_after_s = header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let body: Value = response.json().await.unwrap();
    let kind = body["error"]["type"].as_str().unwrap_or_default().to_owned();
    Some(Refusal { kind, ran, retry_after_s, took })
}

/// Callers that send prompts without pause until they are stopped.
struct CallerGroup {
    stop: Arc<AtomicBool>,
    refusals: Arc<AtomicU32>,
    callers: Vec<tokio::task::JoinHandle<Vec<Refusal>>>,
}

impl CallerGroup {
    fn start(client: &reqwest::Client, url: &str, key: &'static str, count: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let refusals = Arc::new(AtomicU32::new(0));
        let callers = (0..count)
            .map(|number| {
                let (client, url) = (client.clone(), url.to_owned());
                let (stop, refusals) = (stop.clone(), refusals.clone());
                tokio::spawn(async move {
                    let mut refused = Vec::new();
                    while !stop.load(Ordering::Acquire) {
                        let text = format!("caller {number} asks {}", refused.len());
                        if let Some(refusal) = prompt(&client, &url, key, &text).await {
                            refusals.fetch_add(1, Ordering::AcqRel);
                            refused.push(refusal);
                        }
                    }
                    refused
                })
            })
            .collect();
        Self { stop, refusals, callers }
    }

    async fn stop(self) -> Vec<Refusal> {
        self.stop.store(true, Ordering::Release);
        let refused = futures::future::join_all(self.callers).await;
        refused.into_iter().flat_map(Result::unwrap).collect()
    }
}

#[tokio::test]
async fn overload_refuses_the_lowest_priority_promptly_with_a_retry_after() {
    let spec = EngineSpec { slots: 2, token_gap_ms: 10, ..fast_engine() };
    let deployment = Deployment::start(1, &spec).await.unwrap();
    let url = deployment.url(0);
    let callers = CallerGroup::start(&deployment.client, &url, BATCH_KEY, 30);
    eventually(|| async { (callers.refusals.load(Ordering::Acquire) > 0).then_some(()) })
        .await
        .expect("batch work is refused under overload");
    let caller = Caller::new(deployment.client.clone(), KEY, &["v1"]);
    for number in 0..20 {
        let result = caller.prompt(&url, "assistant", &format!("urgent {number}"), 5, true).await;
        assert_eq!(result.outcome, Outcome::Complete, "an interactive request was refused");
    }
    let refused = callers.stop().await;
    for refusal in &refused {
        assert!(matches!(refusal.kind.as_str(), "overloaded" | "team_over_limit"), "{refusal:?}");
        assert_eq!(refusal.ran, "no", "{refusal:?}");
        assert!((1..=60).contains(&refusal.retry_after_s), "{refusal:?}");
        assert!(refusal.took < REFUSAL_LIMIT, "{refusal:?}");
    }
}

/// Returns the number of running and waiting runs over all engines.
async fn in_flight(deployment: &Fleet) -> u32 {
    let mut sum = 0;
    for engine in &deployment.engines {
        let url = format!("{}/load", engine.host.url());
        let response = deployment.client.get(url).send().await.unwrap();
        let report: LoadReport = response.json().await.unwrap();
        sum += report.running + report.waiting;
    }
    sum
}

#[tokio::test]
async fn a_team_limit_holds_over_all_instances_and_its_slots_are_granted_on_demand() {
    let spec = EngineSpec { slots: 64, token_gap_ms: 10, ..fast_engine() };
    let document = DOCUMENT.replace("max_in_flight = 256", "max_in_flight = 8");
    let spec = DeploymentSpec {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_bilberryford")),
        name: "entry",
        environment: "trial",
        document: document.leak(),
        engine_pool: "serving",
        service_pool: "desk",
        data_centres: &["linz-1"],
        instances: 2,
        engines: 2,
        engine: spec,
        services: 1,
        flags: Vec::new(),
    };
    let deployment = Fleet::start(spec, LIMIT).await.unwrap();
    // One instance alone may exceed its half of the limit once the owner has granted it more slots.
    let callers = CallerGroup::start(&deployment.client, &deployment.instances[0].url(), KEY, 16);
    eventually(|| async { (in_flight(&deployment).await > 4).then_some(()) })
        .await
        .expect("slots are granted within the limit");
    let other_callers =
        CallerGroup::start(&deployment.client, &deployment.instances[1].url(), KEY, 16);
    let mut max_in_flight = 0;
    for _ in 0..200 {
        max_in_flight = max_in_flight.max(in_flight(&deployment).await);
    }
    let refused: Vec<_> =
        [callers.stop().await, other_callers.stop().await].into_iter().flatten().collect();
    assert!(
        max_in_flight <= 16,
        "{max_in_flight} in flight with a limit of 8, twice of which is the bound"
    );
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|refusal| refusal.kind == "team_over_limit" && refusal.ran == "no"));
}
