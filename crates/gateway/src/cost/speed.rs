//! The speed of each endpoint, from the first tokens that all instances observed.
//!
//! Engines of one pool differ in speed for good, and some become slower for less than a second or for some seconds. With
//! many instances, each one alone observes too few first tokens at an endpoint to notice. The instances therefore add up
//! expected and taken times per endpoint and report the sums to each other.
//!
//! Views of queues are some hundred milliseconds old, so that a ratio of taken to expected time is mostly raised by
//! prompts that were not seen. They never lower it. An endpoint is therefore compared by its low ratios: a long-term
//! factor by a quantile, and a deviation over about a second by the least of the latest ratios. Both are divided by the
//! median of the pool. A difference within the pool's spread counts as none, so that the factor in an even pool is 100%.

use std::collections::HashMap;

use bilberryford_types::{PoolName, TimeMs};
use serde::{Deserialize, Serialize};

use crate::peer_loads::EndpointTag;

/// The time after which samples count 1/e in the trust in an estimate, in milliseconds.
const TRUST_MS: f64 = 180_000.0;
/// The age from which a ratio no longer counts as one of the latest, in milliseconds.
const RECENT_MS: TimeMs = TimeMs(1_500);
/// The ratios of which the least is the short-term ratio of an endpoint: one alone may have met prompts not seen.
const RECENT_ROWS: usize = 3;
/// The quantile of ratios that is an endpoint's long-term ratio: few of the prompts at or below it met others not seen.
const LOW_QUANTILE: f64 = 0.3;
/// The bounds of the step by which a sample moves the long-term ratio: a minute's samples of a loaded endpoint count.
const STEP_RANGE: (f64, f64) = (0.01, 0.3);
/// The time after which the bias of a reporter weighs 1/e, in milliseconds.
const BIAS_MS: f64 = 10_000.0;
/// The bounds of the ratio of taken to expected time of one sample, so that a single outlier does not decide.
const SAMPLE_RANGE: (f64, f64) = (0.25, 8.0);
/// The longest expected time with which a sample is weighted, in milliseconds, so that a few long queues do not decide.
const MAX_EXPECTED_MS: f64 = 250.0;
/// The logarithm of the largest long-term factor: a slower endpoint is still tried, so that its recovery is seen.
const MAX_LONG_LOG: f64 = 0.47;
/// The largest factor, in percent, like the largest ratio of one sample.
const MAX_PERCENT: f64 = 800.0;
/// How many times the pool's spread a long-term and a short-term difference must exceed to count.
const SPREADS: (f64, f64) = (2.5, 3.0);
/// The logarithms that a long-term and a short-term difference must exceed in addition.
const MIN_LOGS: (f64, f64) = (0.04, 0.2);
/// The share of the endpoints below which the pool's spread is measured, since slow ones are all on the other side.
const SPREAD_SHARE: f64 = 0.16;
/// The samples with which an estimate is trusted by half.
const HALF_TRUST_SAMPLES: f64 = 4.0;
/// The least trust, in percent, with which an estimate is used.
const MIN_TRUST_PERCENT: u32 = 50;
/// The fewest endpoints that have a median.
const MIN_POOL: usize = 3;
/// The fewest endpoints in a report from which alone the reporter's bias is derived.
const MIN_BIAS_ROWS: usize = 4;
/// The fewest reporters whose biases are compared.
const MIN_REPORTERS: usize = 3;
/// How long the estimates of a pool are used, in milliseconds.
const REFRESH_MS: TimeMs = TimeMs(100);
/// How long an endpoint, a reporter or a pool without samples is remembered, in milliseconds.
const EXPIRY_MS: TimeMs = TimeMs(600_000);
/// The most endpoints that are remembered.
const MAX_ENDPOINTS: usize = 16_384;
/// The most reporters that are remembered.
const MAX_REPORTERS: usize = 1_024;
/// The most endpoints in one report, at up to 14 bytes each.
const MAX_ROWS: usize = 90;

/// Sums over the first tokens of an endpoint that an instance observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSums {
    /// The endpoint's incarnation.
    pub endpoint: EndpointTag,
    /// The sum of the expected times.
    pub expected_ms: u32,
    /// The sum of the times that they took.
    pub taken_ms: u32,
    /// The number of first tokens.
    pub samples: u16,
}

/// What an instance observed since its last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The sender.
    pub instance: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// The sums by endpoint.
    pub sums: Vec<SpeedSums>,
}

