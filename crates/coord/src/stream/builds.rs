//! Decides whether the build of an endpoint that begins a stream is known.
//!
//! An endpoint may start again under its id and address with another build while its entry is still the old one, and an
//! instance notices that by the loss of a connection only if it has one. So an entry counts once the endpoint itself has
//! confirmed it. Load pattern: the first endpoint of a new build starts while an instance has no connection to it. See
//! `docs/design/streams.md`.

use bilberryford_types::TimeMs;

/// Returns true if the endpoint's word at `confirmed_ms` covers a connection that was opened at `opened_ms` and still serves:
/// an incarnation ends but once, and takes its connections with it.
pub fn covers_connection(confirmed_ms: Option<TimeMs>, opened_ms: TimeMs) -> bool {
    confirmed_ms.is_some_and(|confirmed_ms| confirmed_ms >= opened_ms)
}
