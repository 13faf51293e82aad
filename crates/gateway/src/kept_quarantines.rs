//! The quarantines that the platform's store keeps, so that they outlive all instances.
//!
//! One object holds them all: hashes of features and their terms, nothing of a prompt. Ends are kept as Unix times, since
//! the clocks of machines count from their boots; one that is set wrong ends a term early or late, and never leaves out
//! the trial that follows a term.

use std::collections::{BTreeMap, BTreeSet};

use bilberryford_coord::{Feature, FeatureError, QuarantineReport};
use bilberryford_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::peer_loads::EndpointTag;

/// The most quarantines that are kept, the longest ones: at up to 350 bytes each they are well below the limit of an object.
const MAX_KEPT: usize = 512;

/// The stored object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct KeptBody {
    quarantined: Vec<KeptEntry>,
}

#[derive(Debug, Serialize, Deserialize)]
struct KeptEntry {
    feature: String,
    until_unix_ms: TimeMs,
    term_ms: u32,
    incarnations: Vec<EndpointTag>,
    alike: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KeptQuarantine {
    until_unix_ms: TimeMs,
    term_ms: u32,
    incarnations: Vec<EndpointTag>,
    alike: Vec<Feature>,
}

/// The object can't be used.
#[derive(Debug, thiserror::Error)]
pub enum KeptError {
    /// It is no object of this form.
    #[error("the kept quarantines can't be decoded: {0}")]
    Form(#[from] serde_json::Error),
    /// It names something that is no feature.
    #[error(transparent)]
    Feature(#[from] FeatureError),
}

/// What the store keeps of quarantines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeptQuarantines(BTreeMap<Feature, KeptQuarantine>);

impl KeptQuarantines {
    /// Reads the stored object.
    ///
    /// # Errors
    ///
    /// [`KeptError`] if it can't be decoded.
    pub fn decode(body: &[u8]) -> Result<Self, KeptError> {
        let KeptBody { quarantined } = serde_json::from_slice(body)?;
        let decode = |entry: KeptEntry| {
            let KeptEntry { feature, until_unix_ms, term_ms, incarnations, alike } = entry;
            let alike = alike.iter().map(|alike| alike.parse()).collect::<Result<_, _>>()?;
            let kept = KeptQuarantine { until_unix_ms, term_ms, incarnations, alike };
            Ok((feature.parse()?, kept))
        };
        Ok(Self(quarantined.into_iter().map(decode).collect::<Result<_, KeptError>>()?))
    }

    /// The object to store.
    ///
    /// # Errors
    ///
    /// [`KeptError::Form`] if it can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, KeptError> {
        let entries = self.0.iter().map(|(feature, kept)| KeptEntry {
            feature: feature.to_string(),
            until_unix_ms: kept.until_unix_ms,
            term_ms: kept.term_ms,
            incarnations: kept.incarnations.clone(),
            alike: kept.alike.iter().map(Feature::to_string).collect(),
        });
        Ok(serde_json::to_vec(&KeptBody { quarantined: entries.collect() })?)
    }

    /// What an instance that starts at `unix_ms` has to refuse or, after a term, to try first.
    pub fn reports(&self, unix_ms: TimeMs) -> Vec<QuarantineReport<EndpointTag>> {
        let in_force = self.0.iter().filter(|(_, kept)| !kept.is_over(unix_ms));
        let report = |(feature, kept): (&Feature, &KeptQuarantine)| QuarantineReport {
            feature: *feature,
            left_ms: kept.left_ms(unix_ms),
            term_ms: kept.term_ms,
            incarnations: kept.incarnations.clone(),
            alike: kept.alike.clone(),
        };
        in_force.map(report).collect()
    }

    /// Adds this instance's quarantines, and removes what was cleared or is over.
    #[must_use]
    pub fn updated(
        &self,
        quarantines: &[QuarantineReport<EndpointTag>],
        cleared: &BTreeSet<Feature>,
        unix_ms: TimeMs,
    ) -> Self {
        let mut updated = self.0.clone();
        updated.retain(|feature, kept| !cleared.contains(feature) && !kept.is_over(unix_ms));
        for quarantine in quarantines.iter().filter(|quarantine| quarantine.left_ms > 0) {
            let is_kept = |kept: &KeptQuarantine| {
                kept.term_ms >= quarantine.term_ms && kept.left_ms(unix_ms) > 0
            };
            if !updated.get(&quarantine.feature).is_some_and(is_kept) {
                let kept = KeptQuarantine {
                    until_unix_ms: unix_ms.after(TimeMs(quarantine.left_ms.into())),
                    term_ms: quarantine.term_ms,
                    incarnations: quarantine.incarnations.clone(),
                    alike: quarantine.alike.clone(),
                };
                updated.insert(quarantine.feature, kept);
            }
        }
        let mut by_end: Vec<_> = updated.into_iter().collect();
        by_end.sort_by_key(|(_, kept)| std::cmp::Reverse(kept.until_unix_ms));
        by_end.truncate(MAX_KEPT);
        Self(by_end.into_iter().collect())
    }
}

impl KeptQuarantine {
    /// The rest of the term, which is no longer than the term whatever the clock says.
    fn left_ms(&self, unix_ms: TimeMs) -> u32 {
        u32::try_from(self.until_unix_ms.since(unix_ms).get())
            .map_or(self.term_ms, |left_ms| left_ms.min(self.term_ms))
    }

    /// Returns true once the feature is forgotten, as instances forget it.
    fn is_over(&self, unix_ms: TimeMs) -> bool {
        self.until_unix_ms.after(TimeMs(self.term_ms.into())) <= unix_ms
    }
}
