//! Makes a document the accepted configuration of the next generation, and reads the outcome back if the platform's
//! response is lost.
//!
//! # Invariant
//!
//! All attempts to write a change are conditional on the same version of the head, so that at most one of them takes
//! effect, even if it arrives late. Each change has an id that stays in the head's bounded history. A reader of the
//! head can therefore see if the change was accepted, even if another operator's change was accepted after it.

use std::time::Duration;

use bilberryford_platform::{ObjectKey, ObjectStore, PlatformError, Precondition};
use bilberryford_types::{Digest, EnvironmentName, Generation, ObjectVersion};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::config::{ConfigObject, document_digest};

/// The number of accepted changes in the head's history.
const MAX_HISTORY: usize = 16;
/// The number of attempts for a call to the platform.
const MAX_ATTEMPTS: u32 = 5;
/// The wait after the first failed attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The largest object that the platform stores, in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

/// One accepted change in the head's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// The generation that the change created.
    pub generation: Generation,
    /// The digest of the document.
    pub digest: Digest,
    /// The unique id that the operator's command gave the change.
    #[serde(rename = "change")]
    pub change_id: String,
    /// The source of a promoted document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub promoted_from: Option<PromotedFrom>,
}

/// The source of a promoted document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromotedFrom {
    /// The environment that it was promoted from.
    pub environment: EnvironmentName,
    /// The generation in that environment.
    pub generation: Generation,
}

/// A request to accept a document.
#[derive(Debug, Clone)]
pub struct ConfigChange {
    /// The text of the document, already validated.
    pub document: String,
    /// The generation that the operator edited, which must still be the accepted one; none to replace any generation.
    pub expected: Option<Generation>,
    /// A unique id.
    pub change_id: String,
    /// The source of a promoted document.
    pub promoted_from: Option<PromotedFrom>,
}

/// The result of a successful change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// The change created this generation.
    New(Generation),
    /// This generation already has the same document; nothing was written.
    Unchanged(Generation),
}

/// Why a change was not accepted, or may not have been.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AcceptError {
    /// Another change was accepted meanwhile.
    #[error(
        "generation {expected} was edited, but generation {accepted} is accepted; nothing was written"
    )]
    Conflict {
        /// The generation that was edited.
        expected: Generation,
        /// The generation that is accepted.
        accepted: Generation,
    },
    /// The document does not fit into an object.
    #[error(
        "the document takes {bytes} bytes on the platform, the limit is {MAX_OBJECT_BYTES}; nothing was written"
    )]
    TooLarge {
        /// The size of the object that was to be stored.
        bytes: usize,
    },
    /// The platform did not respond to the read; no write was attempted.
    #[error("the platform can't be read ({reason}); nothing was written")]
    ReadFailed {
        /// The last error.
        reason: String,
    },
    /// The platform rejected all attempts to write.
    #[error("the platform did not store the change ({reason}); nothing was written")]
    WriteFailed {
        /// The last error.
        reason: String,
    },
    /// The outcome is not known: the change may have been accepted, or may still be.
    #[error(
        "the platform's response was lost and the change can't be read back ({reason}); it may be accepted as generation {generation}, run the same command again to find out"
    )]
    Unknown {
        /// The generation that the change would create.
        generation: Generation,
        /// The last error.
        reason: String,
    },
    /// The accepted configuration can't be decoded.
    #[error("the accepted configuration can't be read: {reason}")]
    Malformed {
        /// The decoder's error.
        reason: String,
    },
}

/// The head of an environment's configuration: the object with the accepted generation.
#[derive(Debug, Clone)]
pub struct ConfigHead {
    /// The object's version on the platform; [`ObjectVersion::ABSENT`] before the first change.
    pub version: ObjectVersion,
    /// The object's content; none before the first change.
    pub config: Option<ConfigObject>,
}

impl ConfigHead {
    /// The accepted generation, 0 before the first change.
    pub fn generation(&self) -> Generation {
        self.config.as_ref().map_or(Generation(0), |config| config.generation)
    }
}

