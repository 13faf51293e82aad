//! The HTTP implementation of [`EngineControl`].
//!
//! `PUT /control/weights` sends an order; the response is 409 for a stale fencing number. `GET /control` returns a
//! report.

use std::{net::SocketAddr, time::Duration};

use bilberryford_types::TimeMs;
use futures::{FutureExt, future::BoxFuture};
use reqwest::{RequestBuilder, Response, StatusCode};

use crate::{
    ControlReport, EndpointError, EngineControl, OrderError, WeightOrder, report::read_report,
};

/// The control interface of an engine over HTTP.
#[derive(Debug, Clone)]
pub struct HttpControl {
    base_url: String,
    unpooled: reqwest::Client,
}

impl HttpControl {
    /// Creates a client for the engine at `address`. `unpooled` must open a new connection for each call, because the
    /// other end of an idle connection may have gone away unnoticed.
    pub fn new(address: SocketAddr, unpooled: reqwest::Client) -> Self {
        Self { base_url: format!("http://{address}/control"), unpooled }
    }
}

async fn send(request: RequestBuilder, timeout: TimeMs) -> Result<Response, EndpointError> {
    let request = request.timeout(Duration::from_millis(timeout.get()));
    let response = request.send().await.map_err(|error| EndpointError::from_send(&error))?;
    EndpointError::check_status(response)
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
            let request = self.unpooled.put(format!("{}/weights", self.base_url)).json(order);
            let status = send(request, timeout).await?.status();
            match status {
                status if status.is_success() => Ok(()),
                StatusCode::CONFLICT => Err(OrderError::StaleFencing),
                // An intermediary may send a server error after it has forwarded the order.
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
            let response = send(self.unpooled.get(&self.base_url), timeout).await?;
            if !response.status().is_success() {
                return Err(refused(response.status()));
            }
            read_report(response).await
        }
        .boxed()
    }
}
