//! The entry instance: what stands between callers and endpoints.
//!
//! An instance has two halves that share one `Node`:
//!
//! * **Filters** carry one request from its first byte to its answer. The chains stand as lists in `filters.rs`; each
//!   filter has one job and either passes the request on, answers it, or refuses it with a kind from the closed table.
//! * **Controllers** keep state: the configuration in force, the members, the endpoints. Each is one task that turns
//!   what it observes (platform, peers, endpoints) into a view that filters read without waiting.
//!
//! Filters never wait for a controller, and controllers never see a request. What has to be agreed or kept goes
//! through the platform; see `docs/DESIGN.md`.

mod accept;
mod acceptor;
mod admission;
mod api;
mod config;
mod controllers;
mod events;
mod filters;
mod fleet;
mod follow;
mod in_doubt;
mod leases;
mod members;
mod metrics;
mod node;
mod observed;
mod orders;
mod pause;
mod peering;
mod placement;
mod quarantine;
mod refusal;
mod retries;
mod run;
mod server;
mod settings;
mod shutdown;
mod status;
mod stores;
mod weights;

pub use accept::{
    AcceptError, Accepted, AcceptedChange, ConfigChange, ConfigHead, PromotedFrom, accept_change,
    read_config_head,
};
pub use acceptor::NoDelayAcceptor;
pub use config::{ConfigObject, config_key, document_digest};
pub use server::{RunningInstance, ServeError, start};
pub use settings::NodeSettings;
pub use status::{
    InstanceStatus, OrderInDoubt, PoolStatus, RollOutStatus, StatusObject, StatusView, status_key,
};
