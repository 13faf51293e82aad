//! What of the settings changes while an instance runs.

use bilberryford_gateway::{Bounds, DataCentreRegions, GatewaySettings};
use bilberryford_types::{Bytes, TimeMs};
use rstest::rstest;

fn settings() -> GatewaySettings {
    GatewaySettings {
        instance: "entry-1".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        regions: DataCentreRegions::default(),
        shares_contended_pools: false,
        listen: ([10, 0, 0, 1], 80).into(),
        ready_listen: ([10, 0, 0, 1], 81).into(),
        peer_listen: ([10, 0, 0, 1], 82).into(),
        ready_path: "/ready",
        memory: Bytes(1 << 30),
        bounds: Bounds {
            key_revocation_ms: TimeMs(5_000),
            config_propagation_ms: TimeMs(2_000),
            endpoint_drain_ms: TimeMs(2_000),
            in_touch_ms: TimeMs(3_000),
            heartbeat_ms: TimeMs(1_200),
            grace_ms: TimeMs(8_000),
            lease_ms: TimeMs(3_000),
            weights_propagation_ms: TimeMs(10_000),
            evacuation_ms: None,
            retry_ratio_per_mille: 200,
            retry_window_ms: TimeMs(10_000),
            retry_slack: 50,
            are_orders_fenced: true,
            cold_limit_ratio_per_mille: Some(1_500),
            cold_limit_slack: Some(5),
        },
    }
}

#[rstest]
#[case::revocation(|new: &mut GatewaySettings| new.bounds.key_revocation_ms = TimeMs(3_000), "key_revocation_ms", true)]
#[case::retries(|new: &mut GatewaySettings| new.bounds.retry_slack = 7, "retry_slack", true)]
#[case::grace(|new: &mut GatewaySettings| new.bounds.grace_ms = TimeMs(4_000), "grace_ms", true)]
#[case::lease(|new: &mut GatewaySettings| new.bounds.lease_ms = TimeMs(9_000), "lease_ms", false)]
#[case::evacuation(|new: &mut GatewaySettings| new.bounds.evacuation_ms = Some(TimeMs(5_000)), "evacuation_ms", false)]
#[case::address(|new: &mut GatewaySettings| new.listen = ([10, 0, 0, 2], 80).into(), "listen", false)]
#[case::shares(|new: &mut GatewaySettings| new.shares_contended_pools = true, "shares_contended_pools", false)]
#[case::regions(|new: &mut GatewaySettings| new.regions = [("dc-1".parse().unwrap(), "r".parse().unwrap())].into_iter().collect(), "regions", false)]
#[case::name(|new: &mut GatewaySettings| new.instance = "entry-2".parse().unwrap(), "instance", false)]
fn each_change_is_named_and_limits_are_applied(
    #[case] edit: fn(&mut GatewaySettings),
    #[case] field: &str,
    #[case] is_applied: bool,
) {
    let mut new = settings();
    edit(&mut new);
    let changes = settings().changes_to(&new);
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert_eq!((changes[0].field, changes[0].is_applied), (field, is_applied));
    assert_ne!(changes[0].old, changes[0].new);
}

#[test]
fn an_unchanged_file_changes_nothing() {
    assert!(settings().changes_to(&settings()).is_empty());
}
