//! Admission decisions, slot grants and their sum over instances, fairness between teams, adaptive concurrency limits.

use std::collections::HashMap;

use bilberryford_coord::{
    AdmissionController, AdmissionDecision, AdmissionRequest, ConcurrencyLimit, GRANT_VALIDITY,
    GrantedLimit, LimitOwner, MAX_LIMITED_TEAMS, QueueReport, ShedReason, SlotGrant, SlotRequest,
    conservative_share,
};
use bilberryford_types::{Priority, Share, TeamName, TimeMs};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

fn team(name: &str) -> TeamName {
    name.parse().unwrap()
}

fn request(name: &str, share: u32, priority: Priority) -> AdmissionRequest {
    let time_left = TimeMs(10_000);
    AdmissionRequest { team: team(name), share: Share(share), priority, time_left }
}

fn shed_reason(
    admission: &AdmissionController,
    request: &AdmissionRequest,
    capacity: u32,
) -> Option<ShedReason> {
    match admission.decide(request, capacity) {
        AdmissionDecision::Admit => None,
        AdmissionDecision::Shed { reason, .. } => Some(reason),
    }
}

/// A controller with `count` requests of `priority` in flight, each of a different team.
fn controller_with(count: u32, priority: Priority) -> AdmissionController {
    let mut admission = AdmissionController::default();
    for number in 0..count {
        admission.record_admitted(&request(&format!("team-{number}"), 1, priority));
    }
    admission
}

fn controller_with_standard(count: u32) -> AdmissionController {
    controller_with(count, Priority::Standard)
}

#[rstest]
#[case::capacity_left(99, Priority::Interactive, Priority::Batch, None)]
#[case::exhausted_for_batch(150, Priority::Batch, Priority::Batch, Some(ShedReason::Overloaded))]
#[case::batch_does_not_limit_standard(150, Priority::Batch, Priority::Standard, None)]
#[case::standard_limits_batch(
    150,
    Priority::Standard,
    Priority::Batch,
    Some(ShedReason::Overloaded)
)]
#[case::exhausted_for_standard(
    150,
    Priority::Standard,
    Priority::Standard,
    Some(ShedReason::Overloaded)
)]
#[case::standard_does_not_limit_interactive(150, Priority::Standard, Priority::Interactive, None)]
#[case::exhausted_for_interactive(
    150,
    Priority::Interactive,
    Priority::Interactive,
    Some(ShedReason::Overloaded)
)]
fn the_lowest_priority_is_shed_first(
    #[case] in_flight: u32,
    #[case] in_flight_priority: Priority,
    #[case] priority: Priority,
    #[case] expected: Option<ShedReason>,
) {
    assert_eq!(
        shed_reason(
            &controller_with(in_flight, in_flight_priority),
            &request("new", 1, priority),
            100
        ),
        expected
    );
}

#[test]
fn a_team_that_is_alone_has_all_of_the_capacity_and_no_more() {
    let mut admission = AdmissionController::default();
    let alone = request("alone", 1, Priority::Interactive);
    for _ in 0..100 {
        assert_eq!(shed_reason(&admission, &alone, 100), None);
        admission.record_admitted(&alone);
    }
    assert_eq!(shed_reason(&admission, &alone, 100), Some(ShedReason::Overloaded));
}

/// Records ten completions per second up to `now`.
fn drain(admission: &mut AdmissionController, now: u64) {
    for step in 1..=now / 100 {
        let request = request("drain", 1, Priority::Standard);
        admission.record_admitted(&request);
        admission.record_finished(&request.team, request.priority, TimeMs(step * 100));
    }
}

#[rstest]
#[case::in_time(2_000, None)]
#[case::too_late(1_000, Some(ShedReason::Deadline))]
fn a_request_that_would_wait_past_its_deadline_is_refused_at_once(
    #[case] time_left: u64,
    #[case] expected: Option<ShedReason>,
) {
    let mut admission = controller_with_standard(110);
    drain(&mut admission, 5_000);
    let request =
        AdmissionRequest { time_left: TimeMs(time_left), ..request("new", 1, Priority::Standard) };
    assert_eq!(shed_reason(&admission, &request, 100), expected);
}

