//! Chooses the endpoint for a request, or the reason why there is none.
//!
//! The policy balances these concerns:
//! - Many requests share long prompt parts, and an engine's memory is too small for all of them. Rendezvous hashing
//!   over the last shared part gives each part a home engine, the same one on every instance.
//! - One part may be requested far more often than others, and an engine may be behind or slower than others. The
//!   engine with the lowest predicted time to first token wins, and being the home of the part is worth only what
//!   prefilling or fetching the part would cost.
//! - When long prompts meet at one engine, its memory runs out. It preempts the least urgent request, which is
//!   prefilled again from the start; until then the next one waits, whatever the queue. An engine with enough free
//!   memory is therefore preferred over one without, at nearly any cost.
//! - Slow endpoints accept a bounded number of connections from all instances together and reset any connection beyond
//!   it, with the request that runs on it. During a burst an endpoint gets no more than its share from one instance.
//! - A prompt that may crash its endpoint goes to the one with the fewest requests in flight, which are lost with it.
//! - Plain calls go to the endpoint with the fewest requests in flight, preferably in the local data centre.

use std::net::SocketAddr;

use bilberryford_types::{Build, EndpointId, TimeMs};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    health::CircuitState,
    obstacle::Obstacle,
    part_plan::{PrefixFacts, TOKENS_PER_FETCH_MS},
    peer_loads::EndpointTag,
    slowness::nominal_ms,
};

/// The load of one running request on its engine, in tokens: its share of the batch's steps.
const RUNNING_TOKENS: u64 = 250;
/// The bonus of the shared part's home engine, in tokens: it keeps requests for a part together while no engine has it.
const HOME_TOKENS: u64 = 1_500;
/// The penalty for older weights than the preferred ones, in tokens: the time to prefill a fifth of a usual prompt.
const OLD_WEIGHTS_TOKENS: u64 = 4_000;
/// The penalty for too little free memory, in prefills of the prompt: the prompt waits until others end, or one of them
/// is preempted and prefilled again.
const SHORT_MEMORY_PREFILLS: u64 = 8;
/// The engines that are sampled at random for a prompt, beside those that have or should have its parts.
const SAMPLED_ENGINES: usize = 6;
/// An engine with more cached tokens than this is always considered: more than the parts that nearly all prompts share.
const MIN_CACHED_TOKENS: u64 = 1_000;
/// The slowness of an endpoint without a sample, in percent of the nominal time.
const NOMINAL_PERCENT: u64 = 100;

/// An endpoint as this instance sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The endpoint.
    pub id: EndpointId,
    /// Its incarnation.
    pub incarnation: EndpointTag,
    /// Its address.
    pub address: SocketAddr,
    /// The build of its software; none if its entry describes another incarnation.
    pub build: Option<Build>,
    /// True if it is in the data centre of this instance.
    pub is_local: bool,
    /// The state of its circuit.
    pub circuit: CircuitState,
    /// The reason why it must get no request, if there is one.
    pub obstacle: Option<Obstacle>,
    /// The requests of all instances that are in flight there, as far as is known.
    pub in_flight: u32,
    /// The prompt tokens of these requests that it has yet to prefill.
    pub waiting_tokens: u64,
    /// The memory that the requests in flight leave free, in tokens; none where it is unknown.
    pub free_memory_tokens: Option<u64>,
    /// Its response time in percent of the nominal time; none without a sample.
    pub slowness_percent: Option<u32>,
    /// The version of its weights for the request's model; none without a model.
    pub weight_version: Option<u64>,
    /// How long requests may still start on its weights; none while these are the newest published ones.
    pub start_left_ms: Option<TimeMs>,
    /// The shared parts of the prompt that it has in memory or can fetch.
    pub prefix: PrefixFacts,
}

impl Candidate {
    /// The predicted time to first token with `tokens` more to prefill, in tokens of an engine of nominal speed.
    fn cost_tokens(&self, tokens: u64) -> u64 {
        let load = self.waiting_tokens + u64::from(self.in_flight) * RUNNING_TOKENS + tokens;
        load * self.slowness_percent.map_or(NOMINAL_PERCENT, u64::from) / NOMINAL_PERCENT
    }

    /// Returns true if a request with `tokens` to prefill is predicted to start before its weights become too old.
    fn starts_in_time(&self, tokens: u64) -> bool {
        let predicted_ms = nominal_ms(self.cost_tokens(tokens));
        self.start_left_ms.is_none_or(|left_ms| predicted_ms <= left_ms.get() as f64)
    }
}

/// The properties of a prompt that placement uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptShape<'a> {
    /// Its length, in tokens.
    pub tokens: u64,
    /// The memory that it needs until the end of its response, in tokens.
    pub memory_tokens: u64,
    /// The id of the last part that it shares with other prompts.
    pub shared_part: Option<&'a str>,
}

