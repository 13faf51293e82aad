//! Run ids: they name the place of a run under a keyed hash, so that any instance can find it.
//!
//! # Invariant
//!
//! The hash covers the team, so that a run of another team can't be named. An id that was not signed for the team that
//! presents it is answered as one that is not there.

use bilberryford_types::{AttemptId, EndpointId, RunId, TeamName};

use crate::api::Shape;

/// How many hexadecimal digits of the signature a run id carries.
const SIGNATURE_DIGITS: usize = 32;
/// Starts every run id.
const PREFIX: &str = "run";

/// Where a run was when its id was given out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunPlace {
    pub(crate) endpoint: EndpointId,
    pub(crate) attempt: AttemptId,
}

/// What a run id says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunName {
    pub(crate) place: RunPlace,
    /// The shape in which the answer was asked for.
    pub(crate) shape: Shape,
}

const fn shape_code(shape: Shape) -> &'static str {
    match shape {
        Shape::Chat => "c",
        Shape::Text => "t",
    }
}

impl RunName {
    /// The id, signed for `team`; none when the names are too long for one.
    pub(super) fn sign(&self, key: &[u8; 32], team: &TeamName) -> Option<RunId> {
        let RunPlace { endpoint, attempt } = &self.place;
        let shape = shape_code(self.shape);
        let len = endpoint.as_str().len();
        let signature = self.signature(key, team);
        format!("{PREFIX}:{shape}:{len}:{endpoint}:{attempt}:{signature}").parse().ok()
    }

    /// What `id` says, when it was signed for `team`.
    pub(super) fn verify(key: &[u8; 32], team: &TeamName, id: &RunId) -> Option<Self> {
        let mut head = id.as_str().splitn(4, ':');
        if head.next()? != PREFIX {
            return None;
        }
        let shape = match head.next()? {
            "c" => Shape::Chat,
            "t" => Shape::Text,
            _ => return None,
        };
        let len: usize = head.next()?.parse().ok()?;
        let rest = head.next()?;
        let endpoint = rest.get(..len)?.parse().ok()?;
        let (attempt, signature) = rest.get(len..)?.strip_prefix(':')?.rsplit_once(':')?;
        let name = Self { place: RunPlace { endpoint, attempt: attempt.parse().ok()? }, shape };
        // Comparing two digests of the signatures keeps the time independent of where they differ.
        let is_ours = blake3::hash(signature.as_bytes())
            == blake3::hash(name.signature(key, team).as_bytes());
        is_ours.then_some(name)
    }

    fn signature(&self, key: &[u8; 32], team: &TeamName) -> String {
        let RunPlace { endpoint, attempt } = &self.place;
        let mut hasher = blake3::Hasher::new_keyed(key);
        for part in [team.as_str(), shape_code(self.shape), endpoint.as_str(), attempt.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize().to_hex()[..SIGNATURE_DIGITS].to_owned()
    }
}
