//! Tables of what is blamed for the crashes of endpoints.

use std::collections::HashSet;

use bilberryford_coord::{Blame, BlameChange, BlameDecision, BlameReports, Feature};
use bilberryford_types::TimeMs;
use rstest::rstest;

/// The number of an incarnation.
type Incarnation = u32;

fn request(body: &str) -> Feature {
    Feature::of_request("red", "POST", "/chat/", body.as_bytes())
}

fn part(id: &str) -> Feature {
    Feature::of_part("model", id)
}

/// One instance with a clock of its own.
#[derive(Default)]
struct Instance {
    blame: Blame<Incarnation>,
    now_ms: u64,
}

impl Instance {
    /// An instance that has served other requests for some seconds.
    fn at(now_ms: u64) -> Self {
        let mut instance = Self { now_ms, ..Self::default() };
        instance.blame.set_report_interval(TimeMs(100));
        instance.answer(&[part("unrelated")], 50);
        instance.pass(3_000);
        instance
    }

    fn now(&self) -> TimeMs {
        TimeMs(self.now_ms)
    }

    fn pass(&mut self, ms: u64) -> Vec<BlameChange> {
        self.now_ms += ms;
        let now = self.now();
        self.blame.tick(now)
    }

    /// A request with `features` is lost at an incarnation that ends a little later, and its evidence is weighed.
    fn crash(&mut self, features: &[Feature], incarnation: Incarnation) -> Vec<BlameChange> {
        let now = self.now();
        let mut changes = self.blame.record_loss(features, incarnation, now);
        changes.extend(self.pass(10));
        changes.extend(self.blame.record_end(incarnation, TimeMs(self.now_ms)));
        changes.extend(self.pass(200));
        changes
    }

    fn answer(&mut self, features: &[Feature], times: usize) {
        let now = self.now();
        for _ in 0..times {
            self.blame.record_answer(features, now);
        }
    }

    fn refuses(&self, feature: Feature) -> bool {
        matches!(self.blame.decide(&[feature], |_| false, self.now()), BlameDecision::Refuse { .. })
    }

    fn reports(&mut self) -> BlameReports<Incarnation> {
        let now = self.now();
        self.blame.take_reports(usize::MAX, |_| 0, now)
    }

    fn apply(&mut self, peer: u64, reports: &BlameReports<Incarnation>) -> Vec<BlameChange> {
        let now = self.now();
        self.blame.apply_reports(peer, reports, now)
    }
}

fn is_quarantine(change: &BlameChange) -> bool {
    matches!(change, BlameChange::Quarantined { .. })
}

#[test]
fn a_request_is_quarantined_by_its_third_crash() {
    let mut instance = Instance::at(1_000);
    let poison = request("poison");
    for incarnation in 1..=2 {
        instance.crash(&[poison], incarnation);
        assert!(!instance.refuses(poison));
    }
    assert!(instance.crash(&[poison], 3).iter().any(is_quarantine));
    assert!(instance.refuses(poison));
    assert!(!instance.refuses(request("another")));
}

/// No two of the requests are alike; they share the part and, with sound ones, all their other parts.
#[test]
fn a_part_is_quarantined_by_crashes_of_requests_that_share_nothing_else() {
    let mut instance = Instance::at(1_000);
    let (dead, system) = (part("dead"), part("system"));
    for incarnation in 1..=3u32 {
        instance.answer(&[request("sound"), system, part(&format!("session-{incarnation}"))], 5);
        let own = request(&incarnation.to_string());
        let session = part(&format!("session-{incarnation}"));
        instance.crash(&[own, system, session, dead], incarnation);
    }
    assert!(instance.refuses(dead));
    assert!(!instance.refuses(system));
    for incarnation in 1..=3u32 {
        assert!(!instance.refuses(part(&format!("session-{incarnation}"))));
        assert!(!instance.refuses(request(&incarnation.to_string())));
    }
}

#[test]
fn a_crash_may_be_known_before_the_loss() {
    let mut instance = Instance::at(1_000);
    let poison = request("poison");
    for incarnation in 1..=3 {
        let now = instance.now();
        instance.blame.record_end(incarnation, now);
        instance.pass(50);
        let now = instance.now();
        instance.blame.record_loss(&[poison], incarnation, now);
        instance.pass(1_000);
    }
    assert!(instance.refuses(poison));
}

