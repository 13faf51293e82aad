//! Rule WALL: two tenants, one of them isolated, send prompts that begin with the same parts.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Gateway, Record, call},
    engine::{Engine, MODEL, SERVICE},
    platform::Platform,
};

/// The isolated tenant, and the other one.
const WALLED: &str = "nord";
const OTHER: &str = "sued";
/// The bounds `ConfigMs` and `HeartbeatMs` of the settings.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What happens in the middle of the case.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Another writer replaces the worker's entry by one that lacks fields.
    Entry,
    /// A new configuration isolates the tenant.
    Isolated,
}

fn config(version: u64, is_walled: bool) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r-prompts","Host":"nylo40.example","PathPrefix":"/kafi500/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":1,"Service":"{SERVICE}","MaxAttempts":1,"Public":false,"Sticky":true,"Resumable":false,"GapAimMs":500}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacity":89186,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":6,"MaxConcurrency":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"{MODEL}"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},"Tenants":[{{"Name":"{WALLED}","ApiKeys":["key-of-nord"],"Priority":1,"Isolated":{is_walled}}},{{"Name":"{OTHER}","ApiKeys":["key-of-sued"],"Priority":1,"Isolated":false}}]}}"#
    )
}

/// Sends prompts of one tenant, each on a connection of its own, and returns the number of answers with 200.
fn send_prompts(gateway: &Gateway, tenant: &str, is_over: &AtomicBool, record: &Record) -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let mut served = 0;
    while !is_over.load(Ordering::Relaxed) {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let head = format!(
            "POST /kafi500/2f HTTP/1.1\r\nHost: nylo40.example\r\nRequest-Id: {number:016x}\r\nModel: {MODEL}\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,{number:08x}:250\r\nDeadline-Ms: 5000\r\nAuthorization: Token key-of-{tenant}\r\nContent-Length: 2\r\n\r\n"
        );
        let answer = call(gateway.front, &head, b"{}", 5_000);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        served += u64::from(status == 200);
        record.write(format!("sent {number:016x} of tenant {tenant}; answered {status}"));
        sleep(Duration::from_millis(25));
    }
    served
}

pub fn run(change: Change, trouble: bool) -> io::Result<Verdict> {
    let record = Arc::new(Record::create()?);
    let platform = Platform::default();
    let platform_address = platform.start("127.0.0.1")?;
    let engine = Engine::start(record.clone())?;
    let is_walled_from_start = change == Change::Entry;
    platform.put("config", "main", &config(7, is_walled_from_start));
    platform.put("servers", &engine.worker.id, &engine.worker.entry(1));
    let gateway = Gateway::start("front-a-1", platform_address, 110)?;
    if !gateway.wait_until_ready(Duration::from_secs(30)) {
        return Err(io::Error::other("the gateway did not become ready"));
    }
    record.write("ready");
    let is_over = AtomicBool::new(false);
    let mut walled_from = is_walled_from_start.then(Instant::now);
    let served = thread::scope(|scope| {
        let senders = [WALLED, OTHER].map(|tenant| {
            let (gateway, is_over, record) = (&gateway, &is_over, &record);
            let sender = scope.spawn(move || send_prompts(gateway, tenant, is_over, record));
            // The first tenant's requests make the parts.
            sleep(Duration::from_millis(300));
            sender
        });
        sleep(Duration::from_secs(4));
        match change {
            Change::Entry => {
                for round in 0..3_u64 {
                    let sequence = 2 + round;
                    if trouble {
                        record.write(
                            "another writer replaces the worker's entry; fields are missing",
                        );
                        let entry = engine.worker.entry_with_missing_fields(sequence);
                        platform.put("servers", &engine.worker.id, &entry);
                    }
                    sleep(HEARTBEAT);
                    record.write("the worker writes its entry");
                    platform.put("servers", &engine.worker.id, &engine.worker.entry(sequence));
                    sleep(Duration::from_secs(2));
                }
            }
            Change::Isolated => {
                if trouble {
                    platform.put("config", "main", &config(9, true));
                    record.write("configuration 9 isolates tenant nord; acknowledged");
                    walled_from = Some(Instant::now() + CONFIG_TIME);
                } else {
                    platform.put("config", "main", &config(9, false));
                    record.write("configuration 9 changes nothing but its version; acknowledged");
                }
                sleep(Duration::from_secs(6));
            }
        }
        is_over.store(true, Ordering::Relaxed);
        senders.map(|sender| sender.join().unwrap_or(0))
    });
    let hits = engine.hits();
    let foreign = hits
        .iter()
        .filter(|hit| hit.maker != hit.user && walled_from.is_some_and(|from| hit.at >= from));
    let foreign: Vec<_> = foreign.collect();
    for hit in foreign.iter().take(5) {
        record.say(format!(
            "a request of {} used part {} that a request of {} made, under salt '{}'",
            hit.user, hit.part, hit.maker, hit.salt
        ));
    }
    record.say(format!(
        "served {served:?}, runs {}, parts found {}, of the other tenant while one is isolated {}",
        engine.runs(),
        hits.len(),
        foreign.len()
    ));
    if served.iter().any(|served| *served < 20) {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok(if foreign.is_empty() { Verdict::Held } else { Verdict::Broken })
}
