//! Runs: answers that are kept apart from the engine's stream and from the caller's connection.
//!
//! The engine's stream fills a [`Run`]; the caller reads from it at its own pace. A slow reader therefore holds no slot
//! at an engine, and a caller that lost its connection picks the answer up where it stopped.

use std::{collections::VecDeque, sync::Arc};

use bilberryford_types::{AttemptId, EndpointId, RunId, TeamName, Tokens};
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::refusal::Refusal;

/// How many runs are kept for callers that come back.
const MAX_RUNS: usize = 4_096;
/// How many hexadecimal digits of the signature a run id carries.
const SIGNATURE_DIGITS: usize = 32;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunEnd {
    pub(crate) tokens: Tokens,
    pub(crate) prompt_tokens: Tokens,
}

/// What a reader sees of a run.
#[derive(Debug)]
pub(crate) enum Progress {
    /// These tokens came since.
    Tokens(Vec<Arc<str>>),
    /// The answer is whole and all of it was read.
    End(RunEnd),
    /// The run failed after all that was read.
    Failed,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<Arc<str>>,
    end: Option<RunEnd>,
    refusal: Option<Refusal>,
    is_over: bool,
}

/// The answer of one run as far as it has come.
#[derive(Debug)]
pub(crate) struct Run {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Run {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: watch::Sender::new(0) })
    }

    /// Adds the next token.
    pub(crate) fn push(&self, text: &str) {
        self.state.lock().tokens.push(text.into());
        self.notify();
    }

    /// Marks the answer as whole.
    pub(crate) fn finish(&self, end: RunEnd) {
        let mut state = self.state.lock();
        state.end = Some(end);
        state.is_over = true;
        drop(state);
        self.notify();
    }

    /// Marks the run as failed.
    pub(crate) fn fail(&self, refusal: Refusal) {
        let mut state = self.state.lock();
        state.refusal = Some(refusal);
        state.is_over = true;
        drop(state);
        self.notify();
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// How many tokens have come.
    pub(crate) fn len(&self) -> u32 {
        u32::try_from(self.state.lock().tokens.len()).unwrap_or(u32::MAX)
    }

    /// The text of all tokens so far.
    pub(crate) fn text(&self) -> String {
        self.state.lock().tokens.iter().map(|token| &**token).collect()
    }

    /// The refusal of a run that failed; it is handed out once.
    pub(crate) fn take_refusal(&self) -> Option<Refusal> {
        self.state.lock().refusal.take()
    }

    /// Whether the run is over, whole or failed.
    pub(crate) fn is_over(&self) -> bool {
        self.state.lock().is_over
    }

    fn progress(&self, from: u32) -> Option<Progress> {
        let state = self.state.lock();
        let rest = state.tokens.get(from as usize..).unwrap_or_default();
        if !rest.is_empty() {
            return Some(Progress::Tokens(rest.to_vec()));
        }
        match (state.end, state.is_over) {
            (Some(end), _) => Some(Progress::End(end)),
            (None, true) => Some(Progress::Failed),
            (None, false) => None,
        }
    }

    /// Waits for what comes after the first `from` tokens.
    pub(crate) async fn after(&self, from: u32) -> Progress {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(progress) = self.progress(from) {
                return progress;
            }
            // INVARIANT: the sender lives in `self`, so the channel can't be closed here.
            let _ = changed.changed().await;
        }
    }

    /// Waits until the run is over.
    pub(crate) async fn over(&self) {
        let mut changed = self.changed.subscribe();
        while !self.is_over() {
            let _ = changed.changed().await;
        }
    }
}

/// Where a run can be picked up by an instance that does not keep it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunPlace {
    pub(crate) endpoint: EndpointId,
    pub(crate) attempt: AttemptId,
}

/// The runs that this instance keeps, and the signing of run ids.
pub(crate) struct Runs {
    key: [u8; 32],
    kept: Mutex<VecDeque<(RunId, Arc<Run>)>>,
}

impl Runs {
    pub(crate) fn new(key: &str) -> Self {
        Self {
            key: blake3::derive_key("bilberryford run ids v1", key.as_bytes()),
            kept: Mutex::default(),
        }
    }

    /// The id of a run; only its team can present it, and it says where the run can be picked up.
    pub(crate) fn id(&self, team: &TeamName, place: &RunPlace) -> RunId {
        let RunPlace { endpoint, attempt } = place;
        let signature = self.signature(team, place);
        format!("run:{endpoint}:{attempt}:{signature}")
            .parse()
            .unwrap_or_else(|_| unreachable!("the parts are names and hexadecimal digits"))
    }

    /// Where the run is, when the id was signed for `team`.
    pub(crate) fn place(&self, team: &TeamName, id: &RunId) -> Option<RunPlace> {
        let mut parts = id.as_str().strip_prefix("run:")?.rsplitn(3, ':');
        let signature = parts.next()?;
        let attempt = parts.next()?.parse().ok()?;
        let endpoint = parts.next()?.parse().ok()?;
        let place = RunPlace { endpoint, attempt };
        // Comparing two keyed digests as hashes keeps the time independent of where they differ.
        let is_ours = blake3::hash(signature.as_bytes())
            == blake3::hash(self.signature(team, &place).as_bytes());
        is_ours.then_some(place)
    }

    fn signature(&self, team: &TeamName, place: &RunPlace) -> String {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        for part in [team.as_str(), place.endpoint.as_str(), place.attempt.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize().to_hex()[..SIGNATURE_DIGITS].to_owned()
    }

    /// Keeps a run for callers that come back; the oldest gives way.
    pub(crate) fn keep(&self, id: RunId, run: Arc<Run>) {
        let mut kept = self.kept.lock();
        if kept.len() == MAX_RUNS {
            kept.pop_front();
        }
        kept.push_back((id, run));
    }

    /// A run that is kept here.
    pub(crate) fn get(&self, id: &RunId) -> Option<Arc<Run>> {
        self.kept.lock().iter().rev().find(|(kept, _)| kept == id).map(|(_, run)| run.clone())
    }
}
