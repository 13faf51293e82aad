//! Matches responses with requests on connections that are used again.
//!
//! A faulty endpoint may send a second copy of a response late, when the next request of the connection is under way, so
//! that its caller would get an answer that is not its own. An endpoint that repeats the attempt's id in its responses can
//! be recognised: only for such an endpoint are connections used again, and a response without the id of its request is
//! lost.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use bilberryford_types::AttemptId;
use reqwest::{Client, header::HeaderMap};

use crate::EndpointError;

/// The header with the attempt's id, in requests and in the responses of endpoints that repeat it.
pub const ATTEMPT_HEADER: &str = "bilberryford-attempt";

/// Whether an endpoint repeats the attempt's id, as far as is known.
#[derive(Debug, Clone, Default)]
pub(crate) struct AttemptEcho(Arc<AtomicBool>);

/// The client for one attempt.
pub(crate) struct ChosenClient<'a> {
    pub(crate) client: &'a Client,
    /// True if the connection may have carried another request.
    pub(crate) may_be_reused: bool,
}

impl AttemptEcho {
    /// Chooses `pooled`, which may use a connection again, if that is safe, and `unpooled` otherwise.
    pub(crate) fn choose<'a>(&self, pooled: &'a Client, unpooled: &'a Client) -> ChosenClient<'a> {
        let may_be_reused = self.0.load(Ordering::Relaxed);
        ChosenClient { client: if may_be_reused { pooled } else { unpooled }, may_be_reused }
    }

    /// Checks that a response belongs to `attempt`, before anything in it is relied on.
    ///
    /// # Errors
    ///
    /// [`EndpointError::ResponseLost`] if it is the response to another attempt, or may be: this attempt may have run.
    pub(crate) fn check(
        &self,
        headers: &HeaderMap,
        attempt: &AttemptId,
        may_be_reused: bool,
    ) -> Result<(), EndpointError> {
        let echo = headers.get(ATTEMPT_HEADER);
        let is_own = echo.is_some_and(|echo| echo.as_bytes() == attempt.as_str().as_bytes());
        if is_own {
            self.0.store(true, Ordering::Relaxed);
            return Ok(());
        }
        if echo.is_none() && !may_be_reused {
            return Ok(());
        }
        self.0.store(false, Ordering::Relaxed);
        log::warn!(attempt:% = attempt; "response to another attempt; the connection is not used again");
        Err(EndpointError::ResponseLost { reason: "the response is to another attempt".to_owned() })
    }
}
