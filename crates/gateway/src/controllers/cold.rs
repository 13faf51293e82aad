//! Reports cold endpoints to the other instances, and ends their limits.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use super::peers::{PeerAddresses, peer_addresses, send_message};
use crate::{
    cold_endpoints::MAX_REPORTED_COLD,
    gateway::Gateway,
    peer_loads::{PeerMessage, report_interval_ms},
};

/// The pause between reports that are not to be delayed, which collects the losses of a data centre into one message.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time for which the limit of an endpoint outlasts its cold period.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Reports to an instance that has just started which endpoints are cold. It asks for what is blamed before it is ready.
pub(super) async fn inform(gateway: &Gateway, socket: &UdpSocket, to: SocketAddr) {
    let reports = gateway.cold.lock().reports(gateway.clock.now());
    for reports in reports.chunks(MAX_REPORTED_COLD) {
        send_message(socket, &[to], &PeerMessage::Cold(reports.to_vec())).await;
    }
}

/// Reports cold endpoints as long as there are any: what is new at once, all at the interval of the load reports.
pub(super) async fn report(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let mut reported_ms = gateway.clock.now();
    loop {
        let changed = gateway.cold_changed.notified();
        let interval_ms = report_interval_ms(peer_addresses(gateway, addresses).len());
        let (is_idle, is_due) = {
            let cold = gateway.cold.lock();
            (cold.is_empty(), cold.is_report_due())
        };
        if is_idle {
            changed.await;
        } else if !is_due {
            let update_interval = MAX_UPDATE_INTERVAL.min(Duration::from_millis(interval_ms.get()));
            // Either the interval ends or something is new.
            let _ = timeout(update_interval, changed).await;
        }
        let now_ms = gateway.clock.now();
        let are_all_due = now_ms.since(reported_ms) >= interval_ms;
        if are_all_due {
            reported_ms = now_ms;
        }
        let reports = gateway.refresh_cold(are_all_due);
        let peers = peer_addresses(gateway, addresses);
        for reports in reports.chunks(MAX_REPORTED_COLD) {
            send_message(socket, &peers, &PeerMessage::Cold(reports.to_vec())).await;
        }
        sleep(MIN_REPORT_INTERVAL).await;
    }
}
