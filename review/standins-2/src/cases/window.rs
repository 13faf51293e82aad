//! BUDGET: `BudgetWindowS` is raised in the settings file, with SIGHUP; a minute later many users come at once, and workers that
//! are full refuse requests.

use std::{
    collections::HashSet,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{configuration, plain_service, start_gateways};
use crate::{
    Setup,
    client::Connection,
    gateway::Bounds,
    store::Store,
    worker::{Arrival, Worker},
};

const WINDOW_BEFORE_S: u64 = 10;
const WINDOW_S: u64 = 20;
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;
const WORKERS: usize = 3;
const SLOTS: u32 = 2;
/// What a worker queues beyond its slots.
const QUEUE: u32 = 2;
const WORK: Duration = Duration::from_millis(45);
const CLIENTS: u32 = 48;
const RATE_PER_S: f64 = 90.0;
const CALM: Duration = Duration::from_secs(55);
/// The bursts, each of 1.7 times the traffic for 3 s, and the pause between.
const BURSTS: usize = 4;
const BURST_FACTOR: f64 = 1.7;
const BURST: Duration = Duration::from_secs(3);
const BURST_PAUSE: Duration = Duration::from_secs(2);

/// A worker's queue: those that run or wait.
struct Load {
    present: AtomicU32,
    slots: Mutex<Vec<Instant>>,
}

fn work(mut arrival: Arrival<'_>, load: &Load) -> io::Result<()> {
    if load.present.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
        load.present.fetch_sub(1, Ordering::SeqCst);
        return arrival.answer(503, "Not-Executed: 1\r\n", "");
    }
    let ends = {
        let mut slots = load.slots.lock().expect("no user panics");
        let first = slots.iter_mut().min().expect("there are slots");
        *first = (*first).max(Instant::now()) + WORK;
        *first
    };
    thread::sleep(ends.saturating_duration_since(Instant::now()));
    load.present.fetch_sub(1, Ordering::SeqCst);
    let stamp = format!("Response-Stamp: stamp-{}\r\n", arrival.id());
    arrival.answer(200, &stamp, "done")
}

