//! Versions of objects are ordered by the era of the store first.

use bilberryford_types::{ObjectVersion, StoreEra};

#[test]
fn a_later_era_is_later_whatever_the_revision() {
    let first = ObjectVersion::new(900);
    let second = ObjectVersion::in_era(StoreEra(1), 3);
    assert!(first < second && second < ObjectVersion::in_era(StoreEra(1), 4));
    assert_eq!((second.era(), second.revision()), (StoreEra(1), 3));
}

#[test]
fn a_version_is_read_as_it_is_written() {
    for version in [ObjectVersion::new(57), ObjectVersion::in_era(StoreEra(12), 57)] {
        assert_eq!(version.to_string().parse(), Ok(version));
        assert_eq!(ObjectVersion::from_wire(version.to_wire()), version);
    }
    assert_eq!(ObjectVersion::new(57).to_string(), "57", "as before there were eras");
    assert_eq!(ObjectVersion::new(57).to_wire(), 57);
    assert!("7.x".parse::<ObjectVersion>().is_err());
}
