//! The handle through which the rest of the process calls peers.

use std::{net::SocketAddr, sync::Arc};

use bilberryford_types::{Generation, RunId, TimeMs};
use tokio::sync::{mpsc, oneshot};

use crate::{
    ConfigReply, EndpointRow, GrantReply, GrantRequest, Heartbeat, PeerTraffic, PlacementQuery,
    PlacementReply, QuarantineSnapshot, SuspectMessage, SuspectReply, runtime::Counters,
};

/// The error of a call to a peer. Except for [`PeerError::Connect`], the peer may have processed the call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection could be established.
    #[error("can't connect: {reason}")]
    Connect {
        /// The cause, as reported by the operating system or the RPC library.
        reason: String,
    },
    /// The call did not complete within its deadline.
    #[error("no reply within the deadline")]
    Timeout,
    /// The connection was lost, the peer returned an error or the reply is invalid.
    #[error("the call failed: {reason}")]
    Failed {
        /// The cause, as reported by the operating system or the RPC library.
        reason: String,
    },
    /// The call queue is full, or the peer thread has ended.
    #[error("the call queue is full or the peer thread has ended")]
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
    RequestPlacement(Box<PlacementQuery>),
    HandedOver(RunId),
}

#[derive(Debug)]
pub(crate) enum Reply {
    Heartbeat(Box<Heartbeat>),
    Configuration(Option<ConfigReply>),
    Endpoints(Vec<EndpointRow>),
    QuarantineSnapshot(QuarantineSnapshot),
    Suspect(SuspectReply),
    RequestSlots(GrantReply),
    RequestPlacement(Option<PlacementReply>),
    HandedOver(()),
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) to: SocketAddr,
    pub(crate) timeout: TimeMs,
    pub(crate) kind: CallKind,
    pub(crate) reply_sender: oneshot::Sender<Result<Reply, PeerError>>,
}

/// Makes calls to peers; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerClient {
    calls: mpsc::Sender<Call>,
    counters: Arc<Counters>,
}

/// Defines methods of [`PeerClient`]: the request sent, the variant of the expected reply and the conversion of its
/// content.
macro_rules! define_calls {
    ($($(#[$doc:meta])* $name:ident($arg:ident: $from:ty => $kind:expr) -> $variant:ident($reply:ty) $convert:expr;)*) => {$(
        $(#[$doc])*
        ///
        /// # Errors
        ///
        /// Any [`PeerError`]. The peer may have processed the call, except after [`PeerError::Connect`].
        pub async fn $name(&self, to: SocketAddr, $arg: $from, timeout: TimeMs) -> Result<$reply, PeerError> {
            match self.call(to, $kind, timeout).await? {
                Reply::$variant(reply) => Ok($convert(reply)),
                other => Err(PeerError::Failed { reason: format!("a reply to another call: {other:?}") }),
            }
        }
    )*};
}

impl PeerClient {
    pub(crate) const fn new(calls: mpsc::Sender<Call>, counters: Arc<Counters>) -> Self {
        Self { calls, counters }
    }

    /// Returns the traffic with peers since the start, including the peers' calls to this instance.
    pub fn traffic(&self) -> PeerTraffic {
        self.counters.read()
    }

    async fn call(
        &self,
        to: SocketAddr,
        kind: CallKind,
        timeout: TimeMs,
    ) -> Result<Reply, PeerError> {
        let (reply_sender, reply) = oneshot::channel();
        self.calls
            .try_send(Call { to, timeout, kind, reply_sender })
            .map_err(|_| PeerError::Busy)?;
        reply.await.unwrap_or(Err(PeerError::Busy))
    }

    /// Requests the list of endpoints that the peer last read from the platform.
    ///
    /// # Errors
    ///
    /// Any [`PeerError`].
    pub async fn endpoints(
        &self,
        to: SocketAddr,
        timeout: TimeMs,
    ) -> Result<Vec<EndpointRow>, PeerError> {
        match self.call(to, CallKind::Endpoints, timeout).await? {
            Reply::Endpoints(rows) => Ok(rows),
            other => {
                Err(PeerError::Failed { reason: format!("a reply to another call: {other:?}") })
            }
        }
    }

    /// Requests the peer's suspects and quarantined requests.
    ///
    /// # Errors
    ///
    /// Any [`PeerError`].
    pub async fn quarantine_snapshot(
        &self,
        to: SocketAddr,
        timeout: TimeMs,
    ) -> Result<QuarantineSnapshot, PeerError> {
        match self.call(to, CallKind::QuarantineSnapshot, timeout).await? {
            Reply::QuarantineSnapshot(snapshot) => Ok(snapshot),
            other => {
                Err(PeerError::Failed { reason: format!("a reply to another call: {other:?}") })
            }
        }
    }

    define_calls! {
        /// Sends a heartbeat to the peer at `to` and returns the peer's own.
        heartbeat(heartbeat: Heartbeat => CallKind::Heartbeat(Box::new(heartbeat))) -> Heartbeat(Heartbeat) |reply: Box<Heartbeat>| *reply;
        /// Requests the peer's configuration in force. Returns `None` if its generation is not above `above`.
        configuration(above: Generation => CallKind::Configuration(above)) -> Configuration(Option<ConfigReply>) std::convert::identity;
        /// Sends a message about a request that may crash endpoints to the owner of its fingerprint.
        send_suspect(suspect: SuspectMessage => CallKind::Suspect(suspect)) -> Suspect(SuspectReply) std::convert::identity;
        /// Requests slots of a team's limit from the limit's owner.
        request_slots(request: GrantRequest => CallKind::RequestSlots(request)) -> RequestSlots(GrantReply) std::convert::identity;
        /// Requests a placement decision. Returns `None` if the peer can't decide.
        request_placement(request: PlacementQuery => CallKind::RequestPlacement(Box::new(request))) -> RequestPlacement(Option<PlacementReply>) std::convert::identity;
        /// Notifies the instance that started a run that this instance has taken over its stream.
        notify_handed_over(run: RunId => CallKind::HandedOver(run)) -> HandedOver(()) std::convert::identity;
    }
}
