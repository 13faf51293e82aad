use bilberryford_gateway::{EndpointHealth, Standing};
use bilberryford_types::TimeMs;

#[test]
fn one_lost_answer_does_not_break_an_endpoint_but_two_in_a_row_do() {
    let mut health = EndpointHealth::default();
    assert!(!health.failed(TimeMs(0), false));
    assert_eq!(health.standing(TimeMs(1)), Standing::Sound);
    assert!(health.failed(TimeMs(10), false));
    assert_eq!(health.standing(TimeMs(11)), Standing::Broken);
}

#[test]
fn a_refused_connection_breaks_at_once_and_one_request_is_the_trial() {
    let mut health = EndpointHealth::default();
    assert!(health.failed(TimeMs(0), true));
    assert_eq!(health.standing(TimeMs(200)), Standing::Broken);
    assert_eq!(health.standing(TimeMs(260)), Standing::Trial);
    health.start_trial();
    assert_eq!(health.standing(TimeMs(261)), Standing::Broken, "others wait for the trial");
    health.trial_abandoned();
    assert_eq!(health.standing(TimeMs(262)), Standing::Trial, "its caller left, another one tries");
    health.succeeded();
    assert_eq!(health.standing(TimeMs(263)), Standing::Sound);
}

/// An endpoint that is down for 20 s costs few trials, and takes work soon after it is back.
#[test]
fn an_endpoint_that_is_dark_costs_few_trials() {
    let mut health = EndpointHealth::default();
    health.failed(TimeMs(0), true);
    let mut trials = 0;
    for now_ms in (0..20_000).step_by(20).map(TimeMs) {
        if health.standing(now_ms) == Standing::Trial {
            trials += 1;
            health.start_trial();
            health.failed(now_ms, true);
        }
    }
    assert!((8..=13).contains(&trials), "{trials} trials");
    let back_ms =
        (20_000..).step_by(20).map(TimeMs).find(|now| health.standing(*now) == Standing::Trial);
    assert!(back_ms.is_some_and(|at| at <= TimeMs(22_020)), "{back_ms:?}");
}
