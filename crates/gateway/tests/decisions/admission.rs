use bilberryford_coord::{ReturnState, Standing};
use bilberryford_gateway::{Admission, Contention, Forecast, RankTokens, admit};
use bilberryford_types::TimeMs;
use rstest::rstest;

const TARGET_MS: u64 = 600;
const TIMEOUT_MS: u64 = 3_000;
/// The prefill time of one prompt in the replay.
const PREFILL_MS: u64 = 50;

fn forecast(first_token_ms: u64, left_ms: u64, waiting_tokens: u64) -> Forecast {
    Forecast {
        first_token_ms: TimeMs(first_token_ms),
        own_work_ms: TimeMs(PREFILL_MS),
        rank_per_mille: 1_000,
        waiting_tokens,
        left_ms: TimeMs(left_ms),
        timeout_ms: TimeMs(TIMEOUT_MS),
        target_ms: TimeMs(TARGET_MS),
        is_continuation: false,
    }
}

#[rstest]
#[case::on_time(500, 3_000, 50_000, true)]
#[case::slightly_late(880, 3_000, 50_000, true)]
#[case::too_late(1_500, 3_000, 50_000, false)]
#[case::a_retry_may_exceed_the_target(1_300, 2_000, 50_000, true)]
#[case::a_retry_that_would_miss_its_deadline(1_500, 2_000, 50_000, false)]
#[case::a_slow_engine_without_a_queue(2_500, 3_000, 100, true)]
fn prompts_with_a_late_first_token_are_refused(
    #[case] first_token_ms: u64,
    #[case] left_ms: u64,
    #[case] waiting_tokens: u64,
    #[case] is_admitted: bool,
) {
    let admission = admit(&forecast(first_token_ms, left_ms, waiting_tokens), None);
    assert_eq!(admission == Admission::Admitted, is_admitted, "{admission:?}");
}

#[test]
fn retry_after_is_at_most_a_third_of_the_remaining_time() {
    for (first_token_ms, left_ms) in [(5_000, 3_000), (1_000, 900), (910, 3_000)] {
        match admit(&forecast(first_token_ms, left_ms, 50_000), None) {
            Admission::RetryAfter(after_ms) => assert!(after_ms.get() <= (left_ms / 3).max(100)),
            Admission::Admitted => panic!("{first_token_ms} of {left_ms} is admitted"),
        }
    }
}

/// Replays six seconds at 1.6 times the capacity of an engine and six at four fifths of it, and returns the number of
/// first tokens that are on time during the burst and after it.
fn replay(has_admission: bool) -> (usize, usize) {
    let (mut free_at_ms, mut on_time, mut arrivals) = (0_u64, [0, 0], Vec::new());
    let mut now_ms = 0;
    while now_ms < 12_000 {
        arrivals.push(now_ms);
        now_ms += if now_ms < 6_000 { PREFILL_MS * 10 / 16 } else { PREFILL_MS * 10 / 8 };
    }
    for arrived_ms in arrivals {
        let first_token_ms = free_at_ms.saturating_sub(arrived_ms) + PREFILL_MS;
        let admission = admit(&forecast(first_token_ms, TIMEOUT_MS, first_token_ms * 50), None);
        if has_admission && admission != Admission::Admitted {
            continue;
        }
        // The engine prefills the prompt even if its first token is too late to be useful.
        free_at_ms = free_at_ms.max(arrived_ms) + PREFILL_MS;
        if first_token_ms <= TARGET_MS * 3 / 2 {
            on_time[usize::from(arrived_ms >= 6_000)] += 1;
        }
    }
    (on_time[0], on_time[1])
}

