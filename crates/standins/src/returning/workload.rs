//! Generates the arrivals of one seed: conversations that return after minutes to days.

use std::collections::BTreeMap;

use bilberryford_cache::{BLOCK_TOKENS, BlockOwner, TransferClass};
use bilberryford_types::Digest;
use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::Deployment;

/// Conversations that exist before the first arrival.
const KNOWN_CONVERSATIONS: usize = 12_000;
/// Shortest time until a conversation returns.
const MIN_GAP_MS: f64 = 120_000.0;
/// Longest time until a conversation returns.
const MAX_GAP_MS: f64 = 3.0 * 86_400_000.0;
/// Relative request rate of each team.
const TEAM_WEIGHTS: [u32; 10] = [30, 22, 15, 8, 6, 5, 5, 4, 3, 2];
/// Mean load as a share of the pool's prefill throughput, as if no block were reused.
const MEAN_LOAD: f64 = 0.7;

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
    /// The conversation after its previous turn; `tokens` is 0 if it is new.
    pub(super) conversation: Conversation,
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
}

/// The conversations and arrivals of a run, the same for every policy.
#[derive(Debug)]
pub(super) struct Workload {
    /// The conversations in the stores at the start, the oldest first.
    pub(super) known: Vec<Conversation>,
    pub(super) arrivals: Vec<Arrival>,
}

fn team_prefix_blocks(team: usize) -> usize {
    1 + team % 2
}

/// Returns the digests of the full blocks of a conversation of `tokens` tokens: the prefix of its team, then its own.
pub(super) fn chain(owner: &BlockOwner, team: usize, id: u64, tokens: u32) -> Vec<Digest> {
    let mut previous = *blake3::hash(
        format!("{}/{}/{}", owner.team, owner.model, owner.weight_version).as_bytes(),
    )
    .as_bytes();
    (0..(tokens / BLOCK_TOKENS.get()) as usize)
        .map(|number| {
            let text = if number < team_prefix_blocks(team) { u64::MAX } else { id };
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous).update(&text.to_le_bytes());
            previous = *hasher.finalize().as_bytes();
            Digest(previous)
        })
        .collect()
}

struct Generator<'a> {
    deployment: &'a Deployment,
    rng: StdRng,
    next_id: u64,
}

impl Generator<'_> {
    fn log_uniform(&mut self, low: f64, high: f64) -> f64 {
        (self.rng.random_range(low.ln()..high.ln())).exp()
    }

    fn conversation(&mut self) -> Conversation {
        self.next_id += 1;
        let mut remaining = self.rng.random_range(0..TEAM_WEIGHTS.iter().sum());
        let team = TEAM_WEIGHTS.iter().position(|weight| {
            let is_drawn = remaining < *weight;
            remaining = remaining.saturating_sub(*weight);
            is_drawn
        });
        let team = team.unwrap_or(0);
        let is_batch = self.rng.random_bool(self.deployment.batch_share);
        let (class, (low, high)) = if is_batch {
            (TransferClass::Batch, self.deployment.batch_tokens)
        } else {
            (TransferClass::Interactive, self.deployment.interactive_tokens)
        };
        let prefix = team_prefix_blocks(team) as u32 * BLOCK_TOKENS.get();
        let tokens = prefix + self.log_uniform(low, high) as u32;
        Conversation { id: self.next_id, team, class, tokens }
    }

    fn arrival(&mut self, at_ms: u64, conversation: Conversation) -> Arrival {
        let prompt_tokens = conversation.tokens + self.rng.random_range(50..400);
        let answer_tokens = self.rng.random_range(50..400);
        Arrival { at_ms, prompt_tokens, conversation, answer_tokens }
    }
}

impl Workload {
    /// Generates the workload of a seed.
    pub(super) fn generate(deployment: &Deployment, seed: u64) -> Self {
        let mut generator = Generator { deployment, rng: StdRng::seed_from_u64(seed), next_id: 0 };
        let mut waiting = BTreeMap::new();
        for _ in 0..KNOWN_CONVERSATIONS {
            let age_ms = generator.log_uniform(MIN_GAP_MS, MAX_GAP_MS);
            let conversation = generator.conversation();
            waiting.insert((-(age_ms as i64), conversation.id), conversation);
        }
        let known: Vec<_> = waiting.values().cloned().collect();
        let mean = known.iter().map(|known| f64::from(known.tokens)).sum::<f64>()
            / KNOWN_CONVERSATIONS as f64;
        let per_ms = MEAN_LOAD * deployment.engines as f64 * deployment.prefill_tokens_per_s
            / 1_000.0
            / mean;
        let duration_ms = deployment.duration_ms as f64;
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            let load_cycle = (std::f64::consts::PI * at_ms / duration_ms).sin().powi(2);
            let rate = per_ms * (0.8 + 0.4 * load_cycle);
            at_ms += -generator.rng.random_range(f64::EPSILON..1.0_f64).ln() / rate;
            if at_ms >= duration_ms {
                break;
            }
            let arrived = if generator.rng.random_bool(deployment.new_share) {
                let new = generator.conversation();
                let tokens = new.tokens;
                let mut arrival =
                    generator.arrival(at_ms as u64, Conversation { tokens: 0, ..new });
                arrival.prompt_tokens = tokens;
                arrivals.push(arrival.clone());
                arrival
            } else {
                let gap_ms = generator.log_uniform(MIN_GAP_MS, MAX_GAP_MS);
                let wanted = ((at_ms - gap_ms) as i64, u64::MAX);
                let earlier = waiting.range(..=wanted).next_back().map(|(key, _)| *key);
                let Some(key) = earlier.or_else(|| waiting.keys().next().copied()) else {
                    continue;
                };
                let Some(conversation) = waiting.remove(&key) else { continue };
                let arrival = generator.arrival(at_ms as u64, conversation);
                arrivals.push(arrival.clone());
                arrival
            };
            let tokens = arrived.prompt_tokens + arrived.answer_tokens;
            let conversation = Conversation { tokens, ..arrived.conversation };
            waiting.insert((at_ms as i64, conversation.id), conversation);
        }
        Self { known, arrivals }
    }
}
