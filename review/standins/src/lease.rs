//! Rule ONE: workers leave some orders to load weights unanswered while instances roll a version out.

use std::{
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    deployment::{Gateway, Record, Worker, unix_ms},
    engine::{MODEL, SERVICE},
    http::{Message, Reply, serve},
    json,
    platform::Platform,
};

const WORKERS: usize = 9;
/// The machines of the smallest deployment that two instances read the store for.
const INSTANCES: usize = 9;
/// The time that a worker takes to load new weights.
const LOAD_TIME: Duration = Duration::from_millis(760);
/// Each second order is left unanswered and carried out so much later: the share is 0.5 at most, the time 2 to 12 s.
const SILENT_EVERY: u64 = 2;
const LATE: Duration = Duration::from_secs(5);
/// How long the workers do so after each new version.
const SPELL: Duration = Duration::from_secs(7);
/// The bound `LeaseMs` of the settings.
const LEASE: Duration = Duration::from_millis(3_000);
const ROUNDS: u64 = 4;
const ROUND_TIME: Duration = Duration::from_secs(20);

#[derive(Debug, Clone)]
struct Order {
    at: Instant,
    worker: usize,
    holder: String,
    fence: u64,
}

struct LoadState {
    version: u64,
    /// The version that is being loaded, and the end of that.
    loading: Option<(u64, Instant)>,
    sequence: u64,
    fence: u64,
    entries: u64,
}

struct OrderedWorker {
    number: usize,
    worker: Worker,
    state: Mutex<LoadState>,
    platform: Platform,
}

impl OrderedWorker {
    fn entry(&self, state: &LoadState) -> String {
        let entry = self.worker.entry(state.entries);
        entry.replace("\"Version\":1,", &format!("\"Version\":{},", state.version))
    }

    /// Ends a load whose time is over, and writes the entry then.
    fn update(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some((version, ends)) = state.loading
            && Instant::now() >= ends
        {
            state.version = version;
            state.loading = None;
            state.entries += 1;
            self.platform.put("servers", &self.worker.id, &self.entry(&state));
        }
    }

    /// Accepts an order, or returns the status of its refusal.
    fn take(&self, version: u64, fence: u64, expected: Option<u64>) -> u16 {
        self.update();
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.version >= version && state.loading.is_none() {
            return 200;
        }
        if state.loading.is_some() || expected.is_some_and(|expected| expected != state.sequence) {
            return 409;
        }
        state.sequence += 1;
        state.loading = Some((version, Instant::now() + LOAD_TIME));
        202
    }
}

struct Floor {
    workers: Mutex<Vec<Arc<OrderedWorker>>>,
    orders: Mutex<Vec<Order>>,
    is_silent: AtomicBool,
    record: Arc<Record>,
}

