use bilberryford_gateway::{EventBuffer, EventPosition};
use rstest::rstest;

#[rstest]
#[case::nothing("", false)]
#[case::whole_events("id: 1\ndata: a\n\ndata: b\n\n", false)]
#[case::field_without_an_end("id: 1", true)]
#[case::event_without_an_empty_line("id: 1\ndata: a\n", true)]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\n", false)]
#[case::carriage_returns_alone("id: 1\rdata: a\r\r", false)]
#[case::one_line_end_of_two_bytes("id: 1\r\n", true)]
#[case::comment(": idle\n", false)]
#[case::comment_without_an_end(": idle", false)]
#[case::comment_inside_an_event("id: 1\n: idle\n", true)]
#[case::comment_after_an_event("id: 1\n\n: idle", false)]
#[case::colon_within_a_field("a:b\n", true)]
fn a_stream_ends_inside_an_event(#[case] text: &str, #[case] expected: bool) {
    let mut whole = EventPosition::default();
    whole.read(text.as_bytes());
    assert_eq!(whole.is_inside_event(), expected);
    // Chunks end anywhere.
    let mut in_bytes = EventPosition::default();
    text.as_bytes().iter().for_each(|byte| in_bytes.read(&[*byte]));
    assert_eq!(in_bytes.is_inside_event(), expected);
}

/// However the bytes of a stream are cut, the events that are passed on are whole, in order and complete.
#[rstest]
#[case::lines("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2")]
#[case::carriage_returns("id: 1\r\ndata: a\r\n\r\nid: 27\r\ndata: b\r\n\r\n", "27")]
#[case::comments("id:1\ndata: a\n\n: idle\n\nid:22\ndata: b\n\n", "22")]
#[case::no_space_and_more_fields("event: x\nid:9\nweight-versions: 3\ndata: a\n\n", "9")]
fn events_are_passed_on_whole(#[case] stream: &str, #[case] last_id: &str) {
    for cut in 0..stream.len() {
        let mut buffer = EventBuffer::default();
        let mut passed = buffer.push(&stream.as_bytes()[..cut]).to_vec();
        let mut position = EventPosition::default();
        position.read(&passed);
        assert!(!position.is_inside_event(), "cut at {cut}");
        passed.extend_from_slice(&buffer.push(&stream.as_bytes()[cut..]));
        assert_eq!(passed, stream.as_bytes(), "cut at {cut}");
        assert_eq!(buffer.last_event_id(), Some(last_id), "cut at {cut}");
    }
}

#[test]
fn the_id_of_an_event_that_is_held_back_does_not_count() {
    let mut buffer = EventBuffer::default();
    assert_eq!(buffer.push(b"id: 1\ndata: a\n\nid: 2\ndata"), "id: 1\ndata: a\n\n");
    assert!(buffer.is_inside_event());
    assert_eq!(buffer.last_event_id(), Some("1"));
}

#[test]
fn a_stream_with_an_event_too_large_to_hold_does_not_go_on() {
    let mut buffer = EventBuffer::default();
    buffer.push(b"id: 1\ndata: a\n\n");
    let part = [b'x'; 64 * 1024];
    let passed: usize = (0..8).map(|_| buffer.push(&part).len()).sum();
    assert!(passed > 0, "memory is bounded");
    assert_eq!(buffer.last_event_id(), None);
}
