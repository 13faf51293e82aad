//! Newtypes for sizes, rates, times and monotonic counters.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

/// The error for a text that is not a valid quantity.
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
            /// Returns the number, in the unit of the type.
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
    /// A transfer rate in bytes per second.
    BytesPerSec(u64) "B/s"
    /// A number of tokens.
    Tokens(u32) "tok"
    /// A point in time or a duration, in milliseconds, on whichever clock the caller uses.
    TimeMs(u64) "ms"
    /// The generation of an accepted configuration; it increases monotonically.
    Generation(u64) ""
    /// The fencing number of a lease; it increases monotonically.
    Fencing(u64) ""
    /// The incarnation of an instance: each start of its process has a greater one. A late heartbeat of an earlier
    /// process is thereby not attributed to the current one.
    Incarnation(u64) ""
    /// How often the platform's store came back from a copy, and lost what it had acknowledged since the copy was made.
    StoreEra(u64) ""
    /// A team's weight in the division of capacity.
    Share(u32) ""
}

impl TimeMs {
    /// Returns the time `duration` after this one, saturating at the maximum.
    pub const fn after(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }

    /// Returns the duration from `earlier` to this time, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

/// The priority of a request. Under overload, requests of the lowest priority are refused first.
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
    /// Long-running work that can wait, such as the review of a method statement.
    Batch,
    /// Work of normal urgency.
    #[default]
    Standard,
    /// Work where a person waits for the first token.
    Interactive,
}
