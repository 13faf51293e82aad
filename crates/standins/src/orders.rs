//! `measure orders`: platform calls for each order, with an object per order and with a group-committed ledger.
//!
//! The product has the object per order only; see `docs/design/orders.md` for what was weighed.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::{OrderRecord, OrderReply, OrderState};
use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, ObjectKey, ObjectKind, ObjectStore, Precondition,
};
use bilberryford_types::{Digest, ObjectVersion, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

use crate::platform::{Faults, Platform};

/// The rates that are measured, in orders a second.
const RATES_PER_S: [u64; 3] = [1, 10, 100];
/// How long each rate is measured.
const SPAN: Duration = Duration::from_secs(5);
/// How long the platform takes for a call, in milliseconds.
const PLATFORM_MS: u64 = 5;
/// How long the service takes for an order.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// How long a ledger waits for more entries before it commits.
const COMMIT_WAIT: Duration = Duration::from_millis(25);
/// How many entries wait for a commit at the most.
const MAX_WAITING: usize = 1_024;

/// Where the records of orders are kept.
trait Layout: Send + Sync {
    /// Makes a record durable over the version that was answered for the same key before.
    fn write(&self, number: u64, before: ObjectVersion, record: OrderRecord) -> Written<'_>;
}

type Written<'a> = BoxFuture<'a, io::Result<ObjectVersion>>;

/// One measured layout at one rate.
#[derive(Debug, Serialize)]
pub struct Row {
    /// Which layout.
    pub layout: &'static str,
    /// Partitions of the ledger; 0 for an object per order.
    pub partitions: usize,
    /// Orders a second.
    pub rate_per_s: u64,
    /// Orders that were placed.
    pub orders: u64,
    /// Writes of the platform for each order.
    pub writes_per_order: f64,
    /// Reads of the platform for each order.
    pub reads_per_order: f64,
    /// Until the intent was durable.
    pub intent_p50_ms: f64,
    /// See `intent_p50_ms`.
    pub intent_p99_ms: f64,
}

struct PerOrder {
    objects: Arc<HttpPlatform>,
}

impl Layout for PerOrder {
    fn write(&self, number: u64, before: ObjectVersion, record: OrderRecord) -> Written<'_> {
        async move {
            let key = key(ObjectKind::Order, number)?;
            put(&self.objects, &key, before, serde_json::to_vec(&record)?).await
        }
        .boxed()
    }
}

struct Entry {
    number: u64,
    record: OrderRecord,
    done: oneshot::Sender<ObjectVersion>,
}

struct Ledger {
    partitions: Vec<mpsc::Sender<Entry>>,
}

impl Ledger {
    fn start(objects: &Arc<HttpPlatform>, partitions: usize) -> Self {
        let start = |partition| {
            let (entries, waiting) = mpsc::channel(MAX_WAITING);
            tokio::spawn(commit(objects.clone(), partition, waiting));
            entries
        };
        Self { partitions: (0..partitions as u64).map(start).collect() }
    }
}

impl Layout for Ledger {
    fn write(&self, number: u64, _: ObjectVersion, record: OrderRecord) -> Written<'_> {
        async move {
            let (done, committed) = oneshot::channel();
            let partition = usize::try_from(number).unwrap_or(0) % self.partitions.len();
            let entry = Entry { number, record, done };
            self.partitions[partition].send(entry).await.map_err(io::Error::other)?;
            committed.await.map_err(io::Error::other)
        }
        .boxed()
    }
}

/// Commits a partition's entries in groups, as its only writer.
async fn commit(objects: Arc<HttpPlatform>, partition: u64, mut waiting: mpsc::Receiver<Entry>) {
    let Ok(key) = key(ObjectKind::Ledger, partition) else { return };
    let mut version = ObjectVersion::ABSENT;
    let mut records = BTreeMap::new();
    while let Some(first) = waiting.recv().await {
        sleep(COMMIT_WAIT).await;
        let mut group = vec![first];
        while let Ok(entry) = waiting.try_recv() {
            group.push(entry);
        }
        records.extend(group.iter().map(|entry| (entry.number, entry.record.clone())));
        let Ok(body) = serde_json::to_vec(&records) else { return };
        let Ok(written) = put(&objects, &key, version, body).await else { return };
        version = written;
        for entry in group {
            let _ = entry.done.send(version);
        }
    }
}

