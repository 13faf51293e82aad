//! Reading and validating a document.

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

use self::Step::{Index, Key};

use crate::{
    Diagnostic, Diagnostics, Document, PlacementSection, PoolKind, PoolSection, ServiceSection,
};

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
        let mut check = Check::new(text);
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

/// A step from the root of the document to a value.
#[derive(Debug, Clone, Copy)]
enum Step {
    Key(&'static str),
    Index(usize),
}

struct Check<'a> {
    text: &'a str,
    /// The document with the place of every value.
    placed: Option<DeValue<'a>>,
    findings: Vec<Diagnostic>,
}

impl<'a> Check<'a> {
    fn new(text: &'a str) -> Self {
        let placed = DeTable::parse(text).ok().map(|table| DeValue::Table(table.into_inner()));
        Self { text, placed, findings: Vec::new() }
    }

    fn document(&mut self, document: &Document) {
        self.names(document);
        for (index, team) in document.teams.iter().enumerate() {
            if team.share.get() == 0 {
                let message = format!("team {} needs a share of at least 1", team.name);
                self.find(&[Key("teams"), Index(index), Key("share")], message);
            }
            if team.max_in_flight == 0 {
                let message = format!("team {} needs a limit of at least 1", team.name);
                self.find(&[Key("teams"), Index(index), Key("max_in_flight")], message);
            }
        }
        for (index, model) in document.models.iter().enumerate() {
            let path = [Key("models"), Index(index), Key("pool")];
            self.pool(&document.pools, model.pool.as_str(), PoolKind::Engine, &path);
        }
        for (index, service) in document.services.iter().enumerate() {
            let path = [Key("services"), Index(index), Key("pool")];
            self.pool(&document.pools, service.pool.as_str(), PoolKind::Service, &path);
            self.routes(index, service);
        }
        for (index, store) in document.stores.iter().enumerate() {
            for (link, rate) in [("memory_link", store.memory_link), ("disk_link", store.disk_link)]
            {
                if rate.get() == 0 {
                    let message = format!("store {} needs a link rate above 0", store.name);
                    self.find(&[Key("stores"), Index(index), Key(link)], message);
                }
            }
        }
        self.placement(&document.placement);
    }

    fn names(&mut self, document: &Document) {
        self.unique("team", "teams", document.teams.iter().map(|team| &team.name));
        self.unique("pool", "pools", document.pools.iter().map(|pool| &pool.name));
        self.unique("model", "models", document.models.iter().map(|model| &model.name));
        self.unique("service", "services", document.services.iter().map(|service| &service.name));
        self.unique("store", "stores", document.stores.iter().map(|store| &store.name));
        let digests = document.teams.iter().enumerate().flat_map(|(team, section)| {
            let digests = section.key_digests.iter().enumerate();
            digests.map(move |(index, digest)| {
                (digest, vec![Key("teams"), Index(team), Key("key_digests"), Index(index)])
            })
        });
        self.unique_at("key digest", digests);
    }

    fn routes(&mut self, service: usize, section: &ServiceSection) {
        for (index, route) in section.routes.iter().enumerate() {
            let place =
                |field| [Key("services"), Index(service), Key("routes"), Index(index), Key(field)];
            if !route.prefix.starts_with('/') {
                let message = format!("the prefix {:?} must start with '/'", route.prefix);
                self.find(&place("prefix"), message);
            }
            if route.not_run_statuses.iter().any(|status| !(400..600).contains(status)) {
                let message = "not_run_statuses holds only statuses from 400 to 599".to_owned();
                self.find(&place("not_run_statuses"), message);
            }
        }
    }

    fn placement(&mut self, placement: &PlacementSection) {
        for (name, weight) in [
            ("recompute_weight_ms", placement.recompute_weight_ms),
            ("link_weight_ms", placement.link_weight_ms),
        ] {
            if !weight.is_finite() || weight < 0.0 {
                let message = format!("{name} must be finite and not negative");
                self.find(&[Key("placement"), Key(name)], message);
            }
        }
    }

    fn unique<'n, T: Display + Eq + Hash + 'n>(
        &mut self,
        what: &str,
        section: &'static str,
        names: impl Iterator<Item = &'n T>,
    ) {
        let placed = names
            .enumerate()
            .map(|(index, name)| (name, vec![Key(section), Index(index), Key("name")]));
        self.unique_at(what, placed);
    }

    fn unique_at<'n, T: Display + Eq + Hash + 'n>(
        &mut self,
        what: &str,
        names: impl Iterator<Item = (&'n T, Vec<Step>)>,
    ) {
        let mut seen = HashMap::new();
        for (name, path) in names {
            match seen.entry(name) {
                Entry::Vacant(place) => drop(place.insert(path)),
                Entry::Occupied(first) => {
                    let first = self.line(first.get());
                    self.find(
                        &path,
                        format!("the {what} {name} is given twice, first on line {first}"),
                    );
                }
            }
        }
    }

    fn pool(&mut self, pools: &[PoolSection], name: &str, kind: PoolKind, path: &[Step]) {
        match pools.iter().find(|pool| pool.name.as_str() == name) {
            None => self.find(path, format!("there is no pool {name}")),
            Some(pool) if pool.kind != kind => {
                self.find(path, format!("pool {name} holds {}s, not {kind}s", pool.kind));
            }
            Some(_) => {}
        }
    }

    fn find(&mut self, path: &[Step], message: String) {
        let span = self.place(path).map(SourceSpan::from);
        self.findings.push(Diagnostic { message, span });
    }

    fn line(&self, path: &[Step]) -> usize {
        let start = self.place(path).map_or(0, |place| place.start);
        self.text[..start].matches('\n').count() + 1
    }

    /// Where a value stands; that of the nearest value around it when it stands nowhere.
    fn place(&self, path: &[Step]) -> Option<Range<usize>> {
        let mut value = self.placed.as_ref()?;
        let mut place = None;
        for step in path {
            let next = match (step, value) {
                (Key(key), DeValue::Table(table)) => table.get(*key),
                (Index(index), DeValue::Array(array)) => array.get(*index),
                _ => None,
            };
            let Some(next) = next else { break };
            place = Some(next.span());
            value = next.get_ref();
        }
        place
    }
}
