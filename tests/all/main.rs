//! Tests with the real binary as separate processes, by theme.

mod support;

mod admission;
mod answers;
mod bad_input;
mod command_line;
mod config;
mod leases;
mod logs;
mod membership;
mod metrics;
mod orders;
mod path;
mod poison;
mod returning;
mod rollout;
mod shutdown;
mod status;
mod stores;
