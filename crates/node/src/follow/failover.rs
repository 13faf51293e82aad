//! The endpoints that a run may fail over to, chosen so that any instance can find it again.
//!
//! The run id of the caller gives only the endpoint of the first token. A run that fails over goes to an endpoint that
//! rendezvous hashing of the first attempt's id selects, and its new attempt id is derived from that id too. An
//! instance that resumes the run therefore queries only these few endpoints; nothing has to be announced or stored.
//! See `docs/design/answers.md`.

use std::{cmp::Reverse, sync::Arc};

use bilberryford_types::AttemptId;

use crate::fleet::Endpoint;

/// The number of endpoints that a run may fail over to.
const MAX_FAILOVER_ENDPOINTS: usize = 4;
/// Separates the first attempt's id and the number of a later attempt.
const SEPARATOR: char = '.';

/// The id of the attempt `number` (0 for the first) of the run whose first attempt is `base`.
pub(crate) fn attempt_id(base: &AttemptId, number: usize) -> AttemptId {
    if number == 0 {
        return base.clone();
    }
    format!("{base}{SEPARATOR}{number}").parse().unwrap_or_else(|_| base.clone())
}

/// Splits an attempt id into the id of the run's first attempt and the number of this one.
pub(crate) fn split_attempt_id(attempt: &AttemptId) -> (AttemptId, usize) {
    let split = attempt.as_str().rsplit_once(SEPARATOR);
    let parsed = split.and_then(|(base, number)| Some((base.parse().ok()?, number.parse().ok()?)));
    parsed.unwrap_or_else(|| (attempt.clone(), 0))
}

/// The endpoints of a pool that the run may fail over to, in order of preference.
pub(crate) fn failover_endpoints(pool: &[Arc<Endpoint>], base: &AttemptId) -> Vec<Arc<Endpoint>> {
    let weight = |endpoint: &Arc<Endpoint>| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(base.as_str().as_bytes());
        hasher.update(b"\0");
        hasher.update(endpoint.id.as_str().as_bytes());
        Reverse(*hasher.finalize().as_bytes())
    };
    let mut endpoints: Vec<_> =
        pool.iter().filter(|endpoint| !endpoint.is_leaving()).cloned().collect();
    endpoints.sort_by_cached_key(weight);
    endpoints.truncate(MAX_FAILOVER_ENDPOINTS);
    endpoints
}
