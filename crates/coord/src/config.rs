//! Which configuration is in force: the highest generation that was ever good.
//!
//! Generations are made by conditional updates on the platform, so two different contents of one generation mean that
//! someone wrote past that rule; the first one seen stays and the clash is told. See `docs/design/configuration.md`.
//!
//! # Invariant
//!
//! The generation in force never goes down and content never changes under a generation, whatever is lost, repeated,
//! reordered or garbled on the way.

use bilberryford_types::{Digest, Generation, ObjectVersion};

/// What names one content of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigStamp {
    /// Its generation.
    pub generation: Generation,
    /// The platform's version of the object.
    pub version: ObjectVersion,
    /// The digest of its content.
    pub digest: Digest,
}

/// What follows from an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigOfferOutcome {
    /// It is newer: it comes into force now.
    Adopted,
    /// It is the one in force.
    Unchanged,
    /// It is older than the one in force.
    Stale,
    /// It has the generation in force and other content; the one in force stays.
    Conflict,
}

/// The configuration in force together with what names it.
#[derive(Debug, Clone, Default)]
pub struct VersionedConfig<T> {
    current: Option<(ConfigStamp, T)>,
}

impl<T> VersionedConfig<T> {
    /// Nothing is in force yet.
    pub const fn new() -> Self {
        Self { current: None }
    }

    /// Compares a stamp with the one in force.
    pub fn compare(&self, offered: &ConfigStamp) -> ConfigOfferOutcome {
        match self.stamp() {
            None => ConfigOfferOutcome::Adopted,
            Some(current) if offered.generation > current.generation => ConfigOfferOutcome::Adopted,
            Some(current) if offered.generation < current.generation => ConfigOfferOutcome::Stale,
            Some(current) if offered.digest == current.digest => ConfigOfferOutcome::Unchanged,
            Some(_) => ConfigOfferOutcome::Conflict,
        }
    }

    /// Takes in checked content.
    pub fn offer(&mut self, stamp: ConfigStamp, content: T) -> ConfigOfferOutcome {
        let judged = self.compare(&stamp);
        if judged == ConfigOfferOutcome::Adopted {
            self.current = Some((stamp, content));
        }
        judged
    }

    /// What names the configuration in force.
    pub fn stamp(&self) -> Option<&ConfigStamp> {
        self.current.as_ref().map(|(stamp, _)| stamp)
    }

    /// The configuration in force.
    pub fn content(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, content)| content)
    }
}
