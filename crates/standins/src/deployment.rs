//! A deployment for tests and measurements: stand-ins in this process and entry instances as child processes.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use tokio::time::sleep;

use crate::{
    engine::{Engine, EngineSpec},
    host::ServerHandle,
    platform::Platform,
    process::{Instance, InstanceSpec},
    service::Service,
};

/// Interval between two checks of an instance's readiness.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// Path of the `bilberryford` binary.
    pub binary: PathBuf,
    /// Prefix of the names of its instances.
    pub name: &'static str,
    /// The environment.
    pub environment: &'static str,
    /// The document of generation 1.
    pub document: &'static str,
    /// The pool of its engines.
    pub engine_pool: &'static str,
    /// The pool of its services.
    pub service_pool: &'static str,
    /// The data centres, assigned round robin.
    pub data_centres: &'static [&'static str],
    /// Number of entry instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Settings of the engines.
    pub engine: EngineSpec,
    /// Number of service instances.
    pub services: usize,
    /// Additional flags for every instance.
    pub flags: Vec<String>,
}

/// An endpoint stand-in and its row in the platform's list of instances.
#[derive(Debug)]
pub struct ListedEndpoint<T> {
    /// The id in the list.
    pub id: String,
    /// The stand-in's settings, faults and counters.
    pub server: Arc<T>,
    /// Its HTTP server.
    pub host: ServerHandle,
    /// The state in the list.
    pub state: InstanceState,
}

/// A running deployment; dropping it stops all its parts.
///
/// # Invariant
///
/// Fields are dropped in their order, and the instances come first: the ports of stand-ins that have stopped may be those of
/// another deployment's by then, whose platform would take the writes of these instances for its own.
#[derive(Debug)]
pub struct Deployment {
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// Its settings.
    pub spec: DeploymentSpec,
    /// The platform.
    pub platform: Arc<Platform>,
    /// The platform's HTTP server.
    pub platform_host: ServerHandle,
    /// The engines.
    pub engines: Vec<ListedEndpoint<Engine>>,
    /// The service instances.
    pub services: Vec<ListedEndpoint<Service>>,
    /// Additional rows of the list, for endpoints that do not exist.
    pub extra_records: Vec<InstanceRecord>,
    /// The HTTP client that callers share.
    pub client: reqwest::Client,
    started_count: usize,
}

/// Returns the loopback address with port 0, which binds any free port.
pub fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

impl Deployment {
    /// Starts everything, writes the document as generation 1 and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or does not become ready within `limit`.
    pub async fn start(spec: DeploymentSpec, limit: Duration) -> io::Result<Self> {
        let platform = Arc::new(Platform::default());
        let platform_host = platform.host(loopback())?;
        let client = reqwest::Client::new();
        let mut deployment = Self {
            instances: Vec::new(),
            spec,
            platform,
            platform_host,
            engines: Vec::new(),
            services: Vec::new(),
            extra_records: Vec::new(),
            client,
            started_count: 0,
        };
        for _ in 0..deployment.spec.engines {
            deployment.add_engine()?;
        }
        for number in 0..deployment.spec.services {
            let server = Arc::new(Service::default());
            let host = server.host(loopback())?;
            let id = format!("{}-{}", deployment.spec.service_pool, number + 1);
            deployment.services.push(ListedEndpoint {
                id,
                server,
                host,
                state: InstanceState::Live,
            });
        }
        for _ in 0..deployment.spec.instances {
            deployment.add_instance()?;
        }
        deployment.publish();
        deployment.write_first_document().await?;
        deployment.wait_ready(limit).await?;
        Ok(deployment)
    }

    /// Adds an engine under a new name; it is listed at the next [`Deployment::publish`].
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn add_engine(&mut self) -> io::Result<()> {
        self.started_count += 1;
        let server = Engine::new(self.spec.engine.clone());
        let host = server.host(loopback())?;
        let id = format!("engine-{}", self.started_count);
        self.engines.push(ListedEndpoint { id, server, host, state: InstanceState::Live });
        Ok(())
    }

    /// Starts one more entry instance under a new name and lists it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn add_instance(&mut self) -> io::Result<()> {
        self.started_count += 1;
        let data_centres = self.spec.data_centres;
        let instance = Instance::start(&InstanceSpec {
            binary: self.spec.binary.clone(),
            name: format!("{}-{}", self.spec.name, self.started_count),
            data_centre: data_centres[self.started_count % data_centres.len()].to_owned(),
            environment: self.spec.environment.to_owned(),
            platform_url: self.platform_host.url(),
            flags: self.spec.flags.clone(),
        })?;
        self.instances.push(instance);
        self.publish();
        Ok(())
    }

    /// Writes all current endpoints and instances to the platform's list.
    pub fn publish(&self) {
        let data_centre =
            |number: usize| self.spec.data_centres[number % self.spec.data_centres.len()];
        let engines = self.engines.iter().enumerate().map(|(number, member)| {
            list_record(member, Role::Engine, self.spec.engine_pool, data_centre(number))
        });
        let services = self.services.iter().enumerate().map(|(number, member)| {
            list_record(member, Role::Service, self.spec.service_pool, data_centre(number))
        });
        let instances = self.instances.iter().map(Instance::record);
        self.platform.set_instances(
            engines.chain(services).chain(instances).chain(self.extra_records.clone()).collect(),
        );
    }

    async fn write_first_document(&self) -> io::Result<()> {
        let body = serde_json::json!({ "generation": 1, "document": self.spec.document });
        let url = format!("{}/objects/config/{}", self.platform_host.url(), self.spec.environment);
        let request = self.client.put(url).header("if-none-match", "*").body(body.to_string());
        request.send().await.map_err(io::Error::other)?;
        Ok(())
    }

    /// Returns the body of an instance's `/readyz`, or `None` if the instance is not ready.
    pub async fn ready_text(&self, url: &str) -> Option<String> {
        let request = self.client.get(format!("{url}/readyz")).timeout(Duration::from_millis(500));
        let response = request.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.text().await.ok()
    }

    /// Waits until every instance serves a configuration and sees every endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance is not ready within `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let expected = format!("endpoints {}\n", self.engines.len() + self.services.len());
        let deadline = Instant::now() + limit;
        for instance in &self.instances {
            while !self
                .ready_text(&instance.url())
                .await
                .is_some_and(|text| text.ends_with(&expected))
            {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!(
                        "{} is not ready in time",
                        instance.name
                    )));
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

fn list_record<T>(
    member: &ListedEndpoint<T>,
    role: Role,
    pool: &str,
    data_centre: &str,
) -> InstanceRecord {
    InstanceRecord {
        id: member.id.clone(),
        role,
        pool: pool.parse().ok(),
        address: member.host.address,
        peer_address: None,
        data_centre: data_centre
            .parse()
            .unwrap_or_else(|_| unreachable!("data centres of a spec are names")),
        state: member.state,
    }
}
