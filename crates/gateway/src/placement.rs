//! Chooses the endpoint for a request, or says why there is none.
//!
//! The load patterns it answers:
//! - Many requests share long prompt parts, which engines keep in a memory that is too small for all of them. Rendezvous
//!   hashing over the last shared part gives every engine its own parts, alike on every instance.
//! - One part is hot, or an engine is behind or slower than others. The engine with the lowest predicted first token
//!   wins, and being first for the part is worth only what reading or fetching the part would cost.
//! - Plain calls. The endpoint with the fewest requests, the own data centre first.

use std::net::SocketAddr;

use bilberryford_types::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::health::Standing;

/// What one running request counts in the load of an engine, in tokens: its share of the batch's steps.
const RUNNING_TOKENS: u64 = 250;
/// What a shared part costs on the engine that is first for it, in hundredths of its tokens: it may have been dropped.
const HOME_PERCENT: u64 = 15;
/// What a part costs that is fetched from a store, in hundredths of its tokens: the transfer against the reading.
const FETCHED_PERCENT: u64 = 35;
/// What a part costs that is fetched from the memory of the engine that is first for it.
const FROM_HOME_PERCENT: u64 = 60;
/// The slowness of an endpoint without a sample, in hundredths.
const USUAL_PERCENT: u64 = 100;

/// An endpoint as this instance sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it is in the instance's own data centre.
    pub is_local: bool,
    /// Its circuit.
    pub standing: Standing,
    /// The requests that all instances have there, as far as is known.
    pub in_flight: u32,
    /// The prompt tokens that it has yet to read for them.
    pub waiting_tokens: u64,
    /// How much slower than usual it is, in hundredths; none without a sample.
    pub slowness_percent: Option<u32>,
    /// Its weights, when the request names a model.
    pub weight_version: Option<u64>,
}

impl Candidate {
    /// The predicted time to a first token that needs `tokens` more, in tokens of an engine of usual speed.
    fn cost(&self, tokens: u64) -> u64 {
        let load = self.waiting_tokens + u64::from(self.in_flight) * RUNNING_TOKENS + tokens;
        load * self.slowness_percent.map_or(USUAL_PERCENT, u64::from) / USUAL_PERCENT
    }
}

/// The part of a prompt that requests share, as it bears on the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPart<'a> {
    /// What names the longest shared part.
    pub id: &'a str,
    /// The tokens of all shared parts.
    pub tokens: u64,
    /// How many of them a store has.
    pub stored_tokens: u64,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// For prompts that share parts with others.
    pub shared: Option<SharedPart<'a>>,
    /// For prompts, the tokens that no other request has.
    pub own_tokens: Option<u64>,
    /// The lowest weight version that may be used.
    pub min_weight_version: Option<u64>,
    /// Endpoints that have had this request.
    pub tried: &'a [EndpointId],
    /// A uniform number that breaks ties.
    pub draw: u64,
}

/// Why an endpoint was chosen, or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is first for the request's shared part, and soon enough.
    Affinity,
    /// Another one is first for the shared part, but later.
    Spill,
    /// It has the least to do.
    LeastLoaded,
    /// Its circuit wants one request as a trial.
    Trial,
    /// All circuits are open; it is the next best.
    AllBroken,
    /// The service has no endpoint that takes work.
    NoEndpoint,
    /// Every endpoint has had the request.
    AllTried,
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
    /// The candidate whose memory may hold the shared parts.
    pub fetch_from: Option<usize>,
    /// The tokens that the endpoint is predicted to read or fetch for the request.
    pub work_tokens: u64,
}

impl Choice {
    const fn none(reason: Reason) -> Self {
        Self { index: None, reason, fetch_from: None, work_tokens: 0 }
    }

    const fn of(index: usize, reason: Reason) -> Self {
        Self { index: Some(index), reason, fetch_from: None, work_tokens: 0 }
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
    let standing = |wanted: Standing| {
        untried.iter().copied().filter(move |&index| candidates[index].standing == wanted)
    };
    let all_tokens =
        request.own_tokens.unwrap_or(0) + request.shared.map_or(0, |shared| shared.tokens);
    if request.tried.is_empty()
        && let Some(index) = standing(Standing::Trial).next()
    {
        return Choice { work_tokens: all_tokens, ..Choice::of(index, Reason::Trial) };
    }
    let sound: Vec<usize> = standing(Standing::Sound).collect();
    if sound.is_empty() {
        let next = untried[(request.draw % untried.len() as u64) as usize];
        return Choice { work_tokens: all_tokens, ..Choice::of(next, Reason::AllBroken) };
    }
    match request.own_tokens {
        Some(own_tokens) => place_prompt(candidates, &sound, request, own_tokens),
        None => place_call(candidates, &sound, request),
    }
}

fn tie_break(candidate: &Candidate, draw: u64) -> u64 {
    xxh3_64_with_seed(candidate.id.as_str().as_bytes(), draw)
}

fn place_call(
    candidates: &[Candidate],
    sound: &[usize],
    request: &PlacementRequest<'_>,
) -> Choice {
    // A remote endpoint costs bytes between data centres and a millisecond or two: worth it from the second request on.
    let cost = |candidate: &Candidate| 2 * candidate.in_flight + u32::from(!candidate.is_local);
    let best = sound.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (cost(candidate), tie_break(candidate, request.draw))
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
    own_tokens: u64,
) -> Choice {
    let home = request.shared.and_then(|shared| home(candidates, sound, shared.id));
    let work = |index: usize| {
        let Some(shared) = request.shared else { return own_tokens };
        let unstored = shared.tokens.saturating_sub(shared.stored_tokens);
        let percent = |tokens: u64, percent: u64| tokens * percent / 100;
        let shared_work = if home == Some(index) {
            percent(shared.stored_tokens, HOME_PERCENT) + unstored
        } else if shared.stored_tokens > 0 {
            percent(shared.stored_tokens, FETCHED_PERCENT) + unstored
        } else {
            // An engine that is not first reads the part that the first one may be reading, too.
            percent(unstored, 100 + FROM_HOME_PERCENT)
        };
        own_tokens + shared_work
    };
    let best = sound.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (candidate.cost(work(index)), tie_break(candidate, request.draw))
    });
    let Some(index) = best else { return Choice::none(Reason::NoEndpoint) };
    let work_tokens = work(index);
    let Some(home) = home else {
        return Choice { work_tokens, ..Choice::of(index, Reason::LeastLoaded) };
    };
    if index == home {
        return Choice { work_tokens, ..Choice::of(index, Reason::Affinity) };
    }
    let is_same_version = candidates[home].weight_version == candidates[index].weight_version;
    let fetch_from = is_same_version.then_some(home);
    Choice { index: Some(index), reason: Reason::Spill, fetch_from, work_tokens }
}
