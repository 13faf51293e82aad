//! The life of a gateway: its listeners, its controllers and its end.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bilberryford_types::ErrorKind;
use poem::{
    Endpoint, IntoResponse, Request, Response, Route, Server,
    endpoint::make_sync,
    get,
    http::{HeaderValue, StatusCode, header, uri::Scheme},
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

use crate::{
    answers::OwnAnswer,
    connections::set_liveness,
    controllers,
    filters::{Identified, authorize, identify},
    forward::{Forward, remove_hop_by_hop},
    gateway::Gateway,
    request_log::RequestLine,
};

/// How long bytes to a caller may stay unacknowledged.
const CALLER_UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// How long an instance that stops keeps taking connections, so that the balancer sees twice that it isn't ready.
const LEAVE_DELAY: Duration = Duration::from_millis(2_600);
/// What is left of the grace for ending the process itself.
const END_RESERVE: Duration = Duration::from_millis(700);

/// Why a gateway could not start, or stopped.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// An address could not be bound.
    #[error("{what} can't be bound: {source}")]
    Bind {
        /// Which address.
        what: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// A server failed.
    #[error("the server failed: {0}")]
    Server(#[from] io::Error),
}

/// Takes connections of callers and notices dead ones.
struct CallerAcceptor(TcpAcceptor);

impl Acceptor for CallerAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.0.accept().await?;
        if let Err(error) = set_liveness(&stream, CALLER_UNACKNOWLEDGED_LIMIT) {
            log::debug!(error:% = error; "options of a caller's connection can't be set");
        }
        Ok((stream, local, remote, scheme))
    }
}

/// The endpoint of all callers' requests.
struct Callers(Arc<Gateway>);

impl Endpoint for Callers {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let mut response = serve_request(&self.0, request).await;
        if self.0.is_stopping() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }
}

/// Writes the line of a request whose caller left before its answer.
struct Pending<'a> {
    gateway: &'a Gateway,
    line: Option<RequestLine>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if let Some(line) = self.line.take() {
            let now_ms = self.gateway.clock.now();
            self.gateway.request_log.write(&line, "caller_left", true, now_ms);
            self.gateway.metrics.outcome("caller_left", None);
        }
    }
}

async fn serve_request(gateway: &Arc<Gateway>, request: Request) -> Response {
    let mut line = RequestLine { started_ms: gateway.clock.now(), ..RequestLine::default() };
    line.key_age_ms = gateway.keys.lock().age_ms(line.started_ms);
    let deployment = gateway.deployment.load_full();
    let identified = identify(gateway, deployment.as_deref(), &request, &mut line);
    let mut pending = Pending { gateway, line: Some(line.clone()) };
    let result = match identified {
        Ok(identified) => forward_request(gateway, identified, request, line).await,
        Err(answer) => Err((answer, line)),
    };
    pending.line = None;
    result.unwrap_or_else(|(answer, line)| refuse(gateway, answer, &line))
}

async fn forward_request(
    gateway: &Arc<Gateway>,
    identified: Identified,
    mut request: Request,
    mut line: RequestLine,
) -> Result<Response, (OwnAnswer, RequestLine)> {
    let Identified { facts, route, service, deadline_ms } = identified;
    let team = match authorize(gateway, &facts, &route) {
        Ok(team) => team,
        Err(answer) => return Err((answer, line)),
    };
    line.team = team.as_ref().map(|team| team.name.to_string());
    let limits = gateway.deployment.load().as_ref().map(|deployment| *deployment.limits());
    let max_bytes = limits.unwrap_or_default().max_body_bytes.get() as usize;
    let body = match request.take_body().into_bytes_limit(max_bytes).await {
        Ok(body) => body,
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            return Err((OwnAnswer::new(ErrorKind::TooLarge), line));
        }
        Err(_) => return Err((OwnAnswer::new(ErrorKind::BodyCut), line)),
    };
    let mut headers = request.headers().clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let forward = Forward {
        gateway: gateway.clone(),
        facts,
        route,
        service,
        team,
        deadline_ms,
        method: request.method().clone(),
        uri: request.original_uri().clone(),
        headers,
        body,
        line,
    };
    forward.run().await
}

fn refuse(gateway: &Gateway, answer: OwnAnswer, line: &RequestLine) -> Response {
    let outcome: &'static str = answer.kind.into();
    gateway.request_log.write(line, outcome, true, gateway.clock.now());
    gateway.metrics.outcome(outcome, None);
    answer.into_response(gateway.translation.as_ref(), line.request_id.as_deref())
}

async fn bind(address: SocketAddr, what: &'static str) -> Result<TcpAcceptor, ServeError> {
    let bound = TcpListener::bind(address).await;
    bound
        .and_then(TcpAcceptor::from_tokio)
        .map_err(|source| ServeError::Bind { what, source })
}

/// Serves until `stop` completes, and then until the requests that were read have their answers.
///
/// # Errors
///
/// [`ServeError`] when an address can't be bound or a server fails.
pub async fn serve(gateway: Gateway, stop: impl Future<Output = ()>) -> Result<(), ServeError> {
    let gateway = Arc::new(gateway);
    let settings = &gateway.settings;
    let callers = CallerAcceptor(bind(settings.listen, "the address for callers").await?);
    let ready = bind(settings.ready_listen, "the address for the balancer").await?;
    let ready_app = ready_routes(&gateway);
    tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(ready).run(ready_app).await {
            log::error!(error:% = error; "the server of readiness failed");
        }
    });
    let _controllers = controllers::start(&gateway);
    log::info!(
        target: "life", instance:% = settings.instance, callers:% = settings.listen,
        ready:% = settings.ready_listen;
        "started"
    );
    let (leave, mut left) = watch::channel(false);
    let app = Callers(gateway.clone());
    let grace = Duration::from_millis(settings.bounds.grace_ms.get());
    let limit = grace.saturating_sub(LEAVE_DELAY + END_RESERVE);
    let server = tokio::spawn(async move {
        let signal = async move {
            // A closed channel means that the process ends; the server ends with it.
            let _ = left.wait_for(|is_left| *is_left).await;
        };
        Server::new_with_acceptor(callers)
            .run_with_graceful_shutdown(app, signal, Some(limit))
            .await
    });
    stop.await;
    gateway.stop();
    log::info!(target: "life", "stopping");
    sleep(LEAVE_DELAY).await;
    leave.send_replace(true);
    let ended = server.await;
    log::info!(target: "life", "stopped");
    ended.map_err(io::Error::other)??;
    Ok(())
}

fn ready_routes(gateway: &Arc<Gateway>) -> Route {
    let (asked, measured) = (gateway.clone(), gateway.clone());
    let ready = make_sync(move |_| {
        let status =
            if asked.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        status.into_response()
    });
    Route::new()
        .at(gateway.settings.ready_path, get(ready))
        .at("/metrics", get(make_sync(move |_| measured.metrics.text())))
}
