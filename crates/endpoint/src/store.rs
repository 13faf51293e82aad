//! A store of cache blocks and an engine's transfers from and to it, as traits.

use bilberryford_types::{Digest, TimeMs};
use futures::future::BoxFuture;

use crate::{
    EndpointError,
    kv_wire::{ExportOrder, ExportReport, ImportOrder, ImportReport, StoreUsage, StoredExport},
};

/// A store as whoever orders transfers sees it; the blocks themselves never pass here.
pub trait StoreClient: Send + Sync {
    /// The exports that hold any of `blocks`. What is found steers only: it may be freed before it is read.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn look_up<'a>(
        &'a self,
        blocks: &'a [Digest],
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<Vec<StoredExport>, EndpointError>>;

    /// How full the store is.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`].
    fn usage(&self, timeout: TimeMs) -> BoxFuture<'_, Result<StoreUsage, EndpointError>>;
}

/// An engine's transfers. Both may be repeated, since a block's name stands for its content.
pub trait KvTransfer: Send + Sync {
    /// Orders the engine to read blocks from a store. Blocks that it can't use are missing from the report.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`]; the engine may then hold some of the blocks.
    fn import<'a>(
        &'a self,
        order: &'a ImportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ImportReport, EndpointError>>;

    /// Orders the engine to write blocks to a store, their manifest last.
    ///
    /// # Errors
    ///
    /// Any [`EndpointError`]; the export may then be there or not.
    fn export<'a>(
        &'a self,
        order: &'a ExportOrder,
        timeout: TimeMs,
    ) -> BoxFuture<'a, Result<ExportReport, EndpointError>>;
}
