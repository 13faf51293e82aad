//! What an engine says about the blocks in its memory.

use bilberryford_cache::{CacheEvent, CacheSnapshot};
use bilberryford_types::Incarnation;
use futures::future::BoxFuture;

use crate::EndpointError;

/// The cache events of an engine; they come late, and old ones are gone.
pub trait CacheFeed: Send + Sync {
    /// Reads the events after the sequence `after` of `incarnation`, as far as the engine still has them; an engine that
    /// has started again since answers all of its events.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cache_events(
        &self,
        incarnation: Incarnation,
        after: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EndpointError>>;

    /// Reads all blocks, for a reader that missed events.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, EndpointError>>;
}
