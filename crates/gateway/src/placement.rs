//! Chooses the endpoint for a request, or says why there is none.
//!
//! The load patterns it answers:
//! - Many requests share long prompt parts, which engines keep in a memory that is too small for all of them. Rendezvous
//!   hashing over the last shared part gives every engine its own parts, alike on every instance.
//! - One part is hot, or an engine is behind or slower than others. The engine with the lowest predicted first token
//!   wins, and being first for the part is worth only what reading or fetching the part would cost.
//! - Long prompts meet at one engine by chance, and its memory runs out: it breaks off the least urgent one, which is read
//!   again from the start; until then the next one waits, whatever the queue. An engine that has room goes before one that has
//!   none, nearly whatever else speaks for it.
//! - A burst on slow endpoints, which take a bounded number of connections from all instances together and reset what is
//!   beyond, whatever ran on it. An endpoint gets no more from one instance than its share.
//! - Plain calls. The endpoint with the fewest requests, the own data centre first.

use std::net::SocketAddr;

use bilberryford_types::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    health::CircuitState,
    part_plan::{PrefixFacts, TOKENS_PER_FETCH_MS},
    peer_loads::EndpointTag,
};

/// What one running request counts in the load of an engine, in tokens: its share of the batch's steps.
const RUNNING_TOKENS: u64 = 250;
/// What being first for the shared part is worth, in tokens: it keeps requests for a part together while nobody has it.
const HOME_TOKENS: u64 = 1_500;
/// What older weights than the preferred ones cost, in tokens: a fifth of a usual prompt's worth, as a wait.
const OLD_WEIGHTS_TOKENS: u64 = 4_000;
/// What it costs to go where memory is short, in readings of the prompt: it waits until others end, or one of them is broken
/// off and read again. From trials with 1, 3 and 8.
const SHORT_READINGS: u64 = 8;
/// How many engines are drawn for a prompt, beside those that have or should have its parts.
const DRAWN: usize = 6;
/// The cached tokens that make an engine one to consider: more than the parts that nearly all prompts share.
const LEAST_CACHED_TOKENS: u64 = 1_000;
/// The slowness of an endpoint without a sample, in hundredths.
const USUAL_PERCENT: u64 = 100;

/// An endpoint as this instance sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// Which life of it.
    pub incarnation: EndpointTag,
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it is in the instance's own data centre.
    pub is_local: bool,
    /// Its circuit.
    pub circuit: CircuitState,
    /// Whether this instance has all the connections there that are its share; one more would be reset.
    pub is_full: bool,
    /// The requests that all instances have there, as far as is known.
    pub in_flight: u32,
    /// The prompt tokens that it has yet to read for them.
    pub waiting_tokens: u64,
    /// The memory that the requests in flight leave, in tokens, where that is known.
    pub free_memory_tokens: Option<u64>,
    /// How much slower than usual it is, in hundredths; none without a sample.
    pub slowness_percent: Option<u32>,
    /// Its weights, when the request names a model.
    pub weight_version: Option<u64>,
    /// What it has and can get of the prompt's shared parts.
    pub prefix: PrefixFacts,
}

impl Candidate {
    /// The predicted time to a first token that needs `tokens` more, in tokens of an engine of usual speed.
    fn cost(&self, tokens: u64) -> u64 {
        let load = self.waiting_tokens + u64::from(self.in_flight) * RUNNING_TOKENS + tokens;
        load * self.slowness_percent.map_or(USUAL_PERCENT, u64::from) / USUAL_PERCENT
    }
}

/// A prompt, as it bears on the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptShape<'a> {
    /// All its tokens.
    pub tokens: u64,
    /// The memory that it needs until its answer ends, in tokens.
    pub memory_tokens: u64,
    /// What names the longest part that it shares with others.
    pub shared_part: Option<&'a str>,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// For prompts.
    pub prompt: Option<PromptShape<'a>>,
    /// The lowest weight version that may be used.
    pub min_weight_version: Option<u64>,
    /// The weight version that is better than older ones, though they may be used.
    pub preferred_weight_version: Option<u64>,
    /// Endpoints that have had this request.
    pub tried: &'a [EndpointId],
    /// A uniform number that breaks ties.
    pub tie_break_seed: u64,
}

/// Why an endpoint was chosen, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is first for the request's shared part, and soon enough.
    Affinity,
    /// It has parts of the prompt in its memory.
    Cached,
    /// Another one is first for the shared part, but later.
    Spill,
    /// It has the least to do.
    LeastLoaded,
    /// Its circuit wants one request as a trial.
    Trial,
    /// All circuits are open; it is the next best.
    #[strum(serialize = "all_broken")]
    AllOpen,
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// Every endpoint has had the request.
    AllTried,
    /// This instance has its share of connections to each endpoint in use.
    AllFull,
    /// No endpoint has weights that may be used.
    OldWeights,
}

/// The outcome of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The index of the candidate.
    pub index: Option<usize>,
    /// Why.
    pub reason: Reason,
    /// What the endpoint is predicted to read or fetch for the request, in tokens read.
    pub work_tokens: u64,
    /// The predicted time to the first token, in tokens of an engine of usual speed.
    pub cost_tokens: u64,
}

impl Choice {
    const fn none(reason: Reason) -> Self {
        Self { index: None, reason, work_tokens: 0, cost_tokens: 0 }
    }

