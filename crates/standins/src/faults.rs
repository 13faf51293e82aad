//! `faults`: runs real entry instances under load, injects faults drawn from a seed and checks every property.
//!
//! Both users' deployments run side by side. Faults are injected singly and in pairs. Every count comes from the
//! stand-ins' own records or from the exact bytes that callers received; what the product reports is only compared with
//! them.

mod callers;
mod counts;
mod monitor;
mod schedule;

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::Serialize;

use crate::{
    deployment::{Deployment, DeploymentSpec},
    engine::{EngineSpec, control::ControlSpec},
    process::find_binary,
    weight_store::WeightStore,
};
use callers::{Balancer, CallerStats};
use monitor::Monitor;
pub use schedule::Fault;
use schedule::Schedule;

const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that an engine takes to load new weights.
const WEIGHT_LOAD_MS: u64 = 1_000;
/// Time for which callers continue after the last fault.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Limit for the time until an accepted configuration is in force on every instance.
const MAX_CONFIG_PROPAGATION_S: f64 = 5.0;
/// Limit for the time during which a leaving endpoint still gets new work.
const MAX_LEAVING_WORK_S: f64 = 3.0;
const MAX_CRASHES_PER_REQUEST: u32 = 2;
/// Limit for the engines that load weights from one weight store at the same time.
const MAX_CONCURRENT_LOADS: u32 = 2;

/// The counts and maxima of a run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: u64,
    /// Complete responses that matched the request.
    pub whole: u64,
    /// Requests that were answered with an error status.
    pub refused: u64,
    /// Connections lost while a request was in flight, because of kills and crashes.
    pub cut: u64,
    /// Responses that had started and then ended with a typed error.
    pub ended: u64,
    /// Responses that did not match the request.
    pub crossed: u64,
    /// Distinct orders.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Requests and orders that were refused as not run although they had run.
    pub false_not_run: u64,
    /// Prompts, orders or runs that reached another team.
    pub cross_team: u64,
    /// Requests that were started under a weight version that was not allowed at the time.
    pub stale_version: u64,
    /// Blocks that were read after they were freed or before they were completely written.
    pub bad_blocks: u64,
    /// Requests whose connection was lost at an instance that shut down gracefully.
    pub cut_by_shutdown: u64,
    /// Returns of an instance to an older configuration, and generations for which two operators' changes were both
    /// accepted.
    pub reverts: u64,
    /// The longest time until an accepted configuration was in force on every instance.
    pub config_max_s: f64,
    /// The longest time during which a leaving endpoint still got new work.
    pub leaving_max_s: f64,
    /// The most endpoints that one request crashed.
    pub poison_crashes_max: u32,
    /// The most engines that loaded weights at the same time.
    pub loads_max: u32,
    /// Faults that were injected.
    pub faults: u64,
    /// Violations: events that must not occur, and limits that were exceeded.
    pub violations: u64,
}

impl Report {
    fn count_violations(&mut self) {
        let counts = [
            self.crossed,
            self.doubled,
            self.false_not_run,
            self.cross_team,
            self.stale_version,
            self.bad_blocks,
            self.cut_by_shutdown,
            self.reverts,
        ];
        let limits = [
            self.config_max_s > MAX_CONFIG_PROPAGATION_S,
            self.leaving_max_s > MAX_LEAVING_WORK_S,
            self.poison_crashes_max > MAX_CRASHES_PER_REQUEST,
            self.loads_max > MAX_CONCURRENT_LOADS,
        ];
        self.violations = counts.iter().sum::<u64>()
            + limits.iter().filter(|is_exceeded| **is_exceeded).count() as u64;
    }

    fn merge(&mut self, other: &Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.refused += other.refused;
        self.cut += other.cut;
        self.ended += other.ended;
        self.crossed += other.crossed;
        self.orders += other.orders;
        self.doubled += other.doubled;
        self.false_not_run += other.false_not_run;
        self.cross_team += other.cross_team;
        self.stale_version += other.stale_version;
        self.bad_blocks += other.bad_blocks;
        self.cut_by_shutdown += other.cut_by_shutdown;
        self.reverts += other.reverts;
        self.config_max_s = self.config_max_s.max(other.config_max_s);
        self.leaving_max_s = self.leaving_max_s.max(other.leaving_max_s);
        self.poison_crashes_max = self.poison_crashes_max.max(other.poison_crashes_max);
        self.loads_max = self.loads_max.max(other.loads_max);
        self.faults += other.faults;
    }
}

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of faults and load.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// The faults to draw from; all of them when empty.
    pub only: Vec<Fault>,
    /// Print the report as one line of JSON.
    pub json: bool,
}

/// Runs both deployments and prints the report; returns `true` if no property was violated.
///
/// # Errors
///
/// Returns an error if a process can't be started or does not become ready in time.
pub async fn run(options: &Options) -> io::Result<bool> {
    let binary = find_binary()?;
    let gebhartl = DeploymentSpec {
        binary: binary.clone(),
        name: "gebhartl",
        environment: "production",
        document: include_str!("../../../examples/gebhartl.toml"),
        engine_pool: "serving",
        service_pool: "desk",
        data_centres: &["linz-1", "linz-2", "linz-3"],
        instances: 8,
        engines: 12,
        engine: engine_spec()?,
        services: 3,
        flags: Vec::new(),
    };
    let gallagher = DeploymentSpec {
        name: "gallagher",
        document: include_str!("../../../examples/gallagher.toml"),
        engine_pool: "review",
        service_pool: "booking",
        data_centres: &["thurles", "ennis", "tuam", "cashel"],
        engine: engine_spec()?,
        engines: 9,
        services: 4,
        ..gebhartl.clone()
    };
    let (gebhartl_report, gallagher_report) =
        tokio::join!(run_deployment(gebhartl, options, 0), run_deployment(gallagher, options, 1));
    let mut report = gebhartl_report?;
    report.merge(&gallagher_report?);
    report.count_violations();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(report.violations == 0)
}

fn engine_spec() -> io::Result<EngineSpec> {
    let version = "v1".parse().map_err(io::Error::other)?;
    let control =
        ControlSpec { weight_store: WeightStore::new(WEIGHT_LOAD_MS), ..ControlSpec::default() };
    Ok(EngineSpec {
        control,
        slots: 16,
        prefill_tokens_per_s: 50_000,
        token_gap_ms: 10,
        ..EngineSpec::new(version)
    })
}

async fn run_deployment(spec: DeploymentSpec, options: &Options, salt: u64) -> io::Result<Report> {
    let seed = options.seed.wrapping_mul(2).wrapping_add(salt);
    let mut deployment = Deployment::start(spec, READY_TIMEOUT).await?;
    let balancer = Arc::new(Balancer::new(&deployment));
    let stop = Arc::new(AtomicBool::new(false));
    let stats = Arc::new(CallerStats::default());
    let mut callers = callers::start(&deployment, &balancer, &stats, &stop, seed);
    let monitor = Monitor::start(&deployment, &balancer, &stats, &stop);
    let mut schedule = Schedule::new(seed, options.only.clone());
    let faults =
        schedule.run(&mut deployment, &balancer, &stats, &monitor, options.duration).await?;
    schedule::clear_faults(&deployment);
    tokio::time::sleep(SETTLE_TIME).await;
    stop.store(true, Ordering::Release);
    while callers.join_next().await.is_some() {}
    let mut report = counts::collect(&deployment, &stats).await;
    monitor.finish(&mut report).await;
    report.faults = faults;
    for instance in deployment.instances.drain(..) {
        instance.kill();
    }
    Ok(report)
}
