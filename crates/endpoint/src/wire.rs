//! The wire format of engines: an OpenAI-style completions call with server-sent events and a few additional fields.
//!
//! * `POST /v1/completions` with a [`CompletionBody`] returns server-sent events of [`ChunkBody`].
//! * `GET /v1/attempts/<attempt>?from=<index>` returns the same events from a token on, or 404 if the engine does not
//!   know the attempt.
//! * `DELETE /v1/attempts/<attempt>` cancels the attempt.
//! * `GET /load` returns a [`LoadReport`](crate::LoadReport).
//!
//! An engine refuses a call with 503 if it is full, or with 409 if it does not serve the weight version. It has run
//! nothing in either case. An engine or a service that is shutting down refuses with 503 and [`STATE_HEADER`], and gets
//! no new work after that.

use bilberryford_types::{AttemptId, ModelName, Priority, TeamName, Tokens, WeightVersion};
use reqwest::header::HeaderMap;
use serde::{Deserialize, Serialize};

/// The header by which an endpoint reports that it is shutting down. Its value is [`DRAINING`].
pub const STATE_HEADER: &str = "endpoint-state";
/// The value of [`STATE_HEADER`] in a 503 response of an endpoint that has run nothing.
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
    /// The maximum number of tokens to generate, including the skipped ones.
    pub max_tokens: Tokens,
    /// Always true: engines are only called for streams.
    pub stream: bool,
    /// The attempt.
    pub attempt: AttemptId,
    /// The team, used as salt of the prefix cache.
    pub team: TeamName,
    /// The weight version to which the run is pinned.
    pub weight_version: WeightVersion,
    /// The priority.
    pub priority: Priority,
    /// Number of tokens that are already generated and must not be sent again.
    #[serde(default)]
    pub skip_tokens: Tokens,
    /// The text of the skipped tokens.
    #[serde(default)]
    pub given: String,
}

/// One event of a response stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChunkBody {
    /// The attempt.
    pub attempt: AttemptId,
    /// The index of the token in the response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<u32>,
    /// The token's text.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub text: String,
    /// The end marker, set on the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub end: Option<EndBody>,
}

/// The end marker of a response stream.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct EndBody {
    /// Number of tokens in the complete response.
    pub tokens: Tokens,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: Tokens,
    /// Number of prompt tokens.
    pub prompt_tokens: Tokens,
}
