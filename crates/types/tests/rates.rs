//! Rates of requests as text.

use bilberryford_types::{RateError, RequestRate};
use rstest::rstest;

#[rstest]
#[case::whole("3", 3_000)]
#[case::fraction("1.8", 1_800)]
#[case::rounded_down("0.33339", 333)]
#[case::with_unit("1.500/s", 1_500)]
#[case::zero_is_the_lowest_rate("0", 100)]
#[case::absurd("1e300", 1_000_000_000)]
fn a_rate_is_read(#[case] text: &str, #[case] milli_per_s: u64) {
    let rate: RequestRate = text.parse().expect("a rate");
    assert_eq!(rate.milli_per_s(), milli_per_s);
    assert_eq!(rate.to_string().parse(), Ok(rate));
}

#[rstest]
#[case::negative("-1")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
fn an_impossible_rate_is_rejected(#[case] text: &str) {
    assert!(matches!(text.parse::<RequestRate>(), Err(RateError::OutOfRange { .. })));
}

#[rstest]
#[case::empty("")]
#[case::words("many")]
#[case::two_numbers("1, 2")]
fn other_text_is_rejected(#[case] text: &str) {
    assert!(matches!(text.parse::<RequestRate>(), Err(RateError::NotANumber { .. })));
}
