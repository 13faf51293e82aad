//! Forwards a request: places it, sends it, judges the answer and decides whether to send it again.
//!
//! # Invariant
//!
//! A request that is not idempotent is sent again only when no byte of it was written, or when the endpoint stated that
//! it did not run it. An answer that promises "not run" is given only while that holds for every send.

mod answer;
mod choose;
mod send;

use std::sync::Arc;

use bilberryford_types::{EndpointId, ErrorKind, PoolName, TimeMs};
use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Response, Uri,
    header::{self, HeaderName},
};

use self::{choose::Chosen, send::Sent};
use crate::{
    answers::{AnswerBody, OwnAnswer},
    connections::Connection,
    deployment::{Route, Team},
    filters::authorize,
    gateway::Gateway,
    in_flight::InFlight,
    placement::{Candidate, Reason},
    quarantine::Fingerprint,
    request_log::RequestLine,
    translation::{CallerFacts, ResponseFacts},
};

/// The least time left for which a send is worth it, in milliseconds: a round trip within a region.
const LEAST_LEFT_MS: TimeMs = TimeMs(8);
/// How often a request is offered to endpoints, whatever they answer.
const MAX_OFFERS: u32 = 4;
/// How many connections are tried for one request.
const MAX_UNSENT: u32 = 3;
/// How long an engine that refuses work is passed by, in milliseconds: it loads weights or is full.
const REFUSED_PAUSE_MS: TimeMs = TimeMs(150);
/// When to come back after every endpoint refused, in milliseconds: a few requests have ended by then.
const REFUSED_RETRY_MS: TimeMs = TimeMs(150);
/// When to come back while no endpoint is up, in milliseconds: an endpoint that restarts is listed within seconds.
const NO_ENDPOINT_RETRY_MS: TimeMs = TimeMs(400);

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request ready to be forwarded.
pub(crate) struct Forward {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) facts: CallerFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) team: Option<Arc<Team>>,
    pub(crate) deadline_ms: TimeMs,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) line: RequestLine,
}

/// Removes the headers that concern one connection, the ones that `Connection` names included.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// What is known over all sends of a request.
#[derive(Default)]
struct Progress {
    tried: Vec<EndpointId>,
    offers: u32,
    runs: u32,
    unsent: u32,
}

impl Progress {
    /// The kind to answer with: one that promises "not run" only if that is so.
    fn kind(&self, not_run: ErrorKind) -> ErrorKind {
        if self.runs > 0 { ErrorKind::EndpointLost } else { not_run }
    }
}

impl Forward {
    fn left_ms(&self) -> TimeMs {
        self.deadline_ms.since(self.gateway.clock.now())
    }

    /// Forwards until there is an answer, or nothing more can be tried.
    pub(crate) async fn run(mut self) -> Result<Response<AnswerBody>, (OwnAnswer, RequestLine)> {
        let mut progress = Progress::default();
        loop {
            match self.attempt(&mut progress).await {
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(answer) => return Err((answer, self.line)),
            }
        }
    }