#[test]
fn retry_after_follows_the_drain_rate() {
    let mut admission = controller_with_standard(150);
    drain(&mut admission, 5_000);
    let AdmissionDecision::Shed { retry_after, .. } =
        admission.decide(&request("new", 1, Priority::Batch), 100)
    else {
        panic!("a request beyond the capacity was admitted");
    };
    assert!((4_500..=5_700).contains(&retry_after.get()), "{retry_after}");
}

#[test]
fn a_large_team_does_not_starve_a_small_one() {
    let mut admission = AdmissionController::default();
    let large = request("large", 3, Priority::Standard);
    while admission.decide(&large, 100) == AdmissionDecision::Admit {
        admission.record_admitted(&large);
    }
    let small = request("small", 1, Priority::Standard);
    let mut admitted = 0;
    while admission.decide(&small, 100) == AdmissionDecision::Admit {
        admission.record_admitted(&small);
        admitted += 1;
    }
    assert_eq!(admitted, 25);
    assert_eq!(shed_reason(&admission, &large, 100), Some(ShedReason::TeamOverShare));
}

#[test]
fn only_teams_with_requests_are_tracked() {
    let mut admission = AdmissionController::default();
    for number in 0..30_000 {
        let request = request(&format!("team-{number}"), 1, Priority::Standard);
        admission.record_admitted(&request);
        admission.record_finished(&request.team, request.priority, TimeMs(number));
    }
    assert_eq!((admission.team_count(), admission.in_flight()), (0, 0));
}

fn slot_request(team_name: &str, requester: usize, wanted: u32) -> SlotRequest {
    let requester = format!("entry-{requester}").parse().unwrap();
    SlotRequest { team: team(team_name), limit: 10, requester, wanted }
}

#[rstest]
#[case::previous_grants_may_be_valid(1_999, 0)]
#[case::previous_grants_expired(2_000, 4)]
fn a_new_owner_grants_nothing_until_earlier_grants_expired(#[case] now: u64, #[case] slots: u32) {
    let mut owner = LimitOwner::new(TimeMs(0));
    assert_eq!(owner.grant(&slot_request("a", 1, 4), TimeMs(now)).slots, slots);
}

#[test]
fn a_requester_with_all_slots_yields_an_equal_part_to_another() {
    let mut owner = LimitOwner::new(TimeMs(0));
    let now = GRANT_VALIDITY;
    assert_eq!(owner.grant(&slot_request("a", 1, 10), now).slots, 10);
    assert_eq!(owner.grant(&slot_request("a", 2, 10), now).slots, 0);
    assert_eq!(owner.grant(&slot_request("a", 1, 10), now).slots, 5);
    assert_eq!(owner.grant(&slot_request("a", 2, 10), now).slots, 5);
}

#[test]
fn an_owner_tracks_a_bounded_number_of_teams() {
    let mut owner = LimitOwner::new(TimeMs(0));
    for number in 0..MAX_LIMITED_TEAMS + 100 {
        owner.grant(&slot_request(&format!("team-{number}"), 1, 1), GRANT_VALIDITY);
    }
    assert_eq!(owner.len(), MAX_LIMITED_TEAMS);
    let later = GRANT_VALIDITY.after(GRANT_VALIDITY);
    assert_eq!(owner.grant(&slot_request("late", 1, 1), later).slots, 1);
}

