//! Orders with idempotency keys. The service's own counters show how often an order ran.

use std::time::Duration;

use bilberryford_standins::{
    load::{Caller, Outcome},
    platform, service,
};
use nix::sys::signal::Signal;
use reqwest::{Response, header};
use rstest::rstest;
use serde_json::Value;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::support::{Deployment, KEY, eventually, fast_engine};

const DESK: &str = "desk";

fn refused(kind: &str, ran: &str) -> impl Fn(&Outcome) -> bool {
    let (kind, ran) = (kind.to_owned(), ran.to_owned());
    move |outcome| matches!(outcome, Outcome::Refused { kind: k, ran: r, .. } if *k == kind && *r == ran)
}

fn run_count(deployment: &Deployment, key: &str) -> u32 {
    let stats = deployment.services[0].0.stats();
    stats.orders.get(&service::order_name("linz-formula", key)).copied().unwrap_or(0)
}

fn records(deployment: &Deployment) -> Vec<Value> {
    let objects = deployment.platform.objects("order");
    objects.iter().filter_map(|(_, body)| serde_json::from_str(body).ok()).collect()
}

fn states(deployment: &Deployment) -> Vec<String> {
    let state = |record: &Value| record["state"].as_str().unwrap_or("none").to_owned();
    records(deployment).iter().map(state).collect()
}

async fn wait_for_state(deployment: &Deployment, state: &str) {
    let reached = eventually(|| async { (states(deployment) == [state]).then_some(()) }).await;
    assert!(reached.is_some(), "the record is not {state}: {:?}", states(deployment));
}

/// Sets write faults for order records only, so that writes of leases and of the status do not use them up.
fn platform_faults(deployment: &Deployment, faults: platform::Faults) {
    let only_kind = "order".to_owned();
    deployment.platform.set_faults(platform::Faults { only_kind, ..faults });
}

fn service_faults(deployment: &Deployment, faults: service::Faults) {
    deployment.services[0].0.set_faults(faults);
}

async fn send(deployment: &Deployment, key: &str, body: &str) -> Response {
    let url = format!("{}/services/{DESK}/orders", deployment.url(0));
    let request = deployment.client.post(url).body(body.to_owned());
    let request = request.header(header::AUTHORIZATION, format!("Bearer {KEY}"));
    let request = request.header("bilberryford-timeout-ms", 5_000).header("idempotency-key", key);
    request.send().await.unwrap()
}

async fn events(deployment: &Deployment, instance: usize) -> String {
    let url = format!("{}/events", deployment.url(instance));
    deployment.client.get(url).send().await.unwrap().text().await.unwrap()
}

#[rstest]
#[case::outage(platform::Faults { outage: true, ..Default::default() })]
#[case::rate_limit(platform::Faults { max_calls_per_s: 1, ..Default::default() })]
#[tokio::test]
async fn orders_are_refused_promptly_as_not_run_when_the_platform_rejects_writes(
    #[case] faults: platform::Faults,
) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let caller = deployment.caller();
    platform_faults(&deployment, faults);
    // The rate limit may admit the write of the first order; a later order is refused.
    let mut outcome = Outcome::Cut;
    for number in 0..4 {
        let key = format!("order-{number}");
        let started = std::time::Instant::now();
        outcome = caller.order(&deployment.url(0), DESK, &key).await;
        assert!(started.elapsed() < Duration::from_secs(1), "a refusal must come within a second");
        if refused("platform_down", "no")(&outcome) {
            assert_eq!(run_count(&deployment, &key), 0);
            break;
        }
    }
    assert!(refused("platform_down", "no")(&outcome), "{outcome:?}");
    platform_faults(&deployment, platform::Faults::default());
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-9").await, Outcome::Complete);
}

#[tokio::test]
async fn a_retry_of_a_dispatched_order_in_an_outage_is_in_doubt() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let caller = deployment.caller();
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-1").await, Outcome::Complete);
    platform_faults(&deployment, platform::Faults { outage: true, ..Default::default() });
    let again = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&again), "{again:?}");
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_lost_response_to_the_intent_write_is_read_back_and_the_order_runs_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    platform_faults(&deployment, platform::Faults { lose_answers: 1, ..Default::default() });
    for instance in [0, 1] {
        let outcome = deployment.caller().order(&deployment.url(instance), DESK, "order-1").await;
        assert_eq!(outcome, Outcome::Complete);
    }
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_intent_that_lands_late_is_fenced_and_the_order_runs_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let faults = platform::Faults { delay_writes: 1, delay_ms: 300, ..Default::default() };
    platform_faults(&deployment, faults);
    let caller = deployment.caller();
    let conflicts = deployment.platform.stats().conflicts;
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-1").await, Outcome::Complete);
    let late_write =
        eventually(|| async { (deployment.platform.stats().conflicts > conflicts).then_some(()) });
    assert!(late_write.await.is_some(), "the late write did not arrive and conflict");
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(run_count(&deployment, "order-1"), 1);
    assert_eq!(states(&deployment), ["done"]);
}

