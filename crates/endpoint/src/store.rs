//! The traits of a store of cache blocks and of an engine's transfers from and to stores.

use bilberryford_types::{Digest, TimeMs};
use futures::future::BoxFuture;

use crate::{
    EndpointError,
    kv_wire::{ExportOrder, ExportReport, ImportOrder, ImportReport, StoreUsage, StoredExport},
};

/// The view of a store for the sender of transfer orders. It gives no access to the blocks themselves.
pub trait StoreClient: Send + Sync {
    /// Returns the exports that hold any of `blocks`. The result is only a hint for planning: a store may free an export
    /// before it is read.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn look_up<'a>(
        &'a self,
        blocks: &'a [Digest],
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<Vec<StoredExport>, EndpointError>>;

    /// Reads the usage of the store.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn usage(&self, timeout: TimeMs) -> BoxFuture<'_, Result<StoreUsage, EndpointError>>;
}

/// Block transfers of an engine. Both orders are idempotent, because a block is named by the digest of its content.
pub trait KvTransfer: Send + Sync {
    /// Orders the engine to import blocks from a store. Blocks that it can't use are not in the report.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`]. The engine may have imported some of the blocks.
    fn import<'a>(
        &'a self,
        order: &'a ImportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ImportReport, EndpointError>>;

    /// Orders the engine to export blocks to a store. The manifest is written last.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`]. The export may or may not be visible in the store.
    fn export<'a>(
        &'a self,
        order: &'a ExportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ExportReport, EndpointError>>;
}
