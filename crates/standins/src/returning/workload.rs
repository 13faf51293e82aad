//! Arrivals of one seed: conversations that come back after minutes to days.

use std::collections::BTreeMap;

use bilberryford_cache::{BLOCK_TOKENS, BlockOwner, TransferClass};
use bilberryford_types::Digest;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Deployment;

/// How many conversations are known before the first arrival.
const KNOWN: usize = 12_000;
/// The shortest gap before a conversation returns, in milliseconds.
const MIN_GAP_MS: f64 = 120_000.0;
/// The longest gap, in milliseconds.
const MAX_GAP_MS: f64 = 3.0 * 86_400_000.0;
/// The teams and how often each calls, of their sum.
const TEAM_WEIGHTS: [u32; 10] = [30, 22, 15, 8, 6, 5, 5, 4, 3, 2];
/// The mean load as a share of the prefill that the pool has, were nothing reused.
const LOAD: f64 = 0.7;

/// A conversation before its next turn.
#[derive(Debug, Clone)]
pub(super) struct Conversation {
    pub(super) id: u64,
    pub(super) team: usize,
    pub(super) class: TransferClass,
    pub(super) tokens: u32,
}

/// One request.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) at_ms: u64,
    /// The conversation as it was after its last turn; `tokens` is 0 when it is new.
    pub(super) before: Conversation,
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
}

/// All that happens in a run, the same for every policy.
#[derive(Debug)]
pub(super) struct Workload {
    /// What the stores know at the start, the oldest first.
    pub(super) known: Vec<Conversation>,
    pub(super) arrivals: Vec<Arrival>,
}

fn team_blocks(team: usize) -> usize {
    1 + team % 2
}

/// The names of the full blocks of a conversation that is `tokens` long: its team's prefix, then its own.
pub(super) fn chain(owner: &BlockOwner, team: usize, id: u64, tokens: u32) -> Vec<Digest> {
    let mut previous = *blake3::hash(
        format!("{}/{}/{}", owner.team, owner.model, owner.weight_version).as_bytes(),
    )
    .as_bytes();
    (0..(tokens / BLOCK_TOKENS.get()) as usize)
        .map(|number| {
            let text = if number < team_blocks(team) { u64::MAX } else { id };
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous).update(&text.to_le_bytes());
            previous = *hasher.finalize().as_bytes();
            Digest(previous)
        })
        .collect()
}

struct Draw<'a> {
    deployment: &'a Deployment,
    rng: StdRng,
    next_id: u64,
}

impl Draw<'_> {
    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        (self.rng.random_range(low.ln()..high.ln())).exp()
    }

    fn conversation(&mut self) -> Conversation {
        self.next_id += 1;
        let mut ticket = self.rng.random_range(0..TEAM_WEIGHTS.iter().sum());
        let team = TEAM_WEIGHTS.iter().position(|weight| {
            let is_it = ticket < *weight;
            ticket = ticket.saturating_sub(*weight);
            is_it
        });
        let team = team.unwrap_or(0);
        let is_long = self.rng.random_bool(self.deployment.long_share);
        let (class, (low, high)) = if is_long {
            (TransferClass::Batch, self.deployment.long_tokens)
        } else {
            (TransferClass::Interactive, self.deployment.quick_tokens)
        };
        let prefix = team_blocks(team) as u32 * BLOCK_TOKENS.get();
        let tokens = prefix + self.log_uniform(low, high) as u32;
        Conversation { id: self.next_id, team, class, tokens }
    }

    fn arrival(&mut self, at_ms: u64, before: Conversation) -> Arrival {
        let prompt_tokens = before.tokens + self.rng.random_range(50..400);
        let answer_tokens = self.rng.random_range(50..400);
        Arrival { at_ms, prompt_tokens, before, answer_tokens }
    }
}

impl Workload {
    /// Draws a workload.
    pub(super) fn draw(deployment: &Deployment, seed: u64) -> Self {
        let mut draw = Draw { deployment, rng: StdRng::seed_from_u64(seed), next_id: 0 };
        let mut waiting = BTreeMap::new();
        for _ in 0..KNOWN {
            let age_ms = draw.log_uniform(MIN_GAP_MS, MAX_GAP_MS);
            let conversation = draw.conversation();
            waiting.insert((-(age_ms as i64), conversation.id), conversation);
        }
        let known: Vec<_> = waiting.values().cloned().collect();
        let mean = known.iter().map(|known| f64::from(known.tokens)).sum::<f64>() / KNOWN as f64;
        let per_ms = LOAD * deployment.engines as f64 * deployment.prefill_per_s / 1_000.0 / mean;
        let span_ms = deployment.span_ms as f64;
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            let night = (std::f64::consts::PI * at_ms / span_ms).sin().powi(2);
            let rate = per_ms * (0.8 + 0.4 * night);
            at_ms += -draw.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            if at_ms >= span_ms {
                break;
            }
            let before = if draw.rng.random_bool(deployment.new_share) {
                let fresh = draw.conversation();
                let tokens = fresh.tokens;
                let mut arrival = draw.arrival(at_ms as u64, Conversation { tokens: 0, ..fresh });
                arrival.prompt_tokens = tokens;
                arrivals.push(arrival.clone());
                arrival
            } else {
                let gap_ms = draw.log_uniform(MIN_GAP_MS, MAX_GAP_MS);
                let wanted = ((at_ms - gap_ms) as i64, u64::MAX);
                let earlier = waiting.range(..=wanted).next_back().map(|(key, _)| *key);
                let Some(key) = earlier.or_else(|| waiting.keys().next().copied()) else {
                    continue;
                };
                let Some(conversation) = waiting.remove(&key) else { continue };
                let arrival = draw.arrival(at_ms as u64, conversation);
                arrivals.push(arrival.clone());
                arrival
            };
            let tokens = before.prompt_tokens + before.answer_tokens;
            let conversation = Conversation { tokens, ..before.before };
            waiting.insert((at_ms as i64, conversation.id), conversation);
        }
        Self { known, arrivals }
    }
}
