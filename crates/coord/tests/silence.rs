//! When a stream counts as silent.

use bilberryford_coord::StallDetector;
use bilberryford_types::{TimeMs, Tokens};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::fast_stream_has_the_floor(5, 300)]
#[case::at_the_target_rate(48, 384)]
#[case::slow_stream(150, 1_200)]
#[case::very_slow_stream_has_the_ceiling(900, 2_000)]
fn the_bound_follows_the_streams_own_gap(#[case] gap_ms: u64, #[case] bound_ms: u64) {
    let mut detector = StallDetector::new(TimeMs(0), Tokens(100));
    (1..100).for_each(|number| detector.record_token(TimeMs(number * gap_ms)));
    // Gaps are averaged in whole fractions, so that the bound may be a millisecond a gap short.
    assert!(detector.timeout().get().abs_diff(bound_ms) <= 8, "{}", detector.timeout());
    let last = 99 * gap_ms;
    assert_ne!(detector.remaining(TimeMs(last + bound_ms - 9)), TimeMs(0));
    assert_eq!(detector.remaining(TimeMs(last + bound_ms + 1)), TimeMs(0));
}

#[rstest]
#[case::short_prompt(100, 1_050)]
#[case::long_prompt(8_000, 5_000)]
#[case::very_long_prompt(1_000_000, 15_000)]
fn before_the_first_token_the_prefill_is_waited_for(#[case] tokens: u32, #[case] bound_ms: u64) {
    let detector = StallDetector::new(TimeMs(7), Tokens(tokens));
    assert_eq!(detector.timeout(), TimeMs(bound_ms));
    assert_eq!(detector.remaining(TimeMs(7)), TimeMs(bound_ms));
}

#[test]
fn probes_without_progress_come_less_and_less_often() {
    let mut detector = StallDetector::new(TimeMs(0), Tokens(0));
    let bounds: Vec<_> = (0..6)
        .map(|number| {
            detector.record_reconnect(TimeMs(number));
            detector.timeout().get()
        })
        .collect();
    assert_eq!(bounds, [2_000, 4_000, 8_000, 15_000, 15_000, 15_000]);
    detector.record_token(TimeMs(10));
    assert_eq!(detector.timeout(), TimeMs(300));
}

proptest! {
    #[test]
    fn the_bound_stays_between_floor_and_ceiling(gaps in prop::collection::vec(0_u64..100_000, 1..50)) {
        let mut detector = StallDetector::new(TimeMs(0), Tokens(10));
        let mut now = 0;
        for gap in gaps {
            now += gap;
            detector.record_token(TimeMs(now));
            prop_assert!((300..=2_000).contains(&detector.timeout().get()));
        }
    }
}
