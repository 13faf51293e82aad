//! Brings the engines to the named weights, under a lease in the store.
//!
//! The lease is taken only while engines lack a version, so that a calm day costs no calls. It is never released: the
//! next holder waits until it has run out, and the time between the last order of one holder and the first of the next
//! is at least the deployment's lease bound.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bilberryford_coord::{
    AcquireOutcome, Held, Lease, LeaseHolder, LeaseObject, LeaseRecord, LeaseTerms, LeaseUpdate,
    LeaseWriteOutcome, RenewalOutcome, WatchOutcome, Watching,
};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{EndpointId, Incarnation, ModelName, ObjectVersion, TimeMs};
use bytes::Bytes;
use futures::future::join_all;
use rand::RngExt;
use tokio::time::sleep;

use crate::{
    endpoints::EndpointRecord,
    gateway::Gateway,
    rollout::{EngineWeights, plan_weights},
    translation::{OrderReply, WeightLoad, WeightTarget},
};

/// The name of the lease.
const LEASE_NAME: &str = "weight-orders";
/// How often it is looked whether engines lack a version, and how often a holder plans.
const PLAN_EVERY: Duration = Duration::from_millis(250);
/// How long instances spread their tries to take the lease, in milliseconds.
const SPREAD_MS: u64 = 300;
/// How long a holder may act after a confirmed renewal, beside the lease bound: three renewals fit.
const ACTING_MS: TimeMs = TimeMs(1_000);
/// What the margin has beyond the lease bound, for clocks that run at different rates, in milliseconds.
const MARGIN_MS: TimeMs = TimeMs(300);
/// The deadline of one order, in milliseconds.
const ORDER_MS: TimeMs = TimeMs(400);
/// How long an engine is passed by after an order unless it reports the end before, in milliseconds.
const LOADING_MS: TimeMs = TimeMs(2_500);
/// How long an engine that listed older weights after an order is not believed, in milliseconds: lists lag.
const RECENT_ORDER_MS: TimeMs = TimeMs(6_000);

struct Orders {
    gateway: Arc<Gateway>,
    me: LeaseHolder,
    terms: LeaseTerms,
    key: ObjectKey,
    ordered_ms: HashMap<(EndpointId, TimeMs), TimeMs>,
    /// The newest version that a life of an engine reported, and when.
    loaded: HashMap<(EndpointId, TimeMs), (TimeMs, u64)>,
}

