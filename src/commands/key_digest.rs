//! `bilberryford key-digest`: the digest under which an API key stands in a document.

use bilberryford_document::key_digest;
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

/// Settings of `key-digest`; the key comes from standard input, so that it reaches no shell history.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {}

/// Prints the digest.
pub(crate) fn run(_options: &Options) -> Result<()> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).into_diagnostic()?;
    let key = key.trim();
    if key.is_empty() {
        return Err(miette!("standard input held no key"));
    }
    println!("{}", key_digest(key));
    Ok(())
}
