//! Callers behind a balancer, and what they saw.

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

/// How many callers each deployment has.
const CALLERS: usize = 24;
/// How often an order is sent before its caller gives up.
const ORDER_TRIES: usize = 4;
/// How long callers think between requests, at the most.
const THINK_MAX_MS: u64 = 60;
/// The weight versions that a run may come to.
const VERSIONS: [&str; 12] =
    ["v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9", "v10", "v11", "v12"];
/// How long an instance may take to see which version is in force.
const AGREED_LAG: Duration = Duration::from_secs(5);
/// The teams whose callers send load, by their place in the document.
const TEAM_MARK: &str = "name = \"";

/// One entry instance as the balancer sees it.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) url: String,
    /// Set once a graceful shutdown was asked for.
    pub(super) draining: Arc<AtomicBool>,
    /// Set when the process was killed or frozen, so that a cut is no fault of a shutdown.
    pub(super) hurt: Arc<AtomicBool>,
}

/// The platform's balancer: callers take any instance that it lists.
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
        let target = Target { url, draining: Arc::default(), hurt: Arc::default() };
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

/// What became of one order over all its tries.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderFate {
    /// Whether every answer said that it was not run.
    pub(super) only_not_run: bool,
    /// Whether one try was answered whole.
    pub(super) whole: bool,
}

/// The versions that new requests might take, as the platform held them over time.
#[derive(Debug, Default)]
pub(super) struct VersionLog(Mutex<Vec<(Instant, Vec<String>)>>);

impl VersionLog {
    /// Notes what the platform holds now.
    pub(super) fn note(&self, versions: Vec<String>) {
        let mut log = self.0.lock();
        if log.last().is_none_or(|(_, last)| *last != versions) {
            log.push((Instant::now(), versions));
        }
    }

    /// Whether a request that was sent at `sent` may have been started under `version`.
    fn allows(&self, version: &str, sent: Instant) -> bool {
        let log = self.0.lock();
        let Some(since) = sent.checked_sub(AGREED_LAG) else { return true };
        // The entry in force at `since` and all later ones count.
        let first = log.iter().rposition(|(at, _)| *at <= since).unwrap_or(0);
        let mut later = log[first..].iter();
        log.is_empty() || later.any(|(_, versions)| versions.iter().any(|one| one == version))
    }
}

/// What all callers saw.
#[derive(Debug, Default)]
pub(super) struct Tally {
    pub(super) requests: AtomicU64,
    pub(super) whole: AtomicU64,
    pub(super) refused: AtomicU64,
    pub(super) cut: AtomicU64,
    pub(super) ended: AtomicU64,
    pub(super) crossed: AtomicU64,
    pub(super) cut_by_shutdown: AtomicU64,
    pub(super) foreign_runs: AtomicU64,
    pub(super) stale_version: AtomicU64,
    pub(super) versions: VersionLog,
    pub(super) orders: Mutex<HashMap<String, OrderFate>>,
    pub(super) not_run_prompts: Mutex<Vec<String>>,
    pub(super) refusals: Mutex<HashMap<String, u64>>,
}

