//! `bilberryford check`: validates an environment document.

use std::{fs, path::PathBuf};

use bilberryford_document::Document;
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, WrapErr};

/// Options of `check`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// Environment document, a TOML file such as examples/demo.toml
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Prints a summary of the document. Fails with its diagnostics if it is invalid.
pub(crate) fn run(options: &Options) -> Result<()> {
    let (_, document) = read_document(&options.file)?;
    println!(
        "{}: environment {}, {} teams, {} models, {} services, {} stores",
        options.file.display(),
        document.environment,
        document.teams.len(),
        document.models.len(),
        document.services.len(),
        document.stores.len()
    );
    Ok(())
}

/// Reads and parses a document, and returns its text as well.
///
/// # Errors
///
/// The file can't be read, or the document is invalid.
pub(crate) fn read_document(file: &PathBuf) -> Result<(String, Document)> {
    let text = fs::read_to_string(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} can't be read", file.display()))?;
    let document = Document::parse(&file.display().to_string(), &text)
        .map_err(|diagnostics| miette::Report::new(*diagnostics))?;
    Ok((text, document))
}
