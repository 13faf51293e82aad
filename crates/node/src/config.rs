//! The configuration in force.

use std::collections::HashMap;

use bilberryford_document::{Document, TeamSection, key_digest};
use bilberryford_platform::{ObjectKey, ObjectKind};
use bilberryford_types::{Digest, EnvironmentName, Generation, IdError, ObjectVersion, TeamName};
use serde::{Deserialize, Serialize};

use crate::accept::AcceptedChange;

/// The content of the platform object that holds an environment's configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// The generation; each accepted change has a greater one.
    pub generation: Generation,
    /// The operator's document.
    pub document: String,
    /// The last accepted changes, the latest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<AcceptedChange>,
}

/// The platform object that holds the configuration of `environment`.
///
/// # Errors
///
/// [`IdError`] when the environment's name can't be an object's name.
pub fn config_key(environment: &EnvironmentName) -> Result<ObjectKey, IdError> {
    Ok(ObjectKey::new(ObjectKind::Config, environment.as_str().parse()?))
}

/// The digest that names the text of a document.
pub fn document_digest(document: &str) -> Digest {
    Digest(*blake3::hash(document.as_bytes()).as_bytes())
}

/// A configuration in force, ready for look-ups.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) generation: Generation,
    pub(crate) version: ObjectVersion,
    pub(crate) digest: Digest,
    pub(crate) object: ConfigObject,
    pub(crate) document: Document,
    teams_by_key: HashMap<Digest, usize>,
}

impl InForce {
    /// Reads an object's content; bad content is refused and never displaces the last good.
    pub(crate) fn read(
        environment: &EnvironmentName,
        version: ObjectVersion,
        body: &[u8],
    ) -> Result<Self, ConfigError> {
        let object: ConfigObject = serde_json::from_slice(body)
            .map_err(|error| ConfigError::Envelope { reason: error.to_string() })?;
        let document = Document::parse("configuration in force", &object.document)
            .map_err(|found| ConfigError::Document { findings: found.findings.len() })?;
        if document.environment != *environment {
            return Err(ConfigError::Environment { found: document.environment });
        }
        let digest = document_digest(&object.document);
        let teams_by_key = document
            .teams
            .iter()
            .enumerate()
            .flat_map(|(index, team)| team.key_digests.iter().map(move |digest| (*digest, index)))
            .collect();
        let generation = object.generation;
        Ok(Self { generation, version, digest, object, document, teams_by_key })
    }

    /// The most requests that a team may have in flight over all instances.
    pub(crate) fn team_limit(&self, name: &TeamName) -> Option<u32> {
        let team = self.document.teams.iter().find(|team| team.name == *name)?;
        Some(team.max_in_flight)
    }

    /// The team that an API key speaks for.
    pub(crate) fn team_of_key(&self, api_key: &str) -> Option<&TeamSection> {
        let index = self.teams_by_key.get(&key_digest(api_key))?;
        self.document.teams.get(*index)
    }
}

/// Why an object's content can't come into force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConfigError {
    #[error("the object can't be read: {reason}")]
    Envelope { reason: String },
    #[error("the document has {findings} fault(s)")]
    Document { findings: usize },
    #[error("the document is for environment {found}")]
    Environment { found: EnvironmentName },
}