pub fn run(setup: &Setup) -> Result<bool, Box<dyn std::error::Error>> {
    let record = setup.record.clone();
    let (store, address) = Store::start()?;
    let route = "{\"Name\":\"lookups\",\"Host\":\"site.example\",\"PathPrefix\":\"/lookup/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"lookups\",\"MaxAttempts\":2,\"Public\":false}".to_owned();
    store.put("config", "main", &configuration(1, &[route], &[plain_service("lookups")]));
    // The arrivals at workers: the time, and true beyond the first one of a request.
    let arrivals: Arc<Mutex<(HashSet<String>, Vec<(Duration, bool)>)>> = Arc::default();
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let (record, arrivals) = (record.clone(), arrivals.clone());
        let slots = vec![Instant::now(); SLOTS as usize];
        let load = Load { present: AtomicU32::new(0), slots: Mutex::new(slots) };
        let handler = Arc::new(move |arrival: Arrival<'_>| {
            let is_again = {
                let mut arrivals = arrivals.lock().expect("no user panics");
                let is_again = !arrivals.0.insert(arrival.id().to_owned());
                arrivals.1.push((record.now(), is_again));
                is_again
            };
            if is_again {
                record.line(format!("{} arrives again, at {}", arrival.id(), arrival.worker.id));
            }
            work(arrival, &load)
        });
        let id = format!("w-{index}");
        workers.push(Worker::start(&id, "lookups", None, SLOTS, &store, handler)?);
    }
    let bounds = Bounds { budget_window_s: WINDOW_BEFORE_S, ..Bounds::default() };
    let first = if setup.has_trouble { WINDOW_BEFORE_S } else { WINDOW_S };
    record.line(format!("instances start with BudgetWindowS = {first}"));
    let gateways = start_gateways(setup, 2, address, Bounds { budget_window_s: first, ..bounds })?;
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    // The pause of each client between two requests, in microseconds.
    let pause_us = Arc::new(AtomicU64::new((1e6 * f64::from(CLIENTS) / RATE_PER_S) as u64));
    let requests: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let answers: Arc<Mutex<[u32; 3]>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, is_over, pause_us) = (record.clone(), is_over.clone(), pause_us.clone());
            let (requests, answers) = (requests.clone(), answers.clone());
            let front = gateways[number as usize % gateways.len()].front;
            thread::spawn(move || {
                let mut connection = None;
                let mut count = 0;
                thread::sleep(Duration::from_millis(u64::from(number) * 11));
                while !is_over.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    count += 1;
                    let head = format!(
                        "GET /lookup/{number} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: lookup-{number}-{count}\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\r\n"
                    );
                    requests.lock().expect("no user panics").push(record.now());
                    if connection.is_none() {
                        connection = Connection::open(front).ok();
                    }
                    let status = connection.as_mut().map_or(0, |open| {
                        let answer = open.request(&head, b"", Duration::from_secs(4));
                        if answer.is_complete() { answer.status() } else { 0 }
                    });
                    if status == 0 {
                        connection = None;
                    }
                    let kind = match status {
                        200 => 0,
                        503 => 1,
                        _ => 2,
                    };
                    answers.lock().expect("no user panics")[kind] += 1;
                    let pause = Duration::from_micros(pause_us.load(Ordering::SeqCst));
                    thread::sleep(pause.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    if setup.has_trouble {
        for gateway in &gateways {
            gateway.write_settings(Bounds { budget_window_s: WINDOW_S, ..bounds })?;
            gateway.signal("HUP");
            record.line(format!("{}: BudgetWindowS = {WINDOW_S}, SIGHUP", gateway.name));
        }
    }
    thread::sleep(CALM);
    let usual = pause_us.load(Ordering::SeqCst);
    for _ in 0..BURSTS {
        record.line(format!("{BURST_FACTOR} times the traffic begins"));
        pause_us.store((usual as f64 / BURST_FACTOR) as u64, Ordering::SeqCst);
        thread::sleep(BURST);
        pause_us.store(usual, Ordering::SeqCst);
        record.line("the usual traffic goes on");
        thread::sleep(BURST_PAUSE);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client panicked")?;
    }
    let arrivals = arrivals.lock().expect("no user panics").1.clone();
    let requests = requests.lock().expect("no user panics").clone();
    let window = Duration::from_secs(WINDOW_S);
    let count = |from: Duration, times: &mut dyn Iterator<Item = Duration>| {
        times.filter(|at| *at >= from && *at < from + window).count()
    };
    let mut worst = (0.0_f64, Duration::ZERO, 0, 0);
    let mut from = Duration::ZERO;
    while from < record.now() {
        let again =
            count(from, &mut arrivals.iter().filter(|(_, again)| *again).map(|(at, _)| *at));
        // Those of this window, of the one before it or of the one half a window before it, whichever has most.
        let before = [Duration::ZERO, window / 2, window]
            .map(|back| count(from.saturating_sub(back), &mut requests.iter().copied()));
        let sent = before.into_iter().max().unwrap_or(0);
        let excess = again as f64 - (RATIO * sent as f64 + SLACK);
        if excess > worst.0 || worst.3 == 0 {
            worst = (excess, from, again, sent);
        }
        from += Duration::from_millis(100);
    }
    let (excess, from, again, sent) = worst;
    let answers = answers.lock().expect("no user panics");
    record.outcome(format!(
        "{} requests: {} answered 200, {} answered 503, {} otherwise; in the {WINDOW_S} s from {:.1} s on, {again} arrivals beyond the first for {sent} requests, {:.0} are allowed",
        requests.len(), answers[0], answers[1], answers[2], from.as_secs_f64(), RATIO * sent as f64 + SLACK
    ));
    Ok(excess > 0.0)
}
