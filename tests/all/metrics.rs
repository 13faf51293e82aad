//! The metrics of an instance under their documented names.

use bilberryford_standins::load::Outcome;

use crate::support::{Deployment, eventually, fast_engine};

/// Metric names, with labels where one is required, and the least value after a prompt, an order and a refusal.
const EXPECTED: [(&str, f64); 33] = [
    ("bilberryford_requests_total", 3.0),
    ("bilberryford_requests_in_flight", 0.0),
    ("bilberryford_refusals_total{kind=\"unknown_model\"}", 1.0),
    ("bilberryford_retries_total{class=\"fresh\"}", 0.0),
    ("bilberryford_retries_total{class=\"begun\"}", 0.0),
    ("bilberryford_chunks_dropped_total", 0.0),
    ("bilberryford_first_token_seconds_count", 1.0),
    ("bilberryford_first_token_seconds_sum", 0.0),
    ("bilberryford_first_token_seconds_bucket{le=\"10\"}", 1.0),
    ("bilberryford_prompt_tokens_total", 1.0),
    ("bilberryford_cached_tokens_total", 0.0),
    ("bilberryford_recomputed_tokens_total", 1.0),
    ("bilberryford_orders_total{outcome=\"done\"}", 1.0),
    ("bilberryford_orders_total{outcome=\"not_run\"}", 0.0),
    ("bilberryford_orders_total{outcome=\"in_doubt\"}", 0.0),
    ("bilberryford_orders_in_doubt", 0.0),
    ("bilberryford_quarantined", 0.0),
    ("bilberryford_generation", 1.0),
    ("bilberryford_members{state=\"alive\"}", 2.0),
    ("bilberryford_members{state=\"suspect\"}", 0.0),
    ("bilberryford_members{state=\"leaving\"}", 0.0),
    ("bilberryford_members{state=\"failed\"}", 0.0),
    ("bilberryford_endpoints{state=\"live\"}", 3.0),
    ("bilberryford_endpoints{state=\"suspect\"}", 0.0),
    ("bilberryford_endpoints{state=\"leaving\"}", 0.0),
    ("bilberryford_platform_calls_total", 1.0),
    ("bilberryford_control_io_bytes_total{network_io_direction=\"transmit\",with=\"peer\"}", 1.0),
    ("bilberryford_control_io_bytes_total{network_io_direction=\"receive\",with=\"peer\"}", 1.0),
    (
        "bilberryford_control_io_bytes_total{network_io_direction=\"transmit\",with=\"platform\"}",
        1.0,
    ),
    (
        "bilberryford_control_io_bytes_total{network_io_direction=\"receive\",with=\"platform\"}",
        1.0,
    ),
    ("process_cpu_time_seconds_total{cpu_mode=\"user\"}", 0.0),
    ("process_cpu_time_seconds_total{cpu_mode=\"system\"}", 0.0),
    ("bilberryford_first_token_seconds_bucket{le=\"+Inf\"}", 1.0),
];

/// Returns the value of the first sample with the name and all labels of `name`.
fn sample_value(text: &str, name: &str) -> Option<f64> {
    let (name, labels) = name.split_once('{').unwrap_or((name, ""));
    let labels: Vec<_> = labels.trim_end_matches('}').split(',').collect();
    let line = text.lines().find(|line| {
        let is_named = line.split(['{', ' ']).next() == Some(name);
        is_named && labels.iter().all(|label| line.contains(label))
    })?;
    line.rsplit(' ').next()?.parse().ok()
}

#[tokio::test]
async fn expected_metrics_are_exported_and_every_exported_metric_is_documented() {
    let deployment = Deployment::start(2, &fast_engine()).await.unwrap();
    let url = deployment.url(0);
    let caller = deployment.caller();
    let result = caller.prompt(&url, "assistant", "where is the lorry?", 20, true).await;
    assert_eq!(result.outcome, Outcome::Complete);
    assert_eq!(caller.order(&url, "desk", "order-1").await, Outcome::Complete);
    let result = caller.prompt(&url, "no-such-model", "where is the lorry?", 20, true).await;
    assert!(matches!(result.outcome, Outcome::Refused { .. }), "{result:?}");
    let read = || async {
        let request = deployment.client.get(format!("{url}/metrics"));
        request.send().await.ok()?.text().await.ok()
    };
    let missing = |text: &str| -> Vec<&str> {
        let is_missing =
            |(name, least): &&(&str, f64)| sample_value(text, name).is_none_or(|it| it < *least);
        EXPECTED.iter().filter(is_missing).map(|(name, _)| *name).collect()
    };
    let complete = eventually(|| async { missing(&read().await?).is_empty().then_some(()) }).await;
    let text = read().await.unwrap_or_default();
    assert!(complete.is_some(), "missing: {:?} in\n{text}", missing(&text));
    let documented = include_str!("../../docs/OPERATIONS.md");
    let (_, section) =
        documented.split_once("## Metrics").expect("the page has a section on metrics");
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let name = line.split(' ').nth(2).unwrap_or_default();
        assert!(section.contains(&format!("`{name}`")), "{name} is not documented");
    }
}
