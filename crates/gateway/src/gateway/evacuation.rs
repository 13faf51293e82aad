//! What this instance does when it learns that a data centre is evacuated, or that an evacuation ended.

use bilberryford_types::{DataCentreId, EndpointId};

use super::Gateway;
use crate::evacuation::{EvacuationChange, EvacuationView, learns_of_evacuations};

impl Gateway {
    /// True if this instance knows what is evacuated, or the deployment evacuates nothing.
    pub(crate) fn knows_evacuations(&self) -> bool {
        self.bounds().evacuation_ms.is_none() || self.evacuations.lock().view().is_some()
    }

    /// Applies a view of the store, or of a reader if `source` says so.
    pub(crate) fn apply_evacuations(&self, view: EvacuationView, source: &'static str) {
        let now_ms = self.clock.now();
        let version = view.version;
        let (is_first, changes, evacuated) = {
            let mut evacuations = self.evacuations.lock();
            let is_first = evacuations.view().is_none();
            let changes = evacuations.apply(view, now_ms);
            (is_first, changes, evacuations.count())
        };
        if is_first {
            log::info!(
                target: "belief", version:% = version, source = source, evacuated = evacuated;
                "evacuations known"
            );
        }
        self.record_evacuation_changes(&changes, source);
    }

    /// Logs changes and acts on them.
    pub(crate) fn record_evacuation_changes(
        &self,
        changes: &[EvacuationChange],
        source: &'static str,
    ) {
        let now_ms = self.clock.now();
        for change in changes {
            let EvacuationChange { data_centre, version, since_ms, .. } = change;
            if change.is_evacuated {
                let endpoints = self.endpoints_of(data_centre);
                log::warn!(
                    target: "belief", data_centre:% = data_centre, version:% = version,
                    source = source, endpoints = endpoints.len();
                    "data centre evacuated"
                );
                // They may be closed by the time the evacuation ends.
                endpoints.iter().for_each(|id| self.connections.close_idle(id));
            } else {
                log::warn!(
                    target: "belief", data_centre:% = data_centre, version:% = version,
                    source = source, evacuated_for_ms = now_ms.since(*since_ms).get();
                    "evacuation of a data centre taken back"
                );
                self.on_evacuation_end(data_centre);
            }
        }
        let evacuated = self.evacuations.lock().count() as u64;
        self.metrics.evacuated_data_centres.record(evacuated, &[]);
    }

    /// Called when requests may be sent to a data centre again. Its endpoints may have just started.
    fn on_evacuation_end(&self, data_centre: &DataCentreId) {
        self.record_data_centre_cold(data_centre);
    }

    fn endpoints_of(&self, data_centre: &DataCentreId) -> Vec<EndpointId> {
        let endpoints = self.endpoints.lock();
        let of_data_centre =
            endpoints.records().filter(|record| record.data_centre == *data_centre);
        of_data_centre.map(|record| record.id.clone()).collect()
    }

    /// True if nothing may be sent to an endpoint because of its data centre. An endpoint that is not listed is not
    /// evacuated, but departed.
    pub(super) fn is_endpoint_evacuated(&self, id: &EndpointId) -> bool {
        let data_centre = self.endpoints.lock().get(id).map(|record| record.data_centre.clone());
        data_centre.is_some_and(|data_centre| self.evacuations.lock().is_evacuated(&data_centre))
    }

    /// True if this instance learns of evacuations within their bound, directly or from a reader.
    pub(crate) fn learns_of_evacuations(&self) -> bool {
        let Some(bound_ms) = self.bounds().evacuation_ms else { return true };
        learns_of_evacuations(self.store_contact_age_ms(), bound_ms)
    }
}
