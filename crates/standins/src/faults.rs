//! `faults`: real entry instances under load and faults drawn from a seed, then a check of every property.
//!
//! Both users' deployments run side by side. Faults come singly and in pairs. Every count comes from the stand-ins' own
//! books or from what callers saw byte for byte; the product's word is only compared with them.

mod books;
mod callers;
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
use callers::{Balancer, Tally};
use monitor::Monitor;
pub use schedule::Fault;
use schedule::Schedule;

/// How long a deployment may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// How long new weights take an engine, in milliseconds.
const LOAD_MS: u64 = 1_000;
/// How long callers may go on after the last fault.
const SETTLE: Duration = Duration::from_secs(3);
/// The longest time until an accepted configuration is in force everywhere, in seconds.
const CONFIG_LIMIT_S: f64 = 5.0;
/// The longest time for which a leaving endpoint gets new work, in seconds.
const LEAVING_LIMIT_S: f64 = 3.0;
/// The most endpoints that one request may crash.
const POISON_LIMIT: u32 = 2;
/// The most engines that may load weights at once from one weight store.
const LOADS_LIMIT: u32 = 2;

/// What was counted.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Requests that callers sent.
    pub requests: u64,
    /// Whole answers to what was asked.
    pub whole: u64,
    /// Refusals.
    pub refused: u64,
    /// Connections lost under a request, by kills and crashes.
    pub cut: u64,
    /// Answers that began and ended with a typed error.
    pub ended: u64,
    /// Answers to something else.
    pub crossed: u64,
    /// Different orders.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Refusals as not run of something that ran.
    pub false_not_run: u64,
    /// Prompts, orders or runs that reached another team.
    pub cross_team: u64,
    /// Requests that were started under another weight version than allowed.
    pub stale_version: u64,
    /// Blocks that were read after they were freed or before they were whole.
    pub bad_blocks: u64,
    /// Requests that were cut at an instance that shut down gracefully.
    pub cut_by_shutdown: u64,
    /// Instances that went back to an older configuration, and changes that two operators both won.
    pub reverts: u64,
    /// The longest time until an accepted configuration was in force everywhere.
    pub config_max_s: f64,
    /// The longest time for which a leaving endpoint got new work.
    pub leaving_max_s: f64,
    /// The most endpoints that one request crashed.
    pub poison_crashes_max: u32,
    /// The most engines that loaded weights at once.
    pub loads_max: u32,
    /// Faults that were brought about.
    pub faults: u64,
    /// Broken properties.
    pub violations: u64,
}

impl Report {
    fn judge(&mut self) {
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
            self.config_max_s > CONFIG_LIMIT_S,
            self.leaving_max_s > LEAVING_LIMIT_S,
            self.poison_crashes_max > POISON_LIMIT,
            self.loads_max > LOADS_LIMIT,
        ];
        self.violations =
            counts.iter().sum::<u64>() + limits.iter().filter(|broken| **broken).count() as u64;
    }

    fn add(&mut self, other: &Self) {
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

/// What a fault run does.
#[derive(Debug, Clone)]
pub struct Options {
    /// Draws faults and load.
    pub seed: u64,
    /// How long faults are brought about.
    pub duration: Duration,
    /// Only these faults, by name; all when empty.
    pub only: Vec<Fault>,
    /// End with one line of JSON.
    pub json: bool,
}

/// Runs both deployments; answers whether no property was broken.
///
/// # Errors
///
/// When a process can't be started.
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
    let (one, two) = tokio::join!(run_one(gebhartl, options, 0), run_one(gallagher, options, 1));
    let mut report = one?;
    report.add(&two?);
    report.judge();
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    } else {
        println!("{report:#?}");
    }
    Ok(report.violations == 0)
}

fn engine_spec() -> io::Result<EngineSpec> {
    let version = "v1".parse().map_err(io::Error::other)?;
    let control = ControlSpec { weight_store: WeightStore::new(LOAD_MS), ..ControlSpec::default() };
    Ok(EngineSpec {
        control,
        slots: 16,
        prefill_tokens_per_s: 50_000,
        token_gap_ms: 10,
        ..EngineSpec::new(version)
    })
}

async fn run_one(spec: DeploymentSpec, options: &Options, salt: u64) -> io::Result<Report> {
    let seed = options.seed.wrapping_mul(2).wrapping_add(salt);
    let mut deployment = Deployment::start(spec, READY_LIMIT).await?;
    let balancer = Arc::new(Balancer::new(&deployment));
    let stop = Arc::new(AtomicBool::new(false));
    let tally = Arc::new(Tally::default());
    let mut callers = callers::start(&deployment, &balancer, &tally, &stop, seed);
    let monitor = Monitor::start(&deployment, &balancer, &tally, &stop);
    let mut schedule = Schedule::new(seed, options.only.clone());
    let faults =
        schedule.run(&mut deployment, &balancer, &tally, &monitor, options.duration).await?;
    schedule::mend(&deployment);
    tokio::time::sleep(SETTLE).await;
    stop.store(true, Ordering::Release);
    while callers.join_next().await.is_some() {}
    let mut report = books::read(&deployment, &tally).await;
    monitor.finish(&mut report).await;
    report.faults = faults;
    for instance in deployment.instances.drain(..) {
        instance.kill();
    }
    Ok(report)
}
