//! Contract of the platform's list of instances.

use std::sync::Arc;

use bilberryford_platform::{
    HttpPlatform, HttpPlatformConfig, InstanceList, InstanceRecord, InstanceState, PlatformError,
    Role,
};
use bilberryford_standins::platform::{Faults, Platform};

fn record(id: &str) -> InstanceRecord {
    InstanceRecord {
        id: id.to_owned(),
        role: Role::Engine,
        pool: "serving".parse().ok(),
        address: ([127, 0, 0, 1], 9).into(),
        peer_address: None,
        data_centre: "linz-1".parse().unwrap(),
        state: InstanceState::Live,
    }
}

#[tokio::test]
async fn an_unchanged_list_is_not_sent_again_and_a_changed_one_is() {
    let platform = Arc::new(Platform::default());
    let host = platform.host(([127, 0, 0, 1], 0).into()).unwrap();
    let client = HttpPlatform::new(HttpPlatformConfig::new(host.url())).unwrap();
    platform.set_instances(vec![record("engine-1")]);
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
    let bytes = platform.stats().bytes;
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
    assert_eq!(platform.stats().bytes, bytes);
    platform.set_instances(vec![record("engine-1"), record("engine-2")]);
    assert_eq!(client.instances().await.unwrap(), [record("engine-1"), record("engine-2")]);
    assert!(platform.stats().bytes > bytes);
}

#[tokio::test]
async fn an_outage_is_an_error_and_not_an_empty_list() {
    let platform = Arc::new(Platform::default());
    let host = platform.host(([127, 0, 0, 1], 0).into()).unwrap();
    let client = HttpPlatform::new(HttpPlatformConfig::new(host.url())).unwrap();
    platform.set_instances(vec![record("engine-1")]);
    client.instances().await.unwrap();
    platform.set_faults(Faults { outage: true, ..Faults::default() });
    assert!(matches!(client.instances().await, Err(PlatformError::NotApplied { .. })));
    platform.set_faults(Faults::default());
    assert_eq!(client.instances().await.unwrap(), [record("engine-1")]);
}
