//! The record of one order and what to do with a request that carries its key.
//!
//! # Invariant
//!
//! An order is dispatched only by the process that wrote its intent, only after the platform confirmed the write, and
//! only once. A request that finds an intent of another attempt is never dispatched. See `docs/design/orders.md`.

use bilberryford_types::{AttemptId, Digest, InstanceId, TimeMs};
use serde::{Deserialize, Serialize};

/// What the service answered, as kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body, when it is text and short enough.
    pub body: Option<String>,
    /// The body's digest, in place of a body that is not kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_digest: Option<Digest>,
}

/// How far an order has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum OrderState {
    /// It may be dispatched by the attempt that wrote this, and by nobody else.
    Intent,
    /// It ran, and this was the answer.
    Done {
        /// The answer.
        reply: OrderReply,
        /// Whether the answer comes from a status read and not from the attempt itself.
        #[serde(default)]
        from_status: bool,
    },
    /// The service never saw it; the key may be used again.
    NotRun,
    /// Nobody knows whether it ran.
    InDoubt,
}

/// The durable record of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Digest of service, method, path and body.
    pub digest: Digest,
    /// The attempt that wrote the intent.
    pub attempt: AttemptId,
    /// The instance that wrote the intent.
    pub instance: InstanceId,
    /// When the intent was written, in milliseconds since the Unix epoch.
    pub written_ms: TimeMs,
    /// How long after that the attempt may still wait for its answer, in milliseconds.
    pub running_ms: TimeMs,
    /// How far the order has come.
    #[serde(flatten)]
    pub state: OrderState,
}

/// What to do with a request, given the record of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Write an intent, and dispatch once it is durable.
    WriteIntent,
    /// Give the kept answer.
    Replay {
        /// The answer.
        reply: OrderReply,
        /// Whether it comes from a status read.
        from_status: bool,
    },
    /// It ran, but its answer was too large to keep.
    ResponseNotStored,
    /// Someone may be running it now.
    Running,
    /// It may have run; it is never dispatched again.
    InDoubt,
    /// The key was used for another request.
    KeyReused,
    /// The key is older than the retention.
    KeyExpired,
}

impl OrderRecord {
    /// What to do with a request of `digest` at `now_ms` (Unix time).
    ///
    /// The wall clocks of instances differ. They only choose between refusals here: no clock makes a record that may
    /// have run turn into [`OrderDecision::WriteIntent`].
    pub fn decide(&self, digest: &Digest, now_ms: TimeMs, retention: TimeMs) -> OrderDecision {
        if self.digest != *digest {
            return OrderDecision::KeyReused;
        }
        let age = now_ms.since(self.written_ms);
        match &self.state {
            OrderState::NotRun => OrderDecision::WriteIntent,
            _ if age >= retention => OrderDecision::KeyExpired,
            OrderState::Done { reply, .. } if reply.body.is_none() => {
                OrderDecision::ResponseNotStored
            }
            OrderState::Done { reply, from_status } => {
                OrderDecision::Replay { reply: reply.clone(), from_status: *from_status }
            }
            OrderState::InDoubt => OrderDecision::InDoubt,
            OrderState::Intent if age < self.running_ms => OrderDecision::Running,
            OrderState::Intent => OrderDecision::InDoubt,
        }
    }

    /// Whether the record may be deleted: it is older than the retention and the slack for clocks.
    pub fn is_sweepable(&self, now_ms: TimeMs, retention: TimeMs) -> bool {
        let slack = TimeMs(retention.get() / KEY_CLOCK_SLACK_DIVISOR);
        now_ms.since(self.written_ms) > retention.after(slack)
    }
}

/// The part of the retention by which clocks may differ before a key's own time is refused.
pub const KEY_CLOCK_SLACK_DIVISOR: u64 = 8;
