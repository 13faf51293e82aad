//! Timeline events and the hybrid logical clock that orders them.
//!
//! # Invariant
//!
//! If one event causes another, in the same process or through a message, the effect has the greater [`HybridTime`].
//! This holds even if the wall clocks of instances differ: each message carries the sender's time, and
//! [`HybridClock::observe`] advances the receiver's clock to at least that time.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, EndpointId, ErrorKind, Generation, Incarnation, InstanceId, ObjectVersion, OrderKey,
    RequestId, TeamName,
};

/// The limit on how far a remote time may be ahead of the local wall clock, in milliseconds.
const MAX_SKEW_MS: u64 = 60_000;

/// A hybrid logical timestamp: a wall-clock time and a counter that orders events within a millisecond.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTime {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Orders events that have the same `wall_ms`.
    pub counter: u32,
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.counter)
    }
}

/// A hybrid logical clock. Callers pass in the wall-clock time.
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns the timestamp of a new local event, greater than every earlier one.
    pub fn tick(&mut self, wall_ms: u64) -> HybridTime {
        self.last = if wall_ms > self.last.wall_ms {
            HybridTime { wall_ms, counter: 0 }
        } else {
            HybridTime { wall_ms: self.last.wall_ms, counter: self.last.counter.saturating_add(1) }
        };
        self.last
    }

    /// Advances the clock to the timestamp of a received message. A timestamp too far ahead is ignored, since a single
    /// wrong clock would otherwise advance the clocks of all instances.
    pub fn observe(&mut self, remote: HybridTime, wall_ms: u64) {
        if remote.wall_ms <= wall_ms.saturating_add(MAX_SKEW_MS) {
            self.last = self.last.max(remote);
        }
    }
}

/// The kind of an event.
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
    /// The process finished shutting down.
    Stopped,
    /// A configuration came into force on this instance.
    ConfigInForce,
    /// This instance refused a configuration.
    ConfigRefused,
    /// A request was accepted.
    Accepted,
    /// A request was refused.
    Refused,
    /// The placement of a request was decided: its endpoint, the source of its cache blocks and the split between
    /// imported and recomputed blocks.
    Placed,
    /// An attempt was sent to an endpoint.
    Dispatched,
    /// The first token of an attempt was received.
    FirstToken,
    /// A stream was resumed on a new connection.
    Resumed,
    /// A run that is no longer needed was cancelled at its endpoint.
    Cancelled,
    /// A run was continued on another endpoint.
    Continued,
    /// The complete response of an attempt was received.
    Answered,
    /// An attempt failed.
    AttemptFailed,
    /// A response chunk was dropped because it belongs to another attempt or is out of order.
    ChunkDropped,
    /// An order's intent became durable.
    OrderIntent,
    /// An order's outcome became durable.
    OrderSettled,
    /// An order's outcome is unknown.
    OrderInDoubt,
    /// An intent's write of unknown outcome was fenced off, so that it can no longer take effect.
    OrderFenced,
    /// A request is suspected of crashing an endpoint.
    Suspected,
    /// A request was quarantined.
    Quarantined,
    /// An instance or endpoint joined.
    Joined,
    /// An instance or endpoint is leaving.
    Leaving,
    /// An instance or endpoint is considered failed.
    Failed,
    /// A lease was acquired.
    LeaseTaken,
    /// A lease was lost or released.
    LeaseLost,
    /// A roll-out of weights progressed or is waiting.
    RolloutState,
    /// An order to load weights or to change its role was sent to an endpoint.
    EndpointOrdered,
    /// Cache blocks were imported.
    Imported,
    /// Cache blocks were exported.
    Exported,
    /// A gap was found in a stream of cache events.
    CacheGap,
    /// The platform became unavailable or available again.
    PlatformState,
}

/// One event of the timeline. Absent fields are not serialized.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical time of the event.
    pub at: HybridTime,
    /// The instance that recorded the event.
    pub instance: InstanceId,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// The kind of the event.
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
    /// The version of the object concerned in the platform's object store.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub object_version: Option<ObjectVersion>,
    /// The kind of error, if the event reports one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorKind>,
    /// Free text for a human reader. It never contains a prompt, a response or an API key.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Event {
    /// Creates an event with only the mandatory fields set.
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
