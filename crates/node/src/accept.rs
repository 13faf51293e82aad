//! Accepts a document as the next generation, and finds out the truth when the platform's answer is lost.
//!
//! # Invariant
//!
//! All tries of one change are conditional on the same version of the head, so that at most one of them takes effect,
//! also when one lands late. Each change has a name that stays in the head's history for a while; whoever reads the
//! head can tell whether the change was taken, even when another operator's change came after it.

use std::time::Duration;

use bilberryford_platform::{ObjectKey, ObjectStore, PlatformError, Precondition};
use bilberryford_types::{Digest, EnvironmentName, Generation, ObjectVersion};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::config::{ConfigObject, document_digest};

/// How many accepted changes the head remembers.
const MAX_HISTORY: usize = 16;
/// How often a call is tried.
const TRIES: u32 = 5;
/// The wait before the second try; it doubles with each.
const FIRST_WAIT: Duration = Duration::from_millis(100);
/// The largest value that the platform holds, in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

/// One accepted change, as the head remembers it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The generation that it made.
    pub generation: Generation,
    /// The digest of its document.
    pub digest: Digest,
    /// The name that its operator's command gave it.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The environment and generation that it was promoted from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promoted_from: Option<PromotedFrom>,
}

/// Where a promoted document comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotedFrom {
    /// The environment.
    pub environment: EnvironmentName,
    /// Its generation.
    pub generation: Generation,
}

/// A document that an operator wants accepted.
#[derive(Debug, Clone)]
pub struct ConfigChange {
    /// The document's text, which was checked.
    pub document: String,
    /// The generation that the operator edited; none for whatever is accepted.
    pub expected: Option<Generation>,
    /// A name that no other change has.
    pub change_id: String,
    /// Where a promoted document comes from.
    pub promoted_from: Option<PromotedFrom>,
}

/// How a change ended well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// It made this generation.
    New(Generation),
    /// This generation already has the same document; nothing was written.
    Unchanged(Generation),
}

/// Why a change was not accepted, or is not known to be.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// Another operator was first.
    #[error(
        "generation {expected} was edited, but generation {accepted} is accepted; nothing was written"
    )]
    Conflict {
        /// The generation that the change was made on.
        expected: Generation,
        /// The generation that is accepted.
        accepted: Generation,
    },
    /// The document does not fit into an object.
    #[error(
        "the document takes {bytes} bytes on the platform, the limit is {MAX_OBJECT_BYTES}; nothing was written"
    )]
    TooLarge {
        /// Its size as stored.
        bytes: usize,
    },
    /// The platform did not answer a read; nothing was tried.
    #[error("the platform can't be read ({reason}); nothing was written")]
    NotRead {
        /// What was seen last.
        reason: String,
    },
    /// The platform took nothing.
    #[error("the platform did not take the change ({reason}); nothing was written")]
    NotTaken {
        /// What was seen last.
        reason: String,
    },
    /// The change may be accepted now or later.
    #[error(
        "the platform's answer was lost and the change can't be read back ({reason}); it may be accepted as generation {generation}, run the same command again to find out"
    )]
    Unknown {
        /// The generation that it would make.
        generation: Generation,
        /// What was seen last.
        reason: String,
    },
    /// What is accepted can't be read.
    #[error("the accepted configuration can't be read: {reason}")]
    Unreadable {
        /// What was seen.
        reason: String,
    },
}

/// The head of an environment's configuration as read.
#[derive(Debug, Clone)]
pub struct ConfigHead {
    /// The platform's version; [`ObjectVersion::ABSENT`] when there is none.
    pub version: ObjectVersion,
    /// The content; none before the first change.
    pub config: Option<ConfigObject>,
}

impl ConfigHead {
    /// The accepted generation, 0 before the first change.
    pub fn generation(&self) -> Generation {
        self.config.as_ref().map_or(Generation(0), |config| config.generation)
    }
}

/// Reads what is accepted.
///
/// # Errors
///
/// [`AcceptError::NotRead`] when the platform does not answer, [`AcceptError::Unreadable`] for bad content.
pub async fn read_config_head(
    store: &dyn ObjectStore,
    key: &ObjectKey,
) -> Result<ConfigHead, AcceptError> {
    let mut wait = FIRST_WAIT;
    for last in (0..TRIES).map(|attempt| attempt + 1 == TRIES) {
        match store.get(key).await {
            Ok(None) => return Ok(ConfigHead { version: ObjectVersion::ABSENT, config: None }),
            Ok(Some(object)) => {
                let config = serde_json::from_slice(&object.body)
                    .map_err(|error| AcceptError::Unreadable { reason: error.to_string() })?;
                return Ok(ConfigHead { version: object.version, config: Some(config) });
            }
            Err(error) if last => {
                return Err(AcceptError::NotRead { reason: error.to_string() });
            }
            Err(_) => sleep(wait).await,
        }
        wait *= 2;
    }
    unreachable!("the last try returns")
}

