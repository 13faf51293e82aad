//! Whether a request may be sent to an endpoint now: the stop of the instance, and what crashes endpoints.

use bilberryford_coord::{BlameDecision, Feature};
use bilberryford_types::ErrorKind;

use super::{Forward, Progress};
use crate::responses::ErrorResponse;

impl Forward {
    /// True if an attempt that is sent now may be cut by the planned stop of this instance, so that none is made. A stream that
    /// is under way goes on here: nothing else completes it.
    pub(super) fn may_be_cut(&self) -> bool {
        self.last_event_id.is_none() && self.gateway.stops_before(self.deadline_ms)
    }

    /// Refuses a request that the planned stop of this instance may cut.
    pub(super) fn check_stop(&self, progress: &Progress) -> Result<(), ErrorResponse> {
        if self.may_be_cut() {
            return Err(ErrorResponse::new(progress.error_kind(ErrorKind::ShuttingDown)));
        }
        Ok(())
    }

    /// Refuses a request that has a quarantined feature, or one that another request is trying.
    pub(super) fn check_blame(&mut self, progress: &mut Progress) -> Result<(), ErrorResponse> {
        let (feature, kind, left_ms) = match self.gateway.take_decision(&self.features) {
            BlameDecision::Run => return Ok(()),
            // The trial that it waits for may be its own.
            BlameDecision::Wait { .. } if progress.is_apart => return Ok(()),
            BlameDecision::Trial(feature) => {
                progress.is_apart = true;
                self.record.notes.push("apart");
                self.record.blamed = Some(self.features.describe(feature));
                return Ok(());
            }
            BlameDecision::Wait { feature, left_ms } => {
                (feature, ErrorKind::SuspectRunning, left_ms)
            }
            BlameDecision::Refuse { feature, left_ms } => (feature, ErrorKind::HeldBack, left_ms),
        };
        self.record.notes.push("held_back");
        self.record.blamed = Some(self.features.describe(feature));
        Err(ErrorResponse::with_retry_after(progress.error_kind(kind), left_ms))
    }

    /// The error of a request that is withdrawn from its endpoint, since one of its features was quarantined.
    pub(super) fn withdraw(&mut self, feature: Feature) -> ErrorResponse {
        self.record.notes.push("held_back");
        self.record.blamed = Some(self.features.describe(feature));
        ErrorResponse::new(ErrorKind::EndpointLost)
    }
}