/// The weight versions on which a prompt may start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WeightConstraints {
    /// The oldest version that may be used.
    pub min: Option<u64>,
    /// A version below which this instance does not know until when older ones may be used. Of those, only the newest one that
    /// an endpoint has is used: the time of its successor is that of this version.
    pub uncertain_below: Option<u64>,
    /// The version that is preferred over older ones that may still be used.
    pub preferred: Option<u64>,
}

/// A request to place.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// The prompt; none for a plain call.
    pub prompt: Option<PromptShape<'a>>,
    /// The weight versions on which it may start.
    pub weights: WeightConstraints,
    /// The only build that may serve the request: it began the stream that the request goes on with.
    pub build: Option<&'a Build>,
    /// Endpoints that already received this request.
    pub tried: &'a [EndpointId],
    /// True if it is the trial of something that may crash its endpoint.
    pub is_apart: bool,
    /// A uniform random number that breaks ties.
    pub tie_break_seed: u64,
}

/// The reason why an endpoint was chosen, or why none was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It is the home of the shared part and has the lowest cost.
    Affinity,
    /// It has parts of the prompt in memory.
    Cached,
    /// The home of the shared part has a higher cost.
    Spill,
    /// It has the least load.
    LeastLoaded,
    /// It has the least work that would be lost if this request crashed it.
    Apart,
    /// Its circuit is half-open, and this request is the trial.
    Trial,
    /// No circuit is closed; it was picked at random.
    #[strum(serialize = "all_broken")]
    AllOpen,
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// Every endpoint already received the request.
    AllTried,
    /// This instance uses its full share of connections to each endpoint.
    AllFull,
    /// Each endpoint takes no request for some time, on its own word, or is full.
    AllClosed,
    /// Each endpoint that may serve the request is in a data centre that operators evacuate.
    Evacuated,
    /// No endpoint is in a region that the request is allowed in.
    NoAllowedRegion,
    /// No endpoint has a weight version that may be used, or may still be used when the request is predicted to start.
    OldWeights,
    /// No endpoint has the build that has to serve the request.
    OtherBuild,
}

/// The outcome of a placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The index of the chosen candidate.
    pub index: Option<usize>,
    /// The reason for the choice.
    pub reason: Reason,
    /// The predicted work of the endpoint for the request, in prefilled tokens; fetches are converted.
    pub work_tokens: u64,
    /// The predicted time to first token, in tokens of an engine of nominal speed.
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

/// Chooses one of `candidates` for a request.
pub fn place(candidates: &[Candidate], request: &PlacementRequest<'_>) -> Choice {
    if candidates.is_empty() {
        return Choice::none(Reason::NoEndpoint);
    }
    let has_build = |candidate: &Candidate| {
        request.build.is_none() || candidate.build.as_ref() == request.build
    };
    let with_build: Vec<usize> =
        (0..candidates.len()).filter(|&index| has_build(&candidates[index])).collect();
    if with_build.is_empty() {
        return Choice::none(Reason::OtherBuild);
    }
    let has_weights = |index: &usize, min: Option<u64>| match min {
        Some(min) => candidates[*index].weight_version.is_some_and(|version| version >= min),
        None => true,
    };
    let mut with_weights = with_build;
    with_weights.retain(|index| has_weights(index, request.weights.min));
    if with_weights.is_empty() {
        return Choice::none(Reason::OldWeights);
    }
    if let Some(listed) = request.weights.uncertain_below {
        let versions = with_weights.iter().filter_map(|index| candidates[*index].weight_version);
        let previous = versions.filter(|version| *version < listed).max();
        with_weights.retain(|index| has_weights(index, previous));
    }
    let untried: Vec<usize> = with_weights
        .into_iter()
        .filter(|&index| !request.tried.contains(&candidates[index].id))
        .collect();
    if untried.is_empty() {
        return Choice::none(Reason::AllTried);
    }
    let (usable, blocked): (Vec<usize>, Vec<usize>) =
        untried.into_iter().partition(|&index| candidates[index].obstacle.is_none());
    if usable.is_empty() {
        if blocked.iter().all(|index| candidates[*index].obstacle == Some(Obstacle::Evacuated)) {
            return Choice::none(Reason::Evacuated);
        }
        let is_closed = |index: &usize| {
            let obstacle = candidates[*index].obstacle;
            matches!(obstacle, Some(Obstacle::Closed { .. } | Obstacle::Limited { .. }))
        };
        let reason =
            if blocked.iter().any(is_closed) { Reason::AllClosed } else { Reason::AllFull };
        return Choice::none(reason);
    }
    let with_circuit = |state: CircuitState| {
        usable.iter().copied().filter(move |&index| candidates[index].circuit == state)
    };
    let all_tokens = request.prompt.map_or(0, |prompt| prompt.tokens);
    if request.tried.is_empty()
        && let Some(index) = with_circuit(CircuitState::HalfOpen).next()
    {
        return Choice { work_tokens: all_tokens, ..Choice::of(index, Reason::Trial) };
    }
    let closed: Vec<usize> = with_circuit(CircuitState::Closed).collect();
    if closed.is_empty() {
        let next = usable[(request.tie_break_seed % usable.len() as u64) as usize];
        return Choice { work_tokens: all_tokens, ..Choice::of(next, Reason::AllOpen) };
    }
    match request.prompt {
        Some(prompt) if request.is_apart => place_apart(candidates, &closed, request, &prompt),
        Some(prompt) => place_prompt(candidates, &closed, request, &prompt),
        None => place_call(candidates, &closed, request),
    }
}

