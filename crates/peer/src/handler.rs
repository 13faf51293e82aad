//! What an instance answers to its peers.

use crate::{
    ConfigReply, EndpointRow, GrantReply, GrantRequest, Heartbeat, PlacementQuery, PlacementReply,
    QuarantineSnapshot, SuspectMessage, SuspectReply,
};
use bilberryford_types::{Generation, RunId};

/// Answers calls of peers from memory; no method may block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a peer's views in and answers with our own.
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat;

    /// The configuration in force, when it is newer than `above`.
    fn configuration(&self, above: Generation) -> Option<ConfigReply>;

    /// Counts or answers for a request whose fingerprint this instance owns.
    fn apply_suspect(&self, suspect: SuspectMessage) -> SuspectReply;

    /// What is known here of requests that crash endpoints, for an instance that has just started.
    fn quarantine_snapshot(&self) -> QuarantineSnapshot;

    /// Takes note that another instance follows a run that this one began.
    fn mark_handed_over(&self, run: RunId);

    /// Lends slots of a team whose limit this instance owns.
    fn grant_slots(&self, request: GrantRequest) -> GrantReply;

    /// The endpoints as listed when the platform last answered.
    fn endpoints(&self) -> Vec<EndpointRow> {
        Vec::new()
    }

    /// Decides for a cell; none when this instance can't say.
    fn decide_placement(&self, request: PlacementQuery) -> Option<PlacementReply>;
}
