//! Runs: buffers between an engine's stream and the caller's connection.
//!
//! A [`Run`] buffers all tokens that the engine streams, and the caller reads from it at its own pace. A slow reader
//! therefore holds no slot at an engine, and a caller whose connection was lost resumes where it stopped. See
//! `docs/design/answers.md`.

mod id;
mod retained;

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

pub(crate) use id::{RunLocation, RunLocator};
pub(crate) use retained::RunRegistry;

use crate::refusal::Refusal;

/// The largest response text, in bytes.
const MAX_RUN_BYTES: usize = 2 * 1024 * 1024;
/// The largest total size of the response texts that an instance holds, in bytes.
const MAX_TOTAL_BYTES: usize = 64 * 1024 * 1024;

/// The token counts of a complete run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RunEnd {
    pub(crate) tokens: Tokens,
    pub(crate) prompt_tokens: Tokens,
}

/// The next state of a run for a reader.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Tokens that the reader has not read yet.
    Tokens(Vec<String>),
    /// The response is complete, and the reader has read all of it.
    End(RunEnd),
    /// The run failed, and the reader has read all tokens before the failure.
    Failed(Refusal),
}

/// The response exceeds the limit of its run or of the instance.
#[derive(Debug)]
pub(crate) struct BufferFull;

#[derive(Debug, Default)]
struct RunState {
    text: String,
    /// The end offset of each token in `text`.
    token_ends: Vec<usize>,
    end: Option<RunEnd>,
    failure: Option<Refusal>,
}

impl RunState {
    const fn is_ended(&self) -> bool {
        self.end.is_some() || self.failure.is_some()
    }

    fn token(&self, index: usize) -> &str {
        let start = index.checked_sub(1).map_or(0, |previous| self.token_ends[previous]);
        &self.text[start..self.token_ends[index]]
    }
}

/// The tokens of one run, as far as they have arrived.
#[derive(Debug)]
pub(crate) struct Run {
    /// The index of the first buffered token; not 0 for a run that was resumed from a later token.
    first: u32,
    token_count: AtomicU32,
    state: Mutex<RunState>,
    changed: watch::Sender<()>,
    reader_count: watch::Sender<u32>,
    is_handed_over: AtomicBool,
    /// The text bytes of all runs of this instance.
    total_bytes: Arc<AtomicUsize>,
}

impl Run {
    fn new(first: u32, total_bytes: Arc<AtomicUsize>) -> Arc<Self> {
        Arc::new(Self {
            first,
            token_count: AtomicU32::new(first),
            state: Mutex::default(),
            changed: watch::Sender::new(()),
            reader_count: watch::Sender::new(0),
            is_handed_over: AtomicBool::new(false),
            total_bytes,
        })
    }

    /// Appends the next token.
    pub(crate) fn push(&self, text: &str) -> Result<(), BufferFull> {
        let mut state = self.state.lock();
        let bytes = state.text.len() + text.len();
        let total = self.total_bytes.fetch_add(text.len(), Ordering::Relaxed) + text.len();
        if bytes > MAX_RUN_BYTES || total > MAX_TOTAL_BYTES {
            self.total_bytes.fetch_sub(text.len(), Ordering::Relaxed);
            return Err(BufferFull);
        }
        state.text.push_str(text);
        state.token_ends.push(bytes);
        drop(state);
        self.token_count.fetch_add(1, Ordering::Release);
        self.changed.send_replace(());
        Ok(())
    }

    /// Marks the response as complete.
    pub(crate) fn complete(&self, end: RunEnd) {
        self.state.lock().end = Some(end);
        self.changed.send_replace(());
    }

    /// Marks the run as failed.
    pub(crate) fn fail(&self, refusal: Refusal) {
        self.state.lock().failure = Some(refusal);
        self.changed.send_replace(());
    }

    /// The number of tokens received, including those before the first buffered token.
    pub(crate) fn token_count(&self) -> u32 {
        self.token_count.load(Ordering::Acquire)
    }

    /// The index of the first buffered token.
    pub(crate) const fn first(&self) -> u32 {
        self.first
    }

    /// The text of all buffered tokens.
    pub(crate) fn text(&self) -> String {
        self.state.lock().text.clone()
    }

    /// Returns true if the run is complete or has failed.
    pub(crate) fn is_ended(&self) -> bool {
        self.state.lock().is_ended()
    }

    fn progress_now(&self, from: u32) -> Option<Progress> {
        let state = self.state.lock();
        let from = from.saturating_sub(self.first) as usize;
        if from < state.token_ends.len() {
            let tokens = (from..state.token_ends.len()).map(|index| state.token(index).to_owned());
            return Some(Progress::Tokens(tokens.collect()));
        }
        match (state.end, state.failure) {
            (Some(end), _) => Some(Progress::End(end)),
            (None, Some(refusal)) => Some(Progress::Failed(refusal)),
            (None, None) => None,
        }
    }

    /// Waits for progress after the first `from` tokens.
    pub(crate) async fn progress_after(&self, from: u32) -> Progress {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(progress) = self.progress_now(from) {
                return progress;
            }
            // INVARIANT: `self` owns the sender, so the channel can't be closed here.
            let _ = changed.changed().await;
        }
    }

    /// Waits until the run is complete or has failed.
    pub(crate) async fn wait_until_ended(&self) {
        let mut changed = self.changed.subscribe();
        while !self.is_ended() {
            let _ = changed.changed().await;
        }
    }

    /// Registers a reader until the guard is dropped.
    pub(crate) fn add_reader(self: &Arc<Self>) -> ReaderGuard {
        self.reader_count.send_modify(|count| *count += 1);
        ReaderGuard { run: self.clone() }
    }

    /// Records that another instance now relays the run to the caller.
    pub(crate) fn mark_handed_over(&self) {
        self.is_handed_over.store(true, Ordering::Release);
    }

    /// Returns true if another instance relays the run to the caller.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.is_handed_over.load(Ordering::Acquire)
    }

    /// Waits until the run has had no reader for the time `limit`.
    pub(crate) async fn wait_until_abandoned(&self, limit: Duration) {
        let mut reader_count = self.reader_count.subscribe();
        loop {
            let _ = reader_count.wait_for(|count| *count == 0).await;
            if timeout(limit, reader_count.wait_for(|count| *count > 0)).await.is_err() {
                return;
            }
        }
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.total_bytes.fetch_sub(self.state.get_mut().text.len(), Ordering::Relaxed);
    }
}

/// A registered reader of a run.
pub(crate) struct ReaderGuard {
    run: Arc<Run>,
}

impl ReaderGuard {
    /// The run.
    pub(crate) fn run(&self) -> &Run {
        &self.run
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.run.reader_count.send_modify(|count| *count -= 1);
    }
}
