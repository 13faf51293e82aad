//! Transfer of blocks between an engine's cache and a store. The sender of an order never handles the blocks' bytes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_cache::{BlockOwner, Manifest, Piece, piece_digest};
use bilberryford_endpoint::kv_wire::{
    ExportOrder, ExportReport, ExportSpace, ImportOrder, ImportReport, StoredExport, TierName,
};
use bilberryford_types::{Bytes, Digest};
use poem::{
    handler,
    http::StatusCode,
    web::{Data, Json},
};
use tokio::time::{Instant, timeout_at};

use super::{EngineProcess, cache::ReadPiece, kv::computed_bytes};

/// Deadline of each call to a store during an export, in milliseconds.
const EXPORT_CALL_MS: u64 = 1_000;

#[handler]
pub(super) async fn import_blocks(
    Data(process): Data<&Arc<EngineProcess>>,
    Json(order): Json<ImportOrder>,
) -> Json<ImportReport> {
    if process.engine.faults.lock().mute_imports {
        std::future::pending::<()>().await;
    }
    let deadline = Instant::now() + Duration::from_millis(order.time_limit.get());
    let mut report = ImportReport::default();
    for block in &order.blocks {
        let export = order.exports.iter().find(|export| contains_block(&export.manifest, block));
        let Some(export) = export else { continue };
        let Ok(imported) =
            timeout_at(deadline, import_block(process, &order, export, block, &mut report)).await
        else {
            break;
        };
        process.engine.stats.lock().import_misses += u64::from(imported.is_none());
    }
    process.engine.stats.lock().imported_blocks += report.imported.len() as u64;
    Json(report)
}

fn contains_block(manifest: &Manifest, block: &Digest) -> bool {
    manifest.pieces.iter().any(|piece| piece.block == *block)
}

async fn import_block(
    process: &EngineProcess,
    order: &ImportOrder,
    export: &StoredExport,
    block: &Digest,
    report: &mut ImportReport,
) -> Option<()> {
    let manifest = &export.manifest;
    if !process.engine.faults.lock().skip_import_checks {
        manifest.find_piece(&order.owner, block).ok()?;
    }
    let index = manifest.pieces.iter().position(|piece| piece.block == *block)?;
    let url = format!("http://{}/exports/{}", order.store, export.space);
    let response = process.client.get(format!("{url}/pieces/{index}")).send().await.ok()?;
    let bytes = response.error_for_status().ok()?.bytes().await.ok()?;
    let transferred = match export.tier {
        TierName::Memory => &mut report.memory,
        TierName::Disk => &mut report.disk,
    };
    transferred.0 += bytes.len() as u64;
    let space = process.client.get(&url).send().await.ok()?.json::<ExportSpace>().await.ok()?;
    let piece = ReadPiece { block, manifest, bytes: &bytes, generation_after: space.generation };
    let is_stored = process.store_imported(&order.owner, &piece);
    if is_stored {
        report.imported.push(*block);
    }
    is_stored.then_some(())
}

impl EngineProcess {
    /// Caches a block that was read, and counts it if it is one that should have been rejected.
    fn store_imported(&self, owner: &BlockOwner, piece: &ReadPiece<'_>) -> bool {
        let is_checked = !self.engine.faults.lock().skip_import_checks;
        let is_stored = self.cache.import(owner, piece, is_checked);
        let is_bad = piece.manifest.owner != *owner
            || piece.manifest.generation != piece.generation_after
            || piece.bytes != computed_bytes(piece.block);
        self.engine.stats.lock().bad_imports += u64::from(is_stored && is_bad);
        is_stored
    }

    async fn open_space(&self, store: SocketAddr) -> Option<ExportSpace> {
        let response = self.call(self.client.post(format!("http://{store}/exports"))).await?;
        response.json().await.ok()
    }

    async fn call(&self, request: reqwest::RequestBuilder) -> Option<reqwest::Response> {
        let request = request.timeout(Duration::from_millis(EXPORT_CALL_MS));
        request.send().await.ok()?.error_for_status().ok()
    }

    /// Writes `pieces` and then their manifest, which makes them visible.
    async fn write(
        &self,
        order: &ExportOrder,
        pieces: &[(Digest, Vec<u8>)],
    ) -> Option<StoredExport> {
        let ExportSpace { space, generation } = self.open_space(order.store).await?;
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
pub(super) async fn export_blocks(
    Data(process): Data<&Arc<EngineProcess>>,
    Json(order): Json<ExportOrder>,
) -> Result<Json<ExportReport>, StatusCode> {
    let pieces = process.cache.owned_blocks(&order.owner, &order.blocks);
    if pieces.is_empty() {
        return Ok(Json(ExportReport { export: None, written: Bytes(0) }));
    }
    let export = process.write(&order, &pieces).await.ok_or(StatusCode::BAD_GATEWAY)?;
    process.engine.stats.lock().exported_blocks += pieces.len() as u64;
    let written = Bytes(pieces.iter().map(|(_, bytes)| bytes.len() as u64).sum());
    Ok(Json(ExportReport { export: Some(export), written }))
}
