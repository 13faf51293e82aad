//! Callers' connections: accepted, served one request at a time, and closed without losing a request.
//!
//! The accept loop stands directly on the HTTP library's server. The framework's own loop polls a connection once more
//! after an answer's body failed, which ends the chunked framing as if the answer were whole (seen in a run, see
//! `docs/design/platform.md`); here a failed body ends the connection.

use std::{convert::Infallible, sync::Arc, time::Duration};

use bilberryford_types::ErrorKind;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    answers::{AnswerBody, OwnAnswer},
    connections::set_liveness,
    filters::{Identified, authorize, identify},
    forward::{Forward, remove_hop_by_hop},
    gateway::Gateway,
    quarantine::Fingerprint,
    request_log::RequestLine,
};

/// How long bytes to a caller may stay unacknowledged.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(5);
/// The pause after a failed accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The least buffer of a connection, in bytes: the HTTP library takes no less.
const LEAST_BUFFER: usize = 8 * 1024;

/// Takes connections until `leave` is cancelled, and then waits up to `limit` for the requests that were read.
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    leave: CancellationToken,
    limit: Duration,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(gateway.clone(), stream, leave.clone()));
                }
                Err(error) => {
                    log::warn!(error:% = error; "a connection can't be accepted");
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
            _ = leave.cancelled() => break,
        }
    }
    drop(listener);
    let all_ended = async { while connections.join_next().await.is_some() {} };
    if timeout(limit, all_ended).await.is_err() {
        log::warn!(target: "life", left = connections.len(); "connections cut at the end");
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, leave: CancellationToken) {
    if let Err(error) = set_liveness(&stream, UNACKNOWLEDGED_LIMIT) {
        log::debug!(error:% = error; "options of a caller's connection can't be set");
    }
    let limits = gateway.limits();
    // The library counts the idle time before a request's first byte as time for its headers.
    let head_limit_ms = limits.idle_timeout_ms.after(limits.header_timeout_ms);
    let max_header_bytes = limits.max_header_bytes.get() as usize;
    let service = service_fn(|request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(serve_request(&gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(head_limit_ms.get()))
        .max_buf_size(max_header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = leave.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "a caller's connection ended");
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

async fn serve_request(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Response<AnswerBody> {
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
    let mut response = result.unwrap_or_else(|(answer, line)| refuse(gateway, answer, &line));
    if gateway.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn forward_request(
    gateway: &Arc<Gateway>,
    identified: Identified,
    request: Request<Incoming>,
    mut line: RequestLine,
) -> Result<Response<AnswerBody>, (OwnAnswer, RequestLine)> {
    let Identified { facts, route, service, deadline_ms } = identified;
    let team = match authorize(gateway, &facts, &route) {
        Ok(team) => team,
        Err(answer) => return Err((answer, line)),
    };
    line.team = team.as_ref().map(|team| team.name.to_string());
    let max_bytes = gateway.limits().max_body_bytes.get() as usize;
    let (head, body) = request.into_parts();
    let left = Duration::from_millis(deadline_ms.since(gateway.clock.now()).get());
    let body = match timeout(left, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err((OwnAnswer::new(ErrorKind::TooLarge), line));
        }
        Ok(Err(_)) => return Err((OwnAnswer::new(ErrorKind::BodyCut), line)),
        Err(_) => return Err((OwnAnswer::new(ErrorKind::BodySlow), line)),
    };
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let caller = line.team.as_deref().unwrap_or_default();
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let fingerprint = Fingerprint::new(caller, head.method.as_str(), target, &body);
    let forward = Forward {
        gateway: gateway.clone(),
        facts,
        route,
        service,
        team,
        deadline_ms,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        fingerprint,
        line,
    };
    forward.run().await
}

fn refuse(gateway: &Gateway, answer: OwnAnswer, line: &RequestLine) -> Response<AnswerBody> {
    let outcome: &'static str = answer.kind.into();
    gateway.request_log.write(line, outcome, true, gateway.clock.now());
    gateway.metrics.outcome(outcome, None);
    answer.into_response(gateway.translation.as_ref(), line.request_id.as_deref())
}
