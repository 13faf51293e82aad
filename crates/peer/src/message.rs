//! The messages between peers as types.

use std::net::SocketAddr;

use bilberryford_types::{
    DataCentreId, Digest, EndpointId, EnvironmentName, Generation, HybridTime, Incarnation,
    InstanceId, ModelName, ObjectVersion, PoolName, Priority, StoreId, TeamName, TimeMs, Tokens,
    WeightVersion,
};

/// What a member is taken to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::FromRepr)]
#[repr(u8)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive = 0,
    /// It did not answer someone.
    Suspect = 1,
    /// It is shutting down.
    Leaving = 2,
    /// Enough observers found it silent.
    Failed = 3,
}

/// An entry instance as a peer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub instance: InstanceId,
    /// Which run of it.
    pub incarnation: Incarnation,
    /// Where it takes calls of peers.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it is taken to be.
    pub state: MemberState,
    /// The generation that it has in force.
    pub generation: Generation,
    /// How long ago the sender found that out; zero for the sender itself.
    pub age: TimeMs,
}

/// An endpoint as a peer sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its address; a replacement under the same name is another endpoint.
    pub address: SocketAddr,
    /// Whether it was seen leaving.
    pub is_leaving: bool,
    /// How many runs the sender has in flight there.
    pub in_flight: u32,
    /// How many of their prompt tokens are not yet prefilled.
    pub queued_tokens: Tokens,
}

/// A row of the platform's list as a peer last read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it is, in the platform's words.
    pub role: String,
    /// Its pool.
    pub pool: PoolName,
    /// Its address.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// A regular exchange of views.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's hybrid time.
    pub sent_at: HybridTime,
    /// The sender's environment; instances of other environments are no peers.
    pub environment: EnvironmentName,
    /// The sender itself.
    pub sender: Member,
    /// A bounded number of other members.
    pub members: Vec<Member>,
    /// What the sender sees of endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Fingerprints of requests that may not run again.
    pub quarantined: Vec<Digest>,
}

/// The configuration that a peer has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigReply {
    /// Its generation.
    pub generation: Generation,
    /// The platform's version of the object.
    pub version: ObjectVersion,
    /// Its content.
    pub body: Vec<u8>,
}

/// What the sender of [`SuspectMessage`] knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectAction {
    /// It claims the right to run a suspect, or to run suspects at an endpoint.
    Claim,
    /// The endpoint was lost while it ran the request beside others.
    MarkSuspect,
    /// It ran clean; the claim is given back.
    Clear,
    /// The endpoint was lost while the request was its only suspect.
    Quarantine,
    /// The claim is given back and nothing was learnt.
    Release,
}

/// A question or report about a request that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectMessage {
    /// The request's fingerprint.
    pub fingerprint: Digest,
    /// The attempt, so that a report counts once.
    pub attempt: String,
    /// What the sender knows.
    pub action: SuspectAction,
    /// How long a claim is held at the longest.
    pub span: TimeMs,
}

/// What the fingerprint's owner says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectReply {
    /// How many crashes are counted.
    pub crashes: u32,
    /// Whether the request may not run again.
    pub quarantined: bool,
    /// Whether the claim was granted.
    pub granted: bool,
}

/// What an instance knows of requests that crash endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineSnapshot {
    /// Fingerprints that may run under claims only.
    pub suspected: Vec<Digest>,
    /// Fingerprints that may not run again.
    pub quarantined: Vec<Digest>,
}

/// A call for in-flight slots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// The team.
    pub team: TeamName,
    /// Who borrows.
    pub requester: InstanceId,
    /// How many slots the borrower uses now.
    pub in_use: u32,
    /// How many it wants in all.
    pub wanted: u32,
}

/// The slots that were lent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantReply {
    /// How many slots the borrower may use in all.
    pub granted: u32,
    /// For how long.
    pub valid_for: TimeMs,
}

/// A question to the instance that decides for a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementQuery {
    /// The model.
    pub model: ModelName,
    /// The pinned weight version.
    pub weight_version: WeightVersion,
    /// The priority.
    pub priority: Priority,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The answer's longest length.
    pub max_tokens: Tokens,
    /// How long the caller waits.
    pub deadline: TimeMs,
    /// The hashes of the prompt's blocks.
    pub chain: Vec<Digest>,
    /// Endpoints that may not be chosen.
    pub excluded: Vec<EndpointId>,
}

/// The decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementReply {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The store to import from.
    pub store: Option<StoreId>,
    /// How many blocks to import.
    pub import_blocks: u32,
    /// Why, for the time line.
    pub reason: String,
}
