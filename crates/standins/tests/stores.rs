//! Contract of `StoreClient` and `KvTransfer`, checked against the stand-ins of store and engine with their faults.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bilberryford_cache::{BlockOwner, ChainSalt, PrefixChain};
use bilberryford_endpoint::{
    EndpointError, GenerateCall, HttpEngine, HttpKvTransfer, HttpStore, KvTransfer, ModelEngine,
    StoreClient,
    kv_wire::{ExportOrder, ImportOrder, StoredExport, TierName},
};
use bilberryford_standins::{
    engine::{Engine, EngineSpec, Faults},
    host::ServerHandle,
    store::{StoreFaults, StoreService, StoreSpec},
};
use bilberryford_types::{Bytes, Digest, Priority, TimeMs, Tokens};
use futures::StreamExt;
use rstest::rstest;

const CALL_TIMEOUT: TimeMs = TimeMs(5_000);
const IMPORT_TIME_LIMIT: TimeMs = TimeMs(2_000);

fn loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().pool_max_idle_per_host(0).build().unwrap()
}

fn prompt() -> String {
    "x".repeat(2 * 8_000 + 100)
}

fn owner() -> BlockOwner {
    BlockOwner {
        team: "linz".parse().unwrap(),
        model: "assistant".parse().unwrap(),
        weight_version: "v1".parse().unwrap(),
    }
}

fn chain() -> Vec<Digest> {
    let BlockOwner { team, model, weight_version } = owner();
    let salt = ChainSalt { team, model, weight_version, adapter: String::new() };
    PrefixChain::from_prompt(&salt, &prompt()).blocks().to_vec()
}

struct EngineHost {
    engine: Arc<Engine>,
    host: ServerHandle,
}

impl EngineHost {
    fn start() -> Self {
        let version = "v1".parse().unwrap();
        let spec =
            EngineSpec { prefill_tokens_per_s: 0, token_gap_ms: 0, ..EngineSpec::new(version) };
        let engine = Engine::new(spec);
        let host = engine.host(loopback()).unwrap();
        Self { engine, host }
    }

    fn transfer(&self) -> HttpKvTransfer {
        HttpKvTransfer::new(self.host.address, client())
    }

    async fn run(&self) {
        let http = HttpEngine::new(self.host.address, client(), client());
        let call = GenerateCall {
            attempt: "a-1".parse().unwrap(),
            team: owner().team,
            model: owner().model,
            weight_version: owner().weight_version,
            prompt: prompt().into(),
            max_tokens: Tokens(2),
            skip_tokens: Tokens(0),
            skipped_text: "".into(),
            priority: Priority::Standard,
        };
        let stream = http.generate(call, CALL_TIMEOUT).await.unwrap();
        assert_eq!(stream.count().await, 3);
    }
}

/// A store with the two blocks of [`chain`], exported by one engine, and a second engine with an empty cache.
struct Setup {
    store: Arc<StoreService>,
    store_host: ServerHandle,
    other: EngineHost,
    found: Vec<StoredExport>,
}

impl Setup {
    async fn start(spec: StoreSpec) -> Self {
        let store = StoreService::new(spec);
        let store_host = store.host(loopback()).unwrap();
        let first = EngineHost::start();
        first.run().await;
        let address = store_host.address;
        let order = ExportOrder { owner: owner(), store: address, blocks: chain() };
        let report = first.transfer().export(&order, CALL_TIMEOUT).await.unwrap();
        assert_eq!(report.written, Bytes(32));
        let found =
            HttpStore::new(address, client()).look_up(&chain(), CALL_TIMEOUT).await.unwrap();
        Self { store, store_host, other: EngineHost::start(), found }
    }

    fn order(&self) -> ImportOrder {
        ImportOrder {
            owner: owner(),
            store: self.store_host.address,
            blocks: chain(),
            exports: self.found.clone(),
            time_limit: IMPORT_TIME_LIMIT,
        }
    }
}

#[tokio::test]
async fn blocks_move_between_engines_through_a_store() {
    let setup = Setup::start(StoreSpec::default()).await;
    let [export] = &setup.found[..] else { panic!("expected exactly one export") };
    assert_eq!((export.manifest.count, export.tier), (2, TierName::Memory));
    let report = setup.other.transfer().import(&setup.order(), CALL_TIMEOUT).await.unwrap();
    assert_eq!((report.imported, report.memory, report.disk), (chain(), Bytes(32), Bytes(0)));
    setup.other.run().await;
    let book = setup.other.engine.stats();
    assert_eq!((book.imported_blocks, book.cached_blocks, book.bad_blocks_used), (2, 2, 0));
    assert_eq!(setup.store.stats().read_bytes, [32, 0]);
}

