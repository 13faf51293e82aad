//! Decides when an instance reads the configuration for itself.
//!
//! Load pattern: hundreds of instances share a few readers of the store, and each call is charged for. A reader confirms the
//! configuration periodically and passes the age of its confirmation on. Readers may be cut off from the store, suspended or
//! gone while those that ask them are in touch with it. See `docs/design/propagation.md`.

use bilberryford_types::TimeMs;

use crate::settings::Bounds;

/// The longest interval of the confirming reads of a reader, in percent of the bound for new configurations.
const CONFIRM_PERCENT_OF_PROPAGATION: u64 = 50;
/// The same in percent of the bound for revocations: keys stay valid if one read fails.
const CONFIRM_PERCENT_OF_REVOCATION: u64 = 45;
/// The age of a view at which any instance reads for itself, in percent of the bound of changes. The rest is for the interval
/// of the questions, a call that fails, its backoff, and a process that runs late.
const MAX_AGE_PERCENT: u64 = 75;
/// The longest time until an instance decides again, since it may have become a reader, in milliseconds.
const CHECK_INTERVAL_MS: TimeMs = TimeMs(300);

/// The longest age of a view, own or passed on, at which it is not read again, if changes have to be known within `bound_ms`.
pub(crate) fn max_view_age_ms(bound_ms: TimeMs) -> TimeMs {
    TimeMs(bound_ms.get() * MAX_AGE_PERCENT / 100)
}

/// What an instance does next to keep its configuration confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationStep {
    /// It reads the configuration from the store.
    Read,
    /// It decides again after this time.
    Wait(TimeMs),
}

/// The times within which changes of the configuration are in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PropagationLimits {
    /// The time within which a new configuration must be in force.
    pub config_propagation_ms: TimeMs,
    /// The time within which a revoked key must be refused.
    pub key_revocation_ms: TimeMs,
}

impl From<Bounds> for PropagationLimits {
    fn from(bounds: Bounds) -> Self {
        let Bounds { config_propagation_ms, key_revocation_ms, .. } = bounds;
        Self { config_propagation_ms, key_revocation_ms }
    }
}

impl PropagationLimits {
    /// The longest interval of the reads with which a reader confirms the configuration.
    pub fn confirm_interval_ms(&self) -> TimeMs {
        let of_propagation_ms =
            self.config_propagation_ms.get() * CONFIRM_PERCENT_OF_PROPAGATION / 100;
        let of_revocation_ms = self.key_revocation_ms.get() * CONFIRM_PERCENT_OF_REVOCATION / 100;
        TimeMs(of_propagation_ms.min(of_revocation_ms).max(100))
    }

    /// The longest age of the last confirmation, own or passed on, at which the configuration is not read again.
    ///
    /// # Invariant
    ///
    /// An instance whose calls reach the store has begun a read by the time its last confirmation has this age, whatever its
    /// readers do.
    pub fn max_confirmation_age_ms(&self) -> TimeMs {
        max_view_age_ms(self.config_propagation_ms.min(self.key_revocation_ms))
    }

    /// Returns true if a route or key that the configuration lacks does not exist, as far as an instance can know whose last
    /// confirmation is `age_ms` old: what was added before is in force by now.
    pub fn proves_absence(&self, age_ms: Option<TimeMs>) -> bool {
        age_ms.is_some_and(|age_ms| age_ms < self.config_propagation_ms)
    }

    /// What an instance does whose last confirmation is `age_ms` old; none before the first.
    pub fn next_step(&self, reads_store: bool, age_ms: Option<TimeMs>) -> ConfirmationStep {
        let max_age_ms = self.max_confirmation_age_ms();
        match age_ms {
            Some(age_ms) if !reads_store && age_ms < max_age_ms => {
                ConfirmationStep::Wait(max_age_ms.since(age_ms).min(CHECK_INTERVAL_MS))
            }
            _ => ConfirmationStep::Read,
        }
    }
}