/// Reads the accepted configuration.
///
/// # Errors
///
/// [`AcceptError::ReadFailed`] if the platform does not respond, [`AcceptError::Malformed`] if the content can't be
/// decoded.
pub async fn read_config_head(
    store: &dyn ObjectStore,
    key: &ObjectKey,
) -> Result<ConfigHead, AcceptError> {
    let mut backoff = INITIAL_BACKOFF;
    for is_last in (0..MAX_ATTEMPTS).map(|attempt| attempt + 1 == MAX_ATTEMPTS) {
        match store.get(key).await {
            Ok(None) => return Ok(ConfigHead { version: ObjectVersion::ABSENT, config: None }),
            Ok(Some(object)) => {
                let config = serde_json::from_slice(&object.body)
                    .map_err(|error| AcceptError::Malformed { reason: error.to_string() })?;
                return Ok(ConfigHead { version: object.version, config: Some(config) });
            }
            Err(error) if is_last => {
                return Err(AcceptError::ReadFailed { reason: error.to_string() });
            }
            Err(_) => sleep(backoff).await,
        }
        backoff *= 2;
    }
    unreachable!("the last attempt returns")
}

/// Makes a document the accepted configuration, unless another change was accepted meanwhile.
///
/// # Errors
///
/// [`AcceptError`]; after [`AcceptError::Unknown`] the change may have been accepted, after all others it was not.
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
    let body = encode_next(&head, generation, digest, change)?;
    let precondition = match head.version {
        ObjectVersion::ABSENT => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let write = ConditionalWrite {
        store,
        key,
        precondition,
        body,
        generation,
        change_id: &change.change_id,
    };
    write.execute(accepted).await
}

fn encode_next(
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
    let previous = head.config.iter().flat_map(|config| config.history.iter().cloned());
    let history = [entry].into_iter().chain(previous).take(MAX_HISTORY).collect();
    let config = ConfigObject { generation, document: change.document.clone(), history };
    let body = serde_json::to_vec(&config)
        .map_err(|error| AcceptError::Malformed { reason: error.to_string() })?;
    if body.len() > MAX_OBJECT_BYTES {
        return Err(AcceptError::TooLarge { bytes: body.len() });
    }
    Ok(body.into())
}

/// One conditional write, retried until its outcome is known.
struct ConditionalWrite<'a> {
    store: &'a dyn ObjectStore,
    key: &'a ObjectKey,
    precondition: Precondition,
    body: Bytes,
    generation: Generation,
    change_id: &'a str,
}

impl ConditionalWrite<'_> {
    async fn execute(&self, expected: Generation) -> Result<Accepted, AcceptError> {
        let mut backoff = INITIAL_BACKOFF;
        let mut may_be_accepted = false;
        let mut reason = String::new();
        for _ in 0..MAX_ATTEMPTS {
            match self.store.put(self.key, self.precondition, self.body.clone()).await {
                Ok(_) => return Ok(Accepted::New(self.generation)),
                Err(PlatformError::Conflict { .. }) => return self.read_back(expected).await,
                Err(PlatformError::NotApplied { reason: last_error }) => reason = last_error,
                Err(error) => {
                    may_be_accepted = true;
                    reason = error.to_string();
                }
            }
            sleep(backoff).await;
            backoff *= 2;
        }
        if may_be_accepted {
            Err(AcceptError::Unknown { generation: self.generation, reason })
        } else {
            Err(AcceptError::WriteFailed { reason })
        }
    }

    /// Reads the outcome back after the head was changed by an earlier attempt of this write or by another change.
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
        let is_covered = history.iter().any(|entry| entry.generation <= self.generation);
        if accepted > self.generation && !is_covered {
            return Err(unknown(
                "more changes were accepted since than the history holds".to_owned(),
            ));
        }
        Err(AcceptError::Conflict { expected, accepted })
    }
}
