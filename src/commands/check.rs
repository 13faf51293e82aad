//! `bilberryford check`: reads a document and points at its faults.

use std::{fs, path::PathBuf};

use bilberryford_document::Document;
use bpaf::Bpaf;
use miette::{IntoDiagnostic, Result, WrapErr};

/// Settings of `check`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Options {
    /// The document, a TOML file such as examples/demo.toml
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Prints a summary, or fails with all faults.
pub(crate) fn run(options: &Options) -> Result<()> {
    let (_, document) = read(&options.file)?;
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

/// The text of a document and the document, when it has no faults.
pub(crate) fn read(file: &PathBuf) -> Result<(String, Document)> {
    let text = fs::read_to_string(file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{} can't be read", file.display()))?;
    let document = Document::parse(&file.display().to_string(), &text)
        .map_err(|found| miette::Report::new(*found))?;
    Ok((text, document))
}
