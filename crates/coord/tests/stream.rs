//! Records of where streams began, and the inquiries about them.

use bilberryford_coord::{
    InquiryStep, MAX_STREAMS, OpenInquiry, STREAM_RETENTION_MS, StreamInquiry, StreamKeeper,
    StreamKey, StreamKnowledge, StreamOrigin, StreamRecords, UnconfirmedOrigin, UnconfirmedStreams,
    displaced_inquiry, live_first, ranked_keepers,
};
use bilberryford_types::TimeMs;
use rstest::rstest;

const NOW_MS: TimeMs = TimeMs(100_000);

fn key(id: &str) -> StreamKey {
    StreamKey::new("red", id)
}

fn origin(build: &str) -> StreamOrigin {
    StreamOrigin::new(&"pool".parse().expect("a service"), &build.parse().expect("a build"))
}

#[test]
fn a_stream_is_remembered_for_its_retention_and_each_renewal_extends_it() {
    let mut records = StreamRecords::default();
    let renewed_ms = NOW_MS.after(TimeMs(30_000));
    records.record(key("a"), origin("v1"), NOW_MS);
    records.record(key("b"), origin("v1"), NOW_MS);
    records.record(key("a"), origin("v1"), renewed_ms);
    let after_first_ms = NOW_MS.after(STREAM_RETENTION_MS);
    records.forget_expired(after_first_ms);
    assert_eq!(records.knowledge(&key("a"), after_first_ms), StreamKnowledge::Known(origin("v1")));
    assert_eq!(records.knowledge(&key("b"), after_first_ms), StreamKnowledge::Unknown);
    assert_eq!(records.len(), 1);
    let after_second_ms = renewed_ms.after(STREAM_RETENTION_MS);
    assert_eq!(records.knowledge(&key("a"), after_second_ms), StreamKnowledge::Unknown);
    records.forget_expired(after_second_ms);
    assert!(records.is_empty());
}

#[rstest]
#[case::another_build("v1", "v2")]
#[case::back_again("v2", "v1")]
fn a_stream_with_two_origins_is_contradictory_whatever_follows(
    #[case] first: &str,
    #[case] second: &str,
) {
    let mut records = StreamRecords::default();
    records.record(key("a"), origin(first), NOW_MS);
    let known = records.record(key("a"), origin(second), NOW_MS.after(TimeMs(1)));
    assert_eq!(known, StreamKnowledge::Contradictory);
    let later_ms = NOW_MS.after(TimeMs(5_000));
    assert_eq!(records.record(key("a"), origin(first), later_ms), StreamKnowledge::Contradictory);
    assert_eq!(
        records.apply(key("a"), StreamKnowledge::Unknown, later_ms),
        StreamKnowledge::Contradictory
    );
}

#[test]
fn a_contradiction_that_a_peer_reports_outweighs_a_record() {
    let mut records = StreamRecords::default();
    records.record(key("a"), origin("v1"), NOW_MS);
    let known = records.apply(key("a"), StreamKnowledge::Contradictory, NOW_MS);
    assert_eq!(known, StreamKnowledge::Contradictory);
}

#[test]
fn two_builds_of_a_service_and_one_build_of_two_services_are_different_origins() {
    let of = |service: &str, build: &str| {
        StreamOrigin::new(&service.parse().expect("a service"), &build.parse().expect("a build"))
    };
    assert_ne!(of("pool", "v1"), of("pool", "v1.1"));
    assert_ne!(of("pool", "v1"), of("other", "v1"));
    assert_ne!(of("pool-a", "b"), of("pool-", "ab"));
}

#[rstest]
#[case::other_team("red", "x", "blue", "x")]
#[case::other_team_of_the_same_length("red", "x", "ted", "x")]
#[case::other_id("red", "x", "red", "y")]
#[case::boundary_between_them("red", "x", "re", "dx")]
fn streams_with_different_names_have_different_keys(
    #[case] team: &str,
    #[case] id: &str,
    #[case] other_team: &str,
    #[case] other_id: &str,
) {
    assert_ne!(StreamKey::new(team, id), StreamKey::new(other_team, other_id));
}

