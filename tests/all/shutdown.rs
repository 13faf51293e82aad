//! Replaces every instance under load, behind a load balancer that polls `/readyz`.

use std::{
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bilberryford_standins::{
    engine::Faults,
    load::{Caller, Outcome},
    persistent::{call_at_once, last_connection},
    service,
};
use bilberryford_types::{Event, EventKind};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

use crate::support::{Deployment, KEY, eventually, fast_engine};

/// Longest time for one instance to stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Interval of the load balancer's readiness probes.
const BALANCER_POLL: Duration = Duration::from_millis(250);
/// Time for which a stopping instance goes on serving while the load balancer notices, in milliseconds.
const DRAIN_DELAY_MS: &str = "1500";

/// Tokens of a stream that takes longer than [`DRAIN_DELAY_MS`], at 2 ms each.
const LONG_TOKENS: u32 = 1_200;

const PROMPT: &str = r#"{"model":"assistant","prompt":"which tin?","max_tokens":4,"stream":true}"#;

/// State shared by the load balancer and the callers.
#[derive(Default)]
struct Shared {
    instances: RwLock<Vec<String>>,
    ready: RwLock<Vec<String>>,
    stop: AtomicBool,
    next: AtomicU32,
    sent: AtomicU32,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// Picks the next ready instance, round robin.
    fn pick(&self) -> Option<String> {
        let ready = self.ready.read().unwrap();
        let turn = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        ready.get(turn.checked_rem(ready.len())?).cloned()
    }
}

/// Updates the list of ready instances from their `/readyz` until the test stops.
async fn poll_readiness(client: reqwest::Client, shared: Arc<Shared>) {
    while !shared.is_stopped() {
        let instances = shared.instances.read().unwrap().clone();
        let mut ready = Vec::new();
        for url in instances {
            let request = client.get(format!("{url}/readyz")).timeout(Duration::from_secs(2));
            if request.send().await.is_ok_and(|response| response.status().is_success()) {
                ready.push(url);
            }
        }
        *shared.ready.write().unwrap() = ready;
        tokio::time::sleep(BALANCER_POLL).await;
    }
}

/// A request, with the time of its start and of its end.
#[derive(Debug)]
struct Sent {
    url: String,
    started: Instant,
    ended: Instant,
    outcome: Outcome,
}

async fn send_requests(caller: Caller, shared: Arc<Shared>, number: usize) -> Vec<Sent> {
    let mut outcomes = Vec::new();
    while !shared.is_stopped() {
        let Some(url) = shared.pick() else {
            tokio::task::yield_now().await;
            continue;
        };
        let count = outcomes.len();
        shared.sent.fetch_add(1, Ordering::AcqRel);
        // Most callers send short prompts back to back, so that an instance that is wrongly ready gets one.
        let turn = if number < 6 { (number + count) % 4 } else { 2 };
        let started = Instant::now();
        let outcome = match turn {
            0 => caller.order(&url, "desk", &format!("order-{number}-{count}")).await,
            1 => {
                caller
                    .prompt(&url, "assistant", &format!("{number} {count}"), LONG_TOKENS, true)
                    .await
                    .outcome
            }
            turn => {
                caller
                    .prompt(&url, "assistant", &format!("{number} {count}"), 20, turn == 2)
                    .await
                    .outcome
            }
        };
        outcomes.push(Sent { url, started, ended: Instant::now(), outcome });
    }
    outcomes
}

#[tokio::test]
async fn replacing_every_instance_under_load_cuts_no_request() {
    let spec = bilberryford_standins::engine::EngineSpec { token_gap_ms: 2, ..fast_engine() };
    let mut deployment =
        Deployment::start_with(3, &spec, &["--drain-delay-ms", DRAIN_DELAY_MS]).await.unwrap();
    let shared = Arc::new(Shared::default());
    *shared.instances.write().unwrap() = (0..3).map(|instance| deployment.url(instance)).collect();
    let balancer = tokio::spawn(poll_readiness(deployment.client.clone(), shared.clone()));
    // Each caller has a client of its own, as a phone would, so that idle keep-alive connections exist.
    let callers: Vec<_> = (0..14)
        .map(|number| {
            let caller = Caller::new(reqwest::Client::new(), KEY, &["v1"]);
            tokio::spawn(send_requests(caller, shared.clone(), number))
        })
        .collect();
    let mut signalled = Vec::new();
    for number in 4..=6 {
        deployment.add_instance(&format!("entry-{number}")).unwrap();
        let url = deployment.instances.last().unwrap().url();
        shared.instances.write().unwrap().push(url.clone());
        eventually(|| async { shared.ready.read().unwrap().contains(&url).then_some(()) })
            .await
            .expect("the new instance becomes ready");
        let sent = shared.sent.load(Ordering::Acquire);
        eventually(|| async { (shared.sent.load(Ordering::Acquire) > sent + 20).then_some(()) })
            .await
            .expect("callers continue within the limit");
        let leaving = deployment.instances.remove(0);
        signalled.push((leaving.url(), Instant::now()));
        let is_clean = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT)).await.unwrap();
        assert!(is_clean, "the instance did not stop within the limit");
        deployment.publish();
    }
    shared.stop.store(true, Ordering::Release);
    balancer.await.unwrap();
    let outcomes = futures::future::join_all(callers).await;
    let outcomes: Vec<_> = outcomes.into_iter().flat_map(Result::unwrap).collect();
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|sent| sent.outcome != Outcome::Complete)
        .map(|sent| {
            let signal = signalled.iter().find(|(url, _)| *url == sent.url);
            let since = |at: Instant| {
                signal.map(|(_, signal)| {
                    at.saturating_duration_since(*signal).as_millis() as i64
                        - signal.saturating_duration_since(at).as_millis() as i64
                })
            };
            format!(
                "{:?} at {}, from {:?} to {:?} ms after its signal",
                sent.outcome,
                sent.url,
                since(sent.started),
                since(sent.ended)
            )
        })
        .collect();
    assert!(
        outcomes.len() > 60 && failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    let orders = deployment.services[0].0.stats().orders;
    assert!(!orders.is_empty() && orders.values().all(|count| *count == 1));
}

