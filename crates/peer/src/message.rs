//! The types of the messages between peers.

use std::net::SocketAddr;

use bilberryford_types::{
    DataCentreId, Digest, EndpointId, EnvironmentName, Generation, HybridTime, Incarnation,
    InstanceId, ModelName, ObjectVersion, PoolName, Priority, StoreId, TeamName, TimeMs, Tokens,
    WeightVersion,
};

/// The liveness state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::FromRepr)]
#[repr(u8)]
#[strum(serialize_all = "snake_case")]
pub enum MemberState {
    /// The member replies to its peers.
    Alive = 0,
    /// The member did not reply to at least one peer.
    Suspect = 1,
    /// The member is shutting down.
    Leaving = 2,
    /// Enough peers have reported that the member does not reply.
    Failed = 3,
}

/// A report about an entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The member's name.
    pub instance: InstanceId,
    /// The member's incarnation.
    pub incarnation: Incarnation,
    /// The member's address for calls of peers.
    pub address: SocketAddr,
    /// The member's data centre.
    pub data_centre: DataCentreId,
    /// The member's state.
    pub state: MemberState,
    /// The generation of the configuration that the member has in force.
    pub generation: Generation,
    /// The age of the sender's information; zero for the sender itself.
    pub age: TimeMs,
}

/// A peer's view of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint's name.
    pub endpoint: EndpointId,
    /// The endpoint's address. A replacement under the same name and another address is another endpoint.
    pub address: SocketAddr,
    /// True if the endpoint was observed to be leaving.
    pub is_leaving: bool,
    /// Number of runs that the sender has in flight at the endpoint.
    pub in_flight: u32,
    /// Number of prompt tokens of these runs that are not yet prefilled.
    pub queued_tokens: Tokens,
}

/// A row of the platform's list of endpoints, as last read by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRow {
    /// The endpoint's name.
    pub endpoint: EndpointId,
    /// The endpoint's role, as named by the platform.
    pub role: String,
    /// The endpoint's pool.
    pub pool: PoolName,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The endpoint's data centre.
    pub data_centre: DataCentreId,
    /// True if the endpoint is leaving.
    pub is_leaving: bool,
}

/// The sender's view of members and endpoints. Peers exchange heartbeats at regular intervals.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender's hybrid logical time.
    pub sent_at: HybridTime,
    /// The sender's environment. Instances of other environments are not peers.
    pub environment: EnvironmentName,
    /// The report of the sender about itself.
    pub sender: Member,
    /// Reports about a bounded number of other members.
    pub members: Vec<Member>,
    /// The sender's views of endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Fingerprints of requests in quarantine, which must not run.
    pub quarantined: Vec<Digest>,
}

/// The configuration that a peer has in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigReply {
    /// The generation.
    pub generation: Generation,
    /// The version of the configuration's object on the platform.
    pub version: ObjectVersion,
    /// The content of the object.
    pub body: Vec<u8>,
}

/// The action that a [`SuspectMessage`] requests or reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectAction {
    /// Claims the exclusive right to run a suspect, or to run suspects at an endpoint.
    Claim,
    /// The endpoint crashed while it ran this request and others; each of them becomes a suspect.
    MarkSuspect,
    /// The request ran without a crash; the claim is released and the suspect cleared.
    Clear,
    /// The endpoint crashed while the request was its only suspect; the request is quarantined.
    Quarantine,
    /// The claim is released without a result.
    Release,
}

/// A claim or report about a request that may crash endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectMessage {
    /// The fingerprint of the request, or the key of the endpoint that is claimed.
    pub fingerprint: Digest,
    /// The attempt that holds the claim or made the report.
    pub attempt: String,
    /// The requested or reported action.
    pub action: SuspectAction,
    /// The maximum duration of a claim.
    pub span: TimeMs,
}

/// The reply of the fingerprint's owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SuspectReply {
    /// Number of crashes attributed to the request.
    pub crashes: u32,
    /// True if the request is in quarantine and must not run.
    pub quarantined: bool,
    /// True if the claim was granted.
    pub granted: bool,
}

/// An instance's suspects and quarantined requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineSnapshot {
    /// Fingerprints of suspects, which may run only under claims.
    pub suspected: Vec<Digest>,
    /// Fingerprints of requests in quarantine, which must not run.
    pub quarantined: Vec<Digest>,
}

/// A request for slots of a team's in-flight limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// The team.
    pub team: TeamName,
    /// The instance that requests slots.
    pub requester: InstanceId,
    /// Number of slots that the requester has in use.
    pub in_use: u32,
    /// Number of slots that the requester wants in total.
    pub wanted: u32,
}

/// A grant of slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GrantReply {
    /// Number of slots that the requester may use in total.
    pub granted: u32,
    /// The duration of the grant.
    pub valid_for: TimeMs,
}

/// A query to the instance that decides placements for a pool of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementQuery {
    /// The model.
    pub model: ModelName,
    /// The weight version to which the run is pinned.
    pub weight_version: WeightVersion,
    /// The priority.
    pub priority: Priority,
    /// The length of the prompt.
    pub prompt_tokens: Tokens,
    /// The maximum length of the response.
    pub max_tokens: Tokens,
    /// The time that the caller waits for the response.
    pub deadline: TimeMs,
    /// The chained digests of the prompt's blocks.
    pub chain: Vec<Digest>,
    /// Endpoints that must not be chosen.
    pub excluded: Vec<EndpointId>,
}

/// A placement decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementReply {
    /// The chosen endpoint.
    pub endpoint: EndpointId,
    /// The store from which to import blocks, if any.
    pub store: Option<StoreId>,
    /// Number of blocks to import.
    pub import_blocks: u32,
    /// The reason for the decision, for the time line.
    pub reason: String,
}
