//! A plain service whose orders must not run twice. It does not deduplicate orders, but counts how often each one ran.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_endpoint::wire::{DRAINING, STATE_HEADER};
use parking_lot::Mutex;
use poem::{
    EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path},
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::host::{CrashHandle, ServerHandle, host};

/// Faults that can be injected into a service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delay of every call in milliseconds.
    pub slow_ms: u64,
    /// Delay between an order's run and its response, in milliseconds.
    pub answer_slow_ms: u64,
    /// The number of next orders that run and then crash the service before their response.
    pub crash_after_run: u32,
    /// Orders are refused with 503.
    pub refuse: bool,
    /// Calls are refused with 503 and the header that says that this endpoint is shutting down.
    pub draining: bool,
}

/// Counters of what a service executed.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of runs of each order, by [`order_name`].
    pub orders: HashMap<String, u32>,
    /// Stock look-ups.
    pub lookups: u64,
}

/// A service's faults and counters, which survive a crash.
#[derive(Debug, Default)]
pub struct Service {
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
}

struct ServiceProcess {
    service: Arc<Service>,
    crash_handle: CrashHandle,
}

/// The response to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The order's key.
    pub order: String,
    /// The number of this run of the order, from 1; more than 1 is a duplicate.
    pub run: u32,
}

impl Service {
    /// Starts the HTTP server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let service = self.clone();
        host(listen, Duration::from_millis(200), move |crash_handle| {
            routes(service.clone(), crash_handle)
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Uses up one crash after a run; returns false if none is left.
    fn consume_crash(&self) -> bool {
        let mut faults = self.faults.lock();
        let remaining = faults.crash_after_run.checked_sub(1);
        faults.crash_after_run = remaining.unwrap_or(0);
        remaining.is_some()
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> Stats {
        self.stats.lock().clone()
    }
}

/// Returns the name of an order in [`Stats::orders`].
pub fn order_name(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}

fn routes(
    service: Arc<Service>,
    crash_handle: CrashHandle,
) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/orders", post(order))
        .at("/orders/:key", get(status))
        .at("/stock/:item", get(stock))
        .at("/faults", post(replace_faults))
        .at("/book", get(show_stats))
        .data(Arc::new(ServiceProcess { service, crash_handle }))
        .map_to_response()
        .boxed()
}

fn team(request: &Request) -> &str {
    request.header("bilberryford-team").unwrap_or("none")
}

#[handler]
async fn order(request: &Request, Data(process): Data<&Arc<ServiceProcess>>) -> Response {
    let faults = process.service.faults.lock().clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.draining {
        return draining_response();
    }
    let Some(key) = request.header("idempotency-key") else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let run = {
        let mut stats = process.service.stats.lock();
        let run = stats.orders.entry(order_name(team(request), key)).or_default();
        *run += 1;
        *run
    };
    sleep(Duration::from_millis(faults.answer_slow_ms)).await;
    if process.service.consume_crash() {
        process.crash_handle.crash();
        std::future::pending::<()>().await;
    }
    Json(Receipt { order: key.to_owned(), run }).into_response()
}

#[handler]
fn status(
    request: &Request,
    Data(process): Data<&Arc<ServiceProcess>>,
    Path(key): Path<String>,
) -> Response {
    let run = process.service.stats.lock().orders.get(&order_name(team(request), &key)).copied();
    match run {
        Some(run) => Json(Receipt { order: key, run }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn draining_response() -> Response {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(STATE_HEADER, DRAINING)
        .finish()
}

#[handler]
async fn stock(Data(process): Data<&Arc<ServiceProcess>>, Path(item): Path<String>) -> Response {
    let faults = process.service.faults.lock().clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.draining {
        return draining_response();
    }
    process.service.stats.lock().lookups += 1;
    format!("{item}: 12\n").into_response()
}

#[handler]
fn replace_faults(
    Data(process): Data<&Arc<ServiceProcess>>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    process.service.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_stats(Data(process): Data<&Arc<ServiceProcess>>) -> Json<Stats> {
    Json(process.service.stats())
}
