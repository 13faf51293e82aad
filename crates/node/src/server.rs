//! The HTTP server, and the start and shutdown of an instance.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_callers::{
    Caller, ConnectionEnd, ConnectionLimits, LingeringConnections, RequestEnd, Respond, StopStages,
    response_time, serve_callers,
};
use bilberryford_peer::{PeerRuntime, PeerTraffic};
use bilberryford_types::{ErrorKind, EventKind, HybridTime};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use poem::{
    Body, EndpointExt, Request, Response, Route,
    endpoint::make,
    error::ReadBodyError,
    get, handler,
    http::{HeaderMap, HeaderValue, StatusCode, header, uri::Scheme},
    web::{Data, LocalAddr, RemoteAddr},
};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout},
};

use crate::{
    api::ResponseFormat,
    controllers,
    filters::{self, Context, Target},
    node::{Node, SetupError},
    peering::Handler,
    refusal::Refusal,
    settings::NodeSettings,
    shutdown,
};

/// The most headers that a request may have.
const MAX_HEADERS: usize = 64;
/// The largest total size of a request's header names and values, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// The longest idle time of a connection, the headers of its next request included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(75);
/// The most bytes of a request that are held before its headers are complete: room for headers that are refused by name.
const MAX_BUFFER_BYTES: usize = 4 * MAX_HEADER_BYTES;
/// The size of a body whose length is not known in advance, for the room that it takes.
const UNKNOWN_BODY_BYTES: u64 = 64 * 1024;
/// The time limit for receiving a request's body, in milliseconds.
const BODY_TIMEOUT_MS: u64 = 10_000;

/// Why an instance could not start or stopped early.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The shared state could not be set up.
    #[error("the instance can't be set up: {0}")]
    Setup(String),
    /// An address could not be bound.
    #[error("{address} can't be bound: {source}")]
    Bind {
        /// The purpose of the address.
        address: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The server task panicked or was cancelled.
    #[error("the server failed: {0}")]
    Server(#[from] tokio::task::JoinError),
}

impl From<SetupError> for ServeError {
    fn from(error: SetupError) -> Self {
        Self::Setup(error.to_string())
    }
}

/// A started instance.
pub struct RunningInstance {
    node: Arc<Node>,
    address: SocketAddr,
    peers: PeerRuntime,
    controllers: JoinSet<()>,
    stop: StopStages,
    server: JoinHandle<LingeringConnections>,
}

/// Responds to callers through the routes.
struct RouteResponder<E> {
    node: Arc<Node>,
    routes: E,
    stop: StopStages,
    address: SocketAddr,
}

impl<E: poem::Endpoint<Output = Response> + 'static> Respond for RouteResponder<E> {
    type Body = BoxBody<Bytes, io::Error>;

    fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits { header_timeout: HEADER_TIMEOUT, max_header_bytes: MAX_BUFFER_BYTES }
    }

    async fn respond(
        &self,
        request: hyper::Request<Incoming>,
        caller: Caller,
    ) -> hyper::Response<Self::Body> {
        if caller.is_end_announced {
            let refusal = Refusal::of(ErrorKind::ShuttingDown).into_response();
            return shutdown::close_when_leaving(&self.node, refusal).into();
        }
        let (local, remote) = (LocalAddr(self.address.into()), RemoteAddr(caller.from.into()));
        let request = Request::from((request, local, remote, Scheme::HTTP));
        let response = tokio::select! {
            biased;
            response = self.routes.get_response(request) => response,
            () = self.stop.ending.cancelled() => {
                let refusal = Refusal::of(ErrorKind::StoppedWhileRunning);
                shutdown::close_when_leaving(&self.node, refusal.into_response())
            }
        };
        response.into()
    }

    fn record_end(&self, end: &ConnectionEnd) {
        self.node.metrics.count_connection_end(end);
    }
}

