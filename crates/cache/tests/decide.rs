//! The placement decision in tables.

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

/// Engines of 8,000 tokens a second, two stores of 6 GB/s and 2.5 GB/s.
fn views(engines: u8) -> PlacementView {
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

fn in_engine(views: &mut PlacementView, engine: u8) {
    for block in chain().blocks() {
        views.index.set_engine_holder(block, EngineSlot(engine), true);
    }
}

fn in_stores(views: &mut PlacementView, tier: Tier) {
    for (place, block) in chain().blocks().iter().enumerate() {
        let store = StoreSlot(u8::try_from(place % 2).unwrap());
        views.index.set_store_tier(block, store, Some(tier));
    }
}

fn busy(views: &mut PlacementView, engine: usize, tokens: u32) {
    let sample = LoadSample { taken_ms: NOW, backlog: Tokens(tokens) };
    views.engines[engine].load.apply_report(sample);
}

fn place(views: &PlacementView, class: TransferClass) -> PlacementDecision {
    let request = PlacementRequest { chain: &chain(), tokens: TOKENS, class };
    decide(views, &request, NOW, &mut StdRng::seed_from_u64(1)).expect("an engine is usable")
}

#[test]
fn the_engine_that_holds_the_context_is_chosen() {
    let mut views = views(8);
    in_engine(&mut views, 5);
    let decision = place(&views, TransferClass::Interactive);
    assert_eq!(
        (decision.engine, decision.cached_blocks, decision.import_blocks),
        (EngineSlot(5), 4, 0)
    );
}

#[test]
fn a_long_queue_there_sends_the_request_to_an_idle_engine_with_an_import() {
    let mut views = views(8);
    in_engine(&mut views, 5);
    in_stores(&mut views, Tier::Memory);
    busy(&mut views, 5, 20_000);
    let decision = place(&views, TransferClass::Interactive);
    assert_ne!(decision.engine, EngineSlot(5));
    assert_eq!((decision.cached_blocks, decision.import_blocks), (0, 4));
}

#[rstest]
#[case::memory(Tier::Memory, 4)]
#[case::disk(Tier::Disk, 4)]
fn stored_context_is_imported(#[case] tier: Tier, #[case] import: u32) {
    let mut views = views(2);
    in_stores(&mut views, tier);
    assert_eq!(place(&views, TransferClass::Interactive).import_blocks, import);
}

#[test]
fn a_dead_store_costs_only_its_own_half() {
    let mut views = views(2);
    in_stores(&mut views, Tier::Memory);
    views.links.set_store_down(StoreSlot(0), true);
    let decision = place(&views, TransferClass::Interactive);
    assert_eq!((decision.import_blocks, decision.compute_tokens), (2, Tokens(4_500)));
}

#[test]
fn an_import_that_would_end_after_recomputing_is_not_started() {
    let mut views = views(2);
    in_stores(&mut views, Tier::Disk);
    for store in [StoreSlot(0), StoreSlot(1)] {
        // Two blocks take 107 ms to import and 500 ms to compute; 20 pieces are ahead.
        (0..20).for_each(|_| {
            views.links.reserve(store, Tier::Disk, TransferClass::Interactive, PIECE)
        });
    }
    assert_eq!(place(&views, TransferClass::Interactive).import_blocks, 0);
}

#[test]
fn quick_work_waits_for_one_piece_of_long_work_at_most() {
    let mut views = views(1);
    (0..50)
        .for_each(|_| views.links.reserve(StoreSlot(0), Tier::Disk, TransferClass::Batch, PIECE));
    let link = views.links.link(StoreSlot(0), Tier::Disk);
    assert!(link.wait_ms(TransferClass::Interactive, PIECE) <= link.transfer_ms(PIECE));
    assert!(link.wait_ms(TransferClass::Batch, PIECE) >= 49.0 * link.transfer_ms(PIECE));
}

#[rstest]
#[case::fast(50.0, 250.0, 0.0, true)]
#[case::slow_but_the_engine_is_busy(400.0, 250.0, 1_000.0, true)]
#[case::slow(400.0, 250.0, 0.0, false)]
fn an_import_that_falls_behind_is_cut_over(
    #[case] piece_ms: f64,
    #[case] recompute_ms: f64,
    #[case] engine_wait_ms: f64,
    #[case] keeps_up: bool,
) {
    let progress = ImportProgress { remaining_pieces: 4, piece_ms, recompute_ms, engine_wait_ms };
    assert_eq!(progress.should_continue(), keeps_up);
}

#[test]
fn own_dispatches_count_until_a_report_contains_them() {
    let mut load = LoadView::new(8.0);
    load.record_dispatch(TimeMs(100), Tokens(8_000));
    assert!((load.wait_ms(TimeMs(100)) - 1_000.0).abs() < 1.0);
    load.apply_report(LoadSample { taken_ms: TimeMs(200), backlog: Tokens(7_200) });
    assert!((load.wait_ms(TimeMs(200)) - 900.0).abs() < 1.0);
    load.apply_report(LoadSample { taken_ms: TimeMs(150), backlog: Tokens(0) });
    assert!((load.wait_ms(TimeMs(200)) - 900.0).abs() < 1.0, "an older report changes nothing");
}

#[test]
fn eight_deciders_with_the_same_view_do_not_all_choose_the_same_engine() {
    let views = views(12);
    let request =
        PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
    let chosen: std::collections::BTreeSet<_> = (0..8)
        .filter_map(|seed| decide(&views, &request, NOW, &mut StdRng::seed_from_u64(seed)))
        .map(|decision| decision.engine)
        .collect();
    assert!(chosen.len() >= 4, "{chosen:?}");
}

#[test]
fn no_usable_engine_is_no_decision() {
    let mut views = views(2);
    views.engines.iter_mut().for_each(|engine| engine.is_usable = false);
    let request =
        PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
    assert_eq!(decide(&views, &request, NOW, &mut StdRng::seed_from_u64(1)), None);
}

proptest! {
    /// Whatever the views say, blocks are counted once and a quick request never expects an import to make it later
    /// than computing everything at the same engine.
    #[test]
    fn a_decision_adds_up(
        held in prop::collection::vec((0_u8..4, 0_u8..4), 4),
        backlog in prop::collection::vec(0_u32..30_000, 3),
        pending in 0_usize..30,
        seed in any::<u64>(),
    ) {
        let mut views = views(3);
        for (block, (engine, store)) in chain().blocks().iter().zip(&held) {
            if *engine < 3 { views.index.set_engine_holder(block, EngineSlot(*engine), true); }
            let tier = if store % 2 == 0 { Tier::Memory } else { Tier::Disk };
            if *store < 3 { views.index.set_store_tier(block, StoreSlot(store / 2), Some(tier)); }
        }
        for (engine, tokens) in backlog.iter().enumerate() { busy(&mut views, engine, *tokens); }
        for _ in 0..pending { views.links.reserve(StoreSlot(0), Tier::Disk, TransferClass::Interactive, PIECE); }
        let request = PlacementRequest { chain: &chain(), tokens: TOKENS, class: TransferClass::Interactive };
        let decision = decide(&views, &request, NOW, &mut StdRng::seed_from_u64(seed)).unwrap();
        let known = decision.cached_blocks + decision.import_blocks;
        prop_assert_eq!(decision.compute_tokens.get(), TOKENS.get() - known * 2_000);
        let wait_ms = views.engines[decision.engine.0 as usize].load.wait_ms(NOW);
        let all_ms = wait_ms + f64::from(TOKENS.get() - decision.cached_blocks * 2_000) / 8.0;
        prop_assert!(decision.first_token_ms <= all_ms + 0.001);
    }

    /// A dead store takes half of any chain at most, up to one block.
    #[test]
    fn homes_are_even(first in any::<u8>(), blocks in 1_usize..40) {
        let stores = [StoreSlot(0), StoreSlot(1)];
        let first = Digest([first; 32]);
        let of_first = (0..blocks)
            .filter(|place| home_store(&first, *place, &stores) == Some(StoreSlot(0)))
            .count();
        prop_assert!(of_first.abs_diff(blocks - of_first) <= 1);
    }
}
