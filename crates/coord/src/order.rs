//! The durable record of an order, and the decision about a request that carries the order's idempotency key.
//!
//! # Invariant
//!
//! An order is dispatched only by the process that wrote its intent, only after the platform confirmed that write, and
//! only once. A request that finds an intent of another attempt is never dispatched. See `docs/design/orders.md`.

use bilberryford_types::{AttemptId, Digest, InstanceId, TimeMs};
use serde::{Deserialize, Serialize};

/// The response of the service, as stored for retries of the same order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The HTTP status code.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body, if it is text and short enough to be stored.
    pub body: Option<String>,
    /// The digest of a body that is not stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub body_digest: Option<Digest>,
}

/// The progress of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum OrderState {
    /// The attempt that wrote this record may dispatch the order; no other attempt may.
    Intent,
    /// The order ran and the service responded.
    Done {
        /// The response.
        reply: OrderReply,
        /// True if the response comes from a status request rather than from the attempt itself.
        #[serde(default)]
        from_status: bool,
    },
    /// The order never reached the service; the key may be used again.
    NotRun,
    /// It is unknown whether the order ran.
    InDoubt,
}

/// The durable record of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Digest of the request's service, method, path and body.
    pub digest: Digest,
    /// The attempt that wrote the intent.
    pub attempt: AttemptId,
    /// The instance that wrote the intent.
    pub instance: InstanceId,
    /// The time at which the intent was written, in milliseconds since the Unix epoch.
    pub written_ms: TimeMs,
    /// How long after `written_ms` the attempt may still be waiting for its response, in milliseconds.
    pub running_ms: TimeMs,
    /// The progress of the order.
    #[serde(flatten)]
    pub state: OrderState,
}

/// The decision about a request, given the record of its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderDecision {
    /// Write an intent, and dispatch the order once the intent is durable.
    WriteIntent,
    /// Return the stored response.
    Replay {
        /// The response.
        reply: OrderReply,
        /// True if the response comes from a status request rather than from the attempt itself.
        from_status: bool,
    },
    /// The order ran, but the body of its response was not stored.
    ResponseNotStored,
    /// Another attempt may be running the order now.
    Running,
    /// The order may have run, so it is never dispatched again.
    InDoubt,
    /// The key was used for a different request.
    KeyReused,
    /// The record is older than the retention.
    KeyExpired,
}

impl OrderRecord {
    /// Decides about a request with `digest` at `now_ms` (Unix time).
    ///
    /// The wall clocks of instances differ. Here they only select among refusals, or between the stored response and a
    /// refusal: whatever the clocks show, an order that may have run never gets [`OrderDecision::WriteIntent`].
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

    /// Returns true if the record may be deleted: it is older than the retention plus the slack for clock differences.
    pub fn is_sweepable(&self, now_ms: TimeMs, retention: TimeMs) -> bool {
        let slack = TimeMs(retention.get() / KEY_CLOCK_SLACK_DIVISOR);
        now_ms.since(self.written_ms) > retention.after(slack)
    }
}

/// The retention divided by this is the slack for clock differences: a key whose own time is further in the future is
/// refused, and records are stored that much longer than the retention.
pub const KEY_CLOCK_SLACK_DIVISOR: u64 = 8;
