//! The subcommands.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod gateway;
pub(crate) mod key_digest;
pub(crate) mod promote;
pub(crate) mod serve;
pub(crate) mod status;
pub(crate) mod timeline;

use bpaf::Bpaf;
use miette::IntoDiagnostic;

/// Serves language-model prompts that return after long gaps.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Run an entry instance; SIGTERM shuts it down after its running requests
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Run an instance on the platform that the settings file describes; SIGTERM shuts it down
    #[bpaf(command)]
    Gateway(#[bpaf(external(gateway::options))] gateway::Options),
    /// Check an environment document and show its faults; nothing is changed
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Make an environment document the accepted one, unless another one was accepted since it was edited
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::options))] apply::Options),
    /// Merge the events of running instances and log files into one ordered timeline
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::options))] timeline::Options),
    /// Copy an accepted document from one environment to another, such as from trial to production
    #[bpaf(command)]
    Promote(#[bpaf(external(promote::options))] promote::Options),
    /// Show the accepted configuration, the configuration in force and current problems
    #[bpaf(command)]
    Status(#[bpaf(external(status::options))] status::Options),
    /// Read an API key from standard input and print its digest for the document
    #[bpaf(command("key-digest"))]
    KeyDigest(#[bpaf(external(key_digest::options))] key_digest::Options),
}

/// Runs a command's future to completion on a new runtime.
pub(crate) fn block_on<T>(command: impl Future<Output = miette::Result<T>>) -> miette::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(command)
}

/// Returns a random id for a change of the configuration.
pub(crate) fn random_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Parses the command line. Exits the process after printing help or a usage error.
pub(crate) fn parse() -> Command {
    command().run()
}
