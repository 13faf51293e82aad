//! The block index with late, lost and repeated events.

use bilberryford_cache::{
    BlockIndex, CacheEvent, CacheSnapshot, EngineSlot, EventOutcome, StoreSlot, Tier,
};
use bilberryford_types::{Digest, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

const ENGINE: EngineSlot = EngineSlot(3);

fn block(number: u64) -> Digest {
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    Digest(bytes)
}

fn event(incarnation: u64, sequence: u64, stored: &[u64], removed: &[u64]) -> CacheEvent {
    let blocks = |numbers: &[u64]| numbers.iter().copied().map(block).collect();
    CacheEvent {
        incarnation: Incarnation(incarnation),
        sequence,
        stored: blocks(stored),
        removed: blocks(removed),
    }
}

#[rstest]
#[case::in_order(&[(0, 1), (0, 2)], EventOutcome::Applied, false)]
#[case::repeated(&[(0, 1), (0, 1)], EventOutcome::Stale, false)]
#[case::gap(&[(0, 1), (0, 3)], EventOutcome::Gap, true)]
#[case::after_a_gap(&[(0, 1), (0, 3), (0, 4)], EventOutcome::Gap, true)]
#[case::first_event_lost(&[(0, 2)], EventOutcome::Gap, true)]
#[case::restarted(&[(0, 1), (0, 2), (1, 1)], EventOutcome::Applied, false)]
#[case::late_from_before_the_restart(&[(1, 1), (0, 9)], EventOutcome::Stale, false)]
fn an_event_out_of_sequence_is_stale_or_a_gap(
    #[case] events: &[(u64, u64)],
    #[case] expected: EventOutcome,
    #[case] has_gap: bool,
) {
    let mut index = BlockIndex::new(100);
    let outcome = events
        .iter()
        .map(|(incarnation, sequence)| {
            index.apply_event(ENGINE, &event(*incarnation, *sequence, &[1], &[]))
        })
        .last();
    assert_eq!(outcome, Some(expected));
    assert_eq!(index.has_gap(ENGINE), has_gap);
}

#[test]
fn a_snapshot_ends_a_gap_and_replaces_the_engines_entries() {
    let mut index = BlockIndex::new(100);
    index.apply_event(ENGINE, &event(0, 1, &[1, 2], &[]));
    index.apply_event(ENGINE, &event(0, 5, &[3], &[]));
    let snapshot =
        CacheSnapshot { incarnation: Incarnation(0), sequence: 6, blocks: vec![block(2)] };
    index.apply_snapshot(ENGINE, &snapshot);
    assert!(!index.has_gap(ENGINE));
    let held: Vec<_> =
        (1..4).map(|number| index.holders(&block(number)).has_engine(ENGINE)).collect();
    assert_eq!(held, [false, true, false]);
    assert_eq!(index.apply_event(ENGINE, &event(0, 7, &[4], &[])), EventOutcome::Applied);
}

#[test]
fn a_stale_snapshot_is_ignored() {
    let mut index = BlockIndex::new(100);
    index.apply_event(ENGINE, &event(0, 1, &[], &[]));
    index.apply_event(ENGINE, &event(0, 2, &[1], &[]));
    index.apply_snapshot(ENGINE, &CacheSnapshot { sequence: 1, ..CacheSnapshot::default() });
    assert!(index.holders(&block(1)).has_engine(ENGINE));
}

#[test]
fn a_restart_clears_the_engines_entries() {
    let mut index = BlockIndex::new(100);
    index.apply_event(ENGINE, &event(0, 1, &[1], &[]));
    index.apply_event(ENGINE, &event(1, 1, &[2], &[]));
    assert!(!index.holders(&block(1)).has_engine(ENGINE));
    assert!(index.holders(&block(2)).has_engine(ENGINE));
}

#[test]
fn used_blocks_are_evicted_last() {
    let mut index = BlockIndex::new(100);
    index.set_store_tier(&block(0), StoreSlot(0), Some(Tier::Disk));
    for number in 1..1_000 {
        index.touch(&[block(0)]);
        index.set_store_tier(&block(number), StoreSlot(0), Some(Tier::Memory));
    }
    assert_eq!(index.holders(&block(0)).store_tier(StoreSlot(0)), Some(Tier::Disk));
    assert!(index.len() <= 100);
}

/// Takes the slope between 10,000 and 80,000 prompts of five blocks, so that fixed memory does not count.
#[test]
fn memory_grows_by_less_than_320_bytes_per_prompt() {
    let bytes = |prompts: u64| {
        let mut index = BlockIndex::new(1_000_000);
        (0..prompts * 5).for_each(|number| index.set_engine_holder(&block(number), ENGINE, true));
        index.memory_bytes() as u64
    };
    let slope = (bytes(80_000) - bytes(10_000)) / 70_000;
    println!("{slope} bytes per indexed prompt of five blocks");
    assert!(slope < 320, "{slope} bytes");
}

proptest! {
    /// However events are lost, repeated or reordered, the entries of an engine without a gap equal its cache.
    #[test]
    fn entries_are_correct_while_there_is_no_gap(
        changes in prop::collection::vec((0_u64..8, any::<bool>()), 1..40),
        order in prop::collection::vec(0_usize..40, 1..80),
    ) {
        let mut held = std::collections::BTreeSet::new();
        let mut states = vec![held.clone()];
        let events: Vec<_> = changes.iter().enumerate().map(|(position, (number, is_stored))| {
            let sequence = position as u64 + 1;
            if *is_stored { held.insert(*number); } else { held.remove(number); }
            states.push(held.clone());
            let one = [*number];
            if *is_stored { event(0, sequence, &one, &[]) } else { event(0, sequence, &[], &one) }
        }).collect();
        let mut index = BlockIndex::new(1_000);
        let mut last = 0;
        for position in order {
            let Some(event) = events.get(position) else { continue };
            if index.apply_event(ENGINE, event) != EventOutcome::Stale { last = event.sequence as usize; }
            if !index.has_gap(ENGINE) {
                for number in 0..8 {
                    let is_held = index.holders(&block(number)).has_engine(ENGINE);
                    prop_assert_eq!(is_held, states[last].contains(&number));
                }
            }
        }
    }

    /// The index never holds more blocks than its limit.
    #[test]
    fn the_index_is_bounded(numbers in prop::collection::vec(0_u64..10_000, 0..2_000)) {
        let mut index = BlockIndex::new(64);
        for number in numbers {
            index.set_engine_holder(&block(number), ENGINE, true);
            prop_assert!(index.len() <= 64);
        }
    }
}
