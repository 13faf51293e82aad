//! Draws faults from a seed and injects them, singly and in pairs.

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
    callers::{self, Balancer, CallerStats},
    monitor::Monitor,
};
use crate::{deployment::Deployment, engine, platform, process::Instance, service};

const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time until the balancer notices that an instance is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(150);
/// Last weight version that callers accept.
const LAST_WEIGHT_VERSION: u32 = 12;
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A fault that can be injected.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// An instance is killed and replaced.
    KillInstance,
    /// An instance is stopped by a signal and later continued.
    FreezeInstance,
    /// An instance is replaced gracefully.
    ReplaceInstance,
    /// The platform refuses every call.
    PlatformOutage,
    /// The platform is slow.
    PlatformSlow,
    /// Responses of the platform are lost after the write took effect.
    LoseAnswers,
    /// Writes take effect after they were reported as failed.
    DelayWrites,
    /// The platform's list does not change.
    FreezeList,
    /// An engine crashes.
    CrashEngine,
    /// Streams of an engine stall.
    SilentEngine,
    /// A service instance crashes after it ran an order.
    CrashService,
    /// An engine is added and a live one leaves.
    LeavingEngine,
    /// Two operators change the same generation at the same time.
    OperatorsRace,
    /// A caller sends a request that crashes engines.
    Poison,
    /// An operator changes the weight version.
    WeightSwap,
}

/// Draws faults and injects them.
#[derive(Debug)]
pub(super) struct Schedule {
    seed: u64,
    rng: StdRng,
    faults: Vec<Fault>,
    platform: platform::Faults,
    frozen: Vec<usize>,
    count: u64,
    /// The weight version in the current document.
    version: u32,
}

