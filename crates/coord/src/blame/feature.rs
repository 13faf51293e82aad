//! The identity that a crash may be blamed on.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// The kind of a feature, the narrowest explanation first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum FeatureKind {
    /// One request over all its retries.
    Request,
    /// A part of prompts.
    Part,
}

/// A feature of a request that it shares with its own retries, or with other requests.
///
/// The lowest bit of the hash states the kind, so that reports need no further field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Feature(u64);

const KIND_BIT: u64 = 1;

fn digest(fields: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    for field in fields {
        hash.update(&(field.len() as u64).to_le_bytes());
        hash.update(field);
    }
    hash.digest()
}

impl Feature {
    /// A request, by its caller, method, target and body; `caller` is its team where requests have one.
    pub fn of_request(caller: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let hash = digest(&[caller.as_bytes(), method.as_bytes(), target.as_bytes(), body]);
        Self(hash & !KIND_BIT)
    }

    /// The part `id` of prompts to `model`.
    pub fn of_part(model: &str, id: &str) -> Self {
        Self(digest(&[model.as_bytes(), id.as_bytes()]) | KIND_BIT)
    }

    /// The hash, under which a table of requests has an entry.
    pub const fn hash(self) -> u64 {
        self.0
    }

    /// The kind of the feature.
    pub fn kind(self) -> FeatureKind {
        if self.0 & KIND_BIT == 0 { FeatureKind::Request } else { FeatureKind::Part }
    }

    /// The key by which instances agree on which of them tries or repeats what concerns the feature.
    pub fn key(self) -> String {
        self.to_string()
    }
}

/// The text is no feature.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{text}` is no feature: {source}")]
pub struct FeatureError {
    text: String,
    source: std::num::ParseIntError,
}

impl std::str::FromStr for Feature {
    type Err = FeatureError;

    fn from_str(text: &str) -> Result<Self, FeatureError> {
        let parsed = u64::from_str_radix(text, 16);
        parsed.map(Self).map_err(|source| FeatureError { text: text.to_owned(), source })
    }
}

impl std::fmt::Display for Feature {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
