//! The errors of calls to endpoints.

use bilberryford_http::is_final_status;
use bilberryford_types::{ErrorKind, Ran};
use reqwest::Response;

/// The error of a call to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be established. Nothing was sent.
    #[error("can't connect: {reason}")]
    Connect {
        /// The cause, as reported by the HTTP client.
        reason: String,
    },
    /// The endpoint refused the call before it ran anything.
    #[error("refused with status {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The endpoint refused the call before it ran anything, because it is shutting down.
    #[error("refused, it is shutting down")]
    Draining,
    /// The endpoint does not know the attempt to resume.
    #[error("the attempt is not known there")]
    UnknownAttempt,
    /// The endpoint does not serve the requested weight version.
    #[error("the weight version is not there")]
    VersionGone,
    /// The connection was lost after the request was sent, or a server error came in place of a response.
    #[error("the connection was lost: {reason}")]
    ResponseLost {
        /// The cause, as reported by the HTTP client or found in the response.
        reason: String,
    },
    /// The call did not complete within its deadline.
    #[error("the call took longer than its deadline")]
    Timeout,
    /// The response can't be parsed.
    #[error("the answer can't be read: {reason}")]
    InvalidResponse {
        /// The cause, as reported by the HTTP client or found in the response.
        reason: String,
    },
}

impl EndpointError {
    /// Returns whether the endpoint may have run the call.
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

    /// The error kind that is reported to the caller.
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

    /// Returns the response unless its status is none of a final one: such an answer states nothing of the call.
    pub(crate) fn check_status(response: Response) -> Result<Response, Self> {
        let status = response.status();
        if is_final_status(status) {
            Ok(response)
        } else {
            Err(Self::ResponseLost { reason: format!("status {status}") })
        }
    }
}
