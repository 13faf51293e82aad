//! Reading and validating a document.

use std::{collections::HashSet, fmt::Display, hash::Hash};

use bilberryford_types::{Digest, EnvironmentName};
use miette::{NamedSource, SourceSpan};
use serde::Deserialize;

use crate::{Diagnostic, Diagnostics, Document, PoolKind, PoolSection};

/// The largest document in bytes; the platform holds values of up to a megabyte.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// The digest under which an API key stands in a document.
pub fn key_digest(key: &str) -> Digest {
    Digest(*blake3::hash(key.as_bytes()).as_bytes())
}

impl Document {
    /// Reads and validates `text`; `file` names it in diagnostics.
    ///
    /// # Errors
    ///
    /// All findings at once: a syntax error, an unknown field, a name given twice, a reference to nothing.
    pub fn parse(file: &str, text: &str) -> Result<Self, Box<Diagnostics>> {
        let fail = |findings| {
            Box::new(Diagnostics { source_code: NamedSource::new(file, text.to_owned()), findings })
        };
        if text.len() > MAX_DOCUMENT_BYTES {
            let message =
                format!("the document has {} bytes, the limit is {MAX_DOCUMENT_BYTES}", text.len());
            return Err(fail(vec![Diagnostic { message, span: None }]));
        }
        let document: Self = toml::from_str(text).map_err(|error| {
            let span = error.span().map(SourceSpan::from);
            fail(vec![Diagnostic { message: error.message().to_owned(), span }])
        })?;
        let mut check = Check { text, findings: Vec::new() };
        check.document(&document);
        if check.findings.is_empty() { Ok(document) } else { Err(fail(check.findings)) }
    }
}

/// The one field that differs between environments.
#[derive(Deserialize)]
struct Environment {
    environment: toml::Spanned<String>,
}

impl Document {
    /// The text of a document with another environment's name and nothing else changed.
    ///
    /// # Errors
    ///
    /// All findings on `text` or on the result.
    pub fn for_environment(
        text: &str,
        environment: &EnvironmentName,
    ) -> Result<String, Box<Diagnostics>> {
        Self::parse("accepted document", text)?;
        let Ok(found) = toml::from_str::<Environment>(text) else {
            unreachable!("a document that was parsed names its environment")
        };
        let mut moved = text.to_owned();
        moved.replace_range(found.environment.span(), &format!("\"{environment}\""));
        Self::parse("promoted document", &moved)?;
        Ok(moved)
    }
}

struct Check<'a> {
    text: &'a str,
    findings: Vec<Diagnostic>,
}

impl Check<'_> {
    fn document(&mut self, document: &Document) {
        self.unique("team", document.teams.iter().map(|team| &team.name));
        self.unique("pool", document.pools.iter().map(|pool| &pool.name));
        self.unique("model", document.models.iter().map(|model| &model.name));
        self.unique("service", document.services.iter().map(|service| &service.name));
        self.unique("store", document.stores.iter().map(|store| &store.name));
        self.unique("key digest", document.teams.iter().flat_map(|team| &team.key_digests));
        for model in &document.models {
            self.pool(&document.pools, model.pool.as_str(), PoolKind::Engine);
        }
        for service in &document.services {
            self.pool(&document.pools, service.pool.as_str(), PoolKind::Service);
            for route in &service.routes {
                if !route.prefix.starts_with('/') {
                    self.find(
                        &route.prefix,
                        format!("the prefix {:?} must start with '/'", route.prefix),
                    );
                }
                if route.not_run_statuses.iter().any(|status| !(400..600).contains(status)) {
                    self.find(
                        "not_run_statuses",
                        "not_run_statuses holds only statuses from 400 to 599".to_owned(),
                    );
                }
            }
        }
        for team in
            document.teams.iter().filter(|team| team.share.get() == 0 || team.max_in_flight == 0)
        {
            self.find(
                team.name.as_str(),
                format!("team {} needs a share and a limit of at least 1", team.name),
            );
        }
        for store in &document.stores {
            if store.memory_link.get() == 0 || store.disk_link.get() == 0 {
                self.find(
                    store.name.as_str(),
                    format!("store {} needs link rates above 0", store.name),
                );
            }
        }
        let placement = &document.placement;
        let weights = [placement.recompute_weight_ms, placement.link_weight_ms];
        if weights.iter().any(|weight| !weight.is_finite() || *weight < 0.0) {
            self.find("[placement]", "the weights must be finite and not negative".to_owned());
        }
    }

    fn unique<'n, T: Display + Eq + Hash + 'n>(
        &mut self,
        what: &str,
        names: impl Iterator<Item = &'n T>,
    ) {
        let mut seen = HashSet::new();
        for name in names {
            if !seen.insert(name) {
                self.find_last(&name.to_string(), format!("the {what} {name} is given twice"));
            }
        }
    }

    fn pool(&mut self, pools: &[PoolSection], name: &str, kind: PoolKind) {
        match pools.iter().find(|pool| pool.name.as_str() == name) {
            None => self.find_last(name, format!("there is no pool {name}")),
            Some(pool) if pool.kind != kind => {
                self.find_last(name, format!("pool {name} holds {}s, not {kind}s", pool.kind));
            }
            Some(_) => {}
        }
    }

    fn find(&mut self, needle: &str, message: String) {
        let span = self.text.find(needle).map(|at| SourceSpan::from(at..at + needle.len()));
        self.findings.push(Diagnostic { message, span });
    }

    fn find_last(&mut self, needle: &str, message: String) {
        let span = self.text.rfind(needle).map(|at| SourceSpan::from(at..at + needle.len()));
        self.findings.push(Diagnostic { message, span });
    }
}
