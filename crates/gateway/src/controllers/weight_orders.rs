//! Orders the engines to load the published weights, under a lease in the store.
//!
//! The lease is acquired only while engines are outdated, so that it causes no calls otherwise. It is never released:
//! the next holder waits until it has expired, so that the time between the last order of one holder and the first of
//! the next is at least the deployment's lease bound. A holder that stops therefore keeps it until it exits. How long it was
//! unchanged before its first read is known from the revisions of the store that this instance read meanwhile, so that
//! a lease that was left long ago is free at once.

mod orders;

use std::{collections::HashMap, pin::pin, sync::Arc, time::Duration};

use bilberryford_coord::{
    AcquireOutcome, Held, Lease, LeaseHolder, LeaseObject, LeaseRecord, LeaseTerms, LeaseUpdate,
    LeaseWriteOutcome, RenewalOutcome, WatchOutcome, Watching,
};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{EndpointId, Incarnation, ModelName, ObjectVersion, TimeMs};
use bytes::Bytes;
use futures::future::{Either, select};
use rand::RngExt;
use tokio::time::{sleep, timeout};

use crate::{
    endpoints::EndpointRecord,
    gateway::Gateway,
    translation::{OrderReply, WeightTarget},
    weight_plan::SentOrders,
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
/// The number of orders that are sent at once.
const MAX_CONCURRENT_ORDERS: usize = 64;
/// The timeout of one order, in milliseconds.
const ORDER_TIMEOUT_MS: TimeMs = TimeMs(400);
/// How long an engine gets no requests after it accepted an order unless it reports the end sooner, in milliseconds.
const ASSUMED_LOADING_MS: TimeMs = TimeMs(2_500);
/// How long an engine gets no requests after an order without a reply, in milliseconds: until its reports show whether it loads.
const POSSIBLY_LOADING_MS: TimeMs = TimeMs(600);
/// How long an engine gets no requests after a report of an order in progress, in milliseconds: until the next report.
const REPORTED_LOADING_MS: TimeMs = TimeMs(1_000);
/// How long a report of the newest weights overrides the older version in the list, in milliseconds: the list lags.
const LIST_LAG_MS: TimeMs = TimeMs(6_000);

struct OrderController {
    gateway: Arc<Gateway>,
    holder: LeaseHolder,
    terms: LeaseTerms,
    key: ObjectKey,
    /// The last orders of this process to each engine incarnation.
    sent: HashMap<(EndpointId, TimeMs), SentOrders>,
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
        sent: HashMap::new(),
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
        let mut lease = lease.in_era(self.gateway.store.era()).with_patience(patience);
        if let Some(version) = object.as_ref().map(|object| object.version)
            && let Some(at) = self.gateway.revision_times.lock().span_of(version).not_after_ms
        {
            lease = lease.written_by(version, at);
        }
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

    async fn hold(&mut self, lease: Lease<Held>) -> Lease<Watching> {
        log::info!(
            target: "belief", fencing:% = lease.fencing(); "lease for weight orders acquired"
        );
        // The lease counts from the start of the call that acquired it, however long that took.
        let mut renewed_ms = lease.counted_from();
        match self.send_orders(lease, &mut renewed_ms).await {
            // The lease expires instead, since the next holder has to wait for the bound in any case.
            Ok(lease) => self.stop_holding(lease),
            Err(lease) => lease,
        }
    }

    /// Sends orders until no engine is outdated or an engine refuses one as fenced. Returns an error if the lease is lost.
    async fn send_orders(
        &mut self,
        mut lease: Lease<Held>,
        renewed_ms: &mut TimeMs,
    ) -> Result<Lease<Held>, Lease<Watching>> {
        loop {
            let pending_rollouts = self.pending_rollouts();
            if pending_rollouts.is_empty() || !self.is_of_present_era(&lease) {
                return Ok(lease);
            }
            for (target, engines) in pending_rollouts {
                let reading = self.read_reports(&target, &engines);
                let reports;
                (lease, reports) = self.renewing_during(lease, renewed_ms, reading).await?;
                let planned = self.plan_orders(&target, &engines, reports);
                for batch in planned.chunks(MAX_CONCURRENT_ORDERS) {
                    if !self.is_of_present_era(&lease) {
                        return Ok(lease);
                    }
                    let Some(permit) = self.begin_orders(&lease, batch) else { continue };
                    let sending = self.send_all(permit, &target, batch);
                    let replies;
                    (lease, replies) = self.renewing_during(lease, renewed_ms, sending).await?;
                    for (order, reply) in batch.iter().zip(&replies) {
                        self.record_reply(&target, order.record, *reply);
                    }
                    if replies.contains(&OrderReply::Fenced) {
                        return Ok(lease);
                    }
                }
            }
            (lease, ()) = self.renewing_during(lease, renewed_ms, sleep(PLAN_INTERVAL)).await?;
        }
    }

    /// Awaits `act`, which may wait for engines that do not answer, and renews the lease meanwhile whenever that is due. Returns
    /// an error if the lease is lost.
    async fn renewing_during<T>(
        &self,
        mut lease: Lease<Held>,
        renewed_ms: &mut TimeMs,
        act: impl Future<Output = T>,
    ) -> Result<(Lease<Held>, T), Lease<Watching>> {
        let mut act = pin!(act);
        loop {
            let due_in_ms = lease.terms().renew_every().since(self.now().since(*renewed_ms));
            if let Ok(output) = timeout(Duration::from_millis(due_in_ms.get()), &mut act).await {
                return Ok((lease, output));
            }
            let renewal = pin!(self.renew_if_due(lease, renewed_ms));
            lease = match select(renewal, &mut act).await {
                Either::Left((renewed, _)) => renewed?,
                Either::Right((output, renewal)) => return Ok((renewal.await?, output)),
            };
        }
    }

    /// Renews the lease if the last attempt, at `renewed_ms`, is long enough ago. Returns an error if it is lost.
    async fn renew_if_due(
        &self,
        lease: Lease<Held>,
        renewed_ms: &mut TimeMs,
    ) -> Result<Lease<Held>, Lease<Watching>> {
        if self.now().since(*renewed_ms) < lease.terms().renew_every() {
            return Ok(lease);
        }
        *renewed_ms = self.now();
        let (fencing, version) = (lease.fencing(), lease.version());
        let lease = self.renew(lease).await.inspect_err(|_| {
            log::warn!(
                target: "belief", fencing:% = fencing, version:% = version;
                "lease for weight orders lost"
            );
        })?;
        if lease.version() == version {
            log::warn!(
                target: "belief", fencing:% = fencing, version:% = version,
                stops_in_ms = lease.stops_at().since(self.now()).get();
                "renewal of the lease for weight orders not visible to others"
            );
        }
        Ok(lease)
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
}
