use bilberryford_gateway::Slowness;
use bilberryford_types::TimeMs;

#[test]
fn slow_engines_are_detected_within_a_few_requests_and_tried_again_when_unused() {
    let mut slowness = Slowness::default();
    for request in 0..20 {
        slowness.sample(5_000, TimeMs(115), TimeMs(request * 100));
    }
    let usual = slowness.percent(TimeMs(2_000)).unwrap_or(0);
    assert!((90..=110).contains(&usual), "{usual}");
    for request in 20..28 {
        slowness.sample(5_000, TimeMs(920), TimeMs(request * 100));
    }
    let slow = slowness.percent(TimeMs(2_800)).unwrap_or(0);
    assert!(slow > 500, "{slow}");
    assert_eq!(slowness.percent(TimeMs(20_000)), None, "an engine without requests is tried again");
}
