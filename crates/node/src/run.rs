//! Runs: answers that are kept apart from the engine's stream and from the caller's connection.
//!
//! The engine's stream fills a [`Run`]; the caller reads from it at its own pace. A slow reader therefore holds no slot
//! at an engine, and a caller that lost its connection picks the answer up where it stopped. See
//! `docs/design/answers.md`.

mod id;
mod kept;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    time::Duration,
};

use bilberryford_types::Tokens;
use parking_lot::Mutex;
use tokio::{sync::watch, time::timeout};

pub(crate) use id::{RunName, RunPlace};
pub(crate) use kept::Runs;

use crate::refusal::Refusal;

/// The most bytes of one answer.
const MAX_RUN_BYTES: usize = 2 * 1024 * 1024;
/// The most bytes of all answers that an instance holds.
const MAX_ALL_BYTES: usize = 64 * 1024 * 1024;

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
    Tokens(Vec<String>),
    /// The answer is whole and all of it was read.
    End(RunEnd),
    /// The run failed after all that was read.
    Failed(Refusal),
}

/// The answer does not fit into the bounded buffers.
#[derive(Debug)]
pub(crate) struct RunFull;

#[derive(Debug, Default)]
struct State {
    text: String,
    /// Where each token ends in `text`.
    ends: Vec<usize>,
    end: Option<RunEnd>,
    failure: Option<Refusal>,
}

impl State {
    const fn is_over(&self) -> bool {
        self.end.is_some() || self.failure.is_some()
    }

    fn token(&self, index: usize) -> &str {
        let start = index.checked_sub(1).map_or(0, |before| self.ends[before]);
        &self.text[start..self.ends[index]]
    }
}

/// The answer of one run as far as it has come.
#[derive(Debug)]
pub(crate) struct Run {
    /// The index of the first token that is held; not 0 for a run that was picked up half way.
    first: u32,
    len: AtomicU32,
    state: Mutex<State>,
    changed: watch::Sender<()>,
    readers: watch::Sender<u32>,
    is_handed_over: AtomicBool,
    /// The bytes of all runs of this instance.
    all_bytes: Arc<AtomicUsize>,
}

impl Run {
    fn new(first: u32, all_bytes: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            first,
            len: AtomicU32::new(first),
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            readers: watch::Sender::new(0),
            is_handed_over: AtomicBool::new(false),
            all_bytes,
        })
    }

    /// Adds the next token.
    pub(crate) fn push(&self, text: &str) -> Result<(), RunFull> {
        let mut state = self.state.lock();
        let bytes = state.text.len() + text.len();
        let all = self.all_bytes.fetch_add(text.len(), Ordering::Relaxed) + text.len();
        if bytes > MAX_RUN_BYTES || all > MAX_ALL_BYTES {
            self.all_bytes.fetch_sub(text.len(), Ordering::Relaxed);
            return Err(RunFull);
        }
        state.text.push_str(text);
        state.ends.push(bytes);
        drop(state);
        self.len.fetch_add(1, Ordering::Release);
        self.changed.send_replace(());
        Ok(())
    }

    /// Marks the answer as whole.
    pub(crate) fn finish(&self, end: RunEnd) {
        self.state.lock().end = Some(end);
        self.changed.send_replace(());
    }

    /// Marks the run as failed.
    pub(crate) fn fail(&self, refusal: Refusal) {
        self.state.lock().failure = Some(refusal);
        self.changed.send_replace(());
    }

    /// How many tokens have come, those before the first that is held included.
    pub(crate) fn len(&self) -> u32 {
        self.len.load(Ordering::Acquire)
    }

    /// The index of the first token that is held.
    pub(crate) const fn first(&self) -> u32 {
        self.first
    }

    /// The text of all tokens so far.
    pub(crate) fn text(&self) -> String {
        self.state.lock().text.clone()
    }

    /// Whether the run is over, whole or failed.
    pub(crate) fn is_over(&self) -> bool {
        self.state.lock().is_over()
    }

    fn progress(&self, from: u32) -> Option<Progress> {
        let state = self.state.lock();
        let from = from.saturating_sub(self.first) as usize;
        if from < state.ends.len() {
            let tokens = (from..state.ends.len()).map(|index| state.token(index).to_owned());
            return Some(Progress::Tokens(tokens.collect()));
        }
        match (state.end, state.failure) {
            (Some(end), _) => Some(Progress::End(end)),
            (None, Some(refusal)) => Some(Progress::Failed(refusal)),
            (None, None) => None,
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

    /// Counts a reader until the guard is dropped.
    pub(crate) fn read(self: &Arc<Self>) -> Reading {
        self.readers.send_modify(|count| *count += 1);
        Reading { run: self.clone() }
    }

    /// Takes note that another instance follows the run for the caller.
    pub(crate) fn mark_handed_over(&self) {
        self.is_handed_over.store(true, Ordering::Release);
    }

    /// Whether another instance follows the run.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::Acquire)
    }

    /// Waits until nobody has read the run for `limit`.
    pub(crate) async fn abandoned(&self, limit: Duration) {
        let mut readers = self.readers.subscribe();
        loop {
            let _ = readers.wait_for(|count| *count == 0).await;
            if timeout(limit, readers.wait_for(|count| *count > 0)).await.is_err() {
                return;
            }
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.all_bytes.fetch_sub(self.state.get_mut().text.len(), Ordering::Relaxed);
    }
}

/// A reader of a run.
pub(crate) struct Reading {
    run: Arc<Run>,
}

impl Reading {
    /// The run that is read.
    pub(crate) fn run(&self) -> &Run {
        &self.run
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        self.run.readers.send_modify(|count| *count -= 1);
    }
}
