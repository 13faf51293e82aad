//! A model engine as a trait.

use std::sync::Arc;

use bilberryford_types::{AttemptId, ModelName, Priority, TeamName, TimeMs, Tokens, WeightVersion};
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

use crate::EndpointError;

/// One dispatch of a prompt to an engine.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// The attempt; the engine repeats it on every chunk and keeps the output under it for a while.
    pub attempt: AttemptId,
    /// The team, which salts the engine's prefix cache.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The weight version that the run is pinned to.
    pub weight_version: WeightVersion,
    /// The prompt.
    pub prompt: Arc<str>,
    /// How many tokens to generate, with those that are skipped.
    pub max_tokens: Tokens,
    /// How many generated tokens the caller already has from another endpoint; `skipped_text` holds their text.
    pub skip_tokens: Tokens,
    /// The text of the skipped tokens.
    pub skipped_text: Arc<str>,
    /// The priority.
    pub priority: Priority,
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// One token's text.
    Token {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// Its place in the answer, counted from 0 over all attempts of the run.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The end marker; an answer without one is not whole.
    End {
        /// The attempt that it belongs to.
        attempt: AttemptId,
        /// How many tokens the whole answer has.
        tokens: Tokens,
        /// How many prompt tokens were found in the engine's cache.
        cached_tokens: Tokens,
        /// How many prompt tokens there were.
        prompt_tokens: Tokens,
    },
}

/// The chunks of an answer, in order.
pub type ChunkStream = BoxStream<'static, Result<Chunk, EndpointError>>;

/// What an engine says about its load; it lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// When the figures were taken, in milliseconds of the engine's clock.
    pub taken_ms: TimeMs,
    /// How many runs generate now.
    pub running: u32,
    /// How many runs wait for a slot.
    pub waiting: u32,
    /// How many prompt tokens wait to be computed.
    #[serde(default)]
    pub backlog: Tokens,
    /// How many slots the batch has.
    pub slots: u32,
    /// How many tokens the prefix cache can hold.
    pub cache_tokens: Tokens,
    /// The weight versions that new requests may use.
    pub weight_versions: Vec<WeightVersion>,
}

/// A model engine.
pub trait ModelEngine: Send + Sync {
    /// Starts a run and answers its chunks.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Connect`] and [`EndpointError::Refused`] when the run did not start.
    fn generate(
        &self,
        call: GenerateCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ChunkStream, EndpointError>>;

    /// Picks a run up on a new connection from the token `from`.
    ///
    /// # Errors
    ///
    /// [`EndpointError::UnknownAttempt`] when the engine has no such run.
    fn resume<'a>(
        &'a self,
        attempt: &'a AttemptId,
        from: u32,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ChunkStream, EndpointError>>;

    /// Stops a run whose answer nobody needs any more.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cancel<'a>(&'a self, attempt: &'a AttemptId) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Reads the engine's load.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, EndpointError>>;
}
