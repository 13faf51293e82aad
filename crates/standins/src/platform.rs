//! The platform: an object API with versions, conditional updates and watches, and a list of instances that may lag.
//!
//! The wire format is that of `bilberryford_platform::wire`. A write that changes nothing leaves the object's version as it
//! is and is no change to watches. Every call is counted; a watch counts once however long it
//! waits. Faults that can be injected: an outage, slow calls, a rate limit, responses lost after the write took effect,
//! writes that take effect late, and a list that lags or is frozen.

mod faults;
mod routes;

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bilberryford_platform::{
    InstanceRecord,
    wire::{ListBody, ListItem},
};
use bilberryford_types::{ObjectName, ObjectVersion};
use parking_lot::Mutex;
use poem::http::StatusCode;
use tokio::sync::watch;

pub use faults::{Faults, Stats};

use crate::host::{ServerHandle, host};

/// The number of changes retained for watches; a watch from an older version must list again.
const MAX_RETAINED_CHANGES: usize = 4_096;

#[derive(Debug, Clone)]
struct StoredObject {
    version: u64,
    body: String,
}

#[derive(Debug, Clone)]
struct Change {
    version: u64,
    kind: String,
    name: String,
    body: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    changes: VecDeque<Change>,
    instances: Vec<InstanceRecord>,
    list_history: VecDeque<(std::time::Instant, Vec<InstanceRecord>)>,
    faults: Faults,
    stats: Stats,
    rate_window: Option<(std::time::Instant, u32)>,
}

/// The platform's state, which survives a crash of its HTTP server.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self { state: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl Platform {
    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let platform = self.clone();
        host(listen, Duration::from_millis(50), move |_| routes::routes(platform.clone()))
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<InstanceRecord>) {
        let mut state = self.state.lock();
        state.instances = instances.clone();
        state.list_history.push_back((std::time::Instant::now(), instances));
        if state.list_history.len() > 1_024 {
            state.list_history.pop_front();
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        if faults.list_frozen && !state.faults.list_frozen {
            let latest = state.list_history.pop_back();
            state.list_history = latest.into_iter().collect();
        }
        state.faults = faults;
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> Stats {
        self.state.lock().stats.clone()
    }

    /// Returns the names and bodies of all objects of a kind.
    pub fn objects(&self, kind: &str) -> Vec<(String, String)> {
        let state = self.state.lock();
        let of_kind = state.objects.iter().filter(|((object_kind, _), _)| object_kind == kind);
        of_kind.map(|((_, name), stored)| (name.clone(), stored.body.clone())).collect()
    }

    fn write(&self, write: WriteRequest) -> Result<u64, u64> {
        let mut state = self.state.lock();
        let key = (write.kind.clone(), write.name.clone());
        let stored = state.objects.get(&key);
        let current = stored.map_or(0, |stored| stored.version);
        let is_change = stored.map(|stored| &stored.body) != write.body.as_ref();
        if current != write.expected {
            state.stats.conflicts += 1;
            return Err(current);
        }
        if !is_change {
            return Ok(current);
        }
        state.version += 1;
        let version = state.version;
        match &write.body {
            Some(body) => {
                drop(state.objects.insert(key, StoredObject { version, body: body.clone() }))
            }
            None => drop(state.objects.remove(&key)),
        }
        state.changes.push_back(Change {
            version,
            kind: write.kind,
            name: write.name,
            body: write.body,
        });
        if state.changes.len() > MAX_RETAINED_CHANGES {
            state.changes.pop_front();
        }
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Counts a call and returns the time that it must wait, or the status of its refusal.
    fn admit(&self, count: impl FnOnce(&mut Stats)) -> Result<Duration, StatusCode> {
        let mut state = self.state.lock();
        count(&mut state.stats);
        let now = std::time::Instant::now();
        let (since, calls) = state.rate_window.unwrap_or((now, 0));
        let is_new_window = now.duration_since(since) >= Duration::from_secs(1);
        let (since, calls) = if is_new_window { (now, 1) } else { (since, calls + 1) };
        state.rate_window = Some((since, calls));
        let limit = state.faults.max_calls_per_s;
        if limit > 0 && calls > limit {
            state.stats.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        if state.faults.outage {
            state.stats.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(Duration::from_millis(state.faults.slow_ms))
    }

    fn changes_since(&self, kind: &str, after: u64) -> Option<ListBody> {
        let state = self.state.lock();
        let oldest = state.changes.front().map_or(state.version + 1, |change| change.version);
        if after + 1 < oldest && after < state.version {
            return None;
        }
        let items = state
            .changes
            .iter()
            .filter(|change| change.version > after && change.kind == kind)
            .filter_map(|change| list_item(&change.name, change.version, change.body.clone()))
            .collect();
        Some(ListBody { version: ObjectVersion::new(state.version), items })
    }

    fn visible_instances(&self) -> Vec<InstanceRecord> {
        let state = self.state.lock();
        if state.faults.list_frozen {
            return state.list_history.front().map(|(_, list)| list.clone()).unwrap_or_default();
        }
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let visible =
            state.list_history.iter().rev().find(|(listed_at, _)| listed_at.elapsed() >= lag);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct WriteRequest {
    kind: String,
    name: String,
    expected: u64,
    body: Option<String>,
}

fn list_item(name: &str, version: u64, body: Option<String>) -> Option<ListItem> {
    let name: ObjectName = name.parse().ok()?;
    Some(ListItem { name, version: ObjectVersion::new(version), body })
}