/// The connection of a request may be accepted in the moment in which the instance stops to accept.
#[tokio::test]
async fn a_planned_stop_under_load_cuts_no_request_on_an_accepted_connection() {
    const CALLERS: usize = 12;
    let mut deployment =
        Deployment::start_with(1, &fast_engine(), &["--drain-delay-ms", "500"]).await.unwrap();
    let leaving = deployment.instances.remove(0);
    let address = leaving.url().trim_start_matches("http://").parse().expect("an address");
    let text = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let calling = tokio::task::spawn_blocking(move || call_at_once(address, text, CALLERS));
    let is_clean = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT)).await.unwrap();
    assert!(is_clean, "the instance did not stop within the limit");
    let outcomes = calling.await.expect("the callers end");
    let (answered, cut) = (outcomes.answered, outcomes.cut);
    assert!(cut.is_empty(), "{} requests cut, {answered} answered: {cut:?}", cut.len());
    assert!(answered > CALLERS, "only {answered} requests");
}

/// A prompt whose engine has sent nothing when the drain ends gets a complete response, not a closed connection.
#[tokio::test]
async fn a_prompt_without_a_response_at_the_end_of_a_drain_gets_a_final_one() {
    let options = ["--drain-delay-ms", "100", "--drain-limit-ms", "1000"];
    let mut deployment = Deployment::start_with(1, &fast_engine(), &options).await.unwrap();
    for engine in &deployment.engines {
        engine.0.set_faults(Faults { mute_starts: u32::MAX, ..Faults::default() });
    }
    let caller = Caller::new(deployment.client.clone(), KEY, &["v1"]);
    let leaving = deployment.instances.remove(0);
    let url = leaving.url();
    let waiting =
        tokio::spawn(
            async move { caller.prompt(&url, "assistant", "a b", 20, false).await.outcome },
        );
    eventually(|| async {
        let started = deployment.engines.iter().map(|engine| engine.0.stats().started).sum::<u64>();
        (started > 0).then_some(())
    })
    .await
    .expect("the prompt reaches an engine");
    let is_clean = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT)).await.unwrap();
    assert!(is_clean, "the instance did not stop within the limit");
    let outcome = waiting.await.unwrap();
    let Outcome::Refused { status, ran, kind } = outcome else { panic!("{outcome:?}") };
    assert_eq!((status, ran.as_str(), kind.as_str()), (502, "maybe", "stopped_while_running"));
}

