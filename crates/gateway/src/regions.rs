//! The regions in which a request may run, and which data centres are in them.
//!
//! Load pattern: some routes and teams must stay in one or two regions of several, also while all endpoints there are lost.
//! Their requests are refused then, with the reason; they never go elsewhere. See `docs/design/evacuation-and-regions.md`.
//!
//! # Invariant
//!
//! A data centre of which the region is not known is in no allowed region.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    str::FromStr,
};

use bilberryford_types::{DataCentreId, IdError, RegionName};

/// The character between two names in the text of a set. No name contains it.
const SEPARATOR: char = '+';

/// A set of regions. Its text has the names in order, so that equal sets have equal texts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct RegionSet(BTreeSet<RegionName>);

impl RegionSet {
    /// The regions that both a route and a team allow; none if neither one restricts its requests.
    pub fn of_both(route: Option<&Self>, team: Option<&Self>) -> Option<Self> {
        match (route, team) {
            (Some(route), Some(team)) => {
                Some(Self(route.0.intersection(&team.0).cloned().collect()))
            }
            (Some(only), None) | (None, Some(only)) => Some(only.clone()),
            (None, None) => None,
        }
    }

    /// True if a region is in the set.
    pub fn contains(&self, region: &RegionName) -> bool {
        self.0.contains(region)
    }
}

impl FromIterator<RegionName> for RegionSet {
    fn from_iter<I: IntoIterator<Item = RegionName>>(names: I) -> Self {
        Self(names.into_iter().collect())
    }
}

impl fmt::Display for RegionSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            if index > 0 {
                write!(f, "{SEPARATOR}")?;
            }
            write!(f, "{name}")?;
        }
        Ok(())
    }
}

impl FromStr for RegionSet {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        text.split(SEPARATOR).map(str::parse).collect()
    }
}

/// The region of each data centre of the deployment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DataCentreRegions(BTreeMap<DataCentreId, RegionName>);

impl DataCentreRegions {
    /// True if a data centre is known to be in one of the regions.
    pub fn is_in(&self, data_centre: Option<&DataCentreId>, regions: &RegionSet) -> bool {
        let region = data_centre.and_then(|data_centre| self.0.get(data_centre));
        region.is_some_and(|region| regions.contains(region))
    }

    /// True if a data centre of the deployment is in one of the regions.
    pub fn has_any_of(&self, regions: &RegionSet) -> bool {
        self.0.values().any(|region| regions.contains(region))
    }
}

impl FromIterator<(DataCentreId, RegionName)> for DataCentreRegions {
    fn from_iter<I: IntoIterator<Item = (DataCentreId, RegionName)>>(entries: I) -> Self {
        Self(entries.into_iter().collect())
    }
}

impl fmt::Display for DataCentreRegions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (data_centre, region)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(f, "{separator}{data_centre} in {region}")?;
        }
        Ok(())
    }
}

/// Where the cached parts of a request may be; anywhere by default.
#[derive(Debug, Clone, Copy, Default)]
pub struct RegionLimit<'a>(Option<(&'a DataCentreRegions, &'a RegionSet)>);

impl<'a> RegionLimit<'a> {
    /// The limit of a request that may run in `allowed` only; none if it may run anywhere.
    pub fn new(data_centres: &'a DataCentreRegions, allowed: Option<&'a RegionSet>) -> Self {
        Self(allowed.map(|allowed| (data_centres, allowed)))
    }

    /// True if the request's body and its cached parts may be in this data centre.
    pub fn allows(&self, data_centre: Option<&DataCentreId>) -> bool {
        self.0.is_none_or(|(data_centres, allowed)| data_centres.is_in(data_centre, allowed))
    }
}