    const fn of(index: usize, reason: Reason) -> Self {
        Self { index: Some(index), reason, work_tokens: 0, cost_tokens: 0 }
    }
}

/// Places a request.
pub fn place(candidates: &[Candidate], request: &PlacementRequest<'_>) -> Choice {
    if candidates.is_empty() {
        return Choice::none(Reason::NoEndpoint);
    }
    let has_weights = |candidate: &Candidate| match request.min_weight_version {
        Some(min) => candidate.weight_version.is_some_and(|version| version >= min),
        None => true,
    };
    let with_weights: Vec<usize> =
        (0..candidates.len()).filter(|&index| has_weights(&candidates[index])).collect();
    if with_weights.is_empty() {
        return Choice::none(Reason::OldWeights);
    }
    let untried: Vec<usize> = with_weights
        .into_iter()
        .filter(|&index| !request.tried.contains(&candidates[index].id))
        .collect();
    if untried.is_empty() {
        return Choice::none(Reason::AllTried);
    }
    let untried: Vec<usize> =
        untried.into_iter().filter(|&index| !candidates[index].is_full).collect();
    if untried.is_empty() {
        return Choice::none(Reason::AllFull);
    }
    let circuit = |wanted: CircuitState| {
        untried.iter().copied().filter(move |&index| candidates[index].circuit == wanted)
    };
    let all_tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
    if request.tried.is_empty()
        && let Some(index) = circuit(CircuitState::HalfOpen).next()
    {
        return Choice { work_tokens: all_tokens, ..Choice::of(index, Reason::Trial) };
    }
    let sound: Vec<usize> = circuit(CircuitState::Closed).collect();
    if sound.is_empty() {
        let next = untried[(request.tie_break_seed % untried.len() as u64) as usize];
        return Choice { work_tokens: all_tokens, ..Choice::of(next, Reason::AllOpen) };
    }
    match request.prompt {
        Some(prompt) => place_prompt(candidates, &sound, request, &prompt),
        None => place_call(candidates, &sound, request),
    }
}

fn tie_break(candidate: &Candidate, tie_break_seed: u64) -> u64 {
    xxh3_64_with_seed(candidate.id.as_str().as_bytes(), tie_break_seed)
}

fn place_call(candidates: &[Candidate], sound: &[usize], request: &PlacementRequest<'_>) -> Choice {
    // A remote endpoint costs bytes between data centres and a millisecond or two: worth it from the second request on.
    let cost = |candidate: &Candidate| 2 * candidate.in_flight + u32::from(!candidate.is_local);
    let best = sound.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (cost(candidate), tie_break(candidate, request.tie_break_seed))
    });
    best.map_or(Choice::none(Reason::NoEndpoint), |index| Choice::of(index, Reason::LeastLoaded))
}

/// The engine that is first for a part.
fn home(candidates: &[Candidate], sound: &[usize], part: &str) -> Option<usize> {
    let seed = xxh3_64_with_seed(part.as_bytes(), 0);
    sound.iter().copied().max_by_key(|&index| tie_break(&candidates[index], seed))
}

fn place_prompt(
    candidates: &[Candidate],
    sound: &[usize],
    request: &PlacementRequest<'_>,
    prompt: &PromptShape<'_>,
) -> Choice {
    let home = prompt.shared_part.and_then(|part| home(candidates, sound, part));
    let work = |index: usize| {
        let prefix = &candidates[index].prefix;
        let got = prefix.cached_tokens + prefix.fetchable_tokens;
        // The cast saturates, and a transfer's time is never negative.
        let fetch = (prefix.fetch_ms * TOKENS_PER_FETCH_MS) as u64;
        prompt.tokens.saturating_sub(got) + fetch
    };
    // With a view that is some requests old, all instances would take the one engine that seems to have the least to do.
    let mut drawn = sound.to_vec();
    drawn.sort_by_key(|&index| tie_break(&candidates[index], request.tie_break_seed));
    let is_special = |index: usize| {
        home == Some(index) || candidates[index].prefix.cached_tokens > LEAST_CACHED_TOKENS
    };
    let special = sound.iter().copied().filter(|&index| is_special(index));
    let considered = drawn.into_iter().take(DRAWN).chain(special);
    let best = considered.min_by_key(|&index| {
        let candidate = &candidates[index];
        let away = if home.is_some() && home != Some(index) { HOME_TOKENS } else { 0 };
        let is_old = request
            .preferred_weight_version
            .is_some_and(|preferred| candidate.weight_version < Some(preferred));
        let old = if is_old { OLD_WEIGHTS_TOKENS } else { 0 };
        let is_short = candidate.free_memory_tokens.is_some_and(|free| free < prompt.memory_tokens);
        let short = if is_short { SHORT_READINGS * prompt.tokens } else { 0 };
        let cost = candidate.cost(work(index) + away + short) + old;
        (cost, tie_break(candidate, request.tie_break_seed))
    });
    let Some(index) = best else { return Choice::none(Reason::NoEndpoint) };
    let reason = match home {
        None => Reason::LeastLoaded,
        Some(home) if home == index => Reason::Affinity,
        Some(_) if candidates[index].prefix.cached_tokens > 0 => Reason::Cached,
        Some(_) => Reason::Spill,
    };
    let work_tokens = work(index);
    let cost_tokens = candidates[index].cost(work_tokens);
    Choice { work_tokens, cost_tokens, ..Choice::of(index, reason) }
}