#[test]
fn a_full_table_forgets_the_oldest_stream_and_guesses_nothing() {
    let mut records = StreamRecords::default();
    for number in 0..=MAX_STREAMS {
        records.record(key(&number.to_string()), origin("v1"), NOW_MS.after(TimeMs(number as u64)));
    }
    assert_eq!(records.len(), MAX_STREAMS);
    let now_ms = NOW_MS.after(TimeMs(MAX_STREAMS as u64));
    assert_eq!(records.knowledge(&key("0"), now_ms), StreamKnowledge::Unknown);
    assert_eq!(records.knowledge(&key("1"), now_ms), StreamKnowledge::Known(origin("v1")));
}

/// A caller that comes back a thousand times a second for the length of the retention.
#[test]
fn renewals_of_one_stream_push_no_other_one_out() {
    let mut records = StreamRecords::default();
    records.record(key("other"), origin("v1"), NOW_MS);
    for number in 0..4 * MAX_STREAMS as u64 {
        let now_ms = NOW_MS.after(TimeMs(number * 50_000 / (4 * MAX_STREAMS as u64)));
        records.record(key("renewed"), origin("v1"), now_ms);
    }
    let now_ms = NOW_MS.after(TimeMs(50_000));
    assert_eq!(records.knowledge(&key("other"), now_ms), StreamKnowledge::Known(origin("v1")));
}

#[test]
fn the_first_keepers_are_in_different_data_centres() {
    let names: Vec<String> = (0..12).map(|index| format!("entry-{index}")).collect();
    let centres = ["a", "b", "c"];
    let keepers: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| StreamKeeper { name, data_centre: Some(centres[index % 3]) })
        .collect();
    for number in 0..100 {
        let ranked = ranked_keepers(&keepers, &key(&number.to_string()));
        let mut first: Vec<_> =
            ranked[..3].iter().map(|&index| keepers[index].data_centre).collect();
        first.sort_unstable();
        assert_eq!(first, centres.map(Some), "stream {number}");
        let mut all = ranked;
        all.sort_unstable();
        assert_eq!(all, (0..12).collect::<Vec<_>>());
    }
}

/// Guards against inquiries that ask only instances which have just started, as after a kill of many: they know nothing.
#[rstest]
#[case::newcomer(true, &[0, 1, 2, 3, 4, 5])]
#[case::acquainted(false, &[1, 4, 0, 2, 3, 5])]
fn a_newcomer_does_not_take_silent_keepers_for_dead(
    #[case] is_newcomer: bool,
    #[case] expected: &[usize],
) {
    let ordered = live_first((0..6).collect(), is_newcomer, |index| [1, 4].contains(&index));
    assert_eq!(ordered, expected);
}

/// An instance that joins takes over one place at most, so that views that differ by it agree on the others.
#[test]
fn a_further_instance_changes_the_keepers_of_a_stream_by_one() {
    let names: Vec<String> = (0..10).map(|index| format!("entry-{index}")).collect();
    let keeper = |name| StreamKeeper { name, data_centre: None };
    let more: Vec<_> = names.iter().map(|name| keeper(name.as_str())).collect();
    let fewer = &more[..9];
    for number in 0..100 {
        let first_of = |keepers: &[StreamKeeper<'_>]| {
            ranked_keepers(keepers, &key(&number.to_string()))[..4].to_vec()
        };
        let (before, after) = (first_of(fewer), first_of(&more));
        let common = before.iter().filter(|index| after.contains(index)).count();
        assert!(common >= 3, "stream {number}: {before:?}, then {after:?}");
    }
}

const UNTIL_MS: TimeMs = TimeMs(NOW_MS.get() + 1_000);

#[test]
fn an_inquiry_asks_further_peers_once_all_have_denied() {
    let mut inquiry = StreamInquiry::new((0..20).collect());
    for asked in [0..4, 4..8, 8..12] {
        assert_eq!(inquiry.step(NOW_MS, UNTIL_MS), InquiryStep::Ask(asked.clone().collect()));
        asked.for_each(|peer| inquiry.record_denial(peer));
    }
    assert_eq!(inquiry.step(NOW_MS, UNTIL_MS), InquiryStep::Denied);
}