    /// One attempt: an answer, nothing yet, or the final answer.
    async fn attempt(
        &mut self,
        progress: &mut Progress,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if self.left_ms() < LEAST_LEFT_MS {
            let kind = match progress.runs {
                0 => ErrorKind::DeadlineBeforeRun,
                _ => ErrorKind::DeadlineWhileRunning,
            };
            return Err(OwnAnswer::new(kind));
        }
        self.team = match authorize(&self.gateway, &self.facts, &self.route) {
            Ok(team) => team,
            Err(answer) if progress.runs == 0 => return Err(answer),
            Err(_) => return Err(OwnAnswer::new(ErrorKind::EndpointLost)),
        };
        let now_ms = self.gateway.clock.now();
        if let Some(held_ms) =
            self.gateway.suspects.lock().quarantine_left_ms(self.fingerprint, now_ms)
        {
            self.line.notes.push("held_back");
            return Err(OwnAnswer::after(progress.kind(ErrorKind::HeldBack), held_ms));
        }
        let Chosen { candidate, reason, need } = self.choose(progress)?;
        let is_trial = reason == Reason::Trial;
        let mut in_flight =
            InFlight::new(&self.gateway, &candidate, self.fingerprint, self.rank(), need, is_trial);
        self.line.endpoint = Some(candidate.id.clone());
        self.line.placed = reason.into();
        let Some(connection) = self.connection(&candidate, progress).await else {
            return self.unsent(progress);
        };
        // A second arrival at the service is a repeat, whatever became of the first.
        if progress.offers > 0 && !self.gateway.take_repeat(&self.service) {
            self.line.notes.push("no_repeat_left");
            return Err(OwnAnswer::after(
                progress.kind(ErrorKind::EndpointRefused),
                REFUSED_RETRY_MS,
            ));
        }
        if progress.offers == 0 {
            self.gateway.count_first_send(&self.service);
        }
        match self.send(connection, &candidate, &mut in_flight, progress).await {
            Sent::Unsent => {
                progress.unsent += 1;
                self.unsent(progress)
            }
            Sent::NotRun(facts, connection) => {
                self.not_run(progress, &candidate, &facts, connection)
            }
            Sent::Lost(why) => {
                progress.offers += 1;
                progress.runs += 1;
                progress.tried.push(candidate.id.clone());
                self.line.notes.push(why);
                self.gateway.judge(&candidate.id, why, |health, now_ms| {
                    health.record_failure(now_ms, false);
                });
                self.lost(progress)
            }
            Sent::Answer(response, facts, connection) => {
                progress.offers += 1;
                progress.runs += 1;
                progress.tried.push(candidate.id.clone());
                if response.status().is_server_error() && self.may_repeat(progress) {
                    self.line.notes.push("endpoint_error");
                    self.gateway.judge(&candidate.id, "endpoint_error", |health, now_ms| {
                        health.record_failure(now_ms, false);
                    });
                    return Ok(None);
                }
                if response.status().is_success() && !facts.is_signed {
                    self.line.notes.push("unsigned");
                    return self.lost(progress);
                }
                in_flight.is_trial = false;
                self.answer(progress, response, connection, in_flight).await
            }
        }
    }

    fn unsent(&mut self, progress: &Progress) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if progress.unsent < MAX_UNSENT {
            return Ok(None);
        }
        Err(OwnAnswer::after(progress.kind(ErrorKind::ConnectFailed), NO_ENDPOINT_RETRY_MS))
    }

    fn may_repeat(&self, progress: &Progress) -> bool {
        self.route.is_idempotent()
            && progress.runs < self.route.max_attempts
            && progress.offers < MAX_OFFERS
    }

    fn lost(&mut self, progress: &Progress) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        if self.may_repeat(progress) {
            return Ok(None);
        }
        let kind = if self.left_ms() < LEAST_LEFT_MS {
            ErrorKind::DeadlineWhileRunning
        } else {
            ErrorKind::EndpointLost
        };
        Err(OwnAnswer::new(kind))
    }

    fn not_run(
        &mut self,
        progress: &mut Progress,
        candidate: &Candidate,
        facts: &ResponseFacts,
        connection: Connection,
    ) -> Result<Option<Response<AnswerBody>>, OwnAnswer> {
        progress.offers += 1;
        drop(connection);
        self.line.notes.push(if facts.is_misdirected { "misdirected" } else { "refused" });
        let has_shown = facts.is_misdirected && self.shows_newer_weights(candidate);
        if facts.is_misdirected && self.facts.prompt.is_none() {
            // The address belongs to another life by now; an engine may have refused the weights only.
            self.gateway.life_ended(candidate.incarnation);
        }
        if !has_shown {
            progress.tried.push(candidate.id.clone());
            if self.facts.prompt.is_some() {
                self.gateway.judge(&candidate.id, "refused", |health, now_ms| {
                    health.pause(now_ms, REFUSED_PAUSE_MS);
                });
            }
        }
        if progress.offers < MAX_OFFERS {
            return Ok(None);
        }
        Err(OwnAnswer::after(progress.kind(ErrorKind::EndpointRefused), REFUSED_RETRY_MS))
    }
}
