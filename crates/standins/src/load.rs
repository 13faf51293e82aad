//! Callers: they send prompts and orders and check what comes back, byte for byte.

use std::time::{Duration, Instant};

use eventsource_stream::Eventsource;
use futures::StreamExt;
use reqwest::{RequestBuilder, Response, header};
use serde_json::{Value, json};

use crate::{answer, service::Receipt};

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to what was asked.
    Complete,
    /// An answer to something else.
    Mismatched,
    /// A refusal, with what it said about having run.
    Refused {
        /// The HTTP status.
        status: u16,
        /// `no`, `maybe` or `yes`.
        ran: String,
        /// The kind of error.
        kind: String,
    },
    /// The connection was lost, or the answer ended without its end marker.
    Cut,
    /// The answer began and ended with a typed error.
    Ended {
        /// The kind of error.
        kind: String,
    },
    /// No connection could be made; nothing was sent.
    Unreached,
}

/// What a caller saw of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestResult {
    /// How it ended.
    pub outcome: Outcome,
    /// From sending to the first token, or to the end when nothing came.
    pub first_token: Duration,
    /// The run's name, where the answer had one.
    pub run: Option<String>,
    /// The weight version that gave a whole answer.
    pub weight_version: Option<String>,
}

impl RequestResult {
    fn without_answer(outcome: Outcome, started: Instant, run: Option<String>) -> Self {
        Self { outcome, first_token: started.elapsed(), run, weight_version: None }
    }
}

/// A caller of one team.
#[derive(Debug, Clone)]
pub struct Caller {
    client: reqwest::Client,
    api_key: String,
    weight_versions: Vec<String>,
    timeout_ms: u64,
}

impl Caller {
    /// A caller with an API key that accepts answers of any of `weight_versions`.
    pub fn new(client: reqwest::Client, api_key: &str, weight_versions: &[&str]) -> Self {
        let weight_versions = weight_versions.iter().map(|version| (*version).to_owned()).collect();
        Self { client, api_key: api_key.to_owned(), weight_versions, timeout_ms: 10_000 }
    }

    /// A caller like this one with another API key.
    pub fn as_team(&self, api_key: &str) -> Self {
        Self { api_key: api_key.to_owned(), ..self.clone() }
    }

    /// Sets how long the caller waits.
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    fn headers(&self, request: RequestBuilder) -> RequestBuilder {
        request
            .header(header::AUTHORIZATION, format!("Bearer {}", self.api_key))
            .header("bilberryford-timeout-ms", self.timeout_ms)
            .timeout(Duration::from_millis(self.timeout_ms + 5_000))
    }

    /// The weight version whose answer `text` is.
    fn version_of(&self, prompt: &str, tokens: u32, text: &str) -> Option<&String> {
        let mut versions = self.weight_versions.iter();
        versions.find(|version| answer::full_text(prompt, version, tokens) == text)
    }

    /// Sends a prompt to the instance at `url` and checks the answer.
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
        let request = self.headers(self.client.post(format!("{url}/v1/completions")).json(&body));
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                return RequestResult::without_answer(lost(&error), started, None);
            }
        };
        let run = header_text(&response, "bilberryford-run");
        if !response.status().is_success() {
            let outcome = refusal(response).await;
            return RequestResult::without_answer(outcome, started, run);
        }
        let mut first_token = None;
        let text = if stream {
            read_stream(response, &mut |_| {
                first_token.get_or_insert_with(|| started.elapsed());
            })
            .await
        } else {
            read_whole(response).await.ok_or(Short::Cut)
        };
        let text = match text {
            Ok(text) => text,
            Err(Short::Cut) => return RequestResult::without_answer(Outcome::Cut, started, run),
            Err(Short::Ended(kind)) => {
                return RequestResult::without_answer(Outcome::Ended { kind }, started, run);
            }
        };
        let weight_version = self.version_of(prompt, tokens, &text).cloned();
        let outcome =
            if weight_version.is_some() { Outcome::Complete } else { Outcome::Mismatched };
        let first_token = first_token.unwrap_or_else(|| started.elapsed());
        RequestResult { outcome, first_token, run, weight_version }
    }

    /// Places an order at the instance at `url`; whole means that the receipt names the order.
    pub async fn order(&self, url: &str, service: &str, order_key: &str) -> Outcome {
        let request =
            self.client.post(format!("{url}/services/{service}/orders")).body("{\"tins\":2}");
        let request = self.headers(request).header("idempotency-key", order_key);
        let Ok(response) = request.header(header::CONTENT_TYPE, "application/json").send().await
        else {
            return Outcome::Cut;
        };
        if !response.status().is_success() {
            return refusal(response).await;
        }
        match response.json::<Receipt>().await {
            Ok(receipt) if receipt.order == order_key => Outcome::Complete,
            Ok(_) => Outcome::Mismatched,
            Err(_) => Outcome::Cut,
        }
    }

    /// Picks a run up at the instance at `url` after `from` tokens; the text that was missing.
    pub async fn resume(&self, url: &str, run: &str, from: u32) -> Option<String> {
        let request = self
            .headers(self.client.get(format!("{url}/v1/runs/{run}")))
            .header("last-event-id", from);
        let response = request.send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        read_stream(response, &mut |_| {}).await.ok()
    }
}

fn lost(error: &reqwest::Error) -> Outcome {
    if error.is_connect() { Outcome::Unreached } else { Outcome::Cut }
}

fn header_text(response: &Response, name: &str) -> Option<String> {
    Some(response.headers().get(name)?.to_str().ok()?.to_owned())
}

async fn refusal(response: Response) -> Outcome {
    let status = response.status().as_u16();
    let ran = header_text(&response, "bilberryford-ran").unwrap_or_else(|| "unsaid".to_owned());
    let body: Value = response.json().await.unwrap_or_default();
    let kind = body["error"]["type"].as_str().unwrap_or("none").to_owned();
    Outcome::Refused { status, ran, kind }
}

async fn read_whole(response: Response) -> Option<String> {
    let body: Value = response.json().await.ok()?;
    let choice = &body["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["message"]["content"].as_str())?;
    Some(text.to_owned())
}

/// How a stream stopped short of its end marker.
enum Short {
    /// It ended with a typed error event.
    Ended(String),
    /// Its connection was lost, or it can't be read.
    Cut,
}

/// The text of a stream that ended with its end marker.
async fn read_stream(
    response: Response,
    on_token: &mut (dyn FnMut(&str) + Send),
) -> Result<String, Short> {
    let mut events = response.bytes_stream().eventsource();
    let mut text = String::new();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| Short::Cut)?;
        if event.data == "[DONE]" {
            return Ok(text);
        }
        let body: Value = serde_json::from_str(&event.data).map_err(|_| Short::Cut)?;
        if let Some(kind) = body["error"]["type"].as_str() {
            return Err(Short::Ended(kind.to_owned()));
        }
        let choice = &body["choices"][0];
        let part = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
        let part = part.ok_or(Short::Cut)?;
        if !part.is_empty() {
            on_token(part);
            text.push_str(part);
        }
    }
    Err(Short::Cut)
}
