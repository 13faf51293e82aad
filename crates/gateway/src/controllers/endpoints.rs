//! Keeps the table of endpoints in step with the store's list.

use std::time::Duration;

use bilberryford_platform::{Change, Object, ObjectKind};
use bilberryford_types::TimeMs;

use super::follow::Sink;
use crate::{endpoints::EndpointChange, gateway::Gateway};

pub(super) struct EndpointSink;

/// Logs what changed, and notes the lives that ended.
pub(super) fn note_changes(gateway: &Gateway, changes: impl IntoIterator<Item = EndpointChange>) {
    for change in changes {
        log::info!(target: "belief", endpoint:% = change.id, what = change.kind; "endpoint");
        change.ended_incarnation.into_iter().for_each(|life| gateway.life_ended(life));
    }
}

impl Sink for EndpointSink {
    const KIND: ObjectKind = ObjectKind::Endpoint;
    const WAIT_MS: TimeMs = TimeMs(2_500);
    const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(400);

    fn listed(&self, gateway: &Gateway, objects: Vec<Object>, _started_ms: TimeMs) {
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
        note_changes(gateway, changes);
        gateway.forget_gone();
    }

    fn changed(&self, gateway: &Gateway, change: Change) {
        let now_ms = gateway.clock.now();
        let removed = change.name.as_str().parse();
        let result = match &change.body {
            Some(body) => gateway.translation.decode_endpoint(change.name.as_str(), body),
            None => {
                if let Ok(id) = removed {
                    let change = gateway.endpoints.lock().remove(&id, now_ms);
                    note_changes(gateway, change);
                }
                return;
            }
        };
        match result {
            Ok(record) => {
                let change = gateway.endpoints.lock().upsert(record, change.version);
                note_changes(gateway, change);
            }
            Err(error) => {
                log::warn!(
                    target: "belief", entry:% = change.name, error:% = error; "entry left out"
                );
                if let Ok(id) = removed {
                    let change = gateway.endpoints.lock().remove(&id, now_ms);
                    note_changes(gateway, change);
                }
            }
        }
    }

    fn in_contact(&self, gateway: &Gateway) {
        gateway.endpoints.lock().record_contact(gateway.clock.now());
    }

    fn lost_contact(&self, gateway: &Gateway) {
        gateway.endpoints.lock().record_lost_contact();
    }
}
