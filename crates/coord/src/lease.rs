//! A lease on a platform object, with a monotonically increasing fencing number.
//!
//! The lease is a typestate: a [`Lease<Watching>`] reads the object until it is free, a [`Lease<Acquiring>`] has a
//! conditional update in progress, and only a [`Lease<Held>`] issues a [`Permit`]. Every step takes the time of the
//! caller's own monotonic clock; wall clocks and the clocks of two instances are never compared.
//! See `docs/design/endpoint-orders.md`.
//!
//! # Invariant
//!
//! Two holders never have a permit at the same time. A holder measures the duration from *before* the call that wrote
//! the object's version, and stops a margin before its end. Another instance measures the duration from *after* it
//! first read that version, and its conditional update fails if the version has changed. Its measurement therefore
//! starts later and ends later, whatever was lost, delayed or paused in between.
//!
//! The time before which the version was written may be known from other reads, since the store has one sequence of versions for
//! all objects. The holder then counts from before that time, and another instance from it ([`Lease::written_by`]).
//!
//! A store may keep the version of an object that a write leaves as it is. Each renewal therefore changes the record, and
//! one that leaves the version as it was extends nothing.

use bilberryford_types::{Fencing, Incarnation, InstanceId, ObjectVersion, StoreEra, TimeMs};
use serde::{Deserialize, Serialize};

/// One incarnation of an instance as the holder of a lease; a restarted instance is a different holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

/// The content of the lease's object on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder; `None` after a release.
    pub holder: Option<LeaseHolder>,
    /// The fencing number; each acquisition writes a greater one.
    pub fencing: Fencing,
    /// The duration that the holder uses; others wait at least that long, even if their own is shorter.
    pub duration_ms: TimeMs,
    /// The number of renewals since the acquisition. It makes the content of each renewal differ from the one before, so
    /// that the store gives the object a new version.
    #[serde(default)]
    pub renewals: u64,
}

/// The lease's object as read from the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseObject {
    /// The platform's version.
    pub version: ObjectVersion,
    /// The content.
    pub record: LeaseRecord,
}

/// The timing parameters of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long the object must stay unchanged before another instance may acquire the lease.
    pub duration: TimeMs,
    /// How long before the end of the duration a holder stops acting.
    pub margin: TimeMs,
    /// The deadline of the longest order that a holder sends under the lease.
    pub max_order_duration: TimeMs,
}

impl LeaseTerms {
    /// Creates terms with a margin of a quarter of the duration, which also covers clocks that run at different rates.
    pub const fn new(duration: TimeMs, max_order_duration: TimeMs) -> Self {
        Self { duration, margin: TimeMs(duration.0 / 4), max_order_duration }
    }

    /// The interval of renewals: three attempts fit into the time in which the holder may act.
    pub const fn renew_every(&self) -> TimeMs {
        TimeMs(self.duration.since(self.margin).0 / 3)
    }
}

/// The outcome of a conditional write, as far as its writer knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// The write was applied and produced this version.
    Applied(ObjectVersion),
    /// The object had another version; this call wrote nothing.
    Conflict,
    /// The response was lost; the object has to be read back.
    Unknown,
}

/// A conditional write for the embedder to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// The version that the object must have; [`ObjectVersion::ABSENT`] when it must not exist.
    pub expected: ObjectVersion,
    /// The content to write.
    pub record: LeaseRecord,
}

/// Permission to send one order under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The fencing number to send with the order.
    pub fencing: Fencing,
    /// The time by which the order must have ended.
    pub until: TimeMs,
}

mod sealed {
    pub trait Sealed {}
}

/// The states of a [`Lease`].
pub trait LeaseState: sealed::Sealed {}

/// State in which another instance may hold the lease.
#[derive(Debug, Clone, Default)]
pub struct Watching {
    first_read: Option<FirstRead>,
    written_by: Option<WrittenBy>,
    era: StoreEra,
    /// How long a free lease is left to other instances.
    patience: TimeMs,
}

/// A version of the object, with the times from which this instance counts.
#[derive(Debug, Clone, Copy)]
struct FirstRead {
    version: ObjectVersion,
    /// The time of the first read.
    at: TimeMs,
    /// A time by which the version was written.
    written_by: TimeMs,
}

/// A time by which the object had a version.
#[derive(Debug, Clone, Copy)]
struct WrittenBy {
    version: ObjectVersion,
    at: TimeMs,
}

