//! Drives a lease against the platform, with bounded calls.
//!
//! Cost: a holder makes one write each [`LeaseTerms::renew_every`] (1.5 s), and two calls if a reply was lost. Each of
//! the [`CANDIDATES`] instances that are ready to take over reads once a second, every other instance once in ten. With
//! ten leases and 380 instances that is 7 writes and 410 reads a second. See `docs/design/endpoint-orders.md`.

use std::sync::Arc;

use bilberryford_coord::{
    AcquireOutcome, Acquiring, Held, Lease, LeaseHolder, LeaseObject, LeaseRecord, LeaseTerms,
    LeaseUpdate, LeaseWriteOutcome, Permit, RenewalOutcome, WatchOutcome, Watching,
    rendezvous_owners,
};
use bilberryford_platform::{ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{EventKind, Fencing, ObjectName, ObjectVersion, TimeMs};
use tokio::sync::watch;

use crate::node::Node;

/// Durations of all leases.
const TERMS: LeaseTerms = LeaseTerms::new(TimeMs(6_000), TimeMs(1_000));
/// Number of instances that are ready to take over.
const CANDIDATES: usize = 3;
/// Time between two reads of a candidate, in milliseconds.
const CANDIDATE_POLL_MS: u64 = 1_000;
/// Time between two reads of another instance, in milliseconds.
const OTHER_POLL_MS: u64 = 10_000;

/// Number of leases that this instance holds, so that shutdown can wait until they are released.
#[derive(Debug, Default)]
pub(crate) struct HeldLeases(watch::Sender<u32>);

impl HeldLeases {
    /// Waits until none is held.
    pub(crate) async fn wait_released(&self) {
        let mut held = self.0.subscribe();
        // INVARIANT: the sender lives in `self`, so the channel can't be closed here.
        let _ = held.wait_for(|count| *count == 0).await;
    }

    fn update(&self, is_held: bool) {
        self.0.send_modify(|count| {
            *count = if is_held { *count + 1 } else { count.saturating_sub(1) };
        });
    }
}

enum State {
    Watching(Lease<Watching>),
    Held(Lease<Held>),
}

/// Drives one lease for this instance. At most one driver for each lease may exist in the process.
pub(crate) struct LeaseDriver {
    node: Arc<Node>,
    key: ObjectKey,
    state: Option<State>,
    next_call: TimeMs,
    is_counted: bool,
}

impl LeaseDriver {
    /// Creates a driver of the lease on the platform object `name`.
    pub(crate) fn new(node: Arc<Node>, name: ObjectName) -> Self {
        let key = ObjectKey::new(ObjectKind::Lease, name);
        Self { node, key, state: None, next_call: TimeMs(0), is_counted: false }
    }

    /// Makes the calls that are due. Returns at once if there are none.
    pub(crate) async fn tick(&mut self) {
        let now = self.node.now();
        if now < self.next_call && self.is_held() == self.is_counted {
            return;
        }
        // A tick that is dropped half-way leaves `None`, and the next one starts to watch again.
        let state = self.state.take().unwrap_or_else(|| State::Watching(self.new_watch()));
        let state = match state {
            State::Watching(lease) => self.watch(lease).await,
            State::Held(lease) => self.renew(lease).await,
        };
        self.next_call = self.node.now().after(self.period(&state, now));
        self.state = Some(state);
        self.report_change();
    }

    /// Returns true if the lease is held now.
    pub(crate) fn is_held(&self) -> bool {
        matches!(&self.state, Some(State::Held(lease)) if lease.is_held(self.node.now()))
    }

    /// Returns a permit for one call that ends within [`Self::max_order_duration`]. It has to be requested directly
    /// before the call.
    pub(crate) fn permit(&self, is_fenced: bool) -> Option<Permit> {
        match &self.state {
            Some(State::Held(lease)) => lease.permit(self.node.now(), is_fenced),
            _ => None,
        }
    }

    /// Returns the maximum duration of a call under the lease.
    pub(crate) const fn max_order_duration() -> TimeMs {
        TERMS.max_order_duration
    }

    /// Gives up the lease without a call, because an endpoint has seen a later holder.
    pub(crate) fn give_up(&mut self) {
        self.state = None;
        self.report_change();
    }

    /// Releases the lease, so that the next holder need not wait for it to expire.
    pub(crate) async fn release(&mut self) {
        if let Some(State::Held(lease)) = self.state.take() {
            let (_, update) = lease.release();
            if let LeaseWriteOutcome::Unknown = self.write(&update).await {
                log::debug!("no reply to the release of lease {}; it will expire", self.key);
            }
        }
        self.report_change();
    }

    fn new_watch(&self) -> Lease<Watching> {
        let holder = LeaseHolder {
            instance: self.node.settings.instance.clone(),
            incarnation: self.node.incarnation,
        };
        Lease::new(holder, TERMS)
    }

    fn period(&self, state: &State, started: TimeMs) -> TimeMs {
        match state {
            // The period counts from the start of the last renewal, so that slow replies don't extend it.
            State::Held(_) => TERMS.renew_every().since(self.node.now().since(started)),
            State::Watching(_) if self.is_candidate() => TimeMs(CANDIDATE_POLL_MS),
            State::Watching(_) => TimeMs(OTHER_POLL_MS),
        }
    }

    /// Returns true if this instance is one of the candidates. They are chosen from a view of the members, which only
    /// saves calls and decides nothing.
    fn is_candidate(&self) -> bool {
        let local = &self.node.settings.instance;
        let peers = self.node.members.peer_addresses();
        let members = peers.iter().map(|(instance, _)| instance).chain([local]);
        rendezvous_owners(members, self.key.name.as_str().as_bytes(), CANDIDATES).contains(&local)
    }

    async fn watch(&self, lease: Lease<Watching>) -> State {
        let Ok(found) = self.read().await else { return State::Watching(lease) };
        match lease.observe(found.as_ref(), self.node.now()) {
            WatchOutcome::Wait { lease, .. } => State::Watching(lease),
            WatchOutcome::Acquire { lease, update } => {
                let result = self.write(&update).await;
                self.after_acquire(lease.on_write(result)).await
            }
        }
    }

    async fn after_acquire(&self, outcome: AcquireOutcome) -> State {
        match outcome {
            AcquireOutcome::Held(lease) => State::Held(lease),
            AcquireOutcome::Lost(lease) => State::Watching(lease),
            AcquireOutcome::ReadBack(lease) => self.read_back(lease).await,
        }
    }

    async fn read_back(&self, lease: Lease<Acquiring>) -> State {
        let found = self.read().await.ok().flatten();
        match lease.on_read_back(found.as_ref()) {
            AcquireOutcome::Held(lease) => State::Held(lease),
            AcquireOutcome::Lost(lease) => State::Watching(lease),
            AcquireOutcome::ReadBack(_) => State::Watching(self.new_watch()),
        }
    }

    async fn renew(&self, lease: Lease<Held>) -> State {
        let (lease, update) = match lease.renew(self.node.now()) {
            Ok(renewing) => renewing,
            Err(lease) => return State::Watching(lease),
        };
        let result = self.write(&update).await;
        let outcome = match lease.on_renewal(result, self.node.now()) {
            RenewalOutcome::ReadBack(lease) => match self.read().await {
                Ok(found) => lease.reconcile(found.as_ref(), self.node.now()),
                // The outcome is unknown: permits end as before, and the next tick renews again.
                Err(_) => RenewalOutcome::Held(lease),
            },
            outcome => outcome,
        };
        match outcome {
            RenewalOutcome::Held(lease) | RenewalOutcome::ReadBack(lease) => State::Held(lease),
            RenewalOutcome::Lost(lease) => State::Watching(lease),
        }
    }

    async fn read(&self) -> Result<Option<LeaseObject>, PlatformError> {
        let Some(object) = self.node.objects.get(&self.key).await? else { return Ok(None) };
        let record: LeaseRecord = serde_json::from_slice(&object.body)
            .map_err(|error| PlatformError::Refused { reason: error.to_string() })?;
        Ok(Some(LeaseObject { version: object.version, record }))
    }

    async fn write(&self, update: &LeaseUpdate) -> LeaseWriteOutcome {
        let precondition = match update.expected {
            ObjectVersion::ABSENT => Precondition::Absent,
            version => Precondition::Version(version),
        };
        let body = serde_json::to_vec(&update.record).unwrap_or_default().into();
        match self.node.objects.put(&self.key, precondition, body).await {
            Ok(version) => LeaseWriteOutcome::Applied(version),
            Err(PlatformError::Conflict { .. }) => LeaseWriteOutcome::Conflict,
            Err(_) => LeaseWriteOutcome::Unknown,
        }
    }

    /// Updates the number of held leases and writes an event, if the lease was acquired or lost.
    fn report_change(&mut self) {
        let is_held = self.is_held();
        if is_held == self.is_counted {
            return;
        }
        self.is_counted = is_held;
        self.node.leases.update(is_held);
        let kind = if is_held { EventKind::LeaseTaken } else { EventKind::LeaseLost };
        let fencing = match &self.state {
            Some(State::Held(lease)) => lease.fencing(),
            _ => Fencing(0),
        };
        self.node.events.write(kind, |event| {
            event.detail = match kind {
                EventKind::LeaseTaken => format!("{} fencing {fencing}", self.key.name),
                _ => self.key.name.to_string(),
            };
        });
    }
}

impl Drop for LeaseDriver {
    fn drop(&mut self) {
        if self.is_counted {
            self.node.leases.update(false);
        }
    }
}
