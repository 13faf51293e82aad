//! An engine's record of the runs that it accepted, against which bilberryford's reports are checked.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bilberryford_endpoint::wire::CompletionBody;
use parking_lot::Mutex;
use xxhash_rust::xxh3::xxh3_64;

/// Prefix of prompts whose first word names their team.
const TEAM_PREFIX: &str = "team:";

#[derive(Debug, Default)]
struct Records {
    started: HashMap<u64, u32>,
    cross_team: u64,
    leaving_since: Option<Instant>,
    last_accept_after_leaving: Duration,
}

/// The record of accepted runs; it survives a crash of the engine.
#[derive(Debug, Default)]
pub struct RunLedger(Mutex<Records>);

/// Returns a prompt that names its team, so that an engine can detect a run under another team's name.
pub fn prompt_for_team(team: &str, text: &str) -> String {
    format!("{TEAM_PREFIX}{team} {text}")
}

impl RunLedger {
    /// Records an accepted run.
    pub fn record(&self, body: &CompletionBody) {
        let mut records = self.0.lock();
        *records.started.entry(xxh3_64(body.prompt.as_bytes())).or_default() += 1;
        let prompt_team =
            body.prompt.strip_prefix(TEAM_PREFIX).and_then(|rest| rest.split(' ').next());
        if prompt_team.is_some_and(|prompt_team| prompt_team != body.team.as_str()) {
            records.cross_team += 1;
        }
        if let Some(since) = records.leaving_since {
            records.last_accept_after_leaving =
                records.last_accept_after_leaving.max(since.elapsed());
        }
    }

    /// Marks the engine as leaving from now on.
    pub fn mark_leaving(&self) {
        self.0.lock().leaving_since = Some(Instant::now());
    }

    /// Returns the time from the start of leaving to the last run that was accepted.
    pub fn last_accept_after_leaving(&self) -> Duration {
        self.0.lock().last_accept_after_leaving
    }

    /// Returns the number of runs of a prompt.
    pub fn started(&self, prompt: &str) -> u32 {
        self.0.lock().started.get(&xxh3_64(prompt.as_bytes())).copied().unwrap_or(0)
    }

    /// Returns the number of prompts that arrived under another team's name.
    pub fn cross_team(&self) -> u64 {
        self.0.lock().cross_team
    }
}
