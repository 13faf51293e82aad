//! The trait of a model engine and its data types.

use std::sync::Arc;

use bilberryford_types::{AttemptId, ModelName, Priority, TeamName, TimeMs, Tokens, WeightVersion};
use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};

use crate::EndpointError;

/// One attempt to run a prompt on an engine.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// The attempt. The engine returns its id in every chunk and retains the output under it for a while.
    pub attempt: AttemptId,
    /// The team, used as salt of the engine's prefix cache.
    pub team: TeamName,
    /// The model.
    pub model: ModelName,
    /// The weight version to which the run is pinned.
    pub weight_version: WeightVersion,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The maximum number of tokens to generate, including the skipped ones.
    pub max_tokens: Tokens,
    /// Number of tokens that another endpoint has already generated for the caller; `skipped_text` holds their text.
    pub skip_tokens: Tokens,
    /// The text of the skipped tokens.
    pub skipped_text: Arc<str>,
    /// The priority.
    pub priority: Priority,
}

/// A chunk of a response stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// One generated token.
    Token {
        /// The attempt that generated the token.
        attempt: AttemptId,
        /// The index in the response, counted from 0 over all attempts of the run.
        index: u32,
        /// The text of the token.
        text: String,
    },
    /// The end marker. A response without one is incomplete.
    End {
        /// The attempt that completed the response.
        attempt: AttemptId,
        /// Number of tokens in the complete response.
        tokens: Tokens,
        /// Number of prompt tokens found in the engine's prefix cache.
        cached_tokens: Tokens,
        /// Number of prompt tokens.
        prompt_tokens: Tokens,
    },
}

/// The chunks of a response, in order.
pub type ChunkStream = BoxStream<'static, Result<Chunk, EndpointError>>;

/// The load that an engine reports. It is delayed against the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The time of measurement, in milliseconds of the engine's clock.
    pub taken_ms: TimeMs,
    /// Number of runs that generate tokens.
    pub running: u32,
    /// Number of runs that wait for a slot.
    pub waiting: u32,
    /// Number of prompt tokens not yet prefilled.
    #[serde(default)]
    pub backlog: Tokens,
    /// Number of slots of the batch.
    pub slots: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: Tokens,
    /// The weight versions that the engine accepts for new runs.
    pub weight_versions: Vec<WeightVersion>,
}

/// A model engine. Runs are identified by their attempt, so that they can be resumed and cancelled.
pub trait ModelEngine: Send + Sync {
    /// Starts a run and returns its chunks.
    ///
    /// # Errors
    ///
    /// [`EndpointError::Connect`], [`EndpointError::Refused`], [`EndpointError::Draining`] and
    /// [`EndpointError::VersionGone`] if the run did not start; any other error if it may have started.
    fn generate(
        &self,
        call: GenerateCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ChunkStream, EndpointError>>;

    /// Resumes the stream of a run on a new connection, from the token with index `from`.
    ///
    /// # Errors
    ///
    /// [`EndpointError::UnknownAttempt`] if the engine does not know the run.
    fn resume<'a>(
        &'a self,
        attempt: &'a AttemptId,
        from: u32,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ChunkStream, EndpointError>>;

    /// Cancels a run whose response is no longer needed.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cancel<'a>(&'a self, attempt: &'a AttemptId) -> BoxFuture<'a, Result<(), EndpointError>>;

    /// Reads the engine's load report.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn load(&self) -> BoxFuture<'_, Result<LoadReport, EndpointError>>;
}
