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

/// The shortest interval between two reports on limits, so that an endpoint whose limit changes with each response causes
/// few messages.
const MIN_LIMIT_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Reports the limits that endpoints state, as long as any does. A new one is reported at once; an instance that learns of
/// it from a peer waits for its turn, so that a large fleet does not report all at once.
pub(super) async fn report(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let instance = gateway.settings.instance.to_string();
    loop {
        let changed = gateway.limits_changed.notified();
        let interval_ms = report_interval_ms(peer_addresses(gateway, addresses).len()).get();
        let (is_idle, is_due) = {
            let limits = gateway.limits.lock();
            (limits.is_empty(), limits.is_report_due())
        };
        if is_idle {
            changed.await;
            let delay_ms = rand::rng().random_range(0..=interval_ms);
            if !gateway.limits.lock().is_report_due() {
                sleep(Duration::from_millis(delay_ms)).await;
            }
        } else if !is_due {
            // Either the interval ends or a limit changes.
            let _ = timeout(Duration::from_millis(interval_ms), changed).await;
        }
        let reports = gateway.refresh_limits();
        gateway.metrics.limited_endpoints.record(reports.len() as u64, &[]);
        let peers = peer_addresses(gateway, addresses);
        for reports in reports.chunks(MAX_REPORTED_LIMITS) {
            let message = LimitsMessage { instance: instance.clone(), reports: reports.to_vec() };
            send_message(socket, &peers, &PeerMessage::Limits(message)).await;
        }
        sleep(MIN_LIMIT_REPORT_INTERVAL).await;
    }
}
