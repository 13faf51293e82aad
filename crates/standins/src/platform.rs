//! The platform: an object API with versions, conditional updates and watches, and a lagging list of instances.
//!
//! The wire format is that of `bilberryford_platform::wire`. Every call is counted, a waiting watch as one. Faults:
//! outage, slowness, a rate limit, answers lost after the write took effect, writes that take effect later, a list
//! that lags or is frozen.

mod routes;
mod switches;

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

pub use switches::{Faults, Stats};

use crate::host::{ServerHandle, host};

/// How many changes are kept for watches.
const KEPT_CHANGES: usize = 4_096;

#[derive(Debug, Clone)]
struct Stored {
    version: u64,
    body: String,
}

#[derive(Debug, Clone)]
struct Changed {
    version: u64,
    kind: String,
    name: String,
    body: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    objects: BTreeMap<(String, String), Stored>,
    changes: VecDeque<Changed>,
    instances: Vec<InstanceRecord>,
    listed: VecDeque<(std::time::Instant, Vec<InstanceRecord>)>,
    faults: Faults,
    book: Stats,
    window: Option<(std::time::Instant, u32)>,
}

/// The platform's state; it outlives a crash of the process in front of it.
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
    /// Starts it over HTTP.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let platform = self.clone();
        host(listen, Duration::from_millis(50), move |_| routes::routes(platform.clone()))
    }

    /// Replaces the list of instances.
    pub fn set_instances(&self, instances: Vec<InstanceRecord>) {
        let mut state = self.state.lock();
        state.instances = instances.clone();
        state.listed.push_back((std::time::Instant::now(), instances));
        if state.listed.len() > 1_024 {
            state.listed.pop_front();
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state.lock();
        if faults.list_frozen && !state.faults.list_frozen {
            let latest = state.listed.pop_back();
            state.listed = latest.into_iter().collect();
        }
        state.faults = faults;
    }

    /// The calls so far.
    pub fn stats(&self) -> Stats {
        self.state.lock().book.clone()
    }

    /// All objects of a kind, as stored.
    pub fn objects(&self, kind: &str) -> Vec<(String, String)> {
        let state = self.state.lock();
        let of_kind = state.objects.iter().filter(|((found, _), _)| found == kind);
        of_kind.map(|((_, name), stored)| (name.clone(), stored.body.clone())).collect()
    }

    fn write(&self, write: Write) -> Result<u64, u64> {
        let mut state = self.state.lock();
        let key = (write.kind.clone(), write.name.clone());
        let current = state.objects.get(&key).map_or(0, |stored| stored.version);
        if current != write.expected {
            state.book.conflicts += 1;
            return Err(current);
        }
        state.version += 1;
        let version = state.version;
        match &write.body {
            Some(body) => drop(state.objects.insert(key, Stored { version, body: body.clone() })),
            None => drop(state.objects.remove(&key)),
        }
        state.changes.push_back(Changed {
            version,
            kind: write.kind,
            name: write.name,
            body: write.body,
        });
        if state.changes.len() > KEPT_CHANGES {
            state.changes.pop_front();
        }
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    /// Counts a call, and answers how long it waits or that it is refused.
    fn admit(&self, count: impl FnOnce(&mut Stats)) -> Result<Duration, StatusCode> {
        let mut state = self.state.lock();
        count(&mut state.book);
        let now = std::time::Instant::now();
        let (since, calls) = state.window.unwrap_or((now, 0));
        let is_fresh = now.duration_since(since) >= Duration::from_secs(1);
        let (since, calls) = if is_fresh { (now, 1) } else { (since, calls + 1) };
        state.window = Some((since, calls));
        let limit = state.faults.max_calls_per_s;
        if limit > 0 && calls > limit {
            state.book.refused += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        if state.faults.outage {
            state.book.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(Duration::from_millis(state.faults.slow_ms))
    }

    fn changes(&self, kind: &str, after: u64) -> Option<ListBody> {
        let state = self.state.lock();
        let oldest = state.changes.front().map_or(state.version + 1, |change| change.version);
        if after + 1 < oldest && after < state.version {
            return None;
        }
        let items = state
            .changes
            .iter()
            .filter(|change| change.version > after && change.kind == kind)
            .filter_map(|change| item(&change.name, change.version, change.body.clone()))
            .collect();
        Some(ListBody { version: ObjectVersion(state.version), items })
    }

    fn listed(&self) -> Vec<InstanceRecord> {
        let state = self.state.lock();
        if state.faults.list_frozen {
            return state.listed.front().map(|(_, list)| list.clone()).unwrap_or_default();
        }
        let lag = Duration::from_millis(state.faults.list_lag_ms);
        let seen = state.listed.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        seen.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[derive(Debug, Clone)]
struct Write {
    kind: String,
    name: String,
    expected: u64,
    body: Option<String>,
}

fn item(name: &str, version: u64, body: Option<String>) -> Option<ListItem> {
    let name: ObjectName = name.parse().ok()?;
    Some(ListItem { name, version: ObjectVersion(version), body })
}
