//! The gateway's metrics, through OpenTelemetry.

use bilberryford_callers::ConnectionEnd;
use bilberryford_types::TimeMs;
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider, UpDownCounter},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{
    features::ResponseStage,
    part_values::{PartAccount, SaveOutcome},
    response_end::{ResponseEndReason, StopPhase},
};

/// The bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 3.0, 6.0, 12.0];

/// The bucket bounds of times to first token, divided by the predicted time.
const RATIO_BOUNDS: [f64; 11] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.35, 2.0, 3.0, 4.0, 8.0, 16.0];

/// The metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics can't be set up: {reason}")]
pub struct MetricsError {
    reason: String,
}

/// The gateway's instruments.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    outcomes: Counter<u64>,
    response_ends: Counter<u64>,
    streams: Counter<u64>,
    part_tokens: Counter<u64>,
    evicted_parts: Counter<u64>,
    evicted_tokens: Counter<u64>,
    saves_without_room: Counter<u64>,
    contended: Counter<u64>,
    connection_ends: Counter<u64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) connections: Counter<u64>,
    pub(crate) store_calls: Counter<u64>,
    pub(crate) orders: Counter<u64>,
    pub(crate) quarantined: Counter<u64>,
    pub(crate) in_flight: UpDownCounter<i64>,
    pub(crate) live_peers: Gauge<u64>,
    pub(crate) limited_endpoints: Gauge<u64>,
    pub(crate) evacuated_data_centres: Gauge<u64>,
    pub(crate) cold_endpoints: Gauge<u64>,
    first_byte_s: Histogram<f64>,
    first_token_ratio: Histogram<f64>,
    config_age_s: Histogram<f64>,
    timer_lag_s: Histogram<f64>,
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
        let meter = provider.meter("bilberryford.gateway");
        let seconds = |name: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("s");
            histogram.with_boundaries(LATENCY_BOUNDS_S.to_vec()).build()
        };
        Ok(Self {
            outcomes: meter.u64_counter("bilberryford.gateway.outcomes").build(),
            response_ends: meter.u64_counter("bilberryford.gateway.response_ends").build(),
            streams: meter.u64_counter("bilberryford.gateway.streams").build(),
            part_tokens: meter.u64_counter("bilberryford.gateway.part_tokens").build(),
            evicted_parts: meter.u64_counter("bilberryford.gateway.evicted_parts").build(),
            evicted_tokens: meter.u64_counter("bilberryford.gateway.evicted_tokens").build(),
            saves_without_room: meter
                .u64_counter("bilberryford.gateway.saves_without_room")
                .build(),
            contended: meter.u64_counter("bilberryford.gateway.contended").build(),
            connection_ends: meter.u64_counter("bilberryford.gateway.connection_ends").build(),
            retries: meter.u64_counter("bilberryford.gateway.repeats").build(),
            connections: meter.u64_counter("bilberryford.gateway.connections").build(),
            store_calls: meter.u64_counter("bilberryford.gateway.store_calls").build(),
            orders: meter.u64_counter("bilberryford.gateway.orders").build(),
            quarantined: meter.u64_counter("bilberryford.gateway.held_back").build(),
            in_flight: meter.i64_up_down_counter("bilberryford.gateway.in_flight").build(),
            live_peers: meter.u64_gauge("bilberryford.gateway.live_peers").build(),
            limited_endpoints: meter.u64_gauge("bilberryford.gateway.limited_endpoints").build(),
            evacuated_data_centres: meter
                .u64_gauge("bilberryford.gateway.evacuated_data_centres")
                .build(),
            cold_endpoints: meter.u64_gauge("bilberryford.gateway.cold_endpoints").build(),
            first_byte_s: seconds("bilberryford.gateway.first_byte"),
            first_token_ratio: meter
                .f64_histogram("bilberryford.gateway.first_token_ratio")
                .with_boundaries(RATIO_BOUNDS.to_vec())
                .build(),
            config_age_s: seconds("bilberryford.gateway.config_age"),
            timer_lag_s: seconds("bilberryford.gateway.timer_lag"),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn record_outcome(&self, record_outcome: &str, first_byte_ms: Option<u64>) {
        self.outcomes.add(1, &[KeyValue::new("outcome", record_outcome.to_owned())]);
        if let Some(first_byte_ms) = first_byte_ms {
            self.first_byte_s.record(first_byte_ms as f64 / 1_000.0, &[]);
        }
    }

    /// Counts a request that ended without a complete response.
    pub(crate) fn record_response_end(
        &self,
        reason: ResponseEndReason,
        phase: StopPhase,
        stage: ResponseStage,
    ) {
        let labels: [(&'static str, &'static str); 4] = [
            ("reason", reason.into()),
            ("decided_by", reason.decider().into()),
            ("phase", phase.into()),
            ("stage", stage.into()),
        ];
        self.response_ends.add(1, &labels.map(|(name, value)| KeyValue::new(name, value)));
    }

    /// Counts the end of a caller's connection that may have cost a response.
    pub(crate) fn record_connection_end(&self, end: &ConnectionEnd) {
        let labels = end.labels().map(|(name, value)| KeyValue::new(name, value));
        self.connection_ends.add(1, &labels);
    }

    /// Records the error of a prediction: the time to first token, divided by the predicted time.
    pub(crate) fn record_first_token(&self, predicted_ms: TimeMs, took_ms: TimeMs) {
        let predicted_ms = predicted_ms.get().max(1);
        self.first_token_ratio.record(took_ms.get() as f64 / predicted_ms as f64, &[]);
    }

    /// Records how old the confirmation of the configuration was when the next one came.
    pub(crate) fn record_config_age(&self, age_ms: TimeMs) {
        self.config_age_s.record(age_ms.get() as f64 / 1_000.0, &[]);
    }

    /// Records how much later than asked for a timer fired, which shows a process that lacks processor time.
    pub(crate) fn record_timer_lag(&self, lag_ms: TimeMs) {
        self.timer_lag_s.record(lag_ms.get() as f64 / 1_000.0, &[]);
    }

    /// Counts a stream that began, was taken up, or could not be taken up for the reason `outcome`.
    pub(crate) fn record_stream(&self, outcome: &'static str) {
        self.streams.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a prompt to a contended pool by the standing of its share.
    pub(crate) fn record_contended(&self, standing: &'static str, outcome: &'static str) {
        let labels = [KeyValue::new("standing", standing), KeyValue::new("outcome", outcome)];
        self.contended.add(1, &labels);
    }

    /// Counts the tokens of a prompt's shared parts by where its engine gets them from and whether they are saved.
    pub(crate) fn record_parts(&self, parts: &[PartAccount]) {
        for part in parts {
            let (source, save): (&'static str, &'static str) =
                (part.outcome.into(), part.save.into());
            let labels = [KeyValue::new("source", source), KeyValue::new("save", save)];
            self.part_tokens.add(u64::from(part.tokens.get()), &labels);
            if part.save == SaveOutcome::NoRoom {
                self.saves_without_room.add(1, &[]);
            }
        }
    }

    /// Counts parts that a store freed to have room for others.
    pub(crate) fn record_eviction(&self, parts: usize, tokens: u64) {
        self.evicted_parts.add(parts as u64, &[]);
        self.evicted_tokens.add(tokens, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut out = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!(error:% = error; "metrics can't be encoded");
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}
