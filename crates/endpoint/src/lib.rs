//! Clients of the systems behind bilberryford: model engines, plain services and stores of cache blocks.
//!
//! Each external system has one trait and one implementation over HTTP. The wire formats are defined in [`wire`] and
//! [`kv_wire`] only, because the engines of a deployment may differ in details.
//!
//! Each error reports whether the endpoint may have run the call ([`EndpointError::ran`]), because a refusal must not
//! tell a caller that a request was not run if it may have been. A call without a connection or with an explicit
//! refusal has not run; after any other error it may have run.

mod cache_feed;
mod control;
mod echo;
mod engine;
mod error;
mod http_cache_feed;
mod http_control;
mod http_engine;
mod http_service;
mod http_store;
pub mod kv_wire;
mod report;
mod service;
mod store;
pub mod wire;

pub use cache_feed::CacheFeed;
pub use control::{ControlReport, EngineControl, OrderError, WeightOrder};
pub use echo::ATTEMPT_HEADER;
pub use engine::{Chunk, ChunkStream, GenerateCall, LoadReport, ModelEngine};
pub use error::EndpointError;
pub use http_control::HttpControl;
pub use http_engine::HttpEngine;
pub use http_service::HttpService;
pub use http_store::{HttpKvTransfer, HttpStore};
pub use service::{PlainService, ServiceCall, ServiceReply};
pub use store::{KvTransfer, StoreClient};
