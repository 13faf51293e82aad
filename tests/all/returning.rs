//! Placement of returning prompts: a prompt goes to the engine that caches its blocks, and blocks are never shared
//! between teams or weight versions.

use bilberryford_standins::{
    engine::{EngineSpec, Faults},
    load::{Caller, Outcome},
};
use bilberryford_types::{Event, EventKind};

use crate::support::{DOCUMENT, Deployment, KEY, eventually, fast_engine};

/// Returns a prompt of two complete blocks and a partial one.
fn prompt() -> String {
    "x".repeat(2 * 8_000 + 100)
}

fn caller(deployment: &Deployment, key: &str) -> Caller {
    Caller::new(deployment.client.clone(), key, &["v1", "v2"])
}

/// Sends the prompt and returns the event of its placement.
async fn prompt_placement(deployment: &Deployment, key: &str) -> Option<Event> {
    let url = deployment.url(0);
    let result = caller(deployment, key).prompt(&url, "assistant", &prompt(), 5, true).await;
    assert_eq!(result.outcome, Outcome::Complete);
    let text =
        deployment.client.get(format!("{url}/events")).send().await.ok()?.text().await.ok()?;
    let mut events = text.lines().filter_map(|line| serde_json::from_str::<Event>(line).ok());
    events.rfind(|event| event.kind == EventKind::Placed)
}

async fn placement_with(deployment: &Deployment, reason: &str) -> Event {
    eventually(|| async {
        prompt_placement(deployment, KEY).await.filter(|event| event.detail.starts_with(reason))
    })
    .await
    .unwrap_or_else(|| panic!("no placement with {reason:?} within the limit"))
}

async fn start() -> Deployment {
    let versions = ["v1", "v2"].map(|version| version.parse().unwrap()).to_vec();
    let spec = EngineSpec { weight_versions: versions, ..fast_engine() };
    Deployment::start(1, &spec).await.unwrap()
}

#[tokio::test]
async fn a_returning_prompt_goes_to_the_engine_that_holds_its_blocks() {
    let deployment = start().await;
    let first = placement_with(&deployment, "cached 2").await;
    let again = prompt_placement(&deployment, KEY).await.unwrap();
    assert!(again.detail.starts_with("cached 2"), "{}", again.detail);
    assert!(first.endpoint.is_some());
    let url = format!("{}/metrics", deployment.url(0));
    let text = deployment.client.get(url).send().await.unwrap().text().await.unwrap();
    let cached = text.lines().find(|line| line.starts_with("bilberryford_cached_tokens"));
    assert!(cached.is_some_and(|line| !line.ends_with(" 0")), "{cached:?}");
}

#[tokio::test]
async fn another_team_does_not_reuse_the_blocks_of_the_same_prompt() {
    let deployment = start().await;
    placement_with(&deployment, "cached 2").await;
    let other = prompt_placement(&deployment, "demo-key-wels-milk").await.unwrap();
    assert!(other.detail.starts_with("cached 0"), "{}", other.detail);
}

#[tokio::test]
async fn a_new_weight_version_does_not_reuse_blocks_of_the_old_one() {
    let deployment = start().await;
    placement_with(&deployment, "cached 2").await;
    let document = DOCUMENT.replace("weight_version = \"v1\"", "weight_version = \"v2\"");
    let body = serde_json::json!({ "generation": 2, "document": document });
    let url = format!("{}/objects/config/trial", deployment.platform_host.url());
    let found = deployment.client.get(&url).send().await.unwrap();
    let version = found.headers()["etag"].clone();
    let put = deployment.client.put(&url).header("if-match", version).body(body.to_string());
    assert!(put.send().await.unwrap().status().is_success());
    placement_with(&deployment, "cached 0").await;
}

#[tokio::test]
async fn lost_cache_events_cost_reuse_but_not_correctness() {
    let deployment = start().await;
    for (engine, _) in &deployment.engines {
        engine.set_faults(Faults { lose_cache_events: true, ..Faults::default() });
    }
    for _ in 0..3 {
        let event = placement_with(&deployment, "").await;
        // Before the first load report no pool of engines is known; placement then goes by requests in flight.
        let is_without_reuse =
            ["cached 0", "least in flight"].iter().any(|it| event.detail.starts_with(it));
        assert!(is_without_reuse, "{}", event.detail);
    }
    for (engine, _) in &deployment.engines {
        engine.set_faults(Faults::default());
    }
    placement_with(&deployment, "cached 2").await;
}
