//! The HTTP implementations of [`StoreClient`] and [`KvTransfer`].

use std::{net::SocketAddr, time::Duration};

use bilberryford_types::{Digest, TimeMs};
use futures::{FutureExt, future::BoxFuture};
use reqwest::RequestBuilder;
use serde::de::DeserializeOwned;

use crate::{
    EndpointError, KvTransfer, StoreClient,
    kv_wire::{
        ExportOrder, ExportReport, ImportOrder, ImportReport, LookUpBody, StoreUsage, StoredExport,
    },
    report::read_report,
};

/// A store of cache blocks over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    base_url: String,
    client: reqwest::Client,
}

impl HttpStore {
    /// Creates a client for the store at `address`.
    pub fn new(address: SocketAddr, client: reqwest::Client) -> Self {
        Self { base_url: format!("http://{address}"), client }
    }
}

impl StoreClient for HttpStore {
    fn look_up<'a>(
        &'a self,
        blocks: &'a [Digest],
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<Vec<StoredExport>, EndpointError>> {
        let body = LookUpBody { blocks: blocks.to_vec() };
        call(self.client.post(format!("{}/manifests", self.base_url)).json(&body), timeout).boxed()
    }

    fn usage(&self, timeout: TimeMs) -> BoxFuture<'_, Result<StoreUsage, EndpointError>> {
        call(self.client.get(format!("{}/usage", self.base_url)), timeout).boxed()
    }
}

/// The block transfers of an engine, ordered over HTTP.
#[derive(Debug, Clone)]
pub struct HttpKvTransfer {
    base_url: String,
    client: reqwest::Client,
}

impl HttpKvTransfer {
    /// Creates a client for the engine at `address`.
    pub fn new(address: SocketAddr, client: reqwest::Client) -> Self {
        Self { base_url: format!("http://{address}"), client }
    }
}

impl KvTransfer for HttpKvTransfer {
    fn import<'a>(
        &'a self,
        order: &'a ImportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ImportReport, EndpointError>> {
        call(self.client.post(format!("{}/kv/import", self.base_url)).json(order), timeout).boxed()
    }

    fn export<'a>(
        &'a self,
        order: &'a ExportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ExportReport, EndpointError>> {
        call(self.client.post(format!("{}/kv/export", self.base_url)).json(order), timeout).boxed()
    }
}

/// Makes one call. `timeout` includes reading the body of the response.
async fn call<T: DeserializeOwned>(
    request: RequestBuilder,
    timeout: TimeMs,
) -> Result<T, EndpointError> {
    let request = request.timeout(Duration::from_millis(timeout.get()));
    let response = request.send().await.map_err(|error| EndpointError::from_send(&error))?;
    let status = response.status();
    if status.is_client_error() {
        return Err(EndpointError::Refused { status: status.as_u16() });
    }
    if !status.is_success() {
        return Err(EndpointError::ResponseLost { reason: format!("status {status}") });
    }
    read_report(response).await
}
