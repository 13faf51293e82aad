//! A lease on a platform object, with a fencing number that only grows.
//!
//! The parts are typestate: a [`Lease<Watching>`] reads the object until it is free, a [`Lease<Acquiring>`] has a
//! conditional update under way, and only a [`Lease<Held>`] hands out a [`Permit`]. Every step takes the time of the
//! caller's own monotonic clock; wall clocks and clocks of two instances are never compared.
//! See `docs/design/endpoint-orders.md`.
//!
//! # Invariant
//!
//! Two holders never have a permit at the same time. A holder counts the duration from *before* the call that wrote
//! the object's version, and stops a margin before its end. Another instance counts the duration from *after* it first
//! read that version, and its conditional update fails when the version has moved on. So the other's count starts
//! later and ends later, whatever was lost, delayed or paused in between.

use bilberryford_types::{Fencing, Incarnation, InstanceId, ObjectVersion, TimeMs};
use serde::{Deserialize, Serialize};

/// One run of an instance as the holder of a lease; a restarted instance is another holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The instance.
    pub instance: InstanceId,
    /// Which run of it.
    pub incarnation: Incarnation,
}

/// The content of the platform object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it; none after a release.
    pub holder: Option<LeaseHolder>,
    /// The fencing number; each new holder writes a greater one.
    pub fencing: Fencing,
    /// The duration that the holder counts with; others wait for it, not for their own.
    pub duration_ms: TimeMs,
}

/// The object as read: its version and content.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseObject {
    /// The platform's version.
    pub version: ObjectVersion,
    /// The content.
    pub record: LeaseRecord,
}

/// The spans of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// How long a holder may be silent before others may take over.
    pub duration: TimeMs,
    /// How long before the end of the duration a holder stops.
    pub margin: TimeMs,
    /// The deadline of the longest call that a holder makes under the lease.
    pub max_order_duration: TimeMs,
}

impl LeaseTerms {
    /// Terms with a margin of a quarter of the duration, which also covers clocks that run at different rates.
    pub const fn new(duration: TimeMs, max_order_duration: TimeMs) -> Self {
        Self { duration, margin: TimeMs(duration.0 / 4), max_order_duration }
    }

    /// How often a holder renews: three tries fit into the time in which it may act.
    pub const fn renew_every(&self) -> TimeMs {
        TimeMs(self.duration.since(self.margin).0 / 3)
    }
}

/// How a conditional write ended, as far as its writer can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// It was taken and gave this version.
    Applied(ObjectVersion),
    /// The object had another version; nothing was written by this call.
    Conflict,
    /// The answer was lost; the object has to be read back.
    Unknown,
}

/// A conditional write that the embedder makes now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseUpdate {
    /// The version that the object must have; [`ObjectVersion::ABSENT`] when it must not exist.
    pub expected: ObjectVersion,
    /// The content to write.
    pub record: LeaseRecord,
}

/// Leave to act once under a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// The number to send with the order.
    pub fencing: Fencing,
    /// The time at which the act must be over.
    pub until: TimeMs,
}

mod sealed {
    pub trait Sealed {}
}

/// The states of a [`Lease`].
pub trait LeaseState: sealed::Sealed {}

/// Someone else may hold the lease.
#[derive(Debug, Clone, Default)]
pub struct Watching {
    seen: Option<Sighting>,
}

/// A version with the time at which it was first seen.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    version: ObjectVersion,
    at: TimeMs,
}

/// A conditional update that would take the lease is under way.
#[derive(Debug, Clone)]
pub struct Acquiring {
    update: LeaseUpdate,
    started: TimeMs,
}

/// The lease is held, as long as [`Lease::permit`] says so.
#[derive(Debug, Clone)]
pub struct Held {
    fencing: Fencing,
    version: ObjectVersion,
    taken: TimeMs,
    counted_from: TimeMs,
    /// When the first renewal started whose end is not known.
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
    me: LeaseHolder,
    terms: LeaseTerms,
    state: S,
}

