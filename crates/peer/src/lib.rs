//! The protocol between entry instances, on capnp-rpc.
//!
//! Peers tell each other what they see: members, endpoints that are leaving, load, the configuration in force. All of
//! it is a view, so every call has a short deadline, a lost call is never repeated here, and the answer only steers.
//!
//! capnp-rpc keeps its state on one thread. [`PeerRuntime`] therefore owns a thread of its own that serves calls of
//! peers and makes ours; the rest of the process speaks with it through [`PeerClient`], which can be sent and cloned.
//! The handler of incoming calls ([`PeerHandler`]) answers from memory and must not block.

mod client;
mod convert;
mod handler;
mod message;
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::pedantic,
    clippy::unimplemented,
    unused
)]
mod peer_capnp;
mod runtime;

pub use client::{PeerClient, PeerError};
pub use handler::PeerHandler;
pub use message::{
    ConfigReply, EndpointRow, EndpointView, GrantReply, GrantRequest, Heartbeat, Member,
    MemberState, PlacementQuery, PlacementReply, QuarantineSnapshot, SuspectAction, SuspectMessage,
    SuspectReply,
};
pub use runtime::{PeerRuntime, PeerTraffic};
