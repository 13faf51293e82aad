//! The environment document: what operators write and nothing else drives the system.
//!
//! A document is TOML. [`Document::parse`] reads and validates it in one go and answers with diagnostics that point
//! into the source, so that `bilberryford check` can show an operator the very line. Unknown fields are errors: a
//! misspelt limit that is silently ignored is worse than a refusal. Every field is described in
//! `docs/CONFIGURATION.md`.
//!
//! API keys never stand in a document, only their digests ([`key_digest`]), since the document is stored on the
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
