//! Diagnostics that point into the source of a document.

use miette::{NamedSource, SourceSpan};

/// One fault of a document.
#[derive(Debug, Clone, thiserror::Error, miette::Diagnostic)]
#[error("{message}")]
pub struct Diagnostic {
    /// The description of the fault.
    pub message: String,
    /// The span of the fault in the source, in bytes; `None` if the fault has no position.
    #[label("here")]
    pub span: Option<SourceSpan>,
}

/// All faults of one document.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("the document has {} fault(s)", findings.len())]
pub struct Diagnostics {
    /// The text of the document.
    #[source_code]
    pub source_code: NamedSource<String>,
    /// The faults, grouped by check.
    #[related]
    pub findings: Vec<Diagnostic>,
}
