//! Determines whether a request begins a stream or goes on with one, and where that may be.

use std::sync::Arc;

use bilberryford_coord::{StreamKey, StreamOrigin};
use bilberryford_types::{Build, ErrorKind, PoolName, TimeMs};

use crate::{
    controllers::{FoundStream, TakeUp, find_stream},
    deployment::{RetryPolicy, Route, Team},
    gateway::Gateway,
    request_log::RequestRecord,
    responses::ErrorResponse,
    translation::CallerFacts,
};

/// A request waits for the answers of peers for its time left divided by this, so that most of it remains for the response.
const INQUIRY_DIVISOR: u64 = 5;
/// The retry delay of a stream of which some peers did not answer, in milliseconds: about the time in which a full link
/// empties.
const UNANSWERED_RETRY_MS: TimeMs = TimeMs(250);

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

/// A request whose part in a stream is to be determined.
#[derive(Clone, Copy)]
pub(crate) struct StreamRequest<'a> {
    pub(crate) facts: &'a CallerFacts,
    pub(crate) route: &'a Route,
    pub(crate) team: Option<&'a Team>,
    pub(crate) deadline_ms: TimeMs,
}

/// Returns the part of the request in a stream, and changes `service` to the one that began the stream.
///
/// # Errors
///
/// The refusal of a stream of which the origin is not known, or is no longer there. The caller can begin again at once, or
/// soon if peers that may know the stream were silent.
pub(crate) async fn take_up(
    gateway: &Arc<Gateway>,
    request: StreamRequest<'_>,
    service: &mut PoolName,
    record: &mut RequestRecord,
) -> Result<StreamPart, ErrorResponse> {
    let StreamRequest { facts, route, team, deadline_ms } = request;
    if route.retry_policy != RetryPolicy::Stream {
        return Ok(StreamPart::None);
    }
    let team = team.map_or("", |team| team.name.as_str());
    let key_of = |id: &str| StreamKey::new(team, id);
    let Some(resumption) = &facts.resumption else {
        let id = facts.request_id.as_deref().filter(|_| route.is_resumable);
        return Ok(id.map_or(StreamPart::None, |id| StreamPart::Beginning(key_of(id))));
    };
    let refuse =
        |record: &mut RequestRecord, note: &'static str, retry_after_ms: Option<TimeMs>| {
            record.notes.push(note);
            gateway.metrics.record_stream(note);
            Err(ErrorResponse { kind: ErrorKind::StreamEnded, retry_after_ms })
        };
    let Some(first_request_id) = &resumption.first_request_id else {
        return refuse(record, "stream_unnamed", None);
    };
    let key = key_of(first_request_id);
    let now_ms = gateway.clock.now();
    let wanted = TakeUp {
        key,
        request: record.request_id.as_deref().unwrap_or_default(),
        team,
        until_ms: now_ms.after(TimeMs(deadline_ms.since(now_ms).get() / INQUIRY_DIVISOR)),
    };
    let origin = match find_stream(gateway, wanted).await {
        FoundStream::Known(origin) => origin,
        FoundStream::Contradictory => return refuse(record, "stream_contradictory", None),
        FoundStream::Denied => return refuse(record, "stream_unknown", None),
        FoundStream::Unanswered => {
            return refuse(record, "stream_unanswered", Some(UNANSWERED_RETRY_MS));
        }
    };
    record.stream_age_ms = gateway.streams.lock().age_ms(&key, gateway.clock.now());
    let Some((home, build)) = gateway.stream_home(origin, route) else {
        return refuse(record, "stream_build_gone", None);
    };
    *service = home;
    Ok(StreamPart::Continuation { key, origin, build })
}
