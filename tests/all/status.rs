//! Output of `bilberryford status` for roll-outs, orders in doubt and the quarantine.

use std::process::Output;

use bilberryford_standins::{
    engine::{CRASH_MARKER, EngineSpec},
    load::Outcome,
    service,
};
use serde_json::{Value, json};
use tokio::process::Command;

use crate::{
    rollout::{Rollout, document},
    support::{Deployment, eventually, fast_engine},
};

async fn status(platform_url: &str, flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bilberryford"))
        .args(["status", "--environment", "trial", "--platform-url", platform_url])
        .args(flags)
        .output()
        .await
        .unwrap()
}

/// Waits until a field of the JSON output is `expected` and returns the text output.
async fn status_text_once(platform_url: &str, field: &str, expected: Value) -> String {
    let shown = eventually(|| async {
        let output = status(platform_url, &["--json"]).await;
        let status: Value = serde_json::from_slice(&output.stdout).ok()?;
        (status["seen"][field] == expected).then_some(())
    });
    if shown.await.is_none() {
        let output = status(platform_url, &["--json"]).await;
        panic!("{field} is not {expected}: {}", String::from_utf8_lossy(&output.stdout));
    }
    String::from_utf8(status(platform_url, &[]).await.stdout).unwrap()
}

#[tokio::test]
async fn a_roll_out_is_shown_until_all_engines_serve_the_version() {
    let rollout = Rollout::start(6, true).await;
    let platform = rollout.deployment.platform_host.url();
    status_text_once(&platform, "roll_outs", json!([])).await;
    // A floor of all six engines lets none of them load.
    rollout.replace_document(2, &document("v2", 6, true)).await;
    let waiting = json!([{ "model": "assistant", "weight_version": "v2", "done": 0, "wanted": 6 }]);
    let text = status_text_once(&platform, "roll_outs", waiting).await;
    assert!(text.contains("roll-out of assistant v2: 0 of 6"), "{text}");
    assert!(text.contains("generation 2 accepted") && text.contains("generation 2 in force"));
    rollout.replace_document(3, &document("v2", 4, true)).await;
    rollout.wait_until_serving("v2", 6).await;
    status_text_once(&platform, "roll_outs", json!([])).await;
}

#[tokio::test]
async fn an_order_in_doubt_is_shown_until_its_outcome_is_known() {
    let deployment = Deployment::start(1, &fast_engine()).await.unwrap();
    let platform = deployment.platform_host.url();
    status_text_once(&platform, "orders_in_doubt", json!([])).await;
    let faults = service::Faults { crash_after_run: 1, ..Default::default() };
    deployment.services[0].0.set_faults(faults);
    let caller = deployment.caller();
    let url = deployment.url(0);
    let order = || caller.order(&url, "desk", "order-1");
    assert!(matches!(order().await, Outcome::Refused { kind, .. } if kind == "order_in_doubt"));
    let shown = json!([{ "team": "linz-formula", "order": "order-1" }]);
    let text = status_text_once(&platform, "orders_in_doubt", shown).await;
    assert!(text.contains("order in doubt: order-1 of linz-formula"), "{text}");
    let resolved = eventually(|| async { (order().await == Outcome::Complete).then_some(()) });
    resolved.await.expect("the status read resolves the order");
    status_text_once(&platform, "orders_in_doubt", json!([])).await;
}

#[tokio::test]
async fn quarantined_requests_are_counted() {
    let engine = EngineSpec { token_gap_ms: 10, prefill_tokens_per_s: 100, ..fast_engine() };
    let deployment = Deployment::start(2, &engine).await.unwrap();
    let platform = deployment.platform_host.url();
    status_text_once(&platform, "quarantined", json!(0)).await;
    let poison = format!("{CRASH_MARKER} twenty-one tins please");
    let caller = deployment.caller();
    let result = caller.prompt(&deployment.url(0), "assistant", &poison, 20, true).await;
    let is_quarantined =
        matches!(&result.outcome, Outcome::Refused { kind, .. } if kind == "quarantined");
    assert!(is_quarantined, "{result:?}, {:?}", deployment.events(0).await);
    let text = status_text_once(&platform, "quarantined", json!(1)).await;
    assert!(text.contains("quarantined requests: 1"), "{text}");
}