fn key(kind: ObjectKind, number: u64) -> io::Result<ObjectKey> {
    Ok(ObjectKey::new(kind, format!("{number}").parse().map_err(io::Error::other)?))
}

async fn put(
    objects: &HttpPlatform,
    key: &ObjectKey,
    before: ObjectVersion,
    body: Vec<u8>,
) -> io::Result<ObjectVersion> {
    let precondition = match before {
        ObjectVersion::ABSENT => Precondition::Absent,
        version => Precondition::Version(version),
    };
    objects.put(key, precondition, body.into()).await.map_err(io::Error::other)
}

fn record(number: u64, state: OrderState) -> io::Result<OrderRecord> {
    Ok(OrderRecord {
        digest: Digest([7; 32]),
        attempt: format!("a-entry-1-19a0-{number:x}").parse().map_err(io::Error::other)?,
        instance: "entry-1".parse().map_err(io::Error::other)?,
        written_ms: TimeMs(1_790_000_000_000),
        running_ms: TimeMs(10_000),
        state,
    })
}

/// Places one order; answers how long the intent took.
async fn place(layout: Arc<dyn Layout>, number: u64) -> io::Result<Duration> {
    let started = Instant::now();
    let intent = record(number, OrderState::Intent)?;
    let version = layout.write(number, ObjectVersion::ABSENT, intent).await?;
    let took = started.elapsed();
    sleep(SERVICE_TIME).await;
    let body = Some(format!("{{\"order\":\"order-{number}\",\"run\":1}}"));
    let reply = OrderReply { status: 200, content_type: None, body, body_digest: None };
    let done = record(number, OrderState::Done { reply, from_status: false })?;
    layout.write(number, version, done).await?;
    Ok(took)
}

async fn measure(partitions: usize, rate_per_s: u64) -> io::Result<Row> {
    let platform = Arc::new(Platform::default());
    platform.set_faults(Faults { slow_ms: PLATFORM_MS, ..Faults::default() });
    let host = platform.host(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let client =
        HttpPlatform::new(HttpPlatformConfig::new(host.url())).map_err(io::Error::other)?;
    let objects = Arc::new(client);
    let layout: Arc<dyn Layout> = match partitions {
        0 => Arc::new(PerOrder { objects }),
        _ => Arc::new(Ledger::start(&objects, partitions)),
    };
    let orders = rate_per_s * SPAN.as_secs();
    let mut ticks = interval(Duration::from_micros(1_000_000 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut placed = JoinSet::new();
    for number in 0..orders {
        ticks.tick().await;
        placed.spawn(place(layout.clone(), number));
    }
    let mut took = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    while let Some(one) = placed.join_next().await {
        took.saturating_record(u64::try_from(one??.as_micros()).unwrap_or(u64::MAX));
    }
    let book = platform.stats();
    let ms = |quantile| took.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok(Row {
        layout: if partitions == 0 { "object per order" } else { "ledger" },
        partitions,
        rate_per_s,
        orders,
        writes_per_order: book.puts as f64 / orders as f64,
        reads_per_order: book.gets as f64 / orders as f64,
        intent_p50_ms: ms(0.5),
        intent_p99_ms: ms(0.99),
    })
}

/// Measures both layouts at every rate and prints.
///
/// # Errors
///
/// When a stand-in can't be started or a call of it fails.
pub async fn run(json: bool) -> io::Result<()> {
    let mut rows = Vec::new();
    for partitions in [0, 1, 8] {
        for rate_per_s in RATES_PER_S {
            rows.push(measure(partitions, rate_per_s).await?);
        }
    }
    match json {
        true => println!("{}", serde_json::to_string(&rows)?),
        false => rows.iter().for_each(|row| println!("{row:?}")),
    }
    Ok(())
}
