//! The protocol between entry instances, on capnp-rpc.
//!
//! Peers report members, leaving endpoints, load and the configuration in force to each other. All of this is a view
//! that may be out of date and serves only as a hint, so every call has a short deadline and failed calls are not
//! retried here.
//!
//! The state of capnp-rpc is confined to one thread. [`PeerRuntime`] therefore starts a thread that serves the calls of
//! peers and makes the calls of this instance. The rest of the process uses it through [`PeerClient`], which is `Send`
//! and `Clone`. The handler of incoming calls ([`PeerHandler`]) must use only data in memory and must not block.

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
