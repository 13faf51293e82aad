//! Exchanges the observed speeds of endpoints with the other instances.

use crate::{cost::SpeedReport, gateway::Gateway};

/// Applies what a peer observed.
pub(super) fn apply(gateway: &Gateway, report: &SpeedReport) {
    gateway.speeds.lock().apply(report, gateway.clock.now());
}

/// Applies what this instance observed of the speeds of endpoints, and returns it for its peers.
pub(super) fn take_report(
    gateway: &Gateway,
    incarnation: u64,
    sequence: u64,
) -> Option<SpeedReport> {
    let now_ms = gateway.clock.now();
    let mut speeds = gateway.speeds.lock();
    speeds.expire(now_ms);
    let sums = speeds.take_pending();
    if sums.is_empty() {
        return None;
    }
    let instance = gateway.settings.instance.to_string();
    let report = SpeedReport { instance, incarnation, sequence, sums };
    speeds.apply(&report, now_ms);
    Some(report)
}