/// Switches off all faults of the stand-ins.
pub(super) fn clear_faults(deployment: &Deployment) {
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

    /// Injects faults for `duration` and returns their number.
    pub(super) async fn run(
        &mut self,
        deployment: &mut Deployment,
        balancer: &Balancer,
        stats: &CallerStats,
        monitor: &Monitor,
        duration: Duration,
    ) -> io::Result<u64> {
        let until = Instant::now() + duration;
        while Instant::now() < until {
            let fault_count = if self.rng.random_bool(0.35) { 2 } else { 1 };
            let chosen: Vec<Fault> =
                self.faults.sample(&mut self.rng, fault_count).copied().collect();
            for fault in &chosen {
                self.count += 1;
                self.inject(*fault, deployment, balancer, stats, monitor).await?;
            }
            sleep(Duration::from_millis(self.rng.random_range(500..2_500))).await;
            self.recover(deployment, balancer, monitor);
            sleep(Duration::from_millis(self.rng.random_range(200..1_000))).await;
        }
        Ok(self.count)
    }

    async fn inject(
        &mut self,
        fault: Fault,
        deployment: &mut Deployment,
        balancer: &Balancer,
        stats: &CallerStats,
        monitor: &Monitor,
    ) -> io::Result<()> {
        match fault {
            Fault::KillInstance => self.kill(deployment, balancer).await?,
            Fault::FreezeInstance => self.freeze(deployment, balancer),
            Fault::ReplaceInstance => self.replace(deployment, balancer, stats).await?,
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
            Fault::CrashEngine => self.with_live_engine(deployment, |member| member.host.crash()),
            Fault::SilentEngine => self.with_live_engine(deployment, |member| {
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
            Fault::LeavingEngine => self.replace_engine(deployment)?,
            Fault::OperatorsRace => self.race_operators(deployment, monitor).await?,
            Fault::WeightSwap => self.change_weight_version(deployment, monitor).await?,
            Fault::Poison => {
                let name = format!("poison {} of seed {}", self.count, self.seed);
                callers::send_poison(deployment, balancer, &name, self.rng.random()).await;
            }
        }
        Ok(())
    }

    /// Ends the faults that last: frozen instances continue and the stand-ins' faults are switched off. Killed
    /// instances were already replaced.
    fn recover(&mut self, deployment: &Deployment, balancer: &Balancer, monitor: &Monitor) {
        for index in self.frozen.drain(..) {
            if let Some(instance) = deployment.instances.get(index) {
                instance.signal(Signal::SIGCONT);
                balancer.add(instance.url());
            }
        }
        self.platform = platform::Faults::default();
        clear_faults(deployment);
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

    /// Calls `act` with a random live engine.
    fn with_live_engine(
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

    /// Returns the index of a random instance that is not frozen.
    fn pick_running(&mut self, deployment: &Deployment) -> Option<usize> {
        let running: Vec<usize> =
            (0..deployment.instances.len()).filter(|index| !self.frozen.contains(index)).collect();
        running.choose(&mut self.rng).copied()
    }

    /// Removes an instance and adjusts the indices of frozen ones.
    fn remove_instance(&mut self, deployment: &mut Deployment, index: usize) -> Instance {
        for frozen in &mut self.frozen {
            if *frozen > index {
                *frozen -= 1;
            }
        }
        deployment.instances.remove(index)
    }

    async fn kill(&mut self, deployment: &mut Deployment, balancer: &Balancer) -> io::Result<()> {
        let Some(index) = self.pick_running(deployment) else { return Ok(()) };
        let instance = self.remove_instance(deployment, index);
        if let Some(target) = balancer.get(&instance.url()) {
            target.disrupted.store(true, Ordering::Release);
        }
        balancer.remove(&instance.url());
        instance.kill();
        add_instance(deployment, balancer).await
    }

    fn freeze(&mut self, deployment: &Deployment, balancer: &Balancer) {
        let Some(index) = self.pick_running(deployment) else { return };
        let instance = &deployment.instances[index];
        if let Some(target) = balancer.get(&instance.url()) {
            target.disrupted.store(true, Ordering::Release);
        }
        balancer.remove(&instance.url());
        instance.signal(Signal::SIGSTOP);
        self.frozen.push(index);
    }

    async fn replace(
        &mut self,
        deployment: &mut Deployment,
        balancer: &Balancer,
        stats: &CallerStats,
    ) -> io::Result<()> {
        add_instance(deployment, balancer).await?;
        let Some(index) = self.pick_running(deployment) else { return Ok(()) };
        let instance = self.remove_instance(deployment, index);
        let url = instance.url();
        if let Some(target) = balancer.get(&url) {
            target.draining.store(true, Ordering::Release);
        }
        instance.signal(Signal::SIGTERM);
        sleep(BALANCER_LAG).await;
        balancer.remove(&url);
        let name = instance.name.clone();
        let is_clean =
            tokio::task::spawn_blocking(move || instance.stop(STOP_TIMEOUT)).await.unwrap_or(false);
        if !is_clean {
            eprintln!("{name} did not stop cleanly");
            stats.cut_by_shutdown.fetch_add(1, Ordering::Relaxed);
        }
        deployment.publish();
        Ok(())
    }

    /// Returns the current document with a comment that makes it unique.
    fn edited_document(&self, deployment: &Deployment, comment: &str) -> String {
        let version = format!("weight_version = \"v{}\"", self.version);
        let text = deployment.spec.document.replace("weight_version = \"v1\"", &version);
        format!("{text}\n# {comment}\n")
    }

    /// Two operators apply different changes of the same generation.
    async fn race_operators(&self, deployment: &Deployment, monitor: &Monitor) -> io::Result<()> {
        let before = accepted_generation(deployment);
        let first =
            self.edited_document(deployment, &format!("change {} of operator one", self.count));
        let second =
            self.edited_document(deployment, &format!("change {} of operator two", self.count));
        let (one, two) =
            tokio::join!(apply(deployment, before, &first), apply(deployment, before, &second));
        if one? && two? {
            monitor.record_double_accept();
        }
        record_accepted(deployment, monitor, before);
        Ok(())
    }

    /// An operator applies a document with the next weight version.
    async fn change_weight_version(
        &mut self,
        deployment: &Deployment,
        monitor: &Monitor,
    ) -> io::Result<()> {
        if self.version == LAST_WEIGHT_VERSION {
            return Ok(());
        }
        self.version += 1;
        let before = accepted_generation(deployment);
        let text = self.edited_document(deployment, &format!("swap {}", self.count));
        apply(deployment, before, &text).await?;
        record_accepted(deployment, monitor, before);
        Ok(())
    }

    /// Adds an engine, then lists a random live engine as leaving.
    fn replace_engine(&mut self, deployment: &mut Deployment) -> io::Result<()> {
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
    let until = Instant::now() + READY_TIMEOUT;
    while Instant::now() < until {
        if deployment.ready_text(&url).await.is_some() {
            balancer.add(url);
            return Ok(());
        }
        sleep(Duration::from_millis(20)).await;
    }
    // The instance may still become ready later; callers do not use it.
    Ok(())
}

fn record_accepted(deployment: &Deployment, monitor: &Monitor, before: u64) {
    let after = accepted_generation(deployment);
    if after > before {
        monitor.record_accepted(after);
    }
}

async fn apply(deployment: &Deployment, expected: u64, text: &str) -> io::Result<bool> {
    let name = format!(
        "bilberryford-{}-{}.toml",
        std::process::id(),
        blake3::hash(text.as_bytes()).to_hex()
    );
    let file: PathBuf = std::env::temp_dir().join(name);
    std::fs::write(&file, text)?;
    let status = Command::new(&deployment.spec.binary)
        .args(["apply", "--environment", deployment.spec.environment])
        .args([
            "--platform-url",
            &deployment.platform_host.url(),
            "--edited",
            &expected.to_string(),
        ])
        .arg(&file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status()
        .await?;
    std::fs::remove_file(&file)?;
    Ok(status.success())
}

/// Returns the generation that the platform stores, or 0 if there is none.
fn accepted_generation(deployment: &Deployment) -> u64 {
    let objects = deployment.platform.objects("config");
    let body = objects
        .into_iter()
        .find(|(name, _)| name == deployment.spec.environment)
        .map(|(_, body)| body);
    let body: serde_json::Value =
        body.and_then(|body| serde_json::from_str(&body).ok()).unwrap_or_default();
    body["generation"].as_u64().unwrap_or(0)
}
