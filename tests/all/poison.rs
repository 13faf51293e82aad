//! Requests that crash endpoints: at most two crashes each, and nobody who shared the batch is convicted.

use std::time::{Duration, Instant};

use bilberryford_standins::{
    engine::{CRASH_MARKER, EngineSpec},
    load::{Outcome, RequestResult},
};
use bilberryford_types::{Event, EventKind};
use futures::{StreamExt, future::join_all};
use nix::sys::signal::Signal;
use rstest::rstest;

use crate::support::{Deployment, eventually, fast_engine};

/// An engine that needs time for a prompt, so that others are in the batch when it crashes.
fn engine() -> EngineSpec {
    EngineSpec { token_gap_ms: 10, prefill_tokens_per_s: 100, ..fast_engine() }
}

fn poison() -> String {
    format!("{CRASH_MARKER} twenty-one tins please")
}

fn crashes(deployment: &Deployment) -> u64 {
    deployment.engines.iter().map(|(engine, _)| engine.stats().crashes).sum()
}

async fn send(deployment: &Deployment, instance: usize, prompt: &str) -> RequestResult {
    deployment.caller().prompt(&deployment.url(instance), "assistant", prompt, 20, true).await
}

fn is_quarantined(seen: &RequestResult) -> bool {
    matches!(&seen.outcome, Outcome::Refused { status: 422, kind, .. } if kind == "quarantined")
}

/// The answer is whole as soon as an engine is back and an acquittal has reached the owner; until then it is a true
/// refusal of one of two kinds, and never the quarantine.
async fn assert_is_served(deployment: &Deployment, instance: usize, prompt: &str) {
    let whole = eventually(|| async {
        match send(deployment, instance, prompt).await.outcome {
            Outcome::Complete => Some(()),
            Outcome::Refused { ran, kind, .. }
                if ran == "no" && (kind == "connect_failed" || kind == "suspect_running") =>
            {
                None
            }
            other => panic!("{other:?}"),
        }
    });
    whole.await.expect("it is answered");
}

#[tokio::test]
async fn a_request_that_crashes_engines_is_stopped_everywhere_after_two_crashes() {
    let deployment = Deployment::start(3, &engine()).await.unwrap();
    for instance in [0, 1, 2, 0, 1, 2] {
        let seen = send(&deployment, instance, &poison()).await;
        assert!(is_quarantined(&seen), "{seen:?}");
    }
    assert_eq!(crashes(&deployment), 2);
    let begun = Instant::now();
    let seen = send(&deployment, 1, &poison()).await;
    assert_eq!(
        seen.outcome,
        Outcome::Refused { status: 422, ran: "no".to_owned(), kind: "quarantined".to_owned() }
    );
    assert!(begun.elapsed() < Duration::from_millis(500), "the refusal is given at once");
    assert_is_served(&deployment, 1, "twenty-one tins please").await;
}

#[rstest]
#[case::one_instance(1)]
#[case::three_instances(3)]
#[tokio::test]
async fn requests_that_shared_the_batch_are_answered_whole(#[case] instances: usize) {
    let deployment = Deployment::start(instances, &engine()).await.unwrap();
    let innocent = |number: usize| format!("innocent number {number}");
    let innocents = join_all((0..6).map(|number| {
        let deployment = &deployment;
        async move { send(deployment, number % instances, &innocent(number)).await }
    }));
    let poison = poison();
    let (seen, poisoned) = tokio::join!(innocents, send(&deployment, 0, &poison));
    assert!(is_quarantined(&poisoned), "{poisoned:?}");
    for seen in seen {
        assert_eq!(seen.outcome, Outcome::Complete);
    }
    assert_eq!(crashes(&deployment), 2);
    for number in 0..6 {
        assert_is_served(&deployment, (number + 1) % instances, &innocent(number)).await;
    }
}

#[tokio::test]
async fn a_caller_that_sends_it_again_everywhere_at_once_causes_no_third_crash() {
    let deployment = Deployment::start(3, &engine()).await.unwrap();
    let poison = poison();
    let first = send(&deployment, 0, &poison);
    let again = async {
        eventually(|| async { (crashes(&deployment) >= 1).then_some(()) }).await.unwrap();
        // The caller hears of the crash only after all instances have.
        let told = eventually(|| async {
            let request = deployment.client.get(format!("{}/events", deployment.url(0)));
            let text = request.send().await.ok()?.text().await.ok()?;
            text.contains("\"kind\":\"attempt_failed\"").then_some(())
        });
        told.await.unwrap();
        let sends = (0..9).map(|number| send(&deployment, number % 3, &poison));
        futures::stream::iter(sends).buffer_unordered(9).collect::<Vec<_>>().await
    };
    let (first, again) = tokio::join!(first, again);
    assert!(is_quarantined(&first), "{first:?}");
    assert!(again.iter().all(|seen| matches!(seen.outcome, Outcome::Refused { .. })), "{again:?}");
    assert_eq!(crashes(&deployment), 2);
}

