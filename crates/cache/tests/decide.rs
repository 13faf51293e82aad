//! The placement decision: choice of engine, imports, link queues, load estimates and home stores.

use bilberryford_cache::{
    BlockIndex, CostWeights, EngineSlot, EngineView, ImportProgress, LinkTable, LoadSample,
    LoadView, PlacementDecision, PlacementRequest, PlacementView, PrefixChain, StoreSlot, Tier,
    TransferClass, decide, home_store,
};
use bilberryford_types::{Bytes, BytesPerSec, Digest, TimeMs, Tokens};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;

const NOW: TimeMs = TimeMs(10_000);
const BLOCKS: u8 = 4;
const TOKENS: Tokens = Tokens(8_500);
const PIECE: Bytes = Bytes(128 << 20);

fn chain() -> PrefixChain {
    PrefixChain::from_blocks((1..=BLOCKS).map(|number| Digest([number; 32])).collect())
}

/// Engines that prefill 8,000 tokens per second, and two stores with links of 6 GB/s (memory) and 2.5 GB/s (disk).
fn view(engines: u8) -> PlacementView {
    let engine =
        |slot| EngineView { slot: EngineSlot(slot), is_usable: true, load: LoadView::new(8.0) };
    let rates = [BytesPerSec(6_000_000_000), BytesPerSec(2_500_000_000)];
    PlacementView {
        engines: (0..engines).map(engine).collect(),
        index: BlockIndex::new(10_000),
        links: LinkTable::new(&[rates, rates]),
        cost_weights: CostWeights { recompute_ms_per_token: 0.02, link_ms_per_mib: 0.2 },
        piece_size: PIECE,
    }
}

fn cache_in_engine(view: &mut PlacementView, engine: u8) {
    for block in chain().blocks() {
        view.index.set_engine_holder(block, EngineSlot(engine), true);
    }
}

fn export_to_stores(view: &mut PlacementView, tier: Tier) {
    for (position, block) in chain().blocks().iter().enumerate() {
        let store = StoreSlot(u8::try_from(position % 2).unwrap());
        view.index.set_store_tier(block, store, Some(tier));
    }
}

fn set_backlog(view: &mut PlacementView, engine: usize, tokens: u32) {
    let sample = LoadSample { taken_ms: NOW, backlog: Tokens(tokens) };
    view.engines[engine].load.apply_report(sample);
}

fn decide_seeded(view: &PlacementView, class: TransferClass) -> PlacementDecision {
    let request = PlacementRequest { chain: &chain(), tokens: TOKENS, class };
    decide(view, &request, NOW, &mut StdRng::seed_from_u64(1)).expect("an engine is usable")
}

#[test]
fn the_engine_that_caches_the_prefix_is_chosen() {
    let mut view = view(8);
    cache_in_engine(&mut view, 5);
    let decision = decide_seeded(&view, TransferClass::Interactive);
    assert_eq!(
        (decision.engine, decision.cached_blocks, decision.import_blocks),
        (EngineSlot(5), 4, 0)
    );
}

#[test]
fn a_backlog_at_the_caching_engine_moves_the_request_to_an_idle_one_with_an_import() {
    let mut view = view(8);
    cache_in_engine(&mut view, 5);
    export_to_stores(&mut view, Tier::Memory);
    set_backlog(&mut view, 5, 20_000);
    let decision = decide_seeded(&view, TransferClass::Interactive);
    assert_ne!(decision.engine, EngineSlot(5));
    assert_eq!((decision.cached_blocks, decision.import_blocks), (0, 4));
}

#[rstest]
#[case::memory(Tier::Memory, 4)]
#[case::disk(Tier::Disk, 4)]
fn blocks_in_stores_are_imported(#[case] tier: Tier, #[case] import: u32) {
    let mut view = view(2);
    export_to_stores(&mut view, tier);
    assert_eq!(decide_seeded(&view, TransferClass::Interactive).import_blocks, import);
}

#[test]
fn a_store_that_is_down_costs_only_its_own_blocks() {
    let mut view = view(2);
    export_to_stores(&mut view, Tier::Memory);
    view.links.set_store_down(StoreSlot(0), true);
    let decision = decide_seeded(&view, TransferClass::Interactive);
    assert_eq!((decision.import_blocks, decision.compute_tokens), (2, Tokens(4_500)));
}

#[test]
fn an_import_that_would_end_after_recomputing_is_not_started() {
    let mut view = view(2);
    export_to_stores(&mut view, Tier::Disk);
    for store in [StoreSlot(0), StoreSlot(1)] {
        // Two blocks take 107 ms to import and 500 ms to compute; 20 pieces are queued on each link.
        (0..20)
            .for_each(|_| view.links.reserve(store, Tier::Disk, TransferClass::Interactive, PIECE));
    }
    assert_eq!(decide_seeded(&view, TransferClass::Interactive).import_blocks, 0);
}

