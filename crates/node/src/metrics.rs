//! OpenTelemetry instruments of the instance.

use bilberryford_callers::ConnectionEnd;
use bilberryford_coord::{OrderState, RetryClass};
use bilberryford_types::ErrorKind;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::observed::Observed;

/// Bucket bounds of the first-token histogram, in seconds.
const FIRST_TOKEN_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0];

/// The instruments of the instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    pub(crate) requests: Counter<u64>,
    pub(crate) refusals: Counter<u64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) chunks_dropped: Counter<u64>,
    pub(crate) in_flight: UpDownCounter<i64>,
    pub(crate) first_token_s: Histogram<f64>,
    pub(crate) prompt_tokens: Counter<u64>,
    pub(crate) cached_tokens: Counter<u64>,
    pub(crate) recomputed_tokens: Counter<u64>,
    pub(crate) orders: Counter<u64>,
    connection_ends: Counter<u64>,
    pub(crate) observed: Observed,
    pub(crate) link_bytes: Counter<u64>,
    pub(crate) write_backs_dropped: Counter<u64>,
}

/// The instruments could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics can't be set up: {reason}")]
pub(crate) struct MetricsError {
    reason: String,
}

fn class_label(class: RetryClass) -> KeyValue {
    let class: &'static str = class.into();
    KeyValue::new("class", class)
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| MetricsError { reason: error.to_string() })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bilberryford");
        let metrics = Self {
            requests: meter.u64_counter("bilberryford.requests").build(),
            refusals: meter.u64_counter("bilberryford.refusals").build(),
            retries: meter.u64_counter("bilberryford.retries").build(),
            chunks_dropped: meter.u64_counter("bilberryford.chunks_dropped").build(),
            in_flight: meter.i64_up_down_counter("bilberryford.requests_in_flight").build(),
            first_token_s: meter
                .f64_histogram("bilberryford.first_token")
                .with_unit("s")
                .with_boundaries(FIRST_TOKEN_BOUNDS_S.to_vec())
                .build(),
            prompt_tokens: meter.u64_counter("bilberryford.prompt_tokens").build(),
            cached_tokens: meter.u64_counter("bilberryford.cached_tokens").build(),
            recomputed_tokens: meter.u64_counter("bilberryford.recomputed_tokens").build(),
            orders: meter.u64_counter("bilberryford.orders").build(),
            connection_ends: meter.u64_counter("bilberryford.connection_ends").build(),
            observed: Observed::new(&meter),
            link_bytes: meter.u64_counter("bilberryford.link_bytes").build(),
            write_backs_dropped: meter.u64_counter("bilberryford.write_backs_dropped").build(),
            registry,
            _provider: provider,
        };
        metrics.start_at_zero();
        Ok(metrics)
    }

    /// Adds 0 to each counter, so that it is exported before its first event and a rate includes that event.
    fn start_at_zero(&self) {
        let plain = [
            &self.requests,
            &self.chunks_dropped,
            &self.prompt_tokens,
            &self.cached_tokens,
            &self.recomputed_tokens,
            &self.write_backs_dropped,
        ];
        plain.into_iter().for_each(|counter| counter.add(0, &[]));
        self.in_flight.add(0, &[]);
        for class in [RetryClass::NotStarted, RetryClass::Started] {
            self.retries.add(0, &[class_label(class)]);
        }
        for outcome in ["done", "not_run", "in_doubt"] {
            self.orders.add(0, &[KeyValue::new("outcome", outcome)]);
        }
    }

    /// Counts a retry by class.
    pub(crate) fn count_retry(&self, class: RetryClass) {
        self.retries.add(1, &[class_label(class)]);
    }

    /// Counts the end of a caller's connection that may have cost a response.
    pub(crate) fn count_connection_end(&self, end: &ConnectionEnd) {
        let labels = end.labels().map(|(name, value)| KeyValue::new(name, value));
        self.connection_ends.add(1, &labels);
    }

    /// Counts an order by durable outcome.
    pub(crate) fn count_order_outcome(&self, state: &OrderState) {
        let outcome = match state {
            OrderState::Done { .. } => "done",
            OrderState::NotRun => "not_run",
            OrderState::InDoubt => "in_doubt",
            OrderState::Intent => return,
        };
        self.orders.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a refusal by kind.
    pub(crate) fn count_refusal(&self, kind: ErrorKind) {
        let name: &'static str = kind.into();
        self.refusals.add(1, &[KeyValue::new("kind", name)]);
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics can't be encoded: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
