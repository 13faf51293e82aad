//! Returning context comes back from stores, at another instance; and whatever a store does, the answer is right.

use std::time::{Duration, Instant};

use bilberryford_standins::{
    engine::{EngineSpec, Faults, Stats},
    load::Outcome,
    store::StoreFaults,
};
use bilberryford_types::{Event, EventKind};
use rstest::rstest;

use crate::support::{DOCUMENT, Deployment, LIMIT, eventually, fast_engine};

/// Blocks of one conversation.
const BLOCKS: u64 = 2;
/// Other conversations that push it out of the engines' memory.
const FILLERS: u64 = 8;

/// The prompt of a conversation: two blocks and a little more.
fn prompt(conversation: u64) -> String {
    format!("{conversation:08}").repeat(2 * 1_000 + 10)
}

/// Two instances, two engines that hold four blocks each, two stores.
async fn start() -> Deployment {
    let store = |name| {
        format!("\n[[stores]]\nname = \"{name}\"\nmemory_link = 400000000\ndisk_link = 80000000\n")
    };
    let document = format!("{DOCUMENT}{}{}", store("store-1"), store("store-2"));
    let spec = EngineSpec { cache_blocks: 4, ..fast_engine() };
    Deployment::start_stores(2, &spec, &document).await.unwrap()
}

/// The engines' books in one.
fn book(deployment: &Deployment) -> Stats {
    deployment.engines.iter().map(|(engine, _)| engine.stats()).fold(
        Stats::default(),
        |sum, book| Stats {
            cached_blocks: sum.cached_blocks + book.cached_blocks,
            imported_blocks: sum.imported_blocks + book.imported_blocks,
            import_misses: sum.import_misses + book.import_misses,
            bad_imports: sum.bad_imports + book.bad_imports,
            bad_blocks_used: sum.bad_blocks_used + book.bad_blocks_used,
            exported_blocks: sum.exported_blocks + book.exported_blocks,
            ..Stats::default()
        },
    )
}

fn look_ups(deployment: &Deployment) -> u64 {
    deployment.stores.iter().map(|(store, _)| store.stats().look_ups).sum()
}

async fn send(deployment: &Deployment, instance: usize, conversation: u64) {
    let url = deployment.url(instance);
    let seen = deployment.caller().prompt(&url, "assistant", &prompt(conversation), 5, true).await;
    assert_eq!(seen.outcome, Outcome::Complete);
}

/// What a return did, by the books.
#[derive(Debug)]
struct Returned {
    cached: u64,
    imported: u64,
    misses: u64,
    look_ups: u64,
}

/// A conversation at the first instance is written back and pushed out of the engines, and returns at the second, after
/// `break_it`.
async fn round(deployment: &Deployment, number: u64, break_it: &impl Fn(&Deployment)) -> Returned {
    let first = number * (FILLERS + 1);
    let written = book(deployment).exported_blocks;
    send(deployment, 0, first).await;
    let is_written =
        || async { (book(deployment).exported_blocks >= written + BLOCKS).then_some(()) };
    if number > 0 {
        eventually(is_written).await.expect("the context is written back in time");
    }
    for filler in 1..=FILLERS {
        send(deployment, 0, first + filler).await;
    }
    break_it(deployment);
    let (before, look_ups_before) = (book(deployment), look_ups(deployment));
    send(deployment, 1, first).await;
    let after = book(deployment);
    for (store, host) in &deployment.stores {
        store.set_faults(StoreFaults::default());
        host.set_down(false);
        // The first instance must find it up, or it writes the next conversation to the other store alone.
        let usage = || deployment.client.get(format!("{}/usage", host.url())).send();
        eventually(|| async { usage().await.ok() }).await.expect("the store is up in time");
    }
    assert_eq!((after.bad_imports, after.bad_blocks_used), (0, 0), "{after:?}");
    Returned {
        cached: after.cached_blocks - before.cached_blocks,
        imported: after.imported_blocks - before.imported_blocks,
        misses: after.import_misses - before.import_misses,
        look_ups: look_ups(deployment) - look_ups_before,
    }
}

/// Waits until the first instance writes back, then plays rounds until one is as wanted.
async fn rounds_until(
    deployment: &Deployment,
    break_it: impl Fn(&Deployment),
    is_wanted: impl Fn(&Returned) -> bool,
) -> Returned {
    let until = Instant::now() + LIMIT;
    let mut warm_up = 1_000_000;
    while book(deployment).exported_blocks == 0 {
        assert!(Instant::now() < until, "nothing is written back");
        send(deployment, 0, warm_up).await;
        warm_up += 1;
    }
    let mut seen = Vec::new();
    for number in 1.. {
        let returned = round(deployment, number, &break_it).await;
        if is_wanted(&returned) {
            return returned;
        }
        seen.push(returned);
        assert!(Instant::now() < until, "no such return in time: {seen:?}");
    }
    unreachable!("rounds end by their limit")
}