#[test]
fn an_interactive_transfer_waits_for_at_most_one_batch_piece() {
    let mut view = view(1);
    (0..50).for_each(|_| view.links.reserve(StoreSlot(0), Tier::Disk, TransferClass::Batch, PIECE));
    let link = view.links.link(StoreSlot(0), Tier::Disk);
    assert!(link.wait_ms(TransferClass::Interactive, PIECE) <= link.transfer_ms(PIECE));
    assert!(link.wait_ms(TransferClass::Batch, PIECE) >= 49.0 * link.transfer_ms(PIECE));
}

#[rstest]
#[case::fast(50.0, 250.0, 0.0, true)]
#[case::slow_but_the_engine_is_busy(400.0, 250.0, 1_000.0, true)]
#[case::slow(400.0, 250.0, 0.0, false)]
fn an_import_that_is_slower_than_recomputing_is_stopped(
    #[case] piece_ms: f64,
    #[case] recompute_ms: f64,
    #[case] engine_wait_ms: f64,
    #[case] expected: bool,
) {
    let progress = ImportProgress { remaining_pieces: 4, piece_ms, recompute_ms, engine_wait_ms };
    assert_eq!(progress.should_continue(), expected);
}

#[test]
fn dispatches_count_until_a_report_includes_them() {
    let mut load = LoadView::new(8.0);
    load.record_dispatch(TimeMs(100), Tokens(8_000));
    assert!((load.wait_ms(TimeMs(100)) - 1_000.0).abs() < 1.0);
    load.apply_report(LoadSample { taken_ms: TimeMs(200), backlog: Tokens(7_200) });
    assert!((load.wait_ms(TimeMs(200)) - 900.0).abs() < 1.0);
    load.apply_report(LoadSample { taken_ms: TimeMs(150), backlog: Tokens(0) });
    assert!((load.wait_ms(TimeMs(200)) - 900.0).abs() < 1.0, "an older report changes nothing");
}

#[test]
fn instances_with_the_same_view_do_not_all_choose_the_same_engine() {
    let view = view(12);
    let request =
        PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
    let chosen: std::collections::BTreeSet<_> = (0..8)
        .filter_map(|seed| decide(&view, &request, NOW, &mut StdRng::seed_from_u64(seed)))
        .map(|decision| decision.engine)
        .collect();
    assert!(chosen.len() >= 4, "{chosen:?}");
}

#[test]
fn without_a_usable_engine_there_is_no_decision() {
    let mut view = view(2);
    view.engines.iter_mut().for_each(|engine| engine.is_usable = false);
    let request =
        PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
    assert_eq!(decide(&view, &request, NOW, &mut StdRng::seed_from_u64(1)), None);
}

proptest! {
    /// For any view, each block is counted once, and no import is expected to delay an interactive request beyond
    /// computing everything at the same engine.
    #[test]
    fn a_decision_counts_each_block_once_and_imports_only_to_save_time(
        held in prop::collection::vec((0_u8..4, 0_u8..4), 4),
        backlog in prop::collection::vec(0_u32..30_000, 3),
        pending in 0_usize..30,
        seed in any::<u64>(),
    ) {
        let mut view = view(3);
        for (block, (engine, store)) in chain().blocks().iter().zip(&held) {
            if *engine < 3 { view.index.set_engine_holder(block, EngineSlot(*engine), true); }
            let tier = if store % 2 == 0 { Tier::Memory } else { Tier::Disk };
            if *store < 3 { view.index.set_store_tier(block, StoreSlot(store / 2), Some(tier)); }
        }
        for (engine, tokens) in backlog.iter().enumerate() { set_backlog(&mut view, engine, *tokens); }
        for _ in 0..pending { view.links.reserve(StoreSlot(0), Tier::Disk, TransferClass::Interactive, PIECE); }
        let request = PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
        let decision = decide(&view, &request, NOW, &mut StdRng::seed_from_u64(seed)).unwrap();
        let reused = decision.cached_blocks + decision.import_blocks;
        prop_assert_eq!(decision.compute_tokens.get(), TOKENS.get() - reused * 2_000);
        let wait_ms = view.engines[decision.engine.0 as usize].load.wait_ms(NOW);
        let all_ms = wait_ms + f64::from(TOKENS.get() - decision.cached_blocks * 2_000) / 8.0;
        prop_assert!(decision.first_token_ms <= all_ms + 0.001);
    }

    /// Of two stores, each is home to half of the blocks of any chain, give or take one block.
    #[test]
    fn home_stores_are_balanced(first in any::<u8>(), blocks in 1_usize..40) {
        let stores = [StoreSlot(0), StoreSlot(1)];
        let first = Digest([first; 32]);
        let at_first_store = (0..blocks)
            .filter(|position| home_store(&first, *position, &stores) == Some(StoreSlot(0)))
            .count();
        prop_assert!(at_first_store.abs_diff(blocks - at_first_store) <= 1);
    }
}