/// Connections that a running but faulty endpoint resets do not count.
#[test]
fn losses_without_the_end_of_an_incarnation_do_not_count() {
    let mut instance = Instance::at(1_000);
    let harmless = [request("harmless"), part("harmless")];
    for incarnation in 1..=9 {
        let now = instance.now();
        instance.blame.record_loss(&harmless, incarnation, now);
        instance.pass(1_000);
    }
    // The end of an incarnation long after the loss is unrelated to it.
    instance.pass(50_000);
    for incarnation in 1..=9 {
        let now = instance.now();
        instance.blame.record_end(incarnation, now);
        instance.pass(200);
    }
    assert!(harmless.iter().all(|feature| !instance.refuses(*feature)));
}

/// A part with two crashes and no answer: its next crash is to name it and take nothing else along.
#[test]
fn one_run_at_a_time_tries_a_suspect_and_an_answer_ends_that() {
    let mut instance = Instance::at(1_000);
    let (suspect, below) = (part("suspect"), part("below"));
    instance.crash(&[request("1"), suspect, below], 1);
    assert_eq!(instance.blame.decide(&[suspect], |_| false, instance.now()), BlameDecision::Run);
    instance.crash(&[request("2"), suspect, below], 2);
    let features = [request("3"), suspect, below];
    let elsewhere = instance.blame.decide(&features, |_| false, instance.now());
    assert!(matches!(elsewhere, BlameDecision::Wait { .. }), "{elsewhere:?}");
    // Instances agree by one of the suspects, so that not each of them names another instance.
    let names_one = |feature| feature == suspect.min(below);
    let trial = instance.blame.decide(&features, names_one, instance.now());
    assert_eq!(trial, BlameDecision::Trial(suspect.min(below)));
    let now = instance.now();
    instance.blame.start_trial(&features, now);
    for features in [&[suspect], &[below]] {
        let second = instance.blame.decide(features, |_| true, now);
        assert!(matches!(second, BlameDecision::Wait { .. }), "{second:?}");
    }
    instance.answer(&features, 1);
    assert_eq!(instance.blame.decide(&[suspect], |_| false, instance.now()), BlameDecision::Run);
}

#[test]
fn a_suspect_runs_as_before_after_a_while_without_a_crash() {
    let mut instance = Instance::at(1_000);
    let suspect = part("suspect");
    instance.crash(&[suspect], 1);
    instance.crash(&[suspect], 2);
    instance.pass(5_000);
    assert_eq!(instance.blame.decide(&[suspect], |_| false, instance.now()), BlameDecision::Run);
}

/// An endpoint that leaves cuts what it has not finished; one that is removed from the list may leave unannounced.
#[test]
fn planned_ends_count_against_nothing() {
    let mut instance = Instance::at(1_000);
    let sound = [request("sound"), part("sound")];
    for incarnation in 1..=6 {
        let now = instance.now();
        if incarnation % 2 == 0 {
            instance.blame.record_departure(incarnation, now);
        } else {
            instance.blame.record_removal(incarnation, now);
        }
        instance.blame.record_loss(&sound, incarnation, now);
        instance.pass(300);
        let now = instance.now();
        instance.blame.record_removal(incarnation + 100, now);
        if incarnation % 2 == 0 {
            instance.blame.record_end(incarnation, now);
        }
        instance.pass(300);
    }
    assert!(sound.iter().all(|feature| !instance.refuses(*feature)));
}

#[test]
fn an_incarnation_counts_once_however_often_its_crash_is_reported() {
    let mut instance = Instance::at(1_000);
    let neighbour = request("neighbour");
    instance.crash(&[neighbour], 1);
    let mut peer = Instance::at(1_000);
    peer.crash(&[neighbour], 1);
    let reports = peer.reports();
    for _ in 0..5 {
        instance.apply(7, &reports);
        instance.crash(&[neighbour], 1);
    }
    assert!(!instance.refuses(neighbour));
}

