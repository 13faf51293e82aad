//! The HTTP implementation of the platform's traits.

use std::time::Duration;

use bilberryford_http::{BodyError, has_unreadable, is_final_status, read_body, readable_text};
use bilberryford_types::{ObjectVersion, TimeMs};
use bytes::Bytes;
use futures::{FutureExt, future::BoxFuture};
use parking_lot::Mutex;
use reqwest::{
    RequestBuilder, Response, StatusCode,
    header::{self, HeaderValue},
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use crate::{
    Change, Changes, InstanceList, InstanceRecord, Object, ObjectKey, ObjectKind, ObjectStore,
    PlatformError, PlatformTraffic, Precondition,
    traffic::TrafficCounters,
    wire::{ListItem, entity_tag, parse_entity_tag},
};

/// The longest reply of the platform, in bytes: some objects of the largest size.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Settings of [`HttpPlatform`].
#[derive(Debug, Clone)]
pub struct HttpPlatformConfig {
    base_url: String,
    timeout: TimeMs,
}

impl HttpPlatformConfig {
    /// Creates settings for the platform at `base_url`, such as `http://127.0.0.1:9000`.
    pub fn new(base_url: impl Into<String>) -> Self {
        Self { base_url: base_url.into().trim_end_matches('/').to_owned(), timeout: TimeMs(1_000) }
    }

    /// Sets the deadline of each call. The deadline of a watch is this time on top of its wait.
    pub fn timeout(mut self, timeout: TimeMs) -> Self {
        self.timeout = timeout;
        self
    }
}

/// A client of the platform over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    config: HttpPlatformConfig,
    client: reqwest::Client,
    cached_list: Mutex<Option<CachedList>>,
    traffic: TrafficCounters,
}

/// The list of instances as last read. Its entity tag spares the platform from sending an unchanged list again.
#[derive(Debug, Clone)]
struct CachedList {
    entity_tag: HeaderValue,
    instances: Vec<InstanceRecord>,
}

/// The response to a list or a watch, with items that others wrote and that may be odd.
#[derive(Debug, Deserialize)]
struct RawListBody {
    version: ObjectVersion,
    items: Vec<Box<RawValue>>,
}

/// The response to a read of the list of instances, with rows that may be odd.
#[derive(Debug, Deserialize)]
struct RawInstancesBody {
    instances: Vec<Box<RawValue>>,
}

/// Decodes the items that can be decoded, and logs the others.
fn decode_each<T: DeserializeOwned>(items: Vec<Box<RawValue>>, subject: &'static str) -> Vec<T> {
    let decode = |item: &RawValue| {
        if has_unreadable(item.get()) {
            log::warn!(subject = subject; "entry with bytes that are no text left out");
            return None;
        }
        serde_json::from_str(item.get())
            .inspect_err(
                |error| log::warn!(subject = subject, error:% = error; "odd entry left out"),
            )
            .ok()
    };
    items.iter().filter_map(|item| decode(item)).collect()
}

