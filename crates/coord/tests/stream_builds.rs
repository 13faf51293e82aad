//! When the build of an endpoint that begins a stream is known.

use bilberryford_coord::covers_connection;
use bilberryford_types::TimeMs;
use rstest::rstest;

/// Guards against trusting a word that is older than the connection: the endpoint may have started anew in between.
#[rstest]
#[case::never_asked(None, 10, false)]
#[case::asked_before_it_was_opened(Some(9), 10, false)]
#[case::asked_since(Some(10), 10, true)]
fn a_word_covers_connections_that_were_open(
    #[case] confirmed_ms: Option<u64>,
    #[case] opened_ms: u64,
    #[case] is_covered: bool,
) {
    assert_eq!(covers_connection(confirmed_ms.map(TimeMs), TimeMs(opened_ms)), is_covered);
}
