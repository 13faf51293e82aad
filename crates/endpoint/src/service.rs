//! A plain service as a trait.

use bilberryford_types::{AttemptId, OrderKey, TeamName, TimeMs};
use bytes::Bytes;
use futures::future::BoxFuture;

use crate::EndpointError;

/// One call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The attempt, sent along for the service's own logs.
    pub attempt: AttemptId,
    /// The team.
    pub team: TeamName,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// The idempotency key, for calls that may not be repeated.
    pub order: Option<OrderKey>,
    /// The body.
    pub body: Bytes,
}

/// What the service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Whether the service itself says, by `Bilberryford-Ran: no`, that it has not run the call.
    pub reported_not_run: bool,
}

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Makes one call, on a connection of its own when it may not be repeated, so that an idle connection that went
    /// silent can't swallow an order.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Connect`] when nothing was sent; anything else may have run.
    fn call(
        &self,
        call: ServiceCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ServiceReply, EndpointError>>;
}
