//! The request and response bodies of the OpenAI-style completion API.

use bilberryford_types::{ErrorKind, ModelName, Priority, RunId, Tokens};
use serde::{Deserialize, Serialize};

/// The most messages in a chat request.
const MAX_MESSAGES: usize = 4_096;
/// The largest `max_tokens` that a request may give.
const MAX_COMPLETION_TOKENS: Tokens = Tokens(32_768);
/// The limit for a request without `max_tokens`.
const DEFAULT_COMPLETION_TOKENS: Tokens = Tokens(256);

/// The response format, given by the path of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFormat {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[derive(Debug, Deserialize)]
struct CommonFields {
    model: String,
    #[serde(default)]
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: Option<Priority>,
}

#[derive(Debug, Deserialize)]
struct ChatBody {
    messages: Vec<Message>,
    #[serde(flatten)]
    common: CommonFields,
}

#[derive(Debug, Deserialize)]
struct TextBody {
    prompt: String,
    #[serde(flatten)]
    common: CommonFields,
}

/// A validated completion request.
#[derive(Debug, Clone)]
pub(crate) struct PromptRequest {
    pub(crate) format: ResponseFormat,
    pub(crate) model: ModelName,
    pub(crate) prompt: std::sync::Arc<str>,
    pub(crate) max_tokens: Tokens,
    pub(crate) stream: bool,
    pub(crate) priority: Option<Priority>,
}

impl PromptRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Malformed`] for invalid JSON, a bad number of messages or `max_tokens` 0, [`ErrorKind::TooLarge`]
    /// for a `max_tokens` above the limit, and [`ErrorKind::UnknownModel`] for a model name that can't exist.
    pub(crate) fn parse(format: ResponseFormat, body: &[u8]) -> Result<Self, ErrorKind> {
        let (common, prompt) = match format {
            ResponseFormat::Chat => {
                let body: ChatBody =
                    serde_json::from_slice(body).map_err(|_| ErrorKind::Malformed)?;
                if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
                    return Err(ErrorKind::Malformed);
                }
                (body.common, join_messages(&body.messages))
            }
            ResponseFormat::Text => {
                let body: TextBody =
                    serde_json::from_slice(body).map_err(|_| ErrorKind::Malformed)?;
                (body.common, body.prompt)
            }
        };
        let max_tokens = common.max_tokens.unwrap_or(DEFAULT_COMPLETION_TOKENS);
        if max_tokens.get() == 0 {
            return Err(ErrorKind::Malformed);
        }
        if max_tokens > MAX_COMPLETION_TOKENS {
            return Err(ErrorKind::TooLarge);
        }
        Ok(Self {
            format,
            model: common.model.parse().map_err(|_| ErrorKind::UnknownModel)?,
            prompt: prompt.into(),
            max_tokens,
            stream: common.stream,
            priority: common.priority,
        })
    }
}

/// Joins the messages into one prompt. The prompt of a continued chat starts with the prompt of the earlier one, so
/// that engines can reuse the cached prefix.
fn join_messages(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    prompt
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: Tokens,
    completion_tokens: Tokens,
    total_tokens: Tokens,
}

#[derive(Serialize)]
struct MessageBody<'a> {
    content: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<MessageBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<MessageBody<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    id: &'a RunId,
    object: &'static str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// The JSON body of a complete, unstreamed response.
pub(crate) fn completion_json(
    format: ResponseFormat,
    id: &RunId,
    text: &str,
    prompt_tokens: Tokens,
    tokens: Tokens,
) -> Vec<u8> {
    let total_tokens = Tokens(prompt_tokens.get().saturating_add(tokens.get()));
    let usage = Some(Usage { prompt_tokens, completion_tokens: tokens, total_tokens });
    let (object, message, text) = match format {
        ResponseFormat::Chat => {
            ("chat.completion", Some(MessageBody { content: text, role: Some("assistant") }), None)
        }
        ResponseFormat::Text => ("text_completion", None, Some(text)),
    };
    let choice = Choice { index: 0, message, delta: None, text, finish_reason: Some("stop") };
    to_json(&CompletionBody { id, object, choices: [choice], usage })
}

/// The JSON data of one event of a streamed response.
pub(crate) fn chunk_json(format: ResponseFormat, id: &RunId, text: &str, is_last: bool) -> Vec<u8> {
    let (object, delta, text) = match format {
        ResponseFormat::Chat => {
            ("chat.completion.chunk", Some(MessageBody { content: text, role: None }), None)
        }
        ResponseFormat::Text => ("text_completion", None, Some(text)),
    };
    let finish_reason = is_last.then_some("stop");
    let choice = Choice { index: 0, message: None, delta, text, finish_reason };
    to_json(&CompletionBody { id, object, choices: [choice], usage: None })
}

fn to_json(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
