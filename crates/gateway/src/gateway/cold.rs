//! The endpoints that this instance takes for cold, and the limit that holds for them.

use std::collections::{HashMap, HashSet};

use bilberryford_types::{DataCentreId, EndpointId, PoolName, RequestRate, TimeMs};

use super::Gateway;
use crate::{
    cold_endpoints::{
        ColdChange, ColdEndpoints, ColdEvidence, ColdLimit, ColdReport, ColdSource, LimitContext,
    },
    endpoints::{EndpointRecord, EndpointState},
    gateway::limits::LiveSharers,
    peer_loads::EndpointTag,
    placement::Candidate,
};

/// The share of the bound that is the limit: a window of one second may get twice the limit.
const BOUND_PER_LIMIT: u64 = 2;

impl Gateway {
    /// The limit of cold endpoints of a service; none if it has no cold start, or the settings set no bound.
    fn cold_limit(&self, service: &PoolName) -> Option<ColdLimit> {
        let deployment = self.deployment.load();
        let cold_start = deployment.as_ref()?.service(service)?.cold_start?;
        let bounds = self.bounds();
        let (ratio, slack) = (bounds.cold_limit_ratio_per_mille?, bounds.cold_limit_slack?);
        let bound_milli = cold_start.rate.milli_per_s() * ratio / 1_000 + slack * 1_000;
        let rate = RequestRate::from_milli_per_s(bound_milli / BOUND_PER_LIMIT);
        Some(ColdLimit { rate, lasts_ms: cold_start.lasts_ms })
    }

    fn change_cold(
        &self,
        work: impl FnOnce(
            &mut ColdEndpoints,
            &mut LimitContext<'_, LiveSharers<'_>>,
        ) -> Option<ColdChange>,
    ) -> Option<ColdChange> {
        let now_ms = self.clock.now();
        let mut cold = self.cold.lock();
        let change = self.with_sharers(now_ms, |sharers| {
            let limits = &mut *self.limits.lock();
            work(&mut cold, &mut LimitContext { limits, sharers, now_ms })
        });
        let is_due = cold.is_report_due();
        drop(cold);
        if change.is_some() || is_due {
            self.cold_changed.notify_one();
        }
        if change.is_some() {
            self.limits_changed.notify_one();
        }
        change
    }

    /// Records evidence that a listed incarnation is cold for `cold_for_ms`, or may have restarted.
    pub fn record_cold(&self, incarnation: EndpointTag, cold_for_ms: TimeMs, source: ColdSource) {
        let endpoints = self.endpoints.lock();
        let Some(id) = endpoints.id_of(incarnation) else { return };
        let Some(service) = endpoints.get(&id).map(|record| record.service.clone()) else { return };
        drop(endpoints);
        let Some(limit) = self.cold_limit(&service) else { return };
        self.record_cold_endpoint(&id, incarnation, cold_for_ms, source, limit);
    }

    fn record_cold_endpoint(
        &self,
        id: &EndpointId,
        incarnation: EndpointTag,
        cold_for_ms: TimeMs,
        source: ColdSource,
        limit: ColdLimit,
    ) {
        let endpoint = EndpointTag::of_endpoint(id.as_str());
        let evidence = ColdEvidence { endpoint, incarnation, cold_for_ms, source };
        let change = self.change_cold(|cold, context| cold.record(&evidence, limit, context));
        self.log_cold_change(Some(id), endpoint, change, source, cold_for_ms);
    }

    /// Records that a listed incarnation may have restarted.
    pub(crate) fn suspect_restart(&self, incarnation: EndpointTag, source: ColdSource) {
        let is_configured = self.bounds().cold_limit_ratio_per_mille.is_some();
        if is_configured {
            self.record_cold(incarnation, TimeMs(0), source);
        }
    }

    /// Records that an incarnation that this instance placed requests on may have restarted.
    pub(crate) fn suspect_restart_of(&self, id: &EndpointId, source: ColdSource) {
        let started_ms = self.endpoints.lock().get(id).map(|record| record.started_ms);
        if let Some(started_ms) = started_ms {
            self.suspect_restart(EndpointTag::new(id.as_str(), started_ms), source);
        }
    }

    /// Records that the endpoints of a data centre may be cold, since they got no requests for a while.
    pub fn record_data_centre_cold(&self, data_centre: &DataCentreId) {
        let endpoints = self.endpoints.lock();
        let there = endpoints.records().filter(|record| record.data_centre == *data_centre);
        let incarnations: Vec<_> =
            there.map(|record| EndpointTag::new(record.id.as_str(), record.started_ms)).collect();
        drop(endpoints);
        for incarnation in incarnations {
            self.suspect_restart(incarnation, ColdSource::Evacuation);
        }
    }

    /// Records what an entry that was just applied states. One that states nothing is cold for the whole period if
    /// `is_new`, that is if its incarnation was listed after this instance's first list.
    pub(crate) fn record_entry_cold(&self, record: &EndpointRecord, is_new: bool) {
        let Some(limit) = self.cold_limit(&record.service) else { return };
        let unstated_ms = is_new.then_some(limit.lasts_ms);
        if let Some(left_ms) = record.cold_left_ms.or(unstated_ms)
            && record.state == EndpointState::Ready
        {
            let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
            let source = ColdSource::Entry;
            self.record_cold_endpoint(&record.id, incarnation, left_ms, source, limit);
        }
    }

