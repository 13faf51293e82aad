//! Watches which configuration every instance has in force.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::Value;
use tokio::{task::JoinHandle, time::sleep};

use super::{
    Report,
    callers::{Balancer, Tally, Target},
};
use crate::{deployment::Deployment, platform::Platform};

/// How often every instance is asked.
const PERIOD: Duration = Duration::from_millis(50);
/// How long an instance may take to say what it has in force.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// A generation that was accepted and is not yet in force everywhere.
#[derive(Debug)]
struct Spreading {
    generation: u64,
    /// How long the platform was up since it was accepted.
    waited: Duration,
}

#[derive(Debug, Default)]
struct State {
    spreading: Vec<Spreading>,
    longest: Duration,
    last: HashMap<String, u64>,
    reverts: u64,
}

/// The watch.
#[derive(Debug)]
pub(super) struct Monitor {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
    versions: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    platform_down: AtomicBool,
    both_won: AtomicU64,
}

impl Monitor {
    pub(super) fn start(
        deployment: &Deployment,
        balancer: &Arc<Balancer>,
        tally: &Arc<Tally>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let client = deployment.client.clone();
        let task = tokio::spawn(watch(shared.clone(), client, balancer.clone(), stop.clone()));
        let platform = deployment.platform.clone();
        let versions = tokio::spawn(note_versions(platform, tally.clone(), stop.clone()));
        Self { shared, task, versions }
    }

    /// Notes that a generation was accepted now.
    pub(super) fn accepted(&self, generation: u64) {
        self.shared.state.lock().spreading.push(Spreading { generation, waited: Duration::ZERO });
    }

    /// Notes that two operators were both told that their change of one generation was accepted.
    pub(super) fn both_won(&self) {
        self.shared.both_won.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops the clock of spreading while the platform is down.
    pub(super) fn set_platform_down(&self, down: bool) {
        self.shared.platform_down.store(down, Ordering::Release);
    }

    pub(super) async fn finish(self, report: &mut Report) {
        let _ = self.task.await;
        let _ = self.versions.await;
        let state = self.shared.state.lock();
        let unfinished =
            state.spreading.iter().map(|spreading| spreading.waited).max().unwrap_or_default();
        report.config_max_s = state.longest.max(unfinished).as_secs_f64();
        report.reverts = state.reverts + self.shared.both_won.load(Ordering::Relaxed);
    }
}

async fn watch(
    shared: Arc<Shared>,
    client: reqwest::Client,
    balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
) {
    let mut before = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let targets: Vec<Target> = balancer.all();
        let asks = targets.iter().map(|target| ask(&client, &target.url));
        let answers = futures::future::join_all(asks).await;
        let step = before.elapsed();
        before = Instant::now();
        let is_up = !shared.platform_down.load(Ordering::Acquire);
        shared.state.lock().take(&targets, &answers, if is_up { step } else { Duration::ZERO });
        sleep(PERIOD).await;
    }
}

/// Keeps a log of the versions that new requests may take.
async fn note_versions(platform: Arc<Platform>, tally: Arc<Tally>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        let named: Vec<String> = platform.objects("rollout").iter().flat_map(versions_of).collect();
        if !named.is_empty() {
            tally.versions.note(named);
        }
        sleep(PERIOD).await;
    }
}

/// The versions that the record of a roll-out names.
fn versions_of((_, body): &(String, String)) -> Vec<String> {
    let record: Value = serde_json::from_str(body).unwrap_or_default();
    let names = [&record["in_force"], &record["previous"]];
    names.into_iter().filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

async fn ask(client: &reqwest::Client, url: &str) -> Option<u64> {
    let answer = client.get(format!("{url}/readyz")).timeout(ASK_TIMEOUT).send().await.ok()?;
    let text = answer.text().await.ok()?;
    text.strip_prefix("generation ")?.split(' ').next()?.parse().ok()
}

impl State {
    fn take(&mut self, targets: &[Target], answers: &[Option<u64>], step: Duration) {
        for (target, generation) in targets.iter().zip(answers) {
            let Some(generation) = generation else { continue };
            let last = self.last.entry(target.url.clone()).or_default();
            if generation < last {
                self.reverts += 1;
            }
            *last = *generation;
        }
        // An instance that is leaving or does not answer serves nothing either.
        let lowest = answers.iter().flatten().min().copied().unwrap_or(0);
        for spreading in &mut self.spreading {
            spreading.waited += step;
        }
        let (done, rest) =
            self.spreading.drain(..).partition::<Vec<_>, _>(|one| one.generation <= lowest);
        self.spreading = rest;
        self.longest =
            done.iter().map(|one| one.waited).chain([self.longest]).max().unwrap_or_default();
    }
}