#[rstest]
#[case::first_frozen(0)]
#[case::second_frozen(1)]
#[tokio::test]
async fn a_frozen_instance_does_not_let_a_third_crash_happen(#[case] frozen: usize) {
    let deployment = Deployment::start(3, &engine()).await.unwrap();
    deployment.instances[frozen].signal(Signal::SIGSTOP);
    for _ in 0..3 {
        for instance in (0..3).filter(|instance| *instance != frozen) {
            let caller = deployment.caller().timeout_ms(3_000);
            let url = deployment.url(instance);
            let seen = caller.prompt(&url, "assistant", &poison(), 20, true).await;
            assert!(matches!(seen.outcome, Outcome::Refused { .. }), "{seen:?}");
        }
    }
    deployment.instances[frozen].signal(Signal::SIGCONT);
    for instance in 0..3 {
        let seen = send(&deployment, instance, &poison()).await;
        assert!(matches!(seen.outcome, Outcome::Refused { .. }), "{seen:?}");
    }
    assert!(crashes(&deployment) <= 2, "{} crashes", crashes(&deployment));
}

/// A peer crashes an endpoint while the instance that the request goes to next is not yet among its members.
#[tokio::test]
async fn an_instance_that_starts_after_the_first_crash_does_not_let_a_third_happen() {
    let mut deployment = Deployment::start(2, &engine()).await.unwrap();
    // The peer that does not answer keeps the run from going on before its deadline.
    deployment.instances[1].signal(Signal::SIGSTOP);
    let caller = deployment.caller().timeout_ms(300);
    let seen = caller.prompt(&deployment.url(0), "assistant", &poison(), 20, true).await;
    assert!(matches!(seen.outcome, Outcome::Refused { .. }), "{seen:?}");
    assert_eq!(crashes(&deployment), 1);
    deployment.add_instance("entry-new").unwrap();
    deployment.wait_ready_at(&[0, 2]).await.unwrap();
    let convicted = eventually(|| async {
        let seen = send(&deployment, 2, &poison()).await;
        assert!(matches!(seen.outcome, Outcome::Refused { .. }), "{seen:?}");
        is_quarantined(&seen).then_some(())
    });
    convicted.await.expect("the second crash convicts it");
    assert_eq!(crashes(&deployment), 2);
}

/// The endpoint crashes while its instance is frozen, and the deadline passes before the instance can see that.
#[tokio::test]
async fn a_crash_that_coincides_with_the_deadline_is_not_lost() {
    let spec = EngineSpec { prefill_tokens_per_s: 10, restart_ms: 8_000, ..fast_engine() };
    let deployment = Deployment::start(1, &spec).await.unwrap();
    let caller = deployment.caller().timeout_ms(2_000);
    let (url, poison, begun) = (deployment.url(0), poison(), Instant::now());
    let first = caller.prompt(&url, "assistant", &poison, 20, true);
    let freeze = async {
        // The event of the dispatch is written before the connection is made, and the prefill takes far longer.
        let is_sent = |event: &Event| event.kind == EventKind::Dispatched;
        deployment.all_have(&[0], is_sent).await.expect("it is sent");
        while begun.elapsed() < Duration::from_millis(400) {
            deployment.events(0).await;
        }
        deployment.instances[0].signal(Signal::SIGSTOP);
        eventually(|| async { (crashes(&deployment) == 1).then_some(()) }).await.expect("a crash");
        tokio::time::sleep_until((begun + Duration::from_millis(2_100)).into()).await;
        deployment.instances[0].signal(Signal::SIGCONT);
    };
    let (seen, ()) = tokio::join!(first, freeze);
    assert!(!matches!(seen.outcome, Outcome::Complete), "{seen:?}");
    let is_noted = |event: &Event| event.kind == EventKind::Suspected;
    deployment.all_have(&[0], is_noted).await.expect("the crash is noted");
}

#[tokio::test]
async fn the_quarantine_outlives_all_instances() {
    let mut deployment = Deployment::start(2, &engine()).await.unwrap();
    assert!(is_quarantined(&send(&deployment, 0, &poison()).await));
    let url = format!("{}/objects/quarantine", deployment.platform_host.url());
    let kept = eventually(|| async {
        let text = deployment.client.get(&url).send().await.ok()?.text().await.ok()?;
        text.contains("until_ms").then_some(())
    });
    kept.await.expect("the conviction is on the platform");
    deployment.instances.clear();
    deployment.add_instance("entry-new").unwrap();
    deployment.wait_ready().await.unwrap();
    let refused = eventually(|| async {
        let text = deployment.client.get(format!("{}/events", deployment.url(0)));
        let text = text.send().await.ok()?.text().await.ok()?;
        text.contains("\"kind\":\"quarantined\"").then_some(())
    });
    refused.await.expect("the new instance reads it");
    assert!(is_quarantined(&send(&deployment, 0, &poison()).await));
    assert_eq!(crashes(&deployment), 2);
}
