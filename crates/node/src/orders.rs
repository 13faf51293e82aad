//! What an instance holds in memory about orders: outcomes that are not durable yet, and keys that it dispatched.
//!
//! Nothing here decides whether an order runs. When it is lost with the process, keys stay in doubt that could have
//! been settled; see `docs/design/orders.md`.

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

/// The most outcomes that wait for the platform.
const MAX_PENDING: usize = 4_096;
/// The most keys that are remembered as dispatched.
const MAX_DISPATCHED: usize = 16_384;
/// The most calls for one outcome in a row.
const MAX_OUTCOME_STEPS: usize = 6;
/// How long shutdown waits for outcomes to become durable.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// How often shutdown looks.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// An order as the time line names it.
#[derive(Debug, Clone)]
pub(crate) struct OrderTag {
    pub(crate) request: RequestId,
    pub(crate) team: TeamName,
    pub(crate) key: OrderKey,
}

impl OrderTag {
    /// Sets what an event concerns.
    pub(crate) fn fill(&self, event: &mut Event, version: Option<ObjectVersion>) {
        event.request = Some(self.request.clone());
        event.team = Some(self.team.clone());
        event.order = Some(self.key.clone());
        event.object_version = version;
    }
}

/// An outcome that is to become durable.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) tag: OrderTag,
    pub(crate) object: ObjectKey,
    pub(crate) outcome: OutcomeWrite,
    /// Whether it fences an intent that was given up.
    pub(crate) is_fence: bool,
}

#[derive(Debug, Default)]
struct Dispatched {
    keys: HashSet<ObjectKey>,
    oldest: VecDeque<ObjectKey>,
}

/// The instance's memory of orders.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    pending: Mutex<VecDeque<Pending>>,
    added: Notify,
    dispatched: Mutex<Dispatched>,
    open: Arc<AtomicU32>,
    /// Orders whose fate is not known.
    pub(crate) in_doubt: InDoubtOrders,
}

/// A call that may not be repeated and is under way.
pub(crate) struct OpenCall {
    open: Arc<AtomicU32>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Orders {
    /// Counts a call until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenCall {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenCall { open: self.open.clone() }
    }

    /// Leaves an outcome to the controller; the oldest one gives way when there are too many.
    pub(crate) fn push(&self, pending: Pending) {
        let mut queue = self.pending.lock();
        if queue.len() == MAX_PENDING {
            queue.pop_front();
        }
        queue.push_back(pending);
        drop(queue);
        self.added.notify_one();
    }

    /// The next outcome, when there is one.
    pub(crate) async fn next(&self) -> Pending {
        loop {
            let next = self.pending.lock().pop_front();
            match next {
                Some(pending) => return pending,
                None => self.added.notified().await,
            }
        }
    }

    /// Remembers that this process dispatched an order.
    pub(crate) fn note_dispatch(&self, object: &ObjectKey) {
        let mut dispatched = self.dispatched.lock();
        if !dispatched.keys.insert(object.clone()) {
            return;
        }
        dispatched.oldest.push_back(object.clone());
        if dispatched.oldest.len() > MAX_DISPATCHED
            && let Some(oldest) = dispatched.oldest.pop_front()
        {
            dispatched.keys.remove(&oldest);
        }
    }

    /// Whether this process remembers that it dispatched an order.
    pub(crate) fn was_dispatched(&self, object: &ObjectKey) -> bool {
        self.dispatched.lock().keys.contains(object)
    }

    /// Waits until nothing is under way or pending, or the limit has passed.
    pub(crate) async fn drained(&self) {
        let until = Instant::now() + DRAIN_LIMIT;
        while Instant::now() < until
            && (self.open.load(Ordering::Acquire) > 0 || !self.pending.lock().is_empty())
        {
            sleep(DRAIN_POLL).await;
        }
    }
}

/// Reads an order's object; a record that can't be read is an error, never an absent one.
pub(crate) async fn read(
    node: &Node,
    object: &ObjectKey,
) -> Result<Option<StoredOrder>, ReadError> {
    let found = node.objects.get(object).await.map_err(|_| ReadError::Platform)?;
    let Some(found) = found else { return Ok(None) };
    let record = serde_json::from_slice(&found.body).map_err(|_| ReadError::Record)?;
    Ok(Some(StoredOrder { version: found.version, record }))
}

/// Why an order's record is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadError {
    /// The platform did not answer.
    Platform,
    /// There is a record, but it can't be read.
    Record,
}

/// Writes an order's object.
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

/// Makes an outcome durable, beginning with `step`; gives it back when the platform does not answer.
pub(crate) async fn write_outcome(
    node: &Node,
    mut pending: Pending,
    mut step: OutcomeStep,
) -> Option<Pending> {
    for _ in 0..MAX_OUTCOME_STEPS {
        step = match step {
            OutcomeStep::Put(expected) => {
                let seen = put(node, &pending.object, expected, &pending.outcome.record).await;
                pending.outcome.on_put(seen)
            }
            OutcomeStep::Get => {
                let seen = read(node, &pending.object).await;
                pending.outcome.on_get(seen.as_ref().map(Option::as_ref).map_err(|_| ()))
            }
            OutcomeStep::RetryLater => return Some(pending),
            OutcomeStep::Written(version) => {
                written(node, &pending, version);
                return None;
            }
            OutcomeStep::Superseded => return None,
        };
    }
    Some(pending)
}

fn written(node: &Node, pending: &Pending, version: ObjectVersion) {
    let kind = match pending.outcome.record.state {
        _ if pending.is_fence => EventKind::OrderFenced,
        OrderState::InDoubt => EventKind::OrderInDoubt,
        _ => EventKind::OrderSettled,
    };
    if !pending.is_fence {
        node.metrics.settled(&pending.outcome.record.state);
    }
    match kind {
        EventKind::OrderInDoubt => node.note_doubt(&pending.tag),
        _ => node.orders.in_doubt.resolve(&pending.tag.team, &pending.tag.key),
    }
    node.events.write(kind, |event| pending.tag.fill(event, Some(version)));
}

impl Node {
    /// Keeps an order in doubt for operators.
    pub(crate) fn note_doubt(&self, tag: &OrderTag) {
        self.orders.in_doubt.record(&tag.team, &tag.key, self.now());
    }
}
