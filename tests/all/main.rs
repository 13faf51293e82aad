//! Tests with the real binary as separate processes, by theme.

mod support;

mod bad_input;
mod config;
mod membership;
mod path;
