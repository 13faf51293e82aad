//! The adapter from the traits to HTTP.

use std::time::Duration;

use bilberryford_types::{ObjectVersion, TimeMs};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use reqwest::{
    RequestBuilder, Response, StatusCode,
    header::{self, HeaderValue},
};
use serde::de::DeserializeOwned;

use crate::{
    Change, Changes, InstanceList, InstanceRecord, Object, ObjectKey, ObjectKind, ObjectStore,
    PlatformError, PlatformTraffic, Precondition,
    traffic::TrafficCounters,
    wire::{InstancesBody, ListBody, entity_tag, parse_entity_tag},
};

/// Settings of [`HttpPlatform`].
#[derive(Debug, Clone)]
pub struct HttpPlatformConfig {
    base_url: String,
    timeout: TimeMs,
}

impl HttpPlatformConfig {
    /// Settings for the platform at `base_url`, such as `http://127.0.0.1:9000`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self { base_url: base_url.into().trim_end_matches('/').to_owned(), timeout: TimeMs(1_000) }
    }

    /// Sets the deadline of each call.
    pub fn timeout(mut self, timeout: TimeMs) -> Self {
        self.timeout = timeout;
        self
    }
}

/// The platform over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    config: HttpPlatformConfig,
    client: reqwest::Client,
    listed: Mutex<Option<Listed>>,
    traffic: TrafficCounters,
}

/// The list of instances as last read, so that an unchanged one is not sent again.
#[derive(Debug, Clone)]
struct Listed {
    entity_tag: HeaderValue,
    instances: Vec<InstanceRecord>,
}

impl HttpPlatform {
    /// A client with the given settings; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Refused`] when the HTTP client can't be set up.
    pub fn new(config: HttpPlatformConfig) -> Result<Self, PlatformError> {
        let client = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(config.timeout.get()))
            .pool_idle_timeout(Duration::from_secs(10))
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
        Ok(Self { config, client, listed: Mutex::default(), traffic: TrafficCounters::default() })
    }

    /// What was exchanged so far.
    pub fn traffic(&self) -> PlatformTraffic {
        self.traffic.read()
    }

    fn object_url(&self, key: &ObjectKey) -> String {
        format!("{}/objects/{key}", self.config.base_url)
    }

    async fn send(
        &self,
        request: RequestBuilder,
        extra_wait: TimeMs,
    ) -> Result<Response, PlatformError> {
        let timeout = self.config.timeout.after(extra_wait);
        let request = request
            .timeout(Duration::from_millis(timeout.get()))
            .build()
            .map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
        self.traffic.sent(&request);
        let response = self.client.execute(request).await.map_err(|error| send_error(&error))?;
        self.traffic.answered(&response);
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(response),
            StatusCode::PRECONDITION_FAILED => {
                Err(PlatformError::Conflict { current: version_of(&response) })
            }
            StatusCode::GONE => Err(PlatformError::Compacted),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::NotApplied { reason: format!("status {}", response.status()) })
            }
            status if status.is_server_error() => {
                Err(PlatformError::Unknown { reason: format!("status {status}") })
            }
            status => Err(PlatformError::Refused { reason: format!("status {status}") }),
        }
    }

    async fn list_body(&self, url: String, extra_wait: TimeMs) -> Result<ListBody, PlatformError> {
        let response = self.send(self.client.get(url), extra_wait).await?;
        self.json(response).await
    }

    async fn bytes(&self, response: Response) -> Result<Bytes, PlatformError> {
        let unknown = |error: reqwest::Error| PlatformError::Unknown { reason: error.to_string() };
        let body = response.bytes().await.map_err(unknown)?;
        self.traffic.received(body.len());
        Ok(body)
    }

    async fn json<T: DeserializeOwned>(&self, response: Response) -> Result<T, PlatformError> {
        let body = self.bytes(response).await?;
        serde_json::from_slice(&body)
            .map_err(|error| PlatformError::Unknown { reason: error.to_string() })
    }
}

fn send_error(error: &reqwest::Error) -> PlatformError {
    let reason = error.to_string();
    if error.is_connect() {
        PlatformError::NotApplied { reason }
    } else {
        PlatformError::Unknown { reason }
    }
}

