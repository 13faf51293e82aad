//! The table of the endpoints of all services, from the platform's store.
//!
//! Endpoints may leave during an outage of the store, and the recovered store may lack entries that their owners are
//! about to write again. Such entries remain usable for a short grace period after the recovery and are then removed.
//!
//! # Invariant
//!
//! An endpoint that was seen as leaving gets no more requests in the same incarnation, whatever a list, a batch or a late
//! heartbeat says of it, and also after its entry was removed.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
};

use bilberryford_types::{
    Build, DataCentreId, EndpointId, ModelName, ObjectVersion, PoolName, TimeMs,
};

use crate::{
    departed::{Departed, EntryOrder, LastEntry},
    peer_loads::EndpointTag,
    store_contact::{RecoveryLimits, StoreContact},
};

/// A model that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub weight_version: u64,
}

/// The state of an endpoint, as it publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It accepts no more requests and stops soon.
    Leaving,
}

/// An entry of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub id: EndpointId,
    /// The start time of this incarnation, in milliseconds of the endpoint's clock; a restart keeps the id.
    pub started_ms: TimeMs,
    /// The service that it belongs to.
    pub service: PoolName,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The build of its software.
    pub build: Build,
    /// Its state.
    pub state: EndpointState,
    /// The number of its heartbeat, which orders the entries of one incarnation.
    pub heartbeat: u64,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The models that it serves.
    pub models: Vec<ServedModel>,
    /// How long it was still cold when the entry was written; none if the entry does not state it.
    pub cold_left_ms: Option<TimeMs>,
}

impl EndpointRecord {
    /// The listed version of a model's weights; none if the endpoint does not serve the model.
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

/// A change of one endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointChange {
    /// The endpoint.
    pub id: EndpointId,
    /// The kind of the change, for the log.
    pub kind: &'static str,
    /// The store's version of the entry that was applied last.
    pub version: ObjectVersion,
    /// The start time of the incarnation that the entry describes.
    pub started_ms: TimeMs,
    /// The number of the heartbeat that wrote the entry.
    pub heartbeat: u64,
    /// The state in the entry.
    pub state: EndpointState,
    /// The build in the entry.
    pub build: Build,
    /// The incarnation that ended unexpectedly; none if it goes on or was leaving.
    pub ended_incarnation: Option<EndpointTag>,
    /// What the change applied; none if it applied no entry of the store.
    pub applied: Option<AppliedEntry>,
}

/// An entry of the store that was applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppliedEntry {
    /// The first one of an incarnation, or the first one since its last one was removed.
    First,
    /// A further one.
    Further,
}

impl EndpointChange {
    /// The incarnation that the entry describes.
    pub(crate) fn incarnation(&self) -> EndpointTag {
        EndpointTag::new(self.id.as_str(), self.started_ms)
    }
}

/// The table of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    entries: HashMap<EndpointId, Entry>,
    departed: Departed,
    contact: StoreContact,
}

impl Entry {
    fn incarnation(&self) -> EndpointTag {
        EndpointTag::new(self.record.id.as_str(), self.record.started_ms)
    }

    /// True if the entry was missing for as long as it may be.
    fn is_expired(&self, now_ms: TimeMs) -> bool {
        self.missing_until_ms.is_some_and(|ends_ms| now_ms >= ends_ms)
    }

    /// True if the endpoint may get requests.
    fn is_ready(&self, now_ms: TimeMs) -> bool {
        self.record.state == EndpointState::Ready && !self.is_expired(now_ms)
    }

    /// A change after which the entry's incarnation goes on, or was known to end.
    fn changed(&self, kind: &'static str) -> EndpointChange {
        let EndpointRecord { id, started_ms, heartbeat, state, build, .. } = &self.record;
        EndpointChange {
            id: id.clone(),
            kind,
            version: self.version,
            started_ms: *started_ms,
            heartbeat: *heartbeat,
            state: *state,
            build: build.clone(),
            ended_incarnation: None,
            applied: None,
        }
    }

    /// The change that ends the entry's incarnation.
    fn ended(&self, kind: &'static str) -> EndpointChange {
        let was_ready = self.record.state == EndpointState::Ready;
        let ended_incarnation = was_ready.then(|| self.incarnation());
        EndpointChange { ended_incarnation, ..self.changed(kind) }
    }
}