/// The speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpeedEstimate {
    /// The time that work takes there, in percent of the pool's median.
    pub percent: u32,
    /// The same over minutes, without the present deviation.
    pub lasting_percent: u32,
    /// How far the estimate is trusted; zero without samples.
    pub trust_percent: u32,
}

/// What is known of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct EndpointRatios {
    /// The low quantile of the logarithms of its ratios.
    low_log: f64,
    /// Their mean.
    mean_log: f64,
    /// The samples so far; older ones count less.
    samples: f64,
    /// The latest ratios, the oldest first.
    recent: [(TimeMs, f64); RECENT_ROWS],
    updated_ms: TimeMs,
}

impl EndpointRatios {
    fn add(&mut self, log_ratio: f64, samples: f64, now_ms: TimeMs) {
        self.samples = self.samples_at(now_ms) + samples;
        if self.samples <= samples {
            (self.low_log, self.mean_log) = (log_ratio, log_ratio);
        }
        let step = (samples / self.samples).clamp(STEP_RANGE.0, STEP_RANGE.1);
        self.mean_log += (log_ratio - self.mean_log) * step;
        let direction = if log_ratio < self.low_log { LOW_QUANTILE - 1.0 } else { LOW_QUANTILE };
        self.low_log += direction * step;
        self.recent.rotate_left(1);
        self.recent[RECENT_ROWS - 1] = (now_ms, log_ratio);
        self.updated_ms = now_ms;
    }

    fn samples_at(&self, now_ms: TimeMs) -> f64 {
        self.samples * (-(now_ms.since(self.updated_ms).get() as f64) / TRUST_MS).exp()
    }

    /// The least of the latest ratios; none if they are too old.
    fn recent_log(&self, now_ms: TimeMs) -> Option<f64> {
        let is_recent = |at_ms: TimeMs| now_ms.since(at_ms) < RECENT_MS;
        let is_complete = self.samples > RECENT_ROWS as f64 && is_recent(self.recent[0].0);
        is_complete.then(|| self.recent.iter().map(|(_, log)| *log).fold(f64::INFINITY, f64::min))
    }
}

/// What is known of an instance that reports.
#[derive(Debug, Clone, Copy, Default)]
struct Reporter {
    incarnation: u64,
    sequence: u64,
    /// The logarithm by which its samples are slower than those of others at the same endpoints.
    bias_log: f64,
    reported_ms: TimeMs,
}

/// The estimates of one pool.
#[derive(Debug, Clone, Default)]
pub struct PoolSpeeds {
    computed_ms: TimeMs,
    /// The median of taken by expected time, in percent: how far predictions are wrong for all alike.
    level_percent: f64,
    estimates: HashMap<EndpointTag, SpeedEstimate>,
}

impl PoolSpeeds {
    /// The estimate of an endpoint, whether it is trusted or not.
    pub fn estimate(&self, endpoint: EndpointTag) -> SpeedEstimate {
        let unknown = SpeedEstimate { percent: 100, lasting_percent: 100, trust_percent: 0 };
        self.estimates.get(&endpoint).copied().unwrap_or(unknown)
    }

    /// The time that work takes at an endpoint, in percent of the expected time, from what the instance observed itself
    /// (`local_percent`) and the shared estimate.
    ///
    /// The shared estimate is used where it is trusted and shows a difference. The lasting part of it scales the local
    /// value, which also shows queues that no view contains yet, and differs between instances that choose at the same
    /// time: a replay in which the shared value replaced it had fewer first tokens in time, even with the true speeds.
    pub fn percent(&self, endpoint: EndpointTag, local_percent: Option<u32>) -> Option<u32> {
        let estimate = self.estimate(endpoint);
        if estimate.trust_percent < MIN_TRUST_PERCENT || estimate.percent == 100 {
            return local_percent;
        }
        let local = local_percent.map_or(self.level_percent, f64::from);
        let lasting = local * f64::from(estimate.lasting_percent) / 100.0;
        let now = self.level_percent * f64::from(estimate.percent) / 100.0;
        // All factors are bounded, so that the cast is exact.
        Some(lasting.max(now).round() as u32)
    }
}

/// The speeds of all endpoints, as this instance knows them.
#[derive(Debug, Clone, Default)]
pub struct Speeds {
    pending: HashMap<EndpointTag, SpeedSums>,
    endpoints: HashMap<EndpointTag, EndpointRatios>,
    reporters: HashMap<String, Reporter>,
    pools: HashMap<PoolName, PoolSpeeds>,
}