/// A part that many requests share is in flight wherever endpoints fail.
#[test]
fn endpoints_that_fail_together_quarantine_no_part() {
    let mut instance = Instance::at(1_000);
    let popular = part("popular");
    for incarnation in 1..=40u32 {
        let now = instance.now();
        let own = request(&incarnation.to_string());
        instance.blame.record_loss(&[own, popular], incarnation, now);
        instance.blame.record_end(incarnation, now);
        instance.now_ms += 2;
    }
    instance.pass(200);
    assert!(!instance.refuses(popular));
}

#[test]
fn answers_of_the_last_seconds_outweigh_crashes() {
    let mut instance = Instance::at(1_000);
    let popular = part("popular");
    instance.answer(&[popular], 12);
    for incarnation in 1..=4 {
        let now = instance.now();
        instance.blame.record_loss(&[popular], incarnation, now);
        instance.blame.record_end(incarnation, now);
        instance.pass(200);
    }
    assert!(!instance.refuses(popular));
}

/// Answers at other instances speak for a part that this one has not served.
#[test]
fn answers_of_peers_outweigh_crashes() {
    let (mut first, mut second) = (Instance::at(1_000), Instance::at(1_000));
    let popular = part("popular");
    second.answer(&[popular], 30);
    for incarnation in 1..=5 {
        first.crash(&[popular], incarnation);
        second.pass(210);
        second.apply(1, &first.reports());
        second.answer(&[popular], 3);
        first.apply(2, &second.reports());
    }
    assert!(!first.refuses(popular));
    assert!(!second.refuses(popular));
}

/// One that crashes half of its runs.
#[test]
fn a_part_that_crashes_now_and_then_is_quarantined() {
    let mut instance = Instance::at(1_000);
    let flaky = part("flaky");
    for incarnation in 1..=3 {
        instance.crash(&[flaky], incarnation);
        instance.answer(&[flaky], 1);
    }
    instance.pass(200);
    assert!(instance.refuses(flaky));
}

#[test]
fn an_answer_clears_a_request_despite_late_reports_of_peers() {
    let mut instance = Instance::at(1_000);
    let neighbour = request("neighbour");
    let mut peer = Instance::at(1_000);
    for incarnation in 1..=2 {
        instance.crash(&[neighbour], incarnation);
        peer.crash(&[neighbour], incarnation);
    }
    instance.answer(&[neighbour], 1);
    let now = instance.now();
    instance.blame.expire(now);
    instance.crash(&[neighbour], 3);
    let reports = peer.reports();
    instance.apply(7, &reports);
    instance.pass(200);
    assert!(!instance.refuses(neighbour));
}

/// A part below the deadly one is suspected with it each time; it is served again wherever it comes without it.
#[test]
fn what_rides_with_a_quarantined_part_is_not_quarantined_later() {
    let mut instance = Instance::at(1_000);
    let (dead, below) = (part("dead"), part("below"));
    instance.crash(&[request("1"), dead], 1);
    for incarnation in 2..=4 {
        instance.crash(&[request(&incarnation.to_string()), dead, below], incarnation);
    }
    assert!(instance.refuses(dead));
    assert!(!instance.refuses(below));
    // A run that was under way when the part was quarantined.
    instance.crash(&[request("5"), dead, below], 5);
    instance.crash(&[request("6"), below], 6);
    instance.crash(&[request("7"), below], 7);
    assert!(!instance.refuses(below));
}

/// Two parts that come together each time: the evidence can't tell which of them crashes endpoints.
fn quarantine_two_parts_together() -> (Instance, Feature, Feature) {
    let mut instance = Instance::at(1_000);
    let (dead, other) = (part("dead"), part("other"));
    for incarnation in 1..=3 {
        instance.crash(&[request(&incarnation.to_string()), other, dead], incarnation);
    }
    assert!(matches!(
        instance.blame.decide(&[other, dead], |_| true, instance.now()),
        BlameDecision::Refuse { .. }
    ));
    (instance, dead, other)
}

#[test]
fn a_part_that_came_with_the_deadly_one_is_cleared_by_an_answer_without_it() {
    let (mut instance, dead, other) = quarantine_two_parts_together();
    let alone = [request("sound"), other];
    let decision = instance.blame.decide(&alone, |_| false, instance.now());
    assert_eq!(decision, BlameDecision::Trial(other));
    instance.answer(&alone, 1);
    assert_eq!(instance.blame.decide(&alone, |_| false, instance.now()), BlameDecision::Run);
    assert!(instance.refuses(dead), "it is the only one left");
    // A peer that quarantined both on its own learns of it.
    let (mut peer, ..) = quarantine_two_parts_together();
    let reports = instance.reports();
    peer.apply(1, &reports);
    assert_eq!(peer.blame.decide(&alone, |_| false, peer.now()), BlameDecision::Run);
    assert!(peer.refuses(dead));
}