impl Tally {
    fn count(&self, outcome: &Outcome, target: &Target) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        let counter = match outcome {
            Outcome::Complete => &self.whole,
            Outcome::Mismatched => &self.crossed,
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
            target.draining.load(Ordering::Acquire) && !target.hurt.load(Ordering::Acquire);
        if *outcome == Outcome::Cut && is_shutdown {
            eprintln!("cut at {}, which was shutting down", target.url);
            self.cut_by_shutdown.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The teams of a document, in order.
pub(super) fn teams(document: &str) -> Vec<String> {
    let sections = document.split("[[teams]]").skip(1);
    let names = sections.filter_map(|section| section.split(TEAM_MARK).nth(1)?.split('"').next());
    names.map(str::to_owned).collect()
}

/// Starts the callers of a deployment.
pub(super) fn start(
    deployment: &Deployment,
    balancer: &Arc<Balancer>,
    tally: &Arc<Tally>,
    stop: &Arc<AtomicBool>,
    seed: u64,
) -> JoinSet<()> {
    let teams = teams(deployment.spec.document);
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        // The first three teams are the large ones.
        let team =
            if number < CALLERS / 2 { &teams[number % 3] } else { &teams[number % teams.len()] };
        let caller = CallerTask {
            caller: Caller::new(deployment.client.clone(), &format!("key-{team}"), &VERSIONS),
            team: team.clone(),
            stranger: stranger(&teams, team),
            name: format!("{team}-{number}"),
            service: deployment.spec.service_pool,
            balancer: balancer.clone(),
            tally: tally.clone(),
            rng: StdRng::seed_from_u64(seed.wrapping_add(number as u64 * 7_919)),
        };
        callers.spawn(caller.run(stop.clone()));
    }
    callers
}

fn stranger(teams: &[String], team: &str) -> String {
    let other = teams.iter().find(|other| *other != team).map_or("nobody", String::as_str);
    format!("key-{other}")
}

/// Sends a prompt that crashes the engine that runs it, as its caller would: again and again, to any instance.
pub(super) async fn send_poison(
    deployment: &Deployment,
    balancer: &Balancer,
    name: &str,
    seed: u64,
) {
    let teams = teams(deployment.spec.document);
    let team = &teams[0];
    let caller =
        Caller::new(deployment.client.clone(), &format!("key-{team}"), &VERSIONS).timeout_ms(5_000);
    let mut rng = StdRng::seed_from_u64(seed);
    let prompt = prompt_for_team(team, &format!("{CRASH_MARKER} {name}"));
    for _ in 0..6 {
        let Some(target) = balancer.pick(&mut rng) else { return };
        let seen = caller.prompt(&target.url, "assistant", &prompt, 8, false).await;
        if matches!(&seen.outcome, Outcome::Refused { kind, .. } if kind == "quarantined") {
            return;
        }
    }
}

struct CallerTask {
    caller: Caller,
    team: String,
    /// The key of another team.
    stranger: String,
    name: String,
    service: &'static str,
    balancer: Arc<Balancer>,
    tally: Arc<Tally>,
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
                self.order(turn).await;
            } else {
                self.prompt(turn, &mut conversation).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..=THINK_MAX_MS))).await;
        }
    }

    async fn prompt(&mut self, turn: u32, conversation: &mut String) {
        let Some(target) = self.balancer.pick(&mut self.rng) else { return };
        conversation.push_str(&format!("{} turn {turn}: is the delivery on its way? ", self.name));
        let prompt = prompt_for_team(&self.team, conversation);
        let tokens = self.rng.random_range(4..40);
        let stream = self.rng.random_bool(0.5);
        let started = Instant::now();
        let seen = self.caller.prompt(&target.url, "assistant", &prompt, tokens, stream).await;
        let version = seen.weight_version.as_ref();
        if version.is_some_and(|version| !self.tally.versions.allows(version, started)) {
            self.tally.stale_version.fetch_add(1, Ordering::Relaxed);
        }
        if seen.outcome == Outcome::Unreached {
            return;
        }
        self.tally.count(&seen.outcome, &target);
        if matches!(&seen.outcome, Outcome::Refused { ran, .. } if ran == "no") {
            self.tally.not_run_prompts.lock().push(prompt);
        }
        if let Some(run) = seen.run.filter(|_| turn.is_multiple_of(8)) {
            self.peek(&run).await;
        }
    }

    /// Another team must not be able to fetch the run.
    async fn peek(&mut self, run: &str) {
        let Some(target) = self.balancer.pick(&mut self.rng) else { return };
        if self.caller.as_team(&self.stranger).resume(&target.url, run, 0).await.is_some() {
            self.tally.foreign_runs.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// An order with its repeats, as a caller would send it that has no receipt yet.
    async fn order(&mut self, turn: u32) {
        let key = format!("{}-{turn}", self.name);
        let mut fate = OrderFate { only_not_run: true, whole: false };
        let mut was_sent = false;
        for _ in 0..ORDER_TRIES {
            let Some(target) = self.balancer.pick(&mut self.rng) else { break };
            let outcome = self.caller.order(&target.url, self.service, &key).await;
            if outcome == Outcome::Unreached {
                continue;
            }
            was_sent = true;
            self.tally.count(&outcome, &target);
            let is_not_run = matches!(&outcome, Outcome::Refused { ran, .. } if ran == "no");
            fate.only_not_run &= is_not_run;
            if outcome == Outcome::Complete {
                fate.whole = true;
                break;
            }
            // Half of the callers take a refusal as not run for an answer.
            if is_not_run && self.rng.random_bool(0.5) {
                break;
            }
            sleep(Duration::from_millis(self.rng.random_range(50..500))).await;
        }
        if was_sent {
            self.tally.orders.lock().insert(format!("{}/{key}", self.team), fate);
        }
    }
}