fn median(values: Vec<f64>) -> Option<f64> {
    quantile(values, 0.5)
}

fn quantile(mut values: Vec<f64>, share: f64) -> Option<f64> {
    // The share is below one, so that the index is too.
    let index = (values.len() as f64 * share) as usize;
    (!values.is_empty()).then(|| *values.select_nth_unstable_by(index, f64::total_cmp).1)
}

/// The middle of a pool, and the spread of those below it.
fn middle_and_spread(values: Vec<f64>) -> Option<(f64, f64)> {
    if values.len() < MIN_POOL {
        return None;
    }
    let low = quantile(values.clone(), SPREAD_SHARE)?;
    let middle = median(values)?;
    Some((middle, middle - low))
}

/// Reduces a difference to what noise does not explain: nothing up to `noise`, and nearly all of a large one.
fn significant(difference: f64, noise: f64) -> f64 {
    let share = noise / difference.abs();
    if share < 1.0 { difference * (1.0 - share * share) } else { 0.0 }
}

impl Speeds {
    /// Adds a first token that this instance observed to its next report.
    pub fn record(&mut self, endpoint: EndpointTag, expected_ms: f64, taken_ms: TimeMs) {
        if expected_ms.is_nan() || expected_ms <= 0.0 || self.pending.len() >= MAX_ENDPOINTS {
            return;
        }
        let (least, most) = SAMPLE_RANGE;
        let ratio = (taken_ms.get() as f64 / expected_ms).clamp(least, most);
        let expected_ms = expected_ms.min(MAX_EXPECTED_MS);
        let empty = SpeedSums { endpoint, expected_ms: 0, taken_ms: 0, samples: 0 };
        let sums = self.pending.entry(endpoint).or_insert(empty);
        // The values are bounded, so that the casts are exact.
        sums.expected_ms = sums.expected_ms.saturating_add(expected_ms.ceil() as u32);
        sums.taken_ms = sums.taken_ms.saturating_add((expected_ms.ceil() * ratio).round() as u32);
        sums.samples = sums.samples.saturating_add(1);
    }

    /// Takes the sums for the next report; those that find no room in it remain for the one after it.
    pub fn take_pending(&mut self) -> Vec<SpeedSums> {
        let endpoints: Vec<_> = self.pending.keys().take(MAX_ROWS).copied().collect();
        endpoints.iter().filter_map(|endpoint| self.pending.remove(endpoint)).collect()
    }

    /// Applies a report of a peer or of this instance; one that is not newer than the sender's last one is ignored.
    pub fn apply(&mut self, report: &SpeedReport, now_ms: TimeMs) {
        let known = self.reporters.get(&report.instance);
        let is_newer = known.is_none_or(|reporter| {
            reporter.incarnation != report.incarnation || reporter.sequence < report.sequence
        });
        if !is_newer || (known.is_none() && self.reporters.len() >= MAX_REPORTERS) {
            return;
        }
        let mut reporter = known.copied().unwrap_or_default();
        let rows = report.sums.iter().filter(|row| row.expected_ms > 0 && row.samples > 0);
        let rows: Vec<_> = rows.take(MAX_ROWS).map(|row| (row, row_log_ratio(row))).collect();
        let residuals = rows.iter().filter_map(|(row, log_ratio)| {
            Some(log_ratio - self.endpoints.get(&row.endpoint)?.mean_log)
        });
        let residuals: Vec<f64> = residuals.collect();
        let is_telling = residuals.len() >= MIN_BIAS_ROWS;
        let weight = residuals.len() as f64;
        let mut bias_log = reporter.bias_log;
        if let Some(residual) = median(residuals) {
            let age_ms = now_ms.since(reporter.reported_ms).get() as f64;
            let newest = 1.0 - (-(age_ms / BIAS_MS).max(weight / 100.0)).exp();
            reporter.bias_log += (residual - reporter.bias_log) * newest;
            bias_log = if is_telling { residual } else { reporter.bias_log };
        }
        // What all reporters see alike is no bias of one of them.
        let biases = self.reporters.values().map(|reporter| reporter.bias_log);
        let bias_log = match median(biases.collect()) {
            Some(common) if self.reporters.len() >= MIN_REPORTERS => bias_log - common,
            _ => 0.0,
        };
        reporter.incarnation = report.incarnation;
        reporter.sequence = report.sequence;
        reporter.reported_ms = now_ms;
        self.reporters.insert(report.instance.clone(), reporter);
        for (row, log_ratio) in rows {
            self.add_row(row, log_ratio - bias_log, now_ms);
        }
    }

