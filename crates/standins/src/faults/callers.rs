//! Callers that send load through a balancer, and the results that they received.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::{Mutex, RwLock};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio::{task::JoinSet, time::sleep};

use crate::{
    deployment::Deployment,
    engine::CRASH_MARKER,
    load::{Caller, Outcome},
    run_ledger::prompt_for_team,
};

/// Callers of each deployment.
const CALLER_COUNT: usize = 24;
const MAX_ORDER_ATTEMPTS: usize = 4;
/// Longest pause of a caller between two requests.
const MAX_THINK_TIME_MS: u64 = 60;
/// Weight versions that a run of `faults` can reach.
const WEIGHT_VERSIONS: [&str; 12] =
    ["v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9", "v10", "v11", "v12"];
/// Time within which an instance must learn the weight version in force.
const VERSION_LAG: Duration = Duration::from_secs(5);
/// Text before the name of a team in the document.
const TEAM_NAME_PREFIX: &str = "name = \"";

/// An entry instance as the balancer sees it.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) url: String,
    /// Set once a graceful shutdown was requested.
    pub(super) draining: Arc<AtomicBool>,
    /// Set once the process was killed or frozen, so that a lost connection is not blamed on a graceful shutdown.
    pub(super) disrupted: Arc<AtomicBool>,
}

/// The platform's load balancer: callers use a random instance that it lists.
#[derive(Debug, Default)]
pub(super) struct Balancer {
    targets: RwLock<Vec<Target>>,
}

impl Balancer {
    pub(super) fn new(deployment: &Deployment) -> Self {
        let balancer = Self::default();
        deployment.instances.iter().for_each(|instance| balancer.add(instance.url()));
        balancer
    }

    pub(super) fn add(&self, url: String) {
        let target = Target { url, draining: Arc::default(), disrupted: Arc::default() };
        self.targets.write().push(target);
    }

    pub(super) fn remove(&self, url: &str) {
        self.targets.write().retain(|target| target.url != url);
    }

    pub(super) fn get(&self, url: &str) -> Option<Target> {
        self.targets.read().iter().find(|target| target.url == url).cloned()
    }

    pub(super) fn all(&self) -> Vec<Target> {
        self.targets.read().clone()
    }

    fn pick(&self, rng: &mut StdRng) -> Option<Target> {
        self.targets.read().choose(rng).cloned()
    }
}

/// The result of one order over all its attempts.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderResult {
    /// Every response stated that the order was not run.
    pub(super) always_not_run: bool,
    /// One attempt got a complete response.
    pub(super) is_complete: bool,
}

/// The weight versions that new requests may use, with the time from which the platform held them.
#[derive(Debug, Default)]
pub(super) struct VersionLog(Mutex<Vec<(Instant, Vec<String>)>>);

impl VersionLog {
    /// Records the versions that the platform holds now.
    pub(super) fn record(&self, versions: Vec<String>) {
        let mut log = self.0.lock();
        if log.last().is_none_or(|(_, last)| *last != versions) {
            log.push((Instant::now(), versions));
        }
    }

    /// Returns `true` if a request that was sent at `sent` may have been started under `version`.
    fn allows(&self, version: &str, sent: Instant) -> bool {
        let log = self.0.lock();
        let Some(since) = sent.checked_sub(VERSION_LAG) else { return true };
        // The entry in force at `since` and all later entries are allowed.
        let first = log.iter().rposition(|(at, _)| *at <= since).unwrap_or(0);
        let mut later = log[first..].iter();
        log.is_empty() || later.any(|(_, versions)| versions.iter().any(|one| one == version))
    }
}

/// The results that all callers of a deployment received.
#[derive(Debug, Default)]
pub(super) struct CallerStats {
    pub(super) requests: AtomicU64,
    pub(super) complete: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) cut: AtomicU64,
    pub(super) ended: AtomicU64,
    pub(super) mismatched: AtomicU64,
    pub(super) cut_by_shutdown: AtomicU64,
    pub(super) leaked_runs: AtomicU64,
    pub(super) stale_version: AtomicU64,
    pub(super) versions: VersionLog,
    pub(super) orders: Mutex<HashMap<String, OrderResult>>,
    pub(super) not_run_prompts: Mutex<Vec<String>>,
    pub(super) refusals: Mutex<HashMap<String, u64>>,
}

