//! Orders through the real binary; what really ran is read from the service's own book.

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

fn runs(deployment: &Deployment, key: &str) -> u32 {
    let book = deployment.services[0].0.stats();
    book.orders.get(&service::order_name("linz-formula", key)).copied().unwrap_or(0)
}

fn records(deployment: &Deployment) -> Vec<Value> {
    let objects = deployment.platform.objects("order");
    objects.iter().filter_map(|(_, body)| serde_json::from_str(body).ok()).collect()
}

fn states(deployment: &Deployment) -> Vec<String> {
    let state = |record: &Value| record["state"].as_str().unwrap_or("none").to_owned();
    records(deployment).iter().map(state).collect()
}

async fn until_state(deployment: &Deployment, state: &str) {
    let seen = eventually(|| async { (states(deployment) == [state]).then_some(()) }).await;
    assert!(seen.is_some(), "the record is not {state}: {:?}", states(deployment));
}

/// Faults of writes hold for orders only: a lease or a status written meanwhile must not use them up.
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
async fn a_platform_that_takes_nothing_refuses_orders_at_once_as_not_run(
    #[case] faults: platform::Faults,
) {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let caller = deployment.caller();
    platform_faults(&deployment, faults);
    // The limit may let one call through, which is then the order's; later ones are refused.
    let mut outcome = Outcome::Cut;
    for number in 0..4 {
        let key = format!("order-{number}");
        let started = std::time::Instant::now();
        outcome = caller.order(&deployment.url(0), DESK, &key).await;
        assert!(started.elapsed() < Duration::from_secs(1), "a refusal comes at once");
        if refused("platform_down", "no")(&outcome) {
            assert_eq!(runs(&deployment, &key), 0);
            break;
        }
    }
    assert!(refused("platform_down", "no")(&outcome), "{outcome:?}");
    platform_faults(&deployment, platform::Faults::default());
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-9").await, Outcome::Complete);
}

#[tokio::test]
async fn a_repeat_in_an_outage_is_not_called_not_run_where_it_was_dispatched() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let caller = deployment.caller();
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-1").await, Outcome::Complete);
    platform_faults(&deployment, platform::Faults { outage: true, ..Default::default() });
    let again = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&again), "{again:?}");
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_lost_answer_to_the_intent_is_read_back_and_the_order_runs_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    platform_faults(&deployment, platform::Faults { lose_answers: 1, ..Default::default() });
    for instance in [0, 1] {
        let outcome = deployment.caller().order(&deployment.url(instance), DESK, "order-1").await;
        assert_eq!(outcome, Outcome::Complete);
    }
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_intent_that_lands_late_is_fenced_and_the_order_runs_once() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let faults = platform::Faults { delay_writes: 1, delay_ms: 300, ..Default::default() };
    platform_faults(&deployment, faults);
    let caller = deployment.caller();
    let conflicts = deployment.platform.stats().conflicts;
    assert_eq!(caller.order(&deployment.url(0), DESK, "order-1").await, Outcome::Complete);
    let landed =
        eventually(|| async { (deployment.platform.stats().conflicts > conflicts).then_some(()) });
    assert!(landed.await.is_some(), "the late write was not taken");
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(runs(&deployment, "order-1"), 1);
    assert_eq!(states(&deployment), ["done"]);
}

#[tokio::test]
async fn a_given_up_intent_is_fenced_so_that_the_key_can_be_used_again() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let faults = platform::Faults { delay_writes: 3, delay_ms: 300, ..Default::default() };
    platform_faults(&deployment, faults);
    let caller = deployment.caller();
    let first = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("platform_down", "no")(&first), "{first:?}");
    until_state(&deployment, "not_run").await;
    let fenced = eventually(|| async {
        events(&deployment, 0).await.contains("order_fenced").then_some(())
    });
    assert!(fenced.await.is_some(), "the time line names the fence");
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_key_at_two_instances_at_once_runs_once() {
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
        assert_eq!(runs(&deployment, &key), 1);
    }
}

#[tokio::test]
async fn an_instance_killed_after_dispatch_leaves_the_order_to_the_status_read() {
    let mut deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { answer_slow_ms: 10_000, ..Default::default() });
    let caller = deployment.caller().timeout_ms(1_500);
    let url = deployment.url(0);
    let first = tokio::spawn({
        let caller = caller.clone();
        async move { caller.order(&url, DESK, "order-1").await }
    });
    let ran = eventually(|| async { (runs(&deployment, "order-1") == 1).then_some(()) });
    assert!(ran.await.is_some(), "the service runs the order");
    deployment.instances.remove(0).kill();
    assert_eq!(first.await.unwrap(), Outcome::Cut);
    let second = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_running", "maybe")(&second), "{second:?}");
    let answered = eventually(|| async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let outcome = caller.order(&deployment.url(0), DESK, "order-1").await;
        (outcome == Outcome::Complete).then_some(())
    });
    assert!(answered.await.is_some(), "the status read gives the answer");
    assert_eq!(runs(&deployment, "order-1"), 1);
    assert_eq!(records(&deployment)[0]["from_status"], true);
}

async fn until_dispatched(deployment: &Deployment) {
    let seen = eventually(|| async {
        events(deployment, 0).await.contains("\"kind\":\"dispatched\"").then_some(())
    });
    assert!(seen.await.is_some(), "the order is dispatched");
}

/// The platform is slow, so that the instance waits between the intent's effect and its answer.
async fn stop_before_dispatch(
    deployment: &Deployment,
    caller: &Caller,
) -> tokio::task::JoinHandle<Outcome> {
    platform_faults(deployment, platform::Faults { answer_slow_ms: 400, ..Default::default() });
    let url = deployment.url(0);
    let caller = caller.clone();
    let first = tokio::spawn(async move { caller.order(&url, DESK, "order-1").await });
    until_state(deployment, "intent").await;
    first
}