/// An engine's life: what was learned of one says nothing about the next.
fn life(record: &EndpointRecord) -> (EndpointId, TimeMs) {
    (record.id.clone(), record.started_ms)
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let Ok(name) = LEASE_NAME.parse() else { return };
    let bound_ms = gateway.settings.bounds.lease_ms;
    let terms = LeaseTerms {
        duration: bound_ms.after(MARGIN_MS).after(ACTING_MS),
        margin: bound_ms.after(MARGIN_MS),
        max_order_duration: ORDER_MS,
    };
    let me = LeaseHolder {
        instance: gateway.settings.instance.clone(),
        incarnation: Incarnation(rand::random()),
    };
    let mut orders = Orders {
        gateway,
        me,
        terms,
        key: ObjectKey::new(ObjectKind::Lease, name),
        ordered_ms: HashMap::new(),
        loaded: HashMap::new(),
    };
    let mut lease = orders.watching();
    loop {
        orders.wait_until_lacking().await;
        let pause_ms = rand::rng().random_range(0..SPREAD_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        lease = orders.try_lease(lease).await;
    }
}

impl Orders {
    fn now(&self) -> TimeMs {
        self.gateway.clock.now()
    }

    fn watching(&self) -> Lease<Watching> {
        Lease::new(self.me.clone(), self.terms)
    }

    /// The engines of each model whose newest version they lack.
    fn lacking(&self) -> Vec<(WeightTarget, Vec<EndpointRecord>)> {
        let weights = self.gateway.weights.lock();
        let endpoints = self.gateway.endpoints.lock();
        let now_ms = self.now();
        let lacks = |record: &EndpointRecord, model: &ModelName, newest: u64| {
            let is_listed_old =
                record.weight_version(model).is_some_and(|version| version < newest);
            let is_loaded = self.loaded.get(&life(record)).is_some_and(|(at_ms, version)| {
                now_ms.since(*at_ms) < RECENT_ORDER_MS && *version >= newest
            });
            is_listed_old && !is_loaded
        };
        weights
            .iter()
            .filter_map(|(model, named)| {
                let newest = named.newest();
                let engines: Vec<_> = endpoints
                    .records()
                    .filter(|record| record.state == crate::EndpointState::Ready)
                    .filter(|record| record.weight_version(model).is_some())
                    .cloned()
                    .collect();
                let is_lacking = engines.iter().any(|record| lacks(record, model, newest));
                let target = WeightTarget { model: model.clone(), version: newest };
                is_lacking.then_some((target, engines))
            })
            .collect()
    }

    async fn wait_until_lacking(&self) {
        while self.lacking().is_empty() || self.gateway.is_stopping() {
            sleep(PLAN_EVERY).await;
        }
    }

    async fn read(&self) -> Result<Option<LeaseObject>, PlatformError> {
        self.gateway.metrics.store_calls.add(1, &[]);
        let object = self.gateway.store.get(&self.key).await?;
        Ok(object.and_then(|object| {
            let record: LeaseRecord = serde_json::from_slice(&object.body)
                .inspect_err(|error| log::error!(error:% = error; "lease can't be read"))
                .ok()?;
            Some(LeaseObject { version: object.version, record })
        }))
    }

    async fn write(&self, update: &LeaseUpdate) -> LeaseWriteOutcome {
        self.gateway.metrics.store_calls.add(1, &[]);
        let precondition = if update.expected == ObjectVersion::ABSENT {
            Precondition::Absent
        } else {
            Precondition::Version(update.expected)
        };
        let body = match serde_json::to_vec(&update.record) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!(error:% = error; "lease can't be written");
                return LeaseWriteOutcome::Conflict;
            }
        };
        match self.gateway.store.put(&self.key, precondition, body).await {
            Ok(version) => LeaseWriteOutcome::Applied(version),
            Err(PlatformError::Unknown { .. }) => LeaseWriteOutcome::Unknown,
            Err(error) => {
                log::debug!(error:% = error; "lease not written");
                LeaseWriteOutcome::Conflict
            }
        }
    }

    /// Watches the lease, takes it when it is free, and works under it to its end.
    async fn try_lease(&mut self, lease: Lease<Watching>) -> Lease<Watching> {
        let found = match self.read().await {
            Ok(found) => found,
            Err(error) => {
                log::debug!(error:% = error; "lease not read");
                sleep(PLAN_EVERY).await;
                return lease;
            }
        };
        match lease.observe(found.as_ref(), self.now()) {
            WatchOutcome::Wait { lease, until } => {
                let wait_ms = until.since(self.now()).get().clamp(50, 1_500);
                sleep(Duration::from_millis(wait_ms)).await;
                lease
            }
            WatchOutcome::Acquire { lease, update } => {
                let taken = match lease.on_write(self.write(&update).await) {
                    AcquireOutcome::ReadBack(lease) => {
                        let found = self.read().await.ok().flatten();
                        lease.on_read_back(found.as_ref())
                    }
                    taken => taken,
                };
                match taken {
                    AcquireOutcome::Held(lease) => self.hold(lease).await,
                    AcquireOutcome::Lost(lease) => lease,
                    // A read back always decides; should it not, the lease is watched from the start.
                    AcquireOutcome::ReadBack(_) => self.watching(),
                }
            }
        }
    }

    async fn hold(&mut self, mut lease: Lease<Held>) -> Lease<Watching> {
        log::info!(
            target: "belief", fencing:% = lease.fencing(); "lease of weight orders taken"
        );
        let mut renewed_ms = self.now();
        loop {
            let lacking = self.lacking();
            if lacking.is_empty() || self.gateway.is_stopping() {
                // Not released: the next holder has to wait for the bound in any case.
                return self.give_up(lease);
            }
            if self.now().since(renewed_ms) >= lease.terms().renew_every() {
                renewed_ms = self.now();
                lease = match self.renew(lease).await {
                    Ok(lease) => lease,
                    Err(lease) => return lease,
                };
            }
            for (target, engines) in lacking {
                if !self.give_orders(&lease, &target, &engines).await {
                    return self.give_up(lease);
                }
            }
            sleep(PLAN_EVERY).await;
        }
    }

    fn give_up(&self, lease: Lease<Held>) -> Lease<Watching> {
        log::info!(target: "belief", fencing:% = lease.fencing(); "lease of weight orders left");
        let (watching, _unused) = lease.release();
        watching
    }

    async fn renew(&self, lease: Lease<Held>) -> Result<Lease<Held>, Lease<Watching>> {
        let (lease, update) = lease.renew(self.now())?;
        let result = self.write(&update).await;
        match lease.on_renewal(result, self.now()) {
            RenewalOutcome::Held(lease) => Ok(lease),
            RenewalOutcome::Lost(lease) => Err(lease),
            RenewalOutcome::ReadBack(lease) => match self.read().await {
                Ok(found) => match lease.reconcile(found.as_ref(), self.now()) {
                    RenewalOutcome::Held(lease) | RenewalOutcome::ReadBack(lease) => Ok(lease),
                    RenewalOutcome::Lost(lease) => Err(lease),
                },
                // Permits end as before.
                Err(error) => {
                    log::debug!(error:% = error; "lease not read back");
                    Ok(lease)
                }
            },
        }
    }

    /// Plans and gives the orders for one model; answers whether the lease is still worth anything.
    async fn give_orders(
        &mut self,
        lease: &Lease<Held>,
        target: &WeightTarget,
        engines: &[EndpointRecord],
    ) -> bool {
        let reports = join_all(engines.iter().map(|record| {
            let is_loaded = self
                .loaded
                .get(&life(record))
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
        .await;
        let now_ms = self.now();
        let mut views = Vec::new();
        for (record, report) in engines.iter().zip(reports) {
            let listed = record.weight_version(&target.model);
            let loaded = self.loaded.get(&life(record)).map(|(_, version)| *version);
            let reported = report.as_ref().and_then(|report| {
                report.models.iter().find(|(model, _)| *model == target.model).map(|(_, v)| *v)
            });
            let needed_report = loaded.max(listed).is_none_or(|version| version < target.version);
            if let Some(version) = reported.filter(|version| *version >= target.version) {
                self.loaded.insert(life(record), (now_ms, version));
                self.show_weights(&record.id, version);
            }
            views.push(EngineWeights {
                id: record.id.clone(),
                version: if needed_report { reported } else { loaded.max(listed) },
                is_busy: report.as_ref().is_some_and(|report| report.is_busy),
                accepted_orders: report.as_ref().map_or(0, |report| report.accepted_orders),
                ordered_ms: self.ordered_ms.get(&life(record)).copied(),
            });
        }
        let plan = plan_weights(&views, target.version, now_ms);
        for order in plan.orders {
            let Some(record) = engines.iter().find(|record| record.id == order.id) else {
                continue;
            };
            if !self.give_order(lease, target, record, order.accepted_orders).await {
                return false;
            }
        }
        true
    }

    fn show_weights(&self, endpoint: &EndpointId, version: u64) {
        let mut local = self.gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.shown_weights = Some(version);
        state.loading_until_ms = None;
    }

    /// Gives one order; answers whether the lease is still worth anything.
    async fn give_order(
        &mut self,
        lease: &Lease<Held>,
        target: &WeightTarget,
        record: &EndpointRecord,
        accepted_orders: u64,
    ) -> bool {
        let is_fenced = self.gateway.settings.bounds.are_orders_fenced;
        let Some(permit) = lease.permit(self.now(), is_fenced) else { return true };
        let holder = self.gateway.settings.instance.as_str();
        self.ordered_ms.insert(life(record), self.now());
        let orders = self.gateway.orders.clone();
        let reply = orders
            .load_weights(
                record.address,
                &record.id,
                WeightLoad { target, holder, fencing: permit.fencing, accepted_orders },
            )
            .await;
        self.gateway.metrics.orders.add(1, &[]);
        log::info!(
            target: "order", endpoint:% = record.id, model:% = target.model,
            version = target.version, fencing:% = permit.fencing, expected = accepted_orders,
            reply:% = reply;
            "weights ordered"
        );
        if matches!(reply, OrderReply::Accepted | OrderReply::Unknown) {
            let until_ms = self.now().after(LOADING_MS);
            let mut local = self.gateway.local.lock();
            local.entry(record.id.clone()).or_default().loading_until_ms = Some(until_ms);
        }
        match reply {
            OrderReply::AlreadyHolds => {
                self.loaded.insert(life(record), (self.now(), target.version));
                true
            }
            OrderReply::Fenced => false,
            // The next plan goes by what the engine reports.
            OrderReply::Refused
            | OrderReply::Conflict
            | OrderReply::Accepted
            | OrderReply::Unknown => true,
        }
    }
}
