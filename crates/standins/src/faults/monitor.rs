//! Polls which configuration every instance has in force, and which weight versions the platform holds.

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
    callers::{Balancer, CallerStats, Target},
};
use crate::{deployment::Deployment, platform::Platform};

/// Interval at which every instance and the platform are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// A generation that was accepted and is not yet in force on every instance.
#[derive(Debug)]
struct PendingGeneration {
    generation: u64,
    /// Time since it was accepted, without the time for which the platform was down.
    waited: Duration,
}

#[derive(Debug, Default)]
struct State {
    pending: Vec<PendingGeneration>,
    max_propagation: Duration,
    last_generations: HashMap<String, u64>,
    reverts: u64,
}

/// Polls instances and the platform until the run stops.
#[derive(Debug)]
pub(super) struct Monitor {
    shared: Arc<Shared>,
    generations_task: JoinHandle<()>,
    versions_task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    platform_down: AtomicBool,
    double_accepts: AtomicU64,
}

impl Monitor {
    pub(super) fn start(
        deployment: &Deployment,
        balancer: &Arc<Balancer>,
        stats: &Arc<CallerStats>,
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let shared = Arc::new(Shared::default());
        let client = deployment.client.clone();
        let generations_task =
            tokio::spawn(poll_generations(shared.clone(), client, balancer.clone(), stop.clone()));
        let platform = deployment.platform.clone();
        let versions_task = tokio::spawn(poll_versions(platform, stats.clone(), stop.clone()));
        Self { shared, generations_task, versions_task }
    }

    /// Records that a generation was accepted now.
    pub(super) fn record_accepted(&self, generation: u64) {
        self.shared
            .state
            .lock()
            .pending
            .push(PendingGeneration { generation, waited: Duration::ZERO });
    }

    /// Records that two changes of the same generation were both reported as accepted.
    pub(super) fn record_double_accept(&self) {
        self.shared.double_accepts.fetch_add(1, Ordering::Relaxed);
    }

    /// Pauses the measurement of propagation times while the platform is down.
    pub(super) fn set_platform_down(&self, down: bool) {
        self.shared.platform_down.store(down, Ordering::Release);
    }

    pub(super) async fn finish(self, report: &mut Report) {
        let _ = self.generations_task.await;
        let _ = self.versions_task.await;
        let state = self.shared.state.lock();
        let unfinished =
            state.pending.iter().map(|pending| pending.waited).max().unwrap_or_default();
        report.config_max_s = state.max_propagation.max(unfinished).as_secs_f64();
        report.reverts = state.reverts + self.shared.double_accepts.load(Ordering::Relaxed);
    }
}

async fn poll_generations(
    shared: Arc<Shared>,
    client: reqwest::Client,
    balancer: Arc<Balancer>,
    stop: Arc<AtomicBool>,
) {
    let mut last_round = Instant::now();
    while !stop.load(Ordering::Acquire) {
        let targets: Vec<Target> = balancer.all();
        let reads = targets.iter().map(|target| read_generation(&client, &target.url));
        let generations = futures::future::join_all(reads).await;
        let elapsed = last_round.elapsed();
        last_round = Instant::now();
        let is_up = !shared.platform_down.load(Ordering::Acquire);
        shared.state.lock().record_round(
            &targets,
            &generations,
            if is_up { elapsed } else { Duration::ZERO },
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Records the weight versions that new requests may use.
async fn poll_versions(platform: Arc<Platform>, stats: Arc<CallerStats>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Acquire) {
        let versions: Vec<String> =
            platform.objects("rollout").iter().flat_map(versions_of).collect();
        if !versions.is_empty() {
            stats.versions.record(versions);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the weight versions in a rollout record.
fn versions_of((_, body): &(String, String)) -> Vec<String> {
    let record: Value = serde_json::from_str(body).unwrap_or_default();
    let names = [&record["in_force"], &record["previous"]];
    names.into_iter().filter_map(|name| name.as_str().map(str::to_owned)).collect()
}

async fn read_generation(client: &reqwest::Client, url: &str) -> Option<u64> {
    let response = client.get(format!("{url}/readyz")).timeout(READ_TIMEOUT).send().await.ok()?;
    let text = response.text().await.ok()?;
    text.strip_prefix("generation ")?.split(' ').next()?.parse().ok()
}

impl State {
    fn record_round(&mut self, targets: &[Target], generations: &[Option<u64>], elapsed: Duration) {
        for (target, generation) in targets.iter().zip(generations) {
            let Some(generation) = generation else { continue };
            let last = self.last_generations.entry(target.url.clone()).or_default();
            if generation < last {
                self.reverts += 1;
            }
            *last = *generation;
        }
        // Instances without an answer are left out: one that is shutting down or does not respond serves no requests.
        let lowest = generations.iter().flatten().min().copied().unwrap_or(0);
        for pending in &mut self.pending {
            pending.waited += elapsed;
        }
        let (done, rest) =
            self.pending.drain(..).partition::<Vec<_>, _>(|one| one.generation <= lowest);
        self.pending = rest;
        self.max_propagation = done
            .iter()
            .map(|one| one.waited)
            .chain([self.max_propagation])
            .max()
            .unwrap_or_default();
    }
}
