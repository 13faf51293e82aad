//! Checks the API key of a request against the configuration in force.
//!
//! It runs on arrival and again before each attempt, since the process may have been suspended in between and the key
//! may have been revoked.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, TimeMs};

use crate::{
    deployment::{Route, Team},
    gateway::Gateway,
    responses::ErrorResponse,
    translation::CallerFacts,
};

/// The retry delay if another instance can check keys, in milliseconds: a retry may reach that instance.
const RETRY_ELSEWHERE_MS: TimeMs = TimeMs(20);
/// The retry delay if no instance can check keys, in milliseconds: the longest backoff towards an unreachable store.
const RETRY_NOWHERE_MS: TimeMs = TimeMs(700);

/// Returns the team of a request, or `None` if the request needs no key.
///
/// # Errors
///
/// `NotReady` if this instance can't check keys at the moment, or does not know the key and may lack newer ones;
/// `Unauthenticated` if the key is missing or unknown.
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
    if !gateway.keys.lock().is_valid(gateway.clock.now()) {
        return Err(not_ready(gateway));
    }
    let Some(key) = facts.key.as_deref() else {
        return Err(ErrorResponse::new(ErrorKind::Unauthenticated));
    };
    match deployment.team(key) {
        Some(team) => Ok(Some(team.clone())),
        None if gateway.proves_absence() => Err(ErrorResponse::new(ErrorKind::Unauthenticated)),
        // An outdated configuration can't prove that a key does not exist.
        None => Err(not_ready(gateway)),
    }
}

/// The response to a request that the configuration of this instance is too old to decide on.
pub(super) fn not_ready(gateway: &Gateway) -> ErrorResponse {
    let can_peer_check_keys = gateway.peers.lock().can_any_check_keys(gateway.clock.now());
    let wait_ms = if can_peer_check_keys { RETRY_ELSEWHERE_MS } else { RETRY_NOWHERE_MS };
    ErrorResponse::with_retry_after(ErrorKind::NotReady, wait_ms)
}
