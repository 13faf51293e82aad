//! The endpoints of all services, as the store lists them.
//!
//! The load pattern it answers: endpoints that leave while the store is away, and a store that comes back with entries
//! missing that their owners are about to write again. Such entries stay usable for a short grace after the store's
//! return, and are gone after it.
//!
//! # Invariant
//!
//! An endpoint that was seen to leave takes nothing more in the same life, whatever an older list says.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{DataCentreId, EndpointId, ModelName, ObjectVersion, PoolName, TimeMs};

use crate::peer_loads::EndpointTag;

/// How long after the store's return an entry may be missing, in milliseconds: its owner writes it again within two
/// seconds.
const RETURN_GRACE_MS: TimeMs = TimeMs(2_000);
/// The longest gap between confirmed answers of the store that still counts as being in contact, in milliseconds: over
/// the wait of one watch and its answer.
const CONTACT_GAP_MS: TimeMs = TimeMs(3_500);

/// A model that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub weight_version: u64,
}

/// Whether an endpoint takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It does.
    Ready,
    /// It does not, and will be gone soon.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub id: EndpointId,
    /// When this life of it began, in milliseconds of its own clock; the same id may start again.
    pub started_ms: TimeMs,
    /// The service that it belongs to.
    pub service: PoolName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes work.
    pub state: EndpointState,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Its models.
    pub models: Vec<ServedModel>,
}

impl EndpointRecord {
    /// The version of a model's weights, as last listed.
    pub fn weight_version(&self, model: &ModelName) -> Option<u64> {
        self.models.iter().find(|served| served.model == *model).map(|served| served.weight_version)
    }
}

#[derive(Debug, Clone)]
struct Entry {
    record: EndpointRecord,
    version: ObjectVersion,
    missing_until_ms: Option<TimeMs>,
}

/// What changed for one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint.
    pub id: EndpointId,
    /// What happened to it.
    pub kind: &'static str,
    /// The life that ended with it, where the endpoint was not leaving.
    pub ended_incarnation: Option<EndpointTag>,
}

/// All endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    entries: HashMap<EndpointId, Entry>,
    contact_ms: Option<TimeMs>,
    returned_ms: Option<TimeMs>,
}

impl Entry {
    fn incarnation(&self) -> EndpointTag {
        EndpointTag::new(self.record.id.as_str(), self.record.started_ms)
    }

    fn gone(&self, kind: &'static str) -> EndpointChange {
        let was_ready = self.record.state == EndpointState::Ready;
        let ended_incarnation = was_ready.then(|| self.incarnation());
        EndpointChange { id: self.record.id.clone(), kind, ended_incarnation }
    }
}

impl EndpointTable {
    /// The store answered a linearizable call at `now_ms`.
    pub fn record_contact(&mut self, now_ms: TimeMs) {
        if self.contact_ms.is_some_and(|at| now_ms.since(at) > CONTACT_GAP_MS) {
            self.returned_ms = Some(now_ms);
        }
        self.contact_ms = Some(now_ms);
    }

    /// The store failed a call: its next answer is a return.
    pub fn record_lost_contact(&mut self) {
        if self.contact_ms.is_some() {
            self.contact_ms = Some(TimeMs(0));
        }
    }

    fn grace_ends_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        let ends = self.returned_ms?.after(RETURN_GRACE_MS);
        (now_ms < ends).then_some(ends)
    }

    /// Takes in an entry as of `version`.
    pub fn upsert(
        &mut self,
        record: EndpointRecord,
        version: ObjectVersion,
    ) -> Option<EndpointChange> {
        let id = record.id.clone();
        let changed = |kind| Some(EndpointChange { id: id.clone(), kind, ended_incarnation: None });
        let change = match self.entries.get(&id) {
            Some(entry) if entry.version >= version => return None,
            Some(entry) if entry.record == record => None,
            Some(entry) if entry.record.started_ms != record.started_ms => {
                Some(entry.gone("restarted"))
            }
            Some(entry) if entry.record.state != record.state => changed("changed_state"),
            Some(_) => changed("changed"),
            None => changed("listed"),
        };
        self.entries.insert(id, Entry { record, version, missing_until_ms: None });
        change
    }

    /// Takes in that an entry is gone.
    pub fn remove(&mut self, id: &EndpointId, now_ms: TimeMs) -> Option<EndpointChange> {
        let grace_ends_ms = self.grace_ends_ms(now_ms);
        let entry = self.entries.get_mut(id)?;
        if let Some(ends) = grace_ends_ms
            && entry.record.state == EndpointState::Ready
        {
            entry.missing_until_ms.get_or_insert(ends);
            let kind = "missing_after_outage";
            return Some(EndpointChange { id: id.clone(), kind, ended_incarnation: None });
        }
        self.entries.remove(id).map(|entry| entry.gone("removed"))
    }

    /// Takes in a whole list.
    pub fn replace(
        &mut self,
        listed: Vec<(EndpointRecord, ObjectVersion)>,
        now_ms: TimeMs,
    ) -> Vec<EndpointChange> {
        let missing: Vec<_> = self
            .entries
            .keys()
            .filter(|id| listed.iter().all(|(record, _)| record.id != **id))
            .cloned()
            .collect();
        let mut changes: Vec<_> = missing.iter().filter_map(|id| self.remove(id, now_ms)).collect();
        changes.extend(
            listed.into_iter().filter_map(|(record, version)| self.upsert(record, version)),
        );
        changes
    }

    /// Drops the entries whose grace is over.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<EndpointChange> {
        let is_over = |entry: &Entry| entry.missing_until_ms.is_some_and(|ends| now_ms >= ends);
        let over = self.entries.values().filter(|entry| is_over(entry));
        let gone: Vec<_> = over.map(|entry| entry.gone("removed_after_grace")).collect();
        self.entries.retain(|_, entry| !is_over(entry));
        gone
    }

    /// All entries.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The entries of a service that take work.
    pub fn ready<'a>(&'a self, service: &'a PoolName) -> impl Iterator<Item = &'a EndpointRecord> {
        self.records().filter(move |record| {
            record.service == *service && record.state == EndpointState::Ready
        })
    }

    /// One entry.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }
}
