//! Waits for the first content of a response, with which its head is passed on.

use bilberryford_coord::Feature;
use bilberryford_types::TimeMs;
use bytes::BytesMut;

use super::{Chunk, Relay, RelayState, body_of};
use crate::{
    features::{Loss, ResponseStage},
    gateway::WaitingBound,
    request_log::RequestRecord,
    responses::ResponseBody,
};

/// The most bytes before the first event that are kept from the caller.
const MAX_FIRST_BYTES: usize = 64 * 1024;

/// Why a response ended before there was any content to pass on.
pub(crate) enum NotBegun {
    BrokenOff,
    /// A feature of the request was quarantined.
    Withdrawn(Feature),
    /// No content came before the weights of the engine became too old.
    OldWeights,
    /// The endpoint sent nothing for too long.
    Silent,
    Deadline,
}

impl Relay {
    /// Waits until there is content to pass on, or the response is complete. Returns the body, or why there is none with the
    /// request's record. Where another attempt is allowed, `silence_ms` is how long an endpoint may send nothing at all;
    /// `start_bound` bounds the start at an engine whose weights are or become older ones.
    pub(crate) async fn begin(
        mut self,
        silence_ms: Option<TimeMs>,
        mut start_bound: Option<WaitingBound>,
    ) -> Result<ResponseBody, (NotBegun, RequestRecord)> {
        let mut first = BytesMut::new();
        let mut asked_ms = self.gateway.clock.now();
        let not_begun = loop {
            let silent_until_ms = silence_ms.map(|silence_ms| asked_ms.after(silence_ms));
            let until_ms =
                silent_until_ms.map_or(self.deadline_ms, |until_ms| until_ms.min(self.deadline_ms));
            let time_left_ms = until_ms.since(self.gateway.clock.now());
            let connection = self.connection.as_ref();
            let frame = tokio::select! {
                frame = Self::next_frame(&mut self.incoming, connection, time_left_ms) => frame,
                feature = self.gateway.quarantine_of(self.in_flight.features()) => {
                    break NotBegun::Withdrawn(feature);
                }
                () = WaitingBound::wait_for_end(start_bound.as_mut()) => {
                    break NotBegun::OldWeights;
                }
            };
            let Some(frame) = frame else {
                // An endpoint that responds to other requests is alive, and another attempt would lose the place in its queue.
                let endpoint = self.in_flight.endpoint();
                if until_ms < self.deadline_ms
                    && self.gateway.has_received_since(endpoint, asked_ms)
                {
                    asked_ms = self.gateway.clock.now();
                    continue;
                }
                // An endpoint that ended silently shows no other sign.
                self.in_flight.record_loss(ResponseStage::Head, Loss::Silence);
                break if until_ms < self.deadline_ms {
                    NotBegun::Silent
                } else {
                    NotBegun::Deadline
                };
            };
            let is_over = match self.read(frame) {
                Chunk::Data(data) => {
                    first.extend_from_slice(&data);
                    false
                }
                Chunk::Nothing => false,
                Chunk::End => true,
                Chunk::BrokenOff(_) => break NotBegun::BrokenOff,
            };
            let is_due = self.has_content() || first.len() > MAX_FIRST_BYTES;
            if !first.is_empty() && (is_over || is_due) {
                self.has_begun = true;
                let state = RelayState::Beginning(first.freeze(), Box::new(self));
                return Ok(body_of(Some(state)));
            }
            if is_over {
                return Ok(body_of(None));
            }
        };
        Err((not_begun, std::mem::take(&mut self.record)))
    }
}
