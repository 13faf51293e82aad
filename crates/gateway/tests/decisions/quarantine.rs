use bilberryford_gateway::{EndpointTag, Fingerprint, Quarantine};
use bilberryford_types::TimeMs;
use rstest::rstest;

fn incarnation(number: u64) -> EndpointTag {
    EndpointTag::new(&format!("engine-{number}"), TimeMs(number))
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::new("red", "POST", "/chat/", body.as_bytes())
}

/// A request is lost at an endpoint, and the endpoint is found to be gone a little later.
fn crash(suspects: &mut Quarantine, request: Fingerprint, number: u64) {
    let at_ms = TimeMs(number * 1_000);
    suspects.record_loss(request, incarnation(number), at_ms);
    suspects.record_incarnation_end(incarnation(number), at_ms.after(TimeMs(300)));
}

#[test]
fn a_request_that_ends_every_life_is_held_back_after_the_third() {
    let (mut suspects, poison) = (Quarantine::default(), request("poison"));
    for number in 1..=2 {
        crash(&mut suspects, poison, number);
        assert_eq!(suspects.quarantine_left_ms(poison, TimeMs(2_500)), None);
    }
    crash(&mut suspects, poison, 3);
    assert!(suspects.quarantine_left_ms(poison, TimeMs(3_500)).is_some());
    assert_eq!(suspects.quarantine_left_ms(request("another"), TimeMs(3_500)), None);
    assert_eq!(suspects.quarantine_left_ms(poison, TimeMs(700_000)), None);
}

#[test]
fn the_end_may_be_seen_before_the_loss() {
    let (mut suspects, poison) = (Quarantine::default(), request("poison"));
    for number in 1..=3 {
        suspects.record_incarnation_end(incarnation(number), TimeMs(number * 1_000));
        suspects.record_loss(poison, incarnation(number), TimeMs(number * 1_000 + 50));
    }
    assert!(suspects.quarantine_left_ms(poison, TimeMs(4_000)).is_some());
}

/// Endpoints that reset connections while they live, as grey ones do, make no request suspect.
#[test]
fn losses_without_the_end_of_a_life_do_not_count() {
    let (mut suspects, innocent) = (Quarantine::default(), request("innocent"));
    for number in 1..=9 {
        suspects.record_loss(innocent, incarnation(number), TimeMs(number * 1_000));
    }
    assert_eq!(suspects.quarantine_left_ms(innocent, TimeMs(9_500)), None);
    // The end of a life long after the loss has nothing to do with it.
    (1..=9).for_each(|number| {
        suspects.record_incarnation_end(incarnation(number), TimeMs(60_000));
    });
    assert_eq!(suspects.quarantine_left_ms(innocent, TimeMs(60_000)), None);
}

#[test]
fn a_life_counts_once_however_many_requests_and_instances_saw_it_end() {
    let (mut suspects, neighbour) = (Quarantine::default(), request("neighbour"));
    crash(&mut suspects, neighbour, 1);
    for _ in 0..5 {
        suspects.record_loss(neighbour, incarnation(1), TimeMs(1_400));
        suspects.apply_report(neighbour, incarnation(1), TimeMs(1_500));
    }
    assert_eq!(suspects.quarantine_left_ms(neighbour, TimeMs(2_000)), None);
}

#[test]
fn an_answer_clears_a_neighbour_and_peers_do_not_bring_it_back() {
    let (mut suspects, neighbour) = (Quarantine::default(), request("neighbour"));
    crash(&mut suspects, neighbour, 1);
    crash(&mut suspects, neighbour, 2);
    suspects.record_response(neighbour, TimeMs(2_400));
    suspects.expire(TimeMs(2_500));
    crash(&mut suspects, neighbour, 3);
    suspects.apply_report(neighbour, incarnation(1), TimeMs(3_500));
    suspects.apply_report(neighbour, incarnation(2), TimeMs(3_500));
    assert_eq!(suspects.quarantine_left_ms(neighbour, TimeMs(4_000)), None);
}

/// The caller sends it to another instance each time, and most messages between them are lost.
#[rstest]
#[case::all_heard(1)]
#[case::one_in_seven_heard(7)]
fn instances_hold_it_back_together(#[case] one_in: u64) {
    let mut instances = vec![Quarantine::default(); 3];
    let poison = request("poison");
    let mut sent = 0u64;
    for tick in 10..60 {
        let now_ms = TimeMs(tick * 100);
        if (10..=30).contains(&tick) && tick % 10 == 0 {
            crash(&mut instances[tick as usize / 10 - 1], poison, tick / 10);
        }
        for from in 0..3 {
            let take_reports = instances[from].take_reports(64, now_ms);
            for to in (0..3).filter(|to| *to != from) {
                sent += 1;
                let is_heard = sent.is_multiple_of(one_in);
                take_reports.iter().filter(|_| is_heard).for_each(|(request, incarnation)| {
                    instances[to].apply_report(*request, *incarnation, now_ms);
                });
            }
        }
    }
    for instance in &instances {
        assert!(instance.quarantine_left_ms(poison, TimeMs(6_000)).is_some());
    }
}

/// It heard nothing of the first two crashes while they were news.
#[test]
fn an_instance_that_starts_later_learns_of_it() {
    let (mut first, mut second, poison) =
        (Quarantine::default(), Quarantine::default(), request("p"));
    crash(&mut first, poison, 1);
    crash(&mut first, poison, 2);
    for (request, incarnation) in first.take_reports(64, TimeMs(30_000)) {
        second.apply_report(request, incarnation, TimeMs(30_000));
    }
    crash(&mut second, poison, 31);
    assert!(second.quarantine_left_ms(poison, TimeMs(31_500)).is_some());
    assert!(first.take_reports(64, TimeMs(30_100)).is_empty(), "not with every message");
}

#[test]
fn a_flood_of_losses_is_bounded_and_runs_out() {
    let mut suspects = Quarantine::default();
    for number in 0..20_000 {
        suspects.record_loss(request(&number.to_string()), incarnation(1), TimeMs(1_000));
    }
    suspects.record_incarnation_end(incarnation(1), TimeMs(1_100));
    assert!(suspects.take_reports(usize::MAX, TimeMs(1_200)).len() <= 4_096);
    suspects.expire(TimeMs(1_000_000));
    assert!(suspects.take_reports(usize::MAX, TimeMs(1_200)).is_empty());
}
