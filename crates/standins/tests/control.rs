//! The contract of the control side of an engine and of the weight store, with faults in tables.

use std::{sync::Arc, time::Duration};

use bilberryford_endpoint::{
    ControlReport, EndpointError, EngineControl, HttpControl, OrderError, WeightOrder,
};
use bilberryford_standins::{
    deployment::loopback,
    engine::{
        Engine, EngineSpec,
        control::{ControlFaults, ControlSpec},
    },
    host::ServerHandle,
    weight_store::{Faults, WeightStore},
};
use bilberryford_types::{Fencing, Ran, TimeMs};
use rstest::rstest;

const TIMEOUT: TimeMs = TimeMs(5_000);
/// How often a condition is looked at before a test fails.
const LOOKS: u32 = 2_000;

struct Fixture {
    engine: Arc<Engine>,
    _host: ServerHandle,
    control: HttpControl,
}

fn start(checks_fencing: bool, weight_store: Arc<WeightStore>) -> Fixture {
    let control = ControlSpec { checks_fencing, weight_store };
    let spec = EngineSpec { control, ..EngineSpec::new("v1".parse().unwrap()) };
    let engine = Engine::new(spec);
    let host = engine.host(loopback()).unwrap();
    let fresh = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
    let control = HttpControl::new(host.address, fresh);
    Fixture { engine, _host: host, control }
}

fn order(version: &str, fencing: u64) -> WeightOrder {
    WeightOrder { weight_version: version.parse().unwrap(), fencing: Fencing(fencing) }
}

async fn until(control: &HttpControl, is_met: impl Fn(&ControlReport) -> bool) -> ControlReport {
    for _ in 0..LOOKS {
        let report = control.report(TIMEOUT).await.unwrap();
        if is_met(&report) {
            return report;
        }
    }
    panic!("the engine did not get there");
}

fn serves(version: &str) -> impl Fn(&ControlReport) -> bool {
    let version = version.parse().unwrap();
    move |report| report.serves(&version)
}

#[rstest]
#[case::checked_and_old(true, 7, 6, false)]
#[case::checked_and_same(true, 7, 7, true)]
#[case::checked_and_new(true, 7, 8, true)]
#[case::ignored_and_old(false, 7, 6, true)]
#[tokio::test]
async fn an_old_number_is_refused_only_where_numbers_are_checked(
    #[case] checks_fencing: bool,
    #[case] first: u64,
    #[case] second: u64,
    #[case] is_taken: bool,
) {
    let fixture = start(checks_fencing, WeightStore::new(0));
    fixture.control.order(&order("v2", first), TIMEOUT).await.unwrap();
    until(&fixture.control, serves("v2")).await;
    let answer = fixture.control.order(&order("v3", second), TIMEOUT).await;
    if is_taken {
        assert_eq!(answer, Ok(()));
        until(&fixture.control, serves("v3")).await;
    } else {
        assert_eq!(answer, Err(OrderError::OldFencing));
        assert_eq!(fixture.engine.control.stats().refused.len(), 1);
    }
}

#[rstest]
#[case::answer_lost(ControlFaults { lose_answers: 1, ..ControlFaults::default() })]
#[case::late(ControlFaults { late_orders: 1, late_ms: 50, ..ControlFaults::default() })]
#[tokio::test]
async fn an_order_without_an_answer_may_still_take_effect(#[case] faults: ControlFaults) {
    let fixture = start(true, WeightStore::new(0));
    fixture.engine.control.set_faults(faults);
    let error = fixture.control.order(&order("v2", 1), TIMEOUT).await.unwrap_err();
    let OrderError::Endpoint(error) = error else { panic!("{error}") };
    assert_eq!(error.ran(), Ran::Maybe);
    until(&fixture.control, serves("v2")).await;
}

#[tokio::test]
async fn an_order_that_arrives_after_a_greater_number_is_refused() {
    let fixture = start(true, WeightStore::new(0));
    let late = ControlFaults { late_orders: 1, late_ms: 100, ..ControlFaults::default() };
    fixture.engine.control.set_faults(late);
    fixture.control.order(&order("v2", 1), TIMEOUT).await.unwrap_err();
    fixture.control.order(&order("v3", 2), TIMEOUT).await.unwrap();
    for _ in 0..LOOKS {
        if !fixture.engine.control.stats().refused.is_empty() {
            break;
        }
        fixture.control.report(TIMEOUT).await.unwrap();
    }
    assert_eq!(fixture.engine.control.stats().refused.len(), 1);
    assert!(until(&fixture.control, serves("v3")).await.loading.is_none());
}

#[tokio::test]
async fn the_same_order_again_loads_nothing() {
    let store = WeightStore::new(0);
    let fixture = start(true, store.clone());
    for _ in 0..3 {
        fixture.control.order(&order("v2", 1), TIMEOUT).await.unwrap();
        until(&fixture.control, serves("v2")).await;
    }
    assert_eq!(store.stats().started, 1);
}

#[tokio::test]
async fn a_load_that_fails_leaves_the_version_that_was_there() {
    let store = WeightStore::new(0);
    store.set_faults(Faults { fail_loads: 1, ..Faults::default() });
    let fixture = start(true, store.clone());
    fixture.control.order(&order("v2", 1), TIMEOUT).await.unwrap();
    until(&fixture.control, |_| store.stats().failed == 1).await;
    until(&fixture.control, serves("v1")).await;
}

#[tokio::test]
async fn an_engine_that_is_gone_was_sent_nothing() {
    let fixture = start(true, WeightStore::new(0));
    let control = fixture.control.clone();
    drop(fixture);
    let error = control.report(TIMEOUT).await.unwrap_err();
    assert!(matches!(error, EndpointError::Connect { .. }), "{error}");
}

#[rstest]
#[case::two(2, 1_000)]
#[case::four(4, 2_000)]
#[tokio::test(start_paused = true)]
async fn loads_slow_down_when_more_than_two_run(#[case] loads: u32, #[case] longest_ms: u64) {
    let store = WeightStore::new(1_000);
    let started = tokio::time::Instant::now();
    let all = (0..loads).map(|_| store.load());
    assert!(futures::future::join_all(all).await.into_iter().all(|is_loaded| is_loaded));
    assert_eq!(started.elapsed(), Duration::from_millis(longest_ms));
    assert_eq!(store.stats().max_running, loads);
    assert_eq!(store.stats().running, 0);
}
