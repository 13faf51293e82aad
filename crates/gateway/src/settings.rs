//! The settings that an instance reads when it starts, and what of them can change while it runs.

use std::{fmt, net::SocketAddr};

use bilberryford_types::{Bytes, DataCentreId, InstanceId, TimeMs};

use crate::regions::DataCentreRegions;

/// The time limits and retry limits that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// The time within which a revoked key must stop working, even on an instance that can't reach the store.
    pub key_revocation_ms: TimeMs,
    /// The time within which a new configuration must be in force.
    pub config_propagation_ms: TimeMs,
    /// How long a leaving endpoint serves new requests after its departure is listed.
    pub endpoint_drain_ms: TimeMs,
    /// How long after a disturbance of the instance or of the store the instance counts as in touch again.
    pub in_touch_ms: TimeMs,
    /// The interval at which endpoints write their entries.
    pub heartbeat_ms: TimeMs,
    /// The time between the termination signal and the kill.
    pub grace_ms: TimeMs,
    /// The shortest time between the last weight order of one lease holder and the first of the next.
    pub lease_ms: TimeMs,
    /// The time after the publication of weights after which no request may start on older ones.
    pub weights_propagation_ms: TimeMs,
    /// The time after the request of an evacuation from which nothing may reach the data centre; none if the deployment
    /// evacuates no data centres, so that they are not read.
    pub evacuation_ms: Option<TimeMs>,
    /// Retries per thousand first attempts, over all instances.
    pub retry_ratio_per_mille: u64,
    /// The window in which retries are counted.
    pub retry_window_ms: TimeMs,
    /// Retries per window that are allowed regardless of the traffic, over all instances.
    pub retry_slack: u64,
    /// True if engines refuse orders with an outdated fencing number.
    pub are_orders_fenced: bool,
    /// The requests that a cold endpoint may get in a second, over all instances, per thousand of those that its service
    /// states; none if cold endpoints are not limited.
    pub cold_limit_ratio_per_mille: Option<u64>,
    /// The requests that it may get in addition.
    pub cold_limit_slack: Option<u64>,
}

/// The settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre of this instance.
    pub data_centre: DataCentreId,
    /// The region of each data centre.
    pub regions: DataCentreRegions,
    /// True if contended pools are divided among teams and routes.
    pub shares_contended_pools: bool,
    /// The address for callers.
    pub listen: SocketAddr,
    /// The address for the load balancer's readiness checks and for metrics.
    pub ready_listen: SocketAddr,
    /// The UDP address for messages of other instances.
    pub peer_listen: SocketAddr,
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// The memory beyond which the process is ended.
    pub memory: Bytes,
    /// The limits that the deployment sets.
    pub bounds: Bounds,
}

/// A difference between the settings in force and those of a reload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingChange {
    /// The name of the field.
    pub field: &'static str,
    /// The value in force before.
    pub old: String,
    /// The value of the reload.
    pub new: String,
    /// False if the change takes effect at the next start of the instance only.
    pub is_applied: bool,
}

impl GatewaySettings {
    /// Compares these settings with those of a reload.
    ///
    /// Limits can change at any time. Names and addresses can't, since callers, peers and the store know the instance by
    /// them, nor can the lease bound, which a lease in progress was acquired under, nor the bound of evacuations, which
    /// starts the reads of them.
    pub fn changes_to(&self, new: &Self) -> Vec<SettingChange> {
        let (old_bounds, new_bounds) = (&self.bounds, &new.bounds);
        let fixed = [
            setting_change("instance", &self.instance, &new.instance),
            setting_change("data_centre", &self.data_centre, &new.data_centre),
            setting_change("regions", &self.regions, &new.regions),
            setting_change(
                "shares_contended_pools",
                &self.shares_contended_pools,
                &new.shares_contended_pools,
            ),
            setting_change("listen", &self.listen, &new.listen),
            setting_change("ready_listen", &self.ready_listen, &new.ready_listen),
            setting_change("peer_listen", &self.peer_listen, &new.peer_listen),
            setting_change("memory", &self.memory, &new.memory),
            setting_change("lease_ms", &old_bounds.lease_ms, &new_bounds.lease_ms),
            setting_change(
                "evacuation_ms",
                &optional_text(old_bounds.evacuation_ms),
                &optional_text(new_bounds.evacuation_ms),
            ),
        ];
        let adjustable = [
            setting_change(
                "key_revocation_ms",
                &old_bounds.key_revocation_ms,
                &new_bounds.key_revocation_ms,
            ),
            setting_change(
                "config_propagation_ms",
                &old_bounds.config_propagation_ms,
                &new_bounds.config_propagation_ms,
            ),
            setting_change("in_touch_ms", &old_bounds.in_touch_ms, &new_bounds.in_touch_ms),
            setting_change("heartbeat_ms", &old_bounds.heartbeat_ms, &new_bounds.heartbeat_ms),
            setting_change(
                "endpoint_drain_ms",
                &old_bounds.endpoint_drain_ms,
                &new_bounds.endpoint_drain_ms,
            ),
            setting_change("grace_ms", &old_bounds.grace_ms, &new_bounds.grace_ms),
            setting_change(
                "weights_propagation_ms",
                &old_bounds.weights_propagation_ms,
                &new_bounds.weights_propagation_ms,
            ),
            setting_change(
                "retry_ratio_per_mille",
                &old_bounds.retry_ratio_per_mille,
                &new_bounds.retry_ratio_per_mille,
            ),
            setting_change(
                "retry_window_ms",
                &old_bounds.retry_window_ms,
                &new_bounds.retry_window_ms,
            ),
            setting_change("retry_slack", &old_bounds.retry_slack, &new_bounds.retry_slack),
            setting_change(
                "are_orders_fenced",
                &old_bounds.are_orders_fenced,
                &new_bounds.are_orders_fenced,
            ),
            setting_change(
                "cold_limit_ratio_per_mille",
                &optional_text(old_bounds.cold_limit_ratio_per_mille),
                &optional_text(new_bounds.cold_limit_ratio_per_mille),
            ),
            setting_change(
                "cold_limit_slack",
                &optional_text(old_bounds.cold_limit_slack),
                &optional_text(new_bounds.cold_limit_slack),
            ),
        ];
        let applied = adjustable.into_iter().flatten();
        let applied = applied.map(|change| SettingChange { is_applied: true, ..change });
        fixed.into_iter().flatten().chain(applied).collect()
    }
}

/// The text of a limit that a deployment may leave out.
fn optional_text<T: fmt::Display>(limit: Option<T>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}

/// The difference between two values of a field that takes effect at the next start only; none if they are equal.
pub fn setting_change<T: PartialEq + fmt::Display>(
    field: &'static str,
    old: &T,
    new: &T,
) -> Option<SettingChange> {
    let (old_text, new_text) = (old.to_string(), new.to_string());
    let change = SettingChange { field, old: old_text, new: new_text, is_applied: false };
    (old != new).then_some(change)
}
