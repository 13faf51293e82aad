//! Events of the time line and the hybrid logical clock that orders them.
//!
//! # Invariant
//!
//! A record that was caused by another record, in this process or through a message, has a greater [`HybridTime`].
//! That holds although wall clocks of several instances differ, because each message carries the sender's time and
//! [`HybridClock::observe`] moves the receiver past it.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, EndpointId, ErrorKind, Generation, Incarnation, InstanceId, ObjectVersion, OrderKey,
    RequestId, TeamName,
};

/// How far ahead of the local wall clock a remote time may pull this clock, in milliseconds.
const MAX_AHEAD_MS: u64 = 60_000;

/// A wall-clock time with a counter that breaks ties in the order of causes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Counts records within the same millisecond.
    pub counter: u32,
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.counter)
    }
}

/// A hybrid logical clock; the wall clock is handed in.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// The time of a new local record, greater than all before.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTime {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTime { wall_ms, counter: 0 }
        } else {
            HybridTime { wall_ms: self.last.wall_ms, counter: self.last.counter.saturating_add(1) }
        };
        self.last
    }

    /// Takes in the time of a received message; a time too far ahead is ignored, since it would drag every clock.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) {
        if remote.wall_ms <= wall_ms.saturating_add(MAX_AHEAD_MS) {
            self.last = self.last.max(remote);
        }
    }
}

/// What happened.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// The process began to shut down.
    Stopping,
    /// The process ended its work.
    Stopped,
    /// A configuration came into force here.
    ConfigInForce,
    /// A configuration was refused here.
    ConfigRefused,
    /// A request was accepted.
    Accepted,
    /// A request was refused.
    Refused,
    /// An endpoint, a source and a split were chosen.
    Placed,
    /// An attempt was sent.
    Dispatched,
    /// The first token of an attempt came.
    FirstToken,
    /// A stream was resumed on a new connection.
    Resumed,
    /// A run that nobody needs any more was cancelled.
    Cancelled,
    /// A run was continued on another endpoint.
    Continued,
    /// A request got its whole answer.
    Answered,
    /// An attempt failed.
    AttemptFailed,
    /// A chunk of another attempt was dropped.
    ChunkDropped,
    /// An order's intent became durable.
    OrderIntent,
    /// An order's outcome became durable.
    OrderSettled,
    /// An order's fate is not known.
    OrderInDoubt,
    /// A write of an intent that may still have landed can no longer take effect.
    OrderFenced,
    /// A request was suspected of crashing an endpoint.
    Suspected,
    /// A request was quarantined.
    Quarantined,
    /// An instance or endpoint came up.
    Joined,
    /// An instance or endpoint is leaving.
    Leaving,
    /// An instance or endpoint is taken for failed.
    Failed,
    /// A lease was taken.
    LeaseTaken,
    /// A lease was lost or given up.
    LeaseLost,
    /// A roll-out of weights went on or waits for something.
    RolloutState,
    /// An order to load weights or change role was sent to an endpoint.
    EndpointOrdered,
    /// Cache blocks were imported.
    Imported,
    /// Cache blocks were exported.
    Exported,
    /// Cache events had a gap.
    CacheGap,
    /// The platform stopped or began to answer.
    PlatformState,
}

/// One record of the time line; absent fields are left out when it is written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When, in the order of causes.
    pub at: HybridTime,
    /// The instance that wrote the record.
    pub instance: InstanceId,
    /// Which run of the instance.
    pub incarnation: Incarnation,
    /// What happened.
    pub kind: EventKind,
    /// The request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The attempt concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub attempt: Option<AttemptId>,
    /// The team concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamName>,
    /// The endpoint concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<EndpointId>,
    /// The order concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub order: Option<OrderKey>,
    /// The configuration generation concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub generation: Option<Generation>,
    /// The version of the platform object concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object_version: Option<ObjectVersion>,
    /// The kind of error, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorKind>,
    /// More words for a reader; never a prompt, an answer or a key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Event {
    /// An event with the given head and nothing else set.
    pub fn new(
        at: HybridTime,
        instance: InstanceId,
        incarnation: Incarnation,
        kind: EventKind,
    ) -> Self {
        Self {
            at,
            instance,
            incarnation,
            kind,
            request: None,
            attempt: None,
            team: None,
            endpoint: None,
            order: None,
            generation: None,
            object_version: None,
            error: None,
            detail: String::new(),
        }
    }
}
