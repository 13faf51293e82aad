//! The platform's store: objects by kind and name, with revisions, lists, watches and conditional writes.

use std::{
    collections::BTreeMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, read_body, read_head},
    json::Json,
};

const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<(u64, String, String)>,
}

/// What the store holds at one moment.
pub struct Copy(State);

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// How often it came back from a copy, one more than that.
    era: AtomicU64,
    is_away: AtomicBool,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Rev\":{revision},\"CreatedRev\":1,\"Finalizers\":[],\"Deleting\":false}},\"Spec\":{spec},\"Status\":null}}"
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some((revision, known)) = self.objects.get(&key)
            && known == spec
        {
            return object(name, *revision, spec);
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, spec.to_owned()));
        let body = object(name, self.revision, spec);
        let event = format!("{{\"Removed\":false,\"Object\":{body}}}");
        self.events.push((self.revision, kind.to_owned(), event));
        body
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = self.objects.remove(&key) else { return };
        self.revision += 1;
        let body = object(name, self.revision, &spec);
        let event = format!("{{\"Removed\":true,\"Object\":{body}}}");
        self.events.push((self.revision, kind.to_owned(), event));
    }
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self::default());
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.state.lock().expect("no writer panics").write(kind, name, spec);
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().expect("no writer panics").remove(kind, name);
        self.changed.notify_all();
    }

    /// Copies what the store holds.
    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().expect("no writer panics").clone())
    }

    /// The store goes away: it refuses each call, also those that wait.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// The store comes back from a copy, in the next era. What it acknowledged since the copy was made is gone.
    pub fn come_back(&self, copy: Copy) {
        *self.state.lock().expect("no writer panics") = copy.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writing = stream.try_clone()?;
        let mut reading = BufReader::new(stream);
        while let Some(head) = read_head(&mut reading)? {
            let mut body = Vec::new();
            read_body(&mut reading, &head, &mut body)?;
            thread::sleep(ANSWER_TIME);
            let is_away = || self.is_away.load(Ordering::SeqCst);
            let mut answer = (503, "{}".to_owned());
            if !is_away() {
                answer = self.answer(&head, &body);
            }
            // A call that waited when the store went away is refused as well.
            if is_away() {
                answer = (503, "{}".to_owned());
            }
            let (status, answer) = answer;
            let era = self.era.load(Ordering::SeqCst) + 1;
            let text = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            writing.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let target = head.word(1);
        let path = target.split('?').next().unwrap_or_default();
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let metadata = body.get("Metadata");
        let expected = metadata.get("Rev").u64();
        match (head.word(0), path.split_once('/')) {
            ("GET", None) => match query(target, "Watch").and_then(|text| text.parse().ok()) {
                Some(since) => match self.watch(path, since, target) {
                    Some(events) => (200, events),
                    None => (410, "{}".into()),
                },
                None => (200, self.list(path)),
            },
            ("GET", Some((kind, name))) => {
                let state = self.state.lock().expect("no writer panics");
                let found = state.objects.get(&(kind.to_owned(), name.to_owned()));
                match found {
                    Some((revision, spec)) => (200, object(name, *revision, spec)),
                    None => (404, "{}".into()),
                }
            }
            ("POST", None) => {
                let name = metadata.get("Name").text().unwrap_or_default().to_owned();
                self.write(path, &name, &body, |found| found.is_none(), 201)
            }
            ("PUT", Some((kind, name))) => {
                let is_met = |found: Option<u64>| {
                    found.is_some() && (expected.is_none() || found == expected)
                };
                self.write(kind, name, &body, is_met, 200)
            }
            ("DELETE", Some((kind, name))) => {
                self.remove(kind, name);
                (200, "{}".into())
            }
            _ => (405, "{}".into()),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        body: &Json,
        is_met: impl Fn(Option<u64>) -> bool,
        status: u16,
    ) -> (u16, String) {
        let mut state = self.state.lock().expect("no writer panics");
        let found = state.objects.get(&(kind.to_owned(), name.to_owned())).cloned();
        if !is_met(found.as_ref().map(|(revision, _)| *revision)) {
            return match found {
                Some((revision, spec)) => (409, object(name, revision, &spec)),
                None => (404, "{}".into()),
            };
        }
        let written = state.write(kind, name, &body.get("Spec").to_string());
        drop(state);
        self.changed.notify_all();
        (status, written)
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().expect("no writer panics");
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<_> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        format!(
            "{{\"items\":[{}],\"HasMore\":false,\"StoreRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    /// Waits for changes; none if the store has no such revision.
    fn watch(&self, kind: &str, since: u64, target: &str) -> Option<String> {
        let wait_ms = query(target, "WaitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().expect("no writer panics");
        loop {
            if since > state.revision {
                return None;
            }
            let newer = state.events.iter().filter(|(at, of, _)| *at > since && of == kind);
            let events: Vec<_> = newer.map(|(.., event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_away = self.is_away.load(Ordering::SeqCst);
            if !events.is_empty() || left.is_zero() || is_away {
                return Some(format!(
                    "{{\"Events\":[{}],\"StoreRevision\":{}}}",
                    events.join(","),
                    state.revision
                ));
            }
            state = self.changed.wait_timeout(state, left).expect("no writer panics").0;
        }
    }
}
