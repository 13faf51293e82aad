//! Rule LOST: callers on slow networks upload large bodies while others keep their connections in use.

use std::{
    io::{self, Write},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Gateway, Record, Worker, connect, exchange, unix_ms},
    http::{Reply, serve},
    platform::Platform,
};

/// `MemoryMb` of the machine.
const MEMORY_MB: u64 = 110;
/// `MaxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 4_194_304;
/// The callers that upload, the size of a body and the time that each upload takes.
const UPLOADS: usize = 36;
const UPLOAD_BYTES: usize = 4_000_000;
const UPLOAD_STEPS: u32 = 100;
const UPLOAD_TIME: Duration = Duration::from_secs(10);
/// The callers that keep a connection each.
const KEPT: usize = 12;
/// The time that the worker takes for a request.
const WORK_TIME: Duration = Duration::from_millis(60);
/// Rule LOST: more than so many requests.
const MAX_LOST: u64 = 3;

const SERVICE: &str = "kafi81c";

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-book","Host":"nylo40.example","PathPrefix":"/book/","Kind":"unsafe","TimeoutMs":3000,"TargetLatencyMs":300,"Priority":1,"Service":"{SERVICE}","MaxAttempts":1,"Public":true,"Sticky":false,"Resumable":false}},{{"Name":"r-plans","Host":"nylo40.example","PathPrefix":"/plans/","Kind":"unsafe","TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":2,"Service":"{SERVICE}","MaxAttempts":1,"Public":true,"Sticky":false,"Resumable":false}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":{MAX_BODY_BYTES},"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

fn start_worker(seen: Arc<Mutex<Vec<String>>>) -> io::Result<Worker> {
    let id = "i-02d9e6b4";
    let address: SocketAddr = serve("127.0.0.1", move |request| {
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            return Reply::empty(421, &[("Instance-Id", id), ("Not-Executed", "1")]);
        }
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        seen.lock().unwrap().push(request_id.clone());
        sleep(WORK_TIME);
        let headers = [("Request-Id", request_id.as_str()), ("Response-Stamp", "3e1b.07.5a2")];
        let headers = headers.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        Reply::Send(200, headers.collect(), b"booked".to_vec())
    })?;
    Ok(Worker { id: id.to_owned(), service: SERVICE, address, born: unix_ms(), model: None })
}

/// Uploads one body at an even pace and waits for the answer.
fn upload(front: SocketAddr, number: usize, record: &Record) {
    let head = format!(
        "POST /plans/{number} HTTP/1.1\r\nHost: nylo40.example\r\nRequest-Id: plan-{number}\r\nDeadline-Ms: 15000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    let began = Instant::now();
    let outcome = (|| {
        let mut stream = connect(front)?;
        stream.write_all(head.as_bytes())?;
        let step = vec![b'x'; UPLOAD_BYTES / UPLOAD_STEPS as usize];
        for index in 1..=UPLOAD_STEPS {
            stream.write_all(&step)?;
            let due = UPLOAD_TIME * index / UPLOAD_STEPS;
            sleep(due.saturating_sub(began.elapsed()));
        }
        let answer = exchange(&stream, "", &[], 5_000)?;
        Ok::<_, io::Error>(answer.status())
    })();
    record.write(match outcome {
        Ok(status) => format!("upload plan-{number} answered {status}"),
        Err(error) => format!("upload plan-{number} ended: {error}"),
    });
}

struct Totals {
    answered: AtomicU64,
    /// The ids of requests from kept connections of which the connection ended without an answer.
    cut: Mutex<Vec<String>>,
}

/// Sends one request after another on one connection, and opens a new one only when that has ended.
fn keep_connection(
    front: SocketAddr,
    caller: usize,
    is_over: &AtomicBool,
    totals: &Totals,
    record: &Record,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(stream) = connect(front) else {
            sleep(Duration::from_millis(100));
            continue;
        };
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("book-{caller}-{number}");
            let head = format!(
                "POST /book/2f HTTP/1.1\r\nHost: nylo40.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nContent-Length: 600\r\n\r\n"
            );
            match exchange(&stream, &head, &[b'y'; 600], 3_500) {
                Ok(answer) => {
                    totals.answered.fetch_add(1, Ordering::Relaxed);
                    if answer.status() != 200 {
                        record.write(format!("sent {id}; answered {}", answer.status()));
                        sleep(Duration::from_millis(100));
                    }
                    if answer.header("connection").is_some_and(|value| value.contains("close")) {
                        break;
                    }
                    is_kept = true;
                }
                Err(error) => {
                    record.write(format!("sent {id}; connection ended: {error}"));
                    if is_kept {
                        totals.cut.lock().unwrap().push(id);
                    }
                    break;
                }
            }
            // The callers are not in step.
            sleep(Duration::from_millis(5 + caller as u64));
        }
    }
}

pub fn run(trouble: bool) -> io::Result<Verdict> {
    let record = Record::create()?;
    let platform = Platform::default();
    let platform_address = platform.start("127.0.0.1")?;
    let seen = Arc::new(Mutex::new(Vec::new()));
    let worker = start_worker(seen.clone())?;
    platform.put("config", "main", &config());
    platform.put("servers", &worker.id, &worker.entry(1));
    let mut gateway = Gateway::start("front-a-1", platform_address, MEMORY_MB)?;
    if !gateway.wait_until_ready(Duration::from_secs(30)) {
        return Err(io::Error::other("the gateway did not become ready"));
    }
    record.write(format!("ready with {} MiB resident", gateway.resident_mb()));
    let (front, is_over) = (gateway.front, AtomicBool::new(false));
    let totals = Totals { answered: AtomicU64::new(0), cut: Mutex::default() };
    let (mut peak_mb, mut ends) = (0, 0);
    thread::scope(|scope| {
        for caller in 0..KEPT {
            let (is_over, totals, record) = (&is_over, &totals, &record);
            scope.spawn(move || keep_connection(front, caller, is_over, totals, record));
        }
        // The machine has been in touch for longer than ContactMs by then.
        let began = Instant::now();
        let mut has_begun_uploads = !trouble;
        while began.elapsed() < Duration::from_secs(20) {
            if !has_begun_uploads && began.elapsed() >= Duration::from_secs(5) {
                has_begun_uploads = true;
                record.write(format!("{UPLOADS} uploads of {UPLOAD_BYTES} bytes begin"));
                for number in 0..UPLOADS {
                    let record = &record;
                    scope.spawn(move || upload(front, number, record));
                }
            }
            let resident_mb = gateway.resident_mb();
            peak_mb = peak_mb.max(resident_mb);
            if resident_mb > MEMORY_MB || gateway.has_ended() {
                ends += 1;
                record.write(format!("{resident_mb} MiB resident: the platform kills the process"));
                if let Err(error) = gateway.kill_and_restart(Duration::from_millis(500)) {
                    record.say(format!("the gateway can't be started again: {error}"));
                    break;
                }
            }
            sleep(Duration::from_millis(20));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    let seen = seen.lock().unwrap();
    let cut = totals.cut.lock().unwrap();
    let lost: Vec<_> = cut.iter().filter(|id| seen.contains(id)).collect();
    record.say(format!(
        "answered {}, peak {peak_mb} MiB of {MEMORY_MB}, ends of the process {ends}, passed on and closed without an answer {}: {lost:?}",
        totals.answered.load(Ordering::Relaxed), lost.len()
    ));
    if totals.answered.load(Ordering::Relaxed) < 100 {
        return Err(io::Error::other("too few requests were answered"));
    }
    Ok(if lost.len() as u64 > MAX_LOST { Verdict::Broken } else { Verdict::Held })
}
