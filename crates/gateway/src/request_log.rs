//! The request log: one record per request, with a rate limit.
//!
//! A thread behind a bounded queue writes the records (see the root package's logging). This module limits how many are
//! formatted, since that takes processor time, which is scarce when the request rate is highest. Successful requests
//! have the lower limit. Each record contains the number of records that were suppressed before it.

use std::sync::Arc;

use bilberryford_callers::LogLimiter;
use bilberryford_types::{Build, EndpointId, Generation, ObjectVersion, TimeMs};
use parking_lot::Mutex;

use crate::{part_values::PartAccount, peer_loads::EndpointTag, placement::Candidate};

/// The most records per second for requests with a complete response.
const MAX_ANSWERED_PER_S: u64 = 20;
/// The most records per second for requests that were refused or failed.
const MAX_FAILED_PER_S: u64 = 100;
/// The most records per second for responses that were lost with their connections.
const MAX_LOSSES_PER_S: u64 = 50;
/// The most records per second for requests without a complete response that this instance ended, and for those that
/// others did.
const MAX_ENDS_PER_S: u64 = 50;
/// The most records per second for inquiries about streams, and for the questions and late answers of peers.
const MAX_INQUIRIES_PER_S: u64 = 50;
const MAX_QUESTIONS_PER_S: u64 = 50;

/// The most shared parts in one record.
const MAX_LOGGED_PARTS: usize = 8;

/// The inputs of a prompt's placement.
#[derive(Debug, Clone, Default)]
pub(crate) struct PromptRecord {
    pub(crate) tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) fetched_tokens: u64,
    pub(crate) queue_tokens: u64,
    pub(crate) slowness_percent: u32,
    /// The predicted time from the placement to the first token.
    pub(crate) predicted_ms: Option<TimeMs>,
    /// The time from the placement to the first token, if it was a prompt's.
    pub(crate) first_token_ms: Option<TimeMs>,
    /// The engine's free memory for requests, as far as it was known.
    pub(crate) free_memory_tokens: u64,
    /// Where the engine gets the shared parts from.
    pub(crate) parts: Vec<PartAccount>,
}

/// The weights of the engine that a prompt was sent to, and the bound on its start there.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct WeightsRecord {
    pub(crate) version: Option<u64>,
    /// The newer version whose publication bounds the start; none if the engine has the newest one.
    pub(crate) newer: Option<u64>,
    /// The time that was left for the start when the request was sent.
    pub(crate) start_left_ms: Option<TimeMs>,
}

/// The share of a prompt in a contended pool.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ShareRecord {
    /// Its standing; empty unless the pool is contended.
    pub(crate) standing: &'static str,
    /// The engine time that it used in the window, over all instances.
    pub(crate) used_ms: u64,
    /// The most that a share of its rank gets; zero where all demand is met.
    pub(crate) level_ms: u64,
}

/// The last endpoint of a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempted {
    pub(crate) endpoint: EndpointId,
    pub(crate) incarnation: EndpointTag,
    /// The weights of the endpoint, if it is an engine that the request was sent to.
    pub(crate) weights: WeightsRecord,
    /// True if the head of a response has come, which waits for its first content.
    pub(crate) has_head: bool,
}

/// The log record of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestRecord {
    pub(crate) request_id: Option<String>,
    pub(crate) route: Option<String>,
    pub(crate) team: Option<String>,
    pub(crate) endpoint: Option<EndpointId>,
    /// The build of the endpoint.
    pub(crate) build: Option<Build>,
    /// The attempt that brought the first event of the stream that the request takes up; empty if it names none.
    pub(crate) resumes: Option<String>,
    /// The age of the record of where that stream began.
    pub(crate) stream_age_ms: Option<TimeMs>,
    pub(crate) placed: &'static str,
    pub(crate) attempts: u32,
    pub(crate) notes: Vec<&'static str>,
    /// The feature for which the request was refused, since it crashes endpoints.
    pub(crate) blamed: Option<String>,
    pub(crate) config_version: Option<Generation>,
    pub(crate) key_age_ms: Option<TimeMs>,
    /// The timeout of the route.
    pub(crate) timeout_ms: Option<TimeMs>,
    /// The version of the store up to which the table of endpoints was complete at the last placement.
    pub(crate) endpoints_version: Option<ObjectVersion>,
    /// The time from the store's last reply on endpoints to the last placement.
    pub(crate) endpoints_age_ms: Option<TimeMs>,
    /// The inputs of the last placement, if the request has a prompt.
    pub(crate) prompt: PromptRecord,
    /// The share of the prompt at its admission.
    pub(crate) share: ShareRecord,
    pub(crate) started_ms: TimeMs,
    pub(crate) first_byte_ms: Option<TimeMs>,
    /// Where the request was placed last. Copies share it, so that one that is kept from before the first attempt knows it.
    pub(crate) last_attempt: Arc<Mutex<Option<Attempted>>>,
}

impl RequestRecord {
    /// Records where the request is placed.
    pub(crate) fn place(&mut self, candidate: &Candidate) {
        self.endpoint = Some(candidate.id.clone());
        self.build.clone_from(&candidate.build);
        *self.last_attempt.lock() = Some(Attempted {
            endpoint: candidate.id.clone(),
            incarnation: candidate.incarnation,
            weights: WeightsRecord::default(),
            has_head: false,
        });
    }