/// Silence says nothing: a peer that answers late may know the stream. It is asked again with growing pauses, as long as the
/// request can wait.
#[test]
fn an_inquiry_asks_silent_peers_again_until_the_request_can_wait_no_longer() {
    let mut inquiry = StreamInquiry::new((0..5).collect());
    let mut now_ms = NOW_MS;
    let mut asked = Vec::new();
    loop {
        match inquiry.step(now_ms, UNTIL_MS) {
            InquiryStep::Ask(peers) => asked.push((now_ms.since(NOW_MS).get(), peers)),
            InquiryStep::Wait(until_ms) => now_ms = until_ms,
            InquiryStep::Unanswered => break,
            InquiryStep::Denied => panic!("no peer has denied the stream"),
        }
    }
    let all = vec![0, 1, 2, 3, 4];
    assert_eq!(asked[0], (0, vec![0, 1, 2, 3]));
    assert!(asked[1..].iter().all(|(_, peers)| *peers == all), "{asked:?}");
    let times: Vec<_> = asked.iter().map(|(at_ms, _)| *at_ms).collect();
    assert_eq!(times, [0, 30, 90, 210, 330, 450, 570, 690, 810, 930]);
    assert_eq!(now_ms, UNTIL_MS);
}

#[test]
fn an_inquiry_waits_for_the_one_peer_that_is_silent() {
    let mut inquiry = StreamInquiry::new(vec![0, 1]);
    assert_eq!(inquiry.step(NOW_MS, UNTIL_MS), InquiryStep::Ask(vec![0, 1]));
    inquiry.record_denial(0);
    let round_ends_ms = NOW_MS.after(TimeMs(30));
    assert_eq!(inquiry.step(NOW_MS, UNTIL_MS), InquiryStep::Wait(round_ends_ms));
    assert_eq!(inquiry.step(round_ends_ms, UNTIL_MS), InquiryStep::Ask(vec![1]));
    inquiry.record_denial(1);
    assert_eq!(inquiry.step(round_ends_ms, UNTIL_MS), InquiryStep::Denied);
}

#[test]
fn an_inquiry_without_peers_is_denied_at_once() {
    let mut inquiry = StreamInquiry::<u32>::new(Vec::new());
    assert_eq!(inquiry.step(NOW_MS, UNTIL_MS), InquiryStep::Denied);
}

/// Guards against a team that makes up names while peers are silent, and ends the inquiries of others with them.
#[test]
fn made_up_names_of_one_team_displace_no_inquiry_of_another() {
    let of = |key: u64, team| OpenInquiry { key, team, began_ms: TimeMs(key) };
    let mut open = vec![of(0, "red")];
    open.extend((1..256).map(|key| of(key, "blue")));
    for key in 256..2_000 {
        let displaced = displaced_inquiry(&open).expect("an inquiry");
        assert_eq!(displaced, key - 255, "the oldest of the busiest team");
        open.retain(|inquiry| inquiry.key != displaced);
        open.push(of(key, "blue"));
    }
    assert!(open.iter().any(|inquiry| inquiry.team == "red"));
    assert_eq!(displaced_inquiry::<u64>(&[]), None);
}

fn unconfirmed(build: &str, incarnation: u32) -> UnconfirmedOrigin<u32> {
    UnconfirmedOrigin { origin: origin(build), incarnation }
}

#[test]
fn an_unconfirmed_origin_is_retained_like_a_record_and_the_first_one_stays() {
    let mut streams = UnconfirmedStreams::default();
    streams.insert(key("a"), unconfirmed("v1", 1), NOW_MS);
    streams.insert(key("a"), unconfirmed("v2", 2), NOW_MS.after(TimeMs(10)));
    assert_eq!(streams.get(&key("a"), NOW_MS), Some(unconfirmed("v1", 1)));
    let after_ms = NOW_MS.after(STREAM_RETENTION_MS);
    assert_eq!(streams.get(&key("a"), after_ms), None);
    streams.insert(key("a"), unconfirmed("v2", 2), after_ms);
    assert_eq!(streams.get(&key("a"), after_ms), Some(unconfirmed("v2", 2)));
    for number in 0..=MAX_STREAMS {
        streams.insert(key(&number.to_string()), unconfirmed("v1", 1), after_ms);
    }
    assert!(streams.len() <= MAX_STREAMS);
}

#[test]
fn a_refuted_origin_is_not_named_again() {
    let mut streams = UnconfirmedStreams::default();
    streams.insert(key("a"), unconfirmed("v1", 1), NOW_MS);
    streams.refute(&key("a"));
    streams.insert(key("a"), unconfirmed("v1", 1), NOW_MS);
    assert_eq!(
        (streams.get(&key("a"), NOW_MS), streams.is_refuted(&key("a"), NOW_MS)),
        (None, true)
    );
    streams.remove(&key("a"));
    assert!(streams.is_empty());
}
