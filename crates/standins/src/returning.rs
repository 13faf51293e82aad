//! `measure returning`: compares the placement decision with policies that have no cost model, on a paused clock.
//!
//! The real decision code and the stand-ins of engines and stores run in one thread; only time is simulated.
//! `docs/design/placement.md` says what each baseline may do and what the sizes stand for.

mod export;
mod import;
mod policy;
mod priority_mutex;
mod serve;
mod views;
mod workload;
mod world;

use std::{cell::RefCell, io, rc::Rc, thread, time::Duration};

use bilberryford_cache::CostWeights;
use bilberryford_types::{Bytes, BytesPerSec};
use rand::{SeedableRng, rngs::StdRng};
use serde::Serialize;
use strum::VariantArray;
use tokio::{
    task::{LocalSet, spawn_local},
    time::{Instant, sleep_until},
};

use self::{
    policy::Decider,
    serve::{Run, RunStats},
    workload::Workload,
    world::World,
};

const INSTANCE_COUNT: usize = 8;
const WORKER_THREADS: usize = 4;
/// Time for which a run continues after the arrivals end.
const DRAIN_MS: u64 = 60_000;

/// The deployment whose sizes are simulated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Site {
    /// Gebhartl Softwarehaus.
    Gebhartl,
    /// Gallagher Barrier Hire.
    Gallagher,
}

/// Which instances decide placements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum DecisionScope {
    /// Each instance, from its own view.
    Instance,
    /// One instance for the whole pool, queried over the peer protocol.
    #[strum(serialize = "cell")]
    Pool,
}

/// A placement policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::VariantArray, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    RoundRobin,
    LeastLoaded,
    Sticky,
    Ours,
}

/// A fault in the middle third of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::VariantArray, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fault {
    None,
    StoreDead,
    LinkTenth,
    EngineCrash,
    EventsCut,
    WeightSwap,
    StaleLoad,
}

/// The sizes of a deployment.
#[derive(Debug, Clone)]
struct Deployment {
    engines: usize,
    prefill_tokens_per_s: f64,
    engine_pieces: usize,
    memory_pieces: usize,
    disk_pieces: usize,
    piece_size: Bytes,
    link_rates: [BytesPerSec; 2],
    cost_weights: CostWeights,
    peer_hop_ms: f64,
    report_lag_ms: u64,
    duration_ms: u64,
    new_share: f64,
    batch_share: f64,
    interactive_tokens: (f64, f64),
    batch_tokens: (f64, f64),
}

const GEBHARTL_WEIGHTS: CostWeights =
    CostWeights { recompute_ms_per_token: 0.02, link_ms_per_mib: 0.2 };
const GALLAGHER_WEIGHTS: CostWeights =
    CostWeights { recompute_ms_per_token: 0.2, link_ms_per_mib: 1.0 };

impl Deployment {
    fn for_site(site: Site) -> Self {
        let gebhartl = Self {
            engines: 12,
            prefill_tokens_per_s: 8_000.0,
            engine_pieces: 100,
            memory_pieces: 4_096,
            disk_pieces: 65_536,
            piece_size: Bytes(128 << 20),
            link_rates: [BytesPerSec(6_000_000_000), BytesPerSec(2_500_000_000)],
            cost_weights: GEBHARTL_WEIGHTS,
            peer_hop_ms: 1.0,
            report_lag_ms: 250,
            duration_ms: 600_000,
            new_share: 0.15,
            batch_share: 0.0,
            interactive_tokens: (1_000.0, 12_000.0),
            batch_tokens: (0.0, 0.0),
        };
        match site {
            Site::Gebhartl => gebhartl,
            Site::Gallagher => Self {
                engines: 9,
                link_rates: [BytesPerSec(3_000_000_000), BytesPerSec(1_250_000_000)],
                cost_weights: GALLAGHER_WEIGHTS,
                peer_hop_ms: 1.5,
                batch_share: 0.12,
                interactive_tokens: (1_000.0, 6_000.0),
                batch_tokens: (12_000.0, 40_000.0),
                ..gebhartl
            },
        }
    }
}

/// One line of the report.
#[derive(Debug, Serialize)]
struct Line {
    policy: Policy,
    fault: Fault,
    weights: &'static str,
    requests: usize,
    ttft_p50_ms: f64,
    ttft_p95_ms: f64,
    ttft_p99_ms: f64,
    returning_ttft_p95_ms: f64,
    gap_p95_ms: f64,
    recomputed_share: f64,
    recomputed_share_with_tails: f64,
    link_bytes_memory: u64,
    link_bytes_disk: u64,
    refused: u64,
    wrong: u64,
    misses: u64,
    cut_over: u64,
    quick_later_than_recompute: u64,
}

