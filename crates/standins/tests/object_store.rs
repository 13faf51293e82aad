//! Contract of the object API: the result and the effect of a write under each fault.

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

/// Timeout of each call of the client.
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

    async fn wait_until_stored(&self) {
        let wait = async {
            while self.stored().is_none() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(10), wait)
            .await
            .expect("the delayed write did not take effect within 10 s");
    }
}

/// The outcome of a write, without the text of an error.
#[derive(Debug, PartialEq, Eq)]
enum WriteOutcome {
    Applied,
    Conflict,
    NotApplied,
    Unknown,
    Refused,
}

fn outcome(result: &Result<ObjectVersion, PlatformError>) -> WriteOutcome {
    match result {
        Ok(_) => WriteOutcome::Applied,
        Err(PlatformError::Conflict { .. }) => WriteOutcome::Conflict,
        Err(PlatformError::NotApplied { .. }) => WriteOutcome::NotApplied,
        Err(PlatformError::Unknown { .. }) => WriteOutcome::Unknown,
        Err(PlatformError::Compacted | PlatformError::Refused { .. }) => WriteOutcome::Refused,
    }
}

#[rstest]
#[case::healthy(Faults::default(), WriteOutcome::Applied, Some(true))]
#[case::outage(Faults { outage: true, ..Faults::default() }, WriteOutcome::NotApplied, Some(false))]
#[case::lost_after_effect(Faults { lose_answers: 1, ..Faults::default() }, WriteOutcome::Unknown, Some(true))]
#[case::late(Faults { delay_writes: 1, delay_ms: 200, ..Faults::default() }, WriteOutcome::Unknown, None)]
#[case::slow(Faults { slow_ms: 20, ..Faults::default() }, WriteOutcome::Applied, Some(true))]
#[case::too_slow_to_answer(Faults { answer_slow_ms: 2_000, ..Faults::default() }, WriteOutcome::Unknown, Some(true))]
#[tokio::test]
async fn the_result_of_a_write_matches_its_effect(
    #[case] faults: Faults,
    #[case] expected: WriteOutcome,
    #[case] is_stored: Option<bool>,
) {
    let setup = Setup::new(faults);
    let result = setup.put(Precondition::Absent, "one").await;
    assert_eq!(outcome(&result), expected);
    match is_stored {
        Some(is_stored) => assert_eq!(setup.stored().is_some(), is_stored),
        None => setup.wait_until_stored().await,
    }
}

#[tokio::test]
async fn a_write_over_a_refused_connection_is_not_applied() {
    let config = HttpPlatformConfig::new("http://127.0.0.1:1").timeout(TIMEOUT);
    let store = HttpPlatform::new(config).unwrap();
    let key = ObjectKey::new(ObjectKind::Order, "order-1".parse().unwrap());
    let result = store.put(&key, Precondition::Absent, "one".into()).await;
    assert_eq!(outcome(&result), WriteOutcome::NotApplied);
}

#[tokio::test]
async fn a_rate_limited_write_does_not_check_its_precondition() {
    let setup = Setup::new(Faults { max_calls_per_s: 1, ..Faults::default() });
    let mut result = Vec::new();
    for _ in 0..3 {
        result.push(outcome(&setup.put(Precondition::Absent, "one").await));
    }
    assert!(result.contains(&WriteOutcome::NotApplied), "{result:?}");
    assert_eq!(setup.platform.stats().conflicts, 0);
}

#[rstest]
#[case::create_over_one(Precondition::Absent, WriteOutcome::Conflict)]
#[case::old_version(Precondition::Version(ObjectVersion::new(99)), WriteOutcome::Conflict)]
#[tokio::test]
async fn a_failed_precondition_changes_nothing(
    #[case] precondition: Precondition,
    #[case] expected: WriteOutcome,
) {
    let setup = Setup::new(Faults::default());
    setup.put(Precondition::Absent, "one").await.unwrap();
    assert_eq!(outcome(&setup.put(precondition, "two").await), expected);
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
    assert!(third > second, "a version was used twice");
}

#[tokio::test]
async fn a_write_that_changes_nothing_leaves_the_version_as_it_is() {
    let setup = Setup::new(Faults::default());
    let first = setup.put(Precondition::Absent, "one").await.unwrap();
    let second = setup.put(Precondition::Version(first), "one").await.unwrap();
    assert_eq!(second, first);
    let watch = setup.store.watch(ObjectKind::Order, first, TimeMs(0)).await.unwrap();
    assert!(watch.changes.is_empty(), "{watch:?}");
}

#[tokio::test]
async fn a_write_under_the_same_precondition_fences_a_late_one() {
    let faults = Faults { delay_writes: 1, delay_ms: 150, ..Faults::default() };
    let setup = Setup::new(faults);
    let late = setup.put(Precondition::Absent, "late").await;
    assert_eq!(outcome(&late), WriteOutcome::Unknown);
    setup.put(Precondition::Absent, "fence").await.unwrap();
    let wait = async {
        while setup.platform.stats().conflicts == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait)
        .await
        .expect("the late write did not arrive within 10 s");
    assert_eq!(setup.stored().as_deref(), Some("fence"));
}

#[tokio::test]
async fn a_watch_behind_the_retained_changes_must_list_again() {
    let setup = Setup::new(Faults::default());
    let mut version = setup.put(Precondition::Absent, "one").await.unwrap();
    let first = version;
    for number in 0..4_100 {
        let body = ["odd", "even"][number % 2];
        version = setup.put(Precondition::Version(version), body).await.unwrap();
    }
    let watch = setup.store.watch(ObjectKind::Order, first, TimeMs(0)).await;
    assert_eq!(watch, Err(PlatformError::Compacted));
    let (listed, objects) = setup.store.list(ObjectKind::Order, "").await.unwrap();
    assert_eq!((listed, objects[0].version), (version, version));
    let watch = setup.store.watch(ObjectKind::Order, listed, TimeMs(0)).await.unwrap();
    assert!(watch.changes.is_empty());
}
