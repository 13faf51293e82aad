//! An engine's own record of what it was given, against which the product's word is checked.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bilberryford_endpoint::wire::CompletionBody;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Starts the prompts whose first word names their team.
const TEAM_MARK: &str = "team:";

#[derive(Debug, Default)]
struct State {
    started: HashMap<u64, u32>,
    cross_team: u64,
    leaving_since: Option<Instant>,
    last_accept_after_leaving: Duration,
}

/// The record; it outlives a crash of the engine.
#[derive(Debug, Default)]
pub struct RunLedger(Mutex<State>);

/// The prompt of a load caller: it names its team, so that an engine can see whose it is.
pub fn prompt_for_team(team: &str, text: &str) -> String {
    format!("{TEAM_MARK}{team} {text}")
}

impl RunLedger {
    /// Records a run that the engine accepted.
    pub fn record(&self, body: &CompletionBody) {
        let mut state = self.0.lock();
        *state.started.entry(xxh3_64(body.prompt.as_bytes())).or_default() += 1;
        let named = body.prompt.strip_prefix(TEAM_MARK).and_then(|rest| rest.split(' ').next());
        if named.is_some_and(|named| named != body.team.as_str()) {
            state.cross_team += 1;
        }
        if let Some(since) = state.leaving_since {
            state.last_accept_after_leaving = state.last_accept_after_leaving.max(since.elapsed());
        }
    }

    /// Marks the engine as leaving from now on.
    pub fn mark_leaving(&self) {
        self.0.lock().leaving_since = Some(Instant::now());
    }

    /// How long after it began to leave the engine was last given new work.
    pub fn last_accept_after_leaving(&self) -> Duration {
        self.0.lock().last_accept_after_leaving
    }

    /// How often a prompt was started here.
    pub fn started(&self, prompt: &str) -> u32 {
        self.0.lock().started.get(&xxh3_64(prompt.as_bytes())).copied().unwrap_or(0)
    }

    /// How many prompts came under the name of another team.
    pub fn cross_team(&self) -> u64 {
        self.0.lock().cross_team
    }
}