#[tokio::test]
async fn an_abandoned_intent_is_fenced_so_that_its_key_can_be_reused() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let faults = platform::Faults { delay_writes: 3, delay_ms: 300, ..Default::default() };
    platform_faults(&deployment, faults);
    let caller = deployment.caller();
    let first = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("platform_down", "no")(&first), "{first:?}");
    wait_for_state(&deployment, "not_run").await;
    let fenced = eventually(|| async {
        events(&deployment, 0).await.contains("order_fenced").then_some(())
    });
    assert!(fenced.await.is_some(), "the events record the fence");
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn concurrent_orders_with_one_key_at_two_instances_run_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    for number in 0..20 {
        let key = format!("order-{number}");
        let caller = deployment.caller();
        let urls = [deployment.url(0), deployment.url(1)];
        let (one, two) =
            tokio::join!(caller.order(&urls[0], DESK, &key), caller.order(&urls[1], DESK, &key));
        let is_running = refused("order_running", "maybe");
        let is_good = |outcome: &Outcome| *outcome == Outcome::Complete || is_running(outcome);
        assert!(is_good(&one) && is_good(&two), "{one:?} {two:?}");
        assert_eq!(run_count(&deployment, &key), 1);
    }
}

#[tokio::test]
async fn the_status_read_resolves_an_order_whose_instance_was_killed_after_dispatch() {
    let mut deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { answer_slow_ms: 10_000, ..Default::default() });
    let caller = deployment.caller().timeout_ms(1_500);
    let url = deployment.url(0);
    let first = tokio::spawn({
        let caller = caller.clone();
        async move { caller.order(&url, DESK, "order-1").await }
    });
    let ran = eventually(|| async { (run_count(&deployment, "order-1") == 1).then_some(()) });
    assert!(ran.await.is_some(), "the service did not run the order");
    deployment.instances.remove(0).kill();
    assert_eq!(first.await.unwrap(), Outcome::Cut);
    let second = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_running", "maybe")(&second), "{second:?}");
    let resolved = eventually(|| async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let outcome = caller.order(&deployment.url(0), DESK, "order-1").await;
        (outcome == Outcome::Complete).then_some(())
    });
    assert!(resolved.await.is_some(), "the status read did not resolve the order");
    assert_eq!(run_count(&deployment, "order-1"), 1);
    assert_eq!(records(&deployment)[0]["from_status"], true);
}

async fn wait_for_dispatch(deployment: &Deployment) {
    let dispatched = eventually(|| async {
        events(deployment, 0).await.contains("\"kind\":\"dispatched\"").then_some(())
    });
    assert!(dispatched.await.is_some(), "the order was not dispatched");
}

/// Sends an order and returns once its intent is stored, while the instance still waits for the slow platform's
/// response to that write.
async fn send_until_intent(
    deployment: &Deployment,
    caller: &Caller,
) -> tokio::task::JoinHandle<Outcome> {
    platform_faults(deployment, platform::Faults { answer_slow_ms: 400, ..Default::default() });
    let url = deployment.url(0);
    let caller = caller.clone();
    let first = tokio::spawn(async move { caller.order(&url, DESK, "order-1").await });
    wait_for_state(deployment, "intent").await;
    first
}

#[tokio::test]
async fn an_instance_killed_between_intent_and_dispatch_leaves_the_order_in_doubt() {
    let mut deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let caller = deployment.caller().timeout_ms(1_200);
    let first = send_until_intent(&deployment, &caller).await;
    deployment.instances.remove(0).kill();
    assert_eq!(first.await.unwrap(), Outcome::Cut);
    platform_faults(&deployment, platform::Faults::default());
    let settled = eventually(|| async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let outcome = caller.order(&deployment.url(0), DESK, "order-1").await;
        assert!(matches!(&outcome, Outcome::Refused { ran, .. } if ran == "maybe"), "{outcome:?}");
        refused("order_in_doubt", "maybe")(&outcome).then_some(())
    });
    assert!(settled.await.is_some());
    assert_eq!(run_count(&deployment, "order-1"), 0);
}

#[tokio::test]
async fn an_instance_paused_past_the_dispatch_limit_does_not_dispatch() {
    let flags = ["--order-dispatch-ms", "800"];
    let deployment = Deployment::start_with(2, &fast_engine(), &flags).await.unwrap();
    let caller = deployment.caller();
    let first = send_until_intent(&deployment, &caller).await;
    deployment.instances[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances[0].signal(Signal::SIGCONT);
    let outcome = first.await.unwrap();
    assert!(refused("order_in_doubt", "maybe")(&outcome), "{outcome:?}");
    platform_faults(&deployment, platform::Faults::default());
    wait_for_state(&deployment, "in_doubt").await;
    let again = caller.order(&deployment.url(1), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&again), "{again:?}");
    assert_eq!(run_count(&deployment, "order-1"), 0);
}

