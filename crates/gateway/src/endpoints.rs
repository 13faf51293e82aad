//! The table of the endpoints of all services, from the platform's store.
//!
//! Endpoints may leave during an outage of the store, and the recovered store may lack entries that their owners are
//! about to write again. Such entries remain usable for a short grace period after the recovery and are then removed.
//!
//! # Invariant
//!
//! An endpoint that was seen as leaving gets no more requests in the same incarnation, even if an older list still
//! shows it as ready.

use std::{collections::HashMap, net::SocketAddr};

use bilberryford_types::{DataCentreId, EndpointId, ModelName, ObjectVersion, PoolName, TimeMs};

use crate::peer_loads::EndpointTag;

/// How long after the store's recovery an entry may be missing, in milliseconds: its owner writes it again within two
/// seconds.
const RECOVERY_GRACE_MS: TimeMs = TimeMs(2_000);
/// The longest time between confirmed replies of the store without an outage, in milliseconds: more than the
/// wait of one watch and its reply.
const MAX_CONTACT_GAP_MS: TimeMs = TimeMs(3_500);

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
    /// Its state.
    pub state: EndpointState,
    /// The number of its heartbeat, which orders the entries of one incarnation.
    pub heartbeat: u64,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The models that it serves.
    pub models: Vec<ServedModel>,
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
    /// The incarnation that ended unexpectedly; none if it goes on or was leaving.
    pub ended_incarnation: Option<EndpointTag>,
}

/// The table of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct EndpointTable {
    entries: HashMap<EndpointId, Entry>,
    contact_ms: Option<TimeMs>,
    recovered_ms: Option<TimeMs>,
}

impl Entry {
    fn incarnation(&self) -> EndpointTag {
        EndpointTag::new(self.record.id.as_str(), self.record.started_ms)
    }

    /// A change after which the entry's incarnation goes on, or was known to end.
    fn changed(&self, kind: &'static str) -> EndpointChange {
        let EndpointRecord { id, started_ms, heartbeat, state, .. } = &self.record;
        EndpointChange {
            id: id.clone(),
            kind,
            version: self.version,
            started_ms: *started_ms,
            heartbeat: *heartbeat,
            state: *state,
            ended_incarnation: None,
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
    /// Records that the store replied to a linearizable call at `now_ms`.
    pub fn record_contact(&mut self, now_ms: TimeMs) {
        if self.contact_ms.is_some_and(|at| now_ms.since(at) > MAX_CONTACT_GAP_MS) {
            self.recovered_ms = Some(now_ms);
        }
        self.contact_ms = Some(now_ms);
    }

    /// Returns true if the store replied recently and no call failed since.
    pub fn has_contact(&self, now_ms: TimeMs) -> bool {
        self.contact_ms.is_some_and(|at| now_ms.since(at) <= MAX_CONTACT_GAP_MS)
    }

    /// The time since the store's last reply; none before the first one.
    pub fn contact_age_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        self.contact_ms.map(|at| now_ms.since(at))
    }

    /// Records a failed call to the store; its next reply counts as the recovery.
    pub fn record_lost_contact(&mut self) {
        if self.contact_ms.is_some() {
            self.contact_ms = Some(TimeMs(0));
        }
    }

    fn grace_ends_ms(&self, now_ms: TimeMs) -> Option<TimeMs> {
        let ends = self.recovered_ms?.after(RECOVERY_GRACE_MS);
        (now_ms < ends).then_some(ends)
    }

    /// Applies an entry of the store at `version`; an older one than the known entry is ignored.
    pub fn upsert(
        &mut self,
        record: EndpointRecord,
        version: ObjectVersion,
    ) -> Option<EndpointChange> {
        let id = record.id.clone();
        let new = Entry { record, version, missing_until_ms: None };
        let change = match self.entries.get(&id) {
            Some(entry) if entry.version >= version => return None,
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
        self.entries.insert(id, new);
        change
    }

    /// Applies the removal of an entry; shortly after the store's recovery, a ready endpoint gets a grace period.
    pub fn remove(&mut self, id: &EndpointId, now_ms: TimeMs) -> Option<EndpointChange> {
        let grace_ends_ms = self.grace_ends_ms(now_ms);
        let entry = self.entries.get_mut(id)?;
        if let Some(ends) = grace_ends_ms
            && entry.record.state == EndpointState::Ready
        {
            entry.missing_until_ms.get_or_insert(ends);
            return Some(entry.changed("missing_after_outage"));
        }
        self.entries.remove(id).map(|entry| entry.ended("removed"))
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
        let is_expired = |entry: &Entry| entry.missing_until_ms.is_some_and(|ends| now_ms >= ends);
        let expired = self.entries.values().filter(|entry| is_expired(entry));
        let gone: Vec<_> = expired.map(|entry| entry.ended("removed_after_grace")).collect();
        self.entries.retain(|_, entry| !is_expired(entry));
        gone
    }

    /// All entries.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// The entries of a service that accept requests.
    pub fn ready<'a>(&'a self, service: &'a PoolName) -> impl Iterator<Item = &'a EndpointRecord> {
        self.records().filter(move |record| {
            record.service == *service && record.state == EndpointState::Ready
        })
    }

    /// The entry of an endpoint.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|entry| &entry.record)
    }
}
