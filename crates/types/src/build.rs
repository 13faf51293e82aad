//! The build of an endpoint's software.

use std::{fmt, str::FromStr, sync::Arc};

/// The limit on the length of a build, in bytes; it bounds the size of log lines.
const MAX_BUILD_BYTES: usize = 128;

/// The error for a text that does not name a build.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BuildError {
    /// The text is empty.
    #[error("the build is empty")]
    Empty,
    /// The text is longer than the limit.
    #[error("the build has {len} bytes, the limit is {MAX_BUILD_BYTES}")]
    TooLong {
        /// The length of the text, in bytes.
        len: usize,
    },
    /// The text contains a control character.
    #[error("the build contains a control character")]
    Control,
}

/// The version of the software that an endpoint runs, as opposed to the version of its weights.
///
/// Builds are only compared for equality: the text is the endpoints' own, and no order is defined on it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Build(Arc<str>);

impl Build {
    /// Returns the build as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Build {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Build {
    type Err = BuildError;

    fn from_str(text: &str) -> Result<Self, BuildError> {
        if text.is_empty() {
            return Err(BuildError::Empty);
        }
        if text.len() > MAX_BUILD_BYTES {
            return Err(BuildError::TooLong { len: text.len() });
        }
        if text.chars().any(char::is_control) {
            return Err(BuildError::Control);
        }
        Ok(Self(text.into()))
    }
}
