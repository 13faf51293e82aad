//! One connection's view of a run's output, with the faults of streams.

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

/// How often a frozen engine looks whether it may go on.
const FROZEN_LOOK: Duration = Duration::from_millis(10);

/// Reads a run's output for one connection.
pub(super) struct Reader {
    engine: Arc<Engine>,
    attempt: AttemptId,
    output: Arc<Output>,
    changed: watch::Receiver<u32>,
    next: u32,
    silent_at: u32,
    cut_at: u32,
    is_over: bool,
}

impl Reader {
    pub(super) fn new(
        engine: Arc<Engine>,
        attempt: AttemptId,
        output: Arc<Output>,
        from: u32,
        is_resumed: bool,
    ) -> Self {
        let faults = engine.faults.lock().clone();
        let at = |after: u32| if is_resumed || after == 0 { u32::MAX } else { after };
        Self {
            attempt,
            changed: output.tokens.subscribe(),
            output,
            next: from,
            silent_at: at(faults.silent_after_tokens),
            cut_at: at(faults.cut_after_tokens),
            is_over: false,
            engine,
        }
    }

    /// The events as a body.
    pub(super) fn events(self) -> impl Stream<Item = io::Result<String>> {
        stream::unfold(self, |mut reader| async move {
            let events = reader.next_events().await?;
            Some((events, reader))
        })
    }

    async fn next_events(&mut self) -> Option<io::Result<String>> {
        if self.is_over {
            return None;
        }
        let total = self.output.total;
        let ready =
            *self.changed.wait_for(|ready| *ready > self.next || *ready >= total).await.ok()?;
        thaw(&self.engine).await;
        let stop = ready.min(self.silent_at).min(self.cut_at);
        let mut events = String::new();
        for index in self.next..stop {
            self.token(&mut events, index);
        }
        self.next = self.next.max(stop);
        if events.is_empty() && stop < ready {
            if stop == self.silent_at {
                std::future::pending::<()>().await;
            }
            self.is_over = true;
            return Some(Err(io::Error::other("cut")));
        }
        if stop >= total {
            self.end(&mut events);
            self.is_over = true;
        }
        Some(Ok(events))
    }

    fn token(&self, events: &mut String, index: u32) {
        let faults = self.engine.faults.lock().clone();
        if faults.cross_chunks {
            let attempt = "a-crossed".parse().unwrap_or_else(|_| unreachable!("a name"));
            let text = " crossed".to_owned();
            push(events, &ChunkBody { attempt, index: Some(index), text, end: None });
        }
        let text = answer::token_for_seed(self.output.seed.load(Ordering::Acquire), index);
        let chunk =
            ChunkBody { attempt: self.attempt.clone(), index: Some(index), text, end: None };
        for _ in 0..=u32::from(faults.duplicate_chunks) {
            push(events, &chunk);
        }
    }

    fn end(&self, events: &mut String) {
        let mut faults = self.engine.faults.lock();
        if faults.take_no_end() {
            return;
        }
        let end = EndBody {
            tokens: Tokens(self.output.total + u32::from(faults.take_wrong_count())),
            cached_tokens: Tokens(self.output.cached_tokens.load(Ordering::Acquire)),
            prompt_tokens: self.output.prompt_tokens,
        };
        let attempt = self.attempt.clone();
        push(events, &ChunkBody { attempt, index: None, text: String::new(), end: Some(end) });
    }
}

/// Waits as long as the engine is frozen.
pub(super) async fn thaw(engine: &Engine) {
    while engine.faults.lock().frozen {
        sleep(FROZEN_LOOK).await;
    }
}

fn push(events: &mut String, chunk: &ChunkBody) {
    events.push_str("data: ");
    events.push_str(&serde_json::to_string(chunk).unwrap_or_default());
    events.push_str("\n\n");
}
