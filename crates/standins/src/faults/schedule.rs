//! Draws faults from a seed and brings them about, singly and in pairs.

use std::{
    io,
    path::PathBuf,
    process::Stdio,
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use bilberryford_platform::InstanceState;
use nix::sys::signal::Signal;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use strum::VariantArray;
use tokio::{process::Command, time::sleep};

use super::{
    callers::{self, Balancer, Tally},
    monitor::Monitor,
};
use crate::{deployment::Deployment, engine, platform, process::Instance, service};

/// How long an instance may take to stop gracefully.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// How long the balancer takes to see that an instance is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// The last weight version that callers know.
const LAST_VERSION: u32 = 12;
/// How long a new instance may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// A fault.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An instance is killed and replaced.
    KillInstance,
    /// An instance is frozen and wakes up.
    FreezeInstance,
    /// An instance is replaced gracefully.
    ReplaceInstance,
    /// The platform refuses everything.
    PlatformOutage,
    /// The platform is slow.
    PlatformSlow,
    /// Answers of the platform are lost after the write took effect.
    LoseAnswers,
    /// Writes take effect after they were answered as failed.
    DelayWrites,
    /// The platform's list does not change.
    FreezeList,
    /// An engine crashes.
    CrashEngine,
    /// Streams of an engine go silent.
    SilentEngine,
    /// A service instance crashes after it ran an order.
    CrashService,
    /// An engine leaves and another comes.
    LeavingEngine,
    /// Two operators change the same generation.
    OperatorsRace,
    /// A caller sends a request that crashes engines.
    Poison,
    /// An operator asks for another weight version.
    WeightSwap,
}

/// Draws and brings about.
#[derive(Debug)]
pub(super) struct Schedule {
    seed: u64,
    rng: StdRng,
    faults: Vec<Fault>,
    platform: platform::Faults,
    frozen: Vec<usize>,
    count: u64,
    /// The weight version that operators ask for.
    version: u32,
}

/// Switches off what may still be on.
pub(super) fn mend(deployment: &Deployment) {
    deployment.platform.set_faults(platform::Faults::default());
    deployment
        .engines
        .iter()
        .for_each(|member| member.server.set_faults(engine::Faults::default()));
    deployment
        .services
        .iter()
        .for_each(|member| member.server.set_faults(service::Faults::default()));
}

impl Schedule {
    pub(super) fn new(seed: u64, only: Vec<Fault>) -> Self {
        let faults = if only.is_empty() { Fault::VARIANTS.to_vec() } else { only };
        let rng = StdRng::seed_from_u64(seed);
        Self {
            seed,
            rng,
            faults,
            platform: platform::Faults::default(),
            frozen: Vec::new(),
            count: 0,
            version: 1,
        }
    }

    /// Brings faults about for `span`; answers how many.
    pub(super) async fn run(
        &mut self,
        deployment: &mut Deployment,
        balancer: &Balancer,
        tally: &Tally,
        monitor: &Monitor,
        span: Duration,
    ) -> io::Result<u64> {
        let until = Instant::now() + span;
        while Instant::now() < until {
            let pair = if self.rng.random_bool(0.35) { 2 } else { 1 };
            let chosen: Vec<Fault> = self.faults.sample(&mut self.rng, pair).copied().collect();
            for fault in &chosen {
                self.count += 1;
                self.begin(*fault, deployment, balancer, tally, monitor).await?;
            }
            sleep(Duration::from_millis(self.rng.random_range(500..2_500))).await;
            self.end(deployment, balancer, monitor);
            sleep(Duration::from_millis(self.rng.random_range(200..1_000))).await;
        }
        Ok(self.count)
    }