#[tokio::test]
async fn the_status_read_resolves_an_order_whose_service_crashed_after_running_it() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { crash_after_run: 1, ..Default::default() });
    let caller = deployment.caller();
    let first = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&first), "{first:?}");
    let resolved = eventually(|| async {
        let outcome = caller.order(&deployment.url(1), DESK, "order-1").await;
        (outcome == Outcome::Complete).then_some(())
    });
    assert!(resolved.await.is_some(), "the status read did not resolve the order");
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_outcome_is_written_once_the_platform_is_back() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { slow_ms: 500, ..Default::default() });
    let caller = deployment.caller();
    let url = deployment.url(0);
    let first = tokio::spawn({
        let caller = caller.clone();
        async move { caller.order(&url, DESK, "order-1").await }
    });
    wait_for_dispatch(&deployment).await;
    platform_faults(&deployment, platform::Faults { outage: true, ..Default::default() });
    assert_eq!(
        first.await.unwrap(),
        Outcome::Complete,
        "the order ran, and its caller gets the response"
    );
    assert_eq!(states(&deployment), ["intent"]);
    platform_faults(&deployment, platform::Faults::default());
    wait_for_state(&deployment, "done").await;
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_order_whose_caller_disconnects_still_gets_its_outcome() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { slow_ms: 300, ..Default::default() });
    let mut stream = TcpStream::connect(deployment.instances[0].address).await.unwrap();
    let request = format!(
        "POST /services/{DESK}/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         bilberryford-timeout-ms: 5000\r\nidempotency-key: order-1\r\ncontent-length: 1\r\n\r\n1"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_for_dispatch(&deployment).await;
    drop(stream);
    wait_for_state(&deployment, "done").await;
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_service_refusal_counts_as_not_run_only_for_configured_statuses() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { refuse: true, ..Default::default() });
    let caller = deployment.caller();
    let outcome = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&outcome), "{outcome:?}");

    let document = crate::support::DOCUMENT.replace(
        "status_path = \"/orders/{key}\"",
        "status_path = \"/orders/{key}\"\nnot_run_statuses = [503]",
    );
    let deployment = Deployment::start_document(1, &document).await.unwrap();
    service_faults(&deployment, service::Faults { refuse: true, ..Default::default() });
    let caller = deployment.caller();
    let outcome = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("endpoint_refused", "no")(&outcome), "{outcome:?}");
    service_faults(&deployment, service::Faults::default());
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_idempotency_key_is_quoted_or_bare_and_bound_to_one_body() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let first = send(&deployment, "\"order-1\"", "one").await;
    assert_eq!(first.status(), 200);
    assert_eq!(first.headers()["bilberryford-key-retention-s"], "86400");
    let second = send(&deployment, "order-1", "one").await;
    assert_eq!(second.headers()["bilberryford-replayed"], "record");
    assert_eq!(second.text().await.unwrap(), first.text().await.unwrap());
    assert_eq!(send(&deployment, "order-1", "two").await.status(), 422);
    assert_eq!(send(&deployment, "\"order-1", "one").await.status(), 400);
    assert_eq!(run_count(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_expired_key_is_refused_and_its_record_is_deleted() {
    let flags = ["--order-retention-s", "1"];
    let deployment = Deployment::start_with(1, &fast_engine(), &flags).await.unwrap();
    assert_eq!(send(&deployment, "order-1", "one").await.status(), 200);
    let deleted =
        eventually(|| async { deployment.platform.objects("order").is_empty().then_some(()) });
    assert!(deleted.await.is_some(), "the record was not deleted");
    let expired = send(&deployment, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "one").await;
    assert_eq!(
        (expired.status().as_u16(), &expired.headers()["bilberryford-ran"]),
        (410, &header::HeaderValue::from_static("maybe"))
    );
    assert_eq!(run_count(&deployment, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), 0);
}

#[tokio::test]
async fn a_look_up_is_retried_at_another_endpoint_when_the_first_is_down() {
    let mut deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    deployment.add_service().await.unwrap();
    let url = format!("{}/services/{DESK}/stock/tins", deployment.url(0));
    let look_up = || {
        let request = deployment.client.get(&url).header("bilberryford-timeout-ms", 5_000);
        request.header(header::AUTHORIZATION, format!("Bearer {KEY}")).send()
    };
    // The retry budget is a tenth of the first attempts, so send enough of them first.
    for _ in 0..40 {
        assert_eq!(look_up().await.unwrap().status(), 200);
    }
    deployment.services[0].1.set_down(true);
    for _ in 0..4 {
        assert_eq!(look_up().await.unwrap().status(), 200);
    }
}
