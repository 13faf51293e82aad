use bilberryford_gateway::EventPosition;
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
