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

/// Returns the key of the platform object that holds the configuration of `environment`.
///
/// # Errors
///
/// [`IdError`] if the environment's name is not a valid object name.
pub fn config_key(environment: &EnvironmentName) -> Result<ObjectKey, IdError> {
    Ok(ObjectKey::new(ObjectKind::Config, environment.as_str().parse()?))
}

/// Returns the digest that identifies the text of a document.
pub fn document_digest(document: &str) -> Digest {
    Digest(*blake3::hash(document.as_bytes()).as_bytes())
}

/// A parsed configuration, with an index of the API keys.
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
    /// Parses an object's content. Invalid content is an error, so that it never replaces a valid configuration.
    pub(crate) fn parse(
        environment: &EnvironmentName,
        version: ObjectVersion,
        body: &[u8],
    ) -> Result<Self, ConfigError> {
        let object: ConfigObject = serde_json::from_slice(body)
            .map_err(|error| ConfigError::Envelope { reason: error.to_string() })?;
        let document = Document::parse("configuration in force", &object.document)
            .map_err(|error| ConfigError::Document { findings: error.findings.len() })?;
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

    /// Returns the maximum number of requests that a team may have in flight over all instances.
    pub(crate) fn team_limit(&self, name: &TeamName) -> Option<u32> {
        let team = self.document.teams.iter().find(|team| team.name == *name)?;
        Some(team.max_in_flight)
    }

    /// Returns the team of an API key.
    pub(crate) fn team_of_key(&self, api_key: &str) -> Option<&TeamSection> {
        let index = self.teams_by_key.get(&key_digest(api_key))?;
        self.document.teams.get(*index)
    }
}

/// The content of a configuration object can't come into force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ConfigError {
    #[error("the object can't be read: {reason}")]
    Envelope { reason: String },
    #[error("the document has {findings} fault(s)")]
    Document { findings: usize },
    #[error("the document is for environment {found}")]
    Environment { found: EnvironmentName },
}
