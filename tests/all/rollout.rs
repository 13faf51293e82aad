//! Roll-outs of weights over real instances, under load, with the controller killed in the middle.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bilberryford_endpoint::ControlReport;
use bilberryford_standins::{
    deployment::{Deployment, DeploymentSpec},
    engine::{EngineSpec, control::ControlSpec},
    load::{Caller, Outcome},
    weight_store::WeightStore,
};
use rstest::rstest;
use serde_json::Value;

use crate::support::{DOCUMENT, KEY, fast_engine};

/// How long a roll-out may take: a lease runs out, instances see a change, six engines load.
pub(crate) const ROLLOUT_LIMIT: Duration = Duration::from_secs(60);
/// How long a load takes, in milliseconds.
const LOAD_MS: u64 = 300;

/// The document with a weight version and a floor.
pub(crate) fn document(version: &str, floor: u32, checks_fencing: bool) -> String {
    let model = format!("weight_version = \"{version}\"\nmin_available = {floor}");
    DOCUMENT
        .replace("weight_version = \"v1\"", &model)
        .replace("checks_fencing = true", &format!("checks_fencing = {checks_fencing}"))
}

pub(crate) struct Rollout {
    pub(crate) deployment: Deployment,
    pub(crate) store: Arc<WeightStore>,
}

impl Rollout {
    /// Three instances and six engines that serve `v1`.
    pub(crate) async fn start(floor: u32, checks_fencing: bool) -> Self {
        let store = WeightStore::new(LOAD_MS);
        let control = ControlSpec { checks_fencing, weight_store: store.clone() };
        let spec = DeploymentSpec {
            binary: PathBuf::from(env!("CARGO_BIN_EXE_bilberryford")),
            name: "entry",
            environment: "trial",
            document: document("v1", floor, checks_fencing).leak(),
            engine_pool: "serving",
            service_pool: "desk",
            data_centres: &["linz-1"],
            instances: 3,
            engines: 6,
            engine: EngineSpec { control, token_gap_ms: 2, ..fast_engine() },
            services: 1,
            flags: Vec::new(),
        };
        let deployment = Deployment::start(spec, ROLLOUT_LIMIT).await.unwrap();
        Self { deployment, store }
    }

    /// Replaces the document, as an operator's `apply` would.
    pub(crate) async fn change(&self, generation: u64, document: &str) {
        let url = format!("{}/objects/config/trial", self.deployment.platform_host.url());
        let found = self.deployment.client.get(&url).send().await.unwrap();
        let tag = found.headers()["etag"].clone();
        let body = serde_json::json!({ "generation": generation, "document": document });
        let request = self.deployment.client.put(&url).header("if-match", tag);
        let answer = request.body(body.to_string()).send().await.unwrap();
        assert!(answer.status().is_success());
    }

    /// The holder of the roll-out lease and its fencing number.
    pub(crate) fn lease(&self) -> Option<(usize, u64)> {
        let objects = self.deployment.platform.objects("lease");
        let (_, body) = objects.into_iter().find(|(name, _)| name == "trial.rollout")?;
        let record: Value = serde_json::from_str(&body).ok()?;
        let holder = record["holder"]["instance"].as_str()?;
        let mut instances = self.deployment.instances.iter();
        Some((instances.position(|one| one.name == holder)?, record["fencing"].as_u64()?))
    }

    async fn report(&self, engine: usize) -> Option<ControlReport> {
        let url = format!("{}/control", self.deployment.engines[engine].host.url());
        self.deployment.client.get(url).send().await.ok()?.json().await.ok()
    }

    /// How many engines serve `version` now.
    pub(crate) async fn serving(&self, version: &str) -> usize {
        let version = version.parse().unwrap();
        let reports = (0..self.deployment.engines.len()).map(|engine| self.report(engine));
        let reports = futures::future::join_all(reports).await;
        reports.into_iter().flatten().filter(|report| report.serves(&version)).count()
    }

    pub(crate) async fn until_serving(&self, version: &str, count: usize) {
        let until = Instant::now() + ROLLOUT_LIMIT;
        while self.serving(version).await < count {
            assert!(Instant::now() < until, "too few engines serve {version}");
        }
    }

    /// Waits until an engine has answered a report.
    pub(crate) async fn until_reported(&self, engine: usize) {
        self.report(engine).await.expect("the engine answers");
    }

    pub(crate) async fn until_held(&self, above: u64) -> (usize, u64) {
        let until = Instant::now() + ROLLOUT_LIMIT;
        loop {
            if let Some(lease) = self.lease().filter(|(_, fencing)| *fencing > above) {
                return lease;
            }
            assert!(Instant::now() < until, "nobody took the lease");
            tokio::task::yield_now().await;
        }
    }
}

/// Prompts one after the other until `stop`; how each ended.
async fn call(caller: Caller, url: String, number: usize, stop: Arc<AtomicBool>) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let prompt = format!("caller {number} asks {}", outcomes.len());
        outcomes.push(caller.prompt(&url, "assistant", &prompt, 20, true).await.outcome);
    }
    outcomes
}

#[rstest]
#[case::two_loads_at_once(1, 2)]
#[case::the_floor_lets_one_load(5, 1)]
#[tokio::test]
async fn a_roll_out_under_load_outlives_its_controller(
    #[case] floor: u32,
    #[case] most_loads: u32,
) {
    let mut rollout = Rollout::start(floor, true).await;
    let (holder, fencing) = rollout.until_held(0).await;
    let stop = Arc::new(AtomicBool::new(false));
    let caller = Caller::new(rollout.deployment.client.clone(), KEY, &["v1", "v2"]);
    let instances = (0..3).filter(|instance| *instance != holder);
    let urls: Vec<_> =
        instances.map(|instance| rollout.deployment.instances[instance].url()).collect();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let url = urls[number % urls.len()].clone();
            tokio::spawn(call(caller.clone(), url, number, stop.clone()))
        })
        .collect();
    rollout.change(2, &document("v2", floor, true)).await;
    rollout.until_serving("v2", 1).await;
    rollout.deployment.instances.remove(holder).kill();
    rollout.until_held(fencing).await;
    rollout.until_serving("v2", 6).await;
    stop.store(true, Ordering::Release);
    let outcomes: Vec<_> = futures::future::join_all(callers).await;
    let outcomes: Vec<_> = outcomes.into_iter().flat_map(Result::unwrap).collect();
    let failed: Vec<_> = outcomes.iter().filter(|outcome| **outcome != Outcome::Complete).collect();
    assert!(
        outcomes.len() > 100 && failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    let book = rollout.store.stats();
    assert_eq!((book.max_running, book.started), (most_loads, 6));
    let caller = Caller::new(rollout.deployment.client.clone(), KEY, &["v2"]);
    for url in urls {
        let seen = caller.prompt(&url, "assistant", "which version?", 20, true).await;
        assert_eq!(seen.outcome, Outcome::Complete);
    }
}