    /// Applies the entries that were listed before the configuration named a cold start. What they state is counted from
    /// now, since they were seen earlier.
    pub(crate) fn record_listed_cold(&self) {
        let endpoints = self.endpoints.lock();
        let is_cold = |record: &&EndpointRecord| record.cold_left_ms > Some(TimeMs(0));
        let records: Vec<_> = endpoints.records().filter(is_cold).cloned().collect();
        drop(endpoints);
        records.iter().for_each(|record| self.record_entry_cold(record, false));
    }

    /// Records the endpoint's own response to a request that was sent at `sent_ms`.
    pub(crate) fn record_cold_contact(&self, candidate: &Candidate, sent_ms: TimeMs) {
        if self.cold.lock().is_empty() {
            return;
        }
        let endpoint = EndpointTag::of_endpoint(candidate.id.as_str());
        let change =
            self.change_cold(|cold, context| cold.record_response(endpoint, sent_ms, context));
        let source = ColdSource::Endpoint;
        self.log_cold_change(Some(&candidate.id), endpoint, change, source, TimeMs(0));
    }

    /// Applies a peer's reports on cold endpoints.
    pub(crate) fn apply_cold_reports(&self, reports: &[ColdReport]) {
        let is_newcomer = self.fleet_is_unknown();
        for report in reports {
            let is_unknown = self.cold.lock().is_unknown(report, is_newcomer);
            let listed = if is_unknown { self.listed_cold(report.endpoint) } else { None };
            let id = listed.as_ref().map(|(id, ..)| id.clone());
            let listed = listed.map(|(_, incarnation, limit)| (incarnation, limit));
            let change = self.change_cold(|cold, context| {
                cold.apply_report(report, listed, is_newcomer, context)
            });
            self.log_cold_change(
                id.as_ref(),
                report.endpoint,
                change,
                ColdSource::Peer,
                report.left_ms,
            );
        }
    }

    /// The listed endpoint of a tag, with its incarnation and the limit of its service.
    fn listed_cold(&self, endpoint: EndpointTag) -> Option<(EndpointId, EndpointTag, ColdLimit)> {
        let endpoints = self.endpoints.lock();
        let is_subject =
            |record: &&EndpointRecord| EndpointTag::of_endpoint(record.id.as_str()) == endpoint;
        let record = endpoints.records().find(is_subject)?;
        let incarnation = EndpointTag::new(record.id.as_str(), record.started_ms);
        let (id, service) = (record.id.clone(), record.service.clone());
        drop(endpoints);
        Some((id, incarnation, self.cold_limit(&service)?))
    }

    /// The limits of the endpoints that are cold, by the settings and the configuration in force.
    fn cold_limits(&self) -> HashMap<EndpointTag, ColdLimit> {
        let services: Vec<_> = {
            let (endpoints, cold) = (self.endpoints.lock(), self.cold.lock());
            let records = endpoints.records();
            let tagged = records
                .map(|record| (EndpointTag::of_endpoint(record.id.as_str()), &record.service));
            let is_cold = |(endpoint, _): &(EndpointTag, &PoolName)| cold.contains(*endpoint);
            tagged.filter(is_cold).map(|(endpoint, service)| (endpoint, service.clone())).collect()
        };
        let limits = services.into_iter();
        limits
            .filter_map(|(endpoint, service)| Some((endpoint, self.cold_limit(&service)?)))
            .collect()
    }

    /// Ends the limits that are over, and returns the reports for the other instances: all, or those that are not to be
    /// delayed.
    pub(crate) fn refresh_cold(&self, are_all_due: bool) -> Vec<ColdReport> {
        let now_ms = self.clock.now();
        let listed: HashSet<EndpointTag> = self.endpoints.lock().tags().collect();
        let limits = self.cold_limits();
        let mut cold = self.cold.lock();
        cold.set_limits(|endpoint| limits.get(&endpoint).copied());
        let changes = self.with_sharers(now_ms, |sharers| {
            let is_listed = |endpoint| listed.contains(&endpoint);
            let limits = &mut *self.limits.lock();
            cold.update(is_listed, &mut LimitContext { limits, sharers, now_ms })
        });
        let reports = cold.take_reports(are_all_due, now_ms);
        self.metrics.cold_endpoints.record(cold.count() as u64, &[]);
        drop(cold);
        for (endpoint, change) in changes {
            self.log_cold_change(None, endpoint, Some(change), ColdSource::Entry, TimeMs(0));
        }
        reports
    }

    fn log_cold_change(
        &self,
        id: Option<&EndpointId>,
        endpoint: EndpointTag,
        change: Option<ColdChange>,
        source: ColdSource,
        cold_for_ms: TimeMs,
    ) {
        let Some(change) = change else { return };
        let listed = if id.is_none() { self.listed_cold(endpoint) } else { None };
        let id = id.or(listed.as_ref().map(|(id, ..)| id)).map_or("", |id| id.as_str());
        let source: &'static str = source.into();
        let own_part = self.limits.lock().own_part(endpoint).unwrap_or_default();
        match change {
            ColdChange::Began => log::info!(
                target: "belief", endpoint = id, source = source, cold_for_ms = cold_for_ms.get(),
                own_part:% = own_part; "endpoint is cold: its requests are limited"
            ),
            ColdChange::Ended => log::info!(
                target: "belief", endpoint = id, source = source, own_part:% = own_part;
                "endpoint is no longer cold: its limit doubles each second"
            ),
        }
    }
}
