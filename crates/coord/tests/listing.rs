//! Readings of the endpoint list with missing rows.

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
#[case::one_row_missing_briefly(12, 11, 500, 0)]
#[case::one_row_missing_past_the_grace_period(12, 11, 3_000, 1)]
#[case::half_of_the_rows_missing(12, 6, 3_000, 0)]
#[case::empty_after_an_outage(12, 0, 30_000, 0)]
#[case::empty_for_a_minute(12, 0, 60_000, 12)]
#[case::unchanged_list(12, 12, 600_000, 0)]
fn rows_are_removed_only_after_missing_for_the_grace_period(
    #[case] before: u16,
    #[case] after: u16,
    #[case] elapsed_ms: u64,
    #[case] expected: usize,
) {
    let mut listing = EndpointListing::default();
    assert!(listing.observe(rows(0..before), TimeMs(1_000)).is_empty());
    let gone = listing.observe(rows(0..after), TimeMs(1_000 + elapsed_ms));
    assert_eq!(gone.len(), expected);
}

#[test]
fn a_row_that_returns_restarts_the_grace_period() {
    let mut listing = EndpointListing::default();
    listing.observe(rows(0..12), TimeMs(0));
    listing.observe(rows(0..11), TimeMs(2_000));
    listing.observe(rows(0..12), TimeMs(2_500));
    assert!(listing.observe(rows(0..11), TimeMs(4_000)).is_empty());
    assert_eq!(listing.observe(rows(0..11), TimeMs(5_500)).len(), 1);
    assert!(
        listing.observe(rows(0..11), TimeMs(6_000)).is_empty(),
        "each endpoint is returned once"
    );
}
