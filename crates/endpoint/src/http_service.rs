//! The HTTP implementation of [`PlainService`].

use std::{net::SocketAddr, time::Duration};

use bilberryford_types::TimeMs;
use futures::{FutureExt, future::BoxFuture};
use reqwest::{Method, StatusCode, header};

use crate::{EndpointError, PlainService, ServiceCall, ServiceReply, wire::is_draining};

/// A plain service over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    base_url: String,
    pooled: reqwest::Client,
    unpooled: reqwest::Client,
}

impl HttpService {
    /// Creates a client for the service at `address`. `pooled` may reuse connections, `unpooled` must open a new one
    /// for each call.
    pub fn new(address: SocketAddr, pooled: reqwest::Client, unpooled: reqwest::Client) -> Self {
        Self { base_url: format!("http://{address}"), pooled, unpooled }
    }
}

impl PlainService for HttpService {
    fn call(
        &self,
        call: ServiceCall,
        timeout: TimeMs,
    ) -> BoxFuture<'_, Result<ServiceReply, EndpointError>> {
        async move {
            let client = if call.idempotent { &self.pooled } else { &self.unpooled };
            let method = Method::from_bytes(call.method.as_bytes())
                .map_err(|error| EndpointError::Connect { reason: error.to_string() })?;
            let mut request = client
                .request(method, format!("{}{}", self.base_url, call.path))
                .timeout(Duration::from_millis(timeout.get()))
                .header("bilberryford-team", call.team.as_str())
                .header("bilberryford-attempt", call.attempt.as_str())
                .body(call.body);
            if let Some(content_type) = call.content_type {
                request = request.header(header::CONTENT_TYPE, content_type);
            }
            if let Some(order) = &call.order {
                request = request.header("idempotency-key", order.as_str());
            }
            let response =
                request.send().await.map_err(|error| EndpointError::from_send(&error))?;
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
            let body = response
                .bytes()
                .await
                .map_err(|error| EndpointError::ResponseLost { reason: error.to_string() })?;
            Ok(ServiceReply { status, content_type, body, reported_not_run })
        }
        .boxed()
    }
}
