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

/// When to come back where another instance can check keys, in milliseconds: a new attempt reaches another one.
const ELSEWHERE_MS: TimeMs = TimeMs(20);
/// When to come back where none can, in milliseconds: as often as a store that does not answer is asked.
const NOWHERE_MS: TimeMs = TimeMs(700);

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
    let now_ms = gateway.clock.now();
    if !gateway.keys.lock().is_valid(now_ms) {
        let is_elsewhere = gateway.peers.lock().can_any_check_keys(now_ms);
        let wait_ms = if is_elsewhere { ELSEWHERE_MS } else { NOWHERE_MS };
        return Err(OwnAnswer::after(ErrorKind::NotReady, wait_ms));
    }
    let team = facts.key.as_deref().and_then(|key| deployment.team(key));
    team.cloned().map(Some).ok_or(OwnAnswer::new(ErrorKind::Unauthenticated))
}