/// State in which a conditional update that would acquire the lease is in progress.
#[derive(Debug, Clone)]
pub struct Acquiring {
    update: LeaseUpdate,
    started: TimeMs,
}

/// State in which this instance holds the lease, until [`Lease::stops_at`].
#[derive(Debug, Clone)]
pub struct Held {
    fencing: Fencing,
    version: ObjectVersion,
    /// The number of renewals in the object at `version`.
    renewals: u64,
    acquired_at: TimeMs,
    /// The start of the call that wrote the current version; the duration counts from it.
    counted_from: TimeMs,
    /// The start of the first renewal whose outcome is unknown.
    unconfirmed: Option<TimeMs>,
}

impl sealed::Sealed for Watching {}
impl sealed::Sealed for Acquiring {}
impl sealed::Sealed for Held {}
impl LeaseState for Watching {}
impl LeaseState for Acquiring {}
impl LeaseState for Held {}

/// A lease as one instance sees it.
#[derive(Debug, Clone)]
pub struct Lease<S: LeaseState> {
    holder: LeaseHolder,
    terms: LeaseTerms,
    state: S,
}

/// The next step after a read while watching.
#[derive(Debug)]
pub enum WatchOutcome {
    /// Another instance may hold the lease: read the object again, at `until` at the latest.
    Wait {
        /// The lease.
        lease: Lease<Watching>,
        /// The time at which the lease is free if its version does not change until then.
        until: TimeMs,
    },
    /// The lease is free: perform the update and pass its outcome to [`Lease::on_write`].
    Acquire {
        /// The lease.
        lease: Lease<Acquiring>,
        /// The update that acquires the lease.
        update: LeaseUpdate,
    },
}

/// The outcome of an update that would acquire the lease.
#[derive(Debug)]
pub enum AcquireOutcome {
    /// The lease was acquired.
    Held(Lease<Held>),
    /// The lease was not acquired.
    Lost(Lease<Watching>),
    /// The outcome is unknown: read the object and call [`Lease::on_read_back`].
    ReadBack(Lease<Acquiring>),
}

/// The outcome of a renewal.
#[derive(Debug)]
pub enum RenewalOutcome {
    /// The lease is still held; if the renewal was applied, its permits last longer now.
    Held(Lease<Held>),
    /// The lease is held by another instance, or has expired.
    Lost(Lease<Watching>),
    /// The outcome is unknown: read the object and call [`Lease::reconcile`]. Until then, permits end as before.
    ReadBack(Lease<Held>),
}

impl<S: LeaseState> Lease<S> {
    /// The timing parameters.
    pub const fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    fn with_state<T: LeaseState>(self, state: T) -> Lease<T> {
        Lease { holder: self.holder, terms: self.terms, state }
    }

    fn into_watching(self) -> Lease<Watching> {
        self.with_state(Watching::default())
    }

    fn is_holder_of(&self, record: &LeaseRecord) -> bool {
        record.holder.as_ref() == Some(&self.holder)
    }

    fn into_held(self, version: ObjectVersion, fencing: Fencing, started: TimeMs) -> Lease<Held> {
        let held = Held {
            fencing,
            version,
            renewals: 0,
            acquired_at: started,
            counted_from: started,
            unconfirmed: None,
        };
        self.with_state(held)
    }
}

impl Lease<Watching> {
    /// Creates a lease of which nothing has been read yet.
    pub fn new(holder: LeaseHolder, terms: LeaseTerms) -> Self {
        Self { holder, terms, state: Watching::default() }
    }

    /// Applies the result of a read; `now` is the time *after* the response arrived.
    pub fn observe(self, found: Option<&LeaseObject>, now: TimeMs) -> WatchOutcome {
        // In a later era, the object of a holder that still acts may be among what the store lost.
        let may_have_lost_holder = self.state.era > StoreEra(0);
        let Some(object) = found else {
            let absent = ObjectVersion::in_era(self.state.era, 0);
            let duration = if may_have_lost_holder { self.terms.duration } else { TimeMs(0) };
            return self.wait_or_acquire(absent, duration, Fencing(0), now);
        };
        // A record of this incarnation that is not held here: no one can act under it, so it need not expire.
        let is_own = self.is_holder_of(&object.record);
        if is_own && !may_have_lost_holder {
            return self.acquire(object.version, object.record.fencing, now);
        }
        let is_free = object.record.holder.is_none() && !may_have_lost_holder;
        let duration = object.record.duration_ms.max(self.terms.duration);
        let duration = if is_free { TimeMs(0) } else { duration };
        self.wait_or_acquire(object.version, duration, object.record.fencing, now)
    }

