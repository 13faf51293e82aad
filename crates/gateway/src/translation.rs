//! The traits that an adapter implements to translate headers, stored objects, engine reports and orders.
//!
//! The rest of the crate uses only these types, whose names do not depend on those of the platform and the endpoints.

use std::net::SocketAddr;

use bilberryford_types::{EndpointId, Fencing, ModelName, RequestRate, TeamName, TimeMs, Tokens};
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{deployment::Deployment, endpoints::EndpointRecord};

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// The identifier of its content.
    pub id: String,
    /// Its length.
    pub tokens: Tokens,
}

/// The description of a prompt in a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptFacts {
    /// The model.
    pub model: ModelName,
    /// The length of the prompt.
    pub input_tokens: Tokens,
    /// The most tokens of the response.
    pub max_output_tokens: Tokens,
    /// The parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

/// The stream that a request takes up after its last event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resumption {
    /// The caller's id for the attempt that brought the stream's first event; none if the request does not name exactly one.
    pub first_request_id: Option<String>,
}

/// The contents of the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerFacts {
    /// The caller's id for this attempt.
    pub request_id: Option<String>,
    /// The time until the caller's deadline.
    pub time_left_ms: Option<TimeMs>,
    /// The API key.
    pub key: Option<String>,
    /// The prompt of a request to a model; none for other requests.
    pub prompt: Option<PromptFacts>,
    /// The stream that the request takes up; none if it begins a response.
    pub resumption: Option<Resumption>,
}

/// The additional headers of a forwarded request.
#[derive(Debug, Clone, Copy)]
pub struct ForwardFacts<'a> {
    /// The intended endpoint; any other one at the same address must refuse the request.
    pub endpoint: &'a EndpointId,
    /// The time until the endpoint must have responded.
    pub time_left_ms: TimeMs,
    /// The team that holds the caller's key.
    pub team: Option<&'a TeamName>,
    /// The priority rank; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The scope of the cached prompt parts.
    pub cache_scope: Option<&'a str>,
    /// The weight version that the engine must have loaded.
    pub weight_version: Option<u64>,
    /// The last event that the caller has of a stream that the gateway itself goes on with.
    pub last_event_id: Option<&'a str>,
    /// The sources from which the engine fetches cached parts; one entry for each part of the prompt, or empty.
    pub fetch: &'a [Option<PartSource>],
    /// The stores to which the engine saves parts after their prefill; one entry for each part of the prompt, or empty.
    pub save: &'a [Option<SocketAddr>],
}

/// The source of a cached part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSource {
    /// The address of the store or engine.
    pub address: SocketAddr,
    /// The number of tokens that are complete there; none for as many as an engine has at the time of the fetch.
    pub tokens: Option<Tokens>,
}

/// The contents of the headers of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// The id of the request that it responds to.
    pub request_id: Option<String>,
    /// True if it bears the endpoint's signature.
    pub is_signed: bool,
    /// True if the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// True if the endpoint refused because it isn't the intended one or has other weights.
    pub is_misdirected: bool,
    /// True if the endpoint states that it leaves.
    pub is_leaving: bool,
    /// How long it takes no further request of this instance, if it refused this one and said so.
    pub closed_for_ms: Option<TimeMs>,
    /// The requests that it takes from all instances together, if it states a limit.
    pub limit: Option<RequestRate>,
}

/// A header or stored object that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{subject} can't be decoded: {reason}")]
pub struct DecodeError {
    /// The expected contents.
    pub subject: &'static str,
    /// The reason why it can't be decoded.
    pub reason: String,
}

/// The target weight version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightTarget {
    /// The model.
    pub model: ModelName,
    /// The version; it only increases.
    pub version: u64,
}

/// Translates headers and stored objects.
pub trait Translation: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a header that is present but can't be decoded.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerFacts, DecodeError>;

    /// Removes the headers that callers must not set and adds those for the endpoint.
    fn prepare_forward(&self, headers: &mut HeaderMap, facts: &ForwardFacts<'_>);

    /// Reads the headers of a response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFacts;

    /// Adds the request's id to a response that the gateway itself produced.
    fn label_response(&self, headers: &mut HeaderMap, request_id: &str);

    /// Decodes the stored configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it can't be used at all; single entries that can't be decoded are logged and left out.
    fn decode_deployment(&self, body: &[u8]) -> Result<Deployment, DecodeError>;

    /// Decodes an entry of the list of endpoints.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the entry describes no usable endpoint.
    fn decode_endpoint(&self, name: &str, body: &[u8]) -> Result<EndpointRecord, DecodeError>;

    /// Decodes a published weight version.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it contains none.
    fn decode_weights(&self, body: &[u8]) -> Result<WeightTarget, DecodeError>;
}

