//! The HTTP implementation of [`PlainService`].

use std::{net::SocketAddr, time::Duration};

use bilberryford_http::read_body;
use bilberryford_types::TimeMs;
use futures::{FutureExt, future::BoxFuture};
use reqwest::{Method, StatusCode, header};

use crate::{
    ATTEMPT_HEADER, EndpointError, PlainService, ServiceCall, ServiceReply,
    echo::{AttemptEcho, ChosenClient},
    wire::is_draining,
};

/// The longest reply of a service, in bytes, which is held until it is complete.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// A plain service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    base_url: String,
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
    echo: AttemptEcho,
}

impl HttpService {
    /// Creates a client for the service at `address`. `pooled` may reuse connections, `unpooled` must open a new one
    /// for each call.
    pub fn new(address: SocketAddr, pooled: reqwest::Client, unpooled: reqwest::Client) -> Self {
        let echo = AttemptEcho::default();
        Self { base_url: format!("http://{address}"), pooled, unpooled, echo }
    }
}

impl PlainService for HttpService {
    fn call(
        &self,
        call: ServiceCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ServiceReply, EndpointError>> {
        async move {
            let pooled = if call.idempotent { &self.pooled } else { &self.unpooled };
            let ChosenClient { client, may_be_reused } = self.echo.choose(pooled, &self.unpooled);
            let method = Method::from_bytes(call.method.as_bytes())
                .map_err(|error| EndpointError::Connect { reason: error.to_string() })?;
            let mut request = client
                .request(method, format!("{}{}", self.base_url, call.path))
                .timeout(Duration::from_millis(timeout.get()))
                .header("bilberryford-team", call.team.as_str())
                .header(ATTEMPT_HEADER, call.attempt.as_str())
                .body(call.body);
            if let Some(content_type) = call.content_type {
                request = request.header(header::CONTENT_TYPE, content_type);
            }
            if let Some(order) = &call.order {
                request = request.header("idempotency-key", order.as_str());
            }
            let response =
                request.send().await.map_err(|error| EndpointError::from_send(&error))?;
            self.echo.check(response.headers(), &call.attempt, may_be_reused)?;
            let response = EndpointError::check_status(response)?;
            let status = response.status().as_u16();
            if response.status() == StatusCode::SERVICE_UNAVAILABLE
                && is_draining(response.headers())
            {
                return Err(EndpointError::Draining);
            }
            let content_type = response
                .headers()
                .get(header::CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned);
            let reported_not_run =
                response.headers().get("bilberryford-ran").is_some_and(|value| value == "no");
            let body = read_body(response, MAX_REPLY_BYTES)
                .await
                .map_err(|error| EndpointError::ResponseLost { reason: error.to_string() })?;
            Ok(ServiceReply { status, content_type, body, reported_not_run })
        }
        .boxed()
    }
}
