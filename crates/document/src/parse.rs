//! Parsing and validation of a document.

use std::{
    collections::{HashMap, hash_map::Entry},
    fmt::Display,
    hash::Hash,
    ops::Range,
};

use bilberryford_types::{Digest, EnvironmentName};
use miette::{NamedSource, SourceSpan};
use serde::Deserialize;
use toml::de::{DeTable, DeValue};

use self::PathSegment::{Index, Key};

use crate::{
    Diagnostic, Diagnostics, Document, PlacementSection, PoolKind, PoolSection, ServiceSection,
};

/// The limit on the size of a document, in bytes; the platform stores objects of up to a megabyte.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Returns the digest that a document contains for an API key.
pub fn key_digest(key: &str) -> Digest {
    Digest(*blake3::hash(key.as_bytes()).as_bytes())
}

impl Document {
    /// Parses and validates `text`; diagnostics name it as `file`.
    ///
    /// # Errors
    ///
    /// Returns a single diagnostic if the text is too large or does not deserialize, for example because of a syntax
    /// error or an unknown field. Otherwise returns all faults that validation finds, such as duplicate names and
    /// references to missing pools.
    pub fn parse(file: &str, text: &str) -> Result<Self, Box<Diagnostics>> {
        let diagnostics = |findings| {
            Box::new(Diagnostics { source_code: NamedSource::new(file, text.to_owned()), findings })
        };
        if text.len() > MAX_DOCUMENT_BYTES {
            let message =
                format!("the document has {} bytes, the limit is {MAX_DOCUMENT_BYTES}", text.len());
            return Err(diagnostics(vec![Diagnostic { message, span: None }]));
        }
        let document: Self = toml::from_str(text).map_err(|error| {
            let span = error.span().map(SourceSpan::from);
            diagnostics(vec![Diagnostic { message: error.message().to_owned(), span }])
        })?;
        let mut validator = Validator::new(text);
        validator.validate(&document);
        if validator.findings.is_empty() {
            Ok(document)
        } else {
            Err(diagnostics(validator.findings))
        }
    }
}

/// The field that [`Document::for_environment`] replaces, with its span.
#[derive(Deserialize)]
struct EnvironmentField {
    environment: toml::Spanned<String>,
}

impl Document {
    /// Returns the text of a document with `environment` as its environment and no other change.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics of `text` or of the changed text.
    pub fn for_environment(
        text: &str,
        environment: &EnvironmentName,
    ) -> Result<String, Box<Diagnostics>> {
        Self::parse("accepted document", text)?;
        let Ok(field) = toml::from_str::<EnvironmentField>(text) else {
            unreachable!("a valid document names its environment")
        };
        let mut promoted = text.to_owned();
        promoted.replace_range(field.environment.span(), &format!("\"{environment}\""));
        Self::parse("promoted document", &promoted)?;
        Ok(promoted)
    }
}

/// One segment of the path from the root of the document to a value.
#[derive(Debug, Clone, Copy)]
enum PathSegment {
    Key(&'static str),
    Index(usize),
}

/// Checks the rules that the types don't express, and records a diagnostic for each fault.
struct Validator<'a> {
    text: &'a str,
    /// The document with the span of every value.
    spanned: Option<DeValue<'a>>,
    findings: Vec<Diagnostic>,
}

impl<'a> Validator<'a> {
    fn new(text: &'a str) -> Self {
        let spanned = DeTable::parse(text).ok().map(|table| DeValue::Table(table.into_inner()));
        Self { text, spanned, findings: Vec::new() }
    }

    fn validate(&mut self, document: &Document) {
        self.check_unique_names(document);
        for (index, team) in document.teams.iter().enumerate() {
            if team.share.get() == 0 {
                let message = format!("team {} needs a share of at least 1", team.name);
                self.report(&[Key("teams"), Index(index), Key("share")], message);
            }
            if team.max_in_flight == 0 {
                let message = format!("team {} needs a limit of at least 1", team.name);
                self.report(&[Key("teams"), Index(index), Key("max_in_flight")], message);
            }
        }
        for (index, model) in document.models.iter().enumerate() {
            let path = [Key("models"), Index(index), Key("pool")];
            self.check_pool(&document.pools, model.pool.as_str(), PoolKind::Engine, &path);
        }
        for (index, service) in document.services.iter().enumerate() {
            let path = [Key("services"), Index(index), Key("pool")];
            self.check_pool(&document.pools, service.pool.as_str(), PoolKind::Service, &path);
            self.check_routes(index, service);
        }
        for (index, store) in document.stores.iter().enumerate() {
            for (link, rate) in [("memory_link", store.memory_link), ("disk_link", store.disk_link)]
            {
                if rate.get() == 0 {
                    let message = format!("store {} needs a link rate above 0", store.name);
                    self.report(&[Key("stores"), Index(index), Key(link)], message);
                }
            }
        }
        self.check_placement(&document.placement);
    }

