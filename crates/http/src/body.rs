//! Reads the bodies of responses up to a limit, since a faulty sender may never end one.

use bytes::{Bytes, BytesMut};
use reqwest::{Response, StatusCode};

/// A response without a body that can be used.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed or the call took too long.
    #[error(transparent)]
    Transport(#[from] reqwest::Error),
    /// The response is not that of a success.
    #[error("the status is {status}")]
    NoSuccess {
        /// The status.
        status: StatusCode,
    },
    /// It is longer than allowed.
    #[error("the body is longer than {limit_bytes} bytes; the connection is closed")]
    TooLong {
        /// The limit.
        limit_bytes: usize,
    },
}

/// Reads the body of `response`, of at most `limit_bytes`.
///
/// # Errors
///
/// [`BodyError`] if the body is longer or is not read to its end. The connection is closed in both cases.
pub async fn read_body(mut response: Response, limit_bytes: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLong { limit_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
