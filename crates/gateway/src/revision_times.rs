//! Dates changes of the store by its revision, as the reads of this process show it.
//!
//! The time at which a change is read says little about the time at which it was made: a list is followed by a pause, a watch
//! may be silent, and a process may be suspended before it reads what has arrived. The store has one revision for all objects,
//! and each linearizable read states it. A read that began at a time and returned an earlier revision than that of a
//! change shows that the change was not made before this time; one that returned the same or a later revision shows that it was
//! made before the end of the read. See `docs/design/publication-dates.md`.

use std::collections::VecDeque;

use bilberryford_types::{ObjectVersion, TimeMs};

/// The most revisions that are retained. The oldest one of an era always is, so that a change which is read very late has a begin: without
/// the ones in between, it is earlier, and never wrong.
const MAX_REVISIONS: usize = 256;

/// The span of time in which a change was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DateSpan {
    /// A time before which the change was not made; none if no read shows one.
    pub not_before_ms: Option<TimeMs>,
    /// A time by which the change was made; none if no read shows one.
    pub not_after_ms: Option<TimeMs>,
}

/// The reads that returned one revision.
#[derive(Debug, Clone, Copy)]
struct RevisionReads {
    version: ObjectVersion,
    /// The latest begin of such a read.
    started_ms: TimeMs,
    /// The earliest end of such a read.
    ended_ms: TimeMs,
}

/// When the store was at which revision.
#[derive(Debug, Clone, Default)]
pub struct RevisionTimes {
    /// Ordered by version.
    reads: VecDeque<RevisionReads>,
}

impl RevisionTimes {
    /// Records a linearizable read of any kind of objects that returned the store's `version`.
    ///
    /// A read that may be old must not be recorded: it can return an earlier version than the store had when it began.
    pub fn record(&mut self, version: ObjectVersion, started_ms: TimeMs, ended_ms: TimeMs) {
        let at = self.reads.partition_point(|reads| reads.version < version);
        match self.reads.get_mut(at).filter(|reads| reads.version == version) {
            Some(known) => {
                known.started_ms = known.started_ms.max(started_ms);
                known.ended_ms = known.ended_ms.min(ended_ms);
            }
            None => self.reads.insert(at, RevisionReads { version, started_ms, ended_ms }),
        }
        if self.reads.len() > MAX_REVISIONS {
            let is_of_older_era = self.reads[0].version.era() < self.reads[1].version.era();
            self.reads.remove(usize::from(!is_of_older_era));
        }
    }

    /// The latest version that a read returned, and the begin of the latest read that did.
    pub fn latest(&self) -> Option<(ObjectVersion, TimeMs)> {
        self.reads.back().map(|reads| (reads.version, reads.started_ms))
    }

    /// Returns when the object was written that has `version`.
    ///
    /// Only reads of the version's era count, since a store that comes back from a copy gives its revisions out again.
    pub fn span_of(&self, version: ObjectVersion) -> DateSpan {
        let lacked_it = self.of_era(version).filter(|reads| reads.version < version);
        let had_it = self.of_era(version).filter(|reads| reads.version >= version);
        DateSpan {
            not_before_ms: lacked_it.map(|reads| reads.started_ms).max(),
            not_after_ms: had_it.map(|reads| reads.ended_ms).min(),
        }
    }

    /// Returns a time before which nothing was written that came after `version`; none if no read shows one.
    pub fn unchanged_until(&self, version: ObjectVersion) -> Option<TimeMs> {
        let had_no_more = self.of_era(version).filter(|reads| reads.version <= version);
        had_no_more.map(|reads| reads.started_ms).max()
    }

    fn of_era(&self, version: ObjectVersion) -> impl Iterator<Item = &RevisionReads> {
        self.reads.iter().filter(move |reads| reads.version.era() == version.era())
    }
}