    /// Acquires the lease if its object has had `version` for `duration` and the patience beyond it.
    fn wait_or_acquire(
        mut self,
        version: ObjectVersion,
        duration: TimeMs,
        last_fencing: Fencing,
        now: TimeMs,
    ) -> WatchOutcome {
        let first_read = self.state.first_read.filter(|read| read.version == version);
        let mut first_read = first_read.unwrap_or(FirstRead { version, at: now, written_by: now });
        if let Some(known) = self.state.written_by.filter(|known| known.version == version) {
            first_read.written_by = first_read.written_by.min(known.at);
        }
        let free_at = first_read.written_by.after(duration).max(first_read.at);
        let until = free_at.after(self.state.patience);
        if now >= until {
            let expected = if version.revision() == 0 { ObjectVersion::ABSENT } else { version };
            return self.acquire(expected, last_fencing, now);
        }
        self.state.first_read = Some(first_read);
        WatchOutcome::Wait { lease: self, until }
    }

    /// States that the store is in `era`: the next fencing number is above all those of earlier eras, which the object
    /// of this era may not name.
    pub fn in_era(mut self, era: StoreEra) -> Self {
        self.state.era = era;
        self
    }

    /// States that the object with `version` was written by `at`, so that its duration counts from then on although it was read
    /// later.
    ///
    /// # Invariant
    ///
    /// Reads of this instance show it: one that ended at `at` or before returned this version of the store or a later one, in
    /// the same era.
    pub fn written_by(mut self, version: ObjectVersion, at: TimeMs) -> Self {
        self.state.written_by = Some(WrittenBy { version, at });
        self
    }

    /// Leaves a free lease to other instances for `patience`, since this one may not hold it for long.
    pub fn with_patience(mut self, patience: TimeMs) -> Self {
        self.state.patience = patience;
        self
    }

    fn acquire(self, expected: ObjectVersion, last_fencing: Fencing, now: TimeMs) -> WatchOutcome {
        // In a later era, the record that was found may be older than the last acquisition. Versions only grow.
        let floor = match self.state.era {
            StoreEra(0) => 0,
            era => ObjectVersion::in_era(era, expected.revision()).to_wire(),
        };
        let record = LeaseRecord {
            holder: Some(self.holder.clone()),
            fencing: Fencing((last_fencing.get() + 1).max(floor)),
            duration_ms: self.terms.duration,
            renewals: 0,
        };
        let update = LeaseUpdate { expected, record };
        let lease = self.with_state(Acquiring { update: update.clone(), started: now });
        WatchOutcome::Acquire { lease, update }
    }
}

/// True if the store came back from a copy since the lease with `fencing` was acquired. Its object may be a restored one,
/// or one that a write of the earlier era met at a revision that was given out again.
fn is_of_other_era(fencing: Fencing, version: ObjectVersion) -> bool {
    ObjectVersion::from_wire(fencing.get()).era() != version.era()
}

impl Lease<Acquiring> {
    /// Applies the outcome of the update.
    pub fn on_write(self, result: LeaseWriteOutcome) -> AcquireOutcome {
        match result {
            LeaseWriteOutcome::Applied(version) => self.acquired(version),
            LeaseWriteOutcome::Conflict => AcquireOutcome::Lost(self.into_watching()),
            LeaseWriteOutcome::Unknown => AcquireOutcome::ReadBack(self),
        }
    }

    /// Applies a read that followed an update whose response was lost.
    ///
    /// An update that is not visible yet may be applied later. That is harmless: it is conditional on the same version
    /// as the next attempt, so that one of the two fails, and a lease that is acquired unnoticed expires unused.
    pub fn on_read_back(self, found: Option<&LeaseObject>) -> AcquireOutcome {
        match found {
            Some(object) if object.record == self.state.update.record => {
                self.acquired(object.version)
            }
            _ => AcquireOutcome::Lost(self.into_watching()),
        }
    }

    fn acquired(self, version: ObjectVersion) -> AcquireOutcome {
        let Acquiring { update, started } = self.state.clone();
        if is_of_other_era(update.record.fencing, version) {
            return AcquireOutcome::Lost(self.into_watching());
        }
        AcquireOutcome::Held(self.into_held(version, update.record.fencing, started))
    }
}

impl Lease<Held> {
    /// The fencing number of this holder.
    pub const fn fencing(&self) -> Fencing {
        self.state.fencing
    }

