//! `demo`: the whole path as separate processes, with real prompts and orders, and a report.

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

/// The document that the demo applies.
const DOCUMENT: &str = include_str!("../../../examples/demo.toml");
/// The document's environment.
const ENVIRONMENT: &str = "trial";
/// The teams of the document and their keys.
const TEAMS: [(&str, &str); 3] = [
    ("linz-formula", "demo-key-linz-formula"),
    ("wels-milk", "demo-key-wels-milk"),
    ("steyr-infant", "demo-key-steyr-infant"),
];
/// How long everything may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// How long load is sent.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// What the demo counted.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Prompts and orders that were sent.
    pub requests: u64,
    /// Answers that matched what was asked, byte for byte.
    pub whole: u64,
    /// Orders among the requests.
    pub orders: u64,
    /// Orders that ran more than once, by the service's own book.
    pub doubled: u64,
    /// Requests with neither a whole answer nor a refusal.
    pub lost: u64,
    /// Refusals.
    pub refused: u64,
    /// Entry instances.
    pub instances: u64,
}

impl Report {
    fn count(&mut self, outcome: &Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Complete => self.whole += 1,
            Outcome::Refused { .. } => self.refused += 1,
            Outcome::Mismatched | Outcome::Cut | Outcome::Ended { .. } | Outcome::Unreached => {
                self.lost += 1
            }
        }
    }

    /// Whether everything came out as promised.
    pub const fn is_good(&self) -> bool {
        self.whole == self.requests - self.refused && self.doubled == 0 && self.lost == 0
    }
}

/// A stand-in as a process.
struct Outside {
    id: String,
    role: Role,
    pool: Option<&'static str>,
    address: SocketAddr,
    child: Child,
}

impl Outside {
    fn start(id: &str, role: Role, pool: Option<&'static str>, what: &str) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["stand-in", what, "--listen", "127.0.0.1:0"])
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

impl Drop for Outside {
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
    platform: Outside,
    outside: Vec<Outside>,
    instances: Vec<Instance>,
    client: reqwest::Client,
}

impl Deployment {
    async fn start() -> io::Result<Self> {
        let binary = find_binary()?;
        let platform = Outside::start("platform", Role::Service, None, "platform")?;
        let mut outside = Vec::new();
        for id in ["engine-1", "engine-2", "engine-3"] {
            outside.push(Outside::start(id, Role::Engine, Some("serving"), "engine")?);
        }
        for id in ["desk-1", "desk-2"] {
            outside.push(Outside::start(id, Role::Service, Some("desk"), "service")?);
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
        let deployment = Self { platform, outside, instances, client: reqwest::Client::new() };
        deployment.publish().await?;
        apply(&binary, &deployment.platform.url())?;
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    async fn publish(&self) -> io::Result<()> {
        let instances = self.outside.iter().filter_map(Outside::record);
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
        let until = Instant::now() + READY_LIMIT;
        let expected = format!("endpoints {}\n", self.outside.len());
        for instance in &self.instances {
            loop {
                let answer = self.client.get(format!("{}/readyz", instance.url())).send().await;
                if let Ok(answer) = answer
                    && answer.status().is_success()
                    && answer.text().await.is_ok_and(|text| text.ends_with(&expected))
                {
                    break;
                }
                if Instant::now() > until {
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
        let until = Instant::now() + LOAD_TIME;
        let mut workers = tokio::task::JoinSet::new();
        for (number, instance) in self.instances.iter().enumerate() {
            for (team, key) in TEAMS {
                let caller = Caller::new(self.client.clone(), key, &["v1"]);
                workers.spawn(work(caller, instance.url(), format!("{team}-{number}"), until));
            }
        }
        while let Some(Ok(part)) = workers.join_next().await {
            report.requests += part.requests;
            report.whole += part.whole;
            report.orders += part.orders;
            report.lost += part.lost;
            report.refused += part.refused;
        }
        report.doubled = self.doubled().await;
        report
    }

    async fn doubled(&self) -> u64 {
        let mut doubled = 0;
        let mut seen = std::collections::HashMap::<String, u32>::new();
        for outside in self.outside.iter().filter(|outside| outside.role == Role::Service) {
            let Ok(response) = self.client.get(format!("{}/book", outside.url())).send().await
            else {
                continue;
            };
            let Ok(book) = response.json::<service::Stats>().await else { continue };
            for (order, runs) in book.orders {
                *seen.entry(order).or_default() += runs;
            }
        }
        for runs in seen.into_values().filter(|runs| *runs > 1) {
            doubled += u64::from(runs - 1);
        }
        doubled
    }

    fn stop(self) -> bool {
        let Self { instances, outside, platform, .. } = self;
        let clean = instances.into_iter().map(|instance| instance.stop(Duration::from_secs(10)));
        let clean = clean.collect::<Vec<_>>().into_iter().all(|clean| clean);
        drop(outside);
        drop(platform);
        clean
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

async fn work(caller: Caller, url: String, name: String, until: Instant) -> Report {
    let mut report = Report::default();
    let mut conversation = String::new();
    for turn in 0_u32.. {
        if Instant::now() > until {
            break;
        }
        conversation.push_str(&format!("{name} turn {turn}: when does the next tin come? "));
        let seen = caller.prompt(&url, "assistant", &conversation, 24, turn % 2 == 0).await;
        report.count(&seen.outcome);
        let key = format!("{name}-{turn}");
        // Every fourth order is sent again with its key, as a caller without an answer would.
        for _ in 0..=u32::from(turn % 4 == 0) {
            report.orders += 1;
            report.count(&caller.order(&url, "desk", &key).await);
        }
    }
    report
}

/// Runs the demo; answers whether everything came out as promised.
///
/// # Errors
///
/// When a process can't be started or does not become ready.
pub async fn run(json: bool, keep: bool) -> io::Result<bool> {
    let deployment = Deployment::start().await?;
    let report = deployment.load().await;
    println!(
        "bilberryford demo: {} entry instances, 3 engines, 2 service instances, 1 platform",
        report.instances
    );
    println!("  requests            {:>8}", report.requests);
    println!("  whole answers       {:>8}", report.whole);
    println!("  refused             {:>8}", report.refused);
    println!("  lost                {:>8}", report.lost);
    println!("  orders sent         {:>8}", report.orders);
    println!("  orders doubled      {:>8}", report.doubled);
    if keep {
        keep_running(&deployment).await?;
    }
    let is_clean = deployment.stop();
    println!("  stopped cleanly     {:>8}", if is_clean { "yes" } else { "no" });
    if json {
        println!("{}", serde_json::to_string(&report).map_err(io::Error::other)?);
    }
    Ok(report.is_good() && is_clean)
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
