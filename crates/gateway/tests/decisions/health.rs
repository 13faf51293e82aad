use bilberryford_gateway::{CircuitState, EndpointHealth};
use bilberryford_types::TimeMs;

#[test]
fn two_lost_responses_in_a_row_open_the_circuit_but_one_does_not() {
    let mut health = EndpointHealth::default();
    assert!(!health.record_failure(TimeMs(0), false));
    assert_eq!(health.circuit(TimeMs(1)), CircuitState::Closed);
    assert!(health.record_failure(TimeMs(10), false));
    assert_eq!(health.circuit(TimeMs(11)), CircuitState::Open);
}

#[test]
fn a_refused_connection_opens_the_circuit_at_once_and_one_request_is_the_trial() {
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
        "its caller left, so another request is the trial"
    );
    health.record_success();
    assert_eq!(health.circuit(TimeMs(263)), CircuitState::Closed);
}

/// An endpoint that is down for 20 s gets few trials, and the next one soon after its recovery.
#[test]
fn a_silent_endpoint_gets_few_trials() {
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
    let next_trial_ms = (20_000..)
        .step_by(20)
        .map(TimeMs)
        .find(|now| health.circuit(*now) == CircuitState::HalfOpen);
    assert!(next_trial_ms.is_some_and(|at| at <= TimeMs(22_020)), "{next_trial_ms:?}");
}
