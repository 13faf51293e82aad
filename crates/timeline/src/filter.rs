//! Narrows a time line to what an operator asks about.

use std::collections::BTreeSet;

use bilberryford_types::{EndpointId, Event, OrderKey, RequestId, TeamName};

/// What to show; everything by default.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Only this request.
    pub request: Option<RequestId>,
    /// Only requests with this order key.
    pub order: Option<OrderKey>,
    /// Only this team.
    pub team: Option<TeamName>,
    /// Only this endpoint.
    pub endpoint: Option<EndpointId>,
}

impl Filter {
    pub(crate) fn select<'a>(&self, events: &'a [Event]) -> Vec<&'a Event> {
        // An order's key stands on some events of its requests only, so its requests are found first.
        let requests: BTreeSet<&RequestId> = match &self.order {
            Some(order) => {
                let of_order = events.iter().filter(|event| event.order.as_ref() == Some(order));
                of_order.filter_map(|event| event.request.as_ref()).collect()
            }
            None => BTreeSet::new(),
        };
        events.iter().filter(|event| self.takes(event, &requests)).collect()
    }

    fn takes(&self, event: &Event, requests: &BTreeSet<&RequestId>) -> bool {
        let of_order = event.order == self.order
            || event.request.as_ref().is_some_and(|id| requests.contains(id));
        (self.request.is_none() || event.request == self.request)
            && (self.order.is_none() || of_order)
            && (self.team.is_none() || event.team == self.team)
            && (self.endpoint.is_none() || event.endpoint == self.endpoint)
    }
}
