//! The contract of the object API: what a caller sees of a write and what became of it, fault by fault.

use std::{sync::Arc, time::Duration};

use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, ObjectKey, ObjectKind, ObjectStore, PlatformError,
    Precondition,
};
use bilberryford_standins::{
    host::ServerHandle,
    platform::{Faults, Platform},
};
use bilberryford_types::{ObjectVersion, TimeMs};
use rstest::rstest;

/// How long a call may take before its client gives it up, in milliseconds.
const TIMEOUT: TimeMs = TimeMs(300);

struct Setup {
    platform: Arc<Platform>,
    _host: ServerHandle,
    store: HttpPlatform,
    key: ObjectKey,
}

impl Setup {
    fn new(faults: Faults) -> Self {
        let platform = Arc::new(Platform::default());
        let host = platform.host(([127, 0, 0, 1], 0).into()).unwrap();
        let config = HttpPlatformConfig::new(host.url()).timeout(TIMEOUT);
        let store = HttpPlatform::new(config).unwrap();
        platform.set_faults(faults);
        let key = ObjectKey::new(ObjectKind::Order, "order-1".parse().unwrap());
        Self { platform, _host: host, store, key }
    }

    async fn put(
        &self,
        precondition: Precondition,
        body: &'static str,
    ) -> Result<ObjectVersion, PlatformError> {
        self.store.put(&self.key, precondition, body.into()).await
    }

    fn stored(&self) -> Option<String> {
        self.platform.objects("order").into_iter().next().map(|(_, body)| body)
    }

    async fn until_stored(&self) {
        let wait = async {
            while self.stored().is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), wait).await.expect("the write lands");
    }
}

/// What a write was answered, without its words.
#[derive(Debug, PartialEq, Eq)]
enum Answer {
    Taken,
    Conflict,
    NotTaken,
    Unknown,
    Refused,
}

fn answer(seen: &Result<ObjectVersion, PlatformError>) -> Answer {
    match seen {
        Ok(_) => Answer::Taken,
        Err(PlatformError::Conflict { .. }) => Answer::Conflict,
        Err(PlatformError::NotTaken { .. }) => Answer::NotTaken,
        Err(PlatformError::Unknown { .. }) => Answer::Unknown,
        Err(PlatformError::Compacted | PlatformError::Refused { .. }) => Answer::Refused,
    }
}

#[rstest]
#[case::healthy(Faults::default(), Answer::Taken, Some(true))]
#[case::outage(Faults { outage: true, ..Faults::default() }, Answer::NotTaken, Some(false))]
#[case::lost_after_effect(Faults { lose_answers: 1, ..Faults::default() }, Answer::Unknown, Some(true))]
#[case::late(Faults { delay_writes: 1, delay_ms: 200, ..Faults::default() }, Answer::Unknown, None)]
#[case::slow(Faults { slow_ms: 20, ..Faults::default() }, Answer::Taken, Some(true))]
#[case::too_slow_to_answer(Faults { answer_slow_ms: 2_000, ..Faults::default() }, Answer::Unknown, Some(true))]
#[tokio::test]
async fn a_write_is_answered_truthfully(
    #[case] faults: Faults,
    #[case] expected: Answer,
    #[case] is_stored: Option<bool>,
) {
    let setup = Setup::new(faults);
    let seen = setup.put(Precondition::Absent, "one").await;
    assert_eq!(answer(&seen), expected);
    match is_stored {
        Some(is_stored) => assert_eq!(setup.stored().is_some(), is_stored),
        None => setup.until_stored().await,
    }
}

#[tokio::test]
async fn a_refused_connection_is_not_taken() {
    let config = HttpPlatformConfig::new("http://127.0.0.1:1").timeout(TIMEOUT);
    let store = HttpPlatform::new(config).unwrap();
    let key = ObjectKey::new(ObjectKind::Order, "order-1".parse().unwrap());
    let seen = store.put(&key, Precondition::Absent, "one".into()).await;
    assert_eq!(answer(&seen), Answer::NotTaken);
}

#[tokio::test]
async fn a_rate_limit_refuses_before_it_looks() {
    let setup = Setup::new(Faults { max_calls_per_s: 1, ..Faults::default() });
    let mut seen = Vec::new();
    for _ in 0..3 {
        seen.push(answer(&setup.put(Precondition::Absent, "one").await));
    }
    assert!(seen.contains(&Answer::NotTaken), "{seen:?}");
    assert_eq!(setup.platform.stats().conflicts, 0);
}

#[rstest]
#[case::create_over_one(Precondition::Absent, Answer::Conflict)]
#[case::old_version(Precondition::Version(ObjectVersion(99)), Answer::Conflict)]
#[tokio::test]
async fn a_precondition_that_does_not_hold_changes_nothing(
    #[case] precondition: Precondition,
    #[case] expected: Answer,
) {
    let setup = Setup::new(Faults::default());
    setup.put(Precondition::Absent, "one").await.unwrap();
    assert_eq!(answer(&setup.put(precondition, "two").await), expected);
    assert_eq!(setup.stored().as_deref(), Some("one"));
}

#[tokio::test]
async fn versions_grow_and_a_deleted_object_is_absent() {
    let setup = Setup::new(Faults::default());
    let first = setup.put(Precondition::Absent, "one").await.unwrap();
    let second = setup.put(Precondition::Version(first), "two").await.unwrap();
    assert!(second > first);
    let stale = setup.store.delete(&setup.key, first).await;
    assert!(matches!(stale, Err(PlatformError::Conflict { current }) if current == second));
    setup.store.delete(&setup.key, second).await.unwrap();
    assert_eq!(setup.store.get(&setup.key).await, Ok(None));
    let third = setup.put(Precondition::Absent, "three").await.unwrap();
    assert!(third > second, "a version never comes back");
}

#[tokio::test]
async fn a_write_under_the_same_precondition_fences_a_late_one() {
    let faults = Faults { delay_writes: 1, delay_ms: 150, ..Faults::default() };
    let setup = Setup::new(faults);
    let late = setup.put(Precondition::Absent, "late").await;
    assert_eq!(answer(&late), Answer::Unknown);
    setup.put(Precondition::Absent, "fence").await.unwrap();
    let wait = async {
        while setup.platform.stats().conflicts == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait).await.expect("the late write comes");
    assert_eq!(setup.stored().as_deref(), Some("fence"));
}

#[tokio::test]
async fn a_watch_that_is_too_far_behind_is_told_to_list_again() {
    let setup = Setup::new(Faults::default());
    let mut version = setup.put(Precondition::Absent, "one").await.unwrap();
    let first = version;
    for _ in 0..4_100 {
        version = setup.put(Precondition::Version(version), "more").await.unwrap();
    }
    let watch = setup.store.watch(ObjectKind::Order, first, TimeMs(0)).await;
    assert_eq!(watch, Err(PlatformError::Compacted));
    let (listed, objects) = setup.store.list(ObjectKind::Order, "").await.unwrap();
    assert_eq!((listed, objects[0].version), (version, version));
    let watch = setup.store.watch(ObjectKind::Order, listed, TimeMs(0)).await.unwrap();
    assert!(watch.changes.is_empty());
}
