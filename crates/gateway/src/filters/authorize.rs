//! Checks a request's key against the configuration in force now.
//!
//! It is asked on arrival and again right before each send, since a process may have slept in between.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, TimeMs};

use crate::{
    answers::OwnAnswer,
    deployment::{Route, Team},
    gateway::Gateway,
    translation::CallerFacts,
};

/// When to come back to another instance after this one can't check keys, in milliseconds.
const ELSEWHERE_MS: TimeMs = TimeMs(20);

/// The team of a request; none where requests need no key.
pub(crate) fn authorize(
    gateway: &Gateway,
    facts: &CallerFacts,
    route: &Route,
) -> Result<Option<Arc<Team>>, OwnAnswer> {
    let deployment = gateway.deployment.load();
    let Some(deployment) = deployment.as_ref() else {
        return Err(OwnAnswer::new(ErrorKind::NotReady));
    };
    if !deployment.has_teams() || route.is_public {
        return Ok(None);
    }
    if !gateway.keys.lock().is_valid(gateway.clock.now()) {
        return Err(OwnAnswer::after(ErrorKind::NotReady, ELSEWHERE_MS));
    }
    let team = facts.key.as_deref().and_then(|key| deployment.team(key));
    team.cloned().map(Some).ok_or(OwnAnswer::new(ErrorKind::Unauthenticated))
}
