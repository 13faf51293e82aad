//! When the store replied, and how long after an outage an entry that is missing may still be written again.
//!
//! Entries of live endpoints lapse in an outage of the store and are back soon after it, so that a list without them
//! must not empty the table. An endpoint that left meanwhile is missing as well. The grace period therefore ends before
//! the instance counts as in touch again, from when on it must send nothing to an endpoint that left. The instance can't
//! see when the outage ended, but no earlier than its last failed call began.

use bilberryford_types::TimeMs;

use crate::{propagation::max_view_age_ms, readers::passed_on_confirmation, settings::Bounds};

/// How long after the store's first reply an entry may be missing, in milliseconds: its owner writes it again within two
/// seconds.
const REWRITE_MS: TimeMs = TimeMs(2_000);
/// The margin before the instance counts as in touch, in milliseconds: a request may wait for a new connection.
const IN_TOUCH_MARGIN_MS: TimeMs = TimeMs(300);
/// The shortest outage in which an entry can lapse, in heartbeat intervals: it lapses after three of them without a
/// heartbeat, and the last one may have been due when the outage began.
const LAPSE_HEARTBEATS: u64 = 2;

/// The limits that a deployment sets for the return of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveryLimits {
    /// How long after a disturbance an instance counts as in touch again.
    pub in_touch_ms: TimeMs,
    /// The interval at which endpoints write their entries.
    pub heartbeat_ms: TimeMs,
    /// How long a leaving endpoint serves new requests after its departure is listed.
    pub endpoint_drain_ms: TimeMs,
    /// The time within which a new configuration must be in force.
    pub config_propagation_ms: TimeMs,
}

impl RecoveryLimits {
    /// The longest age of the store's last reply at which the view of a reader may be relied on.
    pub fn max_view_age_ms(&self) -> TimeMs {
        max_view_age_ms(self.endpoint_drain_ms.min(self.config_propagation_ms))
    }

    /// Returns true if an instance has to read the store, since the last reply that it knows of is too old, whatever its readers
    /// do. `contact_age_ms` is none before the first reply.
    pub fn must_read(&self, contact_age_ms: Option<TimeMs>) -> bool {
        contact_age_ms.is_none_or(|age_ms| age_ms > self.max_view_age_ms())
    }
}

impl From<Bounds> for RecoveryLimits {
    fn from(bounds: Bounds) -> Self {
        let Bounds { in_touch_ms, heartbeat_ms, .. } = bounds;
        let Bounds { endpoint_drain_ms, config_propagation_ms, .. } = bounds;
        Self { in_touch_ms, heartbeat_ms, endpoint_drain_ms, config_propagation_ms }
    }
}

/// The replies of the store to calls on endpoints.
#[derive(Debug, Clone, Default)]
pub(crate) struct StoreContact {
    /// The last reply to a linearizable call, of this instance or of one that reads the store for it.
    reply_ms: Option<TimeMs>,
    /// The start of the last call on endpoints that failed since the last reply.
    failed_ms: Option<TimeMs>,
    grace_ends_ms: Option<TimeMs>,
    /// The time between the last two replies.
    gap_ms: TimeMs,
}

impl StoreContact {
    /// Records a reply to a call on endpoints, which ends an outage if the last call failed.
    pub(crate) fn record_endpoints(&mut self, now_ms: TimeMs, limits: RecoveryLimits) {
        let lapse_ms = TimeMs(limits.heartbeat_ms.get() * LAPSE_HEARTBEATS);
        let outage_ms = self.reply_ms.map(|reply_ms| now_ms.since(reply_ms));
        if let Some(failed_ms) = self.failed_ms.take()
            && outage_ms.is_some_and(|outage_ms| outage_ms >= lapse_ms)
        {
            let in_touch_ms = failed_ms.after(limits.in_touch_ms).since(IN_TOUCH_MARGIN_MS);
            self.grace_ends_ms = Some(now_ms.after(REWRITE_MS).min(in_touch_ms));
        }
        self.record_reply(now_ms);
    }

    /// Records what a reader passed on: its last reply was `age_ms` old when it answered a question of `asked_ms`.
    /// Returns false if that is too old for its view to be relied on.
    ///
    /// The age is counted back from the question, so that two instances without the store can't keep each other in
    /// contact: what is passed on, however often, only ages.
    pub(crate) fn record_passed_on(
        &mut self,
        asked_ms: TimeMs,
        age_ms: TimeMs,
        now_ms: TimeMs,
        limits: RecoveryLimits,
    ) -> bool {
        let replied_ms = passed_on_confirmation(asked_ms, age_ms);
        let is_recent = now_ms.since(replied_ms) <= limits.max_view_age_ms();
        if is_recent && self.failed_ms.is_none_or(|failed_ms| failed_ms <= replied_ms) {
            self.record_endpoints(replied_ms, limits);
        }
        is_recent
    }

    /// Records a reply to a linearizable call on anything else, which bounds the length of an outage.
    pub(crate) fn record_reply(&mut self, now_ms: TimeMs) {
        self.gap_ms = self.reply_ms.map_or(TimeMs(0), |reply_ms| now_ms.since(reply_ms));
        self.reply_ms = self.reply_ms.max(Some(now_ms));
    }

    /// Records that the store came back from a copy, which lacks the entries that were written since. They are written
    /// again. After a longer time without contact a missing entry may as well have left, and only what an outage grants
    /// applies.
    pub(crate) fn record_new_era(&mut self, now_ms: TimeMs, limits: RecoveryLimits) {
        if self.gap_ms < limits.in_touch_ms {
            self.grace_ends_ms = self.grace_ends_ms.max(Some(now_ms.after(REWRITE_MS)));
        }
    }

    /// Records a call on endpoints that failed and began at `started_ms`.
    pub(crate) fn record_failure(&mut self, started_ms: TimeMs) {
        self.failed_ms = self.failed_ms.max(Some(started_ms));
    }

    /// The age of the last reply to pass on; none if a call on endpoints failed since.
    pub(crate) fn age_to_pass_on_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.reply_ms.filter(|_| self.failed_ms.is_none()).map(|at| now_ms.since(at))
    }

    /// The time since the last reply to any linearizable call.
    pub(crate) fn age_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.reply_ms.map(|at| now_ms.since(at))
    }

    /// The end of the grace period for missing entries, while it lasts.
    pub(crate) fn grace_ends_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.grace_ends_ms.filter(|ends_ms| now_ms < *ends_ms)
    }
}
