//! Measures the placement decision against policies without one, on a paused clock.
//!
//! Real decision code and real fakes of engines and stores run in one thread; only time is simulated. What a baseline
//! may do, and what the sizes stand for, is said in `docs/design/placement.md`.

mod export;
mod import;
mod policy;
mod serve;
mod turns;
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
    serve::{Run, Tally},
    workload::Workload,
    world::World,
};

/// How many entry instances there are.
const INSTANCES: usize = 8;
/// How many runs go on at once.
const THREADS: usize = 4;
/// How long after the last arrival a run may go on, in milliseconds.
const DRAIN_MS: u64 = 60_000;

/// Whose sizes are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Site {
    /// Gebhartl Softwarehaus.
    Gebhartl,
    /// Gallagher Barrier Hire.
    Gallagher,
}

/// Who decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Deciding {
    /// Each instance on its own view.
    Instance,
    /// One instance for the cell, asked over the peer protocol.
    Cell,
}

/// A way of choosing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::VariantArray, Serialize)]
#[serde(rename_all = "snake_case")]
enum Policy {
    RoundRobin,
    LeastLoaded,
    Sticky,
    Ours,
}

/// What goes wrong in the middle third of a run.
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
    prefill_per_s: f64,
    engine_pieces: usize,
    memory_pieces: usize,
    disk_pieces: usize,
    piece: Bytes,
    link_rates: [BytesPerSec; 2],
    weights: CostWeights,
    hop_ms: f64,
    report_lag_ms: u64,
    span_ms: u64,
    new_share: f64,
    long_share: f64,
    quick_tokens: (f64, f64),
    long_tokens: (f64, f64),
}

const GEBHARTL_WEIGHTS: CostWeights =
    CostWeights { recompute_ms_per_token: 0.02, link_ms_per_mib: 0.2 };
const GALLAGHER_WEIGHTS: CostWeights =
    CostWeights { recompute_ms_per_token: 0.2, link_ms_per_mib: 1.0 };