    fn check_unique_names(&mut self, document: &Document) {
        self.check_unique("team", "teams", document.teams.iter().map(|team| &team.name));
        self.check_unique("pool", "pools", document.pools.iter().map(|pool| &pool.name));
        self.check_unique("model", "models", document.models.iter().map(|model| &model.name));
        self.check_unique(
            "service",
            "services",
            document.services.iter().map(|service| &service.name),
        );
        self.check_unique("store", "stores", document.stores.iter().map(|store| &store.name));
        let digests = document.teams.iter().enumerate().flat_map(|(team, section)| {
            let digests = section.key_digests.iter().enumerate();
            digests.map(move |(index, digest)| {
                (digest, vec![Key("teams"), Index(team), Key("key_digests"), Index(index)])
            })
        });
        self.check_unique_paths("key digest", digests);
    }

    fn check_routes(&mut self, service: usize, section: &ServiceSection) {
        for (index, route) in section.routes.iter().enumerate() {
            let path =
                |field| [Key("services"), Index(service), Key("routes"), Index(index), Key(field)];
            if !route.prefix.starts_with('/') {
                let message = format!("the prefix {:?} must start with '/'", route.prefix);
                self.report(&path("prefix"), message);
            }
            if route.not_run_statuses.iter().any(|status| !(400..600).contains(status)) {
                let message = "not_run_statuses holds only statuses from 400 to 599".to_owned();
                self.report(&path("not_run_statuses"), message);
            }
        }
    }

    fn check_placement(&mut self, placement: &PlacementSection) {
        for (name, weight) in [
            ("recompute_weight_ms", placement.recompute_weight_ms),
            ("link_weight_ms", placement.link_weight_ms),
        ] {
            if !weight.is_finite() || weight < 0.0 {
                let message = format!("{name} must be finite and not negative");
                self.report(&[Key("placement"), Key(name)], message);
            }
        }
    }

    fn check_unique<'n, T: Display + Eq + Hash + 'n>(
        &mut self,
        kind: &str,
        section: &'static str,
        names: impl Iterator<Item = &'n T>,
    ) {
        let names = names
            .enumerate()
            .map(|(index, name)| (name, vec![Key(section), Index(index), Key("name")]));
        self.check_unique_paths(kind, names);
    }

    fn check_unique_paths<'n, T: Display + Eq + Hash + 'n>(
        &mut self,
        kind: &str,
        names: impl Iterator<Item = (&'n T, Vec<PathSegment>)>,
    ) {
        let mut seen = HashMap::new();
        for (name, path) in names {
            match seen.entry(name) {
                Entry::Vacant(entry) => drop(entry.insert(path)),
                Entry::Occupied(first) => {
                    let first = self.line_number(first.get());
                    self.report(
                        &path,
                        format!("the {kind} {name} is given twice, first on line {first}"),
                    );
                }
            }
        }
    }

    fn check_pool(
        &mut self,
        pools: &[PoolSection],
        name: &str,
        kind: PoolKind,
        path: &[PathSegment],
    ) {
        match pools.iter().find(|pool| pool.name.as_str() == name) {
            None => self.report(path, format!("there is no pool {name}")),
            Some(pool) if pool.kind != kind => {
                self.report(path, format!("pool {name} holds {}s, not {kind}s", pool.kind));
            }
            Some(_) => {}
        }
    }

    fn report(&mut self, path: &[PathSegment], message: String) {
        let span = self.span(path).map(SourceSpan::from);
        self.findings.push(Diagnostic { message, span });
    }

    fn line_number(&self, path: &[PathSegment]) -> usize {
        let start = self.span(path).map_or(0, |span| span.start);
        self.text[..start].matches('\n').count() + 1
    }

    /// Returns the span of a value, or of the innermost enclosing value if the document leaves it out.
    fn span(&self, path: &[PathSegment]) -> Option<Range<usize>> {
        let mut value = self.spanned.as_ref()?;
        let mut span = None;
        for segment in path {
            let next = match (segment, value) {
                (Key(key), DeValue::Table(table)) => table.get(*key),
                (Index(index), DeValue::Array(array)) => array.get(*index),
                _ => None,
            };
            let Some(next) = next else { break };
            span = Some(next.span());
            value = next.get_ref();
        }
        span
    }
}