/// What follows from a read while watching.
#[derive(Debug)]
pub enum WatchOutcome {
    /// Someone may hold it; read again, at the latest at `until`.
    Wait {
        /// The lease.
        lease: Lease<Watching>,
        /// When the lease will be free if its version does not change.
        until: TimeMs,
    },
    /// It is free; make this update.
    Acquire {
        /// The lease.
        lease: Lease<Acquiring>,
        /// The update.
        update: LeaseUpdate,
    },
}

/// What follows from an update that would take the lease.
#[derive(Debug)]
pub enum AcquireOutcome {
    /// The lease is held.
    Held(Lease<Held>),
    /// It was not taken, or not in time.
    Lost(Lease<Watching>),
    /// Nobody can tell yet; read the object and call [`Lease::on_read_back`].
    ReadBack(Lease<Acquiring>),
}

/// What follows from a renewal.
#[derive(Debug)]
pub enum RenewalOutcome {
    /// The lease is held; its permits may last longer now.
    Held(Lease<Held>),
    /// It is held by another, or its time is over.
    Lost(Lease<Watching>),
    /// Read the object and call [`Lease::reconcile`]; permits end as before until then.
    ReadBack(Lease<Held>),
}

impl<S: LeaseState> Lease<S> {
    /// The spans.
    pub const fn terms(&self) -> &LeaseTerms {
        &self.terms
    }

    fn with<T: LeaseState>(self, state: T) -> Lease<T> {
        Lease { me: self.me, terms: self.terms, state }
    }

    fn watch(self) -> Lease<Watching> {
        self.with(Watching::default())
    }

    fn is_mine(&self, record: &LeaseRecord) -> bool {
        record.holder.as_ref() == Some(&self.me)
    }

    fn hold(self, version: ObjectVersion, fencing: Fencing, started: TimeMs) -> Lease<Held> {
        let held =
            Held { fencing, version, taken: started, counted_from: started, unconfirmed: None };
        self.with(held)
    }
}

impl Lease<Watching> {
    /// A lease that nothing is known about yet.
    pub fn new(me: LeaseHolder, terms: LeaseTerms) -> Self {
        Self { me, terms, state: Watching::default() }
    }

    /// Takes in what a read found; `now` is the time *after* the read was answered.
    pub fn observe(mut self, found: Option<&LeaseObject>, now: TimeMs) -> WatchOutcome {
        let Some(object) = found else {
            return self.take(ObjectVersion::ABSENT, Fencing(0), now);
        };
        // A record of this very run that is not held here can't be acted on by anyone.
        if object.record.holder.is_none() || self.is_mine(&object.record) {
            return self.take(object.version, object.record.fencing, now);
        }
        let seen = self.state.seen.filter(|seen| seen.version == object.version);
        let seen = seen.unwrap_or(Sighting { version: object.version, at: now });
        let until = seen.at.after(object.record.duration_ms.max(self.terms.duration));
        if now >= until {
            return self.take(object.version, object.record.fencing, now);
        }
        self.state.seen = Some(seen);
        WatchOutcome::Wait { lease: self, until }
    }

    fn take(self, expected: ObjectVersion, last: Fencing, now: TimeMs) -> WatchOutcome {
        let record = LeaseRecord {
            holder: Some(self.me.clone()),
            fencing: Fencing(last.get() + 1),
            duration_ms: self.terms.duration,
        };
        let update = LeaseUpdate { expected, record };
        let lease = self.with(Acquiring { update: update.clone(), started: now });
        WatchOutcome::Acquire { lease, update }
    }
}

impl Lease<Acquiring> {
    /// Takes in how the update ended.
    pub fn on_write(self, result: LeaseWriteOutcome) -> AcquireOutcome {
        match result {
            LeaseWriteOutcome::Applied(version) => self.taken(version),
            LeaseWriteOutcome::Conflict => AcquireOutcome::Lost(self.watch()),
            LeaseWriteOutcome::Unknown => AcquireOutcome::ReadBack(self),
        }
    }

