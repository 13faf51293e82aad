//! The shares of contended pools: usage is recorded at each placement, and exchanged with the peers under pressure. Without
//! the setting, prompts are admitted by their forecasts alone.

use bilberryford_coord::{ReturnSlot, ReturnState, ShareKey, ShareStanding};
use bilberryford_types::{PoolName, TimeMs};

use super::Gateway;
use crate::{
    admission::{Admission, Contention, Forecast, admit},
    peer_loads::{UsageMessage, report_interval_ms},
};

/// The shortest interval between reports of usage, in milliseconds: a tenth of the window.
pub(crate) const USAGE_REPORT_INTERVAL_MS: TimeMs = TimeMs(400);

/// A prompt that asks for engine time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareRequest<'a> {
    pub(crate) service: &'a PoolName,
    pub(crate) share: ShareKey,
    /// The engines of the pool that accept requests.
    pub(crate) engines: usize,
    /// The hash by which it is recognised when it comes back.
    pub(crate) request: u64,
}

/// The admission decision on a prompt, with what it is based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareDecision {
    pub(crate) admission: Admission,
    /// The standing of its share; none unless the pool is contended.
    pub(crate) standing: Option<ShareStanding>,
    pub(crate) is_return: bool,
}

fn log_pressure(pool: &PoolName, source: &str) {
    log::info!(target: "belief", pool:% = pool, source = source; "pool is under pressure");
}

impl Gateway {
    /// Decides whether a prompt is admitted, and records a refusal in its share.
    pub(crate) fn admit_share(
        &self,
        request: &ShareRequest<'_>,
        forecast: Forecast,
    ) -> ShareDecision {
        if !self.settings.shares_contended_pools {
            let admission = admit(&forecast, None);
            return ShareDecision { admission, standing: None, is_return: false };
        }
        let now_ms = self.clock.now();
        let mut pools = self.fair_shares.lock();
        let shares = pools.entry(request.service.clone()).or_default();
        shares.set_engines(request.engines as u64);
        let was_pressed = shares.has_pressure(now_ms);
        let rank_per_mille = shares.rank_per_mille(request.share.rank, now_ms);
        let forecast = Forecast { rank_per_mille, ..forecast };
        if forecast.is_late() {
            shares.record_pressure(now_ms);
        }
        let standing = shares.decide(request.share, now_ms);
        let return_state = shares.take_return(request.request, now_ms);
        let contention =
            standing.map(|decided| Contention { standing: decided.standing, return_state });
        let mut admission = admit(&forecast, contention.as_ref());
        let work_ms = forecast.own_work_ms.get();
        match (&mut admission, return_state) {
            (Admission::Admitted, _) => shares.cancel_return(request.request),
            // Its demand was counted, and its place is kept until the promised time.
            (Admission::RetryAfter(after_ms), ReturnState::Early { left_ms }) => {
                shares.record_pressure(now_ms);
                *after_ms = left_ms.max(*after_ms).min(forecast.longest_return_ms());
            }
            (Admission::RetryAfter(after_ms), _) => {
                // The demand of a return was counted when it was refused before.
                match return_state {
                    ReturnState::Unknown => {
                        shares.record_refused(request.share, work_ms, now_ms);
                    }
                    _ => shares.record_pressure(now_ms),
                }
                if standing.is_some() {
                    let slot = ReturnSlot {
                        work_ms,
                        backlog_ms: *after_ms,
                        longest_ms: forecast.longest_return_ms(),
                    };
                    *after_ms =
                        shares.promise_return(request.request, request.share, &slot, now_ms);
                }
            }
        }
        let is_pressed = shares.has_pressure(now_ms);
        drop(pools);
        if is_pressed && !was_pressed {
            log_pressure(request.service, "forecast");
        }
        let is_return = return_state == ReturnState::Due;
        if let Some(decided) = standing {
            let outcome = match admission {
                Admission::Admitted if is_return => "returned",
                Admission::Admitted => "admitted",
                Admission::RetryAfter(_) => "refused",
            };
            self.metrics.record_contended(decided.standing.into(), outcome);
        }
        ShareDecision { admission, standing, is_return }
    }

    /// Records that a prompt with `work_ms` of engine time is sent to an engine.
    pub(crate) fn record_share_used(&self, service: &PoolName, share: ShareKey, work_ms: TimeMs) {
        if !self.settings.shares_contended_pools {
            return;
        }
        let now_ms = self.clock.now();
        let mut pools = self.fair_shares.lock();
        pools.entry(service.clone()).or_default().record_used(share, work_ms.get(), now_ms);
    }

    /// The reports for the peers on the pools that are under pressure.
    pub(crate) fn usage_reports(&self, sequence: u64, peers: usize) -> Vec<UsageMessage> {
        let now_ms = self.clock.now();
        let interval_ms = USAGE_REPORT_INTERVAL_MS.max(report_interval_ms(peers));
        let deployment = self.deployment.load();
        let mut pools = self.fair_shares.lock();
        pools.retain(|pool, _| {
            deployment.as_ref().is_none_or(|deployment| deployment.service(pool).is_some())
        });
        let reports = pools.iter_mut().filter_map(|(pool, shares)| {
            shares.set_report_interval(interval_ms);
            let report = shares.report(self.process_number, sequence, now_ms)?;
            let instance = self.settings.instance.to_string();
            Some(UsageMessage { instance, pool: pool.clone(), report })
        });
        reports.collect()
    }

    /// Applies a peer's report on a pool of the configuration.
    pub(crate) fn apply_usage_report(&self, message: &UsageMessage) {
        if !self.settings.shares_contended_pools {
            return;
        }
        let deployment = self.deployment.load();
        let is_known =
            |pool| deployment.as_ref().is_some_and(|deployment| deployment.service(pool).is_some());
        if !is_known(&message.pool) {
            return;
        }
        let now_ms = self.clock.now();
        let mut pools = self.fair_shares.lock();
        let shares = pools.entry(message.pool.clone()).or_default();
        let was_pressed = shares.has_pressure(now_ms);
        shares.apply_report(&message.instance, &message.report, now_ms);
        let is_pressed = shares.has_pressure(now_ms);
        drop(pools);
        if is_pressed && !was_pressed {
            log_pressure(&message.pool, &message.instance);
        }
    }
}