#[rstest]
#[case::valid(10, 1_999, 7)]
#[case::unresponsive_owner(10, 2_000, 2)]
#[case::more_instances_than_slots(3, 2_000, 1)]
#[case::grant_above_the_limit(5, 0, 5)]
#[case::limit_of_zero(0, 2_000, 0)]
fn a_requester_falls_back_to_its_conservative_share(
    #[case] limit: u32,
    #[case] now: u64,
    #[case] slots: u32,
) {
    let mut granted = GrantedLimit::default();
    granted.record(SlotGrant { slots: 7, valid_for: GRANT_VALIDITY }, TimeMs(0));
    assert_eq!(granted.slots(limit, 4, TimeMs(now)), slots);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_sum_over_instances_is_bounded(seed: u64, members in 1_usize..12, limit in 0_u32..40) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut owner = LimitOwner::new(TimeMs(0));
        let mut granted = vec![GrantedLimit::default(); members];
        let mut now = TimeMs(2_000);
        let count = u32::try_from(members).unwrap();
        let bound = limit + count * conservative_share(limit, count);
        for _ in 0..300 {
            now = now.after(TimeMs(rng.random_range(0..400)));
            let requester = rng.random_range(0..members);
            let wanted = rng.random_range(0..50);
            let requested_at = now;
            now = now.after(TimeMs(rng.random_range(0..300)));
            let grant = owner.grant(&SlotRequest { limit, ..slot_request("a", requester, wanted) }, now);
            prop_assert!(owner.granted(&team("a"), now) <= limit);
            if rng.random_ratio(4, 5) {
                granted[requester].record(grant, requested_at);
            }
            // An instance may still use an older and larger grant if the reply with the next one was lost.
            let usable: u32 = granted.iter().map(|grant| grant.slots(limit, count, now)).sum();
            prop_assert!(usable <= 2 * bound, "{usable} slots usable of {limit} over {members} instances");
            if owner_is_replaced(&mut rng) {
                owner = LimitOwner::new(now);
            }
        }
    }

    #[test]
    fn no_team_is_starved(seed: u64, teams in 2_usize..20) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut admission = AdmissionController::default();
        let mut served: HashMap<usize, u32> = HashMap::new();
        let mut running: Vec<usize> = Vec::new();
        let name = |team: usize| request(&format!("team-{team}"), 1, Priority::Standard);
        for step in 0..4_000_u64 {
            // The first team sends ten times as many requests as all others together.
            let sender = if rng.random_ratio(10, 11) { 0 } else { rng.random_range(1..teams) };
            if admission.decide(&name(sender), 40) == AdmissionDecision::Admit {
                admission.record_admitted(&name(sender));
                running.push(sender);
                *served.entry(sender).or_default() += 1;
            }
            if running.len() > 10 && rng.random_ratio(1, 3) {
                let finished = running.swap_remove(rng.random_range(0..running.len()));
                admission.record_finished(&name(finished).team, Priority::Standard, TimeMs(step));
            }
        }
        let small: u32 = (1..teams).map(|team| served.get(&team).copied().unwrap_or(0)).sum();
        // The others request a fifth of what is drained, and nearly all of these requests are admitted.
        prop_assert!(small > 250, "{small} admitted of about 360");
    }
}

fn owner_is_replaced(rng: &mut StdRng) -> bool {
    rng.random_ratio(1, 40)
}

#[test]
fn several_instances_converge_to_a_short_queue_and_full_slots() {
    let slots = 16;
    let mut limits = vec![ConcurrencyLimit::new(1); 8];
    limits[0] = ConcurrencyLimit::new(64);
    let mut worst = 0;
    for round in 0..400 {
        let sent: u32 = limits.iter().map(ConcurrencyLimit::get).sum();
        let report =
            QueueReport { running: sent.min(slots), waiting: sent.saturating_sub(slots), slots };
        if round >= 100 {
            worst = worst.max(report.waiting);
            assert!(report.running >= slots / 2, "round {round}: {report:?}");
        }
        for limit in &mut limits {
            let in_flight = limit.get();
            limit.observe(report, in_flight);
        }
    }
    assert!(worst <= slots, "{worst} runs waiting");
}
