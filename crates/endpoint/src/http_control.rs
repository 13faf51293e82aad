//! The adapter from [`EngineControl`] to HTTP: `PUT /control/weights` takes an order (409 for an old number), and
//! `GET /control` answers a report.

use std::{net::SocketAddr, time::Duration};

use bilberryford_types::TimeMs;
use futures::{FutureExt, future::BoxFuture};
use reqwest::{RequestBuilder, Response, StatusCode};

use crate::{ControlReport, EndpointError, EngineControl, OrderError, WeightOrder};

/// An engine's control side over HTTP.
#[derive(Debug, Clone)]
pub struct HttpControl {
    base_url: String,
    fresh: reqwest::Client,
}

impl HttpControl {
    /// The engine at `address`; `fresh` opens a connection for each call, so that none has gone silent unseen.
    pub fn new(address: SocketAddr, fresh: reqwest::Client) -> Self {
        Self { base_url: format!("http://{address}/control"), fresh }
    }
}

async fn send(request: RequestBuilder, timeout: TimeMs) -> Result<Response, EndpointError> {
    let request = request.timeout(Duration::from_millis(timeout.get()));
    request.send().await.map_err(|error| EndpointError::from_send(&error))
}

const fn refused(status: StatusCode) -> EndpointError {
    EndpointError::Refused { status: status.as_u16() }
}

impl EngineControl for HttpControl {
    fn send_order<'a>(
        &'a self,
        order: &'a WeightOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<(), OrderError>> {
        async move {
            let request = self.fresh.put(format!("{}/weights", self.base_url)).json(order);
            let status = send(request, timeout).await?.status();
            match status {
                status if status.is_success() => Ok(()),
                StatusCode::CONFLICT => Err(OrderError::StaleFencing),
                // A server error may come from something between, after the order went through.
                status if status.is_server_error() => {
                    Err(EndpointError::ResponseLost { reason: status.to_string() }.into())
                }
                status => Err(refused(status).into()),
            }
        }
        .boxed()
    }

    fn read_report(&self, timeout: TimeMs) -> BoxFuture<'_, Result<ControlReport, EndpointError>> {
        async move {
            let response = send(self.fresh.get(&self.base_url), timeout).await?;
            if !response.status().is_success() {
                return Err(refused(response.status()));
            }
            response
                .json()
                .await
                .map_err(|error| EndpointError::InvalidResponse { reason: error.to_string() })
        }
        .boxed()
    }
}
