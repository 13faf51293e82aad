//! The stream of a run's output over one connection, with the faults of streams.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bilberryford_endpoint::wire::{ChunkBody, EndBody};
use bilberryford_types::{AttemptId, Tokens};
use futures::{Stream, stream};
use tokio::{sync::watch, time::sleep};

use super::{Engine, Output};
use crate::answer;

/// Interval at which a frozen engine checks the fault again.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads a run's output for one connection.
pub(super) struct OutputReader {
    engine: Arc<Engine>,
    attempt: AttemptId,
    output: Arc<Output>,
    changed: watch::Receiver<u32>,
    next_index: u32,
    stall_at: u32,
    cut_at: u32,
    is_finished: bool,
}

impl OutputReader {
    pub(super) fn new(
        engine: Arc<Engine>,
        attempt: AttemptId,
        output: Arc<Output>,
        from: u32,
        is_resumed: bool,
    ) -> Self {
        let faults = engine.faults.lock().clone();
        let limit = |after: u32| if is_resumed || after == 0 { u32::MAX } else { after };
        Self {
            attempt,
            changed: output.tokens.subscribe(),
            output,
            next_index: from,
            stall_at: limit(faults.silent_after_tokens),
            cut_at: limit(faults.cut_after_tokens),
            is_finished: false,
            engine,
        }
    }

    /// Returns the events as a response body.
    pub(super) fn events(self) -> impl Stream<Item = io::Result<String>> {
        stream::unfold(self, |mut reader| async move {
            let events = reader.next_events().await?;
            Some((events, reader))
        })
    }

    async fn next_events(&mut self) -> Option<io::Result<String>> {
        if self.is_finished {
            return None;
        }
        let total = self.output.total;
        let available = *self
            .changed
            .wait_for(|available| *available > self.next_index || *available >= total)
            .await
            .ok()?;
        wait_while_frozen(&self.engine).await;
        let stop = available.min(self.stall_at).min(self.cut_at);
        let mut events = String::new();
        for index in self.next_index..stop {
            self.push_token(&mut events, index);
        }
        self.next_index = self.next_index.max(stop);
        if events.is_empty() && stop < available {
            if stop == self.stall_at {
                std::future::pending::<()>().await;
            }
            self.is_finished = true;
            return Some(Err(io::Error::other("stream cut by an injected fault")));
        }
        if stop >= total {
            self.push_end(&mut events);
            self.is_finished = true;
        }
        Some(Ok(events))
    }

    fn push_token(&self, events: &mut String, index: u32) {
        let faults = self.engine.faults.lock().clone();
        if faults.cross_chunks {
            let attempt = "a-crossed"
                .parse()
                .unwrap_or_else(|_| unreachable!("the name is made of allowed characters"));
            let text = " crossed".to_owned();
            push_event(events, &ChunkBody { attempt, index: Some(index), text, end: None });
        }
        let text = answer::token_for_seed(self.output.seed.load(Ordering::Acquire), index);
        let chunk =
            ChunkBody { attempt: self.attempt.clone(), index: Some(index), text, end: None };
        for _ in 0..=u32::from(faults.duplicate_chunks) {
            push_event(events, &chunk);
        }
    }

    fn push_end(&self, events: &mut String) {
        let mut faults = self.engine.faults.lock();
        if faults.consume_no_end() {
            return;
        }
        let end = EndBody {
            tokens: Tokens(self.output.total + u32::from(faults.consume_wrong_count())),
            cached_tokens: Tokens(self.output.cached_tokens.load(Ordering::Acquire)),
            prompt_tokens: self.output.prompt_tokens,
        };
        let attempt = self.attempt.clone();
        push_event(
            events,
            &ChunkBody { attempt, index: None, text: String::new(), end: Some(end) },
        );
    }
}

/// Waits until the engine is no longer frozen.
pub(super) async fn wait_while_frozen(engine: &Engine) {
    while engine.faults.lock().frozen {
        sleep(FROZEN_POLL_INTERVAL).await;
    }
}

fn push_event(events: &mut String, chunk: &ChunkBody) {
    events.push_str("data: ");
    events.push_str(&serde_json::to_string(chunk).unwrap_or_default());
    events.push_str("\n\n");
}
