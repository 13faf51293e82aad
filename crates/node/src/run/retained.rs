//! The runs that an instance retains for callers that reconnect.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bilberryford_types::{RunId, TeamName};
use parking_lot::Mutex;

use super::{Run, RunLocator};

/// The most runs that are retained.
const MAX_RETAINED_RUNS: usize = 8_192;
/// The total size of response texts above which the oldest runs are evicted, in bytes.
const EVICTION_THRESHOLD_BYTES: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct RetainedRuns {
    by_id: HashMap<RunId, Arc<Run>>,
    oldest_first: VecDeque<RunId>,
}

impl RetainedRuns {
    /// Evicts the oldest run. A run that has not ended continues for its reader and can be found at its endpoint.
    ///
    /// Returns false if there was none.
    fn evict_oldest(&mut self) -> bool {
        let oldest = self.oldest_first.pop_front();
        oldest.map(|id| self.by_id.remove(&id)).is_some()
    }
}

/// The retained runs, and the key that signs run ids.
pub(crate) struct RunRegistry {
    key: [u8; 32],
    retained: Mutex<RetainedRuns>,
    total_bytes: Arc<AtomicUsize>,
}

impl RunRegistry {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: blake3::derive_key("bilberryford run ids v1", key.as_bytes()),
            retained: Mutex::default(),
            total_bytes: Arc::default(),
        }
    }

    /// Creates an empty run whose first token has the index `first`.
    pub(crate) fn create(&self, first: u32) -> Arc<Run> {
        Run::new(first, self.total_bytes.clone())
    }

    /// Returns the id of a run, which only `team` can present; none if the names in it are too long for an id.
    pub(crate) fn sign_id(&self, team: &TeamName, locator: &RunLocator) -> Option<RunId> {
        locator.sign(&self.key, team)
    }

    /// Returns the content of a run id, if it was signed for `team`.
    pub(crate) fn verify_id(&self, team: &TeamName, id: &RunId) -> Option<RunLocator> {
        RunLocator::verify(&self.key, team, id)
    }

    /// Retains a run for callers that reconnect; evicts the oldest runs to stay within the limits.
    pub(crate) fn retain(&self, id: RunId, run: Arc<Run>) {
        let mut retained = self.retained.lock();
        let is_full = |retained: &RetainedRuns| {
            retained.by_id.len() >= MAX_RETAINED_RUNS
                || self.total_bytes.load(Ordering::Relaxed) > EVICTION_THRESHOLD_BYTES
        };
        while is_full(&retained) && retained.evict_oldest() {}
        if retained.by_id.insert(id.clone(), run).is_none() {
            retained.oldest_first.push_back(id);
        }
    }

    /// Records that another instance relays the run, which is then no longer cancelled here for lack of readers.
    pub(crate) fn mark_handed_over(&self, id: &RunId) {
        if let Some(run) = self.get(id) {
            run.mark_handed_over();
        }
    }

    /// Returns a retained run.
    pub(crate) fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.retained.lock().by_id.get(id).cloned()
    }
}
