//! The record of one order and what to do with a request that carries its key.
//!
//! # Invariant
//!
//! An order is dispatched only by the process that wrote its intent, only after the platform confirmed the write, and
//! only once. A request that finds an intent of another attempt is never dispatched. See `docs/design/orders.md`.

use bilberryford_types::{AttemptId, Digest, InstanceId, OrderKey, ServiceName, TeamName, TimeMs};
use serde::{Deserialize, Serialize};

/// A request that carries an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: OrderKey,
    /// A digest of method, path and body, so that a key can't be used for two orders.
    pub digest: Digest,
}

/// What the service answered, as kept for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body, when it is text and short enough.
    pub body: Option<String>,
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
    },
    /// The service never saw it; the key may be used again.
    NotRun,
    /// Nobody knows whether it ran.
    InDoubt,
}

/// The durable record of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Digest of method, path and body.
    pub digest: Digest,
    /// The attempt that wrote the intent.
    pub attempt: AttemptId,
    /// The instance that wrote the intent.
    pub instance: InstanceId,
    /// When the intent was written, in milliseconds since the Unix epoch.
    pub written_ms: TimeMs,
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
    Replay(OrderReply),
    /// Someone may be running it now.
    Running,
    /// It may have run; it is never dispatched again.
    InDoubt,
    /// The key was used for another request.
    KeyReused,
}

impl OrderRecord {
    /// What to do with `request` at `now_ms` (Unix time); an intent older than `running_for` is in doubt.
    pub fn decide(
        record: Option<&Self>,
        request: &OrderRequest,
        now_ms: TimeMs,
        running_for: TimeMs,
    ) -> OrderDecision {
        let Some(record) = record else {
            return OrderDecision::WriteIntent;
        };
        if record.digest != request.digest {
            return OrderDecision::KeyReused;
        }
        match &record.state {
            OrderState::NotRun => OrderDecision::WriteIntent,
            OrderState::Done { reply } => OrderDecision::Replay(reply.clone()),
            OrderState::InDoubt => OrderDecision::InDoubt,
            OrderState::Intent if now_ms.since(record.written_ms) < running_for => {
                OrderDecision::Running
            }
            OrderState::Intent => OrderDecision::InDoubt,
        }
    }
}
