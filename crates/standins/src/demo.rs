//! The `demo` command: runs stand-ins and instances as separate processes, sends prompts and orders, and prints a report.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use bilberryford_platform::{InstanceRecord, InstanceState, Role, wire::InstancesBody};
use bilberryford_types::DataCentreId;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    load::{Caller, Outcome},
    process::{Instance, InstanceSpec, find_binary},
    service,
};

/// The configuration document that the demo applies.
const DOCUMENT: &str = include_str!("../../../examples/demo.toml");
/// The document's environment.
const ENVIRONMENT: &str = "trial";
/// The teams of the document and their API keys.
const TEAMS: [(&str, &str); 3] = [
    ("linz-formula", "demo-key-linz-formula"),
    ("wels-milk", "demo-key-wels-milk"),
    ("steyr-infant", "demo-key-steyr-infant"),
];
/// Time limit for all instances to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(4);

/// The counters of a demo run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Prompts and orders that were sent.
    pub requests: u64,
    /// Complete responses, whose content was checked byte for byte.
    pub whole: u64,
    /// Orders among the requests.
    pub orders: u64,
    /// Duplicate runs of orders, as counted by the services.
    pub doubled: u64,
    /// Requests with neither a complete response nor a refusal.
    pub lost: u64,
    /// Refusals.
    pub refused: u64,
    /// Entry instances.
    pub instances: u64,
}

impl Report {
    fn record(&mut self, outcome: &Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Complete => self.whole += 1,
            Outcome::Refused { .. } => self.refused += 1,
            Outcome::Mismatched | Outcome::Cut | Outcome::Ended { .. } | Outcome::Unreached => {
                self.lost += 1
            }
        }
    }

    /// Returns true if every request was completed or refused and no order ran twice.
    pub const fn has_passed(&self) -> bool {
        self.whole == self.requests - self.refused && self.doubled == 0 && self.lost == 0
    }
}

/// A stand-in as a child process.
struct StandInProcess {
    id: String,
    role: Role,
    pool: Option<&'static str>,
    address: SocketAddr,
    child: Child,
}

impl StandInProcess {
    fn start(id: &str, role: Role, pool: Option<&'static str>, kind: &str) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["stand-in", kind, "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let address =
            line.trim().strip_prefix("listening http=").and_then(|address| address.parse().ok());
        let address =
            address.ok_or_else(|| io::Error::other(format!("{id} did not start: {line:?}")))?;
        Ok(Self { id: id.to_owned(), role, pool, address, child })
    }

    fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    fn record(&self) -> Option<InstanceRecord> {
        Some(InstanceRecord {
            id: self.id.clone(),
            role: self.role,
            pool: self.pool?.parse().ok(),
            address: self.address,
            peer_address: None,
            data_centre: data_centre(),
            state: InstanceState::Live,
        })
    }
}

impl Drop for StandInProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn data_centre() -> DataCentreId {
    "linz-1".parse().unwrap_or_else(|_| unreachable!("the name is made of allowed characters"))
}

/// All processes of the demo.
struct Deployment {
    platform: StandInProcess,
    stand_ins: Vec<StandInProcess>,
    instances: Vec<Instance>,
    client: reqwest::Client,
}

