//! The store over HTTP, with limited links, injected faults and counters of what it served.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_cache::Manifest;
use bilberryford_endpoint::kv_wire::{ExportSpace, LookUpBody, StoreUsage, StoredExport, TierName};
use bilberryford_types::{Digest, Generation, TeamName, WeightVersion};
use parking_lot::Mutex;
use poem::{
    EndpointExt, Route, get, handler,
    http::StatusCode,
    post, put,
    web::{Data, Json, Path},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::{Space, Store};
use crate::host::{ServerHandle, host};

/// Time from a crash to the restart, in milliseconds.
const RESTART_MS: u64 = 300;

/// The capacity and speed of a store.
#[derive(Debug, Clone, Copy)]
pub struct StoreSpec {
    /// Capacity of the memory tier in pieces.
    pub memory_pieces: usize,
    /// Capacity of the disk tier in pieces.
    pub disk_pieces: usize,
    /// Transfer time of a piece over the links of memory and disk, in milliseconds.
    pub piece_ms: [u64; 2],
}

impl Default for StoreSpec {
    fn default() -> Self {
        Self { memory_pieces: 100, disk_pieces: 1_000, piece_ms: [0, 0] }
    }
}

/// Faults that can be injected into a store.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// A space is freed and reused between the look-up and the read.
    pub free_before_read: bool,
    /// Reads return only half of a piece's bytes.
    pub truncated_pieces: bool,
    /// Manifests are present, but reads of their pieces fail.
    pub missing_pieces: bool,
    /// The generation of a space differs after a read although its bytes are the same.
    pub generation_changes: bool,
    /// Manifests name another team.
    pub team: Option<TeamName>,
    /// Manifests name another weight version.
    pub weight_version: Option<WeightVersion>,
    /// New exports are refused with 507.
    pub full: bool,
    /// Extra time per read of a piece, in milliseconds.
    pub slow_ms: u64,
}

/// Counters of what a store served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStats {
    /// Look-ups of manifests.
    pub look_ups: u64,
    /// Bytes that were read, from memory and from disk.
    pub read_bytes: [u64; 2],
    /// Bytes that were written.
    pub written_bytes: u64,
    /// Exports that became visible.
    pub exports: u64,
    /// Reads that returned other bytes than were exported.
    pub bad_reads: u64,
}

#[derive(Debug)]
struct State {
    store: Store,
    faults: StoreFaults,
    stats: StoreStats,
}

/// A store behind an HTTP server; its content survives a crash of the server.
#[derive(Debug)]
pub struct StoreService {
    piece_ms: [u64; 2],
    links: [tokio::sync::Mutex<()>; 2],
    state: Mutex<State>,
}

