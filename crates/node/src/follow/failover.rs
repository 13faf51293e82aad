//! Where a run goes on when its endpoint is lost, so that any instance can find it again.
//!
//! The id that the caller has names the first place only. A run that moves goes to an endpoint that follows from the
//! attempt's name by rendezvous hashing, under a name that follows from it too. An instance that picks the run up asks
//! at those few places; nothing has to be announced or kept. See `docs/design/answers.md`.

use std::{cmp::Reverse, sync::Arc};

use bilberryford_types::AttemptId;

use crate::fleet::Endpoint;

/// How many endpoints a run may go on at.
const CONTINUED_PLACES: usize = 4;
/// Stands between the first attempt's name and the number of a later one.
const SEPARATOR: char = '.';

/// The name of the attempt `number` (0 for the first) of the run that began as `base`.
pub(crate) fn attempt_name(base: &AttemptId, number: usize) -> AttemptId {
    if number == 0 {
        return base.clone();
    }
    format!("{base}{SEPARATOR}{number}").parse().unwrap_or_else(|_| base.clone())
}

/// The first attempt's name and the number of `attempt`.
pub(crate) fn attempt_number(attempt: &AttemptId) -> (AttemptId, usize) {
    let split = attempt.as_str().rsplit_once(SEPARATOR);
    let parsed = split.and_then(|(base, number)| Some((base.parse().ok()?, number.parse().ok()?)));
    parsed.unwrap_or_else(|| (attempt.clone(), 0))
}

/// The endpoints of a pool at which the run may go on, in order.
pub(crate) fn continued_places(pool: &[Arc<Endpoint>], base: &AttemptId) -> Vec<Arc<Endpoint>> {
    let weight = |endpoint: &Arc<Endpoint>| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(base.as_str().as_bytes());
        hasher.update(b"\0");
        hasher.update(endpoint.id.as_str().as_bytes());
        Reverse(*hasher.finalize().as_bytes())
    };
    let mut places: Vec<_> =
        pool.iter().filter(|endpoint| !endpoint.is_leaving()).cloned().collect();
    places.sort_by_cached_key(weight);
    places.truncate(CONTINUED_PLACES);
    places
}
