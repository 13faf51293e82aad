//! What callers send and read: the OpenAI style of completions.

use bilberryford_types::{ErrorKind, ModelName, Priority, RunId, Tokens};
use serde::{Deserialize, Serialize};

/// The most messages of a chat.
const MAX_MESSAGES: usize = 4_096;
/// The longest answer in tokens.
const MAX_ANSWER_TOKENS: Tokens = Tokens(32_768);
/// The length of an answer whose request names none.
const DEFAULT_ANSWER_TOKENS: Tokens = Tokens(256);

/// The shape in which an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shape {
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
struct Common {
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
    common: Common,
}

#[derive(Debug, Deserialize)]
struct TextBody {
    prompt: String,
    #[serde(flatten)]
    common: Common,
}

/// A prompt as a caller asked for it.
#[derive(Debug, Clone)]
pub(crate) struct PromptRequest {
    pub(crate) shape: Shape,
    pub(crate) model: ModelName,
    pub(crate) prompt: std::sync::Arc<str>,
    pub(crate) max_tokens: Tokens,
    pub(crate) stream: bool,
    pub(crate) priority: Option<Priority>,
}

impl PromptRequest {
    /// Reads a body.
    pub(crate) fn read(shape: Shape, body: &[u8]) -> Result<Self, ErrorKind> {
        let (common, prompt) = match shape {
            Shape::Chat => {
                let body: ChatBody =
                    serde_json::from_slice(body).map_err(|_| ErrorKind::Malformed)?;
                if body.messages.is_empty() || body.messages.len() > MAX_MESSAGES {
                    return Err(ErrorKind::Malformed);
                }
                (body.common, joined(&body.messages))
            }
            Shape::Text => {
                let body: TextBody =
                    serde_json::from_slice(body).map_err(|_| ErrorKind::Malformed)?;
                (body.common, body.prompt)
            }
        };
        let max_tokens = common.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
        if max_tokens.get() == 0 {
            return Err(ErrorKind::Malformed);
        }
        if max_tokens > MAX_ANSWER_TOKENS {
            return Err(ErrorKind::TooLarge);
        }
        Ok(Self {
            shape,
            model: common.model.parse().map_err(|_| ErrorKind::UnknownModel)?,
            prompt: prompt.into(),
            max_tokens,
            stream: common.stream,
            priority: common.priority,
        })
    }
}

/// The messages as one prompt; a longer chat starts with the text of the shorter one, so that prefixes are shared.
fn joined(messages: &[Message]) -> String {
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
struct Text<'a> {
    content: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Text<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Text<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a RunId,
    object: &'static str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

/// A whole answer as JSON.
pub(crate) fn whole_answer(
    shape: Shape,
    id: &RunId,
    text: &str,
    prompt_tokens: Tokens,
    tokens: Tokens,
) -> Vec<u8> {
    let total_tokens = Tokens(prompt_tokens.get().saturating_add(tokens.get()));
    let usage = Some(Usage { prompt_tokens, completion_tokens: tokens, total_tokens });
    let (object, message, text) = match shape {
        Shape::Chat => {
            ("chat.completion", Some(Text { content: text, role: Some("assistant") }), None)
        }
        Shape::Text => ("text_completion", None, Some(text)),
    };
    let choice = Choice { index: 0, message, delta: None, text, finish_reason: Some("stop") };
    json(&AnswerBody { id, object, choices: [choice], usage })
}

/// One streamed part of an answer as JSON.
pub(crate) fn part(shape: Shape, id: &RunId, text: &str, is_last: bool) -> Vec<u8> {
    let (object, delta, text) = match shape {
        Shape::Chat => ("chat.completion.chunk", Some(Text { content: text, role: None }), None),
        Shape::Text => ("text_completion", None, Some(text)),
    };
    let finish_reason = is_last.then_some("stop");
    let choice = Choice { index: 0, message: None, delta, text, finish_reason };
    json(&AnswerBody { id, object, choices: [choice], usage: None })
}

fn json(body: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(body).unwrap_or_default()
}
