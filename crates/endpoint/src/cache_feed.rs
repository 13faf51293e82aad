//! The trait for reading which cache blocks an engine holds in memory.

use bilberryford_cache::{CacheEvent, CacheSnapshot};
use bilberryford_types::Incarnation;
use futures::future::BoxFuture;

use crate::EndpointError;

/// Reads an engine's cache events. Events are delayed, and the engine retains only the latest ones.
pub trait CacheFeed: Send + Sync {
    /// Reads the retained events after sequence number `after` of `incarnation`. An engine that has restarted since
    /// returns all events of its new incarnation.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cache_events(
        &self,
        incarnation: Incarnation,
        after: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EndpointError>>;

    /// Reads all blocks in the engine's memory, for a subscriber that missed events.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, EndpointError>>;
}
