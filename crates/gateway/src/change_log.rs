//! The recent changes of one kind of stored object, so that an instance that follows the store can pass them on.
//!
//! Each batch holds all changes after one version of the store up to another. An instance whose view is complete up to
//! a version within a batch may apply the whole batch: the batch ends with the newest state of each object that it
//! names.
//!
//! # Invariant
//!
//! The view is complete up to [`ChangeLog::complete_to`] and never goes back: a list or batch that ends earlier is not
//! applied, so that it can't bring back an object that was removed since. Versions of a later era of the store are later,
//! whatever their revisions; a view of one era is continued by a list of the next one, never by its batches.

use std::collections::VecDeque;

use bilberryford_types::{ObjectName, ObjectVersion};
use serde::{Deserialize, Serialize};

/// The most changes that are retained. One that is no longer retained is read from the store.
const MAX_CHANGES: usize = 512;
/// The most bytes of the contents that are retained, which another writer may make as large as the store takes them.
const MAX_RETAINED_BYTES: usize = 1024 * 1024;

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectChange {
    /// The object's name.
    pub name: ObjectName,
    /// The version of the change.
    pub version: ObjectVersion,
    /// The new content; none if the object was removed.
    pub body: Option<Vec<u8>>,
}

/// All changes after version `from`, up to and including version `to`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// The version after which the batch starts.
    pub from: ObjectVersion,
    /// The last version that the batch covers.
    pub to: ObjectVersion,
    /// The changes, oldest first.
    pub changes: Vec<ObjectChange>,
}

impl ChangeBatch {
    /// The bytes of its names and contents.
    fn bytes(&self) -> usize {
        let sizes = self
            .changes
            .iter()
            .map(|change| change.name.as_str().len() + change.body.as_ref().map_or(0, Vec::len));
        sizes.sum()
    }
}

/// What a log has for a view that is complete up to a certain version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MissedChanges {
    /// The batches to apply in order; none if the view is complete.
    Batches(Vec<ChangeBatch>),
    /// The changes are no longer retained, or take too much space. They have to be read from the store.
    Unavailable,
}

/// The log of one kind.
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    complete_to: Option<ObjectVersion>,
    batches: VecDeque<ChangeBatch>,
    changes: usize,
    /// The bytes of the names and contents in `batches`.
    bytes: usize,
}

impl ChangeLog {
    /// The version up to which the view is complete; none before the first list.
    pub const fn complete_to(&self) -> Option<ObjectVersion> {
        self.complete_to
    }

    /// Records a list of all objects at `version`. Returns false if the view is newer, so that the list must not be
    /// applied.
    pub fn record_list(&mut self, version: ObjectVersion) -> bool {
        if self.complete_to.is_some_and(|complete| complete > version) {
            return false;
        }
        *self = Self { complete_to: Some(version), ..Self::default() };
        true
    }

    /// Records a batch. Returns false if it must not be applied: the view has it already, or lacks what precedes it.
    pub fn record_batch(&mut self, batch: &ChangeBatch) -> bool {
        let Some(complete) = self.complete_to else { return false };
        let is_of_era = batch.from.era() == complete.era() && batch.to.era() == complete.era();
        if !is_of_era || batch.from > complete || batch.to <= complete {
            return false;
        }
        self.complete_to = Some(batch.to);
        match self.batches.back_mut().filter(|_| batch.changes.is_empty()) {
            Some(last) => last.to = batch.to,
            None => {
                self.changes += batch.changes.len();
                self.bytes += batch.bytes();
                self.batches.push_back(batch.clone());
            }
        }
        while (self.changes > MAX_CHANGES || self.bytes > MAX_RETAINED_BYTES)
            && let Some(oldest) = self.batches.pop_front()
        {
            self.changes -= oldest.changes.len();
            self.bytes -= oldest.bytes();
        }
        true
    }

    /// What a view that is complete up to `version` lacks, if it takes at most `max_bytes`.
    pub fn missed_since(&self, version: ObjectVersion, max_bytes: usize) -> MissedChanges {
        let Some(complete) = self.complete_to else { return MissedChanges::Unavailable };
        if version.era() != complete.era() {
            return MissedChanges::Unavailable;
        }
        if version >= complete {
            return MissedChanges::Batches(Vec::new());
        }
        let missed: Vec<_> =
            self.batches.iter().filter(|batch| batch.to > version).cloned().collect();
        let is_covered = missed.first().is_some_and(|first| first.from <= version);
        let bytes: usize = missed.iter().map(ChangeBatch::bytes).sum();
        if is_covered && bytes <= max_bytes {
            MissedChanges::Batches(missed)
        } else {
            MissedChanges::Unavailable
        }
    }
}
