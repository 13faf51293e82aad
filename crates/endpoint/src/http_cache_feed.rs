//! The HTTP implementation of [`CacheFeed`].

use bilberryford_cache::{CacheEvent, CacheSnapshot};
use bilberryford_types::Incarnation;
use futures::{FutureExt, future::BoxFuture};

use crate::{CacheFeed, EndpointError, HttpEngine};

impl CacheFeed for HttpEngine {
    fn cache_events(
        &self,
        incarnation: Incarnation,
        after: u64,
    ) -> BoxFuture<'_, Result<Vec<CacheEvent>, EndpointError>> {
        let path = format!("/cache/events?incarnation={incarnation}&after={after}");
        async move { self.read_json(&path).await }.boxed()
    }

    fn cache_snapshot(&self) -> BoxFuture<'_, Result<CacheSnapshot, EndpointError>> {
        async move { self.read_json("/cache/snapshot").await }.boxed()
    }
}
