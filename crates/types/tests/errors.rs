//! The table of error kinds matches its page in the documentation, and its rows are consistent.

use bilberryford_types::{CallerRetry, ErrorKind, InternalRetry, Ran, RetryAfter};
use strum::VariantArray;

const PAGE: &str = include_str!("../../../docs/design/errors.md");

#[test]
fn documentation_lists_each_error_kind_exactly_once() {
    let rows: Vec<_> = PAGE.lines().filter(|line| line.starts_with("| `")).collect();
    assert_eq!(rows.len(), ErrorKind::VARIANTS.len());
    for kind in ErrorKind::VARIANTS {
        let spec = kind.spec();
        let start = format!("| `{kind}` | {} | {} |", spec.status, spec.ran);
        assert!(rows.iter().any(|row| row.starts_with(&start)), "{start}");
    }
}

#[test]
fn error_specs_are_consistent() {
    for kind in ErrorKind::VARIANTS {
        let spec = kind.spec();
        let has_retry_after = spec.retry_after != RetryAfter::None;
        assert!(!has_retry_after || spec.caller_retry != CallerRetry::No, "{kind}");
        assert!(
            spec.internal_retry != InternalRetry::OtherEndpoint || spec.ran == Ran::No,
            "{kind}"
        );
        assert!((400..600).contains(&spec.status), "{kind}");
    }
}
