//! Keeps the endpoint table up to date with the store.

use std::time::Duration;

use bilberryford_platform::{Change, Object, ObjectKind};
use bilberryford_types::TimeMs;

use super::list_watch::WatchHandler;
use crate::{endpoints::EndpointChange, gateway::Gateway};

pub(super) struct EndpointHandler;

/// Logs changes of endpoints, and records the incarnations that ended.
pub(super) fn record_changes(gateway: &Gateway, changes: impl IntoIterator<Item = EndpointChange>) {
    for change in changes {
        log::info!(target: "belief", endpoint:% = change.id, what = change.kind; "endpoint");
        change
            .ended_incarnation
            .into_iter()
            .for_each(|incarnation| gateway.record_incarnation_end(incarnation));
    }
}

impl WatchHandler for EndpointHandler {
    const KIND: ObjectKind = ObjectKind::Endpoint;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(2_500);
    const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(400);

    fn on_list(&self, gateway: &Gateway, objects: Vec<Object>, _started_ms: TimeMs) {
        let now_ms = gateway.clock.now();
        let records = objects
            .into_iter()
            .filter_map(|object| {
                let decoded =
                    gateway.translation.decode_endpoint(object.name.as_str(), &object.body);
                match decoded {
                    Ok(record) => Some((record, object.version)),
                    Err(error) => {
                        log::warn!(
                            target: "belief", entry:% = object.name, error:% = error;
                            "entry left out"
                        );
                        None
                    }
                }
            })
            .collect();
        let changes = gateway.endpoints.lock().replace(records, now_ms);
        record_changes(gateway, changes);
        gateway.remove_unlisted_endpoints();
    }

    fn on_change(&self, gateway: &Gateway, change: Change) {
        let now_ms = gateway.clock.now();
        let removed = change.name.as_str().parse();
        let result = match &change.body {
            Some(body) => gateway.translation.decode_endpoint(change.name.as_str(), body),
            None => {
                if let Ok(id) = removed {
                    let change = gateway.endpoints.lock().remove(&id, now_ms);
                    record_changes(gateway, change);
                }
                return;
            }
        };
        match result {
            Ok(record) => {
                let change = gateway.endpoints.lock().upsert(record, change.version);
                record_changes(gateway, change);
            }
            Err(error) => {
                log::warn!(
                    target: "belief", entry:% = change.name, error:% = error; "entry left out"
                );
                if let Ok(id) = removed {
                    let change = gateway.endpoints.lock().remove(&id, now_ms);
                    record_changes(gateway, change);
                }
            }
        }
    }

    fn on_contact(&self, gateway: &Gateway) {
        gateway.endpoints.lock().record_contact(gateway.clock.now());
    }

    fn on_contact_lost(&self, gateway: &Gateway) {
        gateway.endpoints.lock().record_lost_contact();
    }
}
