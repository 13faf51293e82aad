//! Responds to callers' requests: the filter chain, and the error responses of the gateway itself.

use std::{sync::Arc, time::Duration};

use bilberryford_callers::{
    Caller, ConnectionEnd, ConnectionLimits, ReadBodyError, RequestEnd, RequestLabel, Respond,
    discard_body, read_body,
};
use bilberryford_coord::Feature;
use bilberryford_types::{ErrorKind, TimeMs};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{self, HeaderValue},
};
use tokio::time::timeout;

use crate::{
    features::{RequestFeatures, ResponseStage},
    filters::{RoutedRequest, StreamRequest, authorize, identify, take_up},
    forward::{Forward, remove_hop_by_hop},
    gateway::Gateway,
    part_sharing::PartSharing,
    request_log::RequestRecord,
    response_end::{ResponseEnd, ResponseEndReason},
    responses::{ErrorResponse, ResponseBody},
};

/// The retry delay of a body that found no room, in milliseconds: uploads on slow links take seconds.
const BODY_RETRY_MS: TimeMs = TimeMs(1_000);

/// The time limit for the body of a request that is refused while the instance stops.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Responds to the requests of callers through the filter chain.
pub(crate) struct GatewayResponder(pub(crate) Arc<Gateway>);

impl Respond for GatewayResponder {
    type Body = ResponseBody;

    fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.0.limits();
        // hyper counts the idle time before the first byte of a request as part of the time for its headers.
        let header_timeout_ms = limits.idle_timeout_ms.after(limits.header_timeout_ms);
        ConnectionLimits {
            header_timeout: Duration::from_millis(header_timeout_ms.get()),
            max_header_bytes: limits.max_header_bytes.get() as usize,
        }
    }

    async fn limits_changed(&self, limits: ConnectionLimits) {
        loop {
            // Made before the comparison, so that no change is missed.
            let changed = self.0.limits_on_callers_changed.notified();
            if self.connection_limits() != limits {
                return;
            }
            changed.await;
        }
    }

    async fn respond(&self, request: Request<Incoming>, caller: Caller) -> Response<ResponseBody> {
        serve_request(&self.0, request, caller).await
    }

    fn record_end(&self, end: &ConnectionEnd) {
        self.0.metrics.record_connection_end(end);
    }
}

/// Writes the log record of a request whose caller disconnects before the response.
struct AbortRecorder<'a> {
    gateway: &'a Gateway,
    record: Option<RequestRecord>,
}

impl Drop for AbortRecorder<'_> {
    fn drop(&mut self) {
        if let Some(mut record) = self.record.take() {
            let attempt = record.last_attempt.lock().take();
            record.endpoint = attempt.as_ref().map(|attempt| attempt.endpoint.clone());
            let has_head = attempt.as_ref().is_some_and(|attempt| attempt.has_head);
            let end = ResponseEnd {
                reason: ResponseEndReason::of_drop(self.gateway),
                stage: if has_head { ResponseStage::Head } else { ResponseStage::NoHead },
                incarnation: attempt.map(|attempt| attempt.incarnation),
                status: None,
                content_bytes: 0,
                error: "",
            };
            end.record(self.gateway, &record);
            let now_ms = self.gateway.clock.now();
            self.gateway.request_log.write(&record, "caller_left", true, now_ms);
            self.gateway.metrics.record_outcome("caller_left", None);
        }
    }
}

