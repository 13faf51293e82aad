use std::collections::HashMap;

use bilberryford_gateway::{
    Candidate, CircuitState, EndpointTag, PlacementRequest, PrefixFacts, PromptShape, Reason,
    connection_share, place,
};
use bilberryford_types::TimeMs;
use rand::{RngExt, SeedableRng, rngs::StdRng};

fn candidate(index: u8) -> Candidate {
    Candidate {
        id: format!("e{index}").parse().expect("an id"),
        incarnation: EndpointTag::new(&format!("e{index}"), TimeMs(1)),
        address: ([10, 0, 0, index], 80).into(),
        is_local: false,
        circuit: CircuitState::Closed,
        is_full: false,
        in_flight: 0,
        waiting_tokens: 0,
        free_memory_tokens: None,
        slowness_percent: None,
        weight_version: Some(1),
        prefix: PrefixFacts::default(),
    }
}

fn pool(size: u8) -> Vec<Candidate> {
    (0..size).map(candidate).collect()
}

fn call(tie_break_seed: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        prompt: None,
        min_weight_version: None,
        preferred_weight_version: None,
        tried: &[],
        tie_break_seed,
    }
}

fn prompt(part: &str, tie_break_seed: u64) -> PlacementRequest<'_> {
    let prompt = PromptShape { tokens: 12_000, memory_tokens: 12_000, shared_part: Some(part) };
    PlacementRequest { prompt: Some(prompt), ..call(tie_break_seed) }
}

#[test]
fn every_instance_sends_a_new_part_to_the_same_engine_and_parts_spread() {
    let pool = pool(9);
    let mut parts_by_engine = HashMap::new();
    for part in 0..900 {
        let part = part.to_string();
        let first = place(&pool, &prompt(&part, 1)).index;
        assert_eq!(place(&pool, &prompt(&part, 2)).index, first);
        *parts_by_engine.entry(first).or_insert(0) += 1;
    }
    assert!(
        parts_by_engine.values().all(|count| (60..=140).contains(count)),
        "{parts_by_engine:?}"
    );
}

/// One part is hot: its engine falls behind, and the others take what it can't.
#[test]
fn a_hot_part_spreads_over_the_pool() {
    let mut pool = pool(9);
    for tie_break_seed in 0..90 {
        let choice = place(&pool, &prompt("hot", tie_break_seed));
        let index = choice.index.expect("an engine");
        pool[index].waiting_tokens += choice.work_tokens;
        pool[index].in_flight += 1;
    }
    let most = pool.iter().map(|engine| engine.in_flight).max();
    assert!(most <= Some(13), "{most:?} of 90 at one engine of nine");
}

/// Engines that turned slow with good health answers get less in proportion, and none is left out.
#[test]
fn slow_engines_get_less() {
    let mut pool = pool(9);
    pool[3].slowness_percent = Some(400);
    for tie_break_seed in 0..450_u64 {
        let part = tie_break_seed.to_string();
        let choice = place(&pool, &prompt(&part, tie_break_seed));
        let index = choice.index.expect("an engine");
        pool[index].waiting_tokens += choice.work_tokens;
    }
    let slow = pool[3].waiting_tokens;
    let usual = pool.iter().map(|engine| engine.waiting_tokens).max().unwrap_or(0);
    assert!(slow * 3 < usual, "{slow} against {usual}");
    assert!(slow > 0);
}

#[test]
fn an_engine_with_the_part_in_memory_goes_before_the_one_that_is_first_for_it() {
    let mut pool = pool(9);
    let home = place(&pool, &prompt("part", 0)).index.expect("an engine");
    let other = (home + 1) % 9;
    pool[other].prefix.cached_tokens = 9_000;
    let choice = place(&pool, &prompt("part", 0));
    assert_eq!((choice.index, choice.reason), (Some(other), Reason::Cached));
    pool[other].waiting_tokens = 40_000;
    assert_ne!(place(&pool, &prompt("part", 0)).index, Some(other), "but not behind a long queue");
}

#[test]
fn old_weights_are_no_choice_once_newer_ones_are_required() {
    let mut pool = pool(3);
    let required = PlacementRequest { min_weight_version: Some(2), ..prompt("part", 0) };
    assert_eq!(place(&pool, &required).reason, Reason::OldWeights);
    pool[1].weight_version = Some(2);
    assert_eq!(place(&pool, &required).index, Some(1));
}

/// New weights are on a third of the pool: they get more than their part, and the others still help.
#[test]
fn newer_weights_are_preferred_until_their_engines_are_behind() {
    let mut pool = half_loaded();
    let mut counts = [0, 0];
    for tie_break_seed in 0..9 {
        let part = tie_break_seed.to_string();
        let request =
            PlacementRequest { preferred_weight_version: Some(2), ..prompt(&part, tie_break_seed) };
        let choice = place(&pool, &request);
        let index = choice.index.expect("an engine");
        pool[index].waiting_tokens += choice.work_tokens;
        counts[usize::from(index < 3)] += 1;
    }
    assert!(counts[1] >= 3 && counts[0] >= 3, "{counts:?}");
    assert_eq!(counts[1] + counts[0], 9);
    let first = PlacementRequest { preferred_weight_version: Some(2), ..prompt("x", 0) };
    assert!(place(&half_loaded(), &first).index < Some(3));
}

