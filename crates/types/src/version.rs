//! The version of an object in the platform's store.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::quantity::StoreEra;

/// The number of bits of a version that hold the revision; the era is above them.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// The version that the platform's object store assigns to an object on each write: the era of the store, and its
/// revision in that era.
///
/// A store that comes back from a copy gives revisions out again, so that revisions alone say nothing of the order of two
/// writes. Versions are ordered by era first. They are stored and sent as one number, whose value in the first era is
/// the revision. See `docs/design/store-eras.md`.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ObjectVersion(u64);

/// The text is no version.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is no version of an object: {source}")]
pub struct VersionError {
    text: String,
    source: ParseIntError,
}

impl ObjectVersion {
    /// The version that stands for an object that does not exist.
    pub const ABSENT: Self = Self(0);

    /// The version with `revision` in the first era.
    pub const fn new(revision: u64) -> Self {
        Self::in_era(StoreEra(0), revision)
    }

    /// The version with `revision` in `era`.
    pub const fn in_era(era: StoreEra, revision: u64) -> Self {
        Self((era.0 << REVISION_BITS) | (revision & REVISION_MASK))
    }

    /// The era of the store.
    pub const fn era(self) -> StoreEra {
        StoreEra(self.0 >> REVISION_BITS)
    }

    /// The revision that the store knows the version by. It identifies the version in this era only.
    pub const fn revision(self) -> u64 {
        self.0 & REVISION_MASK
    }

    /// The number as which the version is sent.
    pub const fn to_wire(self) -> u64 {
        self.0
    }

    /// The version that was sent as `number`.
    pub const fn from_wire(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            StoreEra(0) => write!(f, "{}", self.revision()),
            era => write!(f, "{era}.{}", self.revision()),
        }
    }
}

impl FromStr for ObjectVersion {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let parse = |part: &str| {
            part.parse().map_err(|source| VersionError { text: text.to_owned(), source })
        };
        match text.split_once('.') {
            Some((era, revision)) => Ok(Self::in_era(StoreEra(parse(era)?), parse(revision)?)),
            None => Ok(Self::new(parse(text)?)),
        }
    }
}
