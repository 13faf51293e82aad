//! Decides how long requests may start on older weights after newer ones were published.

use bilberryford_types::TimeMs;

/// The factor by which the first token of a request may come later than predicted, and a constant time on top of it, in
/// milliseconds: a request that is predicted to begin sooner is certain enough to begin before a bound.
const START_UNCERTAINTY: u64 = 2;
const START_UNCERTAINTY_MS: u64 = 500;

/// The time that an engine is given for a request whose caller waits `time_left_ms`, and which must begin within
/// `start_left_ms` because its weights are replaced.
///
/// An engine drops a request at the end of this time, whether it waits in the queue or runs. One that is predicted to begin
/// in time keeps the caller's deadline, so that its response is not cut at the bound; its sender awaits the start. Any
/// other one must not stay in the queue beyond the bound.
pub fn engine_time_ms(time_left_ms: TimeMs, start_left_ms: TimeMs, predicted_ms: TimeMs) -> TimeMs {
    let latest_start_ms = predicted_ms.get() * START_UNCERTAINTY + START_UNCERTAINTY_MS;
    if TimeMs(latest_start_ms) <= start_left_ms {
        time_left_ms
    } else {
        time_left_ms.min(start_left_ms)
    }
}
