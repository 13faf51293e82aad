//! The table of errors and its page say the same, and its rows fit together.

use bilberryford_types::{CallerRetry, ErrorKind, InternalRetry, Ran, RetryAfter};
use strum::VariantArray;

const PAGE: &str = include_str!("../../../docs/design/errors.md");

#[test]
fn the_page_has_a_row_for_each_kind_and_no_other() {
    let rows: Vec<_> = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(rows.len(), ErrorKind::VARIANTS.len());
    for kind in ErrorKind::VARIANTS {
        let answer = kind.spec();
        let start = format!("| `{kind}` | {} | {} |", answer.status, answer.ran);
        assert!(rows.iter().any(|row| row.starts_with(&start)), "{start}");
    }
}

#[test]
fn the_rows_fit_together() {
    for kind in ErrorKind::VARIANTS {
        let answer = kind.spec();
        let comes_back = answer.retry_after != RetryAfter::None;
        assert!(!comes_back || answer.caller_retry != CallerRetry::No, "{kind}");
        assert!(
            answer.internal_retry != InternalRetry::OtherEndpoint || answer.ran == Ran::No,
            "{kind}"
        );
        assert!((400..600).contains(&answer.status), "{kind}");
    }
}