    async fn begin(
        &mut self,
        fault: Fault,
        deployment: &mut Deployment,
        balancer: &Balancer,
        tally: &Tally,
        monitor: &Monitor,
    ) -> io::Result<()> {
        match fault {
            Fault::KillInstance => self.kill(deployment, balancer).await?,
            Fault::FreezeInstance => self.freeze(deployment, balancer),
            Fault::ReplaceInstance => self.replace(deployment, balancer, tally).await?,
            Fault::PlatformOutage => {
                monitor.set_platform_down(true);
                self.set_platform(deployment, |faults| faults.outage = true);
            }
            Fault::PlatformSlow => self.set_platform(deployment, |faults| faults.slow_ms = 150),
            Fault::LoseAnswers => self.set_platform(deployment, |faults| faults.lose_answers = 5),
            Fault::DelayWrites => self.set_platform(deployment, |faults| {
                faults.delay_writes = 5;
                faults.delay_ms = 700;
            }),
            Fault::FreezeList => self.set_platform(deployment, |faults| faults.list_frozen = true),
            Fault::CrashEngine => self.engine(deployment, |member| member.host.crash()),
            Fault::SilentEngine => self.engine(deployment, |member| {
                member
                    .server
                    .set_faults(engine::Faults { silent_after_tokens: 3, ..Default::default() });
            }),
            Fault::CrashService => {
                if let Some(member) = deployment.services.choose(&mut self.rng) {
                    member
                        .server
                        .set_faults(service::Faults { crash_after_run: 2, ..Default::default() });
                }
            }
            Fault::LeavingEngine => self.leave(deployment)?,
            Fault::OperatorsRace => self.race(deployment, monitor).await?,
            Fault::WeightSwap => self.swap(deployment, monitor).await?,
            Fault::Poison => {
                let name = format!("poison {} of seed {}", self.count, self.seed);
                callers::send_poison(deployment, balancer, &name, self.rng.random()).await;
            }
        }
        Ok(())
    }

    /// Ends what lasts; replacements have already come.
    fn end(&mut self, deployment: &Deployment, balancer: &Balancer, monitor: &Monitor) {
        for index in self.frozen.drain(..) {
            if let Some(instance) = deployment.instances.get(index) {
                instance.signal(Signal::SIGCONT);
                balancer.add(instance.url());
            }
        }
        self.platform = platform::Faults::default();
        mend(deployment);
        monitor.set_platform_down(false);
    }

    fn set_platform(
        &mut self,
        deployment: &Deployment,
        switch: impl FnOnce(&mut platform::Faults),
    ) {
        switch(&mut self.platform);
        deployment.platform.set_faults(self.platform.clone());
    }

    fn engine(
        &mut self,
        deployment: &Deployment,
        act: impl FnOnce(&crate::deployment::ListedEndpoint<engine::Engine>),
    ) {
        let live: Vec<_> = deployment
            .engines
            .iter()
            .filter(|member| member.state == InstanceState::Live)
            .collect();
        if let Some(member) = live.choose(&mut self.rng) {
            act(member);
        }
    }

    /// An instance that is not frozen now.
    fn victim(&mut self, deployment: &Deployment) -> Option<usize> {
        let awake: Vec<usize> =
            (0..deployment.instances.len()).filter(|index| !self.frozen.contains(index)).collect();
        awake.choose(&mut self.rng).copied()
    }

    /// Takes an instance out, keeping the places of frozen ones.
    fn take(&mut self, deployment: &mut Deployment, index: usize) -> Instance {
        for frozen in &mut self.frozen {
            if *frozen > index {
                *frozen -= 1;
            }
        }
        deployment.instances.remove(index)
    }

    async fn kill(&mut self, deployment: &mut Deployment, balancer: &Balancer) -> io::Result<()> {
        let Some(index) = self.victim(deployment) else { return Ok(()) };
        let instance = self.take(deployment, index);
        if let Some(target) = balancer.get(&instance.url()) {
            target.hurt.store(true, Ordering::Release);
        }
        balancer.remove(&instance.url());
        instance.kill();
        add_instance(deployment, balancer).await
    }

    fn freeze(&mut self, deployment: &Deployment, balancer: &Balancer) {
        let Some(index) = self.victim(deployment) else { return };
        let instance = &deployment.instances[index];
        if let Some(target) = balancer.get(&instance.url()) {
            target.hurt.store(true, Ordering::Release);
        }
        balancer.remove(&instance.url());
        instance.signal(Signal::SIGSTOP);
        self.frozen.push(index);
    }

