//! The limits in force, which a reload of the settings changes.
//!
//! Each is read where it is used. What was derived from an earlier one is converted, or depends on none: see the table in
//! `docs/CONFIGURATION.md`.

use std::sync::Arc;

use super::Gateway;
use crate::settings::{Bounds, GatewaySettings, SettingChange};

impl Gateway {
    /// The limits in force.
    pub(crate) fn bounds(&self) -> Bounds {
        **self.bounds.load()
    }

    /// Puts the limits of `new` into force, and returns all differences from the settings in force. No request is
    /// interrupted.
    pub fn reload(&self, new: &GatewaySettings) -> Vec<SettingChange> {
        let in_force = GatewaySettings { bounds: self.bounds(), ..self.settings.clone() };
        let changes = in_force.changes_to(new);
        let Bounds { lease_ms, evacuation_ms, .. } = in_force.bounds;
        let bounds = Bounds { lease_ms, evacuation_ms, ..new.bounds };
        self.keys.lock().set_bound(bounds.key_revocation_ms);
        self.bounds.store(Arc::new(bounds));
        if bounds != in_force.bounds {
            self.bounds_changed.notify_one();
            self.weight_changes.send_modify(|changes| *changes += 1);
        }
        changes
    }
}