/// Starts an instance: binds its addresses, then starts the peer thread, the controllers and the HTTP server.
///
/// # Errors
///
/// [`ServeError::Bind`] when an address can't be bound, [`ServeError::Setup`] when a client can't be made.
pub async fn start(settings: NodeSettings) -> Result<RunningInstance, ServeError> {
    let node = Arc::new(Node::new(settings)?);
    let bind_error = |source| ServeError::Bind { address: "the address for callers", source };
    let listener = TcpListener::bind(node.settings.listen).await.map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let peer_error = |source| ServeError::Bind { address: "the address for peers", source };
    let peer_listener =
        std::net::TcpListener::bind(node.settings.peer_listen).map_err(peer_error)?;
    let peer_address = peer_listener.local_addr().map_err(peer_error)?;
    let handler = Handler { node: Arc::downgrade(&node), address: peer_address };
    let peers = PeerRuntime::start(peer_listener, Arc::new(handler)).map_err(peer_error)?;
    node.set_peers(peers.client());
    let controllers = controllers::start(&node, peer_address);
    let stop = StopStages::default();
    let responder = RouteResponder {
        node: node.clone(),
        routes: routes(node.clone()),
        stop: stop.clone(),
        address,
    };
    let server = tokio::spawn(serve_callers(Arc::new(responder), listener, stop.clone()));
    node.events.write(EventKind::Started, |event| {
        event.detail = format!("http {address}, peers {peer_address}")
    });
    Ok(RunningInstance { node, address, peers, controllers, stop, server })
}

impl RunningInstance {
    /// The address that callers connect to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that peers connect to.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// The traffic exchanged with peers so far.
    pub fn peer_traffic(&self) -> PeerTraffic {
        self.peers.client().traffic()
    }

    /// Stops without interrupting a request: the instance first reports not ready, then refuses new connections, then
    /// waits for the requests in flight.
    ///
    /// # Errors
    ///
    /// [`ServeError::Server`] when the server failed.
    pub async fn shut_down(self) -> Result<(), ServeError> {
        let Self { node, stop, server, controllers, peers, .. } = self;
        node.events.write(EventKind::Stopping, |_| {});
        node.mark_leaving();
        let drain_delay = sleep(Duration::from_millis(node.settings.drain_delay.get()));
        tokio::join!(shutdown::notify_peers(&node, peers.address()), drain_delay);
        let limit = Duration::from_millis(node.settings.drain_limit.get());
        let closing_at = Instant::now();
        node.set_stop_due((closing_at + response_time(limit)).into_std());
        stop.close(limit);
        let result = server.await;
        shutdown::wait_for_requests(&node, closing_at + limit).await;
        node.orders.wait_drained().await;
        shutdown::wait_for_lease_release(&node).await;
        drop(controllers);
        // Callers that close late hold up no lease, and the exit no longer than leases may.
        let result = match result {
            Ok(connections) => {
                connections.close(shutdown::LEASE_RELEASE_TIMEOUT).await;
                Ok(())
            }
            Err(error) => Err(error),
        };
        node.events.write(EventKind::Stopped, |event| {
            event.detail = format!("{} in flight", node.in_flight())
        });
        tokio::task::spawn_blocking(move || drop(peers)).await.ok();
        result?;
        Ok(())
    }
}

fn routes(node: Arc<Node>) -> impl poem::Endpoint<Output = Response> {
    Route::new()
        .at("/healthz", get(make(|_| async { "ok\n" })))
        .at("/readyz", get(readyz))
        .at("/metrics", get(metrics))
        .at("/events", get(events))
        .at("/v1/chat/completions", poem::post(chat_completions))
        .at("/v1/completions", poem::post(completions))
        .at("/v1/runs/:run", get(resume_run))
        .at("/services/:service/*path", call_service)
        .data(node.clone())
        .map_to_response()
        .catch_all_error(|error: poem::Error| async move { not_found(error.status()) })
        .map(move |response| std::future::ready(shutdown::close_when_leaving(&node, response)))
}

fn not_found(status: StatusCode) -> Response {
    let mut response = Refusal::of(ErrorKind::NotFound).into_response();
    response.set_status(status);
    response
}

