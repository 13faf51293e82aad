//! Run ids: a run's location with a keyed hash as signature, so that any instance can find the run.
//!
//! # Invariant
//!
//! The signature covers the team, so that a team can't address a run of another team. An id that was not signed for the
//! team that presents it gets the same response as an id of no run.

use bilberryford_types::{AttemptId, EndpointId, RunId, TeamName};

use crate::api::ResponseFormat;

/// The number of hexadecimal digits of the signature in a run id.
const SIGNATURE_DIGITS: usize = 32;
/// The first part of every run id.
const PREFIX: &str = "run";

/// The endpoint and attempt of a run when its id was issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunLocation {
    pub(crate) endpoint: EndpointId,
    pub(crate) attempt: AttemptId,
}

/// The content of a run id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RunLocator {
    pub(crate) location: RunLocation,
    /// The response format of the original request.
    pub(crate) format: ResponseFormat,
}

const fn format_code(format: ResponseFormat) -> &'static str {
    match format {
        ResponseFormat::Chat => "c",
        ResponseFormat::Text => "t",
    }
}

impl RunLocator {
    /// Returns the id, signed for `team`; none if the names in it are too long for an id.
    pub(super) fn sign(&self, key: &[u8; 32], team: &TeamName) -> Option<RunId> {
        let RunLocation { endpoint, attempt } = &self.location;
        let format = format_code(self.format);
        let len = endpoint.as_str().len();
        let signature = self.signature(key, team);
        format!("{PREFIX}:{format}:{len}:{endpoint}:{attempt}:{signature}").parse().ok()
    }

    /// Returns the content of `id`, if it was signed for `team`.
    pub(super) fn verify(key: &[u8; 32], team: &TeamName, id: &RunId) -> Option<Self> {
        let mut head = id.as_str().splitn(4, ':');
        if head.next()? != PREFIX {
            return None;
        }
        let format = match head.next()? {
            "c" => ResponseFormat::Chat,
            "t" => ResponseFormat::Text,
            _ => return None,
        };
        let len: usize = head.next()?.parse().ok()?;
        let rest = head.next()?;
        let endpoint = rest.get(..len)?.parse().ok()?;
        let (attempt, signature) = rest.get(len..)?.strip_prefix(':')?.rsplit_once(':')?;
        let locator =
            Self { location: RunLocation { endpoint, attempt: attempt.parse().ok()? }, format };
        // Comparing digests of both signatures makes the time taken independent of the first digit that differs.
        let is_valid = blake3::hash(signature.as_bytes())
            == blake3::hash(locator.signature(key, team).as_bytes());
        is_valid.then_some(locator)
    }

    fn signature(&self, key: &[u8; 32], team: &TeamName) -> String {
        let RunLocation { endpoint, attempt } = &self.location;
        let mut hasher = blake3::Hasher::new_keyed(key);
        for part in [team.as_str(), format_code(self.format), endpoint.as_str(), attempt.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.finalize().to_hex()[..SIGNATURE_DIGITS].to_owned()
    }
}
