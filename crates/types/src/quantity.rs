//! Sizes, rates, times and counters that only grow.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// Why a text can't be a quantity.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a whole number: {source}")]
pub struct QuantityError {
    text: String,
    source: ParseIntError,
}

macro_rules! quantities {
    ($($(#[$doc:meta])* $name:ident($repr:ty) $unit:literal)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The bare number, in the unit that the type stands for.
            pub const fn get(self) -> $repr {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = QuantityError;

            fn from_str(text: &str) -> Result<Self, QuantityError> {
                text.strip_suffix($unit)
                    .unwrap_or(text)
                    .parse()
                    .map(Self)
                    .map_err(|source| QuantityError { text: text.to_owned(), source })
            }
        }
    )*};
}

quantities! {
    /// A size in bytes.
    Bytes(u64) "B"
    /// A transfer rate in bytes a second.
    BytesPerSec(u64) "B/s"
    /// A count of tokens.
    Tokens(u32) "tok"
    /// A point in time or a span in milliseconds; the clock is the one that the caller hands in.
    TimeMs(u64) "ms"
    /// The generation of an accepted configuration; it only grows.
    Generation(u64) ""
    /// The fencing number of a lease; it only grows.
    Fencing(u64) ""
    /// How often an instance has started, so that an old heartbeat can't speak for a new process.
    Incarnation(u64) ""
    /// The version that the platform gives an object at each write.
    ObjectVersion(u64) ""
    /// A team's weight when capacity is shared out.
    Share(u32) ""
}

impl TimeMs {
    /// This time moved later by `span`, never past the end of time.
    pub const fn after(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// The span from `earlier` to this time, zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl ObjectVersion {
    /// The version of an object that does not exist.
    pub const ABSENT: Self = Self(0);
}

/// How urgent a request is; under overload the lowest is refused first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::VariantArray,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Priority {
    /// Long work that can wait, such as a review of a method statement.
    Batch,
    /// Work with no special claim.
    #[default]
    Standard,
    /// A person is waiting for the first token.
    Interactive,
}
