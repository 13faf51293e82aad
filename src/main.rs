//! The command line of bilberryford.
//!
//! Each subcommand has a module under `commands`. This module runs the chosen one and maps its result to an exit code.

mod commands;
mod logging;
mod settings;

use std::process::ExitCode;

use commands::Command;

fn main() -> ExitCode {
    let command = commands::parse();
    let result = match command {
        Command::Serve(options) => commands::serve::run(options),
        Command::Gateway(options) => commands::gateway::run(options),
        Command::Check(options) => commands::check::run(&options),
        Command::Apply(options) => commands::apply::run(&options),
        Command::Timeline(options) => commands::timeline::run(&options),
        Command::Promote(options) => commands::promote::run(&options),
        Command::Status(options) => commands::status::run(&options),
        Command::KeyDigest(options) => commands::key_digest::run(&options),
    };
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