    /// The version that this holder wrote last.
    pub const fn version(&self) -> ObjectVersion {
        self.state.version
    }

    /// The time from which the duration counts: the start of the call that wrote the object's version.
    pub const fn counted_from(&self) -> TimeMs {
        self.state.counted_from
    }

    /// The time at which this holder stops acting, unless a renewal succeeds before.
    pub const fn stops_at(&self) -> TimeMs {
        self.state.counted_from.after(self.terms.duration.since(self.terms.margin))
    }

    /// Returns true if this holder may act at `now`.
    pub fn is_held(&self, now: TimeMs) -> bool {
        now < self.stops_at()
    }

    /// Returns a permit for one order if an order of maximum duration would end in time; call it directly before each
    /// send.
    ///
    /// `is_fenced` is true if the endpoint checks fencing numbers. An endpoint that ignores them receives the first
    /// order of a new holder only once the longest order of an earlier holder must have ended.
    pub fn permit(&self, now: TimeMs, is_fenced: bool) -> Option<Permit> {
        let until = now.after(self.terms.max_order_duration);
        let first = if is_fenced {
            self.state.acquired_at
        } else {
            self.state.acquired_at.after(self.terms.max_order_duration)
        };
        (first <= now && until <= self.stops_at())
            .then_some(Permit { fencing: self.state.fencing, until })
    }

    /// Returns the update that renews the lease; `now` is the time *before* the call.
    ///
    /// # Errors
    ///
    /// The lease in its watching state if it has expired.
    pub fn renew(mut self, now: TimeMs) -> Result<(Self, LeaseUpdate), Lease<Watching>> {
        if !self.is_held(now) {
            return Err(self.into_watching());
        }
        self.state.unconfirmed.get_or_insert(now);
        let update = self.update(Some(self.holder.clone()));
        Ok((self, update))
    }

    /// Applies the outcome of a renewal.
    pub fn on_renewal(self, result: LeaseWriteOutcome, now: TimeMs) -> RenewalOutcome {
        match result {
            // Others still count from this version, so that the lease may be free to them.
            LeaseWriteOutcome::Applied(version) if version == self.state.version => {
                RenewalOutcome::ReadBack(self)
            }
            LeaseWriteOutcome::Applied(version) => {
                let renewals = self.state.renewals + 1;
                self.extend(version, renewals, now)
            }
            LeaseWriteOutcome::Conflict | LeaseWriteOutcome::Unknown => {
                RenewalOutcome::ReadBack(self)
            }
        }
    }

    /// Applies a read that followed a renewal whose outcome was unknown.
    pub fn reconcile(self, found: Option<&LeaseObject>, now: TimeMs) -> RenewalOutcome {
        let Some(object) = found else { return RenewalOutcome::Lost(self.into_watching()) };
        let is_own =
            self.is_holder_of(&object.record) && object.record.fencing == self.state.fencing;
        if !is_own || !self.is_held(now) {
            return RenewalOutcome::Lost(self.into_watching());
        }
        if object.version == self.state.version {
            return RenewalOutcome::Held(self);
        }
        self.extend(object.version, object.record.renewals, now)
    }

    /// Extends the lease after a renewal was applied. The version was written by the first unconfirmed renewal or a
    /// later one, so counting from the start of the first is safe.
    fn extend(mut self, version: ObjectVersion, renewals: u64, now: TimeMs) -> RenewalOutcome {
        if is_of_other_era(self.state.fencing, version) {
            return RenewalOutcome::Lost(self.into_watching());
        }
        self.state.version = version;
        self.state.renewals = renewals;
        if let Some(started) = self.state.unconfirmed.take() {
            self.state.counted_from = started;
        }
        if self.is_held(now) {
            RenewalOutcome::Held(self)
        } else {
            RenewalOutcome::Lost(self.into_watching())
        }
    }

    /// Returns the update that releases the lease. Its outcome may be ignored, since an unreleased lease expires.
    pub fn release(self) -> (Lease<Watching>, LeaseUpdate) {
        let update = self.update(None);
        (self.into_watching(), update)
    }

    fn update(&self, holder: Option<LeaseHolder>) -> LeaseUpdate {
        let record = LeaseRecord {
            holder,
            fencing: self.state.fencing,
            duration_ms: self.terms.duration,
            renewals: self.state.renewals + 1,
        };
        LeaseUpdate { expected: self.state.version, record }
    }
}
