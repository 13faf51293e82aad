//! Retries of a run that was in flight when an endpoint crashed, and is therefore suspected of causing the crash.
//!
//! # Invariant
//!
//! A suspect is sent only under a claim on its fingerprint and a claim on the endpoint, so that another crash
//! quarantines it alone and no request that shared a batch with it. See `docs/design/poison.md`.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bilberryford_coord::ClaimReply;
use bilberryford_endpoint::EndpointError;
use bilberryford_types::{AttemptId, ErrorKind, Ran, TimeMs};
use tokio::time::sleep;

use super::{Relay, failover_endpoints};
use crate::{filters::CLAIM_MARGIN_MS, fleet::Endpoint, quarantine::ClaimGuard, refusal::Refusal};

/// How long an endpoint is watched for a crash after a claimed run on it was cancelled, in milliseconds.
const CRASH_WATCH_MS: u64 = 2_000;
/// The interval between checks of a watched endpoint, in milliseconds.
const CRASH_WATCH_INTERVAL_MS: u64 = 50;
/// The wait before a claim that another run holds is requested again, in milliseconds.
const CLAIM_RETRY_MS: u64 = 100;

impl Relay {
    fn claim_span(&self) -> TimeMs {
        self.time_left().after(TimeMs(CLAIM_MARGIN_MS))
    }

    /// Reports the crash to peers and waits for the claim on the request, until the caller's deadline at the latest.
    ///
    /// # Errors
    ///
    /// A refusal of the kind [`ErrorKind::Quarantined`] if the request crashed the endpoint under both claims, or is
    /// quarantined already.
    pub(super) async fn handle_crash(
        &self,
        base: &AttemptId,
        was_exclusive: bool,
        claim: &mut Option<ClaimGuard>,
    ) -> Result<(), Refusal> {
        let quarantined = || Refusal::after_send(ErrorKind::Quarantined, Ran::Maybe);
        let fingerprint = self.call.fingerprint;
        self.node.report_crash(fingerprint, base, was_exclusive).await;
        if was_exclusive {
            return Err(quarantined());
        }
        while claim.is_none() {
            match self.node.claim_suspect(fingerprint, base, self.claim_span()).await {
                Ok(guard) => *claim = Some(guard),
                Err(ClaimReply::Cleared) => return Ok(()),
                Err(ClaimReply::Quarantined) => return Err(quarantined()),
                Err(ClaimReply::Busy | ClaimReply::Granted) => {
                    sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
                }
            }
        }
        Ok(())
    }

    /// Cancels an attempt that was ended by the deadline or by its caller, and reports a crash of its endpoint.
    ///
    /// # Invariant
    ///
    /// The claims are held until this returns: a claim that is released before the crash is reported would let the
    /// suspect run again.
    pub(super) async fn cancel_and_watch(&self, endpoint: &Arc<Endpoint>, attempt: &AttemptId) {
        let cancelled = endpoint.engine.cancel(attempt).await;
        let was_exclusive = self.is_exclusive.load(Ordering::Acquire);
        let has_responded = self.has_responded.load(Ordering::Acquire);
        let has_crashed = match &cancelled {
            Err(EndpointError::Connect { .. }) => has_responded,
            // A cancelled run may still crash the endpoint shortly afterwards. A request that was under way when the
            // cancellation arrived runs in spite of it.
            _ if was_exclusive || !has_responded => {
                let was_up = has_responded || !matches!(cancelled, Err(EndpointError::Timeout));
                crashes_while_watched(endpoint, was_up).await
            }
            _ => false,
        };
        if has_crashed {
            self.node.report_crash(self.call.fingerprint, attempt, was_exclusive).await;
        }
    }

    /// Waits for an endpoint that runs no other suspect, claims it, and sets `endpoint` to it.
    pub(super) async fn claim_any_endpoint(
        &self,
        base: &AttemptId,
        endpoint: &mut Arc<Endpoint>,
        tried: &[Arc<Endpoint>],
    ) -> ClaimGuard {
        loop {
            let candidates = self.candidates(base, endpoint, tried);
            for candidate in candidates {
                let claim = self.node.claim_endpoint(&candidate.id, base, self.claim_span()).await;
                if let Ok(claim) = claim {
                    *endpoint = candidate;
                    return claim;
                }
            }
            sleep(Duration::from_millis(CLAIM_RETRY_MS)).await;
        }
    }

    /// The chosen endpoint and those that the run may fail over to, with endpoints that were tried already at the end.
    fn candidates(
        &self,
        base: &AttemptId,
        chosen: &Arc<Endpoint>,
        tried: &[Arc<Endpoint>],
    ) -> Vec<Arc<Endpoint>> {
        let table = self.node.fleet.endpoints();
        let now = self.node.now();
        let mut candidates = failover_endpoints(table.pool(&self.call.section.pool), base);
        candidates.retain(|candidate| candidate.id != chosen.id);
        candidates.insert(0, chosen.clone());
        candidates.retain(|candidate| !candidate.is_suspected(now));
        candidates.sort_by_key(|candidate| tried.iter().any(|other| other.id == candidate.id));
        candidates
    }
}

/// Returns true if the endpoint becomes unreachable or restarts while it is watched. One that was not up before
/// (`was_up`) has to be seen up first.
async fn crashes_while_watched(endpoint: &Endpoint, mut was_up: bool) -> bool {
    let mut last_report_at = TimeMs(0);
    for _ in 0..CRASH_WATCH_MS / CRASH_WATCH_INTERVAL_MS {
        match endpoint.engine.load().await {
            Err(EndpointError::Connect { .. }) => return was_up,
            Err(_) => {}
            Ok(report) if report.taken_ms < last_report_at => return true,
            Ok(report) => {
                was_up = true;
                last_report_at = report.taken_ms;
            }
        }
        sleep(Duration::from_millis(CRASH_WATCH_INTERVAL_MS)).await;
    }
    false
}
