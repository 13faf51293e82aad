//! Runs a gateway: its listeners, its controllers and its graceful shutdown.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_callers::{response_time, serve_callers};
use bilberryford_types::TimeMs;
use poem::{
    IntoResponse, Route, Server, endpoint::make_sync, get, http::StatusCode, listener::TcpAcceptor,
};
use tokio::{net::TcpListener, time::sleep};

use crate::{
    callers::GatewayResponder, controllers, gateway::Gateway, planned_stop::LONG_REQUESTS_MS,
};

/// How long an instance that shuts down still accepts connections, so that the load balancer's next two checks can see
/// that it is not ready.
const READINESS_DELAY: Duration = Duration::from_millis(2_600);
// A request that may outlast the stop is refused on an open connection, and its caller goes to another instance.
const _: () = assert!(LONG_REQUESTS_MS.get() as u128 <= READINESS_DELAY.as_millis());
/// The part of the grace period that is reserved for exiting the process.
const EXIT_RESERVE: Duration = Duration::from_millis(700);
/// The part of [`EXIT_RESERVE`] that is left once no caller is waited for any more.
const EXIT_TIME: Duration = Duration::from_millis(400);

/// An error that keeps a gateway from starting or stops it.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// A listener could not be bound.
    #[error("{purpose} can't be bound: {source}")]
    Bind {
        /// The purpose of the address.
        purpose: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The server task panicked or was cancelled.
    #[error("the server failed: {0}")]
    Server(#[from] tokio::task::JoinError),
}

async fn bind(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|source| ServeError::Bind { purpose, source })
}

/// Serves until `stop` completes, then drains the requests in progress within the grace period.
///
/// # Errors
///
/// [`ServeError`] if an address can't be bound or the server for callers fails.
pub async fn serve(
    gateway: Arc<Gateway>,
    stop: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let settings = &gateway.settings;
    let callers = bind(settings.listen, "the address for callers").await?;
    let ready = bind(settings.ready_listen, "the address for the balancer").await?;
    let ready = TcpAcceptor::from_tokio(ready)
        .map_err(|source| ServeError::Bind { purpose: "the address for the balancer", source })?;
    let ready_app = ready_routes(&gateway);
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(ready).run(ready_app).await {
            log::error!(error:% = error; "the server for readiness and metrics failed");
        }
    });
    let _controllers = controllers::start(&gateway);
    log::info!(
        target: "life", instance:% = settings.instance, callers:% = settings.listen,
        ready:% = settings.ready_listen;
        "started"
    );
    let responder = Arc::new(GatewayResponder(gateway.clone()));
    let stages = gateway.stop_stages.clone();
    let server = tokio::spawn(serve_callers(responder, callers, stages.clone()));
    stop.await;
    // The grace period of this moment: a reload may have changed it.
    let grace_ms = gateway.bounds().grace_ms;
    let drain_timeout =
        Duration::from_millis(grace_ms.get()).saturating_sub(READINESS_DELAY + EXIT_RESERVE);
    let due_in_ms = TimeMs((READINESS_DELAY + response_time(drain_timeout)).as_millis() as u64);
    gateway.stop(due_in_ms);
    log::info!(
        target: "life", grace_ms = grace_ms.get(), due_in_ms = due_in_ms.get(); "stopping"
    );
    sleep(READINESS_DELAY).await;
    stages.close(drain_timeout);
    server.await?.close(EXIT_RESERVE - EXIT_TIME).await;
    log::info!(target: "life", "stopped");
    Ok(())
}

fn ready_routes(gateway: &Arc<Gateway>) -> Route {
    let (ready_gateway, metrics_gateway) = (gateway.clone(), gateway.clone());
    let ready = make_sync(move |_| {
        let status =
            if ready_gateway.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        status.into_response()
    });
    Route::new()
        .at(gateway.settings.ready_path, get(ready))
        .at("/metrics", get(make_sync(move |_| metrics_gateway.metrics.text())))
}
