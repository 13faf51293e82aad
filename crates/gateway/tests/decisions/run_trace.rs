use bilberryford_gateway::RunTrace;
use bilberryford_types::TimeMs;
use rstest::rstest;

/// Records at a steady interval up to `end_ms`.
fn running_until(trace: &mut RunTrace, begin_ms: u64, end_ms: u64) {
    (begin_ms..=end_ms).step_by(400).for_each(|at_ms| trace.record(TimeMs(at_ms)));
}

#[rstest]
#[case::read_before_the_trace_is_written(None, 12_000, 10_000)]
#[case::read_after_the_trace_is_written(Some(12_000), 12_010, 10_000)]
#[case::still_catching_up(Some(12_000), 12_900, 10_000)]
#[case::caught_up(Some(12_000), 13_100, 13_100)]
fn what_is_read_after_a_suspension_is_dated_at_its_begin(
    #[case] thawed_ms: Option<u64>,
    #[case] now_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut trace = RunTrace::default();
    running_until(&mut trace, 2_000, 10_000);
    if let Some(thawed_ms) = thawed_ms {
        running_until(&mut trace, thawed_ms, now_ms);
    }
    assert_eq!(trace.unread_since(TimeMs(now_ms)), TimeMs(expected_ms));
}

#[test]
fn two_suspensions_one_after_the_other_count_as_one() {
    let mut trace = RunTrace::default();
    running_until(&mut trace, 2_000, 10_000);
    trace.record(TimeMs(12_000));
    trace.record(TimeMs(12_900));
    assert_eq!(trace.unread_since(TimeMs(12_950)), TimeMs(10_000));
}

#[test]
fn a_process_that_was_not_suspended_dates_at_the_time_of_reading() {
    let mut trace = RunTrace::default();
    assert_eq!(trace.unread_since(TimeMs(1_000)), TimeMs(1_000));
    running_until(&mut trace, 2_000, 10_000);
    assert_eq!(trace.unread_since(TimeMs(10_300)), TimeMs(10_300));
}
