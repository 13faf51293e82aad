//! The engine moves blocks between its cache and a store by itself; whoever orders never sees them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_cache::{Manifest, Owner, Piece, piece_digest};
use bilberryford_endpoint::kv_wire::{
    ExportOrder, ExportReport, ImportOrder, ImportReport, OpenedSpace, StoredExport, TierName,
};
use bilberryford_types::{Bytes, Digest};
use poem::{
    handler,
    http::StatusCode,
    web::{Data, Json},
};
use tokio::time::{Instant, timeout_at};

use super::{Life, cache::ReadPiece, kv::computed_bytes};

/// The deadline of one call at a store while exporting, in milliseconds.
const EXPORT_CALL_MS: u64 = 1_000;

#[handler]
pub(super) async fn take_import(
    Data(life): Data<&Arc<Life>>,
    Json(order): Json<ImportOrder>,
) -> Json<ImportReport> {
    if life.engine.faults.lock().mute_imports {
        std::future::pending::<()>().await;
    }
    let until = Instant::now() + Duration::from_millis(order.patience_ms.get());
    let mut report = ImportReport::default();
    for block in &order.blocks {
        let export = order.exports.iter().find(|export| holds(&export.manifest, block));
        let Some(export) = export else { continue };
        let Ok(done) =
            timeout_at(until, import_one(life, &order, export, block, &mut report)).await
        else {
            break;
        };
        life.engine.book.lock().import_misses += u64::from(done.is_none());
    }
    life.engine.book.lock().imported_blocks += report.imported.len() as u64;
    Json(report)
}

fn holds(manifest: &Manifest, block: &Digest) -> bool {
    manifest.pieces.iter().any(|piece| piece.block == *block)
}

async fn import_one(
    life: &Life,
    order: &ImportOrder,
    export: &StoredExport,
    block: &Digest,
    report: &mut ImportReport,
) -> Option<()> {
    let manifest = &export.manifest;
    if !life.engine.faults.lock().skip_import_checks {
        manifest.piece(&order.owner, block).ok()?;
    }
    let place = manifest.pieces.iter().position(|piece| piece.block == *block)?;
    let url = format!("http://{}/exports/{}", order.store, export.space);
    let piece = life.client.get(format!("{url}/pieces/{place}")).send().await.ok()?;
    let bytes = piece.error_for_status().ok()?.bytes().await.ok()?;
    let read = match export.tier {
        TierName::Memory => &mut report.memory,
        TierName::Disk => &mut report.disk,
    };
    read.0 += bytes.len() as u64;
    let after = life.client.get(&url).send().await.ok()?.json::<OpenedSpace>().await.ok()?;
    let read = ReadPiece { block, manifest, bytes: &bytes, after: after.generation };
    let is_kept = life.import(&order.owner, &read);
    if is_kept {
        report.imported.push(*block);
    }
    is_kept.then_some(())
}

impl Life {
    /// Keeps a block that was read, and books one that must not have been kept.
    fn import(&self, owner: &Owner, read: &ReadPiece<'_>) -> bool {
        let is_checked = !self.engine.faults.lock().skip_import_checks;
        let is_kept = self.cache.import(owner, read, is_checked);
        let is_bad = read.manifest.owner != *owner
            || read.manifest.generation != read.after
            || read.bytes != computed_bytes(read.block);
        self.engine.book.lock().bad_imports += u64::from(is_kept && is_bad);
        is_kept
    }

    async fn open(&self, store: SocketAddr) -> Option<OpenedSpace> {
        let opened = self.call(self.client.post(format!("http://{store}/exports"))).await?;
        opened.json().await.ok()
    }

    async fn call(&self, request: reqwest::RequestBuilder) -> Option<reqwest::Response> {
        let request = request.timeout(Duration::from_millis(EXPORT_CALL_MS));
        request.send().await.ok()?.error_for_status().ok()
    }

    /// Writes `pieces`, and after all of them their manifest.
    async fn write(
        &self,
        order: &ExportOrder,
        pieces: &[(Digest, Vec<u8>)],
    ) -> Option<StoredExport> {
        let OpenedSpace { space, generation } = self.open(order.store).await?;
        let url = format!("http://{}/exports/{space}", order.store);
        for (block, bytes) in pieces {
            let put = self.client.put(format!("{url}/pieces/{block}"));
            self.call(put.body(bytes.clone())).await?;
        }
        let piece = |(block, bytes): &(Digest, Vec<u8>)| Piece {
            block: *block,
            digest: piece_digest(bytes),
            size: Bytes(bytes.len() as u64),
        };
        let pieces: Vec<_> = pieces.iter().map(piece).collect();
        let count = u32::try_from(pieces.len()).ok()?;
        let manifest = Manifest { owner: order.owner.clone(), generation, count, pieces };
        self.call(self.client.put(format!("{url}/manifest")).json(&manifest)).await?;
        Some(StoredExport { space, tier: TierName::Memory, manifest })
    }
}

#[handler]
pub(super) async fn take_export(
    Data(life): Data<&Arc<Life>>,
    Json(order): Json<ExportOrder>,
) -> Result<Json<ExportReport>, StatusCode> {
    let pieces = life.cache.held(&order.owner, &order.blocks);
    if pieces.is_empty() {
        return Ok(Json(ExportReport { export: None, written: Bytes(0) }));
    }
    let export = life.write(&order, &pieces).await.ok_or(StatusCode::BAD_GATEWAY)?;
    life.engine.book.lock().exported_blocks += pieces.len() as u64;
    let written = Bytes(pieces.iter().map(|(_, bytes)| bytes.len() as u64).sum());
    Ok(Json(ExportReport { export: Some(export), written }))
}