/// The key of a cached part in stores and engines.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The scope of the part.
    pub scope: String,
    /// The identifier of its content.
    pub id: String,
}

/// A change of the contents of a store or an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// The part.
    pub key: PartKey,
    /// Its complete tokens; none if it was removed.
    pub tokens: Option<Tokens>,
}

/// The changes after a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChanges {
    /// The incarnation of the store.
    pub epoch: u64,
    /// The cursor from which to continue.
    pub next: u64,
    /// True if changes are missing.
    pub has_gap: bool,
    /// The changes, oldest first.
    pub changes: Vec<CacheChange>,
    /// True if the holder states that it leaves. It is not passed on to peers.
    #[serde(skip)]
    pub is_leaving: bool,
}

/// The complete contents of a store or an engine's memory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// The incarnation of the store.
    pub epoch: u64,
    /// The cursor from which to continue with changes.
    pub next: u64,
    /// The complete parts.
    pub parts: Vec<(PartKey, Tokens)>,
    /// The space that incomplete parts occupy, in tokens.
    pub incomplete_tokens: u64,
    /// True if the holder states that it leaves.
    pub is_leaving: bool,
}

/// Reads the contents of stores and engines' memories, and frees parts in stores.
pub trait TranslateCaches: Send + Sync {
    /// Waits up to `wait_ms` for changes after the cursor `since`; none if there was no valid reply.
    fn changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait_ms: TimeMs,
    ) -> BoxFuture<'_, Option<CacheChanges>>;

    /// Reads the complete contents; none if there was no valid reply.
    fn snapshot(&self, address: SocketAddr) -> BoxFuture<'_, Option<CacheSnapshot>>;

    /// Frees parts of the store's incarnation `epoch` and returns true if the store did so.
    fn free<'a>(
        &'a self,
        address: SocketAddr,
        epoch: u64,
        parts: &'a [PartKey],
    ) -> BoxFuture<'a, bool>;
}

/// The report of an engine on itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// The start time of its incarnation, as in its entry; none if it does not state one.
    pub started_ms: Option<TimeMs>,
    /// True while an order is in progress.
    pub is_busy: bool,
    /// The number of orders that it accepted since its start.
    pub accepted_orders: u64,
    /// Its models with the versions of their weights.
    pub models: Vec<(ModelName, u64)>,
    /// True if it states that it leaves.
    pub is_leaving: bool,
}

/// The reply of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderReply {
    /// The engine executes the order.
    Accepted,
    /// The engine already has the ordered weights.
    AlreadyHolds,
    /// Another order is in progress, or the number of accepted orders differs from the expected one.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine can't execute such an order.
    Refused,
    /// There was no reply: the order may be executed now, later or never.
    Unknown,
}

/// An order to load weights.
#[derive(Debug, Clone, Copy)]
pub struct WeightLoad<'a> {
    /// The weights to load.
    pub target: &'a WeightTarget,
    /// The holder of the lease for weight orders.
    pub holder: &'a str,
    /// The fencing number; an engine that has seen a higher one rejects the order.
    pub fencing: Fencing,
    /// The number of accepted orders that the engine must still have; otherwise it rejects the order.
    pub accepted_orders: u64,
}

/// Reads the reports of engines and sends orders to them.
pub trait TranslateOrders: Send + Sync {
    /// Reads the report of the engine at `address`; none if there was no valid reply.
    fn report<'a>(
        &'a self,
        address: SocketAddr,
        endpoint: &'a EndpointId,
    ) -> BoxFuture<'a, Option<EngineReport>>;

    /// Orders the engine at `address` to load a weight version after its running requests have finished.
    fn load_weights<'a>(
        &'a self,
        address: SocketAddr,
        endpoint: &'a EndpointId,
        order: WeightLoad<'a>,
    ) -> BoxFuture<'a, OrderReply>;
}
