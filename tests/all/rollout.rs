//! Weight roll-outs under load, with the instance that controls them killed part-way.

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

/// Longest wait of a roll-out: a lease expires, instances read a change and six engines load weights.
pub(crate) const ROLLOUT_LIMIT: Duration = Duration::from_secs(60);
/// Time an engine takes to load weights, in milliseconds.
const LOAD_MS: u64 = 300;

/// Returns the document with a weight version and `floor` engines that must stay available.
pub(crate) fn document(version: &str, floor: u32, checks_fencing: bool) -> String {
    let model = format!("weight_version = \"{version}\"\nmin_available = {floor}");
    DOCUMENT
        .replace("weight_version = \"v1\"", &model)
        .replace("checks_fencing = true", &format!("checks_fencing = {checks_fencing}"))
}

/// A deployment for weight roll-outs.
pub(crate) struct Rollout {
    pub(crate) deployment: Deployment,
    pub(crate) store: Arc<WeightStore>,
}

impl Rollout {
    /// Starts three instances, and six engines that serve `v1`.
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

    /// Replaces the configuration object, in the form that `bilberryford apply` writes.
    pub(crate) async fn replace_document(&self, generation: u64, document: &str) {
        let url = format!("{}/objects/config/trial", self.deployment.platform_host.url());
        let stored = self.deployment.client.get(&url).send().await.unwrap();
        let tag = stored.headers()["etag"].clone();
        let body = serde_json::json!({ "generation": generation, "document": document });
        let request = self.deployment.client.put(&url).header("if-match", tag);
        let response = request.body(body.to_string()).send().await.unwrap();
        assert!(response.status().is_success());
    }

    /// Returns the index of the instance that holds the roll-out lease, and its fencing number.
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

    /// Counts the engines that serve `version`.
    pub(crate) async fn count_serving(&self, version: &str) -> usize {
        let version = version.parse().unwrap();
        let reports = (0..self.deployment.engines.len()).map(|engine| self.report(engine));
        let reports = futures::future::join_all(reports).await;
        reports.into_iter().flatten().filter(|report| report.serves(&version)).count()
    }

    /// Waits until at least `count` engines serve `version`; panics after [`ROLLOUT_LIMIT`].
    pub(crate) async fn wait_until_serving(&self, version: &str, count: usize) {
        let deadline = Instant::now() + ROLLOUT_LIMIT;
        while self.count_serving(version).await < count {
            assert!(Instant::now() < deadline, "fewer than {count} engines serve {version}");
        }
    }

    /// Waits for one control report of an engine.
    pub(crate) async fn wait_for_report(&self, engine: usize) {
        self.report(engine).await.expect("the engine returns a control report");
    }

    /// Waits until the lease is held under a fencing number above `above`; panics after [`ROLLOUT_LIMIT`].
    pub(crate) async fn wait_for_lease(&self, above: u64) -> (usize, u64) {
        let deadline = Instant::now() + ROLLOUT_LIMIT;
        loop {
            if let Some(lease) = self.lease().filter(|(_, fencing)| *fencing > above) {
                return lease;
            }
            assert!(Instant::now() < deadline, "no instance acquired the lease within the limit");
            tokio::task::yield_now().await;
        }
    }
}

/// Sends one prompt after another until `stop` is set. Returns the outcomes.
async fn send_prompts(
    caller: Caller,
    url: String,
    number: usize,
    stop: Arc<AtomicBool>,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !stop.load(Ordering::Acquire) {
        let prompt = format!("caller {number} asks {}", outcomes.len());
        outcomes.push(caller.prompt(&url, "assistant", &prompt, 20, true).await.outcome);
    }
    outcomes
}

#[rstest]
#[case::two_concurrent_loads(1, 2)]
#[case::the_floor_allows_one_load(5, 1)]
#[tokio::test]
async fn a_roll_out_under_load_continues_after_its_controller_is_killed(
    #[case] floor: u32,
    #[case] max_loads: u32,
) {
    let mut rollout = Rollout::start(floor, true).await;
    let (holder, fencing) = rollout.wait_for_lease(0).await;
    let stop = Arc::new(AtomicBool::new(false));
    let caller = Caller::new(rollout.deployment.client.clone(), KEY, &["v1", "v2"]);
    let instances = (0..3).filter(|instance| *instance != holder);
    let urls: Vec<_> =
        instances.map(|instance| rollout.deployment.instances[instance].url()).collect();
    let callers: Vec<_> = (0..8)
        .map(|number| {
            let url = urls[number % urls.len()].clone();
            tokio::spawn(send_prompts(caller.clone(), url, number, stop.clone()))
        })
        .collect();
    rollout.replace_document(2, &document("v2", floor, true)).await;
    rollout.wait_until_serving("v2", 1).await;
    rollout.deployment.instances.remove(holder).kill();
    rollout.wait_for_lease(fencing).await;
    rollout.wait_until_serving("v2", 6).await;
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
    let stats = rollout.store.stats();
    assert_eq!((stats.max_running, stats.started), (max_loads, 6));
    let caller = Caller::new(rollout.deployment.client.clone(), KEY, &["v2"]);
    for url in urls {
        let result = caller.prompt(&url, "assistant", "which version?", 20, true).await;
        assert_eq!(result.outcome, Outcome::Complete);
    }
}
