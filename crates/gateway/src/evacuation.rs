//! The data centres that operators evacuate, as this instance knows them.
//!
//! Load pattern: one data centre with a tenth to a third of all endpoints is evacuated during a burst, and taken back minutes
//! later. The others take over its load; what they can't serve is refused at once. See
//! `docs/design/evacuation-and-regions.md`.
//!
//! # Invariant
//!
//! A view is replaced only by one of a later version, so that a late answer or list can't end an evacuation. Of two views
//! of the same version that differ, each may lack a change that a watch did not return: what either one evacuates stays
//! evacuated until a later version.

use std::collections::{BTreeMap, BTreeSet};

use bilberryford_types::{DataCentreId, ObjectVersion, TimeMs};
use serde::{Deserialize, Serialize};

/// How long an evacuation goes on that a copy of the store lacks, in milliseconds: it may have been requested since the copy
/// was made, and operators write it again within two seconds.
const REWRITE_MS: TimeMs = TimeMs(2_000);
/// How much less than its bound the contact of an instance with the store may lag, in milliseconds: a question to a reader,
/// and the time of a request under way to its endpoint.
const CONTACT_MARGIN_MS: TimeMs = TimeMs(500);
/// The most data centres in a view, so that it fits into the answer of a reader. Deployments have up to some tens.
pub(crate) const MAX_DATA_CENTRES: usize = 64;

/// All evacuations that the store had at one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationView {
    /// The version of the store up to which the view is complete.
    pub version: ObjectVersion,
    /// The data centres to which nothing may be sent.
    pub data_centres: BTreeSet<DataCentreId>,
}

/// A change of the evacuation of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// True if nothing may be sent there from now on, false if the evacuation ended.
    pub is_evacuated: bool,
    /// The version of the view that this follows from.
    pub version: ObjectVersion,
    /// The time at which this instance learned of the evacuation.
    pub since_ms: TimeMs,
}

/// The evacuation of one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evacuation {
    since_ms: TimeMs,
    /// Set if a store that came back from a copy lacks it: it ends at this time unless it is written again.
    ends_ms: Option<TimeMs>,
}

/// The evacuated data centres.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    view: Option<EvacuationView>,
    /// The version up to which the watch returned no change of the view.
    watched_to: Option<ObjectVersion>,
    evacuated: BTreeMap<DataCentreId, Evacuation>,
}

impl Evacuations {
    /// The last view, to be passed on; none if this instance has not learned yet what is evacuated.
    pub const fn view(&self) -> Option<&EvacuationView> {
        self.view.as_ref()
    }

    /// True if nothing may be sent to the endpoints of a data centre.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated.contains_key(data_centre)
    }

    /// The number of evacuated data centres.
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Applies a view, unless a later one is known. Returns what changed.
    pub fn apply(&mut self, mut view: EvacuationView, now_ms: TimeMs) -> Vec<EvacuationChange> {
        let before = self.view.take();
        if let Some(before) = &before {
            if before.version > view.version {
                self.view = Some(before.clone());
                return Vec::new();
            }
            if before.version == view.version {
                view.data_centres.extend(before.data_centres.iter().cloned());
            }
        }
        let is_new_era = before.is_some_and(|before| before.version.era() < view.version.era());
        let version = view.version;
        let mut changes = Vec::new();
        for data_centre in &view.data_centres {
            let known = self.evacuated.get_mut(data_centre);
            if let Some(known) = known {
                known.ends_ms = None;
                continue;
            }
            let evacuation = Evacuation { since_ms: now_ms, ends_ms: None };
            self.evacuated.insert(data_centre.clone(), evacuation);
            changes.push(EvacuationChange {
                data_centre: data_centre.clone(),
                is_evacuated: true,
                version,
                since_ms: now_ms,
            });
        }
        for (data_centre, evacuation) in &mut self.evacuated {
            if view.data_centres.contains(data_centre) || evacuation.ends_ms.is_some() {
                continue;
            }
            let held_ms = if is_new_era { REWRITE_MS } else { TimeMs(0) };
            evacuation.ends_ms = Some(now_ms.after(held_ms));
        }
        self.view = Some(view);
        changes.extend(self.expire(now_ms));
        changes
    }

    /// Applies all changes after version `since` up to `version`: each names a data centre, and whether it is evacuated.
    /// Returns none if the view is of another version than `since`, so that a list has to show what holds.
    pub fn apply_changes(
        &mut self,
        since: ObjectVersion,
        version: ObjectVersion,
        named: &[(DataCentreId, bool)],
        now_ms: TimeMs,
    ) -> Option<Vec<EvacuationChange>> {
        let view = self.view.as_ref()?;
        if view.version.era() != version.era() {
            return None;
        }
        let complete_to = self.watched_to.unwrap_or_default().max(view.version);
        // A reader's answer may have come first. A batch without changes fits all the same.
        if complete_to != since && !(named.is_empty() && since <= complete_to) {
            return None;
        }
        // The view keeps its version: a watch that lost a change must not outdo a list that has it.
        if named.is_empty() || version <= view.version {
            self.watched_to = self.watched_to.max(Some(version));
            return Some(Vec::new());
        }
        let mut data_centres = view.data_centres.clone();
        for (data_centre, is_evacuated) in named {
            if *is_evacuated {
                data_centres.insert(data_centre.clone());
            } else {
                data_centres.remove(data_centre);
            }
        }
        Some(self.apply(EvacuationView { version, data_centres }, now_ms))
    }

    /// Ends the evacuations that nothing requests any more.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<EvacuationChange> {
        let Some(version) = self.view.as_ref().map(|view| view.version) else { return Vec::new() };
        let is_over =
            |evacuation: &Evacuation| evacuation.ends_ms.is_some_and(|ends_ms| ends_ms <= now_ms);
        let over = self.evacuated.iter().filter(|(_, evacuation)| is_over(evacuation));
        let over: Vec<_> = over
            .map(|(data_centre, evacuation)| EvacuationChange {
                data_centre: data_centre.clone(),
                is_evacuated: false,
                version,
                since_ms: evacuation.since_ms,
            })
            .collect();
        self.evacuated.retain(|_, evacuation| !is_over(evacuation));
        over
    }

    /// True if a list names other data centres than the view. The list may be older than the view.
    pub fn differs_from(&self, listed: &BTreeSet<DataCentreId>) -> bool {
        self.view.as_ref().is_some_and(|view| view.data_centres != *listed)
    }
}

/// True if an instance whose last contact with the store is `contact_age_ms` old still learns of evacuations within
/// `bound_ms`.
pub fn learns_of_evacuations(contact_age_ms: Option<TimeMs>, bound_ms: TimeMs) -> bool {
    contact_age_ms.is_some_and(|age_ms| age_ms < bound_ms.since(CONTACT_MARGIN_MS))
}
