//! What an adapter has to translate: headers, stored objects, engine reports and orders.
//!
//! The rest of the crate sees only these types. Their fields say what they hold, whatever the other side calls it.

use std::net::SocketAddr;

use bilberryford_types::{EndpointId, Fencing, ModelName, TeamName, TimeMs, Tokens};
use futures::future::BoxFuture;
use hyper::{HeaderMap, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{deployment::Deployment, endpoints::EndpointRecord};

/// One part of a prompt, which other requests may share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// What names its content.
    pub id: String,
    /// Its length.
    pub tokens: Tokens,
}

/// What a caller says of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptFacts {
    /// The model.
    pub model: ModelName,
    /// The length of the prompt.
    pub input_tokens: Tokens,
    /// The most tokens of the answer.
    pub max_output_tokens: Tokens,
    /// The parts in order; the last one is the request's own or its session's.
    pub parts: Vec<PromptPart>,
}

/// What the headers of a caller's request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerFacts {
    /// The id of this attempt of the caller.
    pub request_id: Option<String>,
    /// How long the caller will wait.
    pub time_left_ms: Option<TimeMs>,
    /// The API key.
    pub key: Option<String>,
    /// For requests to models.
    pub prompt: Option<PromptFacts>,
}

/// What a forwarded request says beside what its caller said.
#[derive(Debug, Clone, Copy)]
pub struct ForwardFacts<'a> {
    /// The endpoint that it is meant for; another one at the same address must refuse it.
    pub endpoint: &'a EndpointId,
    /// How long the endpoint may work.
    pub time_left_ms: TimeMs,
    /// The team that holds the caller's key.
    pub team: Option<&'a TeamName>,
    /// The rank, 0 the most urgent.
    pub rank: Option<u8>,
    /// The scope within which cached prompt parts are found.
    pub cache_scope: Option<&'a str>,
    /// The weight version that the engine must have.
    pub weight_version: Option<u64>,
    /// Where the engine gets cached parts from; one entry for each part of the prompt, or none at all.
    pub fetch: &'a [Option<PartSource>],
    /// The stores that the engine saves parts to once they are read; one entry for each part, or none at all.
    pub save: &'a [Option<SocketAddr>],
}

/// Where a cached part is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSource {
    /// The store or engine.
    pub address: SocketAddr,
    /// How many tokens of it are complete there; none for whatever an engine has.
    pub tokens: Option<Tokens>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseFacts {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint refused since it isn't the one expected or has other weights.
    pub is_misdirected: bool,
}

/// What can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{subject} can't be decoded: {reason}")]
pub struct DecodeError {
    /// What it should have been.
    pub subject: &'static str,
    /// Why it isn't.
    pub reason: String,
}

/// The weights that a model is meant to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightTarget {
    /// The model.
    pub model: ModelName,
    /// The version, which only grows.
    pub version: u64,
}

/// Translates headers and stored objects.
pub trait Translation: Send + Sync {
    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a header that is there and can't be read.
    fn read_request(&self, headers: &HeaderMap) -> Result<CallerFacts, DecodeError>;

    /// Removes what the caller must not set and adds what the endpoint is told.
    fn prepare_forward(&self, headers: &mut HeaderMap, facts: &ForwardFacts<'_>);

    /// Reads the head of an answer.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseFacts;

    /// Puts the request's id on an answer of our own.
    fn label_response(&self, headers: &mut HeaderMap, request_id: &str);

    /// Decodes the stored configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when it can't be used at all; single entries that can't be read are left out and logged.
    fn decode_deployment(&self, body: &[u8]) -> Result<Deployment, DecodeError>;

    /// Decodes an entry of the list of endpoints.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for an entry that names no endpoint to use.
    fn decode_endpoint(&self, name: &str, body: &[u8]) -> Result<EndpointRecord, DecodeError>;

    /// Decodes a named weight version.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when it names none.
    fn decode_weights(&self, body: &[u8]) -> Result<WeightTarget, DecodeError>;
}

/// A cached part, as a store or engine names it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PartKey {
    /// The scope within which it is found.
    pub scope: String,
    /// What names its content.
    pub id: String,
}

/// One change of what a store holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChange {
    /// Which part.
    pub key: PartKey,
    /// Its tokens, all complete; none when it is gone.
    pub tokens: Option<Tokens>,
}

/// The changes since an earlier call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChanges {
    /// Which life of the store they are of.
    pub epoch: u64,
    /// Where to go on.
    pub next: u64,
    /// Whether some are missing.
    pub has_gap: bool,
    /// The changes, oldest first.
    pub changes: Vec<CacheChange>,
}

/// All that a store holds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheSnapshot {
    /// Which life of the store it is of.
    pub epoch: u64,
    /// Where to go on.
    pub next: u64,
    /// The complete parts.
    pub parts: Vec<(PartKey, Tokens)>,
    /// Space that is taken by parts that are not complete.
    pub incomplete_tokens: u64,
}

/// Follows what stores hold.
pub trait TranslateCaches: Send + Sync {
    /// Waits up to `wait_ms` for changes after `since`; none when the store gave no readable answer.
    fn changes(
        &self,
        address: SocketAddr,
        since: u64,
        wait_ms: TimeMs,
    ) -> BoxFuture<'_, Option<CacheChanges>>;

    /// All that the store holds; none when it gave no readable answer.
    fn snapshot(&self, address: SocketAddr) -> BoxFuture<'_, Option<CacheSnapshot>>;

    /// Frees parts of the given life of the store; answers whether it did.
    fn free<'a>(
        &'a self,
        address: SocketAddr,
        epoch: u64,
        parts: &'a [PartKey],
    ) -> BoxFuture<'a, bool>;
}

/// What an engine reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// How many orders it accepted since its start.
    pub accepted_orders: u64,
    /// Its models with the versions of their weights.
    pub models: Vec<(ModelName, u64)>,
}

/// How an engine replied to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderReply {
    /// It carries the order out.
    Accepted,
    /// What was ordered holds already.
    AlreadyHolds,
    /// Another order is in progress, or its count of orders is not the one expected.
    Conflict,
    /// It has seen a higher fencing number.
    Fenced,
    /// It can't be ordered so.
    Refused,
    /// No reply: it may be carried out now, later or never.
    Unknown,
}

/// An order to load weights.
#[derive(Debug, Clone, Copy)]
pub struct WeightLoad<'a> {
    /// Which weights.
    pub target: &'a WeightTarget,
    /// Who holds the lease of orders.
    pub holder: &'a str,
    /// The number that an engine compares with those it has seen.
    pub fencing: Fencing,
    /// The count of accepted orders that the engine must still have.
    pub accepted_orders: u64,
}

/// Reads reports and gives orders.
pub trait TranslateOrders: Send + Sync {
    /// The report of the engine at `address`; none when there was no readable answer.
    fn report<'a>(
        &'a self,
        address: SocketAddr,
        endpoint: &'a EndpointId,
    ) -> BoxFuture<'a, Option<EngineReport>>;

    /// Orders the engine at `address` to load a weight version, after its running requests have finished.
    fn load_weights<'a>(
        &'a self,
        address: SocketAddr,
        endpoint: &'a EndpointId,
        order: WeightLoad<'a>,
    ) -> BoxFuture<'a, OrderReply>;
}
