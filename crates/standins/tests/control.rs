//! Contract of an engine's control interface and of the weight store, with and without faults.

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
/// Number of reports that are read before a test fails.
const MAX_POLLS: u32 = 2_000;

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
    let unpooled = reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap();
    let control = HttpControl::new(host.address, unpooled);
    Fixture { engine, _host: host, control }
}

fn order(version: &str, fencing: u64) -> WeightOrder {
    WeightOrder { weight_version: version.parse().unwrap(), fencing: Fencing(fencing) }
}

async fn poll_until(
    control: &HttpControl,
    condition: impl Fn(&ControlReport) -> bool,
) -> ControlReport {
    for _ in 0..MAX_POLLS {
        let report = control.read_report(TIMEOUT).await.unwrap();
        if condition(&report) {
            return report;
        }
    }
    panic!("the engine did not reach the expected state in {MAX_POLLS} polls");
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
async fn a_stale_fencing_number_is_refused_only_if_numbers_are_checked(
    #[case] checks_fencing: bool,
    #[case] first: u64,
    #[case] second: u64,
    #[case] is_accepted: bool,
) {
    let fixture = start(checks_fencing, WeightStore::new(0));
    fixture.control.send_order(&order("v2", first), TIMEOUT).await.unwrap();
    poll_until(&fixture.control, serves("v2")).await;
    let result = fixture.control.send_order(&order("v3", second), TIMEOUT).await;
    if is_accepted {
        assert_eq!(result, Ok(()));
        poll_until(&fixture.control, serves("v3")).await;
    } else {
        assert_eq!(result, Err(OrderError::StaleFencing));
        assert_eq!(fixture.engine.control.stats().refused.len(), 1);
    }
}

#[rstest]
#[case::answer_lost(ControlFaults { lose_answers: 1, ..ControlFaults::default() })]
#[case::late(ControlFaults { late_orders: 1, late_ms: 50, ..ControlFaults::default() })]
#[tokio::test]
async fn an_order_without_a_response_may_take_effect(#[case] faults: ControlFaults) {
    let fixture = start(true, WeightStore::new(0));
    fixture.engine.control.set_faults(faults);
    let error = fixture.control.send_order(&order("v2", 1), TIMEOUT).await.unwrap_err();
    let OrderError::Endpoint(error) = error else { panic!("{error}") };
    assert_eq!(error.ran(), Ran::Maybe);
    poll_until(&fixture.control, serves("v2")).await;
}

#[tokio::test]
async fn an_order_that_arrives_after_a_greater_number_is_refused() {
    let fixture = start(true, WeightStore::new(0));
    let late = ControlFaults { late_orders: 1, late_ms: 100, ..ControlFaults::default() };
    fixture.engine.control.set_faults(late);
    fixture.control.send_order(&order("v2", 1), TIMEOUT).await.unwrap_err();
    fixture.control.send_order(&order("v3", 2), TIMEOUT).await.unwrap();
    for _ in 0..MAX_POLLS {
        if !fixture.engine.control.stats().refused.is_empty() {
            break;
        }
        fixture.control.read_report(TIMEOUT).await.unwrap();
    }
    assert_eq!(fixture.engine.control.stats().refused.len(), 1);
    assert!(poll_until(&fixture.control, serves("v3")).await.loading.is_none());
}

#[tokio::test]
async fn a_repeated_order_starts_no_second_load() {
    let store = WeightStore::new(0);
    let fixture = start(true, store.clone());
    for _ in 0..3 {
        fixture.control.send_order(&order("v2", 1), TIMEOUT).await.unwrap();
        poll_until(&fixture.control, serves("v2")).await;
    }
    assert_eq!(store.stats().started, 1);
}

#[tokio::test]
async fn a_failed_load_keeps_the_served_version() {
    let store = WeightStore::new(0);
    store.set_faults(Faults { fail_loads: 1, ..Faults::default() });
    let fixture = start(true, store.clone());
    fixture.control.send_order(&order("v2", 1), TIMEOUT).await.unwrap();
    poll_until(&fixture.control, |_| store.stats().failed == 1).await;
    poll_until(&fixture.control, serves("v1")).await;
}

#[tokio::test]
async fn an_engine_that_refuses_connections_was_sent_nothing() {
    let fixture = start(true, WeightStore::new(0));
    let control = fixture.control.clone();
    drop(fixture);
    let error = control.read_report(TIMEOUT).await.unwrap_err();
    assert!(matches!(error, EndpointError::Connect { .. }), "{error}");
}

#[rstest]
#[case::two(2, 1_000)]
#[case::four(4, 2_000)]
#[tokio::test(start_paused = true)]
async fn more_than_two_concurrent_loads_share_the_rate(
    #[case] loads: u32,
    #[case] longest_ms: u64,
) {
    let store = WeightStore::new(1_000);
    let started = tokio::time::Instant::now();
    let all = (0..loads).map(|_| store.load());
    assert!(futures::future::join_all(all).await.into_iter().all(|is_loaded| is_loaded));
    assert_eq!(started.elapsed(), Duration::from_millis(longest_ms));
    assert_eq!(store.stats().max_running, loads);
    assert_eq!(store.stats().running, 0);
}