/// Guards against a quarantine that only instances know which leave its report to others.
#[test]
fn a_quarantine_is_reported_by_an_instance_that_is_no_reporter_unless_another_one_does() {
    let (mut instance, dead, other) = quarantine_two_parts_together();
    let take = |instance: &mut Instance| {
        let now = instance.now();
        instance.blame.take_reports(usize::MAX, |_| 7, now).quarantines
    };
    assert!(take(&mut instance).is_empty(), "a reporter may do it");
    instance.pass(200);
    assert!(instance.blame.has_news());
    let features: Vec<_> = take(&mut instance).into_iter().map(|report| report.feature).collect();
    assert!(features.contains(&dead) && features.contains(&other), "{features:?}");
    let (mut second, ..) = quarantine_two_parts_together();
    let (mut reporter, ..) = quarantine_two_parts_together();
    let reports = reporter.reports();
    second.apply(1, &reports);
    second.pass(500);
    assert!(take(&mut second).is_empty(), "another instance has reported it");
}

/// A report that is late makes the crashes of parts differ that came together.
#[test]
fn a_part_that_all_prompts_share_is_told_apart_although_it_has_a_crash_more() {
    let mut instance = Instance::at(1_000);
    let (dead, system) = (part("dead"), part("system"));
    instance.crash(&[request("1"), system, dead], 1);
    instance.crash(&[request("2"), system, dead], 2);
    let now = instance.now();
    for (incarnation, features) in [(3, vec![system, dead]), (4, vec![system])] {
        instance.blame.record_loss(&features, incarnation, now);
        instance.blame.record_end(incarnation, now);
    }
    instance.pass(200);
    let both = instance.blame.decide(&[system, dead], |_| true, instance.now());
    assert!(matches!(both, BlameDecision::Refuse { .. }), "{both:?}");
    let sound = [request("sound"), system];
    let decision = instance.blame.decide(&sound, |_| false, instance.now());
    assert_eq!(decision, BlameDecision::Trial(system));
    instance.answer(&sound, 1);
    assert_eq!(instance.blame.decide(&sound, |_| false, instance.now()), BlameDecision::Run);
    assert!(instance.refuses(dead));
}

/// With five crashes, an instance that has just started and has few answers does not wait for more of them.
#[test]
fn many_crashes_quarantine_soon_after_a_start() {
    let mut instance = Instance::default();
    let dead = part("dead");
    for incarnation in 1..=5 {
        instance.crash(&[request(&incarnation.to_string()), dead], incarnation);
    }
    assert!(!instance.refuses(dead), "it has seen too little for {} ms", instance.now_ms);
    instance.pass(1_000);
    assert!(instance.refuses(dead));
}

#[test]
fn a_crash_without_the_other_part_clears_the_other_part() {
    let (mut instance, dead, other) = quarantine_two_parts_together();
    instance.crash(&[request("4"), dead], 4);
    assert_eq!(instance.blame.decide(&[other], |_| false, instance.now()), BlameDecision::Run);
    assert!(instance.refuses(dead));
}

/// The caller sends the request to another instance each time, and most messages between the instances are lost.
#[rstest]
#[case::all_received(1)]
#[case::one_in_seven_received(7)]
fn instances_quarantine_a_request_together(#[case] one_in: u64) {
    let mut instances = [Instance::at(0), Instance::at(0), Instance::at(0)];
    let poison = request("poison");
    let mut sent = 0u64;
    for tick in 10..60u32 {
        for (number, instance) in instances.iter_mut().enumerate() {
            instance.now_ms = u64::from(tick) * 100;
            if number as u32 + 1 == tick / 10 && tick.is_multiple_of(10) {
                let now = instance.now();
                instance.blame.record_loss(&[poison], tick / 10, now);
                instance.blame.record_end(tick / 10, now);
            }
            instance.pass(0);
        }
        for from in 0..3 {
            let reports = instances[from].reports();
            for to in (0..3).filter(|to| *to != from) {
                sent += 1;
                if sent.is_multiple_of(one_in) {
                    instances[to].apply(from as u64, &reports);
                }
            }
        }
    }
    assert!(instances.iter().all(|instance| instance.refuses(poison)));
}

