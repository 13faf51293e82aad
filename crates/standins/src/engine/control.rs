//! The engine's control interface: orders to load a weight version, with or without a check of fencing numbers.
//!
//! A load replaces the served version. While it is in progress the engine refuses new runs; started runs continue.

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

use super::EngineProcess;
use crate::weight_store::WeightStore;

/// An engine's handling of weight orders.
#[derive(Debug, Clone)]
pub struct ControlSpec {
    /// True if orders with a stale fencing number are refused.
    pub checks_fencing: bool,
    /// The store that weights are loaded from.
    pub weight_store: Arc<WeightStore>,
}

impl Default for ControlSpec {
    fn default() -> Self {
        Self { checks_fencing: true, weight_store: WeightStore::new(1_000) }
    }
}

/// Faults that can be injected into the control interface.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlFaults {
    /// The number of next orders that get status 500 and take effect after `late_ms`.
    pub late_orders: u32,
    /// Delay of late orders in milliseconds; see `late_orders`.
    pub late_ms: u64,
    /// The number of next orders that take effect but whose responses are lost.
    pub lose_answers: u32,
    /// Delay of reports in milliseconds.
    pub slow_reports_ms: u64,
}

/// The weight orders that an engine received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ControlStats {
    /// Accepted orders, in the order of arrival.
    pub taken: Vec<WeightOrder>,
    /// Orders refused for a stale fencing number.
    pub refused: Vec<WeightOrder>,
}

/// Injected faults and received orders; both survive a crash of the engine.
#[derive(Debug, Default)]
pub struct ControlLedger {
    state: Mutex<(ControlStats, ControlFaults)>,
}

impl ControlLedger {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ControlFaults) {
        self.state.lock().1 = faults;
    }

    /// Returns the orders received so far.
    pub fn stats(&self) -> ControlStats {
        self.state.lock().0.clone()
    }
}

#[derive(Debug)]
struct State {
    served: Vec<WeightVersion>,
    loading: Option<WeightVersion>,
    desired: Option<WeightVersion>,
    fencing: Option<Fencing>,
}

/// The control state of one incarnation of an engine.
#[derive(Debug)]
pub(super) struct Control {
    spec: ControlSpec,
    state: Mutex<State>,
}

impl Control {
    pub(super) fn new(spec: ControlSpec, served: Vec<WeightVersion>) -> Arc<Self> {
        let state = State { served, loading: None, desired: None, fencing: None };
        Arc::new(Self { spec, state: Mutex::new(state) })
    }

    /// Returns true while weights are being loaded, when new runs are refused.
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

    fn accept_order(self: &Arc<Self>, order: WeightOrder, ledger: &ControlLedger) -> StatusCode {
        let mut state = self.state.lock();
        let is_stale = state.fencing.is_some_and(|last| last > order.fencing);
        if self.spec.checks_fencing && is_stale {
            ledger.state.lock().0.refused.push(order);
            return StatusCode::CONFLICT;
        }
        if self.spec.checks_fencing {
            state.fencing = Some(order.fencing);
        }
        ledger.state.lock().0.taken.push(order.clone());
        state.desired = Some(order.weight_version);
        if state.loading.is_none() {
            self.clone().start(&mut state);
        }
        StatusCode::ACCEPTED
    }

    fn start(self: Arc<Self>, state: &mut State) {
        let Some(desired) = state.desired.clone().filter(|desired| !state.served.contains(desired))
        else {
            return;
        };
        state.loading = Some(desired.clone());
        tokio::spawn(async move {
            let is_loaded = self.spec.weight_store.load().await;
            let mut state = self.state.lock();
            state.loading = None;
            if is_loaded {
                state.served = vec![desired];
            }
            // After a failed load the old version stays in service; the sender of the order sees it in the report and
            // retries.
            if is_loaded {
                self.clone().start(&mut state);
            }
        });
    }
}

#[handler]
pub(super) async fn receive_order(
    Data(process): Data<&Arc<EngineProcess>>,
    Json(order): Json<WeightOrder>,
) -> poem::Result<StatusCode> {
    let (is_late, is_response_lost, late_ms) = {
        let faults = &mut process.engine.control.state.lock().1;
        let is_late = consume_one(&mut faults.late_orders);
        (is_late, consume_one(&mut faults.lose_answers), faults.late_ms)
    };
    if is_late {
        let process = process.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(late_ms)).await;
            process.control.accept_order(order, &process.engine.control);
        });
        return Err(response_lost());
    }
    let status = process.control.accept_order(order, &process.engine.control);
    if is_response_lost { Err(response_lost()) } else { Ok(status) }
}

fn response_lost() -> poem::Error {
    poem::error::InternalServerError(io::Error::other("the answer is lost"))
}

fn consume_one(count: &mut u32) -> bool {
    let remaining = count.checked_sub(1);
    *count = remaining.unwrap_or(0);
    remaining.is_some()
}

#[handler]
pub(super) async fn show_report(Data(process): Data<&Arc<EngineProcess>>) -> Json<ControlReport> {
    let report = process.control.report();
    let slow_ms = process.engine.control.state.lock().1.slow_reports_ms;
    sleep(Duration::from_millis(slow_ms)).await;
    Json(report)
}