#[tokio::test]
async fn a_store_without_room_in_memory_serves_from_disk() {
    let spec = StoreSpec { memory_pieces: 1, ..StoreSpec::default() };
    let setup = Setup::start(spec).await;
    let report = setup.other.transfer().import(&setup.order(), CALL_TIMEOUT).await.unwrap();
    assert_eq!((report.memory, report.disk), (Bytes(0), Bytes(32)));
    let store = HttpStore::new(setup.store_host.address, client());
    assert_eq!(store.usage(CALL_TIMEOUT).await.unwrap().disk_pieces, 2);
}

fn freed_before_read() -> StoreFaults {
    StoreFaults { free_before_read: true, ..StoreFaults::default() }
}

fn truncated_pieces() -> StoreFaults {
    StoreFaults { truncated_pieces: true, ..StoreFaults::default() }
}

fn generation_changed() -> StoreFaults {
    StoreFaults { generation_changes: true, ..StoreFaults::default() }
}

fn other_team() -> StoreFaults {
    StoreFaults { team: "wels".parse().ok(), ..StoreFaults::default() }
}

fn other_version() -> StoreFaults {
    StoreFaults { weight_version: "v2".parse().ok(), ..StoreFaults::default() }
}

fn missing_pieces() -> StoreFaults {
    StoreFaults { missing_pieces: true, ..StoreFaults::default() }
}

/// With the engine's checks no bad piece is cached. Without them the engine's counters show one, so the fault is real.
#[rstest]
#[case::freed_before_read(freed_before_read(), true)]
#[case::partly_written(truncated_pieces(), true)]
#[case::generation_moved(generation_changed(), true)]
#[case::other_team(other_team(), true)]
#[case::other_version(other_version(), true)]
#[case::missing_pieces(missing_pieces(), false)]
#[tokio::test]
async fn a_bad_piece_is_a_miss(
    #[case] faults: StoreFaults,
    #[case] is_cached_unchecked: bool,
    #[values(false, true)] skip_import_checks: bool,
) {
    let mut setup = Setup::start(StoreSpec::default()).await;
    setup.store.set_faults(faults);
    setup.other.engine.set_faults(Faults { skip_import_checks, ..Faults::default() });
    let store = HttpStore::new(setup.store_host.address, client());
    setup.found = store.look_up(&chain(), CALL_TIMEOUT).await.unwrap();
    let report = setup.other.transfer().import(&setup.order(), CALL_TIMEOUT).await.unwrap();
    let book = setup.other.engine.stats();
    let is_bad = is_cached_unchecked && skip_import_checks;
    assert_eq!(book.bad_imports > 0, is_bad, "{book:?}");
    assert_eq!(report.imported.is_empty(), !is_bad, "{report:?}");
}

#[tokio::test]
async fn a_store_that_is_down_fails_look_ups_and_imports_nothing() {
    let setup = Setup::start(StoreSpec::default()).await;
    setup.store_host.set_down(true);
    let store = HttpStore::new(setup.store_host.address, client());
    let deadline = Instant::now() + Duration::from_millis(CALL_TIMEOUT.get());
    while !matches!(store.look_up(&chain(), CALL_TIMEOUT).await, Err(EndpointError::Connect { .. }))
    {
        assert!(Instant::now() < deadline, "the store still accepts connections");
    }
    let report = setup.other.transfer().import(&setup.order(), CALL_TIMEOUT).await.unwrap();
    assert_eq!(report.imported, Vec::new());
}

#[tokio::test]
async fn a_full_store_refuses_exports() {
    let setup = Setup::start(StoreSpec::default()).await;
    setup.store.set_faults(StoreFaults { full: true, ..StoreFaults::default() });
    setup.other.run().await;
    let order = ExportOrder { owner: owner(), store: setup.store_host.address, blocks: chain() };
    let failed = setup.other.transfer().export(&order, CALL_TIMEOUT).await;
    assert!(matches!(failed, Err(EndpointError::ResponseLost { .. })), "{failed:?}");
    assert_eq!(setup.store.stats().exports, 1);
}

#[tokio::test]
async fn an_import_stops_at_its_time_limit() {
    let setup = Setup::start(StoreSpec::default()).await;
    setup.store.set_faults(StoreFaults { slow_ms: 60_000, ..StoreFaults::default() });
    let order = ImportOrder { time_limit: TimeMs(50), ..setup.order() };
    let report = setup.other.transfer().import(&order, CALL_TIMEOUT).await.unwrap();
    assert_eq!(report.imported, Vec::new());
}