impl Deployment {
    async fn start() -> io::Result<Self> {
        let binary = find_binary()?;
        let platform = StandInProcess::start("platform", Role::Service, None, "platform")?;
        let mut stand_ins = Vec::new();
        for id in ["engine-1", "engine-2", "engine-3"] {
            stand_ins.push(StandInProcess::start(id, Role::Engine, Some("serving"), "engine")?);
        }
        for id in ["desk-1", "desk-2"] {
            stand_ins.push(StandInProcess::start(id, Role::Service, Some("desk"), "service")?);
        }
        let mut instances = Vec::new();
        for name in ["entry-1", "entry-2", "entry-3"] {
            instances.push(Instance::start(&InstanceSpec {
                binary: binary.clone(),
                name: name.to_owned(),
                data_centre: data_centre().to_string(),
                environment: ENVIRONMENT.to_owned(),
                platform_url: platform.url(),
                flags: Vec::new(),
            })?);
        }
        let deployment = Self { platform, stand_ins, instances, client: reqwest::Client::new() };
        deployment.publish().await?;
        apply(&binary, &deployment.platform.url())?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn publish(&self) -> io::Result<()> {
        let instances = self.stand_ins.iter().filter_map(StandInProcess::record);
        let instances = instances.chain(self.instances.iter().map(Instance::record)).collect();
        let url = format!("{}/instances", self.platform.url());
        self.client
            .put(url)
            .json(&InstancesBody { instances })
            .send()
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_LIMIT;
        let expected = format!("endpoints {}\n", self.stand_ins.len());
        for instance in &self.instances {
            loop {
                let response = self.client.get(format!("{}/readyz", instance.url())).send().await;
                if let Ok(response) = response
                    && response.status().is_success()
                    && response.text().await.is_ok_and(|text| text.ends_with(&expected))
                {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!(
                        "{} is not ready in time",
                        instance.name
                    )));
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    async fn load(&self) -> Report {
        let mut report = Report { instances: self.instances.len() as u64, ..Report::default() };
        let deadline = Instant::now() + LOAD_DURATION;
        let mut workers = tokio::task::JoinSet::new();
        for (number, instance) in self.instances.iter().enumerate() {
            for (team, key) in TEAMS {
                let caller = Caller::new(self.client.clone(), key, &["v1"]);
                workers.spawn(run_caller(
                    caller,
                    instance.url(),
                    format!("{team}-{number}"),
                    deadline,
                ));
            }
        }
        while let Some(Ok(part)) = workers.join_next().await {
            report.requests += part.requests;
            report.whole += part.whole;
            report.orders += part.orders;
            report.lost += part.lost;
            report.refused += part.refused;
        }
        report.doubled = self.count_duplicate_orders().await;
        report
    }

    async fn count_duplicate_orders(&self) -> u64 {
        let mut duplicates = 0;
        let mut runs_by_order = std::collections::HashMap::<String, u32>::new();
        for stand_in in self.stand_ins.iter().filter(|stand_in| stand_in.role == Role::Service) {
            let Ok(response) = self.client.get(format!("{}/book", stand_in.url())).send().await
            else {
                continue;
            };
            let Ok(stats) = response.json::<service::Stats>().await else { continue };
            for (order, runs) in stats.orders {
                *runs_by_order.entry(order).or_default() += runs;
            }
        }
        for runs in runs_by_order.into_values().filter(|runs| *runs > 1) {
            duplicates += u64::from(runs - 1);
        }
        duplicates
    }

    fn stop(self) -> bool {
        let Self { instances, stand_ins, platform, .. } = self;
        let stopped = instances.into_iter().map(|instance| instance.stop(Duration::from_secs(10)));
        let is_clean = stopped.collect::<Vec<_>>().into_iter().all(|is_clean| is_clean);
        drop(stand_ins);
        drop(platform);
        is_clean
    }
}

fn apply(binary: &std::path::Path, platform_url: &str) -> io::Result<()> {
    let file = std::env::temp_dir().join(format!("bilberryford-demo-{}.toml", std::process::id()));
    std::fs::write(&file, DOCUMENT)?;
    let status = Command::new(binary)
        .args(["apply", "--environment", ENVIRONMENT, "--platform-url", platform_url])
        .arg(&file)
        .stdout(Stdio::null())
        .status()?;
    std::fs::remove_file(&file)?;
    if status.success() { Ok(()) } else { Err(io::Error::other("the document was not accepted")) }
}

async fn run_caller(caller: Caller, url: String, name: String, deadline: Instant) -> Report {
    let mut report = Report::default();
    let mut conversation = String::new();
    for turn in 0_u32.. {
        if Instant::now() > deadline {
            break;
        }
        conversation.push_str(&format!("{name} turn {turn}: when does the next tin come? "));
        let result = caller.prompt(&url, "assistant", &conversation, 24, turn % 2 == 0).await;
        report.record(&result.outcome);
        let key = format!("{name}-{turn}");
        // Every fourth order is sent again with its key, as a caller that got no response would do.
        for _ in 0..=u32::from(turn % 4 == 0) {
            report.orders += 1;
            report.record(&caller.order(&url, "desk", &key).await);
        }
    }
    report
}

/// Runs the demo. Returns true if [`Report::has_passed`] holds and all instances stopped cleanly.
///
/// # Errors
///
/// Returns an error if a process can't be started or does not become ready.
pub async fn run(json: bool, keep: bool) -> io::Result<bool> {
    let deployment = Deployment::start().await?;
    let report = deployment.load().await;
    println!(
        "bilberryford demo: {} entry instances, 3 engines, 2 service instances, 1 platform",
        report.instances
    );
    println!("  requests            {:>8}", report.requests);
    println!("  complete responses  {:>8}", report.whole);
    println!("  refused             {:>8}", report.refused);
    println!("  lost                {:>8}", report.lost);
    println!("  orders sent         {:>8}", report.orders);
    println!("  duplicate orders    {:>8}", report.doubled);
    if keep {
        keep_running(&deployment).await?;
    }
    let is_clean = deployment.stop();
    println!("  stopped cleanly     {:>8}", if is_clean { "yes" } else { "no" });
    if json {
        println!("{}", serde_json::to_string(&report).map_err(io::Error::other)?);
    }
    Ok(report.has_passed() && is_clean)
}

async fn keep_running(deployment: &Deployment) -> io::Result<()> {
    let url = deployment.instances.first().map(Instance::url).unwrap_or_default();
    println!("running; try:");
    println!(
        "  curl -sN {url}/v1/chat/completions -H 'authorization: Bearer {}' -H 'bilberryford-timeout-ms: 10000' \\\n    \
         -d '{{\"model\":\"assistant\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        TEAMS[0].1
    );
    let urls: Vec<_> = deployment.instances.iter().map(Instance::url).collect();
    println!("  bilberryford timeline --html timeline.html {}", urls.join(" "));
    println!("stop with Ctrl-C");
    tokio::signal::ctrl_c().await
}
