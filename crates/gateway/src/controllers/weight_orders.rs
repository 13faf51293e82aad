//! Orders the engines to load the published weights, under a lease in the store.
//!
//! The lease is acquired only while engines are outdated, so that it causes no calls otherwise. It is never released:
//! the next holder waits until it has expired, so that the time between the last order of one holder and the first of
//! the next is at least the deployment's lease bound. A holder that stops therefore keeps it until it exits.

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
    peer_loads::EndpointTag,
    rollout::{EngineWeights, plan_weights},
    translation::{OrderReply, WeightLoad, WeightTarget},
};

/// The name of the lease.
const LEASE_NAME: &str = "weight-orders";
/// The interval of the checks for outdated engines, and of the lease holder's plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);
/// The longest random delay before an attempt to acquire the lease, in milliseconds.
const ACQUIRE_JITTER_MS: u64 = 300;
/// How long a stopping instance leaves a free lease to others, in milliseconds.
const STOPPING_PATIENCE_MS: TimeMs = TimeMs(800);
/// How long a holder may send orders after a confirmed renewal, in milliseconds: three renewals fit into it.
const RENEWAL_WINDOW_MS: TimeMs = TimeMs(1_000);
/// The margin on top of the lease bound for clocks that run at different rates, in milliseconds.
const CLOCK_RATE_MARGIN_MS: TimeMs = TimeMs(300);
/// The timeout of one order, in milliseconds.
const ORDER_TIMEOUT_MS: TimeMs = TimeMs(400);
/// How long an engine gets no requests after an order unless it reports the end sooner, in milliseconds.
const ASSUMED_LOADING_MS: TimeMs = TimeMs(2_500);
/// How long a report of the newest weights overrides the older version in the list, in milliseconds: the list lags.
const LIST_LAG_MS: TimeMs = TimeMs(6_000);

struct OrderController {
    gateway: Arc<Gateway>,
    holder: LeaseHolder,
    terms: LeaseTerms,
    key: ObjectKey,
    ordered_ms: HashMap<(EndpointId, TimeMs), TimeMs>,
    /// The newest version that each engine incarnation reported, and the time of the report.
    loaded: HashMap<(EndpointId, TimeMs), (TimeMs, u64)>,
}

/// The key for the state of one incarnation of an engine, since that state does not apply to the next one.
fn incarnation_key(record: &EndpointRecord) -> (EndpointId, TimeMs) {
    (record.id.clone(), record.started_ms)
}

