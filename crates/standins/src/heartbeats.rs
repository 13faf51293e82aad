//! `measure heartbeats`: measures the traffic of instances with each other and with the platform, while idle and while
//! the configuration changes. The instances run in this process, over real connections.

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
/// Time for the instances to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Options of the measurements.
#[derive(Debug, Clone)]
pub struct Options {
    /// Numbers of instances, with one measurement each.
    pub members: Vec<usize>,
    /// Duration of each measurement.
    pub duration: Duration,
    /// Accepted configuration changes per second.
    pub changes_per_s: f64,
}

/// One measurement; rates are averages per instance, except where `of_all` says otherwise.
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
/// Returns an error if an instance can't be started or the platform can't be reached.
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
    write_config(&client, &host, 1).await?;
    let mut running = Vec::new();
    for number in 0..members {
        let settings = settings(number, host.url());
        running.push(bilberryford_node::start(settings).await.map_err(io::Error::other)?);
    }
    platform.set_instances(running.iter().enumerate().map(record).collect());
    sleep(SETTLE_TIME).await;
    let (peers_before, platform_before) = (traffic(&running), platform.stats());
    let started = Instant::now();
    let mut generation = 1;
    while started.elapsed() < options.duration {
        sleep(Duration::from_millis(100)).await;
        let due = 1 + (started.elapsed().as_secs_f64() * options.changes_per_s) as u64;
        if generation < due {
            generation += 1;
            write_config(&client, &host, generation).await?;
        }
    }
    let duration_s = started.elapsed().as_secs_f64();
    let (peers_after, platform_after) = (traffic(&running), platform.stats());
    // Each change costs a read and a write by this program.
    let change_calls = 2 * (generation - 1);
    let platform_calls =
        (total_calls(&platform_after) - total_calls(&platform_before) - change_calls) as f64
            / duration_s;
    let rate = |count: u64| count as f64 / duration_s / members as f64;
    Ok(Row {
        members,
        changes_per_s: options.changes_per_s,
        sent_bytes_per_s: rate(peers_after.sent_bytes - peers_before.sent_bytes),
        received_bytes_per_s: rate(peers_after.received_bytes - peers_before.received_bytes),
        calls_per_s: rate(peers_after.calls - peers_before.calls),
        platform_calls_per_s: platform_calls / members as f64,
        platform_calls_per_s_of_all: platform_calls,
    })
}

fn total_calls(stats: &Stats) -> u64 {
    stats.gets + stats.puts + stats.lists + stats.watches + stats.instances
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
    let instance = name.parse().unwrap_or_else(|_| unreachable!("a valid name"));
    let data_centre = "linz-1".parse().unwrap_or_else(|_| unreachable!("a valid name"));
    let environment = "trial".parse().unwrap_or_else(|_| unreachable!("a valid name"));
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
        data_centre: "linz-1".parse().unwrap_or_else(|_| unreachable!("a valid name")),
        state: InstanceState::Live,
    }
}

async fn write_config(
    client: &reqwest::Client,
    host: &ServerHandle,
    generation: u64,
) -> io::Result<()> {
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
