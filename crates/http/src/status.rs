//! Which statuses responses may have.

use reqwest::{Response, StatusCode};

use crate::BodyError;

/// Returns true for the status of a final response: 1xx is interim, and the protocol has no class beyond 599. An answer with
/// another one states nothing of its request.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Returns the response if it is that of a success. Any other one has no report in its body, whatever that looks like.
///
/// # Errors
///
/// [`BodyError::NoSuccess`] for any other status.
pub fn successful(response: Response) -> Result<Response, BodyError> {
    let status = response.status();
    if status.is_success() { Ok(response) } else { Err(BodyError::NoSuccess { status }) }
}
