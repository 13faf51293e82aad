//! Replacing every instance under load, behind a balancer that looks at readiness.

use std::{
    sync::{
        Arc, RwLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use bilberryford_standins::load::{Caller, Outcome};

use crate::support::{Deployment, KEY, eventually, fast_engine};

/// How long one instance may take to stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// How often the balancer looks.
const BALANCER_POLL: Duration = Duration::from_millis(250);
/// How long an instance stays up for the balancer to notice, in milliseconds.
const DRAIN_DELAY_MS: &str = "1500";

/// The tokens of a stream that lasts longer than the drain delay, at 2 ms each.
const LONG_TOKENS: u32 = 1_200;

/// What the balancer and the callers share.
#[derive(Default)]
struct Shared {
    known: RwLock<Vec<String>>,
    ready: RwLock<Vec<String>>,
    stop: AtomicBool,
    next: AtomicU32,
    done: AtomicU32,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.stop.load(Ordering::Acquire)
    }

    /// The next ready instance in turn.
    fn pick(&self) -> Option<String> {
        let ready = self.ready.read().unwrap();
        let turn = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        ready.get(turn.checked_rem(ready.len())?).cloned()
    }
}

/// Sends work only to instances that said a moment ago that they are ready.
async fn balance(client: reqwest::Client, shared: Arc<Shared>) {
    while !shared.is_over() {
        let known = shared.known.read().unwrap().clone();
        let mut ready = Vec::new();
        for url in known {
            let request = client.get(format!("{url}/readyz")).timeout(Duration::from_secs(2));
            if request.send().await.is_ok_and(|answer| answer.status().is_success()) {
                ready.push(url);
            }
        }
        *shared.ready.write().unwrap() = ready;
        tokio::time::sleep(BALANCER_POLL).await;
    }
}

async fn call(caller: Caller, shared: Arc<Shared>, number: usize) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !shared.is_over() {
        let Some(url) = shared.pick() else {
            tokio::task::yield_now().await;
            continue;
        };
        let count = outcomes.len();
        shared.done.fetch_add(1, Ordering::AcqRel);
        // Most callers ask all the time, so that an instance that is wrongly ready is hit.
        let turn = if number < 6 { (number + count) % 4 } else { 2 };
        outcomes.push(match turn {
            0 => caller.order(&url, "desk", &format!("order-{number}-{count}")).await,
            1 => {
                caller
                    .prompt(&url, "assistant", &format!("{number} {count}"), LONG_TOKENS, true)
                    .await
                    .outcome
            }
            turn => {
                caller
                    .prompt(&url, "assistant", &format!("{number} {count}"), 20, turn == 2)
                    .await
                    .outcome
            }
        });
    }
    outcomes
}

#[tokio::test]
async fn replacing_every_instance_under_load_cuts_no_request() {
    let spec = bilberryford_standins::engine::EngineSpec { token_gap_ms: 2, ..fast_engine() };
    let mut deployment =
        Deployment::start_with(3, &spec, &["--drain-delay-ms", DRAIN_DELAY_MS]).await.unwrap();
    let shared = Arc::new(Shared::default());
    *shared.known.write().unwrap() = (0..3).map(|instance| deployment.url(instance)).collect();
    let balancer = tokio::spawn(balance(deployment.client.clone(), shared.clone()));
    // A client of its own for each caller, as phones have, so that connections are kept alive and idle in between.
    let callers: Vec<_> = (0..14)
        .map(|number| {
            let caller = Caller::new(reqwest::Client::new(), KEY, &["v1"]);
            tokio::spawn(call(caller, shared.clone(), number))
        })
        .collect();
    for number in 4..=6 {
        deployment.add_instance(&format!("entry-{number}")).unwrap();
        let url = deployment.instances.last().unwrap().url();
        shared.known.write().unwrap().push(url.clone());
        eventually(|| async { shared.ready.read().unwrap().contains(&url).then_some(()) })
            .await
            .expect("the new instance becomes ready");
        let done = shared.done.load(Ordering::Acquire);
        eventually(|| async { (shared.done.load(Ordering::Acquire) > done + 20).then_some(()) })
            .await
            .expect("callers go on");
        let leaving = deployment.instances.remove(0);
        let is_clean = tokio::task::spawn_blocking(move || leaving.stop(STOP_LIMIT)).await.unwrap();
        assert!(is_clean, "the instance did not end by itself");
        deployment.publish();
    }
    shared.stop.store(true, Ordering::Release);
    balancer.await.unwrap();
    let outcomes = futures::future::join_all(callers).await;
    let outcomes: Vec<_> = outcomes.into_iter().flat_map(Result::unwrap).collect();
    let failed: Vec<_> = outcomes.iter().filter(|outcome| **outcome != Outcome::Complete).collect();
    assert!(
        outcomes.len() > 60 && failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        outcomes.len()
    );
    let orders = deployment.services[0].0.stats().orders;
    assert!(!orders.is_empty() && orders.values().all(|count| *count == 1));
}
