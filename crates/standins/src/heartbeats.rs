//! Measures what instances exchange with each other and with the platform when nothing happens and when the
//! configuration changes. The instances run in this process, over real connections.

use std::{io, sync::Arc, time::Duration};

use bilberryford_node::{NodeSettings, RunningInstance};
use bilberryford_peer::PeerTraffic;
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::TimeMs;
use serde::Serialize;
use tokio::time::{Instant, sleep};

use crate::{
    deployment::loopback,
    host::ServerHandle,
    platform::{Platform, Stats},
};

/// The document that the instances have in force.
const DOCUMENT: &str = include_str!("../../../examples/demo.toml");
/// How long the members get to know each other.
const SETTLE: Duration = Duration::from_secs(8);

/// What is measured.
#[derive(Debug, Clone)]
pub struct Options {
    /// How many instances, one measurement each.
    pub members: Vec<usize>,
    /// How long each is measured.
    pub span: Duration,
    /// Accepted changes a second.
    pub changes_per_s: f64,
}

/// One measurement; rates are for one instance on average.
#[derive(Debug, Clone, Serialize)]
struct Row {
    members: usize,
    changes_per_s: f64,
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    calls_per_s: f64,
    platform_calls_per_s: f64,
    platform_calls_per_s_of_all: f64,
}

/// Measures and prints one line of JSON for each number of members.
///
/// # Errors
///
/// When an instance can't be started.
pub async fn run(options: &Options) -> io::Result<()> {
    for members in &options.members {
        let row = measure(*members, options).await?;
        println!("{}", serde_json::to_string(&row).map_err(io::Error::other)?);
    }
    Ok(())
}

async fn measure(members: usize, options: &Options) -> io::Result<Row> {
    let platform = Arc::new(Platform::default());
    let host = platform.host(loopback())?;
    let client = reqwest::Client::new();
    write(&client, &host, 1).await?;
    let mut running = Vec::new();
    for number in 0..members {
        let settings = settings(number, host.url());
        running.push(bilberryford_node::start(settings).await.map_err(io::Error::other)?);
    }
    platform.set_instances(running.iter().enumerate().map(record).collect());
    sleep(SETTLE).await;
    let (before, book) = (traffic(&running), platform.stats());
    let since = Instant::now();
    let mut generation = 1;
    while since.elapsed() < options.span {
        sleep(Duration::from_millis(100)).await;
        let due = 1 + (since.elapsed().as_secs_f64() * options.changes_per_s) as u64;
        if generation < due {
            generation += 1;
            write(&client, &host, generation).await?;
        }
    }
    let span_s = since.elapsed().as_secs_f64();
    let (after, book_after) = (traffic(&running), platform.stats());
    // The changes themselves are this program's calls.
    let own_calls = 2 * (generation - 1);
    let platform_calls = (calls(&book_after) - calls(&book) - own_calls) as f64 / span_s;
    let rate = |count: u64| count as f64 / span_s / members as f64;
    Ok(Row {
        members,
        changes_per_s: options.changes_per_s,
        sent_bytes_per_s: rate(after.sent_bytes - before.sent_bytes),
        received_bytes_per_s: rate(after.received_bytes - before.received_bytes),
        calls_per_s: rate(after.calls - before.calls),
        platform_calls_per_s: platform_calls / members as f64,
        platform_calls_per_s_of_all: platform_calls,
    })
}

fn calls(book: &Stats) -> u64 {
    book.gets + book.puts + book.lists + book.watches + book.instances
}

fn traffic(running: &[RunningInstance]) -> PeerTraffic {
    running.iter().map(RunningInstance::peer_traffic).fold(PeerTraffic::default(), |sum, one| {
        PeerTraffic {
            sent_bytes: sum.sent_bytes + one.sent_bytes,
            received_bytes: sum.received_bytes + one.received_bytes,
            calls: sum.calls + one.calls,
        }
    })
}

fn settings(number: usize, platform_url: String) -> NodeSettings {
    let name = "entry-".to_owned() + &number.to_string();
    let instance = name.parse().unwrap_or_else(|_| unreachable!("it is a name"));
    let data_centre = "linz-1".parse().unwrap_or_else(|_| unreachable!("it is a name"));
    let environment = "trial".parse().unwrap_or_else(|_| unreachable!("it is a name"));
    let run_key = "a key for stand-ins only".to_owned();
    NodeSettings {
        drain_delay: TimeMs(0),
        drain_limit: TimeMs(0),
        worker_threads: 1,
        ..NodeSettings::new(instance, data_centre, environment, platform_url, run_key)
    }
}

fn record((number, running): (usize, &RunningInstance)) -> InstanceRecord {
    InstanceRecord {
        id: format!("entry-{number}"),
        role: Role::Entry,
        pool: None,
        address: running.address(),
        peer_address: Some(running.peer_address()),
        data_centre: "linz-1".parse().unwrap_or_else(|_| unreachable!("it is a name")),
        state: InstanceState::Live,
    }
}

async fn write(client: &reqwest::Client, host: &ServerHandle, generation: u64) -> io::Result<()> {
    let url = format!("{}/objects/config/trial", host.url());
    let found = client.get(&url).send().await.map_err(io::Error::other)?;
    let share = format!("share = {}", 3 + generation % 7);
    let document = DOCUMENT.replacen("share = 3", &share, 1);
    let body = serde_json::json!({ "generation": generation, "document": document });
    let request = match found.headers().get("etag") {
        Some(version) => client.put(url).header("if-match", version),
        None => client.put(url).header("if-none-match", "*"),
    };
    request.body(body.to_string()).send().await.map_err(io::Error::other)?;
    Ok(())
}
