//! The trait of a plain service and its data types.

use bilberryford_types::{AttemptId, OrderKey, TeamName, TimeMs};
use bytes::Bytes;
use futures::future::BoxFuture;

use crate::EndpointError;

/// One call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The attempt, sent for the service's own logs.
    pub attempt: AttemptId,
    /// The team.
    pub team: TeamName,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// True if the call may be retried.
    pub idempotent: bool,
    /// The idempotency key, for calls that must not be retried.
    pub order: Option<OrderKey>,
    /// The body.
    pub body: Bytes,
}

/// The response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// True if the service reported, by the header `Bilberryford-Ran: no`, that it has not run the call.
    pub reported_not_run: bool,
}

/// A plain service.
pub trait PlainService: Send + Sync {
    /// Makes one call. A call that must not be retried gets a new connection, because an idle connection may
    /// have stalled unnoticed, and the outcome of a call sent on it would be unknown.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Connect`] if nothing was sent, [`EndpointError::Draining`] if the service is shutting down.
    /// After any other error the call may have run.
    fn call(
        &self,
        call: ServiceCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ServiceReply, EndpointError>>;
}
