//! `measure orders`: counts platform calls per order, with an object per order and with a group-committed ledger.
//!
//! The product implements the object per order only; `docs/design/orders.md` compares the two layouts.

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

/// Measured rates, in orders per second.
const RATES_PER_S: [u64; 3] = [1, 10, 100];
const MEASURE_TIME: Duration = Duration::from_secs(5);
/// Latency of each platform call.
const PLATFORM_LATENCY_MS: u64 = 5;
/// Time that the service takes to run an order.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time that a ledger waits for more entries before it commits a group.
const GROUP_COMMIT_DELAY: Duration = Duration::from_millis(25);
/// Most entries of a partition that wait for a commit.
const COMMIT_QUEUE_CAPACITY: usize = 1_024;

/// A layout of order records in the object store.
trait Layout: Send + Sync {
    /// Durably writes a record over `expected`, the version that the previous write of the same order returned.
    fn write(&self, number: u64, expected: ObjectVersion, record: OrderRecord) -> WriteFuture<'_>;
}

type WriteFuture<'a> = BoxFuture<'a, io::Result<ObjectVersion>>;

/// The measurement of one layout at one rate.
#[derive(Debug, Serialize)]
pub struct Row {
    /// The layout.
    pub layout: &'static str,
    /// Partitions of the ledger; 0 for an object per order.
    pub partitions: usize,
    /// Orders per second.
    pub rate_per_s: u64,
    /// Orders that were placed.
    pub orders: u64,
    /// Platform writes per order.
    pub writes_per_order: f64,
    /// Platform reads per order.
    pub reads_per_order: f64,
    /// Median time until the intent was durable.
    pub intent_p50_ms: f64,
    /// 99th percentile of the time until the intent was durable.
    pub intent_p99_ms: f64,
}

struct ObjectPerOrder {
    objects: Arc<HttpPlatform>,
}

impl Layout for ObjectPerOrder {
    fn write(&self, number: u64, expected: ObjectVersion, record: OrderRecord) -> WriteFuture<'_> {
        async move {
            let key = key(ObjectKind::Order, number)?;
            put(&self.objects, &key, expected, serde_json::to_vec(&record)?).await
        }
        .boxed()
    }
}

struct LedgerEntry {
    number: u64,
    record: OrderRecord,
    committed: oneshot::Sender<ObjectVersion>,
}

struct Ledger {
    partitions: Vec<mpsc::Sender<LedgerEntry>>,
}

impl Ledger {
    fn start(objects: &Arc<HttpPlatform>, partitions: usize) -> Self {
        let start = |partition| {
            let (entries, waiting) = mpsc::channel(COMMIT_QUEUE_CAPACITY);
            tokio::spawn(commit_groups(objects.clone(), partition, waiting));
            entries
        };
        Self { partitions: (0..partitions as u64).map(start).collect() }
    }
}

impl Layout for Ledger {
    fn write(&self, number: u64, _: ObjectVersion, record: OrderRecord) -> WriteFuture<'_> {
        async move {
            let (committed, version) = oneshot::channel();
            let partition = usize::try_from(number).unwrap_or(0) % self.partitions.len();
            let entry = LedgerEntry { number, record, committed };
            self.partitions[partition].send(entry).await.map_err(io::Error::other)?;
            version.await.map_err(io::Error::other)
        }
        .boxed()
    }
}

/// Commits the entries of a partition in groups, as its only writer.
async fn commit_groups(
    objects: Arc<HttpPlatform>,
    partition: u64,
    mut waiting: mpsc::Receiver<LedgerEntry>,
) {
    let Ok(key) = key(ObjectKind::Ledger, partition) else { return };
    let mut version = ObjectVersion::ABSENT;
    let mut records = BTreeMap::new();
    while let Some(first) = waiting.recv().await {
        sleep(GROUP_COMMIT_DELAY).await;
        let mut group = vec![first];
        while let Ok(entry) = waiting.try_recv() {
            group.push(entry);
        }
        records.extend(group.iter().map(|entry| (entry.number, entry.record.clone())));
        let Ok(body) = serde_json::to_vec(&records) else { return };
        let Ok(written) = put(&objects, &key, version, body).await else { return };
        version = written;
        for entry in group {
            let _ = entry.committed.send(version);
        }
    }
}

fn key(kind: ObjectKind, number: u64) -> io::Result<ObjectKey> {
    Ok(ObjectKey::new(kind, format!("{number}").parse().map_err(io::Error::other)?))
}

async fn put(
    objects: &HttpPlatform,
    key: &ObjectKey,
    expected: ObjectVersion,
    body: Vec<u8>,
) -> io::Result<ObjectVersion> {
    let precondition = match expected {
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

/// Places one order and returns the time until its intent was durable.
async fn place_order(layout: Arc<dyn Layout>, number: u64) -> io::Result<Duration> {
    let started = Instant::now();
    let intent = record(number, OrderState::Intent)?;
    let version = layout.write(number, ObjectVersion::ABSENT, intent).await?;
    let intent_latency = started.elapsed();
    sleep(SERVICE_TIME).await;
    let body = Some(format!("{{\"order\":\"order-{number}\",\"run\":1}}"));
    let reply = OrderReply { status: 200, content_type: None, body, body_digest: None };
    let done = record(number, OrderState::Done { reply, from_status: false })?;
    layout.write(number, version, done).await?;
    Ok(intent_latency)
}

async fn measure(partitions: usize, rate_per_s: u64) -> io::Result<Row> {
    let platform = Arc::new(Platform::default());
    platform.set_faults(Faults { slow_ms: PLATFORM_LATENCY_MS, ..Faults::default() });
    let host = platform.host(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let client =
        HttpPlatform::new(HttpPlatformConfig::new(host.url())).map_err(io::Error::other)?;
    let objects = Arc::new(client);
    let layout: Arc<dyn Layout> = match partitions {
        0 => Arc::new(ObjectPerOrder { objects }),
        _ => Arc::new(Ledger::start(&objects, partitions)),
    };
    let orders = rate_per_s * MEASURE_TIME.as_secs();
    let mut ticks = interval(Duration::from_micros(1_000_000 / rate_per_s));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut placed = JoinSet::new();
    for number in 0..orders {
        ticks.tick().await;
        placed.spawn(place_order(layout.clone(), number));
    }
    let mut intent_latencies =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
    while let Some(latency) = placed.join_next().await {
        intent_latencies
            .saturating_record(u64::try_from(latency??.as_micros()).unwrap_or(u64::MAX));
    }
    let stats = platform.stats();
    let ms = |quantile| intent_latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    Ok(Row {
        layout: if partitions == 0 { "object per order" } else { "ledger" },
        partitions,
        rate_per_s,
        orders,
        writes_per_order: stats.puts as f64 / orders as f64,
        reads_per_order: stats.gets as f64 / orders as f64,
        intent_p50_ms: ms(0.5),
        intent_p99_ms: ms(0.99),
    })
}

/// Measures both layouts at every rate and prints a row for each.
///
/// # Errors
///
/// Returns an error if a stand-in can't be started or a call to it fails.
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
