//! The weight store: it hands weights to engines at a limited rate and keeps a book of how many loaded at once.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// How many loads run at full speed; more share the rate of these.
const FULL_SPEED_LOADS: u32 = 2;

/// What can be switched on.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// That many next loads fail at their end.
    pub fail_loads: u32,
    /// Every load takes that much longer, in milliseconds.
    pub slow_ms: u64,
}

/// Loads as they were.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Loads that were started.
    pub started: u64,
    /// Loads that came to their end.
    pub finished: u64,
    /// Loads that failed.
    pub failed: u64,
    /// Loads that run now.
    pub running: u32,
    /// The most loads that ran at once.
    pub max_running: u32,
}

/// A weight store.
#[derive(Debug)]
pub struct WeightStore {
    load_ms: u64,
    state: Mutex<(Stats, Faults)>,
}

/// A load that is counted until it is dropped, also when its engine crashes.
struct Load<'a>(&'a WeightStore);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.state.lock().0.running -= 1;
    }
}

impl WeightStore {
    /// A store that takes `load_ms` for a load when no more than two run at once.
    pub fn new(load_ms: u64) -> Arc<Self> {
        Arc::new(Self { load_ms, state: Mutex::default() })
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().1 = faults;
    }

    /// The loads so far.
    pub fn stats(&self) -> Stats {
        self.state.lock().0
    }

    /// Loads weights; false when the load failed.
    pub async fn load(&self) -> bool {
        let (running, slow_ms) = {
            let (book, faults) = &mut *self.state.lock();
            book.started += 1;
            book.running += 1;
            book.max_running = book.max_running.max(book.running);
            (book.running, faults.slow_ms)
        };
        let _load = Load(self);
        let share = u64::from(running.max(FULL_SPEED_LOADS));
        sleep(Duration::from_millis(self.load_ms * share / u64::from(FULL_SPEED_LOADS) + slow_ms))
            .await;
        let (book, faults) = &mut *self.state.lock();
        match faults.fail_loads.checked_sub(1) {
            Some(rest) => {
                faults.fail_loads = rest;
                book.failed += 1;
                false
            }
            None => {
                book.finished += 1;
                true
            }
        }
    }
}
