//! How a run goes on that was in flight when an endpoint crashed.
//!
//! # Invariant
//!
//! A suspect is sent only under a claim on its fingerprint and one on the endpoint, so that a crash then convicts it
//! and nothing that shared the batch. See `docs/design/poison.md`.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bilberryford_coord::ClaimReply;
use bilberryford_endpoint::EndpointError;
use bilberryford_types::{AttemptId, ErrorKind, Ran, TimeMs};
use tokio::time::sleep;

use super::{Follower, continued_places};
use crate::{filters::CLAIM_MARGIN_MS, fleet::Endpoint, quarantine::ClaimGuard, refusal::Refusal};

/// How long an endpoint is watched after a claimed run on it was cancelled, in milliseconds.
const WATCH_MS: u64 = 2_000;
/// How often it is looked at meanwhile, in milliseconds.
const WATCH_STEP_MS: u64 = 50;
/// How often a claim that another run holds is asked for again, in milliseconds.
const CLAIM_WAIT_MS: u64 = 100;

impl Follower {
    fn claim_span(&self) -> TimeMs {
        self.time_left().after(TimeMs(CLAIM_MARGIN_MS))
    }

    /// Tells the fleet of the crash and claims the right to go on; the wait ends with the caller's deadline.
    pub(super) async fn after_crash(
        &self,
        base: &AttemptId,
        was_alone: bool,
        claim: &mut Option<ClaimGuard>,
    ) -> Result<(), Refusal> {
        let quarantined = || Refusal::sent(ErrorKind::Quarantined, Ran::Maybe);
        let fingerprint = self.call.fingerprint;
        self.node.report_crash(fingerprint, base, was_alone).await;
        if was_alone {
            return Err(quarantined());
        }
        while claim.is_none() {
            match self.node.claim_suspect(fingerprint, base, self.claim_span()).await {
                Ok(guard) => *claim = Some(guard),
                Err(ClaimReply::Cleared) => return Ok(()),
                Err(ClaimReply::Quarantined) => return Err(quarantined()),
                Err(ClaimReply::Busy | ClaimReply::Granted) => {
                    sleep(Duration::from_millis(CLAIM_WAIT_MS)).await;
                }
            }
        }
        Ok(())
    }

    /// Cancels an attempt that the deadline or its caller ended, and takes note when the endpoint has crashed under it.
    ///
    /// # Invariant
    ///
    /// The claims are held meanwhile: a claim that is given back without the crash would let the suspect run again.
    pub(super) async fn resolve(&self, endpoint: &Arc<Endpoint>, attempt: &AttemptId) {
        let cancelled = endpoint.engine.cancel(attempt).await;
        let was_alone = self.is_alone.load(Ordering::Acquire);
        // What was cancelled may still crash the endpoint a little later, so a claimed run keeps its claims meanwhile.
        let is_gone = matches!(cancelled, Err(EndpointError::Connect { .. }))
            || was_alone && restarts(endpoint).await;
        if is_gone && self.has_answered.load(Ordering::Acquire) {
            self.node.report_crash(self.call.fingerprint, attempt, was_alone).await;
        }
    }

    /// Waits for an endpoint without another suspect and moves the run there.
    pub(super) async fn claim_place(
        &self,
        base: &AttemptId,
        endpoint: &mut Arc<Endpoint>,
        tried: &[Arc<Endpoint>],
    ) -> ClaimGuard {
        loop {
            let places = self.places(base, endpoint, tried);
            for place in places {
                let claim = self.node.claim_endpoint(&place.id, base, self.claim_span()).await;
                if let Ok(claim) = claim {
                    *endpoint = place;
                    return claim;
                }
            }
            sleep(Duration::from_millis(CLAIM_WAIT_MS)).await;
        }
    }

    /// The chosen endpoint first, then those where the run may be found again; those not yet tried go first.
    fn places(
        &self,
        base: &AttemptId,
        chosen: &Arc<Endpoint>,
        tried: &[Arc<Endpoint>],
    ) -> Vec<Arc<Endpoint>> {
        let table = self.node.fleet.endpoints();
        let now = self.node.now();
        let mut places = continued_places(table.pool(&self.call.section.pool), base);
        places.retain(|place| place.id != chosen.id);
        places.insert(0, chosen.clone());
        places.retain(|place| !place.is_suspected(now));
        places.sort_by_key(|place| tried.iter().any(|other| other.id == place.id));
        places
    }
}

/// Whether the endpoint goes away or starts anew while it is watched.
async fn restarts(endpoint: &Endpoint) -> bool {
    let mut taken = TimeMs(0);
    for _ in 0..WATCH_MS / WATCH_STEP_MS {
        match endpoint.engine.load().await {
            Err(EndpointError::Connect { .. }) => return true,
            Err(_) => {}
            Ok(report) if report.taken_ms < taken => return true,
            Ok(report) => taken = report.taken_ms,
        }
        sleep(Duration::from_millis(WATCH_STEP_MS)).await;
    }
    false
}
