//! End-to-end tests: instances of the real binary run as separate processes against stand-ins.

mod support;

mod admission;
mod answers;
mod bad_input;
mod command_line;
mod config;
mod cut_answers;
mod isolation;
mod leases;
mod logs;
mod membership;
mod metrics;
mod orders;
mod path;
mod poison;
mod reloads;
mod returning;
mod rollout;
mod shutdown;
mod status;
mod stores;
