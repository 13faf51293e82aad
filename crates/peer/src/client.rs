//! The handle with which the rest of the process calls peers.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::{Generation, RunId, TimeMs};
use tokio::sync::{mpsc, oneshot};

use crate::{
    ConfigReply, EndpointRow, GrantReply, GrantRequest, Heartbeat, PeerTraffic, PlacementQuery,
    PlacementReply, QuarantineSnapshot, SuspectMessage, SuspectReply, runtime::Counters,
};

/// Why a call of a peer failed; the peer may or may not have taken it in.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be made.
    #[error("can't connect: {reason}")]
    Connect {
        /// What was seen.
        reason: String,
    },
    /// The peer did not answer in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection broke or the answer can't be read.
    #[error("the call failed: {reason}")]
    Failed {
        /// What was seen.
        reason: String,
    },
    /// Too many calls wait, or the peer thread has ended.
    #[error("no call can be made now")]
    Busy,
}

impl From<capnp::Error> for PeerError {
    fn from(error: capnp::Error) -> Self {
        Self::Failed { reason: error.to_string() }
    }
}

#[derive(Debug)]
pub(crate) enum CallKind {
    Heartbeat(Box<Heartbeat>),
    Configuration(Generation),
    Endpoints,
    QuarantineSnapshot,
    Suspect(SuspectMessage),
    RequestSlots(GrantRequest),
    Place(Box<PlacementQuery>),
    PickedUp(RunId),
}

#[derive(Debug)]
pub(crate) enum Reply {
    Heartbeat(Box<Heartbeat>),
    Configuration(Option<ConfigReply>),
    Endpoints(Vec<EndpointRow>),
    QuarantineSnapshot(QuarantineSnapshot),
    Suspect(SuspectReply),
    RequestSlots(GrantReply),
    Place(Option<PlacementReply>),
    PickedUp(()),
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) to: SocketAddr,
    pub(crate) timeout: TimeMs,
    pub(crate) kind: CallKind,
    pub(crate) reply: oneshot::Sender<Result<Reply, PeerError>>,
}

/// Makes calls to peers; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerClient {
    calls: mpsc::Sender<Call>,
    counters: Arc<Counters>,
}

macro_rules! calls {
    ($($(#[$doc:meta])* $name:ident($arg:ident: $from:ty => $kind:expr) -> $variant:ident($reply:ty) $open:expr;)*) => {$(
        $(#[$doc])*
        ///
        /// # Errors
        ///
        /// [`PeerError`]; the peer may have taken the call in unless it is [`PeerError::Connect`].
        pub async fn $name(&self, to: SocketAddr, $arg: $from, timeout: TimeMs) -> Result<$reply, PeerError> {
            match self.call(to, $kind, timeout).await? {
                Reply::$variant(reply) => Ok($open(reply)),
                other => Err(PeerError::Failed { reason: format!("a reply of another call: {other:?}") }),
            }
        }
    )*};
}

impl PeerClient {
    pub(crate) const fn new(calls: mpsc::Sender<Call>, counters: Arc<Counters>) -> Self {
        Self { calls, counters }
    }

    /// What was exchanged with peers so far, calls of theirs included.
    pub fn traffic(&self) -> PeerTraffic {
        self.counters.read()
    }

    async fn call(
        &self,
        to: SocketAddr,
        kind: CallKind,
        timeout: TimeMs,
    ) -> Result<Reply, PeerError> {
        let (reply, answer) = oneshot::channel();
        self.calls.try_send(Call { to, timeout, kind, reply }).map_err(|_| PeerError::Busy)?;
        answer.await.unwrap_or(Err(PeerError::Busy))
    }

    /// Asks for the endpoints as the peer last read them from the platform.
    ///
    /// # Errors
    ///
    /// [`PeerError`].
    pub async fn endpoints(
        &self,
        to: SocketAddr,
        timeout: TimeMs,
    ) -> Result<Vec<EndpointRow>, PeerError> {
        match self.call(to, CallKind::Endpoints, timeout).await? {
            Reply::Endpoints(rows) => Ok(rows),
            other => {
                Err(PeerError::Failed { reason: format!("a reply of another call: {other:?}") })
            }
        }
    }

    /// Asks what the peer knows of requests that crash endpoints.
    ///
    /// # Errors
    ///
    /// [`PeerError`].
    pub async fn quarantine_snapshot(
        &self,
        to: SocketAddr,
        timeout: TimeMs,
    ) -> Result<QuarantineSnapshot, PeerError> {
        match self.call(to, CallKind::QuarantineSnapshot, timeout).await? {
            Reply::QuarantineSnapshot(snapshot) => Ok(snapshot),
            other => {
                Err(PeerError::Failed { reason: format!("a reply of another call: {other:?}") })
            }
        }
    }

    calls! {
        /// Exchanges views with the peer at `to`.
        heartbeat(beat: Heartbeat => CallKind::Heartbeat(Box::new(beat))) -> Heartbeat(Heartbeat) |reply: Box<Heartbeat>| *reply;
        /// Asks for a configuration newer than `above`.
        configuration(above: Generation => CallKind::Configuration(above)) -> Configuration(Option<ConfigReply>) std::convert::identity;
        /// Asks or reports about a request that may crash endpoints.
        send_suspect(suspect: SuspectMessage => CallKind::Suspect(suspect)) -> Suspect(SuspectReply) std::convert::identity;
        /// Borrows slots of a team.
        request_slots(request: GrantRequest => CallKind::RequestSlots(request)) -> RequestSlots(GrantReply) std::convert::identity;
        /// Asks for a placement.
        request_placement(request: PlacementQuery => CallKind::Place(Box::new(request))) -> Place(Option<PlacementReply>) std::convert::identity;
        /// Tells the instance that began a run that this one follows it.
        notify_handed_over(run: RunId => CallKind::PickedUp(run)) -> PickedUp(()) std::convert::identity;
    }
}
