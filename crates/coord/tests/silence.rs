//! Timeouts of the stall detector.

use bilberryford_coord::StallDetector;
use bilberryford_types::{TimeMs, Tokens};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::fast_stream_at_the_minimum(5, 300)]
#[case::target_rate(48, 384)]
#[case::slow_stream(150, 1_200)]
#[case::very_slow_stream_at_the_maximum(900, 2_000)]
fn the_timeout_follows_the_gap_of_the_stream(#[case] gap_ms: u64, #[case] timeout_ms: u64) {
    let mut detector = StallDetector::new(TimeMs(0), Tokens(100));
    (1..100).for_each(|number| detector.record_token(TimeMs(number * gap_ms)));
    // The average is rounded down, so that the timeout may be up to one millisecond per gap too short.
    assert!(detector.timeout().get().abs_diff(timeout_ms) <= 8, "{}", detector.timeout());
    let last_ms = 99 * gap_ms;
    assert_ne!(detector.remaining(TimeMs(last_ms + timeout_ms - 9)), TimeMs(0));
    assert_eq!(detector.remaining(TimeMs(last_ms + timeout_ms + 1)), TimeMs(0));
}

#[rstest]
#[case::short_prompt(100, 1_050)]
#[case::long_prompt(8_000, 5_000)]
#[case::very_long_prompt(1_000_000, 15_000)]
fn before_the_first_token_the_timeout_covers_the_prefill(
    #[case] tokens: u32,
    #[case] timeout_ms: u64,
) {
    let detector = StallDetector::new(TimeMs(7), Tokens(tokens));
    assert_eq!(detector.timeout(), TimeMs(timeout_ms));
    assert_eq!(detector.remaining(TimeMs(7)), TimeMs(timeout_ms));
}

#[test]
fn reconnects_without_a_token_double_the_timeout() {
    let mut detector = StallDetector::new(TimeMs(0), Tokens(0));
    let timeouts: Vec<_> = (0..6)
        .map(|number| {
            detector.record_reconnect(TimeMs(number));
            detector.timeout().get()
        })
        .collect();
    assert_eq!(timeouts, [2_000, 4_000, 8_000, 15_000, 15_000, 15_000]);
    detector.record_token(TimeMs(10));
    assert_eq!(detector.timeout(), TimeMs(300));
}

proptest! {
    #[test]
    fn the_timeout_stays_within_its_bounds(gaps in prop::collection::vec(0_u64..100_000, 1..50)) {
        let mut detector = StallDetector::new(TimeMs(0), Tokens(10));
        let mut now = 0;
        for gap in gaps {
            now += gap;
            detector.record_token(TimeMs(now));
            prop_assert!((300..=2_000).contains(&detector.timeout().get()));
        }
    }
}
