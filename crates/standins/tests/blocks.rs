//! Contract of the store and of the engine's cache: a block that is freed, partly written or of another owner is never
//! used.

use bilberryford_cache::{BlockOwner, ChainSalt, ImportMiss, Manifest, PrefixChain};
use bilberryford_standins::{
    engine::kv::{KvCache, computed_bytes},
    store::{Space, Store},
};
use bilberryford_types::{Bytes, Digest, Generation, Incarnation};
use rstest::rstest;

const PIECE_SIZE: Bytes = Bytes(16);

fn owner(team: &str, version: &str) -> BlockOwner {
    BlockOwner {
        team: team.parse().unwrap(),
        model: "assistant".parse().unwrap(),
        weight_version: version.parse().unwrap(),
    }
}

fn salt(owner: &BlockOwner) -> ChainSalt {
    ChainSalt {
        team: owner.team.clone(),
        model: owner.model.clone(),
        weight_version: owner.weight_version.clone(),
        adapter: String::new(),
    }
}

fn block(number: u8) -> Digest {
    Digest([number; 32])
}

fn kv() -> KvCache {
    KvCache::new(8, Incarnation(0))
}

fn exported(store: &mut Store, owner: &BlockOwner, blocks: &[Digest]) -> (Space, Manifest) {
    let space = store.begin();
    blocks.iter().for_each(|block| store.write(space, *block, computed_bytes(block)));
    let manifest = store.manifest_of(space, owner, PIECE_SIZE);
    store.publish(space, manifest.clone());
    (space, manifest)
}

fn import(
    store: &Store,
    space: Space,
    manifest: &Manifest,
    owner: &BlockOwner,
    wanted: &Digest,
) -> Result<(), ImportMiss> {
    let index = manifest.pieces.iter().position(|piece| piece.block == *wanted).unwrap_or(0);
    let bytes = store.read(space, index).unwrap_or_default();
    kv().import(owner, wanted, manifest, bytes, store.generation(space))
}

/// A change to a space between the read of its manifest and the read of a piece.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    Freed,
    ReusedForAnotherBlock,
    ReusedForTheSameBlock,
    PartlyWritten,
}

#[rstest]
#[case::whole(Fault::None, Ok(()))]
#[case::freed(Fault::Freed, Err(ImportMiss::DigestMismatch))]
#[case::used_again(Fault::ReusedForAnotherBlock, Err(ImportMiss::DigestMismatch))]
#[case::used_again_for_the_same(Fault::ReusedForTheSameBlock, Err(ImportMiss::GenerationChanged))]
#[case::half_written(Fault::PartlyWritten, Err(ImportMiss::DigestMismatch))]
fn a_freed_or_partly_written_block_is_never_read(
    #[case] fault: Fault,
    #[case] expected: Result<(), ImportMiss>,
) {
    let owner = owner("a", "v1");
    let mut store = Store::new(8, 8);
    let (space, mut manifest) = exported(&mut store, &owner, &[block(1)]);
    match fault {
        Fault::None => {}
        Fault::Freed => drop(store.free(space)),
        Fault::ReusedForAnotherBlock => {
            store.free(space);
            exported(&mut store, &owner, &[block(2)]);
        }
        Fault::ReusedForTheSameBlock => {
            store.free(space);
            assert_eq!(exported(&mut store, &owner, &[block(1)]).0, space);
        }
        Fault::PartlyWritten => {
            store.free(space);
            let space = store.begin();
            store.write(space, block(1), computed_bytes(&block(1))[..8].to_vec());
            manifest.generation = store.generation(space);
        }
    }
    assert_eq!(import(&store, space, &manifest, &owner, &block(1)), expected);
}

#[test]
fn an_export_without_its_manifest_is_not_found() {
    let mut store = Store::new(8, 8);
    let space = store.begin();
    store.write(space, block(1), computed_bytes(&block(1)));
    assert_eq!(store.find(&block(1)), None);
    assert!(store.manifest(space).is_none());
}

#[rstest]
#[case::own("a", "v1", Ok(()))]
#[case::other_team("b", "v1", Err(ImportMiss::OwnerMismatch))]
#[case::other_version("a", "v2", Err(ImportMiss::OwnerMismatch))]
fn an_export_of_another_owner_is_a_miss(
    #[case] team: &str,
    #[case] version: &str,
    #[case] expected: Result<(), ImportMiss>,
) {
    let mut store = Store::new(8, 8);
    let (space, manifest) = exported(&mut store, &owner("a", "v1"), &[block(1)]);
    assert_eq!(import(&store, space, &manifest, &owner(team, version), &block(1)), expected);
}

#[test]
fn a_manifest_that_lost_a_piece_is_a_miss() {
    let owner = owner("a", "v1");
    let mut store = Store::new(8, 8);
    let (space, mut manifest) = exported(&mut store, &owner, &[block(1), block(2)]);
    manifest.pieces.pop();
    assert_eq!(
        import(&store, space, &manifest, &owner, &block(1)),
        Err(ImportMiss::IncompleteManifest)
    );
}

#[rstest]
#[case::other_team("b", "v1", false)]
#[case::new_request_after_a_swap("a", "v2", false)]
#[case::continued_run("a", "v1", true)]
fn block_digests_separate_teams_and_weight_versions(
    #[case] team: &str,
    #[case] version: &str,
    #[case] is_shared: bool,
) {
    let prompt = "x".repeat(8_000 * 3);
    let original = owner("a", "v1");
    let mut kv = kv();
    let chain = PrefixChain::from_prompt(&salt(&original), &prompt);
    chain.blocks().iter().for_each(|block| kv.insert_computed(&original, block));
    let requested = PrefixChain::from_prompt(&salt(&owner(team, version)), &prompt);
    assert_eq!(kv.look_up_chain(requested.blocks()), vec![is_shared; 3]);
}

#[test]
fn a_full_store_moves_the_oldest_export_to_disk_and_then_evicts_it() {
    let owner = owner("a", "v1");
    let mut store = Store::new(1, 1);
    (1..=3).for_each(|number| drop(exported(&mut store, &owner, &[block(number)])));
    let tiers: Vec<_> = (1..=3)
        .map(|number| store.find(&block(number)).map(|(_, tier)| tier.to_string()))
        .collect();
    assert_eq!(tiers, [None, Some("disk".to_owned()), Some("memory".to_owned())]);
}

#[test]
fn the_least_recently_used_block_is_evicted_and_reported() {
    let owner = owner("a", "v1");
    let mut kv = KvCache::new(2, Incarnation(4));
    kv.insert_computed(&owner, &block(1));
    kv.insert_computed(&owner, &block(2));
    drop(kv.take_event());
    kv.look_up_chain(&[block(1)]);
    kv.insert_computed(&owner, &block(3));
    let event = kv.take_event().expect("something changed");
    assert_eq!((event.sequence, event.incarnation), (2, Incarnation(4)));
    assert_eq!((event.stored, event.removed), (vec![block(3)], vec![block(2)]));
    assert_eq!(kv.take_event(), None);
    assert_eq!(kv.snapshot().sequence, 2);
}

#[test]
fn generations_only_grow() {
    let mut store = Store::new(8, 8);
    let space = store.begin();
    assert_eq!(store.generation(space), Generation(0));
    store.free(space);
    assert_eq!(store.generation(space), Generation(1));
}
