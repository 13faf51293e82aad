//! Chooses the endpoint for a request, or says why there is none.
//!
//! The load patterns it answers:
//! - Many requests share long prompt parts. Rendezvous hashing over the last shared part sends them to the same engine
//!   from every instance, without a message between instances.
//! - One part is hot, or an engine is behind. When the engine that the hash names has more waiting prompt tokens than
//!   the least loaded one by a bound, the next in the order of the hash takes the request and fetches the parts from
//!   the first, which costs milliseconds where reading them again costs hundreds.
//! - Plain calls. The endpoint with the fewest of this instance's own requests, the own data centre first.

use std::net::SocketAddr;

use bilberryford_types::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::health::Standing;

/// How many prompt tokens an engine may be behind the least loaded one before a request goes elsewhere: about a tenth
/// of a second of reading at 50 tokens a millisecond.
const AFFINITY_SLACK_TOKENS: u64 = 6_000;
/// What one running request counts in the load of an engine, in tokens: its share of the batch's steps.
const RUNNING_TOKENS: u64 = 400;
/// How many engines a shared part is kept on, before the least loaded one takes a request.
const AFFINITY_WIDTH: usize = 3;

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
    /// The requests of this instance that it has now.
    pub in_flight: u32,
    /// The prompt tokens of this instance that it has yet to read.
    pub waiting_tokens: u64,
    /// Its weights, when the request names a model.
    pub weight_version: Option<u64>,
}

impl Candidate {
    fn load_tokens(&self) -> u64 {
        self.waiting_tokens + u64::from(self.in_flight) * RUNNING_TOKENS
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// What names the longest prompt part that is shared with others.
    pub shared_part: Option<&'a str>,
    /// Whether engines are chosen, by the tokens that they have to read.
    pub is_prompt: bool,
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
    /// It is first for the request's shared part.
    Affinity,
    /// Those before it for the shared part are behind.
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
}

impl Choice {
    const fn none(reason: Reason) -> Self {
        Self { index: None, reason, fetch_from: None }
    }

    const fn of(index: usize, reason: Reason) -> Self {
        Self { index: Some(index), reason, fetch_from: None }
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
    if request.tried.is_empty()
        && let Some(index) = standing(Standing::Trial).next()
    {
        return Choice::of(index, Reason::Trial);
    }
    let sound: Vec<usize> = standing(Standing::Sound).collect();
    if sound.is_empty() {
        let next = untried[(request.draw % untried.len() as u64) as usize];
        return Choice::of(next, Reason::AllBroken);
    }
    if request.is_prompt {
        place_prompt(candidates, &sound, request)
    } else {
        place_call(candidates, &sound, request)
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

fn place_prompt(
    candidates: &[Candidate],
    sound: &[usize],
    request: &PlacementRequest<'_>,
) -> Choice {
    let least = sound.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (candidate.load_tokens(), tie_break(candidate, request.draw))
    });
    let Some(least) = least else { return Choice::none(Reason::NoEndpoint) };
    let Some(part) = request.shared_part else {
        return Choice::of(least, Reason::LeastLoaded);
    };
    let mut ranked = sound.to_vec();
    ranked.sort_by_key(|&index| {
        std::cmp::Reverse(xxh3_64_with_seed(
            candidates[index].id.as_str().as_bytes(),
            xxh3_64_with_seed(part.as_bytes(), 0),
        ))
    });
    let home = ranked[0];
    let bound = candidates[least].load_tokens() + AFFINITY_SLACK_TOKENS;
    let near = ranked
        .iter()
        .copied()
        .take(AFFINITY_WIDTH)
        .find(|&index| candidates[index].load_tokens() <= bound);
    let index = near.unwrap_or(least);
    if index == home {
        return Choice::of(home, Reason::Affinity);
    }
    let is_same_version = candidates[home].weight_version == candidates[index].weight_version;
    let fetch_from = is_same_version.then_some(home);
    Choice { index: Some(index), reason: Reason::Spill, fetch_from }
}
