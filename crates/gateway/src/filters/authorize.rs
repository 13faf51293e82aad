//! Checks a request's key against the configuration in force now.
//!
//! It is asked on arrival and again right before each send, since a process may have slept in between.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, TimeMs};

use crate::{
    deployment::{Route, Team},
    gateway::Gateway,
    responses::ErrorResponse,
    translation::CallerFacts,
};

/// When to come back where another instance can check keys, in milliseconds: a new attempt reaches another one.
const RETRY_ELSEWHERE_MS: TimeMs = TimeMs(20);
/// When to come back where none can, in milliseconds: as often as a store that does not answer is asked.
const RETRY_NOWHERE_MS: TimeMs = TimeMs(700);

/// The team of a request; none where requests need no key.
pub(crate) fn authorize(
    gateway: &Gateway,
    facts: &CallerFacts,
    route: &Route,
) -> Result<Option<Arc<Team>>, ErrorResponse> {
    let deployment = gateway.deployment.load();
    let Some(deployment) = deployment.as_ref() else {
        return Err(ErrorResponse::new(ErrorKind::NotReady));
    };
    if !deployment.has_teams() || route.is_public {
        return Ok(None);
    }
    let now_ms = gateway.clock.now();
    if !gateway.keys.lock().is_valid(now_ms) {
        let can_peer_check_keys = gateway.peers.lock().can_any_check_keys(now_ms);
        let wait_ms = if can_peer_check_keys { RETRY_ELSEWHERE_MS } else { RETRY_NOWHERE_MS };
        return Err(ErrorResponse::with_retry_after(ErrorKind::NotReady, wait_ms));
    }
    let team = facts.key.as_deref().and_then(|key| deployment.team(key));
    team.cloned().map(Some).ok_or(ErrorResponse::new(ErrorKind::Unauthenticated))
}
