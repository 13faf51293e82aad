//! Metrics that are read when they are exported, instead of being updated on each change.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use bilberryford_coord::Liveness;
use opentelemetry::{
    KeyValue,
    metrics::{Gauge, Meter},
};

use crate::node::Node;

/// The kernel's statistics of this process.
const PROCESS_STAT: &str = "/proc/self/stat";
/// Number of its fields between the name of the program and the user time.
const FIELDS_BEFORE_TIMES: usize = 11;
/// Unit of its times, in ticks a second.
const TICKS_PER_S: f64 = 100.0;
/// The states of members that are counted.
const MEMBER_STATES: [Liveness; 4] =
    [Liveness::Alive, Liveness::Suspect, Liveness::Leaving, Liveness::Failed];

/// Cumulative counters, as last read.
#[derive(Debug, Default)]
struct Totals {
    peer_sent_bytes: AtomicU64,
    peer_received_bytes: AtomicU64,
    platform_sent_bytes: AtomicU64,
    platform_received_bytes: AtomicU64,
    platform_calls: AtomicU64,
}

/// The instruments of these metrics.
#[derive(Debug)]
pub(crate) struct Observed {
    totals: Arc<Totals>,
    generation: Gauge<u64>,
    members: Gauge<u64>,
    endpoints: Gauge<u64>,
    orders_in_doubt: Gauge<u64>,
    quarantined: Gauge<u64>,
}

impl Observed {
    pub(crate) fn new(meter: &Meter) -> Self {
        let totals = Arc::new(Totals::default());
        control_io(meter, totals.clone());
        let callback_totals = totals.clone();
        meter
            .u64_observable_counter("bilberryford.platform.calls")
            .with_callback(move |calls| {
                calls.observe(callback_totals.platform_calls.load(Ordering::Relaxed), &[]);
            })
            .build();
        cpu_time(meter);
        Self {
            totals,
            generation: meter.u64_gauge("bilberryford.generation").build(),
            members: meter.u64_gauge("bilberryford.members").build(),
            endpoints: meter.u64_gauge("bilberryford.endpoints").build(),
            orders_in_doubt: meter.u64_gauge("bilberryford.orders_in_doubt").build(),
            quarantined: meter.u64_gauge("bilberryford.quarantined").build(),
        }
    }
}

fn control_io(meter: &Meter, totals: Arc<Totals>) {
    let labels = |with: &'static str, direction: &'static str| {
        [KeyValue::new("with", with), KeyValue::new("network.io.direction", direction)]
    };
    meter
        .u64_observable_counter("bilberryford.control.io")
        .with_unit("By")
        .with_callback(move |io| {
            let value = |total: &AtomicU64| total.load(Ordering::Relaxed);
            io.observe(value(&totals.peer_sent_bytes), &labels("peer", "transmit"));
            io.observe(value(&totals.peer_received_bytes), &labels("peer", "receive"));
            io.observe(value(&totals.platform_sent_bytes), &labels("platform", "transmit"));
            io.observe(value(&totals.platform_received_bytes), &labels("platform", "receive"));
        })
        .build();
}

fn cpu_time(meter: &Meter) {
    meter
        .f64_observable_counter("process.cpu.time")
        .with_unit("s")
        .with_callback(|time| {
            if let Some(cpu) = CpuTime::read() {
                time.observe(cpu.user_s, &[KeyValue::new("cpu.mode", "user")]);
                time.observe(cpu.system_s, &[KeyValue::new("cpu.mode", "system")]);
            }
        })
        .build();
}

/// CPU time of all threads of this process since its start.
struct CpuTime {
    user_s: f64,
    system_s: f64,
}

impl CpuTime {
    fn read() -> Option<Self> {
        let stat = fs::read_to_string(PROCESS_STAT).ok()?;
        // The name of the program may contain spaces, so fields are counted from its end.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
        let mut next_s = || Some(times.next()?.parse::<f64>().ok()? / TICKS_PER_S);
        Some(Self { user_s: next_s()?, system_s: next_s()? })
    }
}

impl Node {
    /// Updates the metrics of this module, and returns all metrics in the text format.
    pub(crate) fn metrics_text(&self) -> String {
        let observed = &self.metrics.observed;
        observed.generation.record(self.generation().0, &[]);
        observed.orders_in_doubt.record(self.orders_in_doubt().len() as u64, &[]);
        observed.quarantined.record(self.quarantined_count(), &[]);
        self.observe_members();
        self.observe_endpoints();
        self.observe_traffic();
        self.metrics.text()
    }

    fn observe_members(&self) {
        let members = self.members.peers();
        let local = if self.is_leaving() { Liveness::Leaving } else { Liveness::Alive };
        for state in MEMBER_STATES {
            let others = members.iter().filter(|(_, other)| *other == state).count();
            let count = others + usize::from(local == state);
            let label = KeyValue::new("state", state.to_string());
            self.metrics.observed.members.record(count as u64, &[label]);
        }
    }

    fn observe_endpoints(&self) {
        let now = self.now();
        let (mut live, mut suspect, mut leaving) = (0, 0, 0);
        for endpoint in self.fleet.endpoints().all() {
            match endpoint.is_leaving() {
                true => leaving += 1,
                false if endpoint.is_suspected(now) => suspect += 1,
                false => live += 1,
            }
        }
        for (state, count) in [("live", live), ("suspect", suspect), ("leaving", leaving)] {
            self.metrics.observed.endpoints.record(count, &[KeyValue::new("state", state)]);
        }
    }

    fn observe_traffic(&self) {
        let totals = &self.metrics.observed.totals;
        if let Some(peers) = self.peers() {
            let traffic = peers.traffic();
            totals.peer_sent_bytes.store(traffic.sent_bytes, Ordering::Relaxed);
            totals.peer_received_bytes.store(traffic.received_bytes, Ordering::Relaxed);
        }
        let traffic = self.platform.traffic();
        totals.platform_sent_bytes.store(traffic.sent_bytes, Ordering::Relaxed);
        totals.platform_received_bytes.store(traffic.received_bytes, Ordering::Relaxed);
        totals.platform_calls.store(traffic.calls, Ordering::Relaxed);
    }
}
