//! The configuration in force: generations never decrease, whatever is lost, duplicated or reordered.

use bilberryford_coord::{ConfigOfferOutcome, ConfigStamp, VersionedConfig};
use bilberryford_types::{Digest, Generation, ObjectVersion};
use proptest::prelude::*;
use rstest::rstest;

fn stamp(generation: u64, content: u8) -> ConfigStamp {
    ConfigStamp {
        generation: Generation(generation),
        version: ObjectVersion::new(generation * 10),
        digest: Digest([content; 32]),
    }
}

#[rstest]
#[case::higher(stamp(6, 1), ConfigOfferOutcome::Adopted)]
#[case::lower(stamp(4, 1), ConfigOfferOutcome::Stale)]
#[case::same(stamp(5, 0), ConfigOfferOutcome::Unchanged)]
#[case::same_generation_with_other_content(stamp(5, 1), ConfigOfferOutcome::Conflict)]
fn an_offer_is_compared_with_the_configuration_in_force(
    #[case] offered: ConfigStamp,
    #[case] expected: ConfigOfferOutcome,
) {
    let mut config = VersionedConfig::new();
    assert_eq!(config.offer(stamp(5, 0), 0), ConfigOfferOutcome::Adopted);
    assert_eq!(config.compare(&offered), expected);
    assert_eq!(config.offer(offered, 1), expected);
    let in_force = if expected == ConfigOfferOutcome::Adopted { 1 } else { 0 };
    assert_eq!(config.content(), Some(&in_force));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn generations_never_decrease_and_the_highest_wins(
        offers in prop::collection::vec((1..20_u64, 0..3_u8), 1..60),
    ) {
        let mut config = VersionedConfig::new();
        let mut last = None;
        for (generation, content) in &offers {
            let offered = stamp(*generation, *content);
            config.offer(offered, *content);
            let now = *config.stamp().unwrap();
            if let Some(last) = last {
                let last: ConfigStamp = last;
                prop_assert!(now.generation > last.generation || now == last);
            }
            last = Some(now);
        }
        let highest = offers.iter().map(|(generation, _)| *generation).max();
        prop_assert_eq!(last.map(|stamp| stamp.generation.get()), highest);
    }
}
