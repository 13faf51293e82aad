//! What can go wrong with a call of an endpoint.

use bilberryford_types::{ErrorKind, Ran};

/// Why a call of an endpoint failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be made; nothing was sent.
    #[error("can't connect: {reason}")]
    Connect {
        /// What was seen.
        reason: String,
    },
    /// The endpoint refused before it ran anything.
    #[error("refused with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The endpoint refused before it ran anything, since it is shutting down.
    #[error("refused, it is shutting down")]
    Draining,
    /// The endpoint does not know the attempt that should be resumed.
    #[error("the attempt is not known there")]
    UnknownAttempt,
    /// The endpoint does not have the weight version asked for.
    #[error("the weight version is not there")]
    VersionGone,
    /// The connection was lost after the request was sent.
    #[error("the connection was lost: {reason}")]
    ResponseLost {
        /// What was seen.
        reason: String,
    },
    /// The deadline of the call passed.
    #[error("the call took longer than its deadline")]
    Timeout,
    /// The answer can't be read.
    #[error("the answer can't be read: {reason}")]
    InvalidResponse {
        /// What was seen.
        reason: String,
    },
}

impl EndpointError {
    /// Whether the call may have run.
    pub const fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. }
            | Self::Refused { .. }
            | Self::Draining
            | Self::UnknownAttempt
            | Self::VersionGone => Ran::No,
            Self::ResponseLost { .. } | Self::Timeout | Self::InvalidResponse { .. } => Ran::Maybe,
        }
    }

    /// The kind under which a caller hears of this error.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Connect { .. } => ErrorKind::ConnectFailed,
            Self::Refused { .. } | Self::Draining => ErrorKind::EndpointRefused,
            Self::UnknownAttempt => ErrorKind::UnknownRun,
            Self::VersionGone => ErrorKind::VersionGone,
            Self::ResponseLost { .. } | Self::Timeout => ErrorKind::EndpointLost,
            Self::InvalidResponse { .. } => ErrorKind::EndpointBroken,
        }
    }

    pub(crate) fn from_send(error: &reqwest::Error) -> Self {
        if error.is_connect() {
            Self::Connect { reason: error.to_string() }
        } else if error.is_timeout() {
            Self::Timeout
        } else {
            Self::ResponseLost { reason: error.to_string() }
        }
    }
}
