//! Plans which engines load new weights next.
//!
//! The load pattern it answers: a version is named under load, perhaps before the previous one is in place. A few
//! engines load at a time, since loads beyond that slow each other down, and the others serve meanwhile. The plan is
//! made afresh from what engines report; an order whose reply was lost shows in the report, and is never sent again
//! blindly.

use bilberryford_types::{EndpointId, TimeMs};

/// The share of engines that load at once, as a divisor: a third, so that three rounds fit into the bound even after
/// the holder of the lease changed.
const AT_ONCE_DIVISOR: usize = 3;
/// How long an order without a reply is believed to be under way, in milliseconds: such orders can be carried out
/// seconds later.
const SILENT_ORDER_MS: TimeMs = TimeMs(2_500);

/// An engine of the model as it reported last.
#[derive(Debug, Clone)]
pub struct EngineWeights {
    /// The engine.
    pub id: EndpointId,
    /// Its version; none while it does not answer.
    pub version: Option<u64>,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// How many orders it accepted.
    pub accepted_orders: u64,
    /// When it was last ordered by this holder.
    pub ordered_ms: Option<TimeMs>,
}

/// An order to give now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// To whom.
    pub id: EndpointId,
    /// The count of orders that it must still have.
    pub accepted_orders: u64,
}

/// What to do now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightPlan {
    /// Orders to give.
    pub orders: Vec<WeightOrder>,
    /// How many engines lack the version.
    pub outdated: usize,
    /// How many load now, or may do so.
    pub loading: usize,
}

/// Plans the next orders for a model whose weights are meant to be `target`.
pub fn plan_weights(engines: &[EngineWeights], target: u64, now_ms: TimeMs) -> WeightPlan {
    let lacks = |engine: &&EngineWeights| engine.version.is_none_or(|version| version < target);
    let is_loading = |engine: &EngineWeights| {
        engine.is_busy || engine.ordered_ms.is_some_and(|at| now_ms.since(at) < SILENT_ORDER_MS)
    };
    let mut outdated: Vec<_> = engines.iter().filter(lacks).collect();
    // The oldest weights are the first that requests may no longer begin on.
    outdated.sort_by_key(|engine| engine.version);
    let loading = outdated.iter().filter(|engine| is_loading(engine)).count();
    let at_once = (engines.len() / AT_ONCE_DIVISOR).max(2);
    let orders = outdated
        .iter()
        .filter(|engine| engine.version.is_some() && !is_loading(engine))
        .take(at_once.saturating_sub(loading))
        .map(|engine| WeightOrder {
            id: engine.id.clone(),
            accepted_orders: engine.accepted_orders,
        })
        .collect();
    WeightPlan { orders, outdated: outdated.len(), loading }
}

/// How many named versions of a model are remembered; more than that are not named within one bound.
const MAX_NAMED: usize = 8;

/// The versions that were named for one model, each with the time at which this instance saw it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PublishedWeights {
    named: Vec<(u64, TimeMs)>,
}

impl PublishedWeights {
    /// Takes in a version; answers whether it is newer than all before.
    pub fn record_published(&mut self, version: u64, seen_ms: TimeMs) -> bool {
        let is_newer = version > self.newest();
        if is_newer {
            self.named.push((version, seen_ms));
            if self.named.len() > MAX_NAMED {
                self.named.remove(0);
            }
        }
        is_newer
    }

    /// The newest version, zero when none was named.
    pub fn newest(&self) -> u64 {
        self.named.last().map_or(0, |(version, _)| *version)
    }

    /// How long ago the newest version was seen.
    pub fn age_ms(&self, now_ms: TimeMs) -> TimeMs {
        self.named.last().map_or(TimeMs(0), |(_, seen_ms)| now_ms.since(*seen_ms))
    }

    /// The newest version that was seen at least `bound_ms` ago: requests must not begin on older ones.
    pub fn required(&self, now_ms: TimeMs, bound_ms: TimeMs) -> Option<u64> {
        let is_due = |(_, seen_ms): &&(u64, TimeMs)| now_ms.since(*seen_ms) >= bound_ms;
        self.named.iter().rev().find(is_due).map(|(version, _)| *version)
    }

    /// When requests may no longer begin on `version`; none while nothing newer is named.
    pub fn usable_until(&self, version: u64, bound_ms: TimeMs) -> Option<TimeMs> {
        let newer = self.named.iter().find(|(named, _)| *named > version);
        newer.map(|(_, seen_ms)| seen_ms.after(bound_ms))
    }
}