pub(super) async fn run(gateway: Arc<Gateway>) {
    let Ok(name) = LEASE_NAME.parse() else { return };
    let bound_ms = gateway.bounds().lease_ms;
    let terms = LeaseTerms {
        duration: bound_ms.after(CLOCK_RATE_MARGIN_MS).after(RENEWAL_WINDOW_MS),
        margin: bound_ms.after(CLOCK_RATE_MARGIN_MS),
        max_order_duration: ORDER_TIMEOUT_MS,
    };
    let holder = LeaseHolder {
        instance: gateway.settings.instance.clone(),
        incarnation: Incarnation(rand::random()),
    };
    let mut orders = OrderController {
        gateway,
        holder,
        terms,
        key: ObjectKey::new(ObjectKind::Lease, name),
        ordered_ms: HashMap::new(),
        loaded: HashMap::new(),
    };
    let mut lease = orders.new_lease();
    loop {
        orders.wait_for_rollout().await;
        let pause_ms = rand::rng().random_range(0..ACQUIRE_JITTER_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        lease = orders.try_acquire(lease).await;
    }
}

impl OrderController {
    fn now(&self) -> TimeMs {
        self.gateway.clock.now()
    }

    fn new_lease(&self) -> Lease<Watching> {
        Lease::new(self.holder.clone(), self.terms)
    }

    /// The ready engines of each model that has an outdated engine, with the version to load.
    fn pending_rollouts(&self) -> Vec<(WeightTarget, Vec<EndpointRecord>)> {
        let weights = self.gateway.weights.lock();
        let endpoints = self.gateway.endpoints.lock();
        let now_ms = self.now();
        let is_outdated = |record: &EndpointRecord, model: &ModelName, newest: u64| {
            let is_listed_old =
                record.weight_version(model).is_some_and(|version| version < newest);
            let is_loaded =
                self.loaded.get(&incarnation_key(record)).is_some_and(|(at_ms, version)| {
                    now_ms.since(*at_ms) < LIST_LAG_MS && *version >= newest
                });
            is_listed_old && !is_loaded
        };
        weights
            .iter()
            .filter_map(|(model, published)| {
                let newest = published.newest();
                let engines: Vec<_> = endpoints
                    .ready(now_ms)
                    .filter(|record| record.weight_version(model).is_some())
                    .cloned()
                    .collect();
                let has_outdated = engines.iter().any(|record| is_outdated(record, model, newest));
                let target = WeightTarget { model: model.clone(), version: newest };
                has_outdated.then_some((target, engines))
            })
            .collect()
    }

    /// Waits until engines are outdated. Only readers of the store compete for the lease, since each attempt of each
    /// instance is a call.
    async fn wait_for_rollout(&self) {
        while !self.gateway.read_mode.reads_store() || self.pending_rollouts().is_empty() {
            sleep(PLAN_INTERVAL).await;
        }
    }

    async fn read_lease(&self) -> Result<Option<LeaseObject>, PlatformError> {
        self.gateway.metrics.store_calls.add(1, &[]);
        let object = self.gateway.store.get(&self.key).await?;
        Ok(object.and_then(|object| {
            let record: LeaseRecord = serde_json::from_slice(&object.body)
                .inspect_err(|error| log::error!(error:% = error; "lease can't be decoded"))
                .ok()?;
            Some(LeaseObject { version: object.version, record })
        }))
    }

    async fn write_lease(&self, update: &LeaseUpdate) -> LeaseWriteOutcome {
        self.gateway.metrics.store_calls.add(1, &[]);
        let precondition = if update.expected == ObjectVersion::ABSENT {
            Precondition::Absent
        } else {
            Precondition::Version(update.expected)
        };
        let body = match serde_json::to_vec(&update.record) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                log::error!(error:% = error; "lease can't be encoded");
                return LeaseWriteOutcome::Conflict;
            }
        };
        match self.gateway.store.put(&self.key, precondition, body).await {
            Ok(version) => LeaseWriteOutcome::Applied(version),
            Err(PlatformError::Unknown { .. }) => LeaseWriteOutcome::Unknown,
            Err(error) => {
                log::debug!(error:% = error; "can't write the lease");
                LeaseWriteOutcome::Conflict
            }
        }
    }

    /// Observes the lease, acquires it if it is free, and sends orders until it ends.
    async fn try_acquire(&mut self, lease: Lease<Watching>) -> Lease<Watching> {
        let object = match self.read_lease().await {
            Ok(object) => object,
            Err(error) => {
                log::debug!(error:% = error; "can't read the lease");
                sleep(PLAN_INTERVAL).await;
                return lease;
            }
        };
        // An instance that stops may exit soon. It competes all the same, since others may rely on it to read the store.
        let patience = if self.gateway.is_stopping() { STOPPING_PATIENCE_MS } else { TimeMs(0) };
        let lease = lease.in_era(self.gateway.store.era()).with_patience(patience);
        match lease.observe(object.as_ref(), self.now()) {
            WatchOutcome::Wait { lease, until } => {
                let wait_ms = until.since(self.now()).get().clamp(50, 1_500);
                sleep(Duration::from_millis(wait_ms)).await;
                lease
            }
            WatchOutcome::Acquire { lease, update } => {
                let taken_from = object.as_ref().and_then(|object| object.record.holder.as_ref());
                log::info!(
                    target: "belief", fencing:% = update.record.fencing,
                    taken_from:? = taken_from.map(|holder| (&holder.instance, holder.incarnation)),
                    version:% = update.expected;
                    "lease for weight orders is free"
                );
                let outcome = match lease.on_write(self.write_lease(&update).await) {
                    AcquireOutcome::ReadBack(lease) => {
                        let object = self.read_lease().await.ok().flatten();
                        lease.on_read_back(object.as_ref())
                    }
                    outcome => outcome,
                };
                match outcome {
                    AcquireOutcome::Held(lease) => self.hold(lease).await,
                    AcquireOutcome::Lost(lease) => lease,
                    // A read back always resolves the write; otherwise, start over.
                    AcquireOutcome::ReadBack(_) => self.new_lease(),
                }
            }
        }
    }

    async fn hold(&mut self, mut lease: Lease<Held>) -> Lease<Watching> {
        log::info!(
            target: "belief", fencing:% = lease.fencing(); "lease for weight orders acquired"
        );
        let mut renewed_ms = self.now();
        loop {
            let pending_rollouts = self.pending_rollouts();
            if pending_rollouts.is_empty() || !self.is_of_present_era(&lease) {
                // The lease expires instead, since the next holder has to wait for the bound in any case.
                return self.stop_holding(lease);
            }
            if self.now().since(renewed_ms) >= lease.terms().renew_every() {
                renewed_ms = self.now();
                let (fencing, version) = (lease.fencing(), lease.version());
                lease = match self.renew(lease).await {
                    Ok(lease) => lease,
                    Err(lease) => {
                        log::warn!(
                            target: "belief", fencing:% = fencing, version:% = version;
                            "lease for weight orders lost"
                        );
                        return lease;
                    }
                };
                if lease.version() == version {
                    log::warn!(
                        target: "belief", fencing:% = fencing, version:% = version,
                        stops_in_ms = lease.stops_at().since(self.now()).get();
                        "renewal of the lease for weight orders not visible to others"
                    );
                }
            }
            for (target, engines) in pending_rollouts {
                if !self.send_orders(&lease, &target, &engines).await {
                    return self.stop_holding(lease);
                }
            }
            sleep(PLAN_INTERVAL).await;
        }
    }

    /// Returns false once the store came back from a copy, which may lack the lease or name another holder.
    fn is_of_present_era(&self, lease: &Lease<Held>) -> bool {
        lease.version().era() == self.gateway.store.era()
    }

    fn stop_holding(&self, lease: Lease<Held>) -> Lease<Watching> {
        log::info!(
            target: "belief", fencing:% = lease.fencing();
            "lease for weight orders left to expire"
        );
        let (watching, _unused) = lease.release();
        watching
    }

    async fn renew(&self, lease: Lease<Held>) -> Result<Lease<Held>, Lease<Watching>> {
        let (lease, update) = lease.renew(self.now())?;
        let result = self.write_lease(&update).await;
        match lease.on_renewal(result, self.now()) {
            RenewalOutcome::Held(lease) => Ok(lease),
            RenewalOutcome::Lost(lease) => Err(lease),
            RenewalOutcome::ReadBack(lease) => match self.read_lease().await {
                Ok(object) => match lease.reconcile(object.as_ref(), self.now()) {
                    RenewalOutcome::Held(lease) | RenewalOutcome::ReadBack(lease) => Ok(lease),
                    RenewalOutcome::Lost(lease) => Err(lease),
                },
                // The permits still end at the same time.
                Err(error) => {
                    log::debug!(error:% = error; "can't read the lease back");
                    Ok(lease)
                }
            },
        }
    }

    /// Plans and sends the orders for one model. Returns false if an engine refused an order as fenced.
    async fn send_orders(
        &mut self,
        lease: &Lease<Held>,
        target: &WeightTarget,
        engines: &[EndpointRecord],
    ) -> bool {
        let reports = join_all(engines.iter().map(|record| {
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
        .await;
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
            views.push(EngineWeights {
                id: record.id.clone(),
                version: if needed_report { reported } else { loaded.max(listed) },
                is_busy: report.as_ref().is_some_and(|report| report.is_busy),
                accepted_orders: report.as_ref().map_or(0, |report| report.accepted_orders),
                ordered_ms: self.ordered_ms.get(&incarnation_key(record)).copied(),
            });
        }
        let plan = plan_weights(&views, target.version, now_ms);
        for order in plan.orders {
            let Some(record) = engines.iter().find(|record| record.id == order.id) else {
                continue;
            };
            if !self.send_order(lease, target, record, order.accepted_orders).await {
                return false;
            }
        }
        true
    }

    fn record_observed_weights(&self, endpoint: &EndpointId, version: u64) {
        let mut local = self.gateway.local.lock();
        let state = local.entry(endpoint.clone()).or_default();
        state.observed_weights = Some(version);
        state.loading_until_ms = None;
    }

    /// Sends one order. Returns false if the engine refused it as fenced, so that the lease is of no more use.
    async fn send_order(
        &mut self,
        lease: &Lease<Held>,
        target: &WeightTarget,
        record: &EndpointRecord,
        accepted_orders: u64,
    ) -> bool {
        if !self.is_of_present_era(lease) {
            return false;
        }
        let is_fenced = self.gateway.bounds().are_orders_fenced;
        let Some(permit) = lease.permit(self.now(), is_fenced) else { return true };
        let holder = self.gateway.settings.instance.as_str();
        self.ordered_ms.insert(incarnation_key(record), self.now());
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
            let until_ms = self.now().after(ASSUMED_LOADING_MS);
            let mut local = self.gateway.local.lock();
            local.entry(record.id.clone()).or_default().loading_until_ms = Some(until_ms);
        }
        match reply {
            OrderReply::AlreadyHolds => {
                self.loaded.insert(incarnation_key(record), (self.now(), target.version));
                true
            }
            OrderReply::Fenced => false,
            // The next plan is based on the engine's report.
            OrderReply::Refused
            | OrderReply::Conflict
            | OrderReply::Accepted
            | OrderReply::Unknown => true,
        }
    }
}