impl StoreService {
    /// Creates an empty store.
    pub fn new(spec: StoreSpec) -> Arc<Self> {
        let store = Store::new(spec.memory_pieces, spec.disk_pieces);
        let state = State { store, faults: StoreFaults::default(), stats: StoreStats::default() };
        Arc::new(Self {
            piece_ms: spec.piece_ms,
            links: Default::default(),
            state: Mutex::new(state),
        })
    }

    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let service = self.clone();
        host(listen, Duration::from_millis(RESTART_MS), move |_| {
            Route::new()
                .at("/manifests", post(look_up))
                .at("/usage", get(usage))
                .at("/exports", post(open_space))
                .at("/exports/:space", get(show_generation))
                .at("/exports/:space/manifest", put(publish))
                .at("/exports/:space/pieces/:piece", put(write).get(read))
                .data(service.clone())
                .map_to_response()
                .boxed()
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.lock().faults = faults;
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> StoreStats {
        self.state.lock().stats
    }

    /// Returns true if a published export contains the block.
    pub fn holds(&self, block: &Digest) -> bool {
        self.state.lock().store.find(block).is_some()
    }

    async fn transfer_piece(&self, tier: usize, slow_ms: u64) {
        let _link = self.links[tier].lock().await;
        sleep(Duration::from_millis(self.piece_ms[tier] + slow_ms)).await;
    }
}

impl State {
    fn stored_export(&self, space: Space) -> Option<StoredExport> {
        let mut manifest = self.store.manifest(space)?.clone();
        let (_, tier) = self.store.find(&manifest.pieces.first()?.block)?;
        if let Some(team) = &self.faults.team {
            manifest.owner.team = team.clone();
        }
        if let Some(version) = &self.faults.weight_version {
            manifest.owner.weight_version = version.clone();
        }
        Some(StoredExport { space: space.0 as u64, tier: tier.into(), manifest })
    }

    /// Returns the bytes of a piece with the injected faults applied, or `None` if the piece is missing.
    fn read(&mut self, space: Space, index: usize) -> Option<Vec<u8>> {
        let expected = self.store.read(space, index).map(<[u8]>::to_vec);
        if self.faults.free_before_read {
            self.store.free(space);
            let reused = self.store.begin();
            (0..=index).for_each(|_| self.store.write(reused, Digest([0xee; 32]), vec![0xee; 16]));
        }
        let mut bytes = self.store.read(space, index)?.to_vec();
        if self.faults.truncated_pieces {
            bytes.truncate(bytes.len() / 2);
        }
        let is_bad = self.faults.generation_changes || expected.as_ref() != Some(&bytes);
        self.stats.bad_reads += u64::from(is_bad);
        (!self.faults.missing_pieces).then_some(bytes)
    }
}

fn space(number: u64) -> Space {
    Space(usize::try_from(number).unwrap_or(usize::MAX))
}

#[handler]
fn look_up(
    Data(service): Data<&Arc<StoreService>>,
    Json(body): Json<LookUpBody>,
) -> Json<Vec<StoredExport>> {
    let mut state = service.state.lock();
    state.stats.look_ups += 1;
    let mut spaces: Vec<_> =
        body.blocks.iter().filter_map(|block| Some(state.store.find(block)?.0.0)).collect();
    spaces.sort_unstable();
    spaces.dedup();
    Json(spaces.into_iter().filter_map(|index| state.stored_export(Space(index))).collect())
}

#[handler]
fn usage(Data(service): Data<&Arc<StoreService>>) -> Json<StoreUsage> {
    let [memory, disk] = service.state.lock().store.piece_counts;
    Json(StoreUsage { memory_pieces: memory as u64, disk_pieces: disk as u64 })
}

#[handler]
fn open_space(Data(service): Data<&Arc<StoreService>>) -> Result<Json<ExportSpace>, StatusCode> {
    let mut state = service.state.lock();
    if state.faults.full {
        return Err(StatusCode::INSUFFICIENT_STORAGE);
    }
    let new_space = state.store.begin();
    Ok(Json(ExportSpace {
        space: new_space.0 as u64,
        generation: state.store.generation(new_space),
    }))
}

#[handler]
fn show_generation(
    Data(service): Data<&Arc<StoreService>>,
    Path(number): Path<u64>,
) -> Json<ExportSpace> {
    let state = service.state.lock();
    let change = u64::from(state.faults.generation_changes);
    let generation = Generation(state.store.generation(space(number)).get() + change);
    Json(ExportSpace { space: number, generation })
}

#[handler]
fn publish(
    Data(service): Data<&Arc<StoreService>>,
    Path(number): Path<u64>,
    Json(manifest): Json<Manifest>,
) -> StatusCode {
    let mut state = service.state.lock();
    let target = space(number);
    let is_written = manifest.count > 0
        && manifest.generation == state.store.generation(target)
        && state.store.read(target, manifest.count as usize - 1).is_some();
    if !is_written || state.store.manifest(target).is_some() {
        return StatusCode::CONFLICT;
    }
    state.store.publish(target, manifest);
    state.stats.exports += 1;
    StatusCode::NO_CONTENT
}

#[handler]
async fn write(
    Data(service): Data<&Arc<StoreService>>,
    Path((number, block)): Path<(u64, String)>,
    bytes: Vec<u8>,
) -> StatusCode {
    let Ok(block) = block.parse::<Digest>() else { return StatusCode::BAD_REQUEST };
    service.transfer_piece(0, 0).await;
    let mut state = service.state.lock();
    state.stats.written_bytes += bytes.len() as u64;
    state.store.write(space(number), block, bytes);
    StatusCode::NO_CONTENT
}

#[handler]
async fn read(
    Data(service): Data<&Arc<StoreService>>,
    Path((number, index)): Path<(u64, usize)>,
) -> Result<Vec<u8>, StatusCode> {
    let (tier, slow_ms) = {
        let state = service.state.lock();
        let export = state.stored_export(space(number)).ok_or(StatusCode::NOT_FOUND)?;
        (usize::from(export.tier == TierName::Disk), state.faults.slow_ms)
    };
    service.transfer_piece(tier, slow_ms).await;
    let mut state = service.state.lock();
    let bytes = state.read(space(number), index).ok_or(StatusCode::NOT_FOUND)?;
    state.stats.read_bytes[tier] += bytes.len() as u64;
    Ok(bytes)
}
