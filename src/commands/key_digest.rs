//! `bilberryford key-digest`: prints the digest that a document contains for an API key.

use bilberryford_document::key_digest;
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, miette};

/// Options of `key-digest`. The key is read from standard input, so that it stays out of the shell history.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {}

/// Reads an API key from standard input and prints its digest.
pub(crate) fn run(_options: &Options) -> Result<()> {
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).into_diagnostic()?;
    let key = key.trim();
    if key.is_empty() {
        return Err(miette!("there is no API key on standard input"));
    }
    println!("{}", key_digest(key));
    Ok(())
}