impl EndpointTable {
    /// Records that the store replied to a linearizable call on endpoints.
    pub fn record_contact(&mut self, now_ms: TimeMs, limits: RecoveryLimits) {
        self.contact.record_endpoints(now_ms, limits);
    }

    /// Records that the store replied to a linearizable call on something else.
    pub fn record_store_reply(&mut self, now_ms: TimeMs) {
        self.contact.record_reply(now_ms);
    }

    /// Records that a reader answered a question of `asked_ms`, `age_ms` after the store had replied to it. Returns false
    /// if its view is too old to be relied on.
    pub fn record_passed_on_contact(
        &mut self,
        asked_ms: TimeMs,
        age_ms: TimeMs,
        now_ms: TimeMs,
        limits: RecoveryLimits,
    ) -> bool {
        self.contact.record_passed_on(asked_ms, age_ms, now_ms, limits)
    }

    /// Records that the store came back from a copy: entries that it lacks may be missing for a moment.
    pub fn record_new_era(&mut self, now_ms: TimeMs, limits: RecoveryLimits) {
        self.contact.record_new_era(now_ms, limits);
    }

    /// How long ago the store last replied, to be passed on; none if a call failed since.
    pub fn contact_age_to_pass_on_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.contact.age_to_pass_on_ms(now_ms)
    }

    /// The time since the store's last reply; none before the first one.
    pub fn contact_age_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.contact.age_ms(now_ms)
    }

    /// Records a failed call on endpoints that began at `started_ms`; the next reply ends the outage.
    pub fn record_lost_contact(&mut self, started_ms: TimeMs) {
        self.contact.record_failure(started_ms);
    }

    /// The newest entry of an endpoint that was applied, also if it was removed since.
    fn last_entry(&self, id: &EndpointId) -> Option<LastEntry> {
        let listed = self.entries.get(id).map(|entry| LastEntry::new(&entry.record, entry.version));
        listed.or_else(|| self.departed.get(id))
    }

    /// Applies an entry of the store at `version`, unless it is older than the known one.
    pub fn upsert(
        &mut self,
        mut record: EndpointRecord,
        version: ObjectVersion,
    ) -> Option<EndpointChange> {
        let order = self.last_entry(&record.id).map(|last| last.order(&record, version));
        let is_restored = record.state == EndpointState::Ready;
        match order {
            Some(EntryOrder::Known) => return None,
            Some(EntryOrder::Outdated(kind)) => {
                match self.entries.get_mut(&record.id) {
                    Some(entry) => entry.version = version,
                    None => self.departed.set_version(&record.id, version),
                }
                return Some(Entry { record, version, missing_until_ms: None }.changed(kind));
            }
            Some(EntryOrder::AfterDeparture) => record.state = EndpointState::Leaving,
            Some(EntryOrder::Newer) | None => {}
        }
        let (id, started_ms) = (record.id.clone(), record.started_ms);
        let new = Entry { record, version, missing_until_ms: None };
        let change = match self.entries.get(&id) {
            _ if order == Some(EntryOrder::AfterDeparture) && is_restored => {
                Some(new.changed("remains_leaving"))
            }
            Some(entry) if entry.record == new.record => None,
            Some(entry) if entry.record.started_ms != new.record.started_ms => {
                let ended_incarnation = entry.ended("restarted").ended_incarnation;
                Some(EndpointChange { ended_incarnation, ..new.changed("restarted") })
            }
            Some(entry) if entry.record.state != new.record.state => {
                Some(new.changed("changed_state"))
            }
            Some(_) => Some(new.changed("changed")),
            None => Some(new.changed("listed")),
        };
        let is_further = self
            .entries
            .insert(id, new)
            .is_some_and(|before| before.record.started_ms == started_ms);
        let applied = if is_further { AppliedEntry::Further } else { AppliedEntry::First };
        change.map(|change| EndpointChange { applied: Some(applied), ..change })
    }

    /// Returns true if a list at `version`, which may be old, has or lacks an entry that this table would not if it had
    /// been given each change up to `complete_to`.
    pub fn missed_a_change(
        &self,
        listed: &[(EndpointId, ObjectVersion)],
        version: ObjectVersion,
        complete_to: ObjectVersion,
    ) -> bool {
        let is_unknown = |(id, version): &(EndpointId, ObjectVersion)| {
            *version <= complete_to
                && self.last_entry(id).is_none_or(|last| last.version < *version)
        };
        let ids: HashSet<&EndpointId> = listed.iter().map(|(id, _)| id).collect();
        let is_gone = |(id, entry): (&EndpointId, &Entry)| {
            entry.missing_until_ms.is_none() && entry.version <= version && !ids.contains(id)
        };
        listed.iter().any(is_unknown) || version <= complete_to && self.entries.iter().any(is_gone)
    }

    /// Takes an entry out of the table, and remembers it.
    fn take(&mut self, id: &EndpointId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.departed.insert(id.clone(), LastEntry::new(&entry.record, entry.version));
        Some(entry)
    }

    /// Records that an incarnation said itself that it leaves. Returns no change if that is known.
    pub fn record_departure(&mut self, incarnation: EndpointTag) -> Option<EndpointChange> {
        self.departed.record_departure(incarnation);
        let is_subject = |entry: &&mut Entry| {
            entry.record.state == EndpointState::Ready && entry.incarnation() == incarnation
        };
        let entry = self.entries.values_mut().find(is_subject)?;
        entry.record.state = EndpointState::Leaving;
        Some(entry.changed("said_that_it_leaves"))
    }

    /// True if this incarnation of an endpoint accepts requests at `now_ms`.
    pub fn is_ready(&self, id: &EndpointId, incarnation: EndpointTag, now_ms: TimeMs) -> bool {
        self.entries
            .get(id)
            .is_some_and(|entry| entry.is_ready(now_ms) && entry.incarnation() == incarnation)
    }

    /// The incarnations of all entries, and the endpoints in whichever incarnation.
    pub fn tags(&self) -> impl Iterator<Item = EndpointTag> {
        let tag = |entry: &Entry| EndpointTag::of_endpoint(entry.record.id.as_str());
        self.entries.values().flat_map(move |entry| [entry.incarnation(), tag(entry)])
    }

    /// The incarnations of all entries.
    pub fn incarnations(&self) -> impl Iterator<Item = EndpointTag> {
        self.entries.values().map(Entry::incarnation)
    }

    /// The listed endpoint of an incarnation.
    pub fn id_of(&self, incarnation: EndpointTag) -> Option<EndpointId> {
        let mut entries = self.entries.iter();
        entries.find(|(_, entry)| entry.incarnation() == incarnation).map(|(id, _)| id.clone())
    }

    /// The number of removed endpoints that are remembered.
    pub fn remembered(&self) -> usize {
        self.departed.len()
    }

    /// Applies the removal of an entry; shortly after the store's recovery, a ready endpoint gets a grace period.
    pub fn remove(&mut self, id: &EndpointId, now_ms: TimeMs) -> Option<EndpointChange> {
        let grace_ends_ms = self.contact.grace_ends_ms(now_ms);
        let entry = self.entries.get_mut(id)?;
        if let Some(ends) = grace_ends_ms
            && entry.record.state == EndpointState::Ready
        {
            entry.missing_until_ms.get_or_insert(ends);
            return Some(entry.changed("missing_after_outage"));
        }
        self.take(id).map(|entry| entry.ended("removed"))
    }

    /// Applies a complete list of the store.
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

    /// Removes the entries whose grace period has ended.
    pub fn expire(&mut self, now_ms: TimeMs) -> Vec<EndpointChange> {
        let expired = self.entries.iter().filter(|(_, entry)| entry.is_expired(now_ms));
        let expired: Vec<_> = expired.map(|(id, _)| id.clone()).collect();
        let gone = expired.iter().filter_map(|id| self.take(id));
        gone.map(|entry| entry.ended("removed_after_grace")).collect()
    }

    /// All entries.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The entries of all services that accept requests at `now_ms`.
    pub fn ready(&self, now_ms: TimeMs) -> impl Iterator<Item = &EndpointRecord> {
        let ready = self.entries.values().filter(move |entry| entry.is_ready(now_ms));
        ready.map(|entry| &entry.record)
    }

    /// The entry of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }
}
