//! CONFIG: the answers of some requests are lost at engines that go on answering others; the requests stay unanswered beyond
//! their route's `TimeoutMs`.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use super::{configuration, engine_service, start_gateways};
use crate::{
    Setup,
    client::request,
    gateway::Bounds,
    store::Store,
    worker::{Arrival, Worker},
};

const TIMEOUT_MS: u64 = 3_500;
const DEADLINE_MS: u64 = 10_000;
const WORKERS: usize = 5;
/// The workers that lose answers, and how many in a hundred.
const LOSING_WORKERS: usize = 3;
const LOST_PERCENT: u64 = 30;
const LOSS_TIME: Duration = Duration::from_secs(6);
const CLIENTS: usize = 48;
/// The pause of a client after an answer.
const PAUSE: Duration = Duration::from_millis(400);
const AFTER: Duration = Duration::from_millis(500);

pub fn run(setup: &Setup) -> Result<bool, Box<dyn std::error::Error>> {
    let record = setup.record.clone();
    let (store, address) = Store::start()?;
    let route = format!(
        "{{\"Name\":\"checks\",\"Host\":\"site.example\",\"PathPrefix\":\"/check/\",\"Kind\":\"streaming\",\"TimeoutMs\":{TIMEOUT_MS},\"TargetLatencyMs\":500,\"Priority\":0,\"Service\":\"engines\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":500}}"
    );
    store.put("config", "main", &configuration(1, &[route], &[engine_service("engines")]));
    store.put("versions", "model-1", "{\"Model\":\"model-1\",\"Version\":1}");
    let is_losing = Arc::new(AtomicBool::new(false));
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let (record, is_losing, served) = (record.clone(), is_losing.clone(), AtomicU64::new(0));
        let handler = Arc::new(move |mut arrival: Arrival<'_>| -> io::Result<()> {
            let id = arrival.id().to_owned();
            let number = served.fetch_add(1, Ordering::SeqCst);
            let is_lost = index < LOSING_WORKERS
                && is_losing.load(Ordering::SeqCst)
                && number * LOST_PERCENT % 100 < LOST_PERCENT;
            record.line(format!("worker {} runs {id}", arrival.worker.id));
            if is_lost {
                record.line(format!("the answer to {id} is lost"));
                // It ran; the connection stays as it is until its other end closes it.
                thread::sleep(Duration::from_secs(15));
                return Err(io::ErrorKind::TimedOut.into());
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            let stream = &mut arrival.stream;
            thread::sleep(Duration::from_millis(60));
            stream.write_all(head.as_bytes())?;
            for piece in 1..=4 {
                let event = format!("id: {piece}\ndata: piece {piece} of {id}\n\n");
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                thread::sleep(Duration::from_millis(40));
            }
            stream.write_all(b"0\r\n\r\n")
        });
        let id = format!("e-{index}");
        workers.push(Worker::start(&id, "engines", Some("model-1"), 64, &store, handler)?);
    }
    let gateways = start_gateways(setup, 2, address, Bounds::default())?;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    // The time of each request until its final answer, or until its client gave up.
    let times: Arc<Mutex<Vec<(String, Duration)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over, times) = (record.clone(), is_over.clone(), times.clone());
            let front = gateways[number % gateways.len()].front;
            thread::spawn(move || {
                let mut count = 0;
                while !is_over.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("check-{number}-{count}");
                    let body = format!("check {number} {count}");
                    let head = format!(
                        "POST /check/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nModel: model-1\r\nToken-Usage: 500,20\r\nPrompt-Prefix: {number:08x}:300,{number:04x}{count:04x}:200\r\nDeadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    record.line(format!("client sends {id}"));
                    let sent = record.now();
                    let patience = Duration::from_millis(DEADLINE_MS);
                    let answer = request(front, &head, body.as_bytes(), patience);
                    let took = record.now() - sent;
                    let text = answer.summary();
                    record.line(format!("client gets {id} after {:.3} s: {text}", took.as_secs_f64()));
                    times.lock().expect("no user panics").push((id, took));
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    if setup.has_trouble {
        is_losing.store(true, Ordering::SeqCst);
        record.line("answers begin to be lost");
    }
    thread::sleep(LOSS_TIME);
    is_losing.store(false, Ordering::SeqCst);
    record.line("no more answers are lost");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let times = times.lock().expect("no user panics");
    let timeout = Duration::from_millis(TIMEOUT_MS);
    let long = times.iter().filter(|(_, took)| *took > timeout).count();
    let late = times.iter().filter(|(_, took)| *took > timeout + AFTER).count();
    record.outcome(format!(
        "{} requests; {long} lasted longer than TimeoutMs, {late} of them over 0.5 s longer; 7, or a quarter, are allowed",
        times.len()
    ));
    Ok(late >= 8 && late * 4 > long)
}
