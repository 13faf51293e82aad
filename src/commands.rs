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
    /// Runs an entry instance until SIGTERM, which lets running requests finish
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Runs an instance on the platform that the settings file describes, until SIGTERM
    #[bpaf(command)]
    Gateway(#[bpaf(external(gateway::options))] gateway::Options),
    /// Checks an environment document and points at its faults; changes nothing
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Makes an environment document the accepted one, unless someone else changed it first
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::options))] apply::Options),
    /// Merges the events of running instances and log files into one ordered time line
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::options))] timeline::Options),
    /// Copies an accepted document from one environment to another, such as from trial to production
    #[bpaf(command)]
    Promote(#[bpaf(external(promote::options))] promote::Options),
    /// Shows what is accepted, what is in force and what is wrong
    #[bpaf(command)]
    Status(#[bpaf(external(status::options))] status::Options),
    /// Reads an API key from standard input and prints its digest for the document
    #[bpaf(command("key-digest"))]
    KeyDigest(#[bpaf(external(key_digest::options))] key_digest::Options),
}

/// Runs a command's work to its end.
pub(crate) fn block_on<T>(work: impl Future<Output = miette::Result<T>>) -> miette::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.into_diagnostic()?.block_on(work)
}

/// A name for a change that no other change has.
pub(crate) fn change_name() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Reads the command line; help and errors end the process.
pub(crate) fn parse() -> Command {
    command().run()
}