#[tokio::test]
async fn an_instance_killed_between_intent_and_dispatch_leaves_the_order_in_doubt() {
    let mut deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let caller = deployment.caller().timeout_ms(1_200);
    let first = stop_before_dispatch(&deployment, &caller).await;
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
    assert_eq!(runs(&deployment, "order-1"), 0);
}

#[tokio::test]
async fn an_instance_paused_past_the_bound_does_not_dispatch() {
    let flags = ["--order-dispatch-ms", "800"];
    let deployment = Deployment::start_with(2, &fast_engine(), &flags).await.unwrap();
    let caller = deployment.caller();
    let first = stop_before_dispatch(&deployment, &caller).await;
    deployment.instances[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.instances[0].signal(Signal::SIGCONT);
    let outcome = first.await.unwrap();
    assert!(refused("order_in_doubt", "maybe")(&outcome), "{outcome:?}");
    platform_faults(&deployment, platform::Faults::default());
    until_state(&deployment, "in_doubt").await;
    let again = caller.order(&deployment.url(1), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&again), "{again:?}");
    assert_eq!(runs(&deployment, "order-1"), 0);
}

#[tokio::test]
async fn a_service_that_crashes_after_it_ran_an_order_is_asked_for_the_answer() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { crash_after_run: 1, ..Default::default() });
    let caller = deployment.caller();
    let first = caller.order(&deployment.url(0), DESK, "order-1").await;
    assert!(refused("order_in_doubt", "maybe")(&first), "{first:?}");
    let answered = eventually(|| async {
        let outcome = caller.order(&deployment.url(1), DESK, "order-1").await;
        (outcome == Outcome::Complete).then_some(())
    });
    assert!(answered.await.is_some(), "the status read gives the answer");
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_outcome_that_could_not_be_written_is_written_when_the_platform_is_back() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { slow_ms: 500, ..Default::default() });
    let caller = deployment.caller();
    let url = deployment.url(0);
    let first = tokio::spawn({
        let caller = caller.clone();
        async move { caller.order(&url, DESK, "order-1").await }
    });
    until_dispatched(&deployment).await;
    platform_faults(&deployment, platform::Faults { outage: true, ..Default::default() });
    assert_eq!(first.await.unwrap(), Outcome::Complete, "the order ran, and its caller hears so");
    assert_eq!(states(&deployment), ["intent"]);
    platform_faults(&deployment, platform::Faults::default());
    until_state(&deployment, "done").await;
    assert_eq!(caller.order(&deployment.url(1), DESK, "order-1").await, Outcome::Complete);
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_caller_that_hangs_up_leaves_an_order_with_its_outcome() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    service_faults(&deployment, service::Faults { slow_ms: 300, ..Default::default() });
    let mut stream = TcpStream::connect(deployment.instances[0].address).await.unwrap();
    let request = format!(
        "POST /services/{DESK}/orders HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         bilberryford-timeout-ms: 5000\r\nidempotency-key: order-1\r\ncontent-length: 1\r\n\r\n1"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    until_dispatched(&deployment).await;
    drop(stream);
    until_state(&deployment, "done").await;
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_service_that_refuses_is_taken_at_its_word_only_where_the_document_says_so() {
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
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn a_key_is_quoted_or_bare_and_stands_for_one_body() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let first = send(&deployment, "\"order-1\"", "one").await;
    assert_eq!(first.status(), 200);
    assert_eq!(first.headers()["bilberryford-key-retention-s"], "86400");
    let second = send(&deployment, "order-1", "one").await;
    assert_eq!(second.headers()["bilberryford-replayed"], "record");
    assert_eq!(second.text().await.unwrap(), first.text().await.unwrap());
    assert_eq!(send(&deployment, "order-1", "two").await.status(), 422);
    assert_eq!(send(&deployment, "\"order-1", "one").await.status(), 400);
    assert_eq!(runs(&deployment, "order-1"), 1);
}

#[tokio::test]
async fn an_old_key_is_refused_and_its_record_is_deleted() {
    let flags = ["--order-retention-s", "1"];
    let deployment = Deployment::start_with(1, &fast_engine(), &flags).await.unwrap();
    assert_eq!(send(&deployment, "order-1", "one").await.status(), 200);
    let deleted =
        eventually(|| async { deployment.platform.objects("order").is_empty().then_some(()) });
    assert!(deleted.await.is_some(), "the record is deleted");
    let old = send(&deployment, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", "one").await;
    assert_eq!(
        (old.status().as_u16(), &old.headers()["bilberryford-ran"]),
        (410, &header::HeaderValue::from_static("maybe"))
    );
    assert_eq!(runs(&deployment, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), 0);
}

#[tokio::test]
async fn a_look_up_is_sent_to_another_endpoint_when_the_first_is_gone() {
    let mut deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    deployment.add_service().await.unwrap();
    let url = format!("{}/services/{DESK}/stock/tins", deployment.url(0));
    let look_up = || {
        let request = deployment.client.get(&url).header("bilberryford-timeout-ms", 5_000);
        request.header(header::AUTHORIZATION, format!("Bearer {KEY}")).send()
    };
    // The budget of retries is a tenth of first tries.
    for _ in 0..40 {
        assert_eq!(look_up().await.unwrap().status(), 200);
    }
    deployment.services[0].1.set_down(true);
    for _ in 0..4 {
        assert_eq!(look_up().await.unwrap().status(), 200);
    }
}