#[handler]
fn readyz(Data(node): Data<&Arc<Node>>) -> Response {
    let (status, text) = match node.in_force() {
        Some(_) if node.is_leaving() => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned()),
        Some(_) if !node.is_ready() => (StatusCode::SERVICE_UNAVAILABLE, "starting\n".to_owned()),
        None => (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n".to_owned()),
        Some(in_force) => {
            let endpoints = node.fleet.endpoints().len();
            (StatusCode::OK, format!("generation {} endpoints {endpoints}\n", in_force.generation))
        }
    };
    Response::builder().status(status).body(text)
}

#[handler]
fn metrics(Data(node): Data<&Arc<Node>>) -> String {
    node.metrics_text()
}

#[handler]
fn events(request: &Request, Data(node): Data<&Arc<Node>>) -> Response {
    let after = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("after_ms="))
        .and_then(|after| after.parse().ok())
        .unwrap_or(0);
    let lines = node.events.json_lines(HybridTime { wall_ms: after, counter: 0 });
    Response::builder().content_type("application/x-ndjson").body(lines)
}

#[handler]
async fn chat_completions(request: &Request, body: Body, Data(node): Data<&Arc<Node>>) -> Response {
    handle_request(node, Target::Prompt(ResponseFormat::Chat), request, body).await
}

#[handler]
async fn completions(request: &Request, body: Body, Data(node): Data<&Arc<Node>>) -> Response {
    handle_request(node, Target::Prompt(ResponseFormat::Text), request, body).await
}

#[handler]
async fn resume_run(request: &Request, body: Body, Data(node): Data<&Arc<Node>>) -> Response {
    match request.raw_path_param("run").and_then(|run| run.parse().ok()) {
        Some(run) => handle_request(node, Target::Run { run }, request, body).await,
        None => Refusal::of(ErrorKind::UnknownRun).into_response(),
    }
}

#[handler]
async fn call_service(request: &Request, body: Body, Data(node): Data<&Arc<Node>>) -> Response {
    let Some(service) = request.raw_path_param("service").and_then(|service| service.parse().ok())
    else {
        return Refusal::of(ErrorKind::NotFound).into_response();
    };
    let path = request.raw_path_param("path").unwrap_or_default();
    let path = match request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    handle_request(node, Target::Service { service, path }, request, body).await
}

/// Enforces the size limits of a request and runs its filter chain.
async fn handle_request(
    node: &Arc<Node>,
    target: Target,
    request: &Request,
    body: Body,
) -> Response {
    let max_bytes = node.settings.max_body_bytes as u64;
    let reservation = node.body_room.reserve(expected_bytes(request.headers()).min(max_bytes));
    let result = match (check_headers(request.headers()), &reservation) {
        (Ok(()), Some(_)) => read_body(node, request, body).await,
        (Ok(()), None) => Err(ErrorKind::Overloaded),
        (Err(kind), _) => Err(kind),
    };
    match result {
        Ok(body) => {
            let ctx = Context::new(
                node,
                target,
                request.method().clone(),
                request.headers().clone(),
                body,
            );
            filters::handle(node, ctx).await
        }
        Err(kind) => {
            node.metrics.count_refusal(kind);
            let mut response = Refusal::of(kind).into_response();
            // The rest of the request is unread, so the connection can't be reused.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    }
}

/// The bytes of the body that the headers announce.
fn expected_bytes(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    length.and_then(|length| length.parse().ok()).unwrap_or(UNKNOWN_BODY_BYTES)
}

fn check_headers(headers: &HeaderMap) -> Result<(), ErrorKind> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if headers.len() > MAX_HEADERS || bytes > MAX_HEADER_BYTES {
        return Err(ErrorKind::HeadersTooLarge);
    }
    Ok(())
}

async fn read_body(node: &Node, request: &Request, body: Body) -> Result<Bytes, ErrorKind> {
    let limit = Duration::from_millis(BODY_TIMEOUT_MS);
    match timeout(limit, body.into_bytes_limit(node.settings.max_body_bytes)).await {
        Ok(Ok(body)) => {
            RequestEnd::mark_reached(request.extensions());
            Ok(body)
        }
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(ErrorKind::TooLarge),
        Ok(Err(_)) | Err(_) => Err(ErrorKind::BodyCut),
    }
}
