//! A small test deployment: stand-ins run in the test process, instances of the real binary as child processes.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_standins::{
    engine::{Engine, EngineSpec},
    host::ServerHandle,
    load::Caller,
    platform::Platform,
    process::{Instance, InstanceSpec},
    service::Service,
    store::{StoreService, StoreSpec},
};
use bilberryford_types::Event;

/// The configuration document of the tests; its API keys are `demo-key-<team>`.
pub(crate) const DOCUMENT: &str = include_str!("../../examples/demo.toml");
/// The API key of the first team in [`DOCUMENT`].
pub(crate) const KEY: &str = "demo-key-linz-formula";
/// Longest wait for a single condition before a test fails.
pub(crate) const LIMIT: Duration = Duration::from_secs(20);
/// Time limit of one request for events.
const EVENTS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A loopback address whose port the system chooses.
pub(crate) fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Stand-ins and instances of one test. Dropping it stops all of them.
///
/// # Invariant
///
/// Fields are dropped in their order, and the instances come first: the ports of stand-ins that have stopped may be those of
/// another test's by then, whose platform would take the writes of these instances for its own.
pub(crate) struct Deployment {
    pub(crate) instances: Vec<Instance>,
    pub(crate) platform: Arc<Platform>,
    pub(crate) platform_host: ServerHandle,
    pub(crate) engines: Vec<(Arc<Engine>, ServerHandle)>,
    pub(crate) services: Vec<(Arc<Service>, ServerHandle)>,
    pub(crate) stores: Vec<(Arc<StoreService>, ServerHandle)>,
    pub(crate) client: reqwest::Client,
    flags: Vec<String>,
}

impl Deployment {
    /// Starts stand-ins and `instances` instances, applies [`DOCUMENT`] and waits until all instances are ready.
    pub(crate) async fn start(instances: usize, spec: &EngineSpec) -> io::Result<Self> {
        Self::start_with(instances, spec, &[]).await
    }

    /// Like [`Self::start`], with additional flags for every instance.
    pub(crate) async fn start_with(
        instances: usize,
        spec: &EngineSpec,
        flags: &[&str],
    ) -> io::Result<Self> {
        Self::start_all(instances, spec, flags, DOCUMENT).await
    }

    /// Like [`Self::start`], with another document and [`fast_engine`]s.
    pub(crate) async fn start_document(instances: usize, document: &str) -> io::Result<Self> {
        Self::start_all(instances, &fast_engine(), &[], document).await
    }

    /// Like [`Self::start`], with another document and two stores, listed as `store-1` and `store-2`.
    pub(crate) async fn start_stores(
        instances: usize,
        spec: &EngineSpec,
        document: &str,
    ) -> io::Result<Self> {
        let mut deployment = Self::start_all(instances, spec, &[], document).await?;
        for _ in 0..2 {
            let store = StoreService::new(StoreSpec::default());
            let host = store.host(loopback())?;
            deployment.stores.push((store, host));
        }
        deployment.publish();
        Ok(deployment)
    }

