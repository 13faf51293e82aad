//! The trait of the object API and its data types.

use std::fmt;

use bilberryford_types::{ObjectName, ObjectVersion, StoreEra, TimeMs};
use bytes::Bytes;
use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

/// The kind of an object, which is the first part of its path.
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
    /// The record of an order.
    Order,
    /// A partition of the order ledger.
    Ledger,
    /// A lease and its fencing number.
    Lease,
    /// An endpoint's registration, written by the endpoint itself.
    Endpoint,
    /// The registration of an instance of bilberryford, with its address for peers.
    Instance,
    /// A weight version that operators have published for a model.
    WeightVersion,
    /// The request of operators to send nothing more to a data centre; its name is that of the data centre.
    Evacuation,
    /// The rollout record of a model, with its weight version in force.
    Rollout,
    /// The status report of an environment.
    Status,
    /// Requests in quarantine, which must not run.
    Quarantine,
    /// The last era of the store in which operators have had the time to write again what the copy lacked.
    SettledEra,
}

/// The key of an object, from which its path is formed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// The kind.
    pub kind: ObjectKind,
    /// The name within the kind.
    pub name: ObjectName,
}

impl ObjectKey {
    /// Creates the key of the object `name` of `kind`.
    pub const fn new(kind: ObjectKind, name: ObjectName) -> Self {
        Self { kind, name }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The name within the kind.
    pub name: ObjectName,
    /// The version.
    pub version: ObjectVersion,
    /// The content.
    pub body: Bytes,
}

/// The condition under which a write is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has exactly this version.
    Version(ObjectVersion),
}

/// A change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The object's name.
    pub name: ObjectName,
    /// The version of the change.
    pub version: ObjectVersion,
    /// The new content, or `None` if the object was deleted.
    pub body: Option<Bytes>,
}

/// The result of a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The version from which to continue the watch.
    pub version: ObjectVersion,
    /// The changes, oldest first; empty if none occurred within the wait.
    pub changes: Vec<Change>,
}

/// The error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The precondition did not hold. Nothing was written.
    #[error("the object is at version {current}")]
    Conflict {
        /// The current version of the object.
        current: ObjectVersion,
    },
    /// Nothing was written: the platform could not be reached, or it rejected the call because of overload.
    #[error("the platform did not take the call: {reason}")]
    NotApplied {
        /// The cause, as reported by the client or found in the response.
        reason: String,
    },
    /// The outcome is unknown: a write may have taken effect or may still do so.
    #[error("the platform's answer was lost: {reason}")]
    Unknown {
        /// The cause, as reported by the client or found in the response.
        reason: String,
    },
    /// The platform no longer retains the requested changes. The caller has to list again.
    #[error("the changes asked for are no longer kept")]
    Compacted,
    /// The platform refused the call permanently, or its response is invalid.
    #[error("the platform refused: {reason}")]
    Refused {
        /// The cause, as reported by the client or found in the response.
        reason: String,
    },
}

/// The platform's object API. Each call has its own deadline.
pub trait ObjectStore: Send + Sync {
    /// The era of the store, as far as its answers have named it. Versions of two eras are of two histories.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Waits until an answer names a later era than `known`. A store without eras never does.
    fn wait_for_era_after(&self, _known: StoreEra) -> BoxFuture<'_, StoreEra> {
        Box::pin(std::future::pending())
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except [`PlatformError::Conflict`].
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Reads an object at a lower cost for the platform; the result may be seconds old. It only steers: it confirms nothing
    /// and is no base of a conditional write.
    ///
    /// # Errors
    ///
    /// The same as for [`ObjectStore::get`].
    fn get_stale<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        self.get(key)
    }

    /// Writes an object if `precondition` holds, and returns the new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Conflict`] if the precondition does not hold; [`PlatformError::Unknown`] if the write may have
    /// been applied; any other [`PlatformError`] if it was not applied.
    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        precondition: Precondition,
        body: Bytes,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>>;

    /// Deletes an object if it has exactly `version`.
    ///
    /// # Errors
    ///
    /// The same as for [`ObjectStore::put`].
    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        version: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>>;

    /// Returns all objects of a kind whose names start with `prefix`, and the version from which to watch.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] except [`PlatformError::Conflict`].
    fn list<'a>(
        &'a self,
        kind: ObjectKind,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(ObjectVersion, Vec<Object>), PlatformError>>;

    /// Lists like [`ObjectStore::list`], at a lower cost for the platform; the result may be seconds old.
    ///
    /// # Errors
    ///
    /// The same as for [`ObjectStore::list`].
    fn list_stale<'a>(
        &'a self,
        kind: ObjectKind,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(ObjectVersion, Vec<Object>), PlatformError>> {
        self.list(kind, prefix)
    }

    /// Waits up to `wait` for changes after version `after`. A waiting watch counts as a call against the platform's
    /// limits.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Compacted`] if the caller has to list again.
    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: TimeMs,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>>;
}