/// An instance that missed the first reports of two crashes must still count them.
#[test]
fn an_instance_that_starts_later_learns_of_earlier_crashes() {
    let (mut first, poison) = (Instance::at(1_000), request("poison"));
    first.crash(&[poison], 1);
    first.crash(&[poison], 2);
    first.pass(30_000);
    let mut second = Instance::at(1_000);
    second.apply(1, &first.reports());
    second.crash(&[poison], 31);
    assert!(second.refuses(poison));
    first.pass(100);
    assert!(first.reports().is_empty(), "not with every message");
}

/// A part is refused for its term; then a single run tries it.
#[test]
fn one_run_tries_a_part_whose_term_has_ended() {
    let mut instance = Instance::at(1_000);
    let dead = part("dead");
    (1..=3).for_each(|incarnation| {
        instance.crash(&[dead], incarnation);
    });
    let BlameDecision::Refuse { left_ms, .. } =
        instance.blame.decide(&[dead], |_| true, instance.now())
    else {
        panic!("the part is not refused");
    };
    assert!(instance.pass(left_ms.get()).contains(&BlameChange::TermEnded { feature: dead }));
    assert!(instance.refuses(dead), "only the instance that tries it runs it");
    let decision = instance.blame.decide(&[dead], |_| true, instance.now());
    assert_eq!(decision, BlameDecision::Trial(dead));
    let now = instance.now();
    instance.blame.start_trial(&[dead], now);
    let second = instance.blame.decide(&[dead], |_| true, now);
    assert!(matches!(second, BlameDecision::Wait { .. }), "{second:?}");
    // The trial crashes: the next term is much longer, so that few trials crash in a day.
    instance.crash(&[dead], 4);
    let BlameDecision::Refuse { left_ms: next_ms, .. } =
        instance.blame.decide(&[dead], |_| true, instance.now())
    else {
        panic!("the part is not refused");
    };
    assert!(next_ms.get() > left_ms.get() * 10, "{next_ms:?} after {left_ms:?}");
    instance.pass(next_ms.get());
    instance.answer(&[dead], 1);
    assert!(!instance.refuses(dead));
    assert!(instance.reports().cleared.contains(&dead));
}

/// The number of features with crashes in the next reports.
fn evidence_features(instance: &mut Instance) -> usize {
    let crashes = instance.reports().crashes;
    crashes.iter().map(|crash| crash.feature).collect::<HashSet<_>>().len()
}

#[test]
fn memory_is_bounded_and_a_quarantined_feature_stays() {
    let mut instance = Instance::at(1_000);
    let dead = part("dead");
    (1..=3).for_each(|incarnation| {
        instance.crash(&[dead], incarnation);
    });
    for number in 0..20_000 {
        let now = instance.now();
        instance.blame.record_loss(&[part(&number.to_string())], 9, now);
    }
    let now = instance.now();
    instance.blame.record_end(9, now);
    assert!(evidence_features(&mut instance) <= 4_096);
    for incarnation in 10..60 {
        let now = instance.now();
        let parts: Vec<_> = (0..200).map(|id| part(&format!("{incarnation}-{id}"))).collect();
        instance.blame.record_loss(&parts, incarnation, now);
        instance.blame.record_end(incarnation, now);
        instance.pass(1);
    }
    assert!(instance.refuses(dead));
    assert!(evidence_features(&mut instance) <= 4_096);
    instance.pass(1_300_000);
    let now = instance.now();
    instance.blame.expire(now);
    assert!(instance.reports().crashes.is_empty());
}

