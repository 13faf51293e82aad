use bilberryford_gateway::{EndpointTag, Fingerprint, Quarantine};
use bilberryford_types::TimeMs;
use rstest::rstest;

fn incarnation(number: u64) -> EndpointTag {
    EndpointTag::new(&format!("engine-{number}"), TimeMs(number))
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::new("red", "POST", "/chat/", body.as_bytes())
}

/// Records that a request was lost and that its endpoint's incarnation ended a little later.
fn crash(quarantine: &mut Quarantine, request: Fingerprint, number: u64) {
    let at_ms = TimeMs(number * 1_000);
    quarantine.record_loss(request, incarnation(number), at_ms);
    quarantine.record_incarnation_end(incarnation(number), at_ms.after(TimeMs(300)));
}

#[test]
fn a_request_is_quarantined_after_its_third_crash() {
    let (mut quarantine, poison) = (Quarantine::default(), request("poison"));
    for number in 1..=2 {
        crash(&mut quarantine, poison, number);
        assert_eq!(quarantine.quarantine_left_ms(poison, TimeMs(2_500)), None);
    }
    crash(&mut quarantine, poison, 3);
    assert!(quarantine.quarantine_left_ms(poison, TimeMs(3_500)).is_some());
    assert_eq!(quarantine.quarantine_left_ms(request("another"), TimeMs(3_500)), None);
    assert_eq!(quarantine.quarantine_left_ms(poison, TimeMs(700_000)), None);
}

#[test]
fn a_crash_may_be_seen_before_the_loss() {
    let (mut quarantine, poison) = (Quarantine::default(), request("poison"));
    for number in 1..=3 {
        quarantine.record_incarnation_end(incarnation(number), TimeMs(number * 1_000));
        quarantine.record_loss(poison, incarnation(number), TimeMs(number * 1_000 + 50));
    }
    assert!(quarantine.quarantine_left_ms(poison, TimeMs(4_000)).is_some());
}

/// Connections that a running but faulty endpoint resets do not count against the requests.
#[test]
fn losses_without_a_crash_do_not_count() {
    let (mut quarantine, harmless) = (Quarantine::default(), request("harmless"));
    for number in 1..=9 {
        quarantine.record_loss(harmless, incarnation(number), TimeMs(number * 1_000));
    }
    assert_eq!(quarantine.quarantine_left_ms(harmless, TimeMs(9_500)), None);
    // The end of an incarnation long after the loss is unrelated to it.
    (1..=9).for_each(|number| {
        quarantine.record_incarnation_end(incarnation(number), TimeMs(60_000));
    });
    assert_eq!(quarantine.quarantine_left_ms(harmless, TimeMs(60_000)), None);
}

#[test]
fn an_incarnation_counts_once_however_often_its_crash_is_reported() {
    let (mut quarantine, neighbour) = (Quarantine::default(), request("neighbour"));
    crash(&mut quarantine, neighbour, 1);
    for _ in 0..5 {
        quarantine.record_loss(neighbour, incarnation(1), TimeMs(1_400));
        quarantine.apply_report(neighbour, incarnation(1), TimeMs(1_500));
    }
    assert_eq!(quarantine.quarantine_left_ms(neighbour, TimeMs(2_000)), None);
}

#[test]
fn a_response_clears_a_request_despite_late_peer_reports() {
    let (mut quarantine, neighbour) = (Quarantine::default(), request("neighbour"));
    crash(&mut quarantine, neighbour, 1);
    crash(&mut quarantine, neighbour, 2);
    quarantine.record_response(neighbour, TimeMs(2_400));
    quarantine.expire(TimeMs(2_500));
    crash(&mut quarantine, neighbour, 3);
    quarantine.apply_report(neighbour, incarnation(1), TimeMs(3_500));
    quarantine.apply_report(neighbour, incarnation(2), TimeMs(3_500));
    assert_eq!(quarantine.quarantine_left_ms(neighbour, TimeMs(4_000)), None);
}

/// The caller sends the request to another instance each time, and most messages between the instances are lost.
#[rstest]
#[case::all_received(1)]
#[case::one_in_seven_received(7)]
fn instances_quarantine_a_request_together(#[case] one_in: u64) {
    let mut instances = vec![Quarantine::default(); 3];
    let poison = request("poison");
    let mut sent = 0u64;
    for tick in 10..60 {
        let now_ms = TimeMs(tick * 100);
        if (10..=30).contains(&tick) && tick % 10 == 0 {
            crash(&mut instances[tick as usize / 10 - 1], poison, tick / 10);
        }
        for from in 0..3 {
            let reports = instances[from].take_reports(64, now_ms);
            for to in (0..3).filter(|to| *to != from) {
                sent += 1;
                let is_received = sent.is_multiple_of(one_in);
                reports.iter().filter(|_| is_received).for_each(|(request, incarnation)| {
                    instances[to].apply_report(*request, *incarnation, now_ms);
                });
            }
        }
    }
    for instance in &instances {
        assert!(instance.quarantine_left_ms(poison, TimeMs(6_000)).is_some());
    }
}

/// An instance that missed the first reports of two crashes must still count them.
#[test]
fn an_instance_that_starts_later_learns_of_earlier_crashes() {
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
fn tracked_losses_are_bounded_and_expire() {
    let mut quarantine = Quarantine::default();
    for number in 0..20_000 {
        quarantine.record_loss(request(&number.to_string()), incarnation(1), TimeMs(1_000));
    }
    quarantine.record_incarnation_end(incarnation(1), TimeMs(1_100));
    assert!(quarantine.take_reports(usize::MAX, TimeMs(1_200)).len() <= 4_096);
    quarantine.expire(TimeMs(1_000_000));
    assert!(quarantine.take_reports(usize::MAX, TimeMs(1_200)).is_empty());
}