impl Floor {
    fn handle(self: &Arc<Self>, number: usize, request: &Message) -> Reply {
        let worker = self.workers.lock().unwrap().get(number).cloned();
        let Some(worker) = worker else { return Reply::empty(503, &[("Not-Executed", "1")]) };
        let (id, born) = (worker.worker.id.clone(), worker.worker.born);
        match request.path() {
            "/-/report" => {
                worker.update();
                let state = worker.state.lock().unwrap();
                Reply::json(
                    200,
                    format!(
                        r#"{{"Stage":"unified","Models":[{{"Name":"{MODEL}","Version":{},"Adapters":[]}}],"Busy":{},"Sequence":{},"Queued":0,"Active":0,"KvUsed":0,"KvTotal":90000,"Handles":0,"born":{born}}}"#,
                        state.version,
                        state.loading.is_some(),
                        state.sequence
                    ),
                )
            }
            "/-/kv-events" => {
                sleep(Duration::from_millis(1_000));
                Reply::json(
                    200,
                    format!(r#"{{"Epoch":1,"Next":0,"Lost":false,"Events":[],"born":{born}}}"#),
                )
            }
            "/-/kv-list" => {
                Reply::json(200, format!(r#"{{"Epoch":1,"Next":0,"Held":[],"born":{born}}}"#))
            }
            "/-/order" => {
                if request.header("expect-instance").is_some_and(|expected| expected != id) {
                    return Reply::empty(421, &[("Instance-Id", &id)]);
                }
                self.order(&worker, request)
            }
            _ => Reply::empty(503, &[("Not-Executed", "1")]),
        }
    }

    fn order(self: &Arc<Self>, worker: &Arc<OrderedWorker>, request: &Message) -> Reply {
        let body = request.text();
        let holder = json::text(&body, "Holder").map(str::to_owned);
        let fence = json::number(&body, "Fence");
        let (Some(holder), Some(fence)) = (holder, fence) else { return Reply::empty(400, &[]) };
        let (version, expected) =
            (json::number(&body, "Version").unwrap_or(0), json::number(&body, "Expected"));
        let number = worker.number;
        let count = {
            let mut orders = self.orders.lock().unwrap();
            orders.push(Order {
                at: Instant::now(),
                worker: number,
                holder: holder.clone(),
                fence,
            });
            orders.len() as u64
        };
        let line =
            format!("order to worker {number}: version {version}, holder {holder}, fence {fence}");
        if self.is_silent.load(Ordering::Relaxed) && count % SILENT_EVERY == 0 {
            self.record.write(format!("{line}: no answer"));
            let (worker, record) = (worker.clone(), self.record.clone());
            thread::spawn(move || {
                sleep(LATE);
                let status = worker.take(version, fence, expected);
                record.write(format!("{line}: carried out late, {status}"));
            });
            return Reply::Silence;
        }
        let status = worker.take(version, fence, expected);
        self.record.write(format!("{line}: {status}"));
        Reply::empty(status, &[])
    }
}

fn config() -> String {
    format!(
        r#"{{"Version":7,"Routes":[{{"Name":"r-prompts","Host":"nylo40.example","PathPrefix":"/kafi500/","Kind":"streaming","TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":1,"Service":"{SERVICE}","MaxAttempts":1,"Public":true,"Sticky":true,"Resumable":false,"GapAimMs":500}}],"Services":[{{"Name":"{SERVICE}","HealthPath":"/health","MaxConnections":370,"Protocol":"h1","Tls":false,"Engine":{{"Slots":64,"KvCapacity":89186,"KvTokenBytes":18432,"LinkMbps":550000.0,"Moves":true,"Backups":true,"Managed":true,"Stride":6,"MaxConcurrency":12,"PinMs":4000.0,"HoldMs":2000.0,"handle_s":5.0,"Models":[{{"Name":"{MODEL}"}}]}}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

pub fn run(trouble: bool) -> io::Result<Verdict> {
    let record = Arc::new(Record::create()?);
    let platform = Platform::default();
    platform.record_writes("bilberryford-lease", record.clone());
    let platform_address = platform.start("127.0.0.1")?;
    let floor = Arc::new(Floor {
        workers: Mutex::default(),
        orders: Mutex::default(),
        is_silent: AtomicBool::new(false),
        record: record.clone(),
    });
    platform.put("config", "main", &config());
    for number in 0..WORKERS {
        let handler = floor.clone();
        let address = serve("127.0.0.1", move |request| handler.handle(number, request))?;
        let worker = Worker {
            id: format!("i-0000000{number}"),
            service: SERVICE,
            address,
            born: unix_ms(),
            model: Some(MODEL),
        };
        let state = LoadState { version: 1, loading: None, sequence: 0, fence: 0, entries: 1 };
        let ordered =
            OrderedWorker { number, worker, state: state.into(), platform: platform.clone() };
        platform.put("servers", &ordered.worker.id, &ordered.entry(&ordered.state.lock().unwrap()));
        floor.workers.lock().unwrap().push(Arc::new(ordered));
    }
    // Workers write their entries without being asked.
    let workers = floor.workers.lock().unwrap().clone();
    thread::spawn(move || {
        loop {
            workers.iter().for_each(|worker| worker.update());
            sleep(Duration::from_millis(20));
        }
    });
    let mut gateways = Vec::new();
    for number in 1..=INSTANCES {
        gateways.push(Gateway::start(&format!("front-a-{number}"), platform_address, 110)?);
    }
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(20))) {
        return Err(io::Error::other("the gateways did not become ready"));
    }
    record.write("ready");
    sleep(Duration::from_secs(5));
    for round in 0..ROUNDS {
        let version = 2 + round;
        floor.is_silent.store(trouble, Ordering::Relaxed);
        platform.put("versions", MODEL, &format!(r#"{{"Model":"{MODEL}","Version":{version}}}"#));
        record.write(format!("version {version} is named; acknowledged"));
        sleep(SPELL);
        floor.is_silent.store(false, Ordering::Relaxed);
        sleep(ROUND_TIME - SPELL);
    }
    drop(gateways);
    let orders = floor.orders.lock().unwrap();
    let (mut turns, mut stale, mut returns) = (0, 0, 0);
    for worker in 0..WORKERS {
        let own: Vec<_> = orders.iter().filter(|order| order.worker == worker).collect();
        for [first, between, last] in own.windows(3).filter_map(|three| three.first_chunk()) {
            let is_return = first.holder == last.holder && first.holder != between.holder;
            returns += u64::from(is_return && last.at - first.at < LEASE);
        }
        for pair in own.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            let gap = after.at - before.at;
            if before.holder != after.holder && gap < LEASE {
                turns += 1;
                stale += u64::from(after.fence < before.fence);
                record.say(format!(
                    "worker {worker}: an order of {} with fence {} came {} ms after one of {} with fence {}",
                    after.holder, after.fence, gap.as_millis(), before.holder, before.fence
                ));
            }
        }
    }
    record.say(format!(
        "orders {}, turns of holders at one worker within {} ms {turns}, with a lower fence after a higher one {stale}, back to the first holder {returns}",
        orders.len(), LEASE.as_millis()
    ));
    if orders.len() < WORKERS {
        return Err(io::Error::other("too few orders were sent"));
    }
    Ok(if turns > 0 { Verdict::Broken } else { Verdict::Held })
}
