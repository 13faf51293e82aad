//! The in-entry orders of this instance, whose outcome is not known, for the status that operators read.
//!
//! The list is advisory: it is lost with the process, and an order whose outcome another instance records stays listed
//! until the retention of its record ends. Whether an order may run depends on the stored records alone; see
//! `docs/design/orders.md`.

use std::collections::VecDeque;

use bilberryford_types::{OrderKey, TeamName, TimeMs};
use parking_lot::Mutex;

use crate::status::OrderInDoubt;

/// The most orders in the list; the oldest are evicted.
const MAX_ORDERS: usize = 256;

#[derive(Debug)]
struct Entry {
    since: TimeMs,
    order: OrderInDoubt,
}

/// A bounded list of in-entry orders, oldest first.
#[derive(Debug, Default)]
pub(crate) struct InDoubtOrders(Mutex<VecDeque<Entry>>);

impl InDoubtOrders {
    /// Adds an order, unless it is listed already.
    pub(crate) fn record(&self, team: &TeamName, key: &OrderKey, now: TimeMs) {
        let mut entries = self.0.lock();
        if entries.iter().any(|entry| entry.order.team == *team && entry.order.order == *key) {
            return;
        }
        if entries.len() == MAX_ORDERS {
            entries.pop_front();
        }
        let order = OrderInDoubt { team: team.clone(), order: key.clone() };
        entries.push_back(Entry { since: now, order });
    }

    /// Removes an order whose outcome is known.
    pub(crate) fn resolve(&self, team: &TeamName, key: &OrderKey) {
        self.0.lock().retain(|entry| entry.order.team != *team || entry.order.order != *key);
    }

    /// Drops orders older than `retention` and returns the rest.
    pub(crate) fn list(&self, now: TimeMs, retention: TimeMs) -> Vec<OrderInDoubt> {
        let mut entries = self.0.lock();
        entries.retain(|entry| now.since(entry.since) < retention);
        entries.iter().map(|entry| entry.order.clone()).collect()
    }
}
