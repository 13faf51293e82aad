//! The entry instance: the process that callers connect to and that forwards their requests to endpoints.
//!
//! An instance has two halves that share one `Node`:
//!
//! * **Filters** process one request from its arrival to its response. `filters.rs` lists the chains; each filter does
//!   one step and either passes the request on, responds to it, or refuses it with an [`ErrorKind`].
//! * **Controllers** maintain state: the configuration in force, the members, the endpoints. Each is one task that
//!   turns its observations of the platform, peers and endpoints into a view that filters read without blocking.
//!
//! Filters never wait for a controller, and controllers never see a request. State that instances must agree on or
//! that must be durable is stored on the platform; see `docs/DESIGN.md`.
//!
//! [`ErrorKind`]: bilberryford_types::ErrorKind

mod accept;
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
pub use config::{ConfigObject, config_key, document_digest};
pub use server::{RunningInstance, ServeError, start};
pub use settings::NodeSettings;
pub use status::{
    InstanceStatus, OrderInDoubt, PoolStatus, RollOutStatus, StatusObject, StatusView, status_key,
};
