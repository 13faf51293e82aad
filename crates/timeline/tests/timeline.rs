//! Merging, filtering and rendering, including malformed lines as they occur in real log files.

use bilberryford_timeline::{Filter, Timeline, render_html, render_text};
use bilberryford_types::{Event, EventKind, HybridTime, Incarnation};
use rstest::rstest;

fn event(wall_ms: u64, counter: u32, instance: &str, kind: EventKind) -> Event {
    let at = HybridTime { wall_ms, counter };
    Event::new(at, instance.parse().unwrap(), Incarnation(1), kind)
}

fn line(event: &Event) -> String {
    serde_json::to_string(event).unwrap()
}

#[test]
fn events_of_several_sources_are_in_causal_order() {
    let mut timeline = Timeline::default();
    let first = [event(5, 0, "a", EventKind::Dispatched), event(9, 0, "a", EventKind::Answered)];
    let second = [event(5, 1, "b", EventKind::FirstToken)];
    timeline.add_source("one", &first.iter().map(line).collect::<Vec<_>>().join("\n"), None);
    timeline.add_source("two", &second.iter().map(line).collect::<Vec<_>>().join("\n"), None);
    timeline.sort();
    let kinds: Vec<_> =
        timeline.select(&Filter::default()).iter().map(|event| event.kind).collect();
    assert_eq!(kinds, [EventKind::Dispatched, EventKind::FirstToken, EventKind::Answered]);
}

#[test]
fn event_from_log_and_live_source_is_counted_once() {
    let started = line(&event(1, 0, "a", EventKind::Started));
    let in_log =
        serde_json::json!({ "level": "INFO", "target": "event", "message": started }).to_string();
    let mut timeline = Timeline::default();
    timeline.add_source("live", &started, None);
    timeline.add_source("log", &in_log, None);
    assert_eq!(timeline.select(&Filter::default()).len(), 1);
    assert_eq!(timeline.sources()[1].duplicates, 1);
}

#[rstest]
#[case::empty("", 0, 0)]
#[case::text_log("2026-12-03T21:00:00Z  INFO event: {EVENT} more=1", 1, 0)]
#[case::ordinary_text_log("2026-12-03T21:00:00Z  WARN node: the list can't be read", 0, 0)]
#[case::ordinary_json_log("{\"level\":\"WARN\",\"message\":\"slow\"}", 0, 0)]
#[case::truncated_event("{\"at\":{\"wall_ms\":1,\"cou", 0, 1)]
#[case::other_json("{\"a\":1}", 0, 1)]
#[case::other_format("<xml/>", 0, 1)]
#[case::binary("\u{0}\u{1}\u{fffd}", 0, 1)]
#[case::unknown_kind(
    "{\"at\":{\"wall_ms\":1,\"counter\":0},\"instance\":\"a\",\"incarnation\":1,\"kind\":\"new\"}",
    0,
    1
)]
fn unreadable_line_is_counted_and_the_next_is_parsed(
    #[case] input: &str,
    #[case] events: u64,
    #[case] unreadable: u64,
) {
    let good = line(&event(7, 0, "a", EventKind::Started));
    let input = input.replace("{EVENT}", &line(&event(8, 0, "a", EventKind::Stopped)));
    let mut timeline = Timeline::default();
    timeline.add_source("file", &format!("{input}\n{good}\n"), None);
    let source = &timeline.sources()[0];
    assert_eq!((source.events, source.unreadable), (events + 1, unreadable));
}

#[test]
fn clock_jump_and_unavailable_source_are_reported() {
    let mut timeline = Timeline::default();
    let events =
        [event(1_000, 0, "a", EventKind::Started), event(90_000_000, 0, "a", EventKind::Stopped)];
    timeline.add_source("a", &events.iter().map(line).collect::<Vec<_>>().join("\n"), None);
    timeline.add_source("http://127.0.0.1:1/events", "", Some("can't connect".to_owned()));
    timeline.sort();
    let text = render_text(&timeline, &Filter::default());
    assert!(text.contains("the clock of a jumped by 89999000 ms"), "{text}");
    assert!(
        text.contains("http://127.0.0.1:1/events: 0 event(s), not read to its end: can't connect"),
        "{text}"
    );
}

#[test]
fn order_filter_selects_all_events_of_its_requests() {
    let mut intent = event(1, 0, "a", EventKind::OrderIntent);
    intent.order = Some("order-1".parse().unwrap());
    intent.request = Some("q1".parse().unwrap());
    let mut sent = event(2, 0, "a", EventKind::Dispatched);
    sent.request = Some("q1".parse().unwrap());
    let other = event(3, 0, "b", EventKind::Dispatched);
    let mut timeline = Timeline::default();
    let lines = [intent, sent, other].iter().map(line).collect::<Vec<_>>().join("\n");
    timeline.add_source("a", &lines, None);
    timeline.sort();
    let filter = Filter { order: Some("order-1".parse().unwrap()), ..Filter::default() };
    assert_eq!(timeline.select(&filter).len(), 2);
}

#[test]
fn html_page_escapes_event_fields() {
    let mut marked = event(1, 0, "a", EventKind::Refused);
    marked.detail = "<script>alert(1)</script>".to_owned();
    let mut timeline = Timeline::default();
    timeline.add_source("a", &line(&marked), None);
    let page = render_html(&timeline, &Filter::default());
    assert!(!page.contains("<script>alert"), "{page}");
    assert!(page.contains("&lt;script&gt;alert"), "{page}");
}
