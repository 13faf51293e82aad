use bilberryford_gateway::{EngineWeights, PublishedWeights, plan_weights};
use bilberryford_types::{EndpointId, TimeMs};

fn engine(name: &str, version: Option<u64>) -> EngineWeights {
    EngineWeights {
        id: name.parse::<EndpointId>().expect("a name"),
        version,
        is_busy: false,
        accepted_orders: 7,
        ordered_ms: None,
    }
}

fn ordered(engines: &[EngineWeights], target: u64, now_ms: u64) -> Vec<String> {
    let plan = plan_weights(engines, target, TimeMs(now_ms));
    plan.orders.into_iter().map(|order| order.id.to_string()).collect()
}

/// Seen on a day with two versions named 9 s apart: the engines with the oldest weights were served last.
#[test]
fn the_oldest_weights_are_replaced_first() {
    let engines: Vec<_> = [("a", 2), ("b", 2), ("c", 1), ("d", 2), ("e", 1), ("f", 2)]
        .map(|(name, version)| engine(name, Some(version)))
        .into();
    assert_eq!(ordered(&engines, 3, 0), ["c", "e"]);
}

#[test]
fn a_third_of_the_engines_load_at_once_and_silent_orders_count() {
    let mut engines: Vec<_> = (0..9).map(|index| engine(&format!("e{index}"), Some(1))).collect();
    engines[0].is_busy = true;
    engines[1].ordered_ms = Some(TimeMs(9_000));
    assert_eq!(ordered(&engines, 2, 10_000).len(), 1);
    // The silent order is over by then, or was lost: its engine may be ordered again.
    assert_eq!(ordered(&engines, 2, 12_000).len(), 2);
}

#[test]
fn an_engine_that_does_not_answer_gets_no_order() {
    assert!(ordered(&[engine("a", None), engine("b", Some(2))], 2, 0).is_empty());
}

/// Each version is bound by its own time: the newest one does not excuse weights older than the one before it.
#[test]
fn each_named_version_has_a_bound_of_its_own() {
    let mut named = PublishedWeights::default();
    assert!(named.record_published(2, TimeMs(1_000)));
    assert!(named.record_published(3, TimeMs(6_000)));
    assert!(!named.record_published(3, TimeMs(7_000)));
    let bound_ms = TimeMs(10_000);
    assert_eq!(named.required(TimeMs(10_900), bound_ms), None);
    assert_eq!(named.required(TimeMs(11_000), bound_ms), Some(2));
    assert_eq!(named.required(TimeMs(16_000), bound_ms), Some(3));
    assert_eq!(named.usable_until(1, bound_ms), Some(TimeMs(11_000)));
    assert_eq!(named.usable_until(2, bound_ms), Some(TimeMs(16_000)));
    assert_eq!(named.usable_until(3, bound_ms), None);
}