fn half_loaded() -> Vec<Candidate> {
    let mut pool = pool(9);
    pool.iter_mut().take(3).for_each(|engine| engine.weight_version = Some(2));
    pool
}

#[test]
fn calls_go_to_the_own_data_centre_until_another_has_less_to_do() {
    let mut pool = pool(4);
    pool[2].is_local = true;
    assert_eq!(place(&pool, &call(5)).index, Some(2));
    pool[2].in_flight = 1;
    assert_ne!(place(&pool, &call(5)).index, Some(2));
}

#[test]
fn a_trial_is_one_request_and_never_a_repeat() {
    let mut pool = pool(3);
    pool[0].circuit = CircuitState::HalfOpen;
    assert_eq!(place(&pool, &call(0)).reason, Reason::Trial);
    let tried = ["e1".parse().expect("an id")];
    let again = PlacementRequest { tried: &tried, ..call(0) };
    assert_eq!(place(&pool, &again).index, Some(2));
}

#[test]
fn a_pool_whose_circuits_are_all_open_still_gets_requests() {
    let mut pool = pool(2);
    pool.iter_mut().for_each(|endpoint| endpoint.circuit = CircuitState::Open);
    assert_eq!(place(&pool, &call(0)).reason, Reason::AllOpen);
    assert_eq!(place(&[], &call(0)).reason, Reason::NoEndpoint);
    let tried = ["e0".parse().expect("an id"), "e1".parse().expect("an id")];
    assert_eq!(
        place(&pool, &PlacementRequest { tried: &tried, ..call(0) }).reason,
        Reason::AllTried
    );
}

/// A burst on endpoints that are slow: each takes its share of an instance's connections, and the rest is refused.
#[test]
fn an_endpoint_gets_no_more_connections_than_the_instance_has_there() {
    let share = connection_share(110, 8);
    let mut pool = pool(3);
    let mut placed = [0u32; 3];
    let mut refused = 0;
    for tie_break_seed in 0..60 {
        for (candidate, placed) in pool.iter_mut().zip(placed) {
            candidate.in_flight = placed;
            candidate.is_full = placed >= share;
        }
        match place(&pool, &call(tie_break_seed)).index {
            Some(index) => placed[index] += 1,
            None => refused += 1,
        }
    }
    assert!(placed.iter().all(|placed| placed * 8 <= 110), "{placed:?}");
    assert_eq!(refused, 60 - 3 * share);
    assert_eq!(place(&pool, &call(1)).reason, Reason::AllFull);
}

#[test]
fn an_instance_always_has_one_connection() {
    assert_eq!(connection_share(9, 60), 1);
    assert_eq!(connection_share(370, 0), 370);
}

/// Long prompts of uneven size, each for some time in an engine's memory. Where they meet, one is broken off and read again.
#[test]
fn long_prompts_meet_less_often_than_their_engines_have_memory_for() {
    const MEMORY: u64 = 89_000;
    let overflows = |is_known: bool| {
        let mut rng = StdRng::seed_from_u64(7);
        let mut pool = pool(9);
        let mut running: Vec<(u64, usize, u64)> = Vec::new();
        let mut overflows = 0;
        for at_ms in (0..60_000).step_by(50) {
            running.retain(|(ends_ms, ..)| *ends_ms > at_ms);
            let used = |index| -> u64 {
                running.iter().filter(|(_, at, _)| *at == index).map(|(.., tokens)| tokens).sum()
            };
            for (index, engine) in pool.iter_mut().enumerate() {
                let count = running.iter().filter(|(_, at, _)| *at == index).count();
                engine.in_flight = count as u32;
                engine.free_memory_tokens = is_known.then(|| MEMORY.saturating_sub(used(index)));
            }
            // Most are short; a few have most of an engine's memory to themselves.
            let tokens = if rng.random_ratio(1, 5) { 40_000 } else { 9_000 };
            let shape = PromptShape { tokens, memory_tokens: tokens, shared_part: None };
            let request = PlacementRequest { prompt: Some(shape), ..call(rng.random()) };
            let index = place(&pool, &request).index.expect("an engine");
            overflows += u32::from(used(index) + tokens > MEMORY);
            running.push((at_ms + 1_200, index, tokens));
        }
        overflows
    };
    let (blind, knowing) = (overflows(false), overflows(true));
    assert!(knowing * 3 <= blind, "{knowing} with the memory known, {blind} without");
}
