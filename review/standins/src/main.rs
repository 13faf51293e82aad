//! Runs one case of the review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod deployment;
mod engine;
mod http;
mod json;
mod lease;
mod memory;
mod platform;
mod versions;
mod wall;

use std::process::ExitCode;

/// The outcome of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    // Without the disruption, the case does the same otherwise.
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = std::env::args().nth(1).unwrap_or_default();
    let outcome = match case.as_str() {
        "memory" => memory::run(trouble),
        "entry" => wall::run(wall::Change::Entry, trouble),
        "isolated" => wall::run(wall::Change::Isolated, trouble),
        "lease" => lease::run(trouble),
        "versions" => versions::run(trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match outcome {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