fn tie_break(candidate: &Candidate, seed: u64) -> u64 {
    xxh3_64_with_seed(candidate.id.as_str().as_bytes(), seed)
}

fn place_call(
    candidates: &[Candidate],
    closed: &[usize],
    request: &PlacementRequest<'_>,
) -> Choice {
    // A remote endpoint costs traffic between data centres and a millisecond or two. That pays off once the local
    // endpoint has one more request in flight.
    let cost =
        |candidate: &Candidate| 2 * u64::from(candidate.in_flight) + u64::from(!candidate.is_local);
    let best = closed.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (cost(candidate), tie_break(candidate, request.tie_break_seed))
    });
    best.map_or(Choice::none(Reason::NoEndpoint), |index| Choice::of(index, Reason::LeastLoaded))
}

/// The home engine of a part, by rendezvous hashing.
fn home_engine(candidates: &[Candidate], closed: &[usize], part: &str) -> Option<usize> {
    let seed = xxh3_64_with_seed(part.as_bytes(), 0);
    closed.iter().copied().max_by_key(|&index| tie_break(&candidates[index], seed))
}

fn place_apart(
    candidates: &[Candidate],
    closed: &[usize],
    request: &PlacementRequest<'_>,
    prompt: &PromptShape<'_>,
) -> Choice {
    let best = closed.iter().copied().min_by_key(|&index| {
        let candidate = &candidates[index];
        (candidate.in_flight, tie_break(candidate, request.tie_break_seed))
    });
    let Some(index) = best else { return Choice::none(Reason::NoEndpoint) };
    let cost_tokens = candidates[index].cost_tokens(prompt.tokens);
    Choice { work_tokens: prompt.tokens, cost_tokens, ..Choice::of(index, Reason::Apart) }
}

fn place_prompt(
    candidates: &[Candidate],
    closed: &[usize],
    request: &PlacementRequest<'_>,
    prompt: &PromptShape<'_>,
) -> Choice {
    let home = prompt.shared_part.and_then(|part| home_engine(candidates, closed, part));
    let work = |index: usize| {
        let prefix = &candidates[index].prefix;
        let available = prefix.cached_tokens + prefix.fetchable_tokens;
        // The cast saturates, and a transfer's time is never negative.
        let fetch = (prefix.fetch_ms * TOKENS_PER_FETCH_MS) as u64;
        prompt.tokens.saturating_sub(available) + fetch
    };
    // One that waits past the bound is given up there.
    let in_time = |index: &usize| candidates[*index].starts_in_time(work(*index));
    let closed: Vec<usize> = closed.iter().copied().filter(in_time).collect();
    if closed.is_empty() {
        return Choice::none(Reason::OldWeights);
    }
    // The view of the load is some requests old, so without sampling all instances would choose the same engine.
    let mut sampled = closed.clone();
    sampled.sort_by_key(|&index| tie_break(&candidates[index], request.tie_break_seed));
    let has_affinity = |index: usize| {
        home == Some(index) || candidates[index].prefix.cached_tokens > MIN_CACHED_TOKENS
    };
    let with_affinity = closed.iter().copied().filter(|&index| has_affinity(index));
    let considered = sampled.into_iter().take(SAMPLED_ENGINES).chain(with_affinity);
    let best = considered.min_by_key(|&index| {
        let candidate = &candidates[index];
        let affinity_penalty = if home.is_some() && home != Some(index) { HOME_TOKENS } else { 0 };
        let is_old = request
            .weights
            .preferred
            .is_some_and(|preferred| candidate.weight_version < Some(preferred));
        let weights_penalty = if is_old { OLD_WEIGHTS_TOKENS } else { 0 };
        let lacks_memory =
            candidate.free_memory_tokens.is_some_and(|free| free < prompt.memory_tokens);
        let memory_penalty = if lacks_memory { SHORT_MEMORY_PREFILLS * prompt.tokens } else { 0 };
        let cost = candidate.cost_tokens(work(index) + affinity_penalty + memory_penalty)
            + weights_penalty;
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
    let cost_tokens = candidates[index].cost_tokens(work_tokens);
    Choice { work_tokens, cost_tokens, ..Choice::of(index, reason) }
}