impl Deployment {
    fn of(site: Site) -> Self {
        let gebhartl = Self {
            engines: 12,
            prefill_per_s: 8_000.0,
            engine_pieces: 100,
            memory_pieces: 4_096,
            disk_pieces: 65_536,
            piece: Bytes(128 << 20),
            link_rates: [BytesPerSec(6_000_000_000), BytesPerSec(2_500_000_000)],
            weights: GEBHARTL_WEIGHTS,
            hop_ms: 1.0,
            report_lag_ms: 250,
            span_ms: 600_000,
            new_share: 0.15,
            long_share: 0.0,
            quick_tokens: (1_000.0, 12_000.0),
            long_tokens: (0.0, 0.0),
        };
        match site {
            Site::Gebhartl => gebhartl,
            Site::Gallagher => Self {
                engines: 9,
                link_rates: [BytesPerSec(3_000_000_000), BytesPerSec(1_250_000_000)],
                weights: GALLAGHER_WEIGHTS,
                hop_ms: 1.5,
                long_share: 0.12,
                quick_tokens: (1_000.0, 6_000.0),
                long_tokens: (12_000.0, 40_000.0),
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

#[derive(Debug, Clone, Copy)]
struct Case {
    policy: Policy,
    fault: Fault,
    weights: (&'static str, CostWeights),
}

fn cases(site: Site) -> Vec<Case> {
    let own = match site {
        Site::Gebhartl => ("gebhartl", GEBHARTL_WEIGHTS),
        Site::Gallagher => ("gallagher", GALLAGHER_WEIGHTS),
    };
    let pairs = Fault::VARIANTS
        .iter()
        .flat_map(|fault| Policy::VARIANTS.iter().map(move |policy| (*policy, *fault)));
    let mut cases: Vec<_> =
        pairs.map(|(policy, fault)| Case { policy, fault, weights: own }).collect();
    if site == Site::Gallagher {
        let weights = ("gebhartl", GEBHARTL_WEIGHTS);
        cases.push(Case { policy: Policy::Ours, fault: Fault::None, weights });
    }
    cases
}

/// Measures all policies under all faults and prints one line for each.
///
/// # Errors
///
/// The operating system's error when no thread or runtime can be started.
pub fn run(site: Site, deciding: Deciding, seed: u64, json: bool) -> io::Result<bool> {
    let cases = cases(site);
    let workers: Vec<_> = (0..THREADS)
        .map(|worker| {
            let own: Vec<_> = cases.iter().copied().skip(worker).step_by(THREADS).collect();
            thread::spawn(move || {
                own.into_iter().map(|case| measure(site, deciding, seed, case)).collect()
            })
        })
        .collect();
    let mut lines: Vec<std::vec::IntoIter<Line>> = Vec::new();
    for worker in workers {
        let own: io::Result<Vec<Line>> =
            worker.join().map_err(|_| io::Error::other("a run panicked"))?;
        lines.push(own?.into_iter());
    }
    for number in 0..cases.len() {
        let Some(line) = lines[number % THREADS].next() else { continue };
        if json {
            println!("{}", serde_json::to_string(&line)?);
        } else {
            println!("{line:?}");
        }
    }
    Ok(true)
}

fn measure(site: Site, deciding: Deciding, seed: u64, case: Case) -> io::Result<Line> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    let local = LocalSet::new();
    let mut deployment = Deployment::of(site);
    deployment.weights = case.weights.1;
    let line = local.block_on(&runtime, simulate(deployment, deciding, seed, case));
    Ok(line)
}

async fn simulate(deployment: Deployment, deciding: Deciding, seed: u64, case: Case) -> Line {
    let workload = Workload::draw(&deployment, seed);
    let world = World::new(&deployment, &workload);
    let is_cell = deciding == Deciding::Cell && case.policy == Policy::Ours;
    let deciders = if is_cell { 1 } else { INSTANCES };
    let decider = |number| {
        let rng = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
        RefCell::new(Decider::new(&deployment, number, rng))
    };
    let run = Rc::new(Run {
        world: world.clone(),
        policy: case.policy,
        deciders: (0..deciders).map(decider).collect(),
        hop_ms: if is_cell { deployment.hop_ms } else { 0.0 },
        write_back: Default::default(),
        tally: RefCell::default(),
    });
    run.tell_all();
    spawn_local(run.clone().feed_views(seed));
    (0..2).for_each(|store| drop(spawn_local(run.clone().write_back_loop(store))));
    spawn_local(world.clone().break_down(case.fault));
    let start = Instant::now();
    let requests = workload.arrivals.len();
    for (number, arrival) in workload.arrivals.into_iter().enumerate() {
        sleep_until(start + Duration::from_millis(arrival.at_ms)).await;
        spawn_local(run.clone().serve(arrival, number));
    }
    sleep_until(start + Duration::from_millis(deployment.span_ms + DRAIN_MS)).await;
    line(case, requests, &world, &mut run.tally.borrow_mut())
}

fn line(case: Case, requests: usize, world: &World, tally: &mut Tally) -> Line {
    let block = u64::from(bilberryford_cache::BLOCK_TOKENS.get());
    let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
    let unfinished = requests as u64 - tally.refused - tally.first_token_ms.len() as u64;
    let with_tails = share(
        tally.recomputed_blocks * block + tally.tail_tokens,
        tally.returning_blocks * block + tally.tail_tokens,
    );
    Line {
        policy: case.policy,
        fault: case.fault,
        weights: case.weights.0,
        requests,
        ttft_p50_ms: quantile(&mut tally.first_token_ms, 0.5),
        ttft_p95_ms: quantile(&mut tally.first_token_ms, 0.95),
        ttft_p99_ms: quantile(&mut tally.first_token_ms, 0.99),
        returning_ttft_p95_ms: quantile(&mut tally.returning_first_token_ms, 0.95),
        gap_p95_ms: quantile(&mut tally.gaps_ms, 0.95),
        recomputed_share: share(tally.recomputed_blocks, tally.returning_blocks),
        recomputed_share_with_tails: with_tails,
        link_bytes_memory: world.link_bytes[0].get(),
        link_bytes_disk: world.link_bytes[1].get(),
        refused: tally.refused + unfinished,
        wrong: tally.wrong,
        misses: tally.misses,
        cut_over: tally.cut_over,
        quick_later_than_recompute: tally.quick_late,
    }
}

fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let place = (values.len() as f64 * share) as usize;
    values.get(place).or(values.last()).copied().unwrap_or_default().round()
}