    async fn start_all(
        instances: usize,
        spec: &EngineSpec,
        flags: &[&str],
        document: &str,
    ) -> io::Result<Self> {
        let platform = Arc::new(Platform::default());
        let platform_host = platform.host(loopback())?;
        let engine = || {
            let engine = Engine::new(spec.clone());
            let host = engine.host(loopback())?;
            io::Result::Ok((engine, host))
        };
        let service = || {
            let service = Arc::new(Service::default());
            let host = service.host(loopback())?;
            io::Result::Ok((service, host))
        };
        let engines = vec![engine()?, engine()?];
        let services = vec![service()?];
        let client = reqwest::Client::new();
        let mut deployment = Self {
            instances: Vec::new(),
            platform,
            platform_host,
            engines,
            services,
            stores: Vec::new(),
            client,
            flags: flags.iter().map(|flag| (*flag).to_owned()).collect(),
        };
        for number in 1..=instances {
            deployment.add_instance(&format!("entry-{number}"))?;
        }
        deployment.apply(1, document).await?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Starts another instance and adds it to the platform's list.
    pub(crate) fn add_instance(&mut self, name: &str) -> io::Result<()> {
        let platform_url = self.platform_host.url();
        self.add_unlisted_instance(name, &platform_url, &[])?;
        self.publish();
        Ok(())
    }

    /// Starts another instance with additional flags. It is listed at the next [`Self::publish`].
    pub(crate) fn add_unlisted_instance(
        &mut self,
        name: &str,
        platform_url: &str,
        flags: &[&str],
    ) -> io::Result<()> {
        let instance = Instance::start(&InstanceSpec {
            binary: PathBuf::from(env!("CARGO_BIN_EXE_bilberryford")),
            name: name.to_owned(),
            data_centre: "linz-1".to_owned(),
            environment: "trial".to_owned(),
            platform_url: platform_url.to_owned(),
            flags: self
                .flags
                .iter()
                .cloned()
                .chain(flags.iter().map(|flag| (*flag).to_owned()))
                .collect(),
        })?;
        self.instances.push(instance);
        Ok(())
    }

    /// Starts another engine and adds it to the platform's list.
    pub(crate) fn add_engine(&mut self, spec: &EngineSpec) -> io::Result<()> {
        let engine = Engine::new(spec.clone());
        let host = engine.host(loopback())?;
        self.engines.push((engine, host));
        self.publish();
        Ok(())
    }

    /// Returns the events that an instance has recorded so far.
    pub(crate) async fn events(&self, instance: usize) -> Vec<Event> {
        let url = format!("{}/events", self.url(instance));
        // A frozen instance never answers.
        let request = self.client.get(url).timeout(EVENTS_TIMEOUT);
        let Ok(response) = request.send().await else { return Vec::new() };
        let text = response.text().await.unwrap_or_default();
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect()
    }

    /// Waits until each of `instances` has an event that matches `predicate`. Returns the elapsed time, or `None` if
    /// one of them has no such event within [`LIMIT`].
    pub(crate) async fn all_have_event(
        &self,
        instances: &[usize],
        predicate: impl Fn(&Event) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        for instance in instances {
            eventually(|| async {
                self.events(*instance).await.iter().any(&predicate).then_some(())
            })
            .await?;
        }
        Some(started.elapsed())
    }

    /// Returns the generation that `/readyz` of an instance reports as in force.
    pub(crate) async fn generation(&self, instance: usize) -> Option<u64> {
        let url = format!("{}/readyz", self.url(instance));
        let text = self.client.get(url).send().await.ok()?.text().await.ok()?;
        text.strip_prefix("generation ")?.split(' ').next()?.parse().ok()
    }

    /// Waits until each of `instances` has `generation` in force. Returns the elapsed time, or `None` after [`LIMIT`]
    /// for one of them.
    pub(crate) async fn all_in_force(
        &self,
        instances: &[usize],
        generation: u64,
    ) -> Option<Duration> {
        let started = Instant::now();
        for instance in instances {
            eventually(|| async {
                (self.generation(*instance).await? == generation).then_some(())
            })
            .await?;
        }
        Some(started.elapsed())
    }

    /// Starts another service endpoint and waits until every instance lists it.
    pub(crate) async fn add_service(&mut self) -> io::Result<()> {
        let service = Arc::new(Service::default());
        let host = service.host(loopback())?;
        self.services.push((service, host));
        self.publish();
        self.wait_ready().await
    }

    /// Sets the platform's list to all endpoints, stores and instances of this deployment.
    pub(crate) fn publish(&self) {
        let engines = self.engines.iter().enumerate().map(|(number, (_, host))| {
            record(&format!("engine-{}", number + 1), Role::Engine, "serving", host.address)
        });
        let services = self.services.iter().enumerate().map(|(number, (_, host))| {
            record(&format!("desk-{}", number + 1), Role::Service, "desk", host.address)
        });
        let stores = self.stores.iter().enumerate().map(|(number, (_, host))| {
            record(&format!("store-{}", number + 1), Role::Store, "", host.address)
        });
        let instances = self.instances.iter().map(Instance::record);
        let records = engines.chain(services).chain(stores).chain(instances);
        self.platform.set_instances(records.collect());
    }

    /// Writes the first configuration object, in the form that `bilberryford apply` writes.
    pub(crate) async fn apply(&self, generation: u64, document: &str) -> io::Result<()> {
        let body = serde_json::json!({ "generation": generation, "document": document });
        let url = format!("{}/objects/config/trial", self.platform_host.url());
        let request = self.client.put(url).header("if-none-match", "*").body(body.to_string());
        request.send().await.map_err(io::Error::other)?;
        Ok(())
    }

    /// Waits until every instance has a configuration in force and lists every endpoint.
    pub(crate) async fn wait_ready(&self) -> io::Result<()> {
        self.wait_ready_at(&(0..self.instances.len()).collect::<Vec<_>>()).await
    }

    /// Like [`Self::wait_ready`], for the given instances only.
    pub(crate) async fn wait_ready_at(&self, instances: &[usize]) -> io::Result<()> {
        let expected = format!("endpoints {}\n", self.engines.len() + self.services.len());
        for instance in instances.iter().map(|number| &self.instances[*number]) {
            let url = format!("{}/readyz", instance.url());
            eventually(|| async {
                let response = self.client.get(&url).send().await.ok()?;
                let is_ok = response.status().is_success();
                (is_ok && response.text().await.ok()?.ends_with(&expected)).then_some(())
            })
            .await
            .ok_or_else(|| io::Error::other("an instance did not become ready within the limit"))?;
        }
        Ok(())
    }

    pub(crate) fn url(&self, instance: usize) -> String {
        self.instances[instance].url()
    }

    /// Returns a caller with the key of the first team.
    pub(crate) fn caller(&self) -> Caller {
        Caller::new(self.client.clone(), KEY, &["v1"])
    }
}

fn record(id: &str, role: Role, pool: &str, address: SocketAddr) -> InstanceRecord {
    InstanceRecord {
        id: id.to_owned(),
        role,
        pool: pool.parse().ok(),
        address,
        peer_address: None,
        data_centre: "linz-1".parse().expect("a name"),
        state: InstanceState::Live,
    }
}

/// An engine without simulated prefill or generation time.
pub(crate) fn fast_engine() -> EngineSpec {
    let version = "v1".parse().expect("a name");
    EngineSpec { prefill_tokens_per_s: 0, token_gap_ms: 0, ..EngineSpec::new(version) }
}

/// Polls `probe` until it returns a value. Returns `None` after [`LIMIT`].
pub(crate) async fn eventually<T, F: Future<Output = Option<T>>>(
    probe: impl Fn() -> F,
) -> Option<T> {
    let deadline = Instant::now() + LIMIT;
    // Polling without a pause would take a core from the processes that the test waits for.
    let mut polls = tokio::time::interval(POLL_INTERVAL);
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while Instant::now() < deadline {
        polls.tick().await;
        if let Some(value) = probe().await {
            return Some(value);
        }
    }
    None
}
