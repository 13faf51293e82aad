//! BUDGET: a request crashes each worker that begins to run it. All instances are killed at the same moment, long after it has
//! crashed its third worker; it comes again when they are in touch.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{configuration, plain_service, start_gateways};
use crate::{
    Setup,
    client::request,
    gateway::{Bounds, Gateway},
    store::Store,
    worker::{Arrival, Worker},
};

const GATEWAYS: u8 = 3;
const WORKERS: usize = 9;
const CONTACT: Duration = Duration::from_secs(3);
/// How long a crashed worker is down.
const DOWN: Duration = Duration::from_secs(3);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The request comes again at this interval, three times in all; each time its client retries twice.
const VISIT_INTERVAL: Duration = Duration::from_secs(15);
const VISITS: usize = 3;
const TRIES: usize = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(300);

fn visit(setup: &Setup, gateways: &[Gateway], number: usize) {
    for attempt in 0..TRIES {
        let gateway = &gateways[(number + attempt) % gateways.len()];
        let id = format!("visit-{number}-try-{attempt}");
        // The same path, caller and body each time.
        let body = b"the body that no worker bears";
        let head = format!(
            "POST /check/same HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        setup.record.line(format!("client sends {id} to {}", gateway.name));
        let answer = request(gateway.front, &head, body, Duration::from_millis(3_500));
        setup.record.line(format!("client gets {id}: {}", answer.summary()));
        if answer.status() == 503 {
            // It was promised that it did not run, for longer than the client waits.
            return;
        }
        thread::sleep(RETRY_PAUSE);
    }
}

pub fn run(setup: &Setup) -> Result<bool, Box<dyn std::error::Error>> {
    let record = setup.record.clone();
    let (store, address) = Store::start()?;
    let route = "{\"Name\":\"checks\",\"Host\":\"site.example\",\"PathPrefix\":\"/check/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"checks\",\"MaxAttempts\":2,\"Public\":false}".to_owned();
    store.put("config", "main", &configuration(1, &[route], &[plain_service("checks")]));
    let runs: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let workers: Arc<Mutex<Vec<Arc<Worker>>>> = Arc::default();
    for index in 0..WORKERS {
        let (record, runs, all) = (record.clone(), runs.clone(), workers.clone());
        let handler = Arc::new(move |arrival: Arrival<'_>| {
            let id = arrival.worker.id.clone();
            runs.lock().expect("no user panics").push(record.now());
            record.line(format!("worker {id} begins to run {} and crashes", arrival.id()));
            let workers = all.lock().expect("no user panics");
            if let Some(worker) = workers.iter().find(|worker| worker.id == id) {
                worker.crash(DOWN);
            }
            Ok(())
        });
        let worker = Worker::start(&format!("w-{index}"), "checks", None, 6, &store, handler)?;
        workers.lock().expect("no user panics").push(worker);
    }
    let mut gateways = start_gateways(setup, GATEWAYS, address, Bounds::default())?;
    // Longer than ContactMs.
    thread::sleep(Duration::from_secs(4));
    let first = record.now();
    for number in 0..VISITS {
        let at = first + VISIT_INTERVAL * number as u32;
        thread::sleep(at.saturating_sub(record.now()));
        visit(setup, &gateways, number);
        if number == 1 && setup.has_trouble {
            thread::sleep(Duration::from_secs(2));
            gateways.iter_mut().for_each(Gateway::kill);
            record.line("all instances are killed");
            thread::sleep(RESTART_DELAY);
            for gateway in &mut gateways {
                gateway.start()?;
            }
            for gateway in &gateways {
                if !gateway.wait_until_ready(Duration::from_secs(10)) {
                    return Err(format!("{} did not become ready again", gateway.name).into());
                }
                record.line(format!("{} is ready again", gateway.name));
            }
        }
    }
    thread::sleep(Duration::from_secs(1));
    let runs = runs.lock().expect("no user panics").clone();
    let Some(third) = runs.get(2) else {
        return Err(format!("only {} workers crashed", runs.len()).into());
    };
    // All instances are in touch at each visit: the kill ends more than ContactMs before the next one.
    let late = runs.iter().filter(|at| **at > *third + CONTACT).count();
    record.outcome(format!(
        "the request crashed {} workers; {late} of the runs came later than ContactMs after the third crash, and 3 are allowed",
        runs.len()
    ));
    Ok(late > 3)
}
