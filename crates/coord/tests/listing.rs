//! The list of endpoints, with readings that miss rows.

use bilberryford_coord::{AddressedEndpoint, EndpointListing};
use bilberryford_types::TimeMs;
use rstest::rstest;

fn rows(numbers: impl IntoIterator<Item = u16>) -> Vec<AddressedEndpoint> {
    let row = |number| AddressedEndpoint {
        endpoint: format!("engine-{number}").parse().unwrap(),
        address: ([10, 0, 0, 1], 8000 + number).into(),
    };
    numbers.into_iter().map(row).collect()
}

#[rstest]
#[case::one_reading_without_a_row(12, 11, 500, 0)]
#[case::missing_for_long(12, 11, 3_000, 1)]
#[case::half_missing(12, 6, 3_000, 0)]
#[case::empty_after_an_outage(12, 0, 30_000, 0)]
#[case::empty_for_a_minute(12, 0, 60_000, 12)]
#[case::frozen(12, 12, 600_000, 0)]
fn rows_are_gone_only_when_they_are_missing_for_long(
    #[case] before: u16,
    #[case] after: u16,
    #[case] later_ms: u64,
    #[case] expected: usize,
) {
    let mut listing = EndpointListing::default();
    assert!(listing.observe(rows(0..before), TimeMs(1_000)).is_empty());
    let gone = listing.observe(rows(0..after), TimeMs(1_000 + later_ms));
    assert_eq!(gone.len(), expected);
}

#[test]
fn a_row_that_comes_back_counts_anew() {
    let mut listing = EndpointListing::default();
    listing.observe(rows(0..12), TimeMs(0));
    listing.observe(rows(0..11), TimeMs(2_000));
    listing.observe(rows(0..12), TimeMs(2_500));
    assert!(listing.observe(rows(0..11), TimeMs(4_000)).is_empty());
    assert_eq!(listing.observe(rows(0..11), TimeMs(5_500)).len(), 1);
    assert!(listing.observe(rows(0..11), TimeMs(6_000)).is_empty(), "told once");
}
