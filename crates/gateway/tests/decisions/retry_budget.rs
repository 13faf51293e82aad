use bilberryford_gateway::{RetryBudget, RetryLimits};
use bilberryford_types::TimeMs;

const LIMITS: RetryLimits =
    RetryLimits { ratio_per_mille: 200, window_ms: TimeMs(10_000), slack: 58, instances: 9 };

/// While a pool loses every request, nine instances retry as much as each may; any window must stay within the bound.
#[test]
fn retries_to_a_failing_pool_stay_within_the_deployments_bound() {
    let mut budgets = vec![RetryBudget::default(); 9];
    let mut sent = Vec::new();
    let mut retried = Vec::new();
    for now_ms in (0..40_000).step_by(20) {
        let budget = &mut budgets[(now_ms / 20 % 9) as usize];
        budget.record_first_attempt(&LIMITS, TimeMs(now_ms));
        sent.push(now_ms);
        if budget.try_take(&LIMITS, TimeMs(now_ms)) {
            retried.push(now_ms);
        }
    }
    for start in (0..30_000).step_by(100) {
        let within =
            |times: &[u64]| times.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        let allowed = within(&sent) / 5 + 58;
        assert!(within(&retried) <= allowed, "at {start}: {} of {allowed}", within(&retried));
    }
    assert!(retried.len() * 10 > sent.len(), "{} of {}", retried.len(), sent.len());
}

#[test]
fn an_instance_with_little_traffic_can_retry() {
    let mut budget = RetryBudget::default();
    budget.record_first_attempt(&LIMITS, TimeMs(0));
    assert!(budget.try_take(&LIMITS, TimeMs(1)));
}
