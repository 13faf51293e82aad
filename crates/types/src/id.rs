//! Identifier newtypes, so that one kind of name can't be passed for another.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The limit on the length of a name, in bytes; it bounds the size of map keys and log lines.
const MAX_ID_BYTES: usize = 256;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum IdError {
    /// The text is empty.
    #[error("the name is empty")]
    Empty,
    /// The text is longer than the limit.
    #[error("the name has {len} bytes, the limit is {MAX_ID_BYTES}")]
    TooLong {
        /// The length of the text, in bytes.
        len: usize,
    },
    /// The text contains a character that would need escaping in a path, a log line or a metric label.
    #[error("the name holds {found:?}; letters, digits, '.', '_', '-' and ':' are allowed")]
    Character {
        /// The first character that is not allowed.
        found: char,
    },
}

fn validate(text: &str) -> Result<(), IdError> {
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
            /// Returns the name as a string slice.
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
                validate(text)?;
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
    /// One attempt of a request at one endpoint; every chunk of the response carries it.
    AttemptId
    /// A data centre.
    DataCentreId
    /// A model engine or a plain service instance that runs requests.
    EndpointId
    /// An environment such as trial or production.
    EnvironmentName
    /// An instance of bilberryford itself.
    InstanceId
    /// The name of a model in callers' requests.
    ModelName
    /// The name of an object in the platform's object store, within its kind.
    ObjectName
    /// The caller's idempotency key of an order.
    OrderKey
    /// A pool of endpoints that serve the same models or service.
    PoolName
    /// A region: a group of data centres in one jurisdiction.
    RegionName
    /// One request of one caller.
    RequestId
    /// A run of a prompt; callers resume its response stream by this id.
    RunId
    /// A plain service, as opposed to a model engine.
    ServiceName
    /// A store of cache blocks, in memory and on disk.
    StoreId
    /// A team; no team may see another team's data.
    TeamName
    /// A version of a model's weights.
    WeightVersion
}
