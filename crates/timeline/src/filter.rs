//! Selects the events of a timeline that an operator asks for.

use std::collections::BTreeSet;

use bilberryford_types::{EndpointId, Event, OrderKey, RequestId, TeamName};

/// A filter over events. An event must match all fields that are set; the default matches every event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// The request of the event.
    pub request: Option<RequestId>,
    /// The order of the event or of any event of the same request.
    pub order: Option<OrderKey>,
    /// The team of the event.
    pub team: Option<TeamName>,
    /// The endpoint of the event.
    pub endpoint: Option<EndpointId>,
}

impl Filter {
    pub(crate) fn select<'a>(&self, events: &'a [Event]) -> Vec<&'a Event> {
        // Only some events of a request carry its order key, so the order's requests are collected first.
        let order_requests: BTreeSet<&RequestId> = match &self.order {
            Some(order) => {
                let with_key = events.iter().filter(|event| event.order.as_ref() == Some(order));
                with_key.filter_map(|event| event.request.as_ref()).collect()
            }
            None => BTreeSet::new(),
        };
        events.iter().filter(|event| self.matches(event, &order_requests)).collect()
    }

    fn matches(&self, event: &Event, order_requests: &BTreeSet<&RequestId>) -> bool {
        let is_of_order = event.order == self.order
            || event.request.as_ref().is_some_and(|id| order_requests.contains(id));
        (self.request.is_none() || event.request == self.request)
            && (self.order.is_none() || is_of_order)
            && (self.team.is_none() || event.team == self.team)
            && (self.endpoint.is_none() || event.endpoint == self.endpoint)
    }
}
