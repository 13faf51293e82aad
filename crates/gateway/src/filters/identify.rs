//! Determines the id, deadline, route and service of a request.

use std::sync::Arc;

use bilberryford_types::{ErrorKind, PoolName, TimeMs};
use hyper::{Request, body::Incoming, header};

use super::authorize::not_ready;
use crate::{
    deployment::{Deployment, Route},
    gateway::Gateway,
    request_log::RequestRecord,
    responses::ErrorResponse,
    translation::CallerFacts,
};

/// The timeout of a request that sets none, in milliseconds. The route's timeout applies as well.
const DEFAULT_TIMEOUT_MS: TimeMs = TimeMs(60_000);

/// A request with its route.
pub(crate) struct RoutedRequest {
    pub(crate) facts: CallerFacts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: PoolName,
    pub(crate) deadline_ms: TimeMs,
}

/// Identifies a request under the configuration in force.
///
/// # Errors
///
/// The response to a request with malformed headers or without a route or service, and to any request while the
/// instance is not ready.
pub(crate) fn identify(
    gateway: &Gateway,
    deployment: Option<&Deployment>,
    request: &Request<Incoming>,
    record: &mut RequestRecord,
) -> Result<RoutedRequest, ErrorResponse> {
    let facts = gateway.translation.read_request(request.headers()).map_err(|error| {
        log::debug!(error:% = error; "request headers are malformed");
        ErrorResponse::new(ErrorKind::BadDeadline)
    })?;
    record.request_id.clone_from(&facts.request_id);
    let resumption = facts.resumption.as_ref();
    record.resumes = resumption.map(|taken| taken.first_request_id.clone().unwrap_or_default());
    let Some(deployment) = deployment else {
        return Err(ErrorResponse::new(ErrorKind::NotReady));
    };
    record.config_version = Some(deployment.version());
    let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let Some(route) = deployment.route(host, request.uri().path()) else {
        // An outdated configuration can't prove that a route does not exist.
        return Err(if gateway.proves_absence() {
            ErrorResponse::new(ErrorKind::NotFound)
        } else {
            not_ready(gateway)
        });
    };
    record.route = Some(route.name.clone());
    record.timeout_ms = Some(route.timeout_ms);
    let Some(service) = route.service(rand::random()) else {
        return Err(ErrorResponse::new(ErrorKind::NoEndpoint));
    };
    let wait_ms = facts.time_left_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(route.timeout_ms);
    Ok(RoutedRequest {
        route: route.clone(),
        service: service.clone(),
        deadline_ms: record.started_ms.after(wait_ms),
        facts,
    })
}
