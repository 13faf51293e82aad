//! Decides when an instance reads the configuration for itself.
//!
//! Load pattern: hundreds of instances share a few readers of the store, and each call is charged for. A reader confirms the
//! configuration periodically and passes the age of its confirmation on. Readers may be cut off from the store, suspended or
//! gone while those that ask them are in touch with it. See `docs/design/propagation.md`.

use bilberryford_types::TimeMs;

use crate::settings::Bounds;

/// The longest interval of the confirming reads, in percent of the bound for new configurations: a change that the
/// watch missed is still in force within the bound.
const CONFIRM_PERCENT_OF_PROPAGATION: u64 = 70;
/// The longest interval of the confirming reads, in percent of the bound for revocations: keys stay valid if one read
/// fails.
const CONFIRM_PERCENT_OF_REVOCATION: u64 = 45;
/// The interval at which an instance whose readers confirm the configuration checks that they still do, in milliseconds.
const CHECK_INTERVAL_MS: TimeMs = TimeMs(300);
/// How much less than the bound the confirmation of a reader may lag, in milliseconds.
const VIEW_MARGIN_MS: TimeMs = TimeMs(500);

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
    /// How long a leaving endpoint serves new requests after its departure is listed.
    pub endpoint_drain_ms: TimeMs,
}

impl From<Bounds> for PropagationLimits {
    fn from(bounds: Bounds) -> Self {
        let Bounds { config_propagation_ms, key_revocation_ms, endpoint_drain_ms, .. } = bounds;
        Self { config_propagation_ms, key_revocation_ms, endpoint_drain_ms }
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

    /// The longest age of a confirmation that is accepted from a reader.
    pub fn max_confirmation_age_ms(&self) -> TimeMs {
        self.endpoint_drain_ms.min(self.config_propagation_ms).since(VIEW_MARGIN_MS)
    }

    /// What an instance does whose last confirmation is `age_ms` old; none before the first.
    pub fn next_step(&self, reads_store: bool, age_ms: Option<TimeMs>) -> ConfirmationStep {
        let limit_ms = TimeMs(self.confirm_interval_ms().get() * 3 / 2);
        match age_ms {
            Some(age_ms) if !reads_store && age_ms < limit_ms => {
                ConfirmationStep::Wait(CHECK_INTERVAL_MS)
            }
            _ => ConfirmationStep::Read,
        }
    }
}
