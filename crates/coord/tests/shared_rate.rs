//! The division of a total among instances, and one instance's part of a rate limit.

use bilberryford_coord::{SharePlace, SharedRate};
use bilberryford_types::{RequestRate, TimeMs};
use proptest::prelude::*;
use rstest::rstest;

const SETTLE_MS: TimeMs = TimeMs(500);
const START_MS: u64 = 10_000;

fn at(after_ms: u64) -> TimeMs {
    TimeMs(START_MS + after_ms)
}

fn alone(limit_per_s: u64) -> SharedRate {
    let limit = RequestRate::per_s(limit_per_s);
    SharedRate::new(limit, at(0), Some(SharePlace::new(0, 1)), SETTLE_MS, at(0))
}

/// The requests that may be sent from `from_ms` to `to_ms`, if there always is one.
fn sent(rate: &mut SharedRate, from_ms: u64, to_ms: u64) -> usize {
    (from_ms..to_ms).filter(|&after_ms| rate.try_take(at(after_ms))).count()
}

proptest! {
    #[test]
    fn the_parts_of_all_places_add_up_to_the_total(total in 0u64..5_000, sharers in 1u64..1_000) {
        let parts: u64 = (0..sharers).map(|rank| SharePlace::new(rank, sharers).part(total)).sum();
        prop_assert_eq!(parts, total);
    }

    #[test]
    fn the_rates_of_all_places_add_up_to_at_most_the_limit(milli_per_s in 100u64..100_000, sharers in 1u64..400) {
        let limit = RequestRate::from_milli_per_s(milli_per_s);
        let rate = |rank| {
            SharedRate::new(limit, at(0), Some(SharePlace::new(rank, sharers)), SETTLE_MS, at(0)).rate()
        };
        let all: u64 = (0..sharers).map(|rank| rate(rank).milli_per_s()).sum();
        prop_assert!(all <= milli_per_s);
        // What an even division leaves over is less than a thousandth for each holder.
        prop_assert!(all + sharers >= milli_per_s);
    }
}

#[test]
fn nothing_is_stored_when_a_limit_becomes_known() {
    let mut rate = alone(1);
    assert_eq!(sent(&mut rate, 0, 999), 0);
    assert_eq!(sent(&mut rate, 999, 5_001), 5);
}

/// An instance that was idle for long has one request, or a quarter of a second's worth, not what it did not use.
#[rstest]
#[case::one_request(1, 1)]
#[case::a_quarter_of_a_second(40, 10)]
fn an_idle_instance_stores_little(#[case] limit_per_s: u64, #[case] burst: usize) {
    let mut rate = alone(limit_per_s);
    assert_eq!((0..100).filter(|_| rate.try_take(at(60_000))).count(), burst);
}

#[test]
fn a_lower_limit_holds_at_once() {
    let mut rate = alone(40);
    rate.record_stated(RequestRate::per_s(1), at(2_000), at(2_000));
    assert!(sent(&mut rate, 2_000, 3_000) <= 1);
}

#[test]
fn a_higher_limit_waits_until_the_others_know_it() {
    let mut rate = alone(1);
    rate.record_stated(RequestRate::per_s(100), at(1), at(1));
    assert!(sent(&mut rate, 1, 500) <= 1);
    assert!(sent(&mut rate, 500, 2_000) > 50);
}

/// The limit rises, and falls to a value between before that is in force.
#[test]
fn only_the_lowest_limit_of_the_settling_time_comes_into_force() {
    let mut rate = alone(1);
    rate.record_stated(RequestRate::per_s(100), at(1), at(1));
    rate.record_stated(RequestRate::per_s(10), at(400), at(400));
    rate.record_stated(RequestRate::per_s(100), at(501), at(501));
    assert_eq!(rate.rate(), RequestRate::per_s(10));
}

/// The instance ahead of it left: it may still have sent shortly before.
#[test]
fn a_new_holder_waits_until_the_old_one_knows() {
    let limit = RequestRate::per_s(1);
    let second = Some(SharePlace::new(1, 2));
    let mut rate = SharedRate::new(limit, at(0), second, SETTLE_MS, at(0));
    assert_eq!(sent(&mut rate, 0, 5_000), 0);
    rate.set_place(Some(SharePlace::new(0, 1)), SETTLE_MS, at(5_000));
    assert_eq!(sent(&mut rate, 5_000, 6_499), 0);
    assert_eq!(sent(&mut rate, 6_499, 7_000), 1);
}

#[test]
fn a_holder_that_is_displaced_stops_at_once() {
    let mut rate = alone(1);
    rate.set_place(Some(SharePlace::new(1, 2)), SETTLE_MS, at(900));
    assert_eq!(sent(&mut rate, 900, 10_000), 0);
    assert_eq!(rate.next_ms(at(10_000)), at(11_000));
}

/// Answers on different connections overtake each other.
#[test]
fn an_older_response_without_a_limit_does_not_end_it() {
    let mut rate = alone(1);
    rate.record_not_stated(TimeMs(START_MS - 1), at(100));
    assert!(!rate.has_ended());
    rate.record_not_stated(at(50), at(100));
    assert!(rate.has_ended());
    rate.record_stated(RequestRate::per_s(1), at(200), at(200));
    assert!(!rate.has_ended());
}

#[test]
fn the_load_returns_step_by_step_after_the_end_of_a_limit() {
    let mut rate = alone(1);
    rate.record_not_stated(at(1), at(2));
    let by_second: Vec<_> =
        (0..6).map(|second| sent(&mut rate, second * 1_000 + 2, second * 1_000 + 1_002)).collect();
    assert!(by_second[1] <= 2 && by_second[2] <= 4, "{by_second:?}");
    assert!(by_second[5] >= 8, "{by_second:?}");
    assert!(!rate.is_over(at(7_000)) && rate.is_over(at(8_001)));
}
