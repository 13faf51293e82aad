//! The object API as a trait.

use std::fmt;

use bilberryford_types::{ObjectName, ObjectVersion, TimeMs};
use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// What an object is; the first part of its path.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ObjectKind {
    /// The head of an environment's configuration.
    Config,
    /// A part of an environment's configuration.
    ConfigPart,
    /// The record of one order.
    Order,
    /// A partition of the order ledger.
    Ledger,
    /// A lease with its fencing number.
    Lease,
    /// An endpoint's entry in the list, which the endpoint itself writes.
    Endpoint,
    /// An instance of bilberryford, with the address at which its peers reach it.
    Instance,
    /// A weight version that operators named for a model.
    WeightVersion,
    /// The weight version in force of a model.
    Rollout,
    /// The status of an environment.
    Status,
    /// Requests that may not run again.
    Quarantine,
}

/// The path of an object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// What the object is.
    pub kind: ObjectKind,
    /// Which one it is.
    pub name: ObjectName,
}

impl ObjectKey {
    /// The key of the object `name` of `kind`.
    pub const fn new(kind: ObjectKind, name: ObjectName) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name within its kind.
    pub name: ObjectName,
    /// Its version.
    pub version: ObjectVersion,
    /// Its content.
    pub body: Bytes,
}

/// What must hold for a write to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has just this version.
    Version(ObjectVersion),
}

/// A change that a watch saw; no body means that the object was deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The object's name.
    pub name: ObjectName,
    /// The version of the change.
    pub version: ObjectVersion,
    /// The new content.
    pub body: Option<Bytes>,
}

/// What a watch answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The version to go on from.
    pub version: ObjectVersion,
    /// The changes, oldest first; empty when the wait ran out.
    pub changes: Vec<Change>,
}

/// Why a call of the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The precondition did not hold; nothing was written.
    #[error("the object is at version {current}")]
    Conflict {
        /// The version found.
        current: ObjectVersion,
    },
    /// Nothing was written: the platform was not reached or refused before it looked.
    #[error("the platform did not take the call: {reason}")]
    NotApplied {
        /// What was seen.
        reason: String,
    },
    /// The call may have taken effect, now or later.
    #[error("the platform's answer was lost: {reason}")]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The watch asked for changes older than those kept; list again.
    #[error("the changes asked for are no longer kept")]
    Compacted,
    /// The platform refused the call for good or answered something that can't be read.
    #[error("the platform refused: {reason}")]
    Refused {
        /// What was seen.
        reason: String,
    },
}

/// The platform's object API. Every call has a deadline of its own.
pub trait ObjectStore: Send + Sync {
    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Writes an object when `precondition` holds, and answers its new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] when it does not hold; [`PlatformError::Unknown`] when the write may have taken.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        precondition: Precondition,
        body: Bytes,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Deletes an object that has just `version`.
    ///
    /// # Errors
    ///
    /// As for [`ObjectStore::put`].
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        version: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// All objects of a kind whose names start with `prefix`, with the version to watch from.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] but a conflict.
    fn list<'a>(
        &'a self,
        kind: ObjectKind,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(ObjectVersion, Vec<Object>), PlatformError>>;

    /// Waits up to `wait` for changes after `after`; the platform counts a waiting watch as a call.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Compacted`] when the caller has to list again.
    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: TimeMs,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>>;
}
