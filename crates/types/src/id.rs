//! Names of things, each a type of its own.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The longest name in bytes; longer ones are refused before they reach a map or a log.
const MAX_ID_BYTES: usize = 256;

/// Why a text can't be a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text has no characters.
    #[error("the name is empty")]
    Empty,
    /// The text is longer than any name may be.
    #[error("the name has {len} bytes, the limit is {MAX_ID_BYTES}")]
    TooLong {
        /// The length found, in bytes.
        len: usize,
    },
    /// The text holds a character that would need escaping in a path, a log line or a label.
    #[error("the name holds {found:?}; letters, digits, '.', '_', '-' and ':' are allowed")]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

fn check(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong { len: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(IdError::Character { found }),
        None => Ok(()),
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(text)?;
                Ok(Self(text.into()))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                let text = String::deserialize(d)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    )*};
}

ids! {
    /// One dispatch of a request to one endpoint; it comes back on every chunk of the answer.
    AttemptId
    /// A data centre.
    DataCentreId
    /// A model engine or a plain service instance that runs requests.
    EndpointId
    /// An environment such as trial or production.
    EnvironmentName
    /// An instance of bilberryford itself.
    InstanceId
    /// A model as callers name it.
    ModelName
    /// The part of an object's path after its kind.
    ObjectName
    /// The caller's idempotency key of an order.
    OrderKey
    /// A group of endpoints that serve the same thing.
    PoolName
    /// One request of one caller.
    RequestId
    /// The name under which a caller picks an answer up again.
    RunId
    /// A plain service beside the model engines.
    ServiceName
    /// A store instance that holds cache blocks in memory and on disk.
    StoreId
    /// A team, whose data no other team may see.
    TeamName
    /// A version of a model's weights.
    WeightVersion
}
