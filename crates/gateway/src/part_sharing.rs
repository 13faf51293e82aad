//! Which teams use the same cached parts.
//!
//! Load pattern: an operator isolates a team that has shared parts with others until then. Engines and stores keep those parts,
//! and check no teams. See `docs/design/store-contents.md`.
//!
//! # Invariant
//!
//! Parts that two teams share were made and are used under configurations that isolate neither one.

use std::{collections::BTreeSet, fmt, str::FromStr};

use bilberryford_types::{IdError, TeamName};

/// The character before the digest of a set of teams. No name contains it.
const DIGEST_MARK: char = '~';

/// A digest of the names of a set of teams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TeamSetDigest(u64);

impl TeamSetDigest {
    fn new(names: &BTreeSet<TeamName>) -> Self {
        let mut hasher = blake3::Hasher::new();
        for name in names {
            // No name contains the separator.
            hasher.update(name.as_str().as_bytes()).update(b"\n");
        }
        let mut prefix = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut prefix);
        Self(u64::from_be_bytes(prefix))
    }
}

impl fmt::Display for TeamSetDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{DIGEST_MARK}{:016x}", self.0)
    }
}

/// The teams that use the parts of a prompt. Teams share parts if their values are equal.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum PartSharing {
    /// All teams, since none is isolated.
    #[default]
    All,
    /// All teams but the isolated ones.
    AllBut(TeamSetDigest),
    /// One isolated team.
    Only(TeamName),
}

impl fmt::Display for PartSharing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => Ok(()),
            Self::AllBut(isolated) => write!(f, "{isolated}"),
            Self::Only(team) => write!(f, "{team}"),
        }
    }
}

impl FromStr for PartSharing {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digest =
            text.strip_prefix(DIGEST_MARK).and_then(|hex| u64::from_str_radix(hex, 16).ok());
        let digest = digest.map(TeamSetDigest).filter(|digest| digest.to_string() == text);
        match digest {
            Some(isolated) => Ok(Self::AllBut(isolated)),
            None if text.is_empty() => Ok(Self::All),
            None => text.parse().map(Self::Only),
        }
    }
}

/// The teams that one configuration isolates.
#[derive(Debug, Clone, Default)]
pub struct IsolatedTeams {
    names: BTreeSet<TeamName>,
    others: PartSharing,
}

impl FromIterator<TeamName> for IsolatedTeams {
    fn from_iter<I: IntoIterator<Item = TeamName>>(names: I) -> Self {
        let names = BTreeSet::from_iter(names);
        let others = match names.is_empty() {
            true => PartSharing::All,
            false => PartSharing::AllBut(TeamSetDigest::new(&names)),
        };
        Self { names, others }
    }
}

impl IsolatedTeams {
    /// The teams that use the parts of a team's prompts, or of prompts without a team.
    pub fn sharing(&self, team: Option<&TeamName>) -> PartSharing {
        let isolated = team.filter(|team| self.names.contains(*team));
        isolated.map_or_else(|| self.others.clone(), |team| PartSharing::Only(team.clone()))
    }
}
