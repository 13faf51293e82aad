//! Rule ORDER: a worker starts anew with the next version of its software, and clients take up streams.

use std::{
    io::{self, Read, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Gateway, Record, Worker, connect, unix_ms},
    engine::{MODEL, SERVICE},
    http::{Connections, Message, Reply, serve_with},
    platform::Platform,
};

const WORKERS: usize = 2;
/// The time for which only one version of the software has served.
const STEADY_TIME: Duration = Duration::from_secs(30);
/// The time from the start of a worker to its first entry, within `HeartbeatMs` (1,200).
const ENTRY_DELAY: Duration = Duration::from_millis(1_000);
/// The streams that clients begin while the worker has started and not yet written its entry.
const STREAMS: usize = 12;
const EVENTS: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
/// The event after which the connection of a client breaks.
const BREAK_AFTER: u64 = 3;
/// Rule ORDER: more than so many streams.
const MAX_MIXED: usize = 2;

struct VersionedWorker {
    worker: Worker,
    /// The version of the software and the start time.
    software: Mutex<(u64, u64)>,
    connections: Connections,
}

impl VersionedWorker {
    fn start(number: usize, record: Arc<Record>) -> io::Result<Arc<Self>> {
        let connections = Connections::default();
        let cell = Arc::new(Mutex::new(None::<Arc<Self>>));
        let shared = cell.clone();
        let address = serve_with("127.0.0.1", connections.clone(), move |request| {
            let worker = shared.lock().unwrap().clone();
            match worker {
                Some(worker) => worker.handle(request, &record),
                None => Reply::empty(503, &[("Not-Executed", "1")]),
            }
        })?;
        let born = unix_ms();
        let id = format!("i-0000000{number}");
        let worker = Worker { id, service: SERVICE, address, born, model: Some(MODEL) };
        let started = Arc::new(Self { worker, software: Mutex::new((1, born)), connections });
        *cell.lock().unwrap() = Some(started.clone());
        Ok(started)
    }

