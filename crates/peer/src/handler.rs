//! What an instance answers to its peers.

use crate::{
    Borrow, BorrowReply, ConfigReply, EndpointRow, Heartbeat, PlaceReply, PlaceRequest, Standings,
    Suspect, SuspectReply,
};
use bilberryford_types::{Generation, RunId};

/// Answers calls of peers from memory; no method may block.
pub trait PeerHandler: Send + Sync + 'static {
    /// Takes a peer's views in and answers with our own.
    fn heartbeat(&self, beat: Heartbeat) -> Heartbeat;

    /// The configuration in force, when it is newer than `above`.
    fn configuration(&self, above: Generation) -> Option<ConfigReply>;

    /// Counts or answers for a request whose fingerprint this instance owns.
    fn suspect(&self, suspect: Suspect) -> SuspectReply;

    /// What is known here of requests that crash endpoints, for an instance that has just started.
    fn standings(&self) -> Standings;

    /// Takes note that another instance follows a run that this one began.
    fn picked_up(&self, run: RunId);

    /// Lends slots of a team whose limit this instance owns.
    fn borrow(&self, borrow: Borrow) -> BorrowReply;

    /// The endpoints as listed when the platform last answered.
    fn endpoints(&self) -> Vec<EndpointRow> {
        Vec::new()
    }

    /// Decides for a cell; none when this instance can't say.
    fn place(&self, request: PlaceRequest) -> Option<PlaceReply>;
}
