//! CONFIG: a key is taken away; the store comes back from a copy of before, and an instance starts again meanwhile. The operator
//! writes the configuration again two seconds after the store's return.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use super::{configuration_with_keys, plain_service, start_gateways};
use crate::{
    Setup,
    client::request,
    gateway::Bounds,
    store::Store,
    worker::{Arrival, Worker},
};

const REVOKE: Duration = Duration::from_secs(5);
/// All times count from the acknowledgement of the configuration that takes the key away.
const STORE_AWAY: Duration = Duration::from_millis(3_000);
const STORE_BACK: Duration = Duration::from_millis(4_000);
const KILL: Duration = Duration::from_millis(3_600);
const START: Duration = Duration::from_millis(4_100);
const WRITTEN_AGAIN: Duration = Duration::from_millis(6_000);
const END: Duration = Duration::from_millis(8_000);
/// The copy is this much older than the acknowledgement.
const COPY_AGE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(setup: &Setup) -> Result<bool, Box<dyn std::error::Error>> {
    let record = setup.record.clone();
    let (store, address) = Store::start()?;
    let route = ["{\"Name\":\"lookups\",\"Host\":\"site.example\",\"PathPrefix\":\"/lookup/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"lookups\",\"MaxAttempts\":2,\"Public\":false}".to_owned()];
    let service = [plain_service("lookups")];
    let with_key = configuration_with_keys(1, &route, &service, &["key-1", "key-2"]);
    let without_key = configuration_with_keys(2, &route, &service, &["key-1"]);
    store.put("config", "main", &with_key);
    // The runs: the request's id.
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut workers = Vec::new();
    for index in 0..3 {
        let (record, runs) = (record.clone(), runs.clone());
        let handler = Arc::new(move |mut arrival: Arrival<'_>| {
            let id = arrival.id().to_owned();
            record.line(format!("worker {} runs {id}", arrival.worker.id));
            runs.lock().expect("no user panics").push(id.clone());
            arrival.answer(200, &format!("Response-Stamp: stamp-{id}\r\n"), "done")
        });
        workers.push(Worker::start(&format!("w-{index}"), "lookups", None, 6, &store, handler)?);
    }
    let mut gateways = start_gateways(setup, 2, address, Bounds::default())?;
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    record.line("the store makes a copy of itself");
    thread::sleep(COPY_AGE);
    store.put("config", "main", &without_key);
    let acknowledged = record.now();
    record.line("version 2, without key-2, is acknowledged");
    let fronts: Vec<_> =
        gateways.iter().map(|gateway| (gateway.name.clone(), gateway.front)).collect();
    // Each client sends with the key that was taken away; the time at which each request was sent.
    let clients: Vec<_> = fronts
        .into_iter()
        .map(|(name, front)| {
            let record = record.clone();
            thread::spawn(move || {
                let mut sent = Vec::new();
                while record.now() < acknowledged + END {
                    let id = format!("{name}-{}", sent.len());
                    let head = format!(
                        "GET /lookup/{id} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-2\r\n\r\n"
                    );
                    let after = record.now() - acknowledged;
                    sent.push((id.clone(), after));
                    let answer = request(front, &head, b"", Duration::from_millis(3_500));
                    record.line(format!(
                        "{id}, sent with key-2 {:.3} s after the acknowledgement: {}",
                        after.as_secs_f64(),
                        answer.summary()
                    ));
                    thread::sleep(PAUSE);
                }
                sent
            })
        })
        .collect();
    let wait_until = |at: Duration| thread::sleep((acknowledged + at).saturating_sub(record.now()));
    if setup.has_trouble {
        wait_until(STORE_AWAY);
        store.go_away();
        record.line("the store is away");
        wait_until(KILL);
        gateways[0].kill();
        record.line(format!("{} is killed", gateways[0].name));
        wait_until(STORE_BACK);
        store.come_back(copy);
        record.line("the store is back from its copy, in the next era");
        wait_until(START);
        gateways[0].start()?;
        record.line(format!("{} starts again", gateways[0].name));
        wait_until(WRITTEN_AGAIN);
        store.put("config", "main", &without_key);
        record.line("the operator has written version 2 again");
    }
    wait_until(END);
    let mut late = Vec::new();
    let runs = runs.lock().expect("no user panics").clone();
    for client in clients {
        let sent = client.join().map_err(|_| "a client panicked")?;
        late.extend(sent.into_iter().filter(|(id, after)| *after > REVOKE && runs.contains(id)));
    }
    let first = late.first().map_or(String::new(), |(id, after)| {
        format!("; the first is {id}, sent {:.3} s after it", after.as_secs_f64())
    });
    record.outcome(format!(
        "{} requests were sent with the key later than RevokeMs after the acknowledgement and ran{first}",
        late.len()
    ));
    Ok(!late.is_empty())
}
