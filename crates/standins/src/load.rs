//! Callers that send prompts and orders and check the responses byte for byte.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::{RequestBuilder, Response, header};
use serde_json::{Value, json};

use crate::{answer, service::Receipt};

/// The outcome of a request for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete, correct response.
    Complete,
    /// A complete response whose content is not the expected one, such as that of another request.
    Mismatched,
    /// A refusal.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The response's statement on whether the request ran: `no`, `maybe` or `yes`; `unsaid` if it has none.
        ran: String,
        /// The type of the error.
        kind: String,
    },
    /// The connection was lost, or the response ended without its end marker.
    Cut,
    /// A stream that began and ended with a typed error event.
    Ended {
        /// The type of the error.
        kind: String,
    },
    /// No connection could be established, so nothing was sent.
    Unreached,
}

/// The result of one request as its caller saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// The outcome.
    pub outcome: Outcome,
    /// Time from sending to the first token, or to the end if no token arrived.
    pub first_token: Duration,
    /// The id of the run, if the response had one.
    pub run: Option<String>,
    /// The weight version that the text of a complete response matches.
    pub weight_version: Option<String>,
}

impl RequestResult {
    fn without_text(outcome: Outcome, started: Instant, run: Option<String>) -> Self {
        Self { outcome, first_token: started.elapsed(), run, weight_version: None }
    }
}

/// A caller with one team's API key.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    api_key: String,
    weight_versions: Vec<String>,
    timeout_ms: u64,
}

impl Caller {
    /// Creates a caller that accepts responses of any of `weight_versions`.
    pub fn new(client: reqwest::Client, api_key: &str, weight_versions: &[&str]) -> Self {
        let weight_versions = weight_versions.iter().map(|version| (*version).to_owned()).collect();
        Self { client, api_key: api_key.to_owned(), weight_versions, timeout_ms: 10_000 }
    }

    /// Returns a copy of this caller with another API key.
    pub fn as_team(&self, api_key: &str) -> Self {
        Self { api_key: api_key.to_owned(), ..self.clone() }
    }

    /// Sets the request timeout in milliseconds.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    fn with_headers(&self, request: RequestBuilder) -> RequestBuilder {
        request
            .header(header::AUTHORIZATION, format!("Bearer {}", self.api_key))
            .header("bilberryford-timeout-ms", self.timeout_ms)
            .timeout(Duration::from_millis(self.timeout_ms + 5_000))
    }

    /// Returns the weight version under which `prompt` yields `text`.
    fn matching_version(&self, prompt: &str, tokens: u32, text: &str) -> Option<&String> {
        let mut versions = self.weight_versions.iter();
        versions.find(|version| answer::full_text(prompt, version, tokens) == text)
    }

    /// Sends a prompt to the instance at `url` and checks the response.
    pub async fn prompt(
        &self,
        url: &str,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
    ) -> RequestResult {
        let started = Instant::now();
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream });
        let request =
            self.with_headers(self.client.post(format!("{url}/v1/completions")).json(&body));
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                return RequestResult::without_text(send_failure(&error), started, None);
            }
        };
        let run = header_text(&response, "bilberryford-run");
        if !response.status().is_success() {
            let outcome = refusal_outcome(response).await;
            return RequestResult::without_text(outcome, started, run);
        }
        let mut first_token = None;
        let text = if stream {
            read_stream(response, &mut |_| {
                first_token.get_or_insert_with(|| started.elapsed());
            })
            .await
        } else {
            read_body(response).await.ok_or(StreamError::Truncated)
        };
        let text = match text {
            Ok(text) => text,
            Err(StreamError::Truncated) => {
                return RequestResult::without_text(Outcome::Cut, started, run);
            }
            Err(StreamError::ErrorEvent(kind)) => {
                return RequestResult::without_text(Outcome::Ended { kind }, started, run);
            }
        };
        let weight_version = self.matching_version(prompt, tokens, &text).cloned();
        let outcome =
            if weight_version.is_some() { Outcome::Complete } else { Outcome::Mismatched };
        let first_token = first_token.unwrap_or_else(|| started.elapsed());
        RequestResult { outcome, first_token, run, weight_version }
    }

    /// Sends an order to the instance at `url`. The outcome is complete if the receipt names this order.
    pub async fn order(&self, url: &str, service: &str, order_key: &str) -> Outcome {
        let request =
            self.client.post(format!("{url}/services/{service}/orders")).body("{\"tins\":2}");
        let request = self.with_headers(request).header("idempotency-key", order_key);
        let Ok(response) = request.header(header::CONTENT_TYPE, "application/json").send().await
        else {
            return Outcome::Cut;
        };
        if !response.status().is_success() {
            return refusal_outcome(response).await;
        }
        match response.json::<Receipt>().await {
            Ok(receipt) if receipt.order == order_key => Outcome::Complete,
            Ok(_) => Outcome::Mismatched,
            Err(_) => Outcome::Cut,
        }
    }

    /// Resumes a run at the instance at `url` after `from` tokens and returns the rest of its text.
    pub async fn resume(&self, url: &str, run: &str, from: u32) -> Option<String> {
        let request = self
            .with_headers(self.client.get(format!("{url}/v1/runs/{run}")))
            .header("last-event-id", from);
        let response = request.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        read_stream(response, &mut |_| {}).await.ok()
    }
}

fn send_failure(error: &reqwest::Error) -> Outcome {
    if error.is_connect() { Outcome::Unreached } else { Outcome::Cut }
}

fn header_text(response: &Response, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn refusal_outcome(response: Response) -> Outcome {
    let status = response.status().as_u16();
    let ran = header_text(&response, "bilberryford-ran").unwrap_or_else(|| "unsaid".to_owned());
    let body: Value = response.json().await.unwrap_or_default();
    let kind = body["error"]["type"].as_str().unwrap_or("none").to_owned();
    Outcome::Refused { status, ran, kind }
}

async fn read_body(response: Response) -> Option<String> {
    let body: Value = response.json().await.ok()?;
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["message"]["content"].as_str())?;
    Some(text.to_owned())
}

/// The reason for which a stream ended without its end marker.
enum StreamError {
    /// The stream ended with a typed error event of this type.
    ErrorEvent(String),
    /// The connection was lost, or an event can't be parsed.
    Truncated,
}

/// Reads a stream up to its end marker and returns its text.
async fn read_stream(
    response: Response,
    on_token: &mut (dyn FnMut(&str) + Send),
) -> Result<String, StreamError> {
    let mut events = response.bytes_stream().eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| StreamError::Truncated)?;
        if event.data == "[DONE]" {
            return Ok(text);
        }
        let body: Value = serde_json::from_str(&event.data).map_err(|_| StreamError::Truncated)?;
        if let Some(kind) = body["error"]["type"].as_str() {
            return Err(StreamError::ErrorEvent(kind.to_owned()));
        }
        let choice = &body["choices"][0];
        let part = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        let part = part.ok_or(StreamError::Truncated)?;
        if !part.is_empty() {
            on_token(part);
            text.push_str(part);
        }
    }
    Err(StreamError::Truncated)
}
