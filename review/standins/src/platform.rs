//! The platform's store: objects by kind and name, with revisions, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    deployment::Record,
    http::{Message, Reply, serve},
    json,
};

#[derive(Clone)]
struct Object {
    rev: u64,
    created: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, body of the object, whether it was removed.
    events: Vec<(u64, String, String, bool)>,
    /// A kind of which each write of the system is recorded.
    recorded: Option<(String, Arc<Record>)>,
}

/// The store. It keeps all its history.
#[derive(Clone, Default)]
pub struct Platform(Arc<(Mutex<State>, Condvar)>);

fn body_of(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Rev\":{},\"CreatedRev\":{},\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{},\"Status\":null}}",
        object.rev, object.created, object.spec
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = self.objects.get(&key)
            && object.spec == spec
        {
            return body_of(name, object);
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |object| object.created);
        let object = Object { rev: self.revision, created, spec: spec.to_owned() };
        let body = body_of(name, &object);
        self.objects.insert(key, object);
        self.events.push((self.revision, kind.to_owned(), body.clone(), false));
        body
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let items: Vec<_> = self
            .objects
            .iter()
            .filter(|((of, name), _)| of == kind && name.as_str() > after)
            .map(|((_, name), object)| body_of(name, object))
            .collect();
        format!(
            "{{\"items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
            items.join(","),
            self.revision
        )
    }
}

impl Platform {
    /// Serves the store, and returns its address.
    pub fn start(&self, ip: &str) -> io::Result<SocketAddr> {
        self.0.0.lock().unwrap().revision = 100;
        let platform = self.clone();
        serve(ip, move |request| platform.handle(request))
    }

    /// Records each write of the system to objects of `kind`.
    pub fn record_writes(&self, kind: &str, record: Arc<Record>) {
        self.0.0.lock().unwrap().recorded = Some((kind.to_owned(), record));
    }

    /// A write of a worker or of the operator. It is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.0.0.lock().unwrap().write(kind, name, spec);
        self.0.1.notify_all();
    }

    fn handle(&self, request: &Message) -> Reply {
        let Some(rest) = request.path().strip_prefix("/-/objects/") else {
            return Reply::empty(404, &[]);
        };
        let mut parts = rest.splitn(2, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let key = name.clone().map(|name| (kind.clone(), name));
        let body = request.text();
        let metadata = json::field(&body, "Metadata").unwrap_or("{}");
        let is_write = matches!(request.method(), "POST" | "PUT");
        let recorded = self.0.0.lock().unwrap().recorded.clone();
        if let Some((_, record)) = recorded.filter(|(recorded, _)| is_write && *recorded == kind) {
            let reply = self.answer(request, &kind, key, &body, metadata);
            let (status, rev) = match &reply {
                Reply::Send(status, _, body) => {
                    let body = String::from_utf8_lossy(body);
                    let metadata = json::field(&body, "Metadata").unwrap_or("{}");
                    (*status, json::number(metadata, "Rev").unwrap_or(0))
                }
                Reply::Events(..) | Reply::Silence => (0, 0),
            };
            record.write(format!(
                "store: {} {kind}, if at {:?}, {}: {status}, now at {rev}",
                request.method(),
                json::number(metadata, "Rev"),
                json::field(&body, "Spec").unwrap_or("")
            ));
            return reply;
        }
        self.answer(request, &kind, key, &body, metadata)
    }

    fn answer(
        &self,
        request: &Message,
        kind: &str,
        key: Option<(String, String)>,
        body: &str,
        metadata: &str,
    ) -> Reply {
        match (request.method(), key) {
            ("GET", None) => match request.query("Watch").and_then(|text| text.parse().ok()) {
                Some(since) => self.watch(kind, since, request),
                None => {
                    let after = request.query("after").unwrap_or_default();
                    Reply::json(200, self.0.0.lock().unwrap().list(kind, after))
                }
            },
            ("GET", Some(key)) => match self.0.0.lock().unwrap().objects.get(&key) {
                Some(object) => Reply::json(200, body_of(&key.1, object)),
                None => Reply::json(404, "{}"),
            },
            ("POST", None) => {
                let name = json::text(metadata, "Name").unwrap_or_default().to_owned();
                let mut state = self.0.0.lock().unwrap();
                if let Some(object) = state.objects.get(&(kind.to_owned(), name.clone())) {
                    return Reply::json(409, body_of(&name, object));
                }
                let spec = json::field(body, "Spec").unwrap_or("null");
                let written = state.write(kind, &name, spec);
                self.0.1.notify_all();
                Reply::json(201, written)
            }
            ("PUT", Some(key)) => {
                let mut state = self.0.0.lock().unwrap();
                let Some(object) = state.objects.get(&key) else { return Reply::json(404, "{}") };
                let expected = json::number(metadata, "Rev");
                if expected.is_some_and(|expected| expected != object.rev) {
                    return Reply::json(409, body_of(&key.1, object));
                }
                let spec = json::field(body, "Spec").unwrap_or("null");
                let written = state.write(&key.0, &key.1, spec);
                self.0.1.notify_all();
                Reply::json(200, written)
            }
            ("DELETE", Some(key)) => {
                let mut state = self.0.0.lock().unwrap();
                let Some(object) = state.objects.get(&key).cloned() else {
                    return Reply::json(404, "{}");
                };
                let expected = request.query("Rev").and_then(|text| text.parse::<u64>().ok());
                if expected.is_some_and(|expected| expected != object.rev) {
                    return Reply::json(409, body_of(&key.1, &object));
                }
                state.revision += 1;
                let revision = state.revision;
                state.objects.remove(&key);
                let gone = body_of(&key.1, &Object { rev: revision, ..object });
                state.events.push((revision, key.0, gone, true));
                self.0.1.notify_all();
                Reply::json(200, "{}")
            }
            _ => Reply::empty(405, &[]),
        }
    }

    fn watch(&self, kind: &str, since: u64, request: &Message) -> Reply {
        let wait_ms = request.query("WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events: Vec<_> = state
                .events
                .iter()
                .filter(|(revision, of, ..)| *revision > since && of == kind)
                .map(|(_, _, body, removed)| format!("{{\"Removed\":{removed},\"Object\":{body}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"Events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return Reply::json(200, body);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
