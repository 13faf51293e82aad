//! Determines whether a request begins a stream or goes on with one, and where that may be.

use bilberryford_coord::{StreamKey, StreamKnowledge, StreamOrigin};
use bilberryford_types::{Build, ErrorKind, PoolName};

use crate::{
    controllers::find_stream,
    deployment::{RetryPolicy, Route, Team},
    gateway::Gateway,
    request_log::RequestRecord,
    responses::ErrorResponse,
    translation::CallerFacts,
};

/// The part of a request in a stream of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamPart {
    /// Its response is no stream that may go on elsewhere.
    None,
    /// Its response begins a stream.
    Beginning(StreamKey),
    /// Its response goes on with a stream that an endpoint of `build` began.
    Continuation { key: StreamKey, origin: StreamOrigin, build: Build },
}

impl StreamPart {
    /// The build that has to serve the request; none if any may.
    pub(crate) fn required_build(&self) -> Option<&Build> {
        match self {
            Self::Continuation { build, .. } => Some(build),
            Self::None | Self::Beginning(_) => None,
        }
    }
}

/// Returns the part of the request in a stream, and changes `service` to the one that began the stream.
///
/// # Errors
///
/// The refusal of a stream of which the origin is not known, or is no longer there. The caller can begin again at once.
pub(crate) async fn take_up(
    gateway: &Gateway,
    facts: &CallerFacts,
    route: &Route,
    team: Option<&Team>,
    service: &mut PoolName,
    record: &mut RequestRecord,
) -> Result<StreamPart, ErrorResponse> {
    if route.retry_policy != RetryPolicy::Stream {
        return Ok(StreamPart::None);
    }
    let key_of = |id: &str| StreamKey::new(team.map_or("", |team| team.name.as_str()), id);
    let Some(resumption) = &facts.resumption else {
        let id = facts.request_id.as_deref().filter(|_| route.is_resumable);
        return Ok(id.map_or(StreamPart::None, |id| StreamPart::Beginning(key_of(id))));
    };
    let refuse = |record: &mut RequestRecord, note: &'static str| {
        record.notes.push(note);
        gateway.metrics.record_stream(note);
        Err(ErrorResponse::new(ErrorKind::StreamEnded))
    };
    let Some(first_request_id) = &resumption.first_request_id else {
        return refuse(record, "stream_unnamed");
    };
    let key = key_of(first_request_id);
    let origin =
        match find_stream(gateway, key, record.request_id.as_deref().unwrap_or_default()).await {
            StreamKnowledge::Known(origin) => origin,
            StreamKnowledge::Unknown => return refuse(record, "stream_unknown"),
            StreamKnowledge::Contradictory => return refuse(record, "stream_contradictory"),
        };
    record.stream_age_ms = gateway.streams.lock().age_ms(&key, gateway.clock.now());
    let Some((home, build)) = gateway.stream_home(origin, route) else {
        return refuse(record, "stream_build_gone");
    };
    *service = home;
    Ok(StreamPart::Continuation { key, origin, build })
}