/// A request that comes after the listener was closed is passed on only if it ends before the process does. Its caller goes to
/// another instance otherwise, also with an order.
#[rstest]
#[case::order_that_may_end_too_late("/services/desk/orders", "{\"tins\":2}", 60_000, "503", 0)]
#[case::order_that_ends_in_time("/services/desk/orders", "{\"tins\":2}", 300, "200", 1)]
#[case::prompt_that_may_end_too_late("/v1/completions", PROMPT, 60_000, "503", 0)]
#[tokio::test]
async fn a_request_that_comes_late_in_a_drain_is_passed_on_only_if_it_ends_in_time(
    #[case] path: &str,
    #[case] body: &str,
    #[case] timeout_ms: u64,
    #[case] status: &str,
    #[case] passed_on: u64,
) {
    let options = ["--drain-delay-ms", "100", "--drain-limit-ms", "2000"];
    let mut deployment = Deployment::start_with(1, &fast_engine(), &options).await.unwrap();
    let leaving = deployment.instances.remove(0);
    let address = leaving.url().trim_start_matches("http://").parse().expect("an address");
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nbilberryford-timeout-ms: {timeout_ms}\r\nidempotency-key: o-1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let stopping = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT));
    let mut stream = last_connection(address).await.expect("a connection before the stop");
    stream.write_all(text.as_bytes()).await.expect("the request is written");
    let mut response = String::new();
    let reading = stream.read_to_string(&mut response);
    let _ = timeout(STOP_LIMIT, reading).await.expect("the end of the response");
    assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response:?}");
    assert!(status == "200" || response.contains("bilberryford-ran: no"), "{response:?}");
    let orders: u64 =
        deployment.services[0].0.stats().orders.values().map(|count| u64::from(*count)).sum();
    let runs: u64 = deployment.engines.iter().map(|engine| engine.0.stats().started).sum();
    assert_eq!(orders + runs, passed_on);
    assert!(stopping.await.unwrap(), "the instance did not stop within the limit");
}

/// A request that was sent while a response was on its way is not left without one when the instance stops.
#[tokio::test]
async fn a_request_behind_a_response_gets_one_at_a_stop() {
    let options = ["--drain-delay-ms", "100", "--drain-limit-ms", "8000"];
    let spec = bilberryford_standins::engine::EngineSpec { token_gap_ms: 2, ..fast_engine() };
    let mut deployment = Deployment::start_with(1, &spec, &options).await.unwrap();
    let leaving = deployment.instances.remove(0);
    let address: std::net::SocketAddr =
        leaving.url().trim_start_matches("http://").parse().expect("an address");
    let prompt = PROMPT.replace("\"max_tokens\":4", "\"max_tokens\":300");
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\nbilberryford-timeout-ms: 6000\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{prompt}",
        prompt.len()
    );
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("the request is written");
    stream.readable().await.expect("the response begins");
    stream.write_all(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("the next one");
    let stopping = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT));
    let mut responses = String::new();
    let reading = timeout(STOP_LIMIT, stream.read_to_string(&mut responses));
    reading.await.expect("the end of the connection").expect("no reset");
    assert!(responses.starts_with("HTTP/1.1 200"), "{responses:?}");
    assert_eq!(responses.matches("HTTP/1.1 ").count(), 2, "{responses:?}");
    assert!(stopping.await.unwrap(), "the instance did not stop within the limit");
}

/// Guards against a further attempt in a drain that is given up at its end, when nothing may be promised any more.
#[rstest]
#[case::may_end_too_late(60_000, "shutting_down")]
#[case::ends_in_time(1_500, "order_in_doubt")]
#[tokio::test]
async fn a_further_attempt_late_in_a_drain_is_made_only_if_it_ends_in_time(
    #[case] timeout_ms: u64,
    #[case] kind: &str,
) {
    let options = ["--drain-delay-ms", "500", "--drain-limit-ms", "2000"];
    let mut deployment = Deployment::start_with(1, &fast_engine(), &options).await.unwrap();
    deployment.add_service().await.unwrap();
    // The refusal comes once the listener is closed, and a second one after the end of the drain.
    for (service, _) in &deployment.services {
        let faults = service::Faults { slow_ms: 1_200, draining: true, ..Default::default() };
        service.set_faults(faults);
    }
    let url = format!("{}/services/desk/orders", deployment.url(0));
    let request = deployment.client.post(url).bearer_auth(KEY);
    let request = request
        .header("bilberryford-timeout-ms", timeout_ms)
        .header("idempotency-key", "o-1")
        .header("content-type", "application/json")
        .body("{\"tins\":2}");
    let calling = tokio::spawn(request.send());
    let is_sent = |event: &Event| event.kind == EventKind::Dispatched;
    deployment.all_have_event(&[0], is_sent).await.expect("the order is dispatched");
    let leaving = deployment.instances.remove(0);
    let stopping = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT));
    let response = calling.await.unwrap().expect("a response");
    let head = format!("{} {:?}", response.status(), response.headers());
    let text = head + &response.text().await.expect("a complete response");
    assert!(text.contains(kind), "{text}");
    assert!(stopping.await.unwrap(), "the instance did not stop within the limit");
}
