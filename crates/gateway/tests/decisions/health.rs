use bilberryford_gateway::{CircuitState, EndpointHealth};
use bilberryford_types::TimeMs;

#[test]
fn one_lost_answer_does_not_break_an_endpoint_but_two_in_a_row_do() {
    let mut health = EndpointHealth::default();
    assert!(!health.record_failure(TimeMs(0), false));
    assert_eq!(health.circuit(TimeMs(1)), CircuitState::Closed);
    assert!(health.record_failure(TimeMs(10), false));
    assert_eq!(health.circuit(TimeMs(11)), CircuitState::Open);
}

#[test]
fn a_refused_connection_breaks_at_once_and_one_request_is_the_trial() {
    let mut health = EndpointHealth::default();
    assert!(health.record_failure(TimeMs(0), true));
    assert_eq!(health.circuit(TimeMs(200)), CircuitState::Open);
    assert_eq!(health.circuit(TimeMs(260)), CircuitState::HalfOpen);
    health.start_trial();
    assert_eq!(health.circuit(TimeMs(261)), CircuitState::Open, "others wait for the trial");
    health.cancel_trial();
    assert_eq!(
        health.circuit(TimeMs(262)),
        CircuitState::HalfOpen,
        "its caller left, another one tries"
    );
    health.record_success();
    assert_eq!(health.circuit(TimeMs(263)), CircuitState::Closed);
}

/// An endpoint that is down for 20 s costs few trials, and takes work soon after it is back.
#[test]
fn an_endpoint_that_is_dark_costs_few_trials() {
    let mut health = EndpointHealth::default();
    health.record_failure(TimeMs(0), true);
    let mut trials = 0;
    for now_ms in (0..20_000).step_by(20).map(TimeMs) {
        if health.circuit(now_ms) == CircuitState::HalfOpen {
            trials += 1;
            health.start_trial();
            health.record_failure(now_ms, true);
        }
    }
    assert!((8..=13).contains(&trials), "{trials} trials");
    let back_ms = (20_000..)
        .step_by(20)
        .map(TimeMs)
        .find(|now| health.circuit(*now) == CircuitState::HalfOpen);
    assert!(back_ms.is_some_and(|at| at <= TimeMs(22_020)), "{back_ms:?}");
}
