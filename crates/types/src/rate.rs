//! A rate of requests.

use std::{fmt, num::ParseFloatError, str::FromStr};

use serde::{Deserialize, Serialize};

/// The highest rate that can be stated, in requests per second: more than any fleet sends to one endpoint.
const MAX_PER_S: f64 = 1_000_000.0;
/// The lowest rate, in requests per second. Whoever sends nothing at all never learns that a limit has ended.
const MIN_PER_S: f64 = 0.1;

/// The error for a text that is not a rate of requests.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RateError {
    /// It is not a number.
    #[error("{text:?} is not a number of requests per second: {source}")]
    NotANumber {
        /// The text.
        text: String,
        /// What is wrong with it.
        source: ParseFloatError,
    },
    /// It is infinite or negative.
    #[error("{text:?} is no possible number of requests per second")]
    OutOfRange {
        /// The text.
        text: String,
    },
}

/// A rate in thousandths of a request per second, so that fractions of a request add up exactly.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// The rate of `milli_per_s` thousandths of a request per second.
    pub const fn from_milli_per_s(milli_per_s: u64) -> Self {
        Self { milli_per_s }
    }

    /// The rate of `per_s` requests per second.
    pub const fn per_s(per_s: u64) -> Self {
        Self { milli_per_s: per_s.saturating_mul(1_000) }
    }

    /// Returns the rate in thousandths of a request per second.
    pub const fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}/s", self.milli_per_s / 1_000, self.milli_per_s % 1_000)
    }
}

impl FromStr for RequestRate {
    type Err = RateError;

    /// Reads a decimal number of requests per second; one that is too low or too high counts as the lowest or highest.
    fn from_str(text: &str) -> Result<Self, RateError> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        let per_s = number
            .parse::<f64>()
            .map_err(|source| RateError::NotANumber { text: text.to_owned(), source })?;
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(RateError::OutOfRange { text: text.to_owned() });
        }
        // The value is bounded, so that the cast is exact. Rounded down, so that the limit is never passed.
        let milli_per_s = (per_s.clamp(MIN_PER_S, MAX_PER_S) * 1_000.0) as u64;
        Ok(Self { milli_per_s })
    }
}