    /// Records the weights of the engine that the request is sent to.
    pub(crate) fn record_weights(&self, weights: WeightsRecord) {
        if let Some(attempt) = self.last_attempt.lock().as_mut() {
            attempt.weights = weights;
        }
    }

    /// Records that the head of a response has come.
    pub(crate) fn record_head(&self) {
        if let Some(attempt) = self.last_attempt.lock().as_mut() {
            attempt.has_head = true;
        }
    }
}

fn text(text: &Option<String>) -> &str {
    text.as_deref().unwrap_or_default()
}

/// Writes log records within the rate limits.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    answered: Mutex<LogLimiter>,
    failed: Mutex<LogLimiter>,
    losses: Mutex<LogLimiter>,
    ends_by_instance: Mutex<LogLimiter>,
    ends_by_others: Mutex<LogLimiter>,
    stream_inquiries: Mutex<LogLimiter>,
    stream_questions: Mutex<LogLimiter>,
}

impl RequestLog {
    /// Takes one record of a lost response from the limit, and returns the number that was suppressed before it.
    pub(crate) fn take_loss_record(&self, now_ms: TimeMs) -> Option<u64> {
        self.losses.lock().take(now_ms, MAX_LOSSES_PER_S)
    }

    /// Takes one record of a request without a complete response from the limit, and returns the number that was suppressed
    /// before it. Callers that leave in large numbers suppress none that the instance ended.
    pub(crate) fn take_end_record(&self, is_of_instance: bool, now_ms: TimeMs) -> Option<u64> {
        let limiter = if is_of_instance { &self.ends_by_instance } else { &self.ends_by_others };
        limiter.lock().take(now_ms, MAX_ENDS_PER_S)
    }

    /// Takes one record of an inquiry about a stream from the limit, and returns the number that was suppressed before it.
    pub(crate) fn take_stream_inquiry_record(&self, now_ms: TimeMs) -> Option<u64> {
        self.stream_inquiries.lock().take(now_ms, MAX_INQUIRIES_PER_S)
    }

    /// Takes one record of a peer's question about a stream, or of its late answer, from the limit, and returns the number that
    /// was suppressed before it.
    pub(crate) fn take_stream_question_record(&self, now_ms: TimeMs) -> Option<u64> {
        self.stream_questions.lock().take(now_ms, MAX_QUESTIONS_PER_S)
    }

    /// Writes the record of a request that ended with `outcome`, or counts it as suppressed.
    pub(crate) fn write(
        &self,
        record: &RequestRecord,
        outcome: &str,
        is_failure: bool,
        now_ms: TimeMs,
    ) {
        let (limiter, limit) = if is_failure {
            (&self.failed, MAX_FAILED_PER_S)
        } else {
            (&self.answered, MAX_ANSWERED_PER_S)
        };
        let Some(suppressed) = limiter.lock().take(now_ms, limit) else { return };
        let notes = record.notes.join(",");
        let weights =
            record.last_attempt.lock().as_ref().map(|attempt| attempt.weights).unwrap_or_default();
        let parts = record.prompt.parts.iter().take(MAX_LOGGED_PARTS).map(ToString::to_string);
        let parts = parts.collect::<Vec<_>>().join(" ");
        log::info!(
            target: "request",
            request = text(&record.request_id),
            route = text(&record.route),
            team = text(&record.team),
            endpoint = record.endpoint.as_ref().map_or("", |id| id.as_str()),
            build = record.build.as_ref().map_or("", |build| build.as_str()),
            resumes = text(&record.resumes),
            stream_age_ms = record.stream_age_ms.map_or(0, |age| age.get()),
            placed = record.placed,
            attempts = record.attempts,
            notes = notes.as_str(),
            blamed = text(&record.blamed),
            prompt_tokens = record.prompt.tokens,
            cached_tokens = record.prompt.cached_tokens,
            fetched_tokens = record.prompt.fetched_tokens,
            queue_tokens = record.prompt.queue_tokens,
            slowness_percent = record.prompt.slowness_percent,
            predicted_ms = record.prompt.predicted_ms.map_or(0, |time| time.get()),
            first_token_ms = record.prompt.first_token_ms.map_or(0, |time| time.get()),
            free_memory_tokens = record.prompt.free_memory_tokens,
            weights = weights.version.unwrap_or(0),
            newer_weights = weights.newer.unwrap_or(0),
            start_left_ms = weights.start_left_ms.map_or(0, |time| time.get()),
            standing = record.share.standing,
            share_used_ms = record.share.used_ms,
            share_level_ms = record.share.level_ms,
            parts = parts.as_str(),
            config_version = record.config_version.map_or(0, |version| version.get()),
            key_age_ms = record.key_age_ms.map_or(0, |age| age.get()),
            timeout_ms = record.timeout_ms.map_or(0, |timeout| timeout.get()),
            endpoints_version:% = record.endpoints_version.unwrap_or_default(),
            endpoints_age_ms = record.endpoints_age_ms.map_or(0, |age| age.get()),
            elapsed_ms = now_ms.since(record.started_ms).get(),
            first_byte_ms = record.first_byte_ms.map_or(0, |at| at.since(record.started_ms).get()),
            left_out = suppressed;
            "{outcome}"
        );
    }
}
