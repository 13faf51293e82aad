//! What an instance passes on of the store's changes, and what it may apply of the changes that are passed on to it.

use bilberryford_gateway::{ChangeBatch, ChangeLog, MissedChanges, ObjectChange};
use bilberryford_types::{ObjectVersion, StoreEra};
use rstest::rstest;

fn change(version: u64, is_present: bool) -> ObjectChange {
    ObjectChange {
        name: "engine-1".parse().unwrap(),
        version: ObjectVersion::new(version),
        body: is_present.then(|| vec![0; 100]),
    }
}

fn batch(from: u64, to: u64, changes: &[ObjectChange]) -> ChangeBatch {
    ChangeBatch {
        from: ObjectVersion::new(from),
        to: ObjectVersion::new(to),
        changes: changes.to_vec(),
    }
}

fn listed_at(version: u64) -> ChangeLog {
    let mut log = ChangeLog::default();
    assert!(log.record_list(ObjectVersion::new(version)));
    log
}

#[rstest]
#[case::continues(10, 12, true)]
#[case::overlaps(8, 12, true)]
#[case::known(8, 10, false)]
#[case::older(2, 5, false)]
#[case::with_a_gap(11, 12, false)]
fn a_batch_is_applied_only_if_nothing_is_missing_before_it(
    #[case] from: u64,
    #[case] to: u64,
    #[case] is_applied: bool,
) {
    let mut log = listed_at(10);
    assert_eq!(log.record_batch(&batch(from, to, &[change(to, true)])), is_applied);
    assert_eq!(log.complete_to(), Some(ObjectVersion::new(if is_applied { to } else { 10 })));
}

#[test]
fn nothing_is_applied_before_the_first_list() {
    let mut log = ChangeLog::default();
    assert!(!log.record_batch(&batch(0, 5, &[])));
    assert_eq!(log.missed_since(ObjectVersion::new(0), 1_000), MissedChanges::Unavailable);
}

/// A list that was read before a removal arrives after the removal was passed on.
#[test]
fn an_older_list_does_not_bring_a_removed_object_back() {
    let mut log = listed_at(10);
    assert!(log.record_batch(&batch(10, 14, &[change(14, false)])));
    assert!(!log.record_list(ObjectVersion::new(12)));
    assert!(log.record_list(ObjectVersion::new(14)));
}

#[test]
fn the_missed_batches_are_passed_on_in_order() {
    let mut log = listed_at(10);
    let first = batch(10, 12, &[change(12, true)]);
    let second = batch(12, 15, &[change(15, false)]);
    assert!(log.record_batch(&first) && log.record_batch(&second));
    let missed = |version| log.missed_since(ObjectVersion::new(version), 1_000);
    assert_eq!(missed(15), MissedChanges::Batches(Vec::new()));
    assert_eq!(missed(13), MissedChanges::Batches(vec![second.clone()]));
    assert_eq!(missed(10), MissedChanges::Batches(vec![first, second]));
    assert_eq!(missed(9), MissedChanges::Unavailable, "the list starts at 10");
}

#[test]
fn a_watch_without_changes_extends_the_log() {
    let mut log = listed_at(10);
    assert!(log.record_batch(&batch(10, 12, &[change(12, true)])));
    assert!(log.record_batch(&batch(12, 40, &[])));
    let missed = log.missed_since(ObjectVersion::new(11), 1_000);
    assert_eq!(missed, MissedChanges::Batches(vec![batch(10, 40, &[change(12, true)])]));
}

/// A pool whose entries change all the time while one instance is frozen.
#[test]
fn changes_that_are_too_many_are_read_from_the_store() {
    let mut log = listed_at(0);
    for version in 1..=2_000 {
        assert!(log.record_batch(&batch(version - 1, version, &[change(version, true)])));
    }
    assert_eq!(log.missed_since(ObjectVersion::new(1), usize::MAX), MissedChanges::Unavailable);
    assert_eq!(log.missed_since(ObjectVersion::new(1_900), 1_000), MissedChanges::Unavailable);
    assert!(matches!(
        log.missed_since(ObjectVersion::new(1_995), 1_000),
        MissedChanges::Batches(_)
    ));
}

/// Another writer writes an entry as large as the store takes it, again and again; an instance has 88 MB.
#[test]
fn large_contents_are_not_retained_beyond_a_bound() {
    const WRITES: u64 = 400;
    let large = |version| ObjectChange { body: Some(vec![0; 1_000_000]), ..change(version, true) };
    let mut log = listed_at(0);
    for version in 1..=WRITES {
        assert!(log.record_batch(&batch(version - 1, version, &[large(version)])));
    }
    let retained = |from| match log.missed_since(ObjectVersion::new(from), usize::MAX) {
        MissedChanges::Batches(batches) => batches.len(),
        MissedChanges::Unavailable => 0,
    };
    let most = (0..WRITES).map(retained).max().unwrap();
    assert!(most <= 4, "{most} MB are retained");
    assert!(log.record_batch(&batch(WRITES, WRITES + 1, &[change(WRITES + 1, true)])));
    assert_eq!(log.complete_to(), Some(ObjectVersion::new(WRITES + 1)));
    let missed = log.missed_since(ObjectVersion::new(WRITES), 1_000);
    assert_eq!(
        missed,
        MissedChanges::Batches(vec![batch(WRITES, WRITES + 1, &[change(WRITES + 1, true)])])
    );
}

/// Revisions of the second era are far below those that were seen in the first one.
#[test]
fn a_view_of_one_era_is_continued_by_a_list_of_the_next_one_only() {
    let of_second_era = |revision| ObjectVersion::in_era(StoreEra(1), revision);
    let mut log = listed_at(100);
    let batch = ChangeBatch { from: of_second_era(8), to: of_second_era(9), changes: Vec::new() };
    assert!(!log.record_batch(&batch), "what precedes it is of another history");
    let over_both = ChangeBatch { from: ObjectVersion::new(100), ..batch };
    assert!(!log.record_batch(&over_both), "it lacks what was lost between");
    assert!(log.record_list(of_second_era(9)));
    assert!(!log.record_list(ObjectVersion::new(200)), "a list of the first era that comes late");
    assert_eq!(log.complete_to(), Some(of_second_era(9)));
    assert!(!log.record_batch(&self::batch(100, 300, &[change(300, true)])));
}

/// A reader and an asker of which one has seen the return of the store.
#[test]
fn nothing_is_passed_on_from_one_era_to_another() {
    let log = listed_at(100);
    let in_second_era = ObjectVersion::in_era(StoreEra(1), 5);
    assert_eq!(log.missed_since(in_second_era, 1_000), MissedChanges::Unavailable);
    let mut log = ChangeLog::default();
    assert!(log.record_list(in_second_era));
    assert_eq!(log.missed_since(ObjectVersion::new(100), 1_000), MissedChanges::Unavailable);
}
