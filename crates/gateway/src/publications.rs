//! Decides until when requests may start on older weights, by the dates of published versions.
//!
//! A publication is dated by a span: a time before which it was not made, and one by which it was. Instances join the spans that they
//! know of the same publication, so that the date that the bound counts from is never later than the publication, however
//! late an instance learned of it. See `docs/design/publication-dates.md`.

use bilberryford_types::{ObjectVersion, TimeMs};

/// How long older weights are used after the first read of a version whose publication no read precedes, in milliseconds: it may be as
/// old as the bound.
const UNKNOWN_AGE_GRACE_MS: TimeMs = TimeMs(2_500);
/// The published versions of a model that are retained; no more than these are published within one bound.
const MAX_PUBLISHED: usize = 16;

/// A published version of one model's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: u64,
    /// A time before which it was not published, nor any version between it and the one before in the history; none if no instance
    /// knows one.
    pub not_before_ms: Option<TimeMs>,
    /// A time by which it was published.
    pub not_after_ms: TimeMs,
    /// The version of the store at which it was written, by which another instance may know its begin; none if no read returned it.
    pub written: Option<ObjectVersion>,
}

impl PublishedVersion {
    /// The time from which requests must not start on older versions, `bound_ms` after the publication at the latest.
    pub fn ends_older_ms(&self, bound_ms: TimeMs) -> TimeMs {
        match self.not_before_ms {
            Some(not_before_ms) => not_before_ms.min(self.not_after_ms).after(bound_ms),
            None => self.not_after_ms.after(UNKNOWN_AGE_GRACE_MS.min(bound_ms)),
        }
    }
}

/// Until when requests may start on older weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartBound {
    /// The version whose publication ends their use.
    pub newer: u64,
    /// The time from which requests must not start on them.
    pub until_ms: TimeMs,
}

/// The published versions of one model's weights, each with the span in which it was published.
///
/// # Invariant
///
/// For any version, the first newer one here does not date the bound later than the publication of the first newer one that exists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedWeights {
    versions: Vec<PublishedVersion>,
    /// The newest version that this instance read itself; zero before the first read.
    read_newest: u64,
}

impl PublishedWeights {
    /// Records what this instance or another one knows of a published version.
    pub fn record(&mut self, seen: PublishedVersion) {
        let at = self.versions.partition_point(|known| known.version < seen.version);
        match self.versions.get_mut(at).filter(|known| known.version == seen.version) {
            Some(known) => {
                known.not_before_ms = known.not_before_ms.max(seen.not_before_ms);
                known.not_after_ms = known.not_after_ms.min(seen.not_after_ms);
                known.written = known.written.or(seen.written);
            }
            None => {
                // The begin of the next version holds for those between it and the one before.
                let next_ms = self.versions.get(at).and_then(|next| next.not_before_ms);
                let not_before_ms = seen.not_before_ms.max(next_ms);
                self.versions.insert(at, PublishedVersion { not_before_ms, ..seen });
            }
        }
        if self.versions.len() > MAX_PUBLISHED {
            self.versions.remove(0);
        }
    }

    /// Records a version that a read of the weights returned.
    ///
    /// The read may return the newest one only. A version between the one that was read before and this one may therefore have been
    /// published at any time since `unread_since_ms`, before which nothing was published that this instance had not read; none if
    /// it has read nothing before.
    pub fn record_read(&mut self, seen: PublishedVersion, unread_since_ms: Option<TimeMs>) {
        let unread = self.read_newest + 1..seen.version;
        self.read_newest = self.read_newest.max(seen.version);
        if let Some(version) = unread.last() {
            let not_before_ms = unread_since_ms;
            self.record(PublishedVersion { version, not_before_ms, written: None, ..seen });
        }
        self.record(seen);
    }

    /// What is known of a published version; none if nothing is.
    pub fn get(&self, version: u64) -> Option<PublishedVersion> {
        self.history().find(|published| published.version == version)
    }

    /// The published versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = PublishedVersion> {
        self.versions.iter().copied()
    }

    /// The newest version that ended the use of older ones, and those published after it, oldest first: of those before, nobody
    /// needs to know.
    pub fn in_use(
        &self,
        now_ms: TimeMs,
        bound_ms: TimeMs,
    ) -> impl Iterator<Item = PublishedVersion> {
        let oldest = self.required(now_ms, bound_ms, TimeMs(0));
        self.history().filter(move |published| Some(published.version) >= oldest)
    }

    /// The newest version; zero if none is published.
    pub fn newest(&self) -> u64 {
        self.versions.last().map_or(0, |published| published.version)
    }

    /// The time for which the newest version has been published at least.
    pub fn min_age_ms(&self, now_ms: TimeMs) -> TimeMs {
        self.versions.last().map_or(TimeMs(0), |published| now_ms.since(published.not_after_ms))
    }

    /// The oldest version that requests may be sent to `margin_ms` before the bound ends; none if all may be used.
    pub fn required(&self, now_ms: TimeMs, bound_ms: TimeMs, margin_ms: TimeMs) -> Option<u64> {
        let is_due = |published: &&PublishedVersion| {
            now_ms >= published.ends_older_ms(bound_ms).since(margin_ms)
        };
        self.versions.iter().rev().find(is_due).map(|published| published.version)
    }

    /// The version below which this instance does not know since when others are superseded; none if it knows when the oldest
    /// retained one was published.
    pub fn uncertain_below(&self) -> Option<u64> {
        let oldest = self.versions.first()?;
        oldest.not_before_ms.is_none().then_some(oldest.version)
    }

    /// The bound on the start of requests on `version`, `margin_ms` before it ends; none while no newer one is published.
    pub fn start_bound(
        &self,
        version: u64,
        bound_ms: TimeMs,
        margin_ms: TimeMs,
    ) -> Option<StartBound> {
        let newer = self.versions.iter().find(|published| published.version > version)?;
        let until_ms = newer.ends_older_ms(bound_ms).since(margin_ms);
        Some(StartBound { newer: newer.version, until_ms })
    }
}
