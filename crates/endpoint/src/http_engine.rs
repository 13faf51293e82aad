//! The HTTP implementation of [`ModelEngine`].

use std::{net::SocketAddr, time::Duration};

use bilberryford_types::{AttemptId, TimeMs};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::{FutureExt, Stream, StreamExt, future::BoxFuture};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{
    ATTEMPT_HEADER, Chunk, ChunkStream, EndpointError, GenerateCall, LoadReport, ModelEngine,
    echo::{AttemptEcho, ChosenClient},
    report::read_report,
    wire::{ChunkBody, CompletionBody, is_draining},
};

/// The deadline of calls that return a short report and of cancellations, in milliseconds.
const SHORT_CALL_TIMEOUT_MS: u64 = 1_000;

/// The longest line of a stream of events, in bytes: a token, or several, with their frame.
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// A model engine over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    base_url: String,
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
    echo: AttemptEcho,
}

impl HttpEngine {
    /// Creates a client for the engine at `address`. `pooled` may reuse connections, `unpooled` must open a new one for
    /// each call.
    ///
    /// Runs are resumed and cancelled through `unpooled`, because a pooled connection may be the one that stalled.
    pub fn new(address: SocketAddr, pooled: reqwest::Client, unpooled: reqwest::Client) -> Self {
        let echo = AttemptEcho::default();
        Self { base_url: format!("http://{address}"), pooled, unpooled, echo }
    }

    fn attempt_url(&self, attempt: &AttemptId) -> String {
        format!("{}/v1/attempts/{attempt}", self.base_url)
    }

    /// Reads a report of the engine at `path`.
    pub(crate) async fn read_json<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, EndpointError> {
        let request = self.pooled.get(format!("{}{path}", self.base_url));
        let response = send(request, TimeMs(SHORT_CALL_TIMEOUT_MS)).await?;
        read_report(response).await
    }
}

async fn send(request: RequestBuilder, timeout: TimeMs) -> Result<Response, EndpointError> {
    accepted(send_unchecked(request, timeout).await?)
}

async fn send_unchecked(
    request: RequestBuilder,
    timeout: TimeMs,
) -> Result<Response, EndpointError> {
    let request = request.timeout(Duration::from_millis(timeout.get()));
    request.send().await.map_err(|error| EndpointError::from_send(&error))
}

/// Returns the response if the engine began to run the request.
fn accepted(response: Response) -> Result<Response, EndpointError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(EndpointError::UnknownAttempt),
        StatusCode::CONFLICT => Err(EndpointError::VersionGone),
        StatusCode::SERVICE_UNAVAILABLE if is_draining(response.headers()) => {
            Err(EndpointError::Draining)
        }
        status if is_refusal(status) => Err(EndpointError::Refused { status: status.as_u16() }),
        // An engine that fails during a run may respond with any other status.
        status => Err(EndpointError::ResponseLost { reason: format!("status {status}") }),
    }
}

/// Returns true if the status means that the engine has rejected the request without starting it.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

/// Ends a stream of events in which one takes too many bytes. What reads the events holds a line until it ends.
fn with_bounded_lines(
    bytes: impl Stream<Item = reqwest::Result<Bytes>>,
) -> impl Stream<Item = Result<Bytes, String>> {
    let mut line_bytes = 0;
    bytes.map(move |chunk| {
        let chunk = chunk.map_err(|error| error.to_string())?;
        line_bytes = match chunk.iter().rposition(|byte| *byte == b'\n') {
            Some(end) => chunk.len() - end - 1,
            None => line_bytes + chunk.len(),
        };
        if line_bytes > MAX_LINE_BYTES {
            return Err(format!("an event is longer than {MAX_LINE_BYTES} bytes"));
        }
        Ok(chunk)
    })
}

fn chunk_stream(response: Response) -> ChunkStream {
    with_bounded_lines(response.bytes_stream())
        .eventsource()
        .map(|event| {
            let event =
                event.map_err(|error| EndpointError::ResponseLost { reason: error.to_string() })?;
            let body: ChunkBody = serde_json::from_str(&event.data)
                .map_err(|error| EndpointError::InvalidResponse { reason: error.to_string() })?;
            parse_chunk(body)
        })
        .boxed()
}

fn parse_chunk(body: ChunkBody) -> Result<Chunk, EndpointError> {
    match (body.index, body.end) {
        (Some(index), None) => Ok(Chunk::Token { attempt: body.attempt, index, text: body.text }),
        (None, Some(end)) => Ok(Chunk::End {
            attempt: body.attempt,
            tokens: end.tokens,
            cached_tokens: end.cached_tokens,
            prompt_tokens: end.prompt_tokens,
        }),
        _ => Err(EndpointError::InvalidResponse {
            reason: "an event that is neither a token nor an end".to_owned(),
        }),
    }
}

impl ModelEngine for HttpEngine {
    fn generate(
        &self,
        call: GenerateCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ChunkStream, EndpointError>> {
        async move {
            let body = CompletionBody {
                model: call.model,
                prompt: call.prompt.to_string(),
                max_tokens: call.max_tokens,
                stream: true,
                attempt: call.attempt,
                team: call.team,
                weight_version: call.weight_version,
                priority: call.priority,
                skip_tokens: call.skip_tokens,
                given: call.skipped_text.to_string(),
            };
            let ChosenClient { client, may_be_reused } =
                self.echo.choose(&self.pooled, &self.unpooled);
            let request = client
                .post(format!("{}/v1/completions", self.base_url))
                .header(ATTEMPT_HEADER, body.attempt.as_str())
                .json(&body);
            let response = send_unchecked(request, timeout).await?;
            // A late copy of another attempt's refusal says nothing of this one.
            self.echo.check(response.headers(), &body.attempt, may_be_reused)?;
            match accepted(response) {
                Ok(response) => Ok(chunk_stream(response)),
                Err(EndpointError::UnknownAttempt) => {
                    Err(EndpointError::Refused { status: StatusCode::NOT_FOUND.as_u16() })
                }
                Err(error) => Err(error),
            }
        }
        .boxed()
    }

    fn resume<'a>(
        &'a self,
        attempt: &'a AttemptId,
        from: u32,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ChunkStream, EndpointError>> {
        async move {
            let url = format!("{}?from={from}", self.attempt_url(attempt));
            send(self.unpooled.get(url), timeout).await.map(chunk_stream)
        }
        .boxed()
    }

    fn cancel<'a>(&'a self, attempt: &'a AttemptId) -> BoxFuture<'a, Result<(), EndpointError>> {
        async move {
            let request = self.unpooled.delete(self.attempt_url(attempt));
            send(request, TimeMs(SHORT_CALL_TIMEOUT_MS)).await.map(drop)
        }
        .boxed()
    }

    fn load(&self) -> BoxFuture<'_, Result<LoadReport, EndpointError>> {
        async move { self.read_json("/load").await }.boxed()
    }
}