/// One policy under one fault with one set of cost weights.
#[derive(Debug, Clone, Copy)]
struct Case {
    policy: Policy,
    fault: Fault,
    weights: (&'static str, CostWeights),
}

fn cases(site: Site) -> Vec<Case> {
    let site_weights = match site {
        Site::Gebhartl => ("gebhartl", GEBHARTL_WEIGHTS),
        Site::Gallagher => ("gallagher", GALLAGHER_WEIGHTS),
    };
    let pairs = Fault::VARIANTS
        .iter()
        .flat_map(|fault| Policy::VARIANTS.iter().map(move |policy| (*policy, *fault)));
    let mut cases: Vec<_> =
        pairs.map(|(policy, fault)| Case { policy, fault, weights: site_weights }).collect();
    if site == Site::Gallagher {
        let weights = ("gebhartl", GEBHARTL_WEIGHTS);
        cases.push(Case { policy: Policy::Ours, fault: Fault::None, weights });
    }
    cases
}

/// Simulates all policies under all faults and prints one line for each case. No property is checked, so the result is
/// always `true`.
///
/// # Errors
///
/// Returns an error if a runtime can't be started or a case panics.
pub fn run(site: Site, deciding: DecisionScope, seed: u64, json: bool) -> io::Result<bool> {
    let cases = cases(site);
    let workers: Vec<_> = (0..WORKER_THREADS)
        .map(|worker| {
            let assigned: Vec<_> =
                cases.iter().copied().skip(worker).step_by(WORKER_THREADS).collect();
            thread::spawn(move || {
                assigned.into_iter().map(|case| run_case(site, deciding, seed, case)).collect()
            })
        })
        .collect();
    let mut lines: Vec<std::vec::IntoIter<Line>> = Vec::new();
    for worker in workers {
        let worker_lines: io::Result<Vec<Line>> =
            worker.join().map_err(|_| io::Error::other("a run panicked"))?;
        lines.push(worker_lines?.into_iter());
    }
    for number in 0..cases.len() {
        let Some(line) = lines[number % WORKER_THREADS].next() else { continue };
        if json {
            println!("{}", serde_json::to_string(&line)?);
        } else {
            println!("{line:?}");
        }
    }
    Ok(true)
}

fn run_case(site: Site, deciding: DecisionScope, seed: u64, case: Case) -> io::Result<Line> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let local = LocalSet::new();
    let mut deployment = Deployment::for_site(site);
    deployment.cost_weights = case.weights.1;
    let line = local.block_on(&runtime, simulate(deployment, deciding, seed, case));
    Ok(line)
}

async fn simulate(deployment: Deployment, deciding: DecisionScope, seed: u64, case: Case) -> Line {
    let workload = Workload::generate(&deployment, seed);
    let world = World::new(&deployment, &workload);
    let is_pool = deciding == DecisionScope::Pool && case.policy == Policy::Ours;
    let deciders = if is_pool { 1 } else { INSTANCE_COUNT };
    let decider = |number| {
        let rng = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
        RefCell::new(Decider::new(&deployment, number, rng))
    };
    let run = Rc::new(Run {
        world: world.clone(),
        policy: case.policy,
        deciders: (0..deciders).map(decider).collect(),
        peer_hop_ms: if is_pool { deployment.peer_hop_ms } else { 0.0 },
        write_back_queues: Default::default(),
        stats: RefCell::default(),
    });
    run.announce_stored_blocks();
    spawn_local(run.clone().feed_views(seed));
    (0..2).for_each(|store| drop(spawn_local(run.clone().run_write_back(store))));
    spawn_local(world.clone().inject_fault(case.fault));
    let start = Instant::now();
    let requests = workload.arrivals.len();
    for (number, arrival) in workload.arrivals.into_iter().enumerate() {
        sleep_until(start + Duration::from_millis(arrival.at_ms)).await;
        spawn_local(run.clone().serve(arrival, number));
    }
    sleep_until(start + Duration::from_millis(deployment.duration_ms + DRAIN_MS)).await;
    summarize(case, requests, &world, &mut run.stats.borrow_mut())
}

fn summarize(case: Case, requests: usize, world: &World, stats: &mut RunStats) -> Line {
    let block = u64::from(bilberryford_cache::BLOCK_TOKENS.get());
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    let unfinished = requests as u64 - stats.refused - stats.first_token_ms.len() as u64;
    let with_tails = share(
        stats.recomputed_blocks * block + stats.tail_tokens,
        stats.returning_blocks * block + stats.tail_tokens,
    );
    Line {
        policy: case.policy,
        fault: case.fault,
        weights: case.weights.0,
        requests,
        ttft_p50_ms: quantile(&mut stats.first_token_ms, 0.5),
        ttft_p95_ms: quantile(&mut stats.first_token_ms, 0.95),
        ttft_p99_ms: quantile(&mut stats.first_token_ms, 0.99),
        returning_ttft_p95_ms: quantile(&mut stats.returning_first_token_ms, 0.95),
        gap_p95_ms: quantile(&mut stats.gaps_ms, 0.95),
        recomputed_share: share(stats.recomputed_blocks, stats.returning_blocks),
        recomputed_share_with_tails: with_tails,
        link_bytes_memory: world.link_bytes[0].get(),
        link_bytes_disk: world.link_bytes[1].get(),
        refused: stats.refused + unfinished,
        wrong: stats.wrong_blocks,
        misses: stats.misses,
        cut_over: stats.cut_over,
        quick_later_than_recompute: stats.late_interactive,
    }
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * share) as usize;
    values.get(index).or(values.last()).copied().unwrap_or_default().round()
}