fn version_of(response: &Response) -> ObjectVersion {
    response
        .headers()
        .get(header::ETAG)
        .and_then(|tag| tag.to_str().ok())
        .and_then(parse_entity_tag)
        .unwrap_or(ObjectVersion::ABSENT)
}

fn with_precondition(request: RequestBuilder, precondition: Precondition) -> RequestBuilder {
    match precondition {
        Precondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
        Precondition::Version(version) => request.header(header::IF_MATCH, entity_tag(version)),
    }
}

impl ObjectStore for HttpPlatform {
    fn get<'a>(
        &'a self,
        key: &'a ObjectKey,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        async move {
            let response = self.send(self.client.get(self.object_url(key)), TimeMs(0)).await?;
            if response.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            let version = version_of(&response);
            if version == ObjectVersion::ABSENT {
                return Err(PlatformError::Refused {
                    reason: "no version in the answer".to_owned(),
                });
            }
            let body = self.bytes(response).await?;
            Ok(Some(Object { name: key.name.clone(), version, body }))
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        key: &'a ObjectKey,
        precondition: Precondition,
        body: Bytes,
    ) -> BoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        async move {
            let request = with_precondition(self.client.put(self.object_url(key)), precondition);
            let response = self.send(request.body(body), TimeMs(0)).await?;
            match response.status() {
                StatusCode::NOT_FOUND => {
                    Err(PlatformError::Conflict { current: ObjectVersion::ABSENT })
                }
                _ => match version_of(&response) {
                    ObjectVersion::ABSENT => Err(PlatformError::Unknown {
                        reason: "no version in the answer".to_owned(),
                    }),
                    version => Ok(version),
                },
            }
        }
        .boxed()
    }

    fn delete<'a>(
        &'a self,
        key: &'a ObjectKey,
        version: ObjectVersion,
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        async move {
            let request = self.client.delete(self.object_url(key));
            self.send(with_precondition(request, Precondition::Version(version)), TimeMs(0))
                .await?;
            Ok(())
        }
        .boxed()
    }

    fn list<'a>(
        &'a self,
        kind: ObjectKind,
        prefix: &'a str,
    ) -> BoxFuture<'a, Result<(ObjectVersion, Vec<Object>), PlatformError>> {
        async move {
            let url = format!("{}/objects/{kind}?prefix={prefix}", self.config.base_url);
            let body = self.list_body(url, TimeMs(0)).await?;
            let objects = body
                .items
                .into_iter()
                .filter_map(|item| {
                    let body = Bytes::from(item.body?);
                    Some(Object { name: item.name, version: item.version, body })
                })
                .collect();
            Ok((body.version, objects))
        }
        .boxed()
    }

    fn watch(
        &self,
        kind: ObjectKind,
        after: ObjectVersion,
        wait: TimeMs,
    ) -> BoxFuture<'_, Result<Changes, PlatformError>> {
        async move {
            let base_url = &self.config.base_url;
            let url = format!("{base_url}/watch/{kind}?after={after}&wait_ms={}", wait.get());
            let body = self.list_body(url, wait).await?;
            let changes = body
                .items
                .into_iter()
                .map(|item| Change {
                    name: item.name,
                    version: item.version,
                    body: item.body.map(Bytes::from),
                })
                .collect();
            Ok(Changes { version: body.version, changes })
        }
        .boxed()
    }
}

impl InstanceList for HttpPlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<InstanceRecord>, PlatformError>> {
        async move {
            let mut request = self.client.get(format!("{}/instances", self.config.base_url));
            let listed = self.listed.lock().clone();
            if let Some(listed) = &listed {
                request = request.header(header::IF_NONE_MATCH, listed.entity_tag.clone());
            }
            let response = self.send(request, TimeMs(0)).await?;
            if response.status() == StatusCode::NOT_MODIFIED {
                return Ok(listed.map(|listed| listed.instances).unwrap_or_default());
            }
            let entity_tag = response.headers().get(header::ETAG).cloned();
            let body: InstancesBody = self.json(response).await?;
            let instances = body.instances;
            let kept = |entity_tag| Listed { entity_tag, instances: instances.clone() };
            *self.listed.lock() = entity_tag.map(kept);
            Ok(instances)
        }
        .boxed()
    }
}
