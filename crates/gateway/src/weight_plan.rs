//! Plans which engines load published weights next.
//!
//! A version may be published under load, and before the previous one is loaded everywhere. Only a few engines load at
//! a time, since further loads slow each other down, and the others serve meanwhile. Each plan is derived from the
//! engines' latest reports.
//!
//! An order without a reply may be executed seconds later, or never. Each order states the number of orders that its engine
//! has accepted, so that of several orders only the first one to be executed is accepted, and a further one costs no
//! second load. An engine that reports neither a load nor an accepted order after its order is not loading, and does not
//! keep others from it. Late orders may still be executed together: so many engines are left without one that the
//! pool goes on serving.

use bilberryford_types::{EndpointId, TimeMs};

/// The share of engines that load at once, as a divisor: a third, so that three rounds fit into the bound for new
/// weights even if the lease changes its holder meanwhile.
const CONCURRENT_LOADS_DIVISOR: usize = 3;
/// The share of engines that neither load nor may start to, as a divisor.
const SPARED_ENGINES_DIVISOR: usize = 3;
/// The time after which an accepted order shows in the report of its engine, in milliseconds.
const REPORT_LAG_MS: TimeMs = TimeMs(1_000);
/// How long an order that was accepted counts as in progress although the report does not show it, in milliseconds.
const ACCEPTED_ORDER_MS: TimeMs = TimeMs(2_500);
/// The time after which an order without a reply is sent again, in milliseconds.
const RESEND_INTERVAL_MS: TimeMs = TimeMs(2_500);
/// How long an engine without a reply counts as one that may start to load, in milliseconds. Engines that never execute
/// their orders would otherwise keep the last ones from getting any.
const LATE_EXECUTION_MS: TimeMs = TimeMs(10_000);

/// The orders by this lease holder that state the same number of accepted orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentOrders {
    /// The time of the first one.
    pub first_ms: TimeMs,
    /// The time of the last one.
    pub last_ms: TimeMs,
    /// The number of accepted orders that they state; the engine rejects them once it has accepted another one.
    pub accepted_orders: u64,
    /// True if the engine accepted the last one.
    pub is_accepted: bool,
}

impl SentOrders {
    /// The orders to an engine after another one at `now_ms`, whose reply is not known yet.
    pub fn after_sending(earlier: Option<Self>, accepted_orders: u64, now_ms: TimeMs) -> Self {
        let first = earlier.filter(|earlier| earlier.accepted_orders == accepted_orders);
        Self {
            first_ms: first.map_or(now_ms, |earlier| earlier.first_ms),
            last_ms: now_ms,
            accepted_orders,
            is_accepted: false,
        }
    }
}

/// The latest report of an engine that serves the model.
#[derive(Debug, Clone)]
pub struct EngineWeights {
    /// The engine.
    pub id: EndpointId,
    /// The version of its weights; none while it sends no report.
    pub version: Option<u64>,
    /// True while it executes an order.
    pub is_busy: bool,
    /// The number of orders that it accepted.
    pub accepted_orders: u64,
    /// The last orders by this lease holder.
    pub sent: Option<SentOrders>,
}

/// What an engine with older weights may be doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadState {
    /// It has no order that it could still accept.
    Idle,
    /// It loads, or will report so.
    Loading,
    /// It may start to load at any time.
    Unanswered,
}

impl EngineWeights {
    /// The orders that the engine may still accept, or has accepted without reporting so yet.
    fn open_orders(&self) -> Option<&SentOrders> {
        let may_accept = |sent: &&SentOrders| {
            self.version.is_none() || sent.accepted_orders == self.accepted_orders
        };
        self.sent.as_ref().filter(may_accept)
    }

    fn load_state(&self, now_ms: TimeMs) -> LoadState {
        if self.is_busy {
            return LoadState::Loading;
        }
        let Some(sent) = self.open_orders() else { return LoadState::Idle };
        let shows_after_ms = if sent.is_accepted { ACCEPTED_ORDER_MS } else { REPORT_LAG_MS };
        if now_ms.since(sent.last_ms) < shows_after_ms {
            LoadState::Loading
        } else if now_ms.since(sent.first_ms) < LATE_EXECUTION_MS {
            LoadState::Unanswered
        } else {
            LoadState::Idle
        }
    }

    fn may_be_ordered(&self, now_ms: TimeMs) -> bool {
        let is_recent = |sent: &SentOrders| now_ms.since(sent.last_ms) < RESEND_INTERVAL_MS;
        self.version.is_some()
            && self.load_state(now_ms) != LoadState::Loading
            && !self.open_orders().is_some_and(is_recent)
    }
}

/// An order to send now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// The engine.
    pub id: EndpointId,
    /// The number of accepted orders that the engine must still report; otherwise it rejects the order.
    pub accepted_orders: u64,
}

/// The next step of a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightPlan {
    /// The orders to send.
    pub orders: Vec<WeightOrder>,
    /// The number of engines that do not report the target version.
    pub outdated: usize,
    /// The number of these that load, or will report so.
    pub loading: usize,
    /// The number of these that have an order without a reply and may start to load at any time.
    pub unanswered: usize,
}

/// Plans the next orders for a model whose target version is `target`.
pub fn plan_weights(engines: &[EngineWeights], target: u64, now_ms: TimeMs) -> WeightPlan {
    let is_outdated =
        |engine: &&EngineWeights| engine.version.is_none_or(|version| version < target);
    let mut outdated: Vec<_> = engines.iter().filter(is_outdated).collect();
    // Engines that left an order unanswered come last, so that those which never execute one hold up no others. The oldest
    // weights are the first ones that requests may no longer start on.
    outdated.sort_by_key(|engine| (engine.open_orders().map(|sent| sent.last_ms), engine.version));
    let count = |state| outdated.iter().filter(|engine| engine.load_state(now_ms) == state).count();
    let (loading, unanswered) = (count(LoadState::Loading), count(LoadState::Unanswered));
    let max_loading = (engines.len() / CONCURRENT_LOADS_DIVISOR).max(2);
    let max_out_of_service =
        (engines.len() - engines.len() / SPARED_ENGINES_DIVISOR).max(max_loading);
    let mut places = max_loading.saturating_sub(loading);
    let mut new_places = max_out_of_service.saturating_sub(loading + unanswered);
    let mut orders = Vec::new();
    for engine in outdated.iter().filter(|engine| engine.may_be_ordered(now_ms)) {
        // A further order to an engine that may load anyway takes no other engine out of service.
        let is_new = engine.load_state(now_ms) == LoadState::Idle;
        if places == 0 || (is_new && new_places == 0) {
            continue;
        }
        places -= 1;
        new_places -= usize::from(is_new);
        orders.push(WeightOrder { id: engine.id.clone(), accepted_orders: engine.accepted_orders });
    }
    WeightPlan { orders, outdated: outdated.len(), loading, unanswered }
}
