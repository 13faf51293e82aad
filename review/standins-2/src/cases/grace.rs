//! LOST: `GraceS` is raised in the settings file, with SIGHUP; a SIGTERM follows while streams run.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{configuration, plain_service, start_gateways};
use crate::{
    Setup,
    client::Connection,
    gateway::Bounds,
    store::Store,
    worker::{Arrival, Worker},
};

const GRACE_BEFORE_S: u64 = 8;
const GRACE_S: u64 = 16;
const STREAMS: usize = 8;
/// Each stream has this many pieces, and lasts 10 s.
const PIECES: u32 = 40;
const PIECE_PAUSE: Duration = Duration::from_millis(250);
/// From the start of the streams to SIGTERM.
const BEFORE_STOP: Duration = Duration::from_secs(1);

struct Run {
    id: String,
    began: Duration,
    /// When its last piece was written; none if the connection to the worker ended before.
    ended: Option<Duration>,
    pieces: u32,
}

fn stream(
    arrival: Arrival<'_>,
    setup_record: &crate::record::Record,
    runs: &Mutex<Vec<Run>>,
) -> io::Result<()> {
    let id = arrival.id().to_owned();
    let began = setup_record.now();
    setup_record.line(format!("worker {} runs {id}", arrival.worker.id));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: stamp-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut pieces = 0;
    let mut write = || -> io::Result<()> {
        arrival.stream.write_all(head.as_bytes())?;
        for number in 1..=PIECES {
            let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            arrival.stream.write_all(chunk.as_bytes())?;
            pieces = number;
            thread::sleep(PIECE_PAUSE);
        }
        arrival.stream.write_all(b"0\r\n\r\n")
    };
    let result = write();
    let now = setup_record.now();
    setup_record.line(match &result {
        Ok(()) => format!("worker ends {id} after all {pieces} pieces"),
        Err(error) => format!("worker loses the connection of {id} after {pieces} pieces: {error}"),
    });
    let ended = result.is_ok().then_some(now);
    runs.lock().expect("no user panics").push(Run { id, began, ended, pieces });
    result
}

pub fn run(setup: &Setup) -> Result<bool, Box<dyn std::error::Error>> {
    let record = setup.record.clone();
    let (store, address) = Store::start()?;
    let route = "{\"Name\":\"reviews\",\"Host\":\"site.example\",\"PathPrefix\":\"/review/\",\"Kind\":\"streaming\",\"TimeoutMs\":15000,\"TargetLatencyMs\":1000,\"Priority\":1,\"Service\":\"reviews\",\"MaxAttempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false,\"GapAimMs\":500}".to_owned();
    store.put("config", "main", &configuration(1, &[route], &[plain_service("reviews")]));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let mut workers = Vec::new();
    for index in 0..3 {
        let (record, runs) = (record.clone(), runs.clone());
        let handler = Arc::new(move |arrival: Arrival<'_>| stream(arrival, &record, &runs));
        workers.push(Worker::start(&format!("w-{index}"), "reviews", None, 64, &store, handler)?);
    }
    let first = if setup.has_trouble { GRACE_BEFORE_S } else { GRACE_S };
    record.line(format!("instances start with GraceS = {first}"));
    let bounds = Bounds { grace_s: first, ..Bounds::default() };
    let mut gateways = start_gateways(setup, 2, address, bounds)?;
    thread::sleep(Duration::from_secs(2));
    if setup.has_trouble {
        for gateway in &gateways {
            gateway.write_settings(Bounds { grace_s: GRACE_S, ..Bounds::default() })?;
            gateway.signal("HUP");
            record
                .line(format!("{}: GraceS = {GRACE_S} in its settings file, SIGHUP", gateway.name));
        }
    }
    // Longer than ContactMs and ConfigMs.
    thread::sleep(Duration::from_secs(4));
    let front = gateways[0].front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("review-{number}");
                let body = vec![b'x'; 600];
                let head = format!(
                    "POST /review/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                record.line(format!("client sends {id} on a new connection"));
                let answer = match Connection::open(front) {
                    Ok(mut connection) => connection.request(&head, &body, Duration::from_secs(15)),
                    Err(error) => crate::client::Answer { error: Some(error.to_string()), ..Default::default() },
                };
                let now = record.now();
                record.line(format!("client gets {id}: {}", answer.summary()));
                (id, answer, now)
            })
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    let stopped = record.now();
    gateways[0].signal("TERM");
    record.line(format!("{}: SIGTERM; SIGKILL follows after {GRACE_S} s", gateways[0].name));
    let mut exited = None;
    while record.now() - stopped < Duration::from_secs(GRACE_S) {
        if exited.is_none() && gateways[0].has_exited() {
            exited = Some(record.now() - stopped);
            record.line(format!("{} has exited", gateways[0].name));
        }
        if exited.is_some() && clients.iter().all(|client| client.is_finished()) {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    gateways[0].kill();
    let runs_at = |id: &str| {
        let runs = runs.lock().expect("no user panics");
        runs.iter().find(|run| run.id == id).map(|run| (run.began, run.ended, run.pieces))
    };
    let last_sixth = Duration::from_secs(GRACE_S) * 5 / 6;
    let mut lost = 0;
    for client in clients {
        let (id, answer, ended) = client.join().map_err(|_| "a client panicked")?;
        let was_passed_on = runs_at(&id).is_some() || answer.status() == 200;
        let after = ended.saturating_sub(stopped);
        // A connection that ends in the last sixth of GraceS or later is excused: the worker is still at work.
        if !answer.is_complete() && was_passed_on && after < last_sixth {
            lost += 1;
            record.line(format!("LOST: {id} ends {:.1} s after SIGTERM", after.as_secs_f64()));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let exit =
        exited.map_or("killed".to_owned(), |at| format!("exited after {:.1} s", at.as_secs_f64()));
    record.outcome(format!(
        "{lost} of {STREAMS} streams were passed on to a worker and ended without a complete answer; the process {exit}, with GraceS = {GRACE_S}"
    ));
    Ok(lost > 0)
}
