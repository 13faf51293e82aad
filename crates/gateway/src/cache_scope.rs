//! The text under which engines and stores keep cached prompt parts apart.
//!
//! # Invariant
//!
//! Parts that were made under other weights, for another model, or for an isolated team have another scope, since neither
//! engines nor stores check any of these.

use std::{fmt, str::FromStr};

use bilberryford_types::{ModelName, TeamName};

/// A scope.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CacheScope {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub weight_version: u64,
    /// The team, if it shares with no other.
    pub team: Option<TeamName>,
}

/// A text that is no scope of ours.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a scope of cached parts")]
pub struct ScopeError(String);

impl fmt::Display for CacheScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/", self.model, self.weight_version)?;
        self.team.iter().try_for_each(|team| write!(f, "{team}"))
    }
}

impl FromStr for CacheScope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, ScopeError> {
        let error = || ScopeError(text.to_owned());
        let mut words = text.splitn(3, '/');
        let mut word = || words.next().ok_or_else(error);
        let (model, version, team) = (word()?, word()?, word()?);
        Ok(Self {
            model: model.parse().map_err(|_| error())?,
            weight_version: version.parse().map_err(|_| error())?,
            team: match team {
                "" => None,
                team => Some(team.parse().map_err(|_| error())?),
            },
        })
    }
}
