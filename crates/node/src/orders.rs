//! Orders in memory: outcomes that are not durable yet, and keys that this process has dispatched.
//!
//! Nothing here decides whether an order runs. If it is lost with the process, keys stay in doubt that could have been
//! settled; see `docs/design/orders.md`.

use std::{
    collections::{HashSet, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bilberryford_coord::{OrderState, OutcomeStep, OutcomeWrite, PutOutcome, StoredOrder};
use bilberryford_platform::{ObjectKey, PlatformError, Precondition};
use bilberryford_types::{Event, EventKind, ObjectVersion, OrderKey, RequestId, TeamName};
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::{
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{in_doubt::InDoubtOrders, node::Node};

/// Maximum number of outcomes that wait to be written.
const MAX_PENDING: usize = 4_096;
/// Maximum number of remembered keys of dispatched orders.
const MAX_DISPATCHED: usize = 16_384;
/// Maximum number of platform calls in a row for one outcome.
const MAX_OUTCOME_STEPS: usize = 6;
/// How long shutdown waits for open calls to end and for outcomes to become durable.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Time between two checks of that.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Identifies an order in events.
#[derive(Debug, Clone)]
pub(crate) struct OrderTag {
    pub(crate) request: RequestId,
    pub(crate) team: TeamName,
    pub(crate) key: OrderKey,
}

impl OrderTag {
    /// Sets the fields of an event that identify the order and the version of its object.
    pub(crate) fn annotate(&self, event: &mut Event, version: Option<ObjectVersion>) {
        event.request = Some(self.request.clone());
        event.team = Some(self.team.clone());
        event.order = Some(self.key.clone());
        event.object_version = version;
    }
}

/// An outcome that is not durable yet.
#[derive(Debug)]
pub(crate) struct PendingOutcome {
    pub(crate) tag: OrderTag,
    pub(crate) object: ObjectKey,
    pub(crate) outcome: OutcomeWrite,
    /// True if it fences an intent that was given up.
    pub(crate) is_fence: bool,
}

#[derive(Debug, Default)]
struct Dispatched {
    keys: HashSet<ObjectKey>,
    oldest_first: VecDeque<ObjectKey>,
}

/// State of orders in this process.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pending: Mutex<VecDeque<PendingOutcome>>,
    outcome_queued: Notify,
    dispatched: Mutex<Dispatched>,
    open_calls: Arc<AtomicU32>,
    /// Orders whose outcome is not known.
    pub(crate) in_doubt: InDoubtOrders,
}

/// Counts a call in progress that may not be retried, until it is dropped.
pub(crate) struct OpenCall {
    open_calls: Arc<AtomicU32>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.open_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Orders {
    /// Counts a call as open until the guard is dropped.
    pub(crate) fn track_call(&self) -> OpenCall {
        self.open_calls.fetch_add(1, Ordering::AcqRel);
        OpenCall { open_calls: self.open_calls.clone() }
    }

    /// Queues an outcome for the controller to write. A full queue drops its oldest outcome.
    pub(crate) fn queue_outcome(&self, pending: PendingOutcome) {
        let mut queue = self.pending.lock();
        if queue.len() == MAX_PENDING {
            queue.pop_front();
        }
        queue.push_back(pending);
        drop(queue);
        self.outcome_queued.notify_one();
    }

    /// Waits for a queued outcome, and removes it from the queue.
    pub(crate) async fn next_outcome(&self) -> PendingOutcome {
        loop {
            let next = self.pending.lock().pop_front();
            match next {
                Some(pending) => return pending,
                None => self.outcome_queued.notified().await,
            }
        }
    }

    /// Records that this process dispatched an order.
    pub(crate) fn record_dispatch(&self, object: &ObjectKey) {
        let mut dispatched = self.dispatched.lock();
        if !dispatched.keys.insert(object.clone()) {
            return;
        }
        dispatched.oldest_first.push_back(object.clone());
        if dispatched.oldest_first.len() > MAX_DISPATCHED
            && let Some(oldest) = dispatched.oldest_first.pop_front()
        {
            dispatched.keys.remove(&oldest);
        }
    }

    /// Returns true if this process is known to have dispatched an order.
    pub(crate) fn was_dispatched(&self, object: &ObjectKey) -> bool {
        self.dispatched.lock().keys.contains(object)
    }

    /// Waits until no call is open and no outcome is queued, for [`DRAIN_LIMIT`] at the longest.
    pub(crate) async fn wait_drained(&self) {
        let until = Instant::now() + DRAIN_LIMIT;
        while Instant::now() < until
            && (self.open_calls.load(Ordering::Acquire) > 0 || !self.pending.lock().is_empty())
        {
            sleep(DRAIN_POLL).await;
        }
    }
}

/// Reads an order's object. An invalid record is an error; it never counts as absent.
pub(crate) async fn read(
    node: &Node,
    object: &ObjectKey,
) -> Result<Option<StoredOrder>, ReadError> {
    let found = node.objects.get(object).await.map_err(|_| ReadError::Platform)?;
    let Some(found) = found else { return Ok(None) };
    let record = serde_json::from_slice(&found.body).map_err(|_| ReadError::Record)?;
    Ok(Some(StoredOrder { version: found.version, record }))
}

/// The record of an order could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The call to the platform failed.
    Platform,
    /// The record is invalid.
    Record,
}

/// Writes an order's object if its version is `expected`.
pub(crate) async fn put(
    node: &Node,
    object: &ObjectKey,
    expected: ObjectVersion,
    record: &bilberryford_coord::OrderRecord,
) -> PutOutcome {
    let precondition = match expected {
        ObjectVersion::ABSENT => Precondition::Absent,
        version => Precondition::Version(version),
    };
    let Ok(body) = serde_json::to_vec(record) else { return PutOutcome::NotApplied };
    match node.objects.put(object, precondition, Bytes::from(body)).await {
        Ok(version) => PutOutcome::Applied(version),
        Err(PlatformError::Conflict { .. }) => PutOutcome::Conflict,
        Err(PlatformError::Unknown { .. }) => PutOutcome::Unknown,
        Err(_) => PutOutcome::NotApplied,
    }
}

/// Makes an outcome durable, starting with `step`. Returns it if it could not be written yet.
pub(crate) async fn write_outcome(
    node: &Node,
    mut pending: PendingOutcome,
    mut step: OutcomeStep,
) -> Option<PendingOutcome> {
    for _ in 0..MAX_OUTCOME_STEPS {
        step = match step {
            OutcomeStep::Put(expected) => {
                let written = put(node, &pending.object, expected, &pending.outcome.record).await;
                pending.outcome.on_put(written)
            }
            OutcomeStep::Get => {
                let found = read(node, &pending.object).await;
                pending.outcome.on_get(found.as_ref().map(Option::as_ref).map_err(|_| ()))
            }
            OutcomeStep::RetryLater => return Some(pending),
            OutcomeStep::Written(version) => {
                record_written(node, &pending, version);
                return None;
            }
            OutcomeStep::Superseded => return None,
        };
    }
    Some(pending)
}

/// Records a durable outcome in metrics, events and the orders in doubt.
fn record_written(node: &Node, pending: &PendingOutcome, version: ObjectVersion) {
    let kind = match pending.outcome.record.state {
        _ if pending.is_fence => EventKind::OrderFenced,
        OrderState::InDoubt => EventKind::OrderInDoubt,
        _ => EventKind::OrderSettled,
    };
    if !pending.is_fence {
        node.metrics.count_order_outcome(&pending.outcome.record.state);
    }
    match kind {
        EventKind::OrderInDoubt => node.record_in_doubt(&pending.tag),
        _ => node.orders.in_doubt.resolve(&pending.tag.team, &pending.tag.key),
    }
    node.events.write(kind, |event| pending.tag.annotate(event, Some(version)));
}

impl Node {
    /// Records an order in doubt, for operators.
    pub(crate) fn record_in_doubt(&self, tag: &OrderTag) {
        self.orders.in_doubt.record(&tag.team, &tag.key, self.now());
    }
}
