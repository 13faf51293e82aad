//! The work of prompts that other instances have placed since their last load reports.
//!
//! Load pattern: dozens of instances choose among the same engines. Load reports are up to a second apart, and a long prompt
//! keeps an engine busy for a fraction of that, so that several instances pick the same idle engine before any of them learns
//! of the others. A prompt with much work is therefore announced when it is placed. See `docs/design/cost.md`.
//!
//! An announcement counts until the sender's next load report, which contains the prompt, or until its work is likely to be
//! done. A lost one leaves the view as old as the last report.

use std::collections::HashMap;

use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::{
    peer_loads::{EndpointTag, PeerLoad},
    slowness::nominal_ms,
};

/// The least work that is announced, in tokens to prefill: about as long as a round trip of a retry.
const MIN_ANNOUNCED_TOKENS: u64 = 2_000;
/// The number of peers for which the least work is raised by as much again, so that the traffic of a large fleet is bounded.
const PEERS_PER_STEP: usize = 100;
/// The number of peers up to which nothing is announced: load reports to so few are sent several times as often.
const MAX_PEERS_WITHOUT: usize = 10;
/// The most announced prompts of one endpoint that are retained: more than an engine works on at once.
const MAX_PLACED: usize = 128;

/// The announcement of a prompt that the sender has placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedPrompt {
    /// The sender.
    pub instance: String,
    /// The endpoint.
    pub endpoint: EndpointTag,
    /// The priority rank of the prompt.
    pub rank: u8,
    /// The tokens to prefill before its first token.
    pub waiting_tokens: u32,
    /// The memory that it occupies, in tokens.
    pub memory_tokens: u32,
}

/// Returns true if a prompt with `waiting_tokens` to prefill is announced to `peers` peers.
pub fn is_announced(waiting_tokens: u64, peers: usize) -> bool {
    let steps = peers.div_ceil(PEERS_PER_STEP) as u64;
    peers > MAX_PEERS_WITHOUT && waiting_tokens >= MIN_ANNOUNCED_TOKENS * steps
}

#[derive(Debug, Clone)]
struct Work {
    prompt: PlacedPrompt,
    done_ms: TimeMs,
}

/// The announced prompts, by endpoint.
#[derive(Debug, Clone, Default)]
pub struct PlacedPrompts {
    by_endpoint: HashMap<EndpointTag, Vec<Work>>,
}

impl PlacedPrompts {
    /// Adds an announced prompt to an endpoint where `ahead_tokens` are known to wait.
    pub fn add(&mut self, prompt: PlacedPrompt, ahead_tokens: u64, now_ms: TimeMs) {
        let works = self.by_endpoint.entry(prompt.endpoint).or_default();
        works.retain(|work| now_ms < work.done_ms);
        if works.len() < MAX_PLACED {
            let tokens = ahead_tokens + u64::from(prompt.waiting_tokens);
            works.push(Work { prompt, done_ms: now_ms.after(TimeMs(nominal_ms(tokens) as u64)) });
        }
    }

    /// Removes the prompts of an instance: its load report contains those that are still in flight.
    pub fn remove_of(&mut self, instance: &str) {
        self.by_endpoint.retain(|_, works| {
            works.retain(|work| work.prompt.instance != instance);
            !works.is_empty()
        });
    }

    /// Adds the work that is not done yet to the reported load of an endpoint, as a prompt of `rank` sees it.
    pub fn add_to(&self, load: &mut PeerLoad, endpoint: EndpointTag, rank: u8, now_ms: TimeMs) {
        let works = self.by_endpoint.get(&endpoint).into_iter().flatten();
        for Work { prompt, .. } in works.filter(|work| now_ms < work.done_ms) {
            load.in_flight = load.in_flight.saturating_add(1);
            load.memory_tokens += u64::from(prompt.memory_tokens);
            if prompt.rank <= rank {
                load.waiting_tokens += u64::from(prompt.waiting_tokens);
            }
        }
    }
}
