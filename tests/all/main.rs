//! Tests with the real binary as separate processes, by theme.

mod support;

mod answers;
mod bad_input;
mod config;
mod membership;
mod orders;
mod path;
mod poison;
mod returning;
