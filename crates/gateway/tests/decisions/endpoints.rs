use bilberryford_gateway::{EndpointRecord, EndpointState, EndpointTable};
use bilberryford_types::{ObjectVersion, PoolName, TimeMs};

fn record(id: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: id.parse().expect("an id"),
        started_ms: TimeMs(1),
        service: service(),
        address: ([127, 0, 0, 1], 9).into(),
        data_centre: "a".parse().expect("a data centre"),
        state,
        heartbeat: 1,
        slots: 4,
        models: Vec::new(),
    }
}

fn service() -> PoolName {
    "pool".parse().expect("a service")
}

fn table(now_ms: u64) -> EndpointTable {
    let mut table = EndpointTable::default();
    table.record_contact(TimeMs(now_ms));
    for id in ["one", "two"] {
        table.upsert(record(id, EndpointState::Ready), ObjectVersion(5));
    }
    table
}

fn ready(table: &EndpointTable) -> usize {
    table.ready(&service()).count()
}

#[test]
fn an_older_entry_does_not_restore_a_leaving_endpoint() {
    let mut table = table(0);
    table.upsert(record("one", EndpointState::Leaving), ObjectVersion(8));
    assert!(table.upsert(record("one", EndpointState::Ready), ObjectVersion(7)).is_none());
    assert_eq!(ready(&table), 1);
}

/// The store loses its leases in an outage, and the owners write their entries again within two seconds.
#[test]
fn entries_lost_in_an_outage_remain_only_for_the_grace_period() {
    let mut table = table(0);
    table.record_lost_contact();
    table.record_contact(TimeMs(20_000));
    let listed = vec![(record("two", EndpointState::Ready), ObjectVersion(9))];
    table.replace(listed, TimeMs(20_000));
    assert_eq!(ready(&table), 2, "the missing entry is still used");
    table.expire(TimeMs(21_900));
    assert_eq!(ready(&table), 2);
    table.expire(TimeMs(22_000));
    assert_eq!(ready(&table), 1);
}

#[test]
fn entries_removed_without_an_outage_are_removed_at_once() {
    let mut table = table(0);
    table.record_contact(TimeMs(1_000));
    table.remove(&"one".parse().expect("an id"), TimeMs(1_500));
    assert_eq!(ready(&table), 1);
}

#[test]
fn leaving_endpoints_get_no_grace_period() {
    let mut table = table(0);
    table.upsert(record("one", EndpointState::Leaving), ObjectVersion(8));
    table.record_lost_contact();
    table.record_contact(TimeMs(20_000));
    table.remove(&"one".parse().expect("an id"), TimeMs(20_010));
    assert!(table.get(&"one".parse().expect("an id")).is_none());
}
