//! `measure slopes`: measures the cost of an instance as one quantity grows, and fits a straight line to the points.
//!
//! Every point is a fresh deployment of real instances without callers, so that only control work is measured. CPU time
//! and memory come from the operating system, calls and bytes from the counters of the platform stand-in.

mod fit;
mod prompts;
mod sample;

use std::{io, time::Duration};

use bilberryford_document::key_digest;
use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    deployment::{Deployment, DeploymentSpec, loopback},
    engine::{Engine, EngineSpec},
    process::find_binary,
};
use fit::Fit;
use sample::{Sample, Sampler};

const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between the start of a deployment and its sample.
const SETTLE_TIME: Duration = Duration::from_secs(2);
const SAMPLE_TIME: Duration = Duration::from_secs(5);

/// The quantity that grows.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Serialize,
    strum::Display,
    strum::EnumString,
    strum::VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Axis {
    /// Entry instances.
    Instances,
    /// Endpoints on the platform's list.
    Endpoints,
    /// Teams in the document.
    Teams,
    /// Configuration changes per second.
    Changes,
    /// Prompts whose blocks are in the block index.
    Prompts,
}

impl Axis {
    const fn values(self) -> &'static [u32] {
        match self {
            Self::Instances => &[2, 4, 8, 16, 32],
            Self::Endpoints => &[8, 64, 256, 512],
            Self::Teams => &[10, 300, 1_000, 3_000],
            Self::Changes => &[0, 1, 2, 4],
            // Measured without processes in `prompts`.
            Self::Prompts => &[],
        }
    }
}

#[derive(Debug, Serialize)]
struct Point {
    axis: Axis,
    value: u32,
    #[serde(flatten)]
    sample: Sample,
}

#[derive(Debug, Serialize)]
struct Slope {
    axis: Axis,
    quantity: &'static str,
    #[serde(flatten)]
    fit: Fit,
}

/// Measures the given axes, or all if `axes` is empty, and prints a line for each point and each slope.
///
/// # Errors
///
/// Returns an error if a process can't be started or does not become ready.
pub async fn run(axes: &[Axis], json: bool) -> io::Result<()> {
    let all = <Axis as strum::VariantArray>::VARIANTS;
    for axis in if axes.is_empty() { all } else { axes } {
        if *axis == Axis::Prompts {
            let (points, slope) = prompts::measure();
            points.iter().try_for_each(|point| print(point, json))?;
            print(&slope, json)?;
            continue;
        }
        let mut points = Vec::new();
        for value in axis.values() {
            let sample = measure_point(*axis, *value).await?;
            let point = Point { axis: *axis, value: *value, sample };
            print(&point, json)?;
            points.push(point);
        }
        for (quantity, read) in Sample::QUANTITIES {
            let pairs: Vec<(f64, f64)> =
                points.iter().map(|point| (f64::from(point.value), read(&point.sample))).collect();
            print(&Slope { axis: *axis, quantity, fit: Fit::of(&pairs) }, json)?;
        }
    }
    Ok(())
}

fn print<T: Serialize + std::fmt::Debug>(line: &T, json: bool) -> io::Result<()> {
    if json {
        println!("{}", serde_json::to_string(line)?);
    } else {
        println!("{line:?}");
    }
    Ok(())
}

async fn measure_point(axis: Axis, value: u32) -> io::Result<Sample> {
    let version = "v1".parse().map_err(io::Error::other)?;
    let teams = if axis == Axis::Teams { value } else { 10 };
    let spec = DeploymentSpec {
        binary: find_binary()?,
        name: "entry",
        environment: "trial",
        document: String::leak(document(teams)),
        engine_pool: "serving",
        service_pool: "desk",
        data_centres: &["linz-1", "linz-2", "linz-3"],
        instances: if axis == Axis::Instances { value as usize } else { 4 },
        engines: 0,
        engine: EngineSpec::new(version),
        services: 0,
        flags: Vec::new(),
    };
    let engine = Engine::new(spec.engine.clone());
    let host = engine.host(loopback())?;
    let endpoints = if axis == Axis::Endpoints { value } else { 8 };
    let mut deployment = Deployment::start(spec, READY_TIMEOUT).await?;
    deployment.extra_records = (0..endpoints).map(|number| record(number, host.address)).collect();
    deployment.publish();
    sleep(SETTLE_TIME).await;
    let sampler = Sampler::start(&deployment);
    if axis == Axis::Changes && value > 0 {
        write_generations(&deployment, value).await?;
    } else {
        sleep(SAMPLE_TIME).await;
    }
    Ok(sampler.finish(&deployment))
}

fn record(number: u32, address: std::net::SocketAddr) -> InstanceRecord {
    InstanceRecord {
        id: format!("engine-{number}"),
        role: Role::Engine,
        pool: "serving".parse().ok(),
        address,
        peer_address: None,
        data_centre: "linz-1".parse().unwrap_or_else(|_| unreachable!("a valid name")),
        state: InstanceState::Live,
    }
}

/// Returns a document with `teams` teams, each as large as in a real document.
fn document(teams: u32) -> String {
    let mut text = String::from("environment = \"trial\"\n");
    for number in 0..teams {
        let digest = key_digest(&format!("key-{number}"));
        text.push_str(&format!(
            "[[teams]]\nname = \"team-{number}\"\nkey_digests = [\"{digest}\"]\npriority = \"standard\"\nshare = 1\n"
        ));
    }
    text.push_str("[[pools]]\nname = \"serving\"\nkind = \"engine\"\n");
    text.push_str(
        "[[models]]\nname = \"assistant\"\npool = \"serving\"\nweight_version = \"v1\"\n",
    );
    text
}

/// Writes new generations at a constant rate for `SAMPLE_TIME`.
async fn write_generations(deployment: &Deployment, rate_per_s: u32) -> io::Result<()> {
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate_per_s);
    let url = format!("{}/objects/config/trial", deployment.platform_host.url());
    for number in 0..rate_per_s * u32::try_from(SAMPLE_TIME.as_secs()).unwrap_or(1) {
        ticks.tick().await;
        let current = deployment.client.get(&url).send().await.map_err(io::Error::other)?;
        let version = current.headers().get("etag").cloned();
        let document = format!("{}# change {number}\n", deployment.spec.document);
        let body =
            serde_json::json!({ "generation": number + 2, "document": document }).to_string();
        let mut request = deployment.client.put(&url).body(body);
        if let Some(version) = version {
            request = request.header("if-match", version);
        }
        request.send().await.map_err(io::Error::other)?;
    }
    Ok(())
}
