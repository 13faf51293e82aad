//! Reports the limits that endpoints state to the other instances.

use std::time::Duration;

use rand::RngExt;
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use super::peers::{PeerAddresses, peer_addresses, send_message};
use crate::{
    endpoint_limits::MAX_REPORTED_LIMITS,
    gateway::Gateway,
    peer_loads::{LimitsMessage, PeerMessage, report_interval_ms},
};

/// The shortest interval between two reports on limits to few peers, so that an endpoint whose limit changes with each
/// response causes few messages.
const MIN_REPORT_INTERVAL_MS: u64 = 20;
/// The same in a large fleet, where each report is sent to many: the interval of load reports divided by this.
const INTERVAL_DIVISOR: u64 = 5;

/// Reports the limits that endpoints state, as long as any does: what is new at once, all at the interval of the load reports.
/// An instance that learns of a limit from a peer waits for its turn, so that a large fleet does not report all at once.
///
/// Endpoints turn cold by the dozen when connections are lost, and each of them has a limit. If a change of one had all
/// reported, the reports would fill the links of small instances at just that time.
pub(super) async fn report(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let instance = gateway.settings.instance.to_string();
    let mut reported_ms = gateway.clock.now();
    loop {
        let changed = gateway.limits_changed.notified();
        let interval_ms = report_interval_ms(peer_addresses(gateway, addresses).len());
        let (is_idle, is_due) = {
            let limits = gateway.limits.lock();
            (limits.is_empty(), limits.is_report_due())
        };
        if is_idle {
            changed.await;
            let delay_ms = rand::rng().random_range(0..=interval_ms.get());
            if !gateway.limits.lock().is_report_due() {
                sleep(Duration::from_millis(delay_ms)).await;
            }
        } else if !is_due {
            let next_ms = reported_ms.after(interval_ms);
            let left_ms = next_ms.since(gateway.clock.now()).get();
            // Either the interval ends or a limit changes.
            let _ = timeout(Duration::from_millis(left_ms), changed).await;
        }
        let now_ms = gateway.clock.now();
        let are_all_due = now_ms.since(reported_ms) >= interval_ms;
        if are_all_due {
            reported_ms = now_ms;
        }
        let reports = gateway.refresh_limits(are_all_due);
        gateway.metrics.limited_endpoints.record(gateway.limits.lock().len() as u64, &[]);
        let peers = peer_addresses(gateway, addresses);
        for reports in reports.chunks(MAX_REPORTED_LIMITS) {
            let message = LimitsMessage { instance: instance.clone(), reports: reports.to_vec() };
            send_message(socket, &peers, &PeerMessage::Limits(message)).await;
        }
        let pause_ms = MIN_REPORT_INTERVAL_MS.max(interval_ms.get() / INTERVAL_DIVISOR);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
