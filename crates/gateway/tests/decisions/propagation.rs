//! How long a change of the configuration takes to reach instances that are in touch with the store, while their readers are
//! cut off, refused, suspended or replaced.

mod model;

use bilberryford_gateway::{ConfirmationStep, KeyValidity, PropagationLimits};
use bilberryford_types::TimeMs;
use rstest::rstest;

use self::model::{Cut, DAY_MS, Day, Deployment, GROWN, LARGE, MEDIUM, SMALL};

/// What happens to the readers of a data centre, right after one of them confirmed the configuration before the change.
#[derive(Clone, Copy)]
enum Loss {
    /// The store refuses them.
    Refused,
    /// The store does not reply to them.
    Silent,
    /// The store does not reply to them, and they are suspended while their confirmation is still accepted.
    SilentThenSuspended,
    /// They are suspended.
    Suspended,
    /// They are replaced by processes that have just started.
    Restarted,
}

/// All readers of a data centre are lost at once, with changes before, at and after that moment.
#[rstest]
fn a_change_is_in_force_in_time_where_all_readers_are_lost(
    #[values(SMALL, MEDIUM, GROWN, LARGE)] deployment: Deployment,
    #[values(
        Loss::Refused,
        Loss::Silent,
        Loss::SilentThenSuspended,
        Loss::Suspended,
        Loss::Restarted
    )]
    loss: Loss,
) {
    let days = 3_000 / deployment.instances as u64;
    let mut slowest_ms = 0;
    for seed in 0..days {
        let mut day = Day::new(deployment, seed);
        day.run_for(12_000);
        let data_centre = day.below(deployment.data_centres as u64) as usize;
        let readers = day.run_until_confirmed(data_centre);
        let for_ms = 4_000 + day.below(8_000);
        for reader in &readers {
            match loss {
                Loss::Refused => day.cut(*reader, Cut::Refused, for_ms),
                Loss::Silent | Loss::SilentThenSuspended => day.cut(*reader, Cut::Silent, for_ms),
                Loss::Suspended => day.suspend(*reader, for_ms),
                Loss::Restarted => day.restart(*reader),
            }
        }
        day.write();
        let until_suspended_ms = day.below(deployment.bound_ms);
        day.run_for(until_suspended_ms);
        if matches!(loss, Loss::SilentThenSuspended) {
            readers.iter().for_each(|reader| day.suspend(*reader, for_ms));
        }
        for _ in 0..4 {
            let pause_ms = day.below(1_500);
            day.run_for(pause_ms);
            day.write();
        }
        day.run_for(deployment.bound_ms + 2_000);
        slowest_ms = slowest_ms.max(day.slowest_ms);
    }
    let bound_ms = deployment.bound_ms;
    assert!(slowest_ms <= bound_ms, "in force after {slowest_ms} ms, the bound is {bound_ms} ms");
}

/// Cuts, refusals, suspensions and restarts of single instances and of shares of them, in series that overlap.
#[rstest]
fn a_change_is_in_force_in_time_in_a_day_of_losses(
    #[values(SMALL, MEDIUM, GROWN, LARGE)] deployment: Deployment,
) {
    let days = 900 / deployment.instances as u64;
    let mut slowest_ms = 0;
    for seed in 1_000..1_000 + days {
        let mut day = Day::new(deployment, seed);
        while day.now_ms < DAY_MS {
            let pause_ms = day.below(1_200);
            day.run_for(pause_ms);
            let how = if day.below(2) == 0 { Cut::Refused } else { Cut::Silent };
            let (share, kind, for_ms) = (1 + day.below(40), day.below(6), 500 + day.below(9_000));
            for number in 0..deployment.instances {
                if day.below(100) >= share {
                    continue;
                }
                match kind {
                    0 | 1 => day.cut(number, how, for_ms),
                    2 => day.suspend(number, for_ms.min(4_000)),
                    3 => day.restart(number),
                    _ => {}
                }
            }
            day.write();
        }
        slowest_ms = slowest_ms.max(day.slowest_ms);
    }
    let bound_ms = deployment.bound_ms;
    assert!(slowest_ms <= bound_ms, "in force after {slowest_ms} ms, the bound is {bound_ms} ms");
}

/// On a calm day the reads of the configuration are those of the readers, whatever the number of instances.
#[rstest]
fn a_calm_day_costs_the_reads_of_the_readers(
    #[values(SMALL, MEDIUM, GROWN, LARGE)] deployment: Deployment,
) {
    /// The readers of a data centre.
    const READERS: u64 = 2;
    let mut day = Day::new(deployment, 7);
    day.run_for(20_000);
    let before = day.reads();
    day.run_for(DAY_MS);
    let interval_ms = day.limits.confirm_interval_ms().get() * 3 / 4;
    let of_readers = READERS * deployment.data_centres as u64 * DAY_MS / interval_ms;
    let made = day.reads() - before;
    assert!(made <= of_readers * 3 / 2, "{made} reads, those of the readers are {of_readers}");
}

/// Where keys expire before the bound of configurations, a view is read again while its keys are still valid, also after a call
/// that fails.
#[rstest]
fn a_view_is_read_again_before_its_keys_expire(
    #[values(2_000, 3_000, 4_000, 11_000)] config_propagation_ms: u64,
    #[values(3_000, 5_000, 8_000)] key_revocation_ms: u64,
) {
    /// The longest backoff after a failed call, and a read.
    const RETRY_MS: TimeMs = TimeMs(200);
    let (config_propagation_ms, key_revocation_ms) =
        (TimeMs(config_propagation_ms), TimeMs(key_revocation_ms));
    let limits = PropagationLimits { config_propagation_ms, key_revocation_ms };
    let mut keys = KeyValidity::new(key_revocation_ms);
    keys.confirm(TimeMs(0));
    let mut now_ms = TimeMs(0);
    while let ConfirmationStep::Wait(wait_ms) = limits.next_step(false, keys.age_ms(now_ms)) {
        now_ms = now_ms.after(wait_ms);
    }
    assert!(keys.is_valid(now_ms.after(RETRY_MS)), "read at {now_ms}");
}
