//! The scope of cached prompt parts: a text that partitions the caches of engines and stores.
//!
//! # Invariant
//!
//! Parts for different models, weight versions, teams that share them, or allowed regions have different scopes, since neither engines nor
//! stores check any of these.

use std::{fmt, str::FromStr};

use bilberryford_types::ModelName;

use crate::{part_sharing::PartSharing, regions::RegionSet};

/// The scope of a cached part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CacheScope {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub weight_version: u64,
    /// The teams that use the part.
    pub sharing: PartSharing,
    /// The only regions in which the part may be; none if it may be anywhere.
    pub regions: Option<RegionSet>,
}

/// A text that is not a valid scope.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a scope of cached parts")]
pub struct ScopeError(String);

impl fmt::Display for CacheScope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.model, self.weight_version, self.sharing)?;
        self.regions.iter().try_for_each(|regions| write!(f, "/{regions}"))
    }
}

impl FromStr for CacheScope {
    type Err = ScopeError;

    fn from_str(text: &str) -> Result<Self, ScopeError> {
        let error = || ScopeError(text.to_owned());
        let mut fields = text.splitn(4, '/');
        let mut field = || fields.next().ok_or_else(error);
        let (model, version, sharing) = (field()?, field()?, field()?);
        let regions = field().ok();
        Ok(Self {
            model: model.parse().map_err(|_| error())?,
            weight_version: version.parse().map_err(|_| error())?,
            sharing: sharing.parse().map_err(|_| error())?,
            regions: match regions {
                None => None,
                Some(regions) => Some(regions.parse().map_err(|_| error())?),
            },
        })
    }
}