    fn entry(&self, sequence: u64) -> String {
        let (version, born) = *self.software.lock().unwrap();
        let entry = Worker { born, ..self.worker.clone() }.entry(sequence);
        entry.replace(r#""Version":"v1""#, &format!(r#""Version":"v{version}""#))
    }

    /// Ends the process and starts one of the next version at the same address, under the same id.
    fn start_anew(&self) {
        let mut software = self.software.lock().unwrap();
        *software = (software.0 + 1, unix_ms());
        self.connections.close_all();
    }

    fn handle(&self, request: &Message, record: &Record) -> Reply {
        let (version, born) = *self.software.lock().unwrap();
        let id = &self.worker.id;
        match request.path() {
            "/-/report" => {
                return Reply::json(
                    200,
                    format!(
                        r#"{{"Stage":"unified","Models":[{{"Name":"{MODEL}","Version":1,"Adapters":[]}}],"Busy":false,"Sequence":0,"Queued":0,"Active":0,"KvUsed":0,"KvTotal":90000,"Handles":0,"born":{born}}}"#
                    ),
                );
            }
            "/-/kv-events" => {
                sleep(Duration::from_millis(1_000));
                let body = format!(
                    r#"{{"Epoch":{born},"Next":0,"Lost":false,"Events":[],"born":{born}}}"#
                );
                return Reply::json(200, body);
            }
            "/-/kv-list" => {
                let body = format!(r#"{{"Epoch":{born},"Next":0,"Held":[],"born":{born}}}"#);
                return Reply::json(200, body);
            }
            _ => {}
        }
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            return Reply::empty(421, &[("Instance-Id", id), ("Not-Executed", "1")]);
        }
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        record.write(format!(
            "worker {id} with software v{version} runs {request_id} after event {after}"
        ));
        let events = (after + 1..=EVENTS).map(|event| format!("id: {event}\ndata: v{version}\n\n"));
        let headers = [
            ("Content-Type", "text/event-stream"),
            ("Request-Id", &request_id),
            ("Response-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Weight-Versions", "1"),
        ];
        let headers = headers.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        Reply::Events(headers.collect(), events.collect(), EVENT_PAUSE)
    }
}

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-checks","Host":"nylo40.example","PathPrefix":"/kafi500/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":500,"Priority":0,"Service":"{SERVICE}","MaxAttempts":2,"Public":true,"Sticky":true,"Resumable":true,"GapAimMs":500}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacity":89186,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":6,"MaxConcurrency":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"{MODEL}"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

fn next_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Reads a stream until event `last`, its end, or a pause of two seconds. Returns the status and the software version of
/// each event.
fn read_stream(
    front: SocketAddr,
    id: &str,
    extra: &str,
    last: u64,
) -> io::Result<(String, Vec<String>)> {
    let mut stream = connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let head = format!(
        "POST /kafi500/2f HTTP/1.1\r\nHost: nylo40.example\r\nRequest-Id: {id}\r\nModel: {MODEL}\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,{id}:660\r\nDeadline-Ms: 10000\r\n{extra}Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(head.as_bytes())?;
    let mut text = String::new();
    let mut bytes = [0; 4096];
    let ended = format!("id: {last}\ndata: v");
    loop {
        let count = stream.read(&mut bytes)?;
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
        let is_complete = text.find(&ended).is_some_and(|at| text[at..].contains("\n\n"));
        if count == 0 || is_complete || text.starts_with("HTTP/1.1 5") {
            let status = text.get(9..12).unwrap_or_default().to_owned();
            let versions = text.lines().filter_map(|line| line.strip_prefix("data: "));
            return Ok((status, versions.map(|version| version.trim().to_owned()).collect()));
        }
    }
}

/// Begins a stream, loses the connection after some events, and takes the stream up. Returns the versions of its events.
fn take_up(front: SocketAddr, record: &Record) -> Vec<String> {
    let first_id = next_id();
    let begun = read_stream(front, &first_id, "", BREAK_AFTER);
    record.write(format!("sent {first_id}; answered {begun:?}, then the connection broke"));
    let Ok((_, mut versions)) = begun else { return Vec::new() };
    sleep(Duration::from_millis(100));
    let id = next_id();
    let extra = format!("Last-Event-Id: {BREAK_AFTER}\r\nResumes: {first_id}\r\n");
    let rest = read_stream(front, &id, &extra, EVENTS);
    record.write(format!("sent {id}, which takes {first_id} up; answered {rest:?}"));
    versions.extend(rest.map(|(_, versions)| versions).unwrap_or_default());
    versions
}

pub fn run(trouble: bool) -> io::Result<Verdict> {
    let record = Arc::new(Record::create()?);
    let platform = Platform::default();
    let platform_address = platform.start("127.0.0.1")?;
    platform.put("config", "main", &config());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let worker = VersionedWorker::start(number, record.clone())?;
        platform.put("servers", &worker.worker.id, &worker.entry(1));
        workers.push(worker);
    }
    let gateway = Gateway::start("front-a-1", platform_address, 110)?;
    if !gateway.wait_until_ready(Duration::from_secs(30)) {
        return Err(io::Error::other("the gateway did not become ready"));
    }
    record.write("ready");
    let front = gateway.front;
    let began = Instant::now();
    let mut served = 0;
    while began.elapsed() < STEADY_TIME {
        let answer = read_stream(front, &next_id(), "", EVENTS)?;
        served += u64::from(answer.1.len() as u64 == EVENTS);
        sleep(Duration::from_millis(1_000));
    }
    if trouble {
        workers[0].start_anew();
        record.write("worker 0 has started anew with software v2, under its id and at its address");
    }
    let started = Instant::now();
    let streams: Vec<_> = thread::scope(|scope| {
        let clients: Vec<_> =
            (0..STREAMS).map(|_| scope.spawn(|| take_up(front, &record))).collect();
        sleep(ENTRY_DELAY.saturating_sub(started.elapsed()));
        platform.put("servers", &workers[0].worker.id, &workers[0].entry(2));
        record.write("worker 0 writes its entry");
        clients.into_iter().map(|client| client.join().unwrap_or_default()).collect()
    });
    let is_mixed = |versions: &&Vec<String>| versions.windows(2).any(|pair| pair[0] != pair[1]);
    let mixed = streams.iter().filter(is_mixed).count();
    let whole = streams.iter().filter(|versions| versions.len() as u64 == EVENTS).count();
    record.say(format!(
        "streams before {served}, taken up {STREAMS}, whole {whole}, of two software versions {mixed}"
    ));
    if served < 10 || streams.iter().any(|versions| versions.is_empty()) {
        return Err(io::Error::other("too few streams were served"));
    }
    Ok(if mixed > MAX_MIXED { Verdict::Broken } else { Verdict::Held })
}
