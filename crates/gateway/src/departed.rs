//! What is remembered of endpoints whose entries were removed.
//!
//! The store orders the writes of an entry, not what their writers knew: a heartbeat that was under way when the
//! endpoint said that it leaves is written after that, and older lists or batches have entries that were removed since.
//! Each incarnation numbers its heartbeats, so that both can be recognised as long as the endpoint is remembered.

use std::collections::{HashMap, VecDeque};

use bilberryford_types::{EndpointId, ObjectVersion, TimeMs};

use crate::{
    endpoints::{EndpointRecord, EndpointState},
    peer_loads::EndpointTag,
};

/// The most endpoints that are remembered: those that a large fleet replaces in a day.
const MAX_ENDPOINTS: usize = 4_096;

/// The newest entry of an endpoint that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LastEntry {
    pub(crate) started_ms: TimeMs,
    pub(crate) heartbeat: u64,
    pub(crate) version: ObjectVersion,
    /// True if this incarnation said that it leaves.
    pub(crate) has_left: bool,
}

/// How an entry relates to the newest one that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EntryOrder {
    /// It is to be applied.
    Newer,
    /// It describes an incarnation that left: it is applied as leaving, whatever its state.
    AfterDeparture,
    /// It is not newer in the store.
    Known,
    /// It was written by an earlier incarnation, or by an earlier heartbeat of the same one.
    Outdated(&'static str),
}

impl LastEntry {
    pub(crate) fn new(record: &EndpointRecord, version: ObjectVersion) -> Self {
        let EndpointRecord { started_ms, heartbeat, state, .. } = *record;
        Self { started_ms, heartbeat, version, has_left: state == EndpointState::Leaving }
    }

    /// Compares `record`, which the store has at `version`, with this entry.
    pub(crate) fn order(&self, record: &EndpointRecord, version: ObjectVersion) -> EntryOrder {
        if version <= self.version {
            EntryOrder::Known
        } else if record.started_ms < self.started_ms {
            EntryOrder::Outdated("ignored_earlier_incarnation")
        } else if record.started_ms > self.started_ms {
            EntryOrder::Newer
        } else if record.heartbeat < self.heartbeat {
            EntryOrder::Outdated("ignored_earlier_heartbeat")
        } else if self.has_left {
            EntryOrder::AfterDeparture
        } else {
            EntryOrder::Newer
        }
    }
}

/// The last entries of endpoints that were removed, in a bounded number.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departed {
    entries: HashMap<EndpointId, LastEntry>,
    /// The ids in the order of their removal.
    removed: VecDeque<EndpointId>,
}

impl Departed {
    pub(crate) fn insert(&mut self, id: EndpointId, entry: LastEntry) {
        if self.entries.insert(id.clone(), entry).is_none() {
            self.removed.push_back(id);
        }
        while self.entries.len() > MAX_ENDPOINTS
            && let Some(oldest) = self.removed.pop_front()
        {
            self.entries.remove(&oldest);
        }
    }

    /// Records that an entry at `version` was seen, and not applied.
    pub(crate) fn set_version(&mut self, id: &EndpointId, version: ObjectVersion) {
        if let Some(last) = self.entries.get_mut(id) {
            last.version = version;
        }
    }

    pub(crate) fn get(&self, id: &EndpointId) -> Option<LastEntry> {
        self.entries.get(id).copied()
    }

    /// Records that an incarnation said that it leaves, if it is remembered.
    pub(crate) fn record_departure(&mut self, incarnation: EndpointTag) {
        let is_subject = |id: &EndpointId, last: &LastEntry| {
            EndpointTag::new(id.as_str(), last.started_ms) == incarnation
        };
        for (_, last) in self.entries.iter_mut().filter(|(id, last)| is_subject(id, last)) {
            last.has_left = true;
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