fn healthy(_: &Deployment) {}

fn is_event(event: &Event, kind: EventKind, detail: &str) -> bool {
    event.kind == kind && event.detail.contains(detail)
}

#[tokio::test]
async fn a_returning_conversation_is_imported_at_another_instance() {
    let deployment = start().await;
    let whole = |it: &Returned| it.imported == BLOCKS;
    let returned = rounds_until(&deployment, healthy, whole).await;
    assert_eq!((returned.cached, returned.misses), (BLOCKS, 0), "{returned:?}");
    let imported = |event: &Event| is_event(event, EventKind::Imported, "memory 16B");
    deployment.all_have(&[1], imported).await.expect("an event of the import");
    let exported = |event: &Event| is_event(event, EventKind::Exported, "written back");
    deployment.all_have(&[0], exported).await.expect("an event of the export");
    let url = format!("{}/metrics", deployment.url(1));
    let text = deployment.client.get(url).send().await.unwrap().text().await.unwrap();
    let is_import =
        |line: &&str| line.starts_with("bilberryford_link_bytes") && line.contains("import");
    assert!(text.lines().any(|line| is_import(&line)), "{text}");
}

#[tokio::test]
async fn a_dead_store_takes_its_share_only() {
    let deployment = start().await;
    let kill = |deployment: &Deployment| {
        let host = &deployment.stores[0].1;
        host.set_down(true);
        let until = Instant::now() + LIMIT;
        while std::net::TcpStream::connect(host.address).is_ok() {
            assert!(Instant::now() < until, "the store is still up");
        }
    };
    let half = |it: &Returned| it.imported == BLOCKS / 2;
    rounds_until(&deployment, kill, half).await;
}

fn set(faults: &StoreFaults) -> impl Fn(&Deployment) {
    let faults = faults.clone();
    move |deployment| {
        deployment.stores.iter().for_each(|(store, _)| store.set_faults(faults.clone()));
    }
}

/// The engine's checks refuse what it reads, and the prompt is computed.
#[rstest]
#[case::freed(StoreFaults { free_before_read: true, ..StoreFaults::default() })]
#[case::partly_written(StoreFaults { truncated_pieces: true, ..StoreFaults::default() })]
#[case::no_pieces(StoreFaults { missing_pieces: true, ..StoreFaults::default() })]
#[case::generation_moved(StoreFaults { generation_changes: true, ..StoreFaults::default() })]
#[tokio::test]
async fn a_bad_piece_is_computed_and_the_answer_is_right(#[case] faults: StoreFaults) {
    let deployment = start().await;
    let returned = rounds_until(&deployment, set(&faults), |it| it.misses > 0).await;
    assert_eq!(returned.imported, 0, "{returned:?}");
}

/// The instance itself refuses the manifest, so that no engine is ordered to read it.
#[rstest]
#[case::team(StoreFaults { team: "wels-milk".parse().ok(), ..StoreFaults::default() })]
#[case::version(StoreFaults { weight_version: "v0".parse().ok(), ..StoreFaults::default() })]
#[tokio::test]
async fn a_manifest_of_another_is_never_handed_to_an_engine(#[case] faults: StoreFaults) {
    let deployment = start().await;
    let returned = rounds_until(&deployment, set(&faults), |it| it.look_ups > 0).await;
    assert_eq!((returned.imported, returned.misses), (0, 0), "{returned:?}");
}

/// Stores that are slow, and engines that never answer an order to import, delay a prompt and no more.
#[rstest]
#[case::slow_stores(StoreFaults { slow_ms: 60_000, ..StoreFaults::default() }, false)]
#[case::mute_engines(StoreFaults::default(), true)]
#[tokio::test]
async fn an_import_that_does_not_come_is_given_up(
    #[case] faults: StoreFaults,
    #[case] mute_imports: bool,
) {
    let deployment = start().await;
    let began = std::cell::Cell::new(Instant::now());
    let break_it = |deployment: &Deployment| {
        set(&faults)(deployment);
        for (engine, _) in &deployment.engines {
            engine.set_faults(Faults { mute_imports, ..Faults::default() });
        }
        began.set(Instant::now());
    };
    let is_missed = |it: &Returned| it.cached == 0 && it.look_ups > 0;
    let returned = rounds_until(&deployment, break_it, is_missed).await;
    assert_eq!(returned.imported, 0, "{returned:?}");
    assert!(began.get().elapsed() < Duration::from_secs(5));
    let given_up = |event: &Event| is_event(event, EventKind::Imported, "0 of 1 blocks");
    deployment.all_have(&[1], given_up).await.expect("an event of the import that did not come");
}