/// Without admission control, first tokens stay late long after a burst, as with a third of the pool silent.
#[test]
fn first_tokens_are_on_time_again_after_a_burst() {
    let (without_in, without_after) = replay(false);
    let (with_in, with_after) = replay(true);
    assert!(
        with_in > without_in * 2,
        "during the burst {with_in}, without admission control {without_in}"
    );
    assert!(with_after * 10 >= 96 * 9, "after the burst {with_after} of 96");
    assert!(
        without_after * 2 < with_after,
        "without admission control {without_after}, with it {with_after}"
    );
}

/// Guards against streams that are refused while new ones begin: those that go on queue at the endpoints of one build.
#[rstest]
#[case::later_than_a_new_prompt_may_be(1_500, 3_000, true)]
#[case::as_late_as_is_useful(2_090, 3_000, true)]
#[case::too_late_for_its_caller(2_110, 3_000, false)]
fn a_continuation_is_admitted_while_it_is_useful(
    #[case] first_token_ms: u64,
    #[case] left_ms: u64,
    #[case] is_admitted: bool,
) {
    let forecast = Forecast { is_continuation: true, ..forecast(first_token_ms, left_ms, 50_000) };
    assert_eq!(admit(&forecast, None) == Admission::Admitted, is_admitted);
}

/// In a contended pool, a continuation is admitted while it is useful, or with the limit of a promised return if its share is
/// over its part.
#[rstest]
#[case::within(Standing::Within, 2_090)]
#[case::over(Standing::Over, 640)]
fn a_continuation_in_a_contended_pool_is_limited_by_its_share(
    #[case] standing: Standing,
    #[case] latest_ms: u64,
) {
    let contention = Contention { standing, return_state: NEW };
    for (first_token_ms, is_admitted) in [(latest_ms, true), (latest_ms + 20, false)] {
        let forecast =
            Forecast { is_continuation: true, ..forecast(first_token_ms, TIMEOUT_MS, 50_000) };
        let admission = admit(&forecast, Some(&contention));
        assert_eq!(admission == Admission::Admitted, is_admitted, "{first_token_ms} ms");
    }
}

/// Replays six seconds at 1.6 times the capacity of the engines of a build, where each twentieth prompt goes on with a stream.
/// Returns the admitted per thousand of these and of the new ones, and the number of new first tokens that are on time.
fn replay_continuations(are_marked: bool) -> (u64, u64, u64) {
    let mut free_at_ms = 0_u64;
    let mut admitted = [0_u64; 2];
    let mut of_kind = [0_u64; 2];
    let mut on_time = 0;
    for (number, arrived_ms) in (0..6_000).step_by(PREFILL_MS as usize * 10 / 16).enumerate() {
        let is_continuation = number % 20 == 0;
        let first_token_ms = free_at_ms.saturating_sub(arrived_ms) + PREFILL_MS;
        let forecast = Forecast {
            is_continuation: is_continuation && are_marked,
            ..forecast(first_token_ms, TIMEOUT_MS, first_token_ms * 50)
        };
        of_kind[usize::from(is_continuation)] += 1;
        if admit(&forecast, None) != Admission::Admitted {
            continue;
        }
        admitted[usize::from(is_continuation)] += 1;
        free_at_ms = free_at_ms.max(arrived_ms) + PREFILL_MS;
        on_time += u64::from(!is_continuation && first_token_ms <= TARGET_MS * 3 / 2);
    }
    (admitted[1] * 1_000 / of_kind[1], admitted[0] * 1_000 / of_kind[0], on_time)
}

/// A stream that was taken up must have at least the chance of a new one, at the cost of a few of these.
#[test]
fn streams_that_go_on_are_admitted_in_a_burst() {
    let (unmarked, _, new_before) = replay_continuations(false);
    let (continuations, new, new_on_time) = replay_continuations(true);
    assert!(unmarked < 1_000, "{unmarked} per thousand, so that the replay shows nothing");
    assert_eq!(continuations, 1_000, "of a thousand; of new ones {new}");
    assert!(new_on_time * 100 >= new_before * 95, "{new_on_time} new ones, {new_before} before");
}

