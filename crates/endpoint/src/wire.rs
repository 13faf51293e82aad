//! The engines' wire format: an OpenAI-style completions call with server-sent events, and a few fields beside it.
//!
//! * `POST /v1/completions` with a [`CompletionBody`] answers server-sent events of [`ChunkBody`].
//! * `GET /v1/attempts/<attempt>?from=<index>` answers the same events from a token on; 404 when it is not known.
//! * `DELETE /v1/attempts/<attempt>` cancels.
//! * `GET /load` answers a [`LoadReport`](crate::LoadReport).
//!
//! An engine refuses with 503 (full) or 409 (weight version not there) before it runs anything. An engine or a service
//! that is shutting down refuses with 503 and [`STATE_HEADER`], and gets no new work after that.

use bilberryford_types::{AttemptId, ModelName, Priority, TeamName, Tokens, WeightVersion};
use reqwest::header::HeaderMap;
use serde::{Deserialize, Serialize};

/// The header with which an endpoint says that it is shutting down; its value is [`DRAINING`].
pub const STATE_HEADER: &str = "endpoint-state";
/// The value of [`STATE_HEADER`] on a 503 that was sent before anything ran.
pub const DRAINING: &str = "draining";

pub(crate) fn is_draining(headers: &HeaderMap) -> bool {
    headers.get(STATE_HEADER).is_some_and(|value| value.as_bytes() == DRAINING.as_bytes())
}

/// The body of a completion call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletionBody {
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: String,
    /// How many tokens to generate in all.
    pub max_tokens: Tokens,
    /// Always true between us and an engine.
    pub stream: bool,
    /// The attempt.
    pub attempt: AttemptId,
    /// The cache salt.
    pub team: TeamName,
    /// The pinned weight version.
    pub weight_version: WeightVersion,
    /// The priority.
    pub priority: Priority,
    /// How many generated tokens are not wanted again.
    #[serde(default)]
    pub skip_tokens: Tokens,
    /// Their text.
    #[serde(default)]
    pub given: String,
}

/// One event of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkBody {
    /// The attempt.
    pub attempt: AttemptId,
    /// The place of the token in the answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// The token's text.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
    /// Set on the last event.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<EndBody>,
}

/// The end marker of an answer.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndBody {
    /// Tokens in the whole answer.
    pub tokens: Tokens,
    /// Prompt tokens found in the cache.
    pub cached_tokens: Tokens,
    /// Prompt tokens in all.
    pub prompt_tokens: Tokens,
}
