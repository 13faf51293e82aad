use bilberryford_gateway::PlannedStop;
use bilberryford_types::TimeMs;
use rstest::rstest;

/// When the process sees the signal, on its own clock.
const SEEN_MS: u64 = 10_000;
/// From then to the time at which responses that are not ready are given up.
const DUE_IN_MS: TimeMs = TimeMs(6_900);
/// How long after the signal a request may be sent that the end of the stop cuts, by the platform's rules.
const EXCUSED_MS: u64 = 3_000;

#[rstest]
#[case::long_request_before_the_balancer_has_noticed(0, 15_000, true)]
#[case::the_same_at_its_second_check(1_999, 15_000, true)]
#[case::long_request_on_a_kept_connection(2_000, 15_000, false)]
#[case::it_ends_just_too_late(2_000, 4_901, false)]
#[case::it_ends_in_time(2_000, 4_900, true)]
#[case::short_request_near_the_end(6_800, 100, true)]
#[case::after_the_end(7_000, 1, false)]
fn requests_that_the_end_of_a_stop_may_cut_are_refused(
    #[case] after_ms: u64,
    #[case] time_left_ms: u64,
    #[case] is_allowed: bool,
) {
    let stop = PlannedStop::new(TimeMs(SEEN_MS), DUE_IN_MS);
    let now_ms = TimeMs(SEEN_MS + after_ms);
    assert_eq!(stop.allows(now_ms.after(TimeMs(time_left_ms)), now_ms), is_allowed);
}

/// Guards against a stream that is passed on when nothing excuses its cut any more, by a process that saw the signal late.
#[rstest]
#[case::at_once(0)]
#[case::with_an_eighth_of_a_core(400)]
#[case::later_still(900)]
fn no_long_request_that_is_sent_after_the_excused_time_is_passed_on(#[case] seen_late_ms: u64) {
    let stop = PlannedStop::new(TimeMs(SEEN_MS), DUE_IN_MS);
    let sent_ms = TimeMs(SEEN_MS - seen_late_ms + EXCUSED_MS);
    assert!(!stop.allows(sent_ms.after(TimeMs(15_000)), sent_ms));
}
