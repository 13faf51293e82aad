//! The state of one request as it passes through a filter chain.

use std::{sync::Arc, time::Instant};

use bilberryford_coord::{Attempt, Planned};
use bilberryford_document::{RouteSection, TeamSection};
use bilberryford_types::{
    AttemptId, Digest, ErrorKind, OrderKey, Priority, RequestId, RunId, ServiceName, TimeMs,
    WeightVersion,
};
use bytes::Bytes;
use poem::http::{HeaderMap, Method};

use super::order::Intent;
use crate::{
    api::{PromptRequest, ResponseFormat},
    config::InForce,
    fleet::Endpoint,
    node::{Node, RequestSlot},
    quarantine::ClaimGuard,
    refusal::Refusal,
    stores::ImportPlan,
};

/// The target of a request.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// A prompt for a model.
    Prompt(ResponseFormat),
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The path within the service, with its query.
        path: String,
    },
    /// A run to be resumed.
    Run {
        /// The run.
        run: RunId,
    },
}

/// The request, and the results of the filters that have processed it.
pub(crate) struct Context {
    pub(crate) request: RequestId,
    pub(crate) target: Target,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received_at: Instant,
    pub(crate) in_force: Option<Arc<InForce>>,
    pub(crate) team: Option<TeamSection>,
    pub(crate) prompt: Option<PromptRequest>,
    pub(crate) route: Option<RouteSection>,
    pub(crate) order: Option<OrderKey>,
    pub(crate) priority: Priority,
    pub(crate) timeout: TimeMs,
    pub(crate) slot: Option<RequestSlot>,
    pub(crate) endpoint: Option<Arc<Endpoint>>,
    pub(crate) weight_version: Option<WeightVersion>,
    pub(crate) intent: Option<Intent>,
    pub(crate) fingerprint: Option<Digest>,
    pub(crate) claim: Option<ClaimGuard>,
    pub(crate) import: Option<ImportPlan>,
    attempt: Option<Attempt<Planned>>,
}

impl Context {
    pub(crate) fn new(
        node: &Node,
        target: Target,
        method: Method,
        headers: HeaderMap,
        body: Bytes,
    ) -> Self {
        Self {
            request: node.next_request(),
            target,
            method,
            headers,
            body,
            received_at: Instant::now(),
            in_force: None,
            team: None,
            prompt: None,
            route: None,
            order: None,
            priority: Priority::default(),
            timeout: TimeMs(0),
            slot: None,
            endpoint: None,
            weight_version: None,
            intent: None,
            fingerprint: None,
            claim: None,
            import: None,
            attempt: Some(Attempt::new(node.next_attempt())),
        }
    }

    /// Returns a header's value, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Refuses the request. Consumes the unsent attempt, whose type proves that nothing was sent, for a "not run"
    /// refusal; once the attempt was taken, the refusal says what the table has for `kind`.
    pub(crate) fn refuse(&mut self, kind: ErrorKind) -> Refusal {
        match self.attempt.take() {
            Some(attempt) => attempt.refuse(kind).into(),
            None => Refusal::of(kind),
        }
    }

    /// Returns the id of the attempt.
    ///
    /// # Errors
    ///
    /// An internal error if the attempt was taken already.
    pub(crate) fn attempt_id(&self) -> Result<AttemptId, Refusal> {
        let attempt = self.attempt.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
        Ok(attempt.id().clone())
    }

    /// Takes the attempt in order to send it.
    ///
    /// # Errors
    ///
    /// An internal error if the attempt was taken already.
    pub(crate) fn take_attempt(&mut self) -> Result<Attempt<Planned>, Refusal> {
        self.attempt.take().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The configuration under which the request is served.
    pub(crate) fn in_force(&self) -> Result<Arc<InForce>, Refusal> {
        self.in_force.clone().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The calling team.
    pub(crate) fn team(&self) -> Result<&TeamSection, Refusal> {
        self.team.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The chosen endpoint.
    pub(crate) fn endpoint(&self) -> Result<Arc<Endpoint>, Refusal> {
        self.endpoint.clone().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// Returns true if the call may be retried.
    pub(crate) fn is_idempotent(&self) -> bool {
        match &self.route {
            Some(route) => route.idempotent,
            None => self.method.is_safe(),
        }
    }

    /// The time left until the deadline.
    pub(crate) fn time_left(&self) -> TimeMs {
        let spent = u64::try_from(self.received_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        TimeMs(self.timeout.get().saturating_sub(spent))
    }
}
