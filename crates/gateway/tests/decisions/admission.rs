use bilberryford_gateway::{Admission, Forecast, RankTokens, admit};
use bilberryford_types::TimeMs;
use rstest::rstest;

const TARGET_MS: u64 = 600;
const TIMEOUT_MS: u64 = 3_000;
/// The time that the engine of the replay reads one prompt.
const READ_MS: u64 = 50;

fn forecast(first_token_ms: u64, left_ms: u64, waiting_tokens: u64) -> Forecast {
    Forecast {
        first_token_ms: TimeMs(first_token_ms),
        waiting_tokens,
        left_ms: TimeMs(left_ms),
        timeout_ms: TimeMs(TIMEOUT_MS),
        target_ms: TimeMs(TARGET_MS),
    }
}

#[rstest]
#[case::soon_enough(500, 3_000, 50_000, true)]
#[case::a_little_late(880, 3_000, 50_000, true)]
#[case::too_late(1_500, 3_000, 50_000, false)]
#[case::a_caller_that_was_here_before_has_no_other_chance(1_300, 2_000, 50_000, true)]
#[case::one_that_can_not_be_served_in_its_time(1_500, 2_000, 50_000, false)]
#[case::a_slow_engine_without_a_queue(2_500, 3_000, 100, true)]
fn a_prompt_is_refused_when_its_first_token_is_of_no_use(
    #[case] first_token_ms: u64,
    #[case] left_ms: u64,
    #[case] waiting_tokens: u64,
    #[case] is_admitted: bool,
) {
    let verdict = admit(&forecast(first_token_ms, left_ms, waiting_tokens));
    assert_eq!(verdict == Admission::Admitted, is_admitted, "{verdict:?}");
}

#[test]
fn the_time_to_come_back_is_within_a_third_of_what_is_left() {
    for (first_token_ms, left_ms) in [(5_000, 3_000), (1_000, 900), (910, 3_000)] {
        match admit(&forecast(first_token_ms, left_ms, 50_000)) {
            Admission::RetryAfter(after_ms) => assert!(after_ms.get() <= (left_ms / 3).max(100)),
            Admission::Admitted => panic!("{first_token_ms} of {left_ms} is admitted"),
        }
    }
}

/// Six seconds at 1.6 times what the engine can read, then four fifths of it: how many first tokens are on time, during
/// the burst and after it.
fn replay(is_bounded: bool) -> (usize, usize) {
    let (mut free_at_ms, mut on_time, mut arrivals) = (0_u64, [0, 0], Vec::new());
    let mut now_ms = 0;
    while now_ms < 12_000 {
        arrivals.push(now_ms);
        now_ms += if now_ms < 6_000 { READ_MS * 10 / 16 } else { READ_MS * 10 / 8 };
    }
    for at_ms in arrivals {
        let waits_ms = free_at_ms.saturating_sub(at_ms) + READ_MS;
        let verdict = admit(&forecast(waits_ms, TIMEOUT_MS, waits_ms * 50));
        if is_bounded && verdict != Admission::Admitted {
            continue;
        }
        // An engine reads a prompt until its caller gives up, whether it is of use or not.
        free_at_ms = free_at_ms.max(at_ms) + READ_MS;
        if waits_ms <= TARGET_MS * 3 / 2 {
            on_time[usize::from(at_ms >= 6_000)] += 1;
        }
    }
    (on_time[0], on_time[1])
}

/// Seen on a day with a third of the pool silent under a burst: first tokens stayed late for the rest of the day.
#[test]
fn a_burst_does_not_outlast_itself() {
    let (without_in, without_after) = replay(false);
    let (with_in, with_after) = replay(true);
    assert!(with_in > without_in * 2, "in the burst {with_in}, without a bound {without_in}");
    assert!(with_after * 10 >= 96 * 9, "after the burst {with_after} of 96");
    assert!(
        without_after * 2 < with_after,
        "without a bound {without_after}, with it {with_after}"
    );
}

#[test]
fn what_goes_before_a_request_is_of_its_rank_or_more_urgent() {
    let mut waiting = RankTokens::default();
    waiting.add(3, 100);
    waiting.add(4, 1_000);
    assert_eq!((waiting.ahead_of(2), waiting.ahead_of(3), waiting.ahead_of(4)), (0, 100, 1_100));
    waiting.remove(3, 500);
    assert_eq!(waiting.ahead_of(9), 1_000);
}
