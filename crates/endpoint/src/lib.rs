//! Clients of what stands behind bilberryford: model engines, plain services and stores of cache blocks.
//!
//! Each outside system is met through one trait with one adapter over HTTP, and each adapter keeps its wire format in
//! one file, since a deployment's engines may differ in details.
//!
//! The errors say what is known about whether the endpoint ran the call ([`EndpointError::ran`]), because the refusals
//! that callers get must be true. A connection that could not be made has sent nothing; anything later may have run.

mod cache_feed;
mod control;
mod engine;
mod error;
mod http_cache_feed;
mod http_control;
mod http_engine;
mod http_service;
mod http_store;
pub mod kv_wire;
mod service;
mod store;
pub mod wire;

pub use cache_feed::CacheFeed;
pub use control::{ControlReport, EngineControl, OrderError, WeightOrder};
pub use engine::{Chunk, ChunkStream, GenerateCall, LoadReport, ModelEngine};
pub use error::EndpointError;
pub use http_control::HttpControl;
pub use http_engine::HttpEngine;
pub use http_service::HttpService;
pub use http_store::{HttpKvTransfer, HttpStore};
pub use service::{PlainService, ServiceCall, ServiceReply};
pub use store::{KvTransfer, StoreClient};