    fn add_row(&mut self, row: &SpeedSums, log_ratio: f64, now_ms: TimeMs) {
        if !self.endpoints.contains_key(&row.endpoint) && self.endpoints.len() >= MAX_ENDPOINTS {
            return;
        }
        let ratios = self.endpoints.entry(row.endpoint).or_default();
        ratios.add(log_ratio, f64::from(row.samples), now_ms);
    }

    /// The estimates of a pool that consists of `members`, which is read only if the last ones are too old.
    pub fn pool(
        &mut self,
        pool: &PoolName,
        members: impl FnOnce() -> Vec<EndpointTag>,
        now_ms: TimeMs,
    ) -> &PoolSpeeds {
        let is_fresh = |speeds: &PoolSpeeds| now_ms.since(speeds.computed_ms) < REFRESH_MS;
        if !self.pools.get(pool).is_some_and(is_fresh) {
            let speeds = self.compute(&members(), now_ms);
            self.pools.insert(pool.clone(), speeds);
        }
        self.pools.entry(pool.clone()).or_default()
    }

    fn compute(&self, members: &[EndpointTag], now_ms: TimeMs) -> PoolSpeeds {
        let mut speeds =
            PoolSpeeds { computed_ms: now_ms, level_percent: 100.0, estimates: HashMap::new() };
        let known = members.iter();
        let known = known.filter_map(|endpoint| Some((*endpoint, self.endpoints.get(endpoint)?)));
        let known: Vec<_> =
            known.filter(|(_, ratios)| ratios.samples_at(now_ms) >= HALF_TRUST_SAMPLES).collect();
        let lows = known.iter().map(|(_, ratios)| ratios.low_log).collect();
        let Some((low_log, low_spread)) = middle_and_spread(lows) else { return speeds };
        let recent_log =
            |ratios: &EndpointRatios| Some(ratios.recent_log(now_ms)? - ratios.low_log);
        let recent = known.iter().filter_map(|(_, ratios)| recent_log(ratios)).collect();
        let recent = middle_and_spread(recent);
        let level_log = median(known.iter().map(|(_, ratios)| ratios.mean_log).collect());
        speeds.level_percent = level_log.unwrap_or(0.0).exp() * 100.0;
        for (endpoint, ratios) in known {
            let noise = SPREADS.0 * low_spread + MIN_LOGS.0;
            let long = significant(ratios.low_log - low_log, noise);
            let long = long.clamp(0.0, MAX_LONG_LOG);
            let short = recent.zip(recent_log(ratios)).map_or(0.0, |((middle, spread), log)| {
                significant(log - middle, SPREADS.1 * spread + MIN_LOGS.1)
            });
            // A fast endpoint attracts nothing, since all instances would choose it; a slow one that is fast is forgiven.
            let log = (long + short).max(0.0);
            let samples = ratios.samples_at(now_ms);
            let estimate = SpeedEstimate {
                // Both values are bounded, so that the casts are exact.
                percent: (log.exp() * 100.0).min(MAX_PERCENT).round() as u32,
                lasting_percent: (long.exp() * 100.0).round() as u32,
                trust_percent: (100.0 * samples / (samples + HALF_TRUST_SAMPLES)).round() as u32,
            };
            speeds.estimates.insert(endpoint, estimate);
        }
        speeds
    }

    /// Forgets endpoints, reporters and pools without a recent report.
    pub fn expire(&mut self, now_ms: TimeMs) {
        let is_recent = |at_ms: TimeMs| now_ms.since(at_ms) < EXPIRY_MS;
        self.endpoints.retain(|_, ratios| is_recent(ratios.updated_ms));
        self.reporters.retain(|_, reporter| is_recent(reporter.reported_ms));
        self.pools.retain(|_, pool| is_recent(pool.computed_ms));
    }
}

/// The logarithm of taken by expected time of a row, within the bounds of a sample.
fn row_log_ratio(row: &SpeedSums) -> f64 {
    let (least, most) = SAMPLE_RANGE;
    (f64::from(row.taken_ms) / f64::from(row.expected_ms)).clamp(least, most).ln()
}
