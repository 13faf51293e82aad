//! Orders whose fate this instance does not know, for operators.
//!
//! A view: it is lost with the process, and an order that another instance settles stays until its record's retention
//! ends. What may run is decided by the records alone; see `docs/design/orders.md`.

use std::collections::VecDeque;

use bilberryford_types::{OrderKey, TeamName, TimeMs};
use parking_lot::Mutex;

use crate::status::OrderInDoubt;

/// The most orders that are kept; the oldest give way.
const MAX_DOUBTS: usize = 256;

#[derive(Debug)]
struct Doubt {
    since: TimeMs,
    order: OrderInDoubt,
}

/// The orders in doubt, oldest first.
#[derive(Debug, Default)]
pub(crate) struct InDoubtOrders(Mutex<VecDeque<Doubt>>);

impl InDoubtOrders {
    /// Takes in that the fate of an order is not known.
    pub(crate) fn record(&self, team: &TeamName, key: &OrderKey, now: TimeMs) {
        let mut doubts = self.0.lock();
        if doubts.iter().any(|doubt| doubt.order.team == *team && doubt.order.order == *key) {
            return;
        }
        if doubts.len() == MAX_DOUBTS {
            doubts.pop_front();
        }
        let order = OrderInDoubt { team: team.clone(), order: key.clone() };
        doubts.push_back(Doubt { since: now, order });
    }

    /// Takes in that the fate of an order is known.
    pub(crate) fn resolve(&self, team: &TeamName, key: &OrderKey) {
        self.0.lock().retain(|doubt| doubt.order.team != *team || doubt.order.order != *key);
    }

    /// The orders, without those that are older than `retention`.
    pub(crate) fn list(&self, now: TimeMs, retention: TimeMs) -> Vec<OrderInDoubt> {
        let mut doubts = self.0.lock();
        doubts.retain(|doubt| now.since(doubt.since) < retention);
        doubts.iter().map(|doubt| doubt.order.clone()).collect()
    }
}
