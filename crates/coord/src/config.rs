//! The configuration in force: the highest valid generation seen so far.
//!
//! Generations are created by conditional updates on the platform. Two different contents of one generation therefore
//! mean that a writer bypassed that rule; the first content seen stays in force and the conflict is reported. See
//! `docs/design/configuration.md`.
//!
//! # Invariant
//!
//! The generation in force never decreases and its content never changes, whatever is lost, duplicated, reordered or
//! corrupted in transit.

use bilberryford_types::{Digest, Generation, ObjectVersion};

/// Identifies one content of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigStamp {
    /// The generation.
    pub generation: Generation,
    /// The platform's version of the object.
    pub version: ObjectVersion,
    /// The digest of the content.
    pub digest: Digest,
}

/// The result of comparing an offered configuration with the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigOfferOutcome {
    /// The offer is newer and comes into force.
    Adopted,
    /// The offer is the configuration in force.
    Unchanged,
    /// The offer is older than the configuration in force and is ignored.
    Stale,
    /// The offer has the generation in force with other content; the configuration in force stays.
    Conflict,
}

/// The configuration in force together with its stamp.
#[derive(Debug, Clone, Default)]
pub struct VersionedConfig<T> {
    current: Option<(ConfigStamp, T)>,
}

impl<T> VersionedConfig<T> {
    /// Creates a state in which no configuration is in force.
    pub const fn new() -> Self {
        Self { current: None }
    }

    /// Compares an offered stamp with the one in force, without changing the state.
    pub fn compare(&self, offered: &ConfigStamp) -> ConfigOfferOutcome {
        match self.stamp() {
            None => ConfigOfferOutcome::Adopted,
            Some(current) if offered.generation > current.generation => ConfigOfferOutcome::Adopted,
            Some(current) if offered.generation < current.generation => ConfigOfferOutcome::Stale,
            Some(current) if offered.digest == current.digest => ConfigOfferOutcome::Unchanged,
            Some(_) => ConfigOfferOutcome::Conflict,
        }
    }

    /// Puts validated content in force if it is newer, and returns the result of the comparison.
    pub fn offer(&mut self, stamp: ConfigStamp, content: T) -> ConfigOfferOutcome {
        let outcome = self.compare(&stamp);
        if outcome == ConfigOfferOutcome::Adopted {
            self.current = Some((stamp, content));
        }
        outcome
    }

    /// The stamp of the configuration in force.
    pub fn stamp(&self) -> Option<&ConfigStamp> {
        self.current.as_ref().map(|(stamp, _)| stamp)
    }

    /// The content of the configuration in force.
    pub fn content(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, content)| content)
    }
}
