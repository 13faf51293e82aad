//! The engine's control side: it takes orders to load a weight version, with or without checking fencing numbers.
//!
//! A load replaces the version: while it runs the engine takes no new runs, and runs that have started go on.

use std::{io, sync::Arc, time::Duration};

use bilberryford_endpoint::{ControlReport, WeightOrder};
use bilberryford_types::{Fencing, WeightVersion};
use parking_lot::Mutex;
use poem::{
    handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::Life;
use crate::weight_store::WeightStore;

/// How an engine takes orders.
#[derive(Debug, Clone)]
pub struct ControlSpec {
    /// Whether it refuses an order with an old number.
    pub checks_fencing: bool,
    /// Where it loads from.
    pub weight_store: Arc<WeightStore>,
}

impl Default for ControlSpec {
    fn default() -> Self {
        Self { checks_fencing: true, weight_store: WeightStore::new(1_000) }
    }
}

/// What can be switched on.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlFaults {
    /// That many next orders are answered with 500 and arrive after `late_ms`.
    pub late_orders: u32,
    /// See `late_orders`, in milliseconds.
    pub late_ms: u64,
    /// That many next orders take effect, but their answers are lost.
    pub lose_answers: u32,
    /// Reports are answered that much later, in milliseconds.
    pub slow_reports_ms: u64,
}

/// Orders as they arrived.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ControlStats {
    /// Orders that were taken, in their order.
    pub taken: Vec<WeightOrder>,
    /// Orders refused for their number.
    pub refused: Vec<WeightOrder>,
}

/// Faults and book; they outlive a crash of the engine.
#[derive(Debug, Default)]
pub struct ControlLedger {
    state: Mutex<(ControlStats, ControlFaults)>,
}

impl ControlLedger {
    /// Switches faults.
    pub fn set_faults(&self, faults: ControlFaults) {
        self.state.lock().1 = faults;
    }

    /// The orders so far.
    pub fn stats(&self) -> ControlStats {
        self.state.lock().0.clone()
    }
}

#[derive(Debug)]
struct State {
    served: Vec<WeightVersion>,
    loading: Option<WeightVersion>,
    wished: Option<WeightVersion>,
    fencing: Option<Fencing>,
}

/// The control state of one life of an engine.
#[derive(Debug)]
pub(super) struct Control {
    spec: ControlSpec,
    state: Mutex<State>,
}

impl Control {
    pub(super) fn new(spec: ControlSpec, served: Vec<WeightVersion>) -> Arc<Self> {
        let state = State { served, loading: None, wished: None, fencing: None };
        Arc::new(Self { spec, state: Mutex::new(state) })
    }

    /// Whether new runs are refused because weights are being loaded.
    pub(super) fn is_loading(&self) -> bool {
        self.state.lock().loading.is_some()
    }

    pub(super) fn served(&self) -> Vec<WeightVersion> {
        self.state.lock().served.clone()
    }

    fn report(&self) -> ControlReport {
        let state = self.state.lock();
        ControlReport {
            weight_versions: state.served.clone(),
            loading: state.loading.clone(),
            fencing: state.fencing,
        }
    }

    fn take(self: &Arc<Self>, order: WeightOrder, ledger: &ControlLedger) -> StatusCode {
        let mut state = self.state.lock();
        let is_old = state.fencing.is_some_and(|seen| seen > order.fencing);
        if self.spec.checks_fencing && is_old {
            ledger.state.lock().0.refused.push(order);
            return StatusCode::CONFLICT;
        }
        if self.spec.checks_fencing {
            state.fencing = Some(order.fencing);
        }
        ledger.state.lock().0.taken.push(order.clone());
        state.wished = Some(order.weight_version);
        if state.loading.is_none() {
            self.clone().start(&mut state);
        }
        StatusCode::ACCEPTED
    }

    fn start(self: Arc<Self>, state: &mut State) {
        let Some(wished) = state.wished.clone().filter(|wished| !state.served.contains(wished))
        else {
            return;
        };
        state.loading = Some(wished.clone());
        tokio::spawn(async move {
            let is_loaded = self.spec.weight_store.load().await;
            let mut state = self.state.lock();
            state.loading = None;
            if is_loaded {
                state.served = vec![wished];
            }
            // After a failed load the old version is still there; whoever ordered sees it and orders again.
            if is_loaded {
                self.clone().start(&mut state);
            }
        });
    }
}

#[handler]
pub(super) async fn take_order(
    Data(life): Data<&Arc<Life>>,
    Json(order): Json<WeightOrder>,
) -> poem::Result<StatusCode> {
    let (is_late, is_lost, late_ms) = {
        let faults = &mut life.engine.control.state.lock().1;
        let is_late = take_one(&mut faults.late_orders);
        (is_late, take_one(&mut faults.lose_answers), faults.late_ms)
    };
    if is_late {
        let life = life.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(late_ms)).await;
            life.control.take(order, &life.engine.control);
        });
        return Err(lost());
    }
    let status = life.control.take(order, &life.engine.control);
    if is_lost { Err(lost()) } else { Ok(status) }
}

fn lost() -> poem::Error {
    poem::error::InternalServerError(io::Error::other("the answer is lost"))
}

fn take_one(count: &mut u32) -> bool {
    let rest = count.checked_sub(1);
    *count = rest.unwrap_or(0);
    rest.is_some()
}

#[handler]
pub(super) async fn show_report(Data(life): Data<&Arc<Life>>) -> Json<ControlReport> {
    let report = life.control.report();
    let slow_ms = life.engine.control.state.lock().1.slow_reports_ms;
    sleep(Duration::from_millis(slow_ms)).await;
    Json(report)
}
