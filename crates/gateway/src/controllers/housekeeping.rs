//! Drops what has run out.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval};

use super::endpoints::note_changes;
use crate::gateway::Gateway;

/// How often, short against every grace that it ends.
const EVERY: Duration = Duration::from_millis(500);

pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = interval(EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let now_ms = gateway.clock.now();
        let changes = gateway.endpoints.lock().expire(now_ms);
        note_changes(&gateway, changes);
        gateway.suspects.lock().expire(now_ms);
        gateway.forget_gone();
    }
}