    /// Takes in a read that followed an update whose answer was lost.
    ///
    /// An update that is not there yet may land later. That is no harm: it is conditional on the same version as the
    /// next try, so that one of the two fails, and a lease that lands unnoticed runs out unused.
    pub fn on_read_back(self, found: Option<&LeaseObject>) -> AcquireOutcome {
        match found {
            Some(object) if object.record == self.state.update.record => self.taken(object.version),
            _ => AcquireOutcome::Lost(self.watch()),
        }
    }

    fn taken(self, version: ObjectVersion) -> AcquireOutcome {
        let Acquiring { update, started } = self.state.clone();
        AcquireOutcome::Held(self.hold(version, update.record.fencing, started))
    }
}

impl Lease<Held> {
    /// The fencing number of this holder.
    pub const fn fencing(&self) -> Fencing {
        self.state.fencing
    }

    /// When this holder stops, unless a renewal succeeds before.
    pub const fn stops_at(&self) -> TimeMs {
        self.state.counted_from.after(self.terms.duration.since(self.terms.margin))
    }

    /// Whether this holder may act at `now`.
    pub fn is_held(&self, now: TimeMs) -> bool {
        now < self.stops_at()
    }

    /// Leave to send one order that ends within the longest order's time; ask directly before each send.
    ///
    /// An endpoint that ignores fencing numbers gets its first order only after the longest order of an earlier holder
    /// is over, which `is_fenced` being false says.
    pub fn permit(&self, now: TimeMs, is_fenced: bool) -> Option<Permit> {
        let until = now.after(self.terms.max_order_duration);
        let first = if is_fenced {
            self.state.taken
        } else {
            self.state.taken.after(self.terms.max_order_duration)
        };
        (first <= now && until <= self.stops_at())
            .then_some(Permit { fencing: self.state.fencing, until })
    }

    /// The update that renews the lease; `now` is the time *before* the call. A lease past its time is given up.
    ///
    /// # Errors
    ///
    /// The lease to watch with, when the time was over.
    pub fn renew(mut self, now: TimeMs) -> Result<(Self, LeaseUpdate), Lease<Watching>> {
        if !self.is_held(now) {
            return Err(self.watch());
        }
        self.state.unconfirmed.get_or_insert(now);
        let update = self.update(Some(self.me.clone()));
        Ok((self, update))
    }

    /// Takes in how a renewal ended.
    pub fn on_renewal(self, result: LeaseWriteOutcome, now: TimeMs) -> RenewalOutcome {
        match result {
            LeaseWriteOutcome::Applied(version) => self.confirmed(version, now),
            LeaseWriteOutcome::Conflict | LeaseWriteOutcome::Unknown => {
                RenewalOutcome::ReadBack(self)
            }
        }
    }

    /// Takes in a read that followed a renewal whose end was not known.
    pub fn reconcile(self, found: Option<&LeaseObject>, now: TimeMs) -> RenewalOutcome {
        let Some(object) = found else { return RenewalOutcome::Lost(self.watch()) };
        let is_ours = self.is_mine(&object.record) && object.record.fencing == self.state.fencing;
        if !is_ours || !self.is_held(now) {
            return RenewalOutcome::Lost(self.watch());
        }
        if object.version == self.state.version {
            return RenewalOutcome::Held(self);
        }
        self.confirmed(object.version, now)
    }

    /// The version was written by a renewal that started at the first unconfirmed one or later.
    fn confirmed(mut self, version: ObjectVersion, now: TimeMs) -> RenewalOutcome {
        self.state.version = version;
        if let Some(started) = self.state.unconfirmed.take() {
            self.state.counted_from = started;
        }
        if self.is_held(now) {
            RenewalOutcome::Held(self)
        } else {
            RenewalOutcome::Lost(self.watch())
        }
    }

    /// The update that gives the lease up; its end need not be known, since the lease runs out by itself.
    pub fn release(self) -> (Lease<Watching>, LeaseUpdate) {
        let update = self.update(None);
        (self.watch(), update)
    }

    fn update(&self, holder: Option<LeaseHolder>) -> LeaseUpdate {
        let record =
            LeaseRecord { holder, fencing: self.state.fencing, duration_ms: self.terms.duration };
        LeaseUpdate { expected: self.state.version, record }
    }
}
