//! Lease holders that are paused or stopped, with endpoints that check fencing numbers and endpoints that do not.

use bilberryford_standins::engine::control::ControlFaults;
use bilberryford_types::Fencing;
use nix::sys::signal::Signal;
use rstest::rstest;

use crate::rollout::{Rollout, document};

/// Shorter than the deadline of a control report, and longer than half of a controller step.
const SLOW_REPORT_MS: u64 = 400;

#[rstest]
#[case::fencing_checked(true)]
#[case::fencing_ignored(false)]
#[tokio::test]
async fn a_paused_lease_holder_sends_no_stale_order_after_it_continues(
    #[case] checks_fencing: bool,
) {
    let rollout = Rollout::start(1, checks_fencing).await;
    let (holder, fencing) = rollout.wait_for_lease(0).await;
    rollout.replace_document(2, &document("v2", 1, checks_fencing)).await;
    rollout.wait_until_serving("v2", 1).await;
    // Slow reports make it likely that SIGSTOP hits the holder between reading a report and sending an order.
    let slow = ControlFaults { slow_reports_ms: SLOW_REPORT_MS, ..ControlFaults::default() };
    rollout.deployment.engines[0].server.control.set_faults(slow);
    rollout.wait_for_report(0).await;
    rollout.deployment.instances[holder].signal(Signal::SIGSTOP);
    let (successor, _) = rollout.wait_for_lease(fencing).await;
    assert_ne!(successor, holder);
    rollout.replace_document(3, &document("v3", 1, checks_fencing)).await;
    rollout.wait_until_serving("v3", 1).await;
    rollout.deployment.instances[holder].signal(Signal::SIGCONT);
    rollout.wait_until_serving("v3", 6).await;
    for engine in &rollout.deployment.engines {
        let accepted = engine.server.control.stats().taken;
        assert!(accepted.is_sorted_by_key(|order| order.fencing), "{}: {accepted:?}", engine.id);
        assert!(accepted.iter().all(|order| order.fencing >= Fencing(fencing)));
    }
    assert!(rollout.store.stats().max_running <= 2);
}

#[tokio::test]
async fn a_lease_holder_that_stops_releases_the_lease_immediately() {
    let mut rollout = Rollout::start(1, true).await;
    let (holder, fencing) = rollout.wait_for_lease(0).await;
    let leaving = rollout.deployment.instances.remove(holder);
    let started = std::time::Instant::now();
    assert!(leaving.stop(std::time::Duration::from_secs(10)));
    rollout.wait_for_lease(fencing).await;
    // A lease that is not renewed expires after six seconds.
    assert!(started.elapsed() < std::time::Duration::from_secs(5), "{:?}", started.elapsed());
}
