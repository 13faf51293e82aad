//! The runs that an instance keeps for callers that come back.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bilberryford_types::{RunId, TeamName};
use parking_lot::Mutex;

use super::{Run, RunName};

/// How many runs are kept.
const MAX_RUNS: usize = 8_192;
/// How many bytes of answers may be held before the oldest finished ones give way.
const KEEP_BYTES: usize = 32 * 1024 * 1024;

#[derive(Default)]
struct Kept {
    by_id: HashMap<RunId, Arc<Run>>,
    oldest_first: VecDeque<RunId>,
}

impl Kept {
    /// Drops the oldest run; one that is not over goes on for its reader and can be found at its endpoint.
    fn drop_oldest(&mut self) -> bool {
        let oldest = self.oldest_first.pop_front();
        oldest.map(|id| self.by_id.remove(&id)).is_some()
    }
}

/// The kept runs, and the signing of run ids.
pub(crate) struct Runs {
    key: [u8; 32],
    kept: Mutex<Kept>,
    all_bytes: Arc<AtomicUsize>,
}

impl Runs {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: blake3::derive_key("bilberryford run ids v1", key.as_bytes()),
            kept: Mutex::default(),
            all_bytes: Arc::default(),
        }
    }

    /// A run without tokens that begins at the token `first`.
    pub(crate) fn begin(&self, first: u32) -> Arc<Run> {
        Run::new(first, self.all_bytes.clone())
    }

    /// The id of a run; only its team can present it. None when the names are too long for one.
    pub(crate) fn id(&self, team: &TeamName, name: &RunName) -> Option<RunId> {
        name.sign(&self.key, team)
    }

    /// What a run id says, when it was signed for `team`.
    pub(crate) fn name(&self, team: &TeamName, id: &RunId) -> Option<RunName> {
        RunName::verify(&self.key, team, id)
    }

    /// Keeps a run for callers that come back; the oldest give way.
    pub(crate) fn keep(&self, id: RunId, run: Arc<Run>) {
        let mut kept = self.kept.lock();
        let is_full = |kept: &Kept| {
            kept.by_id.len() >= MAX_RUNS || self.all_bytes.load(Ordering::Relaxed) > KEEP_BYTES
        };
        while is_full(&kept) && kept.drop_oldest() {}
        if kept.by_id.insert(id.clone(), run).is_none() {
            kept.oldest_first.push_back(id);
        }
    }

    /// Takes note that another instance follows the run: it is not cancelled here any more when its reader goes.
    pub(crate) fn mark_handed_over(&self, id: &RunId) {
        if let Some(run) = self.get(id) {
            run.mark_handed_over();
        }
    }

    /// A run that is kept here.
    pub(crate) fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.kept.lock().by_id.get(id).cloned()
    }
}
