//! A holder of a lease that is paused and wakes up, before endpoints that check fencing numbers and others.

use bilberryford_standins::engine::control::ControlFaults;
use bilberryford_types::Fencing;
use nix::sys::signal::Signal;
use rstest::rstest;

use crate::rollout::{Rollout, document};

/// Less than the deadline of a report, and more than half of a controller's step.
const SLOW_REPORT_MS: u64 = 400;

#[rstest]
#[case::numbers_are_checked(true)]
#[case::numbers_are_ignored(false)]
#[tokio::test]
async fn a_holder_that_was_paused_orders_nothing_when_it_wakes(#[case] checks_fencing: bool) {
    let rollout = Rollout::start(1, checks_fencing).await;
    let (holder, fencing) = rollout.until_held(0).await;
    rollout.change(2, &document("v2", 1, checks_fencing)).await;
    rollout.until_serving("v2", 1).await;
    // The holder is mostly stopped between what it read and what it orders.
    let slow = ControlFaults { slow_reports_ms: SLOW_REPORT_MS, ..ControlFaults::default() };
    rollout.deployment.engines[0].server.control.set_faults(slow);
    rollout.until_reported(0).await;
    rollout.deployment.instances[holder].signal(Signal::SIGSTOP);
    let (next, _) = rollout.until_held(fencing).await;
    assert_ne!(next, holder);
    rollout.change(3, &document("v3", 1, checks_fencing)).await;
    rollout.until_serving("v3", 1).await;
    rollout.deployment.instances[holder].signal(Signal::SIGCONT);
    rollout.until_serving("v3", 6).await;
    for engine in &rollout.deployment.engines {
        let taken = engine.server.control.stats().taken;
        assert!(taken.is_sorted_by_key(|order| order.fencing), "{}: {taken:?}", engine.id);
        assert!(taken.iter().all(|order| order.fencing >= Fencing(fencing)));
    }
    assert!(rollout.store.stats().max_running <= 2);
}

#[tokio::test]
async fn a_holder_that_leaves_gives_the_lease_up_at_once() {
    let mut rollout = Rollout::start(1, true).await;
    let (holder, fencing) = rollout.until_held(0).await;
    let leaving = rollout.deployment.instances.remove(holder);
    let started = std::time::Instant::now();
    assert!(leaving.stop(std::time::Duration::from_secs(10)));
    rollout.until_held(fencing).await;
    // Well before the six seconds after which a silent holder is given up.
    assert!(started.elapsed() < std::time::Duration::from_secs(5), "{:?}", started.elapsed());
}
