//! The subcommands.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod key_digest;
pub(crate) mod serve;
pub(crate) mod timeline;

use bpaf::Bpaf;

/// Serves language-model prompts that return after long gaps.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Runs an entry instance until SIGTERM
    #[bpaf(command)]
    Serve(#[bpaf(external(serve::options))] serve::Options),
    /// Checks an environment document and points at its faults
    #[bpaf(command)]
    Check(#[bpaf(external(check::options))] check::Options),
    /// Makes an environment document the accepted one, unless someone else changed it first
    #[bpaf(command)]
    Apply(#[bpaf(external(apply::options))] apply::Options),
    /// Merges the events of log files and running instances into one ordered time line
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline::options))] timeline::Options),
    /// Reads an API key from standard input and prints its digest for the document
    #[bpaf(command("key-digest"))]
    KeyDigest(#[bpaf(external(key_digest::options))] key_digest::Options),
}

/// Reads the command line; help and errors end the process.
pub(crate) fn parse() -> Command {
    command().run()
}
