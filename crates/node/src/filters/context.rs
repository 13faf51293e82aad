//! One request on its way through a chain.

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
    api::{PromptRequest, Shape},
    config::InForce,
    fleet::Endpoint,
    node::{Node, Place},
    quarantine::ClaimGuard,
    refusal::Refusal,
    stores::ImportPlan,
};

/// What the request is for.
#[derive(Debug, Clone)]
pub(crate) enum Target {
    /// A prompt for a model.
    Prompt(Shape),
    /// A call of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// The path within the service, with its query.
        path: String,
    },
    /// An answer to be picked up.
    Run {
        /// The run.
        run: RunId,
    },
}

/// The request and what the filters so far have found out about it.
pub(crate) struct Context {
    pub(crate) request: RequestId,
    pub(crate) target: Target,
    pub(crate) method: Method,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) received: Instant,
    pub(crate) in_force: Option<Arc<InForce>>,
    pub(crate) team: Option<TeamSection>,
    pub(crate) prompt: Option<PromptRequest>,
    pub(crate) route: Option<RouteSection>,
    pub(crate) order: Option<OrderKey>,
    pub(crate) priority: Priority,
    pub(crate) timeout: TimeMs,
    pub(crate) place: Option<Place>,
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
            received: Instant::now(),
            in_force: None,
            team: None,
            prompt: None,
            route: None,
            order: None,
            priority: Priority::default(),
            timeout: TimeMs(0),
            place: None,
            endpoint: None,
            weight_version: None,
            intent: None,
            fingerprint: None,
            claim: None,
            import: None,
            attempt: Some(Attempt::new(node.next_attempt())),
        }
    }

    /// A header's value, when it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Gives the request up; true only as long as nothing was sent, which the type of the attempt keeps.
    pub(crate) fn refuse(&mut self, kind: ErrorKind) -> Refusal {
        match self.attempt.take() {
            Some(attempt) => attempt.refuse(kind).into(),
            None => Refusal::of(kind),
        }
    }

    /// The id of the attempt, as long as nothing was sent.
    pub(crate) fn attempt_id(&self) -> Result<AttemptId, Refusal> {
        let attempt = self.attempt.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))?;
        Ok(attempt.id().clone())
    }

    /// Takes the attempt to send it.
    pub(crate) fn take_attempt(&mut self) -> Result<Attempt<Planned>, Refusal> {
        self.attempt.take().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The configuration that the request is served under.
    pub(crate) fn in_force(&self) -> Result<Arc<InForce>, Refusal> {
        self.in_force.clone().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The team that is calling.
    pub(crate) fn team(&self) -> Result<&TeamSection, Refusal> {
        self.team.as_ref().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// The endpoint that was chosen.
    pub(crate) fn endpoint(&self) -> Result<Arc<Endpoint>, Refusal> {
        self.endpoint.clone().ok_or_else(|| Refusal::of(ErrorKind::Internal))
    }

    /// Whether the call may be repeated.
    pub(crate) fn is_idempotent(&self) -> bool {
        match &self.route {
            Some(route) => route.idempotent,
            None => self.method.is_safe(),
        }
    }

    /// What is left of the deadline.
    pub(crate) fn time_left(&self) -> TimeMs {
        let spent = u64::try_from(self.received.elapsed().as_millis()).unwrap_or(u64::MAX);
        TimeMs(self.timeout.get().saturating_sub(spent))
    }
}