async fn serve_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    caller: Caller,
) -> Response<ResponseBody> {
    let mut record = RequestRecord { started_ms: gateway.clock.now(), ..RequestRecord::default() };
    record.key_age_ms = gateway.keys.lock().age_ms(record.started_ms);
    let deployment = gateway.deployment.load_full();
    let routed = identify(gateway, deployment.as_deref(), &request, &mut record);
    if let Some(id) = &record.request_id {
        RequestLabel::set(request.extensions(), id);
    }
    let mut abort_recorder = AbortRecorder { gateway, record: Some(record.clone()) };
    let result = match routed {
        Ok(routed) if caller.is_end_announced || gateway.stops_before(routed.deadline_ms) => {
            discard_refused(gateway, request).await;
            Err((ErrorResponse::new(ErrorKind::ShuttingDown), record))
        }
        Ok(routed) => {
            let interrupted = record.clone();
            tokio::select! {
                biased;
                result = forward_request(gateway, routed, request, record) => result,
                () = gateway.stop_stages.ending.cancelled() => {
                    Err((ErrorResponse::new(ErrorKind::StoppedWhileRunning), interrupted))
                }
            }
        }
        Err(error) => Err((error, record)),
    };
    abort_recorder.record = None;
    let mut response =
        result.unwrap_or_else(|(error, record)| respond_with_error(gateway, error, &record));
    if gateway.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Reads the body of a request that is refused, if it comes soon.
async fn discard_refused(gateway: &Gateway, request: Request<Incoming>) {
    let max_bytes = gateway.limits().max_body_bytes.get();
    let (head, body) = request.into_parts();
    let reading = timeout(REFUSED_BODY_TIMEOUT, discard_body(body, max_bytes));
    if reading.await.is_ok_and(|is_read| is_read) {
        RequestEnd::mark_reached(&head.extensions);
    }
}

async fn forward_request(
    gateway: &Arc<Gateway>,
    routed: RoutedRequest,
    request: Request<Incoming>,
    mut record: RequestRecord,
) -> Result<Response<ResponseBody>, (ErrorResponse, RequestRecord)> {
    let RoutedRequest { facts, route, mut service, deadline_ms } = routed;
    let team = match authorize(gateway, &facts, &route) {
        Ok(team) => team,
        Err(error) => return Err((error, record)),
    };
    record.team = team.as_ref().map(|team| team.name.to_string());
    let max_bytes = gateway.limits().max_body_bytes.get();
    let (head, body) = request.into_parts();
    let body_timeout = Duration::from_millis(deadline_ms.since(gateway.clock.now()).get());
    let reading = read_body(&gateway.body_room, body, max_bytes);
    let (body, reservation) = match timeout(body_timeout, reading).await {
        Ok(Ok(read)) => read,
        Ok(Err(ReadBodyError::TooLong { .. })) => {
            return Err((ErrorResponse::new(ErrorKind::TooLarge), record));
        }
        Ok(Err(ReadBodyError::NoRoom { .. })) => {
            record.notes.push("no_room_for_body");
            let error = ErrorResponse::with_retry_after(ErrorKind::Overloaded, BODY_RETRY_MS);
            return Err((error, record));
        }
        Ok(Err(ReadBodyError::Cut(_))) => {
            return Err((ErrorResponse::new(ErrorKind::BodyCut), record));
        }
        Err(_) => return Err((ErrorResponse::new(ErrorKind::BodySlow), record)),
    };
    RequestEnd::mark_reached(&head.extensions);
    if gateway.stops_before(deadline_ms) {
        return Err((ErrorResponse::new(ErrorKind::ShuttingDown), record));
    }
    let stream_request =
        StreamRequest { facts: &facts, route: &route, team: team.as_deref(), deadline_ms };
    let stream = match take_up(gateway, stream_request, &mut service, &mut record).await {
        Ok(stream) => stream,
        Err(error) => return Err((error, record)),
    };
    let mut headers = head.headers;
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let caller = record.team.as_deref().unwrap_or_default();
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let fingerprint = Feature::of_request(caller, head.method.as_str(), target, &body);
    let features = Arc::new(RequestFeatures::new(fingerprint, &facts));
    let forward = Forward {
        gateway: gateway.clone(),
        facts,
        route,
        service,
        team,
        stream,
        last_event_id: None,
        allowed_regions: None,
        sharing: PartSharing::default(),
        deadline_ms,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        _reservation: Arc::new(reservation),
        features,
        record,
    };
    forward.run().await
}

fn respond_with_error(
    gateway: &Gateway,
    error: ErrorResponse,
    record: &RequestRecord,
) -> Response<ResponseBody> {
    let outcome: &'static str = error.kind.into();
    gateway.request_log.write(record, outcome, true, gateway.clock.now());
    gateway.metrics.record_outcome(outcome, None);
    error.into_response(gateway.translation.as_ref(), record.request_id.as_deref())
}
