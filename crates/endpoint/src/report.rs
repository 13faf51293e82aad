//! Reads the reports of endpoints.

use bilberryford_http::{BodyError, read_body};
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::EndpointError;

/// The longest report, in bytes: the contents of a cache or the blocks of a long prompt.
const MAX_REPORT_BYTES: usize = 8 * 1024 * 1024;

/// Reads and decodes a report.
pub(crate) async fn read_report<T: DeserializeOwned>(
    response: Response,
) -> Result<T, EndpointError> {
    let invalid = |reason: String| EndpointError::InvalidResponse { reason };
    let body = read_body(response, MAX_REPORT_BYTES).await.map_err(|error| match error {
        BodyError::Transport(error) => EndpointError::from_send(&error),
        too_long => invalid(too_long.to_string()),
    })?;
    serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()))
}