impl CallerStats {
    fn record(&self, outcome: &Outcome, target: &Target) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let counter = match outcome {
            Outcome::Complete => &self.complete,
            Outcome::Mismatched => &self.mismatched,
            Outcome::Refused { kind, .. } => {
                *self.refusals.lock().entry(kind.clone()).or_default() += 1;
                &self.refused
            }
            Outcome::Ended { kind } => {
                *self.refusals.lock().entry(format!("ended with {kind}")).or_default() += 1;
                &self.ended
            }
            Outcome::Cut | Outcome::Unreached => &self.cut,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let is_shutdown =
            target.draining.load(Ordering::Acquire) && !target.disrupted.load(Ordering::Acquire);
        if *outcome == Outcome::Cut && is_shutdown {
            eprintln!("connection lost at {}, which was shutting down gracefully", target.url);
            self.cut_by_shutdown.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns the names of the teams of a document, in order.
pub(super) fn teams(document: &str) -> Vec<String> {
    let sections = document.split("[[teams]]").skip(1);
    let names =
        sections.filter_map(|section| section.split(TEAM_NAME_PREFIX).nth(1)?.split('"').next());
    names.map(str::to_owned).collect()
}

/// Starts the callers of a deployment; they run until `stop` is set.
pub(super) fn start(
    deployment: &Deployment,
    balancer: &Arc<Balancer>,
    stats: &Arc<CallerStats>,
    stop: &Arc<AtomicBool>,
    seed: u64,
) -> JoinSet<()> {
    let teams = teams(deployment.spec.document);
    let mut callers = JoinSet::new();
    for number in 0..CALLER_COUNT {
        // The first three teams are the large ones.
        let team = if number < CALLER_COUNT / 2 {
            &teams[number % 3]
        } else {
            &teams[number % teams.len()]
        };
        let caller = CallerTask {
            caller: Caller::new(
                deployment.client.clone(),
                &format!("key-{team}"),
                &WEIGHT_VERSIONS,
            ),
            team: team.clone(),
            foreign_key: foreign_key(&teams, team),
            name: format!("{team}-{number}"),
            service: deployment.spec.service_pool,
            balancer: balancer.clone(),
            stats: stats.clone(),
            rng: StdRng::seed_from_u64(seed.wrapping_add(number as u64 * 7_919)),
        };
        callers.spawn(caller.run(stop.clone()));
    }
    callers
}

fn foreign_key(teams: &[String], team: &str) -> String {
    let other = teams.iter().find(|other| *other != team).map_or("nobody", String::as_str);
    format!("key-{other}")
}

/// Sends a prompt that crashes the engine that runs it, and retries it at random instances as a caller would.
pub(super) async fn send_poison(
    deployment: &Deployment,
    balancer: &Balancer,
    name: &str,
    seed: u64,
) {
    let teams = teams(deployment.spec.document);
    let team = &teams[0];
    let caller = Caller::new(deployment.client.clone(), &format!("key-{team}"), &WEIGHT_VERSIONS)
        .timeout_ms(5_000);
    let mut rng = StdRng::seed_from_u64(seed);
    let prompt = prompt_for_team(team, &format!("{CRASH_MARKER} {name}"));
    for _ in 0..6 {
        let Some(target) = balancer.pick(&mut rng) else { return };
        let result = caller.prompt(&target.url, "assistant", &prompt, 8, false).await;
        if matches!(&result.outcome, Outcome::Refused { kind, .. } if kind == "quarantined") {
            return;
        }
    }
}

struct CallerTask {
    caller: Caller,
    team: String,
    /// The API key of another team.
    foreign_key: String,
    name: String,
    service: &'static str,
    balancer: Arc<Balancer>,
    stats: Arc<CallerStats>,
    rng: StdRng,
}

impl CallerTask {
    async fn run(mut self, stop: Arc<AtomicBool>) {
        let mut conversation = String::new();
        for turn in 0_u32.. {
            if stop.load(Ordering::Acquire) {
                return;
            }
            if self.rng.random_bool(0.3) {
                self.send_order(turn).await;
            } else {
                self.send_prompt(turn, &mut conversation).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..=MAX_THINK_TIME_MS))).await;
        }
    }

    async fn send_prompt(&mut self, turn: u32, conversation: &mut String) {
        let Some(target) = self.balancer.pick(&mut self.rng) else { return };
        conversation.push_str(&format!("{} turn {turn}: is the delivery on its way? ", self.name));
        let prompt = prompt_for_team(&self.team, conversation);
        let tokens = self.rng.random_range(4..40);
        let stream = self.rng.random_bool(0.5);
        let started = Instant::now();
        let result = self.caller.prompt(&target.url, "assistant", &prompt, tokens, stream).await;
        let version = result.weight_version.as_ref();
        if version.is_some_and(|version| !self.stats.versions.allows(version, started)) {
            self.stats.stale_version.fetch_add(1, Ordering::Relaxed);
        }
        if result.outcome == Outcome::Unreached {
            return;
        }
        self.stats.record(&result.outcome, &target);
        if matches!(&result.outcome, Outcome::Refused { ran, .. } if ran == "no") {
            self.stats.not_run_prompts.lock().push(prompt);
        }
        if let Some(run) = result.run.filter(|_| turn.is_multiple_of(8)) {
            self.try_foreign_resume(&run).await;
        }
    }

    /// Tries to fetch the run with the key of another team, which must fail.
    async fn try_foreign_resume(&mut self, run: &str) {
        let Some(target) = self.balancer.pick(&mut self.rng) else { return };
        if self.caller.as_team(&self.foreign_key).resume(&target.url, run, 0).await.is_some() {
            self.stats.leaked_runs.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends an order and retries it until there is a receipt, as a caller would.
    async fn send_order(&mut self, turn: u32) {
        let key = format!("{}-{turn}", self.name);
        let mut result = OrderResult { always_not_run: true, is_complete: false };
        let mut was_sent = false;
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let Some(target) = self.balancer.pick(&mut self.rng) else { break };
            let outcome = self.caller.order(&target.url, self.service, &key).await;
            if outcome == Outcome::Unreached {
                continue;
            }
            was_sent = true;
            self.stats.record(&outcome, &target);
            let is_not_run = matches!(&outcome, Outcome::Refused { ran, .. } if ran == "no");
            result.always_not_run &= is_not_run;
            if outcome == Outcome::Complete {
                result.is_complete = true;
                break;
            }
            // In half of the cases the caller accepts a refusal as not run and does not retry.
            if is_not_run && self.rng.random_bool(0.5) {
                break;
            }
            sleep(Duration::from_millis(self.rng.random_range(50..500))).await;
        }
        if was_sent {
            self.stats.orders.lock().insert(format!("{}/{key}", self.team), result);
        }
    }
}
