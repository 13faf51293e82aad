//! Small stand-ins for the outside systems, and the commands that load and measure bilberryford against them.
//!
//! Nothing here ships. Each outside system is one module: the platform ([`platform`]), a model engine ([`engine`]), a
//! store of cache blocks ([`store`]) and a plain service ([`service`]). Each stand-in counts what it executed, and tests
//! check those counts rather than what bilberryford reports about itself. Faults are set over HTTP at `/faults`.
//!
//! A stand-in runs on a thread with its own runtime ([`host`]), so that a crash can drop every socket at once.

mod acceptor;
pub mod answer;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod heartbeats;
pub mod host;
pub mod load;
pub mod misbehaving;
pub mod orders;
pub mod overhead;
pub mod persistent;
pub mod platform;
pub mod process;
pub mod returning;
pub mod run_ledger;
pub mod service;
pub mod slopes;
pub mod store;
pub mod weight_store;
