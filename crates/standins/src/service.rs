//! A plain service whose orders may not be repeated; it does not look for repeats itself, it only counts them.

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

/// What can be switched on.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call takes that long, in milliseconds.
    pub slow_ms: u64,
    /// Orders run at once and are answered that much later, in milliseconds.
    pub answer_slow_ms: u64,
    /// That many next orders run, but their answers are lost with the whole process.
    pub crash_after_run: u32,
    /// Orders are refused with 503.
    pub refuse: bool,
    /// Calls are refused with 503 and the sign that this instance is shutting down.
    pub draining: bool,
}

/// What really ran.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// How often each order ran, by team and key.
    pub orders: HashMap<String, u32>,
    /// Stock look-ups.
    pub lookups: u64,
}

/// A service's switches and book, which outlive a crash.
#[derive(Debug, Default)]
pub struct Service {
    faults: Mutex<Faults>,
    book: Mutex<Stats>,
}

struct Life {
    service: Arc<Service>,
    exits: CrashHandle,
}

/// What an order answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The order's key.
    pub order: String,
    /// Which run of it this is; anything but 1 is a doubled order.
    pub run: u32,
}

impl Service {
    /// Starts it over HTTP.
    ///
    /// # Errors
    ///
    /// The operating system's error when the address can't be bound.
    pub fn host(self: &Arc<Self>, listen: SocketAddr) -> io::Result<ServerHandle> {
        let service = self.clone();
        host(listen, Duration::from_millis(200), move |exits| routes(service.clone(), exits))
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Whether this order's run ends in a crash.
    fn take_crash(&self) -> bool {
        let mut faults = self.faults.lock();
        let rest = faults.crash_after_run.checked_sub(1);
        faults.crash_after_run = rest.unwrap_or(0);
        rest.is_some()
    }

    /// What really ran.
    pub fn stats(&self) -> Stats {
        self.book.lock().clone()
    }
}

/// The name of an order in the book.
pub fn order_name(team: &str, key: &str) -> String {
    format!("{team}/{key}")
}

fn routes(
    service: Arc<Service>,
    exits: CrashHandle,
) -> poem::endpoint::BoxEndpoint<'static, Response> {
    Route::new()
        .at("/orders", post(order))
        .at("/orders/:key", get(status))
        .at("/stock/:item", get(stock))
        .at("/faults", post(switch_faults))
        .at("/book", get(show_book))
        .data(Arc::new(Life { service, exits }))
        .map_to_response()
        .boxed()
}

fn team(request: &Request) -> &str {
    request.header("bilberryford-team").unwrap_or("none")
}

#[handler]
async fn order(request: &Request, Data(life): Data<&Arc<Life>>) -> Response {
    let faults = life.service.faults.lock().clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if faults.draining {
        return draining();
    }
    let Some(key) = request.header("idempotency-key") else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let run = {
        let mut book = life.service.book.lock();
        let run = book.orders.entry(order_name(team(request), key)).or_default();
        *run += 1;
        *run
    };
    sleep(Duration::from_millis(faults.answer_slow_ms)).await;
    if life.service.take_crash() {
        life.exits.crash();
        std::future::pending::<()>().await;
    }
    Json(Receipt { order: key.to_owned(), run }).into_response()
}

#[handler]
fn status(request: &Request, Data(life): Data<&Arc<Life>>, Path(key): Path<String>) -> Response {
    let run = life.service.book.lock().orders.get(&order_name(team(request), &key)).copied();
    match run {
        Some(run) => Json(Receipt { order: key, run }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

fn draining() -> Response {
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header(STATE_HEADER, DRAINING)
        .finish()
}

#[handler]
async fn stock(Data(life): Data<&Arc<Life>>, Path(item): Path<String>) -> Response {
    let faults = life.service.faults.lock().clone();
    sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.draining {
        return draining();
    }
    life.service.book.lock().lookups += 1;
    format!("{item}: 12\n").into_response()
}

#[handler]
fn switch_faults(Data(life): Data<&Arc<Life>>, Json(faults): Json<Faults>) -> StatusCode {
    life.service.set_faults(faults);
    StatusCode::NO_CONTENT
}

#[handler]
fn show_book(Data(life): Data<&Arc<Life>>) -> Json<Stats> {
    Json(life.service.stats())
}