/// Makes a document the accepted one, unless someone else changed it first.
///
/// # Errors
///
/// [`AcceptError`]; only [`AcceptError::Unknown`] leaves open whether the change was taken.
pub async fn accept_change(
    store: &dyn ObjectStore,
    key: &ObjectKey,
    change: &ConfigChange,
) -> Result<Accepted, AcceptError> {
    let head = read_config_head(store, key).await?;
    let digest = document_digest(&change.document);
    let accepted = head.generation();
    if head.config.as_ref().is_some_and(|config| document_digest(&config.document) == digest) {
        return Ok(Accepted::Unchanged(accepted));
    }
    if let Some(expected) = change.expected.filter(|expected| *expected != accepted) {
        return Err(AcceptError::Conflict { expected, accepted });
    }
    let generation = Generation(accepted.get() + 1);
    let body = next_body(&head, generation, digest, change)?;
    let precondition = match head.version {
        ObjectVersion::ABSENT => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let write = Write { store, key, precondition, body, generation, change_id: &change.change_id };
    write.make(accepted).await
}

fn next_body(
    head: &ConfigHead,
    generation: Generation,
    digest: Digest,
    change: &ConfigChange,
) -> Result<Bytes, AcceptError> {
    let entry = AcceptedChange {
        generation,
        digest,
        change_id: change.change_id.clone(),
        promoted_from: change.promoted_from.clone(),
    };
    let before = head.config.iter().flat_map(|config| config.history.iter().cloned());
    let history = [entry].into_iter().chain(before).take(MAX_HISTORY).collect();
    let config = ConfigObject { generation, document: change.document.clone(), history };
    let body = serde_json::to_vec(&config)
        .map_err(|error| AcceptError::Unreadable { reason: error.to_string() })?;
    if body.len() > MAX_OBJECT_BYTES {
        return Err(AcceptError::TooLarge { bytes: body.len() });
    }
    Ok(body.into())
}

/// One conditional write, tried until its end is known.
struct Write<'a> {
    store: &'a dyn ObjectStore,
    key: &'a ObjectKey,
    precondition: Precondition,
    body: Bytes,
    generation: Generation,
    change_id: &'a str,
}

impl Write<'_> {
    async fn make(&self, expected: Generation) -> Result<Accepted, AcceptError> {
        let mut wait = FIRST_WAIT;
        let mut is_open = false;
        let mut reason = String::new();
        for _ in 0..TRIES {
            match self.store.put(self.key, self.precondition, self.body.clone()).await {
                Ok(_) => return Ok(Accepted::New(self.generation)),
                Err(PlatformError::Conflict { .. }) => return self.read_back(expected).await,
                Err(PlatformError::NotApplied { reason: seen }) => reason = seen,
                Err(error) => {
                    is_open = true;
                    reason = error.to_string();
                }
            }
            sleep(wait).await;
            wait *= 2;
        }
        if is_open {
            Err(AcceptError::Unknown { generation: self.generation, reason })
        } else {
            Err(AcceptError::NotTaken { reason })
        }
    }

    /// The head has moved on: by an earlier try of this change, or by another one.
    async fn read_back(&self, expected: Generation) -> Result<Accepted, AcceptError> {
        let unknown = |reason| AcceptError::Unknown { generation: self.generation, reason };
        let head = read_config_head(self.store, self.key)
            .await
            .map_err(|error| unknown(error.to_string()))?;
        let accepted = head.generation();
        let history = head.config.map(|config| config.history).unwrap_or_default();
        if history.iter().any(|entry| entry.change_id == self.change_id) {
            return Ok(Accepted::New(self.generation));
        }
        let reaches_back = history.iter().any(|entry| entry.generation <= self.generation);
        if accepted > self.generation && !reaches_back {
            return Err(unknown("many changes were accepted since".to_owned()));
        }
        Err(AcceptError::Conflict { expected, accepted })
    }
}
