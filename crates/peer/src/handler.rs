//! The trait that handles calls of peers.

use crate::{
    ConfigReply, EndpointRow, GrantReply, GrantRequest, Heartbeat, PlacementQuery, PlacementReply,
    QuarantineSnapshot, SuspectMessage, SuspectReply,
};
use bilberryford_types::{Generation, RunId};

/// Handles the calls of peers. The methods run on the peer thread, so they must use only data in memory and must not
/// block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Applies a peer's heartbeat and returns the heartbeat of this instance.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat;

    /// Returns the configuration in force if its generation is above `above`.
    fn configuration(&self, above: Generation) -> Option<ConfigReply>;

    /// Applies a message about a request that may crash endpoints. Claims are granted by the owner of the fingerprint.
    fn apply_suspect(&self, suspect: SuspectMessage) -> SuspectReply;

    /// Returns the suspects and quarantined requests, for an instance that has just started.
    fn quarantine_snapshot(&self) -> QuarantineSnapshot;

    /// Records that another instance has taken over the stream of a run that this instance started.
    fn mark_handed_over(&self, run: RunId);

    /// Grants slots of a team whose limit this instance owns.
    fn grant_slots(&self, request: GrantRequest) -> GrantReply;

    /// Returns the endpoints as last read from the platform.
    fn endpoints(&self) -> Vec<EndpointRow> {
        Vec::new()
    }

    /// Decides a placement for a pool of engines. Returns `None` if this instance can't decide.
    fn decide_placement(&self, query: PlacementQuery) -> Option<PlacementReply>;
}