#[test]
fn only_tokens_of_the_same_or_a_more_urgent_rank_are_ahead() {
    let mut waiting = RankTokens::default();
    waiting.add(3, 100);
    waiting.add(4, 1_000);
    assert_eq!((waiting.ahead_of(2), waiting.ahead_of(3), waiting.ahead_of(4)), (0, 100, 1_100));
    waiting.remove(3, 500);
    assert_eq!(waiting.ahead_of(9), 1_000);
}

/// A prompt of a contended pool with a deadline of three seconds and a target of 600 ms.
fn contended(
    first_token_ms: u64,
    left_ms: u64,
    standing: Standing,
    return_state: ReturnState,
) -> bool {
    let forecast = forecast(first_token_ms, left_ms, 50_000);
    admit(&forecast, Some(&Contention { standing, return_state })) == Admission::Admitted
}

const NEW: ReturnState = ReturnState::Unknown;
const EARLY: ReturnState = ReturnState::Early { left_ms: TimeMs(100) };

/// Whoever is over its part must not keep others from theirs, and a return must have a place before new prompts.
#[rstest]
#[case::over_at_the_target(Standing::Over, NEW, 340)]
#[case::over_is_no_exception_for_an_early_return(Standing::Over, EARLY, 340)]
#[case::within_slightly_later(Standing::Within, NEW, 490)]
#[case::a_promised_return_before_new_prompts(Standing::Within, ReturnState::Due, 640)]
#[case::a_promised_return_of_a_share_that_is_over(Standing::Over, ReturnState::Due, 640)]
#[case::under_while_it_is_useful(Standing::Under, NEW, 2_090)]
fn the_latest_first_token_depends_on_the_standing(
    #[case] standing: Standing,
    #[case] return_state: ReturnState,
    #[case] latest_ms: u64,
) {
    assert!(contended(latest_ms, TIMEOUT_MS, standing, return_state));
    assert!(!contended(latest_ms + 20, TIMEOUT_MS, standing, return_state));
}

/// A caller that comes back before the promised time must not have the limit of a return.
#[test]
fn an_early_return_has_the_limit_of_a_new_prompt() {
    assert!(contended(600, 2_000, Standing::Within, NEW));
    assert!(!contended(600, 2_000, Standing::Within, EARLY));
    assert!(contended(480, 2_000, Standing::Within, EARLY));
}

/// Long prompts of a route must not be starved by its short ones: both are admitted after the same wait.
#[rstest]
fn the_wait_decides_and_not_the_size(#[values(10, 100, 500, 900)] own_work_ms: u64) {
    let after = |wait_ms: u64| {
        let own_work_ms = TimeMs(own_work_ms);
        let first_token_ms = TimeMs(wait_ms + own_work_ms.get());
        let forecast =
            Forecast { own_work_ms, ..forecast(first_token_ms.get(), TIMEOUT_MS, 50_000) };
        let contention = Contention { standing: Standing::Within, return_state: NEW };
        admit(&forecast, Some(&contention)) == Admission::Admitted
    };
    assert!(after(440));
    assert!(!after(460));
}

/// More urgent prompts that are yet to come overtake a waiting one, so that its wait is longer than the queue.
#[test]
fn the_wait_of_a_less_urgent_rank_is_longer() {
    let at = |rank_per_mille: u64| {
        let forecast = Forecast { rank_per_mille, ..forecast(300, TIMEOUT_MS, 50_000) };
        let contention = Contention { standing: Standing::Over, return_state: NEW };
        admit(&forecast, Some(&contention)) == Admission::Admitted
    };
    assert!(at(1_000));
    assert!(!at(500));
}

#[test]
fn a_contended_pool_without_a_queue_refuses_nobody() {
    let forecast = forecast(2_500, TIMEOUT_MS, 100);
    let contention = Contention { standing: Standing::Over, return_state: EARLY };
    assert_eq!(admit(&forecast, Some(&contention)), Admission::Admitted);
}
