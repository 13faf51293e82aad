//! Small stand-ins of the outside systems, and the commands that load and measure bilberryford against them.
//!
//! Nothing here ships. Each outside system is one file: the platform ([`platform`]), a model engine ([`engine`]), a store of
//! cache blocks ([`store`]) and a plain service ([`service`]). A stand-in is honest about what really ran: it keeps a book
//! that tests read, and the product's own word is never taken for it. Faults are switched over HTTP at `/faults`.
//!
//! A stand-in lives on a thread with a runtime of its own ([`host`]), so that a crash can drop every socket at once.

pub mod answer;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod faults;
pub mod heartbeats;
pub mod host;
pub mod load;
pub mod orders;
pub mod overhead;
pub mod platform;
pub mod process;
pub mod returning;
pub mod run_ledger;
pub mod service;
pub mod slopes;
pub mod store;
pub mod weight_store;
