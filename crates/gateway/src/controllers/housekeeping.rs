//! Removes expired state periodically.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval};

use super::endpoints::record_changes;
use crate::gateway::Gateway;

/// The interval, which is short compared to the expiry times of the state.
const INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now_ms = gateway.clock.now();
        let changes = gateway.endpoints.lock().expire(now_ms);
        record_changes(&gateway, changes);
        gateway.change_blame(|blame, now_ms| {
            blame.expire(now_ms);
            blame.tick(now_ms)
        });
        gateway.streams.lock().forget_expired(now_ms);
        gateway.remove_unlisted_endpoints();
    }
}
