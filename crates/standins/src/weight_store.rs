//! The store that engines load weights from, with a limited rate and counters of concurrent loads.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// The number of concurrent loads at full speed; more than these share the same total rate.
const FULL_SPEED_LOADS: u32 = 2;

/// Faults that can be injected into a weight store.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The number of next loads that fail at their end.
    pub fail_loads: u32,
    /// Extra time per load in milliseconds.
    pub slow_ms: u64,
}

/// Counters of loads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Loads that were started.
    pub started: u64,
    /// Loads that completed.
    pub finished: u64,
    /// Loads that failed.
    pub failed: u64,
    /// Loads in progress.
    pub running: u32,
    /// The highest number of concurrent loads.
    pub max_running: u32,
}

/// A store of weights that engines load from.
#[derive(Debug)]
pub struct WeightStore {
    load_ms: u64,
    state: Mutex<(Stats, Faults)>,
}

/// Counts a load as running until it is dropped, also if its engine crashes.
struct Load<'a>(&'a WeightStore);

impl Drop for Load<'_> {
    fn drop(&mut self) {
        self.0.state.lock().0.running -= 1;
    }
}

impl WeightStore {
    /// Creates a store whose loads take `load_ms` each while no more than two run concurrently.
    pub fn new(load_ms: u64) -> Arc<Self> {
        Arc::new(Self { load_ms, state: Mutex::default() })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().1 = faults;
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> Stats {
        self.state.lock().0
    }

    /// Loads weights. Returns false if the load failed.
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
