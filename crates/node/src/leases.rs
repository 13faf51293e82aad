//! Drives a lease against the platform, with bounded calls.
//!
//! Cost: a holder makes one write each [`LeaseTerms::renew_every`] (1.5 s), two calls when an answer was lost; each of
//! the [`CANDIDATES`] instances that stand ready reads once a second, every other instance once in ten. With ten
//! leases and 380 instances that is 7 writes and 410 reads a second. See `docs/design/endpoint-orders.md`.

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

/// The spans of all leases.
const TERMS: LeaseTerms = LeaseTerms::new(TimeMs(6_000), TimeMs(1_000));
/// How many instances stand ready to take over.
const CANDIDATES: usize = 3;
/// How often they look, in milliseconds.
const CANDIDATE_POLL_MS: u64 = 1_000;
/// How often the others look, in milliseconds.
const OTHER_POLL_MS: u64 = 10_000;

/// How many leases this instance holds, so that shutdown can wait until they are released.
#[derive(Debug, Default)]
pub(crate) struct HeldLeases(watch::Sender<u32>);

impl HeldLeases {
    /// Waits until none is held.
    pub(crate) async fn released(&self) {
        let mut held = self.0.subscribe();
        // INVARIANT: the sender lives in `self`, so the channel can't be closed here.
        let _ = held.wait_for(|count| *count == 0).await;
    }

    fn count(&self, is_held: bool) {
        self.0.send_modify(|count| {
            *count = if is_held { *count + 1 } else { count.saturating_sub(1) };
        });
    }
}

enum State {
    Watching(Lease<Watching>),
    Held(Lease<Held>),
}

/// One lease as this instance drives it; nobody else in the process may drive the same one.
pub(crate) struct LeaseKeeper {
    node: Arc<Node>,
    key: ObjectKey,
    state: Option<State>,
    next_call: TimeMs,
    is_counted: bool,
}

impl LeaseKeeper {
    /// A lease on the platform object `name`.
    pub(crate) fn new(node: Arc<Node>, name: ObjectName) -> Self {
        let key = ObjectKey::new(ObjectKind::Lease, name);
        Self { node, key, state: None, next_call: TimeMs(0), is_counted: false }
    }

    /// Makes the calls that are due; returns at once when none is.
    pub(crate) async fn tick(&mut self) {
        let now = self.node.now();
        if now < self.next_call && self.is_held() == self.is_counted {
            return;
        }
        // A tick that is dropped half-way leaves nothing, which is to watch from the start.
        let state = self.state.take().unwrap_or_else(|| State::Watching(self.fresh()));
        let state = match state {
            State::Watching(lease) => self.look(lease).await,
            State::Held(lease) => self.renew(lease).await,
        };
        self.next_call = self.node.now().after(self.period(&state, now));
        self.state = Some(state);
        self.tell();
    }

    /// Whether the lease is held now.
    pub(crate) fn is_held(&self) -> bool {
        matches!(&self.state, Some(State::Held(lease)) if lease.is_held(self.node.now()))
    }

    /// Leave to make one call that ends within `TERMS.max_order_duration`; to be asked directly before the call.
    pub(crate) fn permit(&self, is_fenced: bool) -> Option<Permit> {
        match &self.state {
            Some(State::Held(lease)) => lease.permit(self.node.now(), is_fenced),
            _ => None,
        }
    }

    /// The longest that a call under the lease may take.
    pub(crate) const fn longest_order() -> TimeMs {
        TERMS.max_order_duration
    }

    /// Gives the lease up without a call, because an endpoint has seen a later holder.
    pub(crate) fn give_up(&mut self) {
        self.state = None;
        self.tell();
    }

    /// Gives the lease up, so that the next holder need not wait for its end.
    pub(crate) async fn release(&mut self) {
        if let Some(State::Held(lease)) = self.state.take() {
            let (_, update) = lease.release();
            if let LeaseWriteOutcome::Unknown = self.write(&update).await {
                log::debug!("the release of {} was not answered; it runs out", self.key);
            }
        }
        self.tell();
    }

    fn fresh(&self) -> Lease<Watching> {
        let me = LeaseHolder {
            instance: self.node.settings.instance.clone(),
            incarnation: self.node.incarnation,
        };
        Lease::new(me, TERMS)
    }

    fn period(&self, state: &State, started: TimeMs) -> TimeMs {
        match state {
            // The next renewal is counted from the start of this one, so that slow answers don't stretch it.
            State::Held(_) => TERMS.renew_every().since(self.node.now().since(started)),
            State::Watching(_) if self.is_candidate() => TimeMs(CANDIDATE_POLL_MS),
            State::Watching(_) => TimeMs(OTHER_POLL_MS),
        }
    }

    /// A view: it saves calls and decides nothing.
    fn is_candidate(&self) -> bool {
        let me = &self.node.settings.instance;
        let peers = self.node.members.addresses();
        let members = peers.iter().map(|(instance, _)| instance).chain([me]);
        rendezvous_owners(members, self.key.name.as_str().as_bytes(), CANDIDATES).contains(&me)
    }

    async fn look(&self, lease: Lease<Watching>) -> State {
        let Ok(found) = self.read().await else { return State::Watching(lease) };
        match lease.observe(found.as_ref(), self.node.now()) {
            WatchOutcome::Wait { lease, .. } => State::Watching(lease),
            WatchOutcome::Acquire { lease, update } => {
                let result = self.write(&update).await;
                self.taken(lease.on_write(result)).await
            }
        }
    }

    async fn taken(&self, taken: AcquireOutcome) -> State {
        match taken {
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
            AcquireOutcome::ReadBack(_) => State::Watching(self.fresh()),
        }
    }

    async fn renew(&self, lease: Lease<Held>) -> State {
        let (lease, update) = match lease.renew(self.node.now()) {
            Ok(renewing) => renewing,
            Err(lease) => return State::Watching(lease),
        };
        let result = self.write(&update).await;
        let renewal = match lease.on_renewal(result, self.node.now()) {
            RenewalOutcome::ReadBack(lease) => match self.read().await {
                Ok(found) => lease.reconcile(found.as_ref(), self.node.now()),
                // Nothing is known: permits end as before, and the next tick tries again.
                Err(_) => RenewalOutcome::Held(lease),
            },
            known => known,
        };
        match renewal {
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

    /// Counts the lease and writes an event when it was taken or lost.
    fn tell(&mut self) {
        let is_held = self.is_held();
        if is_held == self.is_counted {
            return;
        }
        self.is_counted = is_held;
        self.node.leases.count(is_held);
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

impl Drop for LeaseKeeper {
    fn drop(&mut self) {
        if self.is_counted {
            self.node.leases.count(false);
        }
    }
}
