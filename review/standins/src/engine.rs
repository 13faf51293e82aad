//! A model worker that keeps parts of prompts under the `Cache-Salt` of the requests that brought them.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    deployment::{Record, Worker, unix_ms},
    http::{Message, Reply, serve},
};

pub const MODEL: &str = "daka51";
pub const SERVICE: &str = "huvo11a";

/// A part of a prompt that was found in the worker's memory.
#[derive(Debug, Clone)]
pub struct Hit {
    pub at: Instant,
    pub part: String,
    /// The tenant whose request made the part, and the one whose request used it.
    pub maker: String,
    pub user: String,
    pub salt: String,
}

#[derive(Default)]
struct Memory {
    /// The tenant that made each part, by salt and id.
    parts: HashMap<(String, String), String>,
    events: Vec<String>,
    hits: Vec<Hit>,
}

pub struct Engine {
    pub worker: Worker,
    memory: Mutex<Memory>,
    runs: AtomicU64,
}

impl Engine {
    pub fn start(record: Arc<Record>) -> io::Result<Arc<Self>> {
        let engine = Arc::new(Mutex::new(None::<Arc<Self>>));
        let shared = engine.clone();
        let address: SocketAddr = serve("127.0.0.1", move |request| {
            let engine = shared.lock().unwrap().clone();
            match engine {
                Some(engine) => engine.handle(request, &record),
                None => Reply::empty(503, &[("Not-Executed", "1")]),
            }
        })?;
        let worker = Worker {
            id: "i-7f3a91c2".to_owned(),
            service: SERVICE,
            address,
            born: unix_ms(),
            model: Some(MODEL),
        };
        let started = Arc::new(Self { worker, memory: Mutex::default(), runs: AtomicU64::new(0) });
        *engine.lock().unwrap() = Some(started.clone());
        Ok(started)
    }

    /// The parts that requests have found in the memory.
    pub fn hits(&self) -> Vec<Hit> {
        self.memory.lock().unwrap().hits.clone()
    }

    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::Relaxed)
    }

    fn handle(&self, request: &Message, record: &Record) -> Reply {
        let born = self.worker.born;
        match request.path() {
            "/-/report" => {
                return Reply::json(
                    200,
                    format!(
                        r#"{{"Stage":"unified","Models":[{{"Name":"{MODEL}","Version":1,"Adapters":[]}}],"Busy":false,"Sequence":0,"Queued":0,"Active":0,"KvUsed":0,"KvTotal":90000,"Handles":0,"born":{born}}}"#
                    ),
                );
            }
            "/-/kv-events" => return self.events(request),
            "/-/kv-list" => {
                let memory = self.memory.lock().unwrap();
                let held: Vec<_> = memory
                    .parts
                    .keys()
                    .map(|(salt, id)| format!(r#"["{salt}","{id}",800,"{MODEL}"]"#))
                    .collect();
                return Reply::json(
                    200,
                    format!(
                        r#"{{"Epoch":77120,"Next":{},"Held":[{}],"born":{born}}}"#,
                        memory.events.len(),
                        held.join(",")
                    ),
                );
            }
            _ => {}
        }
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != self.worker.id) {
            return Reply::empty(421, &[("Instance-Id", &self.worker.id), ("Not-Executed", "1")]);
        }
        if request.header("expect-version").is_some_and(|version| version != "1") {
            return Reply::empty(421, &[("Instance-Id", &self.worker.id), ("Not-Executed", "1")]);
        }
        self.work(request, record)
    }

    fn work(&self, request: &Message, record: &Record) -> Reply {
        let header = |name| request.header(name).unwrap_or_default().to_owned();
        let (id, user, salt) = (header("request-id"), header("tenant"), header("cache-salt"));
        self.runs.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(10));
        let mut found = Vec::new();
        {
            let mut memory = self.memory.lock().unwrap();
            let mut is_prefix_cached = true;
            for part in header("prompt-prefix").split(',') {
                let Some((part, tokens)) = part.split_once(':') else { continue };
                let key = (salt.clone(), part.to_owned());
                let maker = memory.parts.get(&key).cloned();
                is_prefix_cached &= maker.is_some();
                match maker.filter(|_| is_prefix_cached) {
                    Some(maker) => {
                        found.push(format!("{part} of {maker}"));
                        memory.hits.push(Hit {
                            at: Instant::now(),
                            part: part.to_owned(),
                            maker,
                            user: user.clone(),
                            salt: salt.clone(),
                        });
                    }
                    None => {
                        let number = memory.events.len() + 1;
                        let event =
                            format!(r#"[{number},"+","{salt}","{part}",{tokens},"{MODEL}"]"#);
                        memory.events.push(event);
                        memory.parts.insert(key, user.clone());
                    }
                }
            }
        }
        record.write(format!(
            "run {id} of tenant {user} under salt '{salt}'; found {}",
            if found.is_empty() { "nothing".to_owned() } else { found.join(", ") }
        ));
        let headers = [
            ("Content-Type", "text/event-stream"),
            ("Request-Id", &id),
            ("Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Weight-Versions", "1"),
        ];
        let headers = headers.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        Reply::Send(200, headers.collect(), b"id: 1\ndata: token\n\n".to_vec())
    }

    fn events(&self, request: &Message) -> Reply {
        let since = request.query("Since").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait_ms = request.header("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let memory = self.memory.lock().unwrap();
            if memory.events.len() > since || Instant::now() >= until {
                let events: Vec<_> = memory.events.iter().skip(since).cloned().collect();
                return Reply::json(
                    200,
                    format!(
                        r#"{{"Epoch":77120,"Next":{},"Lost":false,"Events":[{}],"born":{}}}"#,
                        memory.events.len(),
                        events.join(","),
                        self.worker.born
                    ),
                );
            }
            drop(memory);
            sleep(Duration::from_millis(20));
        }
    }
}
