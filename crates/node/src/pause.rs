//! Delays decisions after a pause of this process until its view of the peers is settled.

use std::{sync::Arc, time::Duration};

use bilberryford_coord::PauseDetector;
use bilberryford_types::TimeMs;
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use crate::{controllers::fetch_snapshots, node::Node};

/// The interval between two ticks, and between two checks of a request that waits, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// How often peers that did not reply are asked again for what was missed in a pause.
const MAX_CATCH_UP_ROUNDS: u32 = 5;

/// The pause detector of this process, behind its lock.
pub(crate) type Pauses = Mutex<PauseDetector>;

/// Detects pauses, and asks the peers for what was missed in each of them.
pub(crate) async fn run(node: Arc<Node>) {
    loop {
        node.pauses.lock().tick(node.now());
        let pause = node.pauses.lock().pause_to_catch_up();
        if let Some(since) = pause {
            log::warn!("this process was paused until {since}; asking peers for what it missed");
            catch_up(&node).await;
            node.pauses.lock().record_caught_up(since);
        }
        sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
}

async fn catch_up(node: &Arc<Node>) {
    for _ in 0..MAX_CATCH_UP_ROUNDS {
        let unanswered = fetch_snapshots(node).await;
        if unanswered == 0 {
            return;
        }
        log::debug!("{unanswered} peers did not report what this process missed in a pause");
    }
}

/// Waits until this process may rely on its view of the peers. Returns false if that is not so within `limit`.
pub(crate) async fn wait_until_settled(node: &Node, limit: TimeMs) -> bool {
    let until = Instant::now() + Duration::from_millis(limit.get());
    while !node.pauses.lock().is_settled(node.now()) {
        if Instant::now() >= until {
            return false;
        }
        sleep(Duration::from_millis(TICK_INTERVAL_MS)).await;
    }
    true
}
