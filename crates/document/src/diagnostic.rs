//! Findings that point into the source of a document.

use miette::{Diagnostic as Report, NamedSource, SourceSpan};

/// One finding.
#[derive(Debug, Clone, thiserror::Error, Report)]
#[error("{message}")]
pub struct Diagnostic {
    /// What is wrong and what would be right.
    pub message: String,
    /// Where, in bytes of the source.
    #[label("here")]
    pub span: Option<SourceSpan>,
}

/// All findings on one document.
#[derive(Debug, thiserror::Error, Report)]
#[error("the document has {} fault(s)", findings.len())]
pub struct Diagnostics {
    /// The document's text.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// The findings, in the order of the text where it is known.
    #[related]
    pub findings: Vec<Diagnostic>,
}