/// A peer that does not know of the quarantine reports the crash against all parts of the request.
#[test]
fn a_crash_that_a_quarantined_part_explains_counts_against_no_other_part_when_a_peer_reports_it() {
    let mut instance = Instance::at(1_000);
    let (dead, below) = (part("dead"), part("below"));
    for incarnation in 1..=3 {
        instance.crash(&[request(&incarnation.to_string()), dead], incarnation);
    }
    instance.crash(&[request("4"), dead, below], 4);
    let mut peer = Instance::at(1_000);
    peer.crash(&[request("4"), dead, below], 4);
    instance.apply(7, &peer.reports());
    instance.crash(&[request("5"), below], 5);
    instance.crash(&[request("6"), below], 6);
    assert!(instance.refuses(dead));
    assert!(!instance.refuses(below), "two crashes without the quarantined part");
}

#[test]
fn a_quarantine_that_a_peer_reports_is_weighed_with_the_answers_here() {
    let (mut instance, mut peer) = (Instance::at(1_000), Instance::at(1_000));
    let popular = part("popular");
    for incarnation in 1..=3 {
        peer.crash(&[request(&incarnation.to_string()), popular], incarnation);
    }
    assert!(peer.refuses(popular));
    let mut reports = peer.reports();
    reports.crashes.clear();
    assert!(!reports.quarantines.is_empty());
    instance.answer(&[popular], 30);
    instance.apply(7, &reports);
    instance.pass(500);
    assert!(!instance.refuses(popular));
    let mut without_answers = Instance::at(1_000);
    without_answers.apply(7, &reports);
    assert!(without_answers.refuses(popular));
}

/// Many instances lose requests with a part in the same moment; the second moment is enough with five crashes.
#[rstest]
#[case::five_crashes(3, 2, true)]
#[case::four_crashes(2, 2, false)]
fn two_events_quarantine_a_part_with_five_crashes(
    #[case] first: u32,
    #[case] second: u32,
    #[case] is_refused: bool,
) {
    let mut instance = Instance::at(1_000);
    let dead = part("dead");
    let mut incarnation = 0;
    for crashes in [first, second] {
        let now = instance.now();
        for _ in 0..crashes {
            incarnation += 1;
            let own = request(&incarnation.to_string());
            instance.blame.record_loss(&[own, dead], incarnation, now);
            instance.blame.record_end(incarnation, now);
        }
        instance.pass(500);
    }
    assert_eq!(instance.refuses(dead), is_refused);
}

/// Answers of a peer that are under way when the third crash is seen come before the decision.
#[rstest]
#[case::never_answered_here(0, 40)]
#[case::answered_here(2, 150)]
fn evidence_that_is_complete_waits_for_the_answers_of_peers(
    #[case] own_answers: usize,
    #[case] delay_ms: u64,
) {
    let (mut instance, mut peer) = (Instance::at(1_000), Instance::at(1_000));
    let popular = part("popular");
    peer.answer(&[popular], 12);
    instance.crash(&[request("1"), popular], 1);
    instance.crash(&[request("2"), popular], 2);
    instance.answer(&[popular], own_answers);
    peer.crash(&[request("other"), popular], 1);
    let now = instance.now();
    instance.blame.record_loss(&[request("3"), popular], 3, now);
    instance.blame.record_end(3, now);
    let mut changes = instance.pass(delay_ms);
    changes.extend(instance.apply(7, &peer.reports()));
    changes.extend(instance.pass(1_000));
    assert!(!changes.iter().any(is_quarantine), "{changes:?}");
}

/// A message has room for a few reports only.
#[test]
fn the_feature_with_most_crashes_is_reported_first() {
    let mut pair = [part("first"), part("second")];
    pair.sort();
    let [once, twice] = pair;
    let mut instance = Instance::at(1_000);
    instance.crash(&[once], 1);
    instance.crash(&[twice], 2);
    instance.crash(&[twice], 3);
    let now = instance.now();
    let reports = instance.blame.take_reports(1, |_| 0, now);
    assert_eq!(reports.crashes.len(), 1);
    assert_eq!(reports.crashes[0].feature, twice);
}

/// A part that was sound and answered often begins to crash endpoints.
#[test]
fn crashes_that_answers_outweighed_long_ago_are_set_aside_with_them() {
    let mut instance = Instance::at(1_000);
    let changed = part("changed");
    instance.crash(&[request("old"), changed], 1);
    instance.answer(&[changed], 200);
    instance.pass(60_000);
    for incarnation in 2..=4 {
        instance.crash(&[request(&incarnation.to_string()), changed], incarnation);
    }
    assert!(instance.refuses(changed));
}
