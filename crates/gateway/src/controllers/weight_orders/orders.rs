//! Plans orders by the engines' reports and sends them.

use bilberryford_coord::{Held, Lease, Permit};
use bilberryford_types::{EndpointId, TimeMs};
use futures::future::join_all;

use super::{
    ASSUMED_LOADING_MS, OrderController, POSSIBLY_LOADING_MS, REPORTED_LOADING_MS, incarnation_key,
};
use crate::{
    endpoints::EndpointRecord,
    peer_loads::EndpointTag,
    translation::{EngineReport, OrderReply, WeightLoad, WeightTarget},
    weight_plan::{EngineWeights, SentOrders, plan_weights},
};

/// An order to an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedOrder<'a> {
    pub(super) record: &'a EndpointRecord,
    /// The number of accepted orders that the engine must still report; otherwise it rejects the order.
    pub(super) accepted_orders: u64,
}

impl OrderController {
    /// Asks the engines that may be outdated for their reports, in the order of `engines`.
    pub(super) async fn read_reports(
        &self,
        target: &WeightTarget,
        engines: &[EndpointRecord],
    ) -> Vec<Option<EngineReport>> {
        join_all(engines.iter().map(|record| {
            let is_loaded = self
                .loaded
                .get(&incarnation_key(record))
                .is_some_and(|(_, version)| *version >= target.version);
            let listed = record.weight_version(&target.model);
            let needs_report = !is_loaded && listed.is_some_and(|version| version < target.version);
            let orders = self.gateway.orders.clone();
            async move {
                if !needs_report {
                    return None;
                }
                orders.report(record.address, &record.id).await
            }
        }))
        .await
    }

    /// Plans the orders for one model by the engines' reports.
    pub(super) fn plan_orders<'a>(
        &mut self,
        target: &WeightTarget,
        engines: &'a [EndpointRecord],
        reports: Vec<Option<EngineReport>>,
    ) -> Vec<PlannedOrder<'a>> {
        let now_ms = self.now();
        let mut views = Vec::new();
        for (record, report) in engines.iter().zip(reports) {
            let listed = record.weight_version(&target.model);
            let loaded = self.loaded.get(&incarnation_key(record)).map(|(_, version)| *version);
            let reported = report.as_ref().and_then(|report| {
                report.models.iter().find(|(model, _)| *model == target.model).map(|(_, v)| *v)
            });
            if report.as_ref().is_some_and(|report| report.is_leaving) {
                let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
                self.gateway.record_departure(incarnation);
            }
            let needed_report = loaded.max(listed).is_none_or(|version| version < target.version);
            if let Some(version) = reported.filter(|version| *version >= target.version) {
                self.loaded.insert(incarnation_key(record), (now_ms, version));
                self.record_observed_weights(&record.id, version);
            }
            if needed_report && report.as_ref().is_some_and(|report| report.is_busy) {
                self.record_loading(&record.id, REPORTED_LOADING_MS);
            }
            views.push(EngineWeights {
                id: record.id.clone(),
                version: if needed_report { reported } else { loaded.max(listed) },
                is_busy: report.as_ref().is_some_and(|report| report.is_busy),
                accepted_orders: report.as_ref().map_or(0, |report| report.accepted_orders),
                sent: self.sent.get(&incarnation_key(record)).copied(),
            });
        }
        let plan = plan_weights(&views, target.version, now_ms);
        let find = |id: &EndpointId| engines.iter().find(|record| record.id == *id);
        let orders = plan.orders.into_iter();
        orders
            .filter_map(|order| {
                let accepted_orders = order.accepted_orders;
                Some(PlannedOrder { record: find(&order.id)?, accepted_orders })
            })
            .collect()
    }

    fn record_observed_weights(&self, endpoint: &EndpointId, version: u64) {
        let mut local = self.gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.observed_weights = Some(version);
        state.loading_until_ms = None;
    }

    /// Keeps requests from an engine that loads, or may load, for `time_ms`, at other instances as well.
    fn record_loading(&self, endpoint: &EndpointId, time_ms: TimeMs) {
        let until_ms = self.now().after(time_ms);
        let mut local = self.gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.loading_until_ms = state.loading_until_ms.max(Some(until_ms));
    }

    /// Returns the permit to send the orders now, and counts their engines as ordered; none if the lease ends too soon.
    pub(super) fn begin_orders(
        &mut self,
        lease: &Lease<Held>,
        orders: &[PlannedOrder<'_>],
    ) -> Option<Permit> {
        let is_fenced = self.gateway.bounds().are_orders_fenced;
        let now_ms = self.now();
        let permit = lease.permit(now_ms, is_fenced)?;
        for order in orders {
            let key = incarnation_key(order.record);
            let earlier = self.sent.get(&key).copied();
            let sent = SentOrders::after_sending(earlier, order.accepted_orders, now_ms);
            self.sent.insert(key, sent);
        }
        Some(permit)
    }

    /// Sends orders at once, so that an engine without a reply costs the others no time, and returns the replies in order.
    pub(super) async fn send_all(
        &self,
        permit: Permit,
        target: &WeightTarget,
        orders: &[PlannedOrder<'_>],
    ) -> Vec<OrderReply> {
        join_all(orders.iter().map(|order| self.send_order(permit, target, *order))).await
    }

    async fn send_order(
        &self,
        permit: Permit,
        target: &WeightTarget,
        PlannedOrder { record, accepted_orders }: PlannedOrder<'_>,
    ) -> OrderReply {
        let holder = self.gateway.settings.instance.as_str();
        let order = WeightLoad { target, holder, fencing: permit.fencing, accepted_orders };
        let reply = self.gateway.orders.load_weights(record.address, &record.id, order).await;
        self.gateway.metrics.orders.add(1, &[]);
        log::info!(
            target: "order", endpoint:% = record.id, model:% = target.model,
            version = target.version, fencing:% = permit.fencing, expected = accepted_orders,
            reply:% = reply;
            "weights ordered"
        );
        reply
    }

    pub(super) fn record_reply(
        &mut self,
        target: &WeightTarget,
        record: &EndpointRecord,
        reply: OrderReply,
    ) {
        match reply {
            OrderReply::Accepted => {
                self.record_loading(&record.id, ASSUMED_LOADING_MS);
                if let Some(sent) = self.sent.get_mut(&incarnation_key(record)) {
                    sent.is_accepted = true;
                }
            }
            OrderReply::Unknown => self.record_loading(&record.id, POSSIBLY_LOADING_MS),
            OrderReply::AlreadyHolds => {
                self.loaded.insert(incarnation_key(record), (self.now(), target.version));
            }
            // The next plan is based on the engine's report.
            OrderReply::Conflict | OrderReply::Fenced | OrderReply::Refused => {}
        }
    }
}
