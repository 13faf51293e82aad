//! The environment document: the configuration of one environment, written by operators.
//!
//! A document is a TOML file. [`Document::parse`] parses and validates it and returns diagnostics that point into the
//! source, so that `bilberryford check` can show the line at fault. Unknown fields are errors, because silently ignoring
//! a misspelt limit would be worse than refusing the document. `docs/CONFIGURATION.md` describes every field.
//!
//! A document contains only the digests of API keys ([`key_digest`]), never the keys, because it is stored on the
//! platform and shown by `status`.

mod diagnostic;
mod model;
mod parse;

pub use diagnostic::{Diagnostic, Diagnostics};
pub use model::{
    Document, ModelSection, PlacementSection, PoolKind, PoolSection, RouteSection, ServiceSection,
    StoreSection, TeamSection,
};
pub use parse::key_digest;