impl HttpPlatform {
    /// Creates a client. Nothing is sent yet.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Refused`] if the HTTP client can't be built.
    pub fn new(config: HttpPlatformConfig) -> Result<Self, PlatformError> {
        let client = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(config.timeout.get()))
            .pool_idle_timeout(Duration::from_secs(10))
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
        Ok(Self {
            config,
            client,
            cached_list: Mutex::default(),
            traffic: TrafficCounters::default(),
        })
    }

    /// Returns the traffic with the platform since this client was created.
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
        self.traffic.record_request(&request);
        let response =
            self.client.execute(request).await.map_err(|error| to_platform_error(&error))?;
        self.traffic.record_response(&response);
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(response),
            StatusCode::PRECONDITION_FAILED => {
                Err(PlatformError::Conflict { current: response_version(&response) })
            }
            StatusCode::GONE => Err(PlatformError::Compacted),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(PlatformError::NotApplied { reason: format!("status {}", response.status()) })
            }
            status if status.is_server_error() || !is_final_status(status) => {
                Err(PlatformError::Unknown { reason: format!("status {status}") })
            }
            status => Err(PlatformError::Refused { reason: format!("status {status}") }),
        }
    }

    async fn get_list(
        &self,
        url: String,
        extra_wait: TimeMs,
    ) -> Result<(ObjectVersion, Vec<ListItem>), PlatformError> {
        let response = self.send(self.client.get(url), extra_wait).await?;
        let body: RawListBody = self.read_json(response).await?;
        Ok((body.version, decode_each(body.items, "object")))
    }

    async fn read_body(&self, response: Response) -> Result<Bytes, PlatformError> {
        let unknown = |error: BodyError| PlatformError::Unknown { reason: error.to_string() };
        let body = read_body(response, MAX_BODY_BYTES).await.map_err(unknown)?;
        self.traffic.record_received(body.len());
        Ok(body)
    }

    async fn read_json<T: DeserializeOwned>(&self, response: Response) -> Result<T, PlatformError> {
        let body = self.read_body(response).await?;
        serde_json::from_str(&readable_text(&body))
            .map_err(|error| PlatformError::Unknown { reason: error.to_string() })
    }
}

fn to_platform_error(error: &reqwest::Error) -> PlatformError {
    let reason = error.to_string();
    if error.is_connect() {
        PlatformError::NotApplied { reason }
    } else {
        PlatformError::Unknown { reason }
    }
}

/// Returns the version in the response's entity tag, or [`ObjectVersion::ABSENT`] if there is none.
fn response_version(response: &Response) -> ObjectVersion {
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
            let version = response_version(&response);
            if version == ObjectVersion::ABSENT {
                return Err(PlatformError::Refused {
                    reason: "no version in the answer".to_owned(),
                });
            }
            let body = self.read_body(response).await?;
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
                _ => {
                    let version = response_version(&response);
                    // A response that breaks off may have come before the object was read.
                    self.read_body(response).await?;
                    match version {
                        ObjectVersion::ABSENT => Err(PlatformError::Unknown {
                            reason: "no version in the answer".to_owned(),
                        }),
                        version => Ok(version),
                    }
                }
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
            let (version, items) = self.get_list(url, TimeMs(0)).await?;
            let objects = items
                .into_iter()
                .filter_map(|item| {
                    let body = Bytes::from(item.body?);
                    Some(Object { name: item.name, version: item.version, body })
                })
                .collect();
            Ok((version, objects))
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
            let (version, items) = self.get_list(url, wait).await?;
            let changes = items
                .into_iter()
                .map(|item| Change {
                    name: item.name,
                    version: item.version,
                    body: item.body.map(Bytes::from),
                })
                .collect();
            Ok(Changes { version, changes })
        }
        .boxed()
    }
}

impl InstanceList for HttpPlatform {
    fn instances(&self) -> BoxFuture<'_, Result<Vec<InstanceRecord>, PlatformError>> {
        async move {
            let mut request = self.client.get(format!("{}/instances", self.config.base_url));
            let cached = self.cached_list.lock().clone();
            if let Some(cached) = &cached {
                request = request.header(header::IF_NONE_MATCH, cached.entity_tag.clone());
            }
            let response = self.send(request, TimeMs(0)).await?;
            if response.status() == StatusCode::NOT_MODIFIED {
                return Ok(cached.map(|cached| cached.instances).unwrap_or_default());
            }
            let entity_tag = response.headers().get(header::ETAG).cloned();
            let body: RawInstancesBody = self.read_json(response).await?;
            let instances: Vec<InstanceRecord> = decode_each(body.instances, "instance");
            let to_cache = |entity_tag| CachedList { entity_tag, instances: instances.clone() };
            *self.cached_list.lock() = entity_tag.map(to_cache);
            Ok(instances)
        }
        .boxed()
    }
}