    async fn replace(
        &mut self,
        deployment: &mut Deployment,
        balancer: &Balancer,
        tally: &Tally,
    ) -> io::Result<()> {
        add_instance(deployment, balancer).await?;
        let Some(index) = self.victim(deployment) else { return Ok(()) };
        let instance = self.take(deployment, index);
        let url = instance.url();
        if let Some(target) = balancer.get(&url) {
            target.draining.store(true, Ordering::Release);
        }
        instance.signal(Signal::SIGTERM);
        sleep(BALANCER_LAG).await;
        balancer.remove(&url);
        let name = instance.name.clone();
        let is_clean =
            tokio::task::spawn_blocking(move || instance.stop(STOP_LIMIT)).await.unwrap_or(false);
        if !is_clean {
            eprintln!("{name} did not stop cleanly");
            tally.cut_by_shutdown.fetch_add(1, Ordering::Relaxed);
        }
        deployment.publish();
        Ok(())
    }

    /// The document that an operator edits now.
    fn document(&self, deployment: &Deployment, comment: &str) -> String {
        let version = format!("weight_version = \"v{}\"", self.version);
        let text = deployment.spec.document.replace("weight_version = \"v1\"", &version);
        format!("{text}\n# {comment}\n")
    }

    /// Two operators apply different changes of the same generation.
    async fn race(&self, deployment: &Deployment, monitor: &Monitor) -> io::Result<()> {
        let before = accepted(deployment);
        let first = self.document(deployment, &format!("change {} of operator one", self.count));
        let second = self.document(deployment, &format!("change {} of operator two", self.count));
        let (one, two) =
            tokio::join!(apply(deployment, before, &first), apply(deployment, before, &second));
        if one? && two? {
            monitor.both_won();
        }
        note_accepted(deployment, monitor, before);
        Ok(())
    }

    /// An operator asks for the next weight version.
    async fn swap(&mut self, deployment: &Deployment, monitor: &Monitor) -> io::Result<()> {
        if self.version == LAST_VERSION {
            return Ok(());
        }
        self.version += 1;
        let before = accepted(deployment);
        let text = self.document(deployment, &format!("swap {}", self.count));
        apply(deployment, before, &text).await?;
        note_accepted(deployment, monitor, before);
        Ok(())
    }

    /// One engine begins to leave; another has come before.
    fn leave(&mut self, deployment: &mut Deployment) -> io::Result<()> {
        deployment.add_engine()?;
        let live: Vec<usize> = (0..deployment.engines.len())
            .filter(|index| deployment.engines[*index].state == InstanceState::Live)
            .collect();
        if let Some(index) = live.choose(&mut self.rng) {
            let member = &mut deployment.engines[*index];
            member.state = InstanceState::Leaving;
            member.server.ledger.mark_leaving();
        }
        deployment.publish();
        Ok(())
    }
}

async fn add_instance(deployment: &mut Deployment, balancer: &Balancer) -> io::Result<()> {
    deployment.add_instance()?;
    let Some(url) = deployment.instances.last().map(Instance::url) else { return Ok(()) };
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        if deployment.ready_text(&url).await.is_some() {
            balancer.add(url);
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    // It may come up later; callers do without it.
    Ok(())
}

fn note_accepted(deployment: &Deployment, monitor: &Monitor, before: u64) {
    let after = accepted(deployment);
    if after > before {
        monitor.accepted(after);
    }
}

async fn apply(deployment: &Deployment, edited: u64, text: &str) -> io::Result<bool> {
    let name = format!(
        "bilberryford-{}-{}.toml",
        std::process::id(),
        blake3::hash(text.as_bytes()).to_hex()
    );
    let file: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&file, text)?;
    let status = Command::new(&deployment.spec.binary)
        .args(["apply", "--environment", deployment.spec.environment])
        .args(["--platform-url", &deployment.platform_host.url(), "--edited", &edited.to_string()])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()
        .await?;
    std::fs::remove_file(&file)?;
    Ok(status.success())
}

/// The generation that the platform holds.
fn accepted(deployment: &Deployment) -> u64 {
    let objects = deployment.platform.objects("config");
    let body = objects
        .into_iter()
        .find(|(name, _)| name == deployment.spec.environment)
        .map(|(_, body)| body);
    let body: serde_json::Value =
        body.and_then(|body| serde_json::from_str(&body).ok()).unwrap_or_default();
    body["generation"].as_u64().unwrap_or(0)
}
