//! Goes on with a stream at another endpoint after its endpoint broke it off.
//!
//! Load pattern: an endpoint with dozens of streams crashes in the middle of them. Each goes on after its last complete
//! event, within the attempts of its route and the budget of retries, at an endpoint of the build that began it; the caller
//! sees a pause.

use bilberryford_coord::{StreamKey, StreamKnowledge};
use bilberryford_types::TimeMs;
use futures::{FutureExt, future::BoxFuture};

use super::{Forward, Progress};
use crate::{
    event_stream::is_event_stream, filters::StreamPart, gateway::ANSWER_AGE_MS,
    responses::ResponseBody,
};

/// What it takes to go on with a stream.
pub(crate) struct StreamContinuation {
    key: StreamKey,
    forward: Forward,
    progress: Progress,
}

impl StreamContinuation {
    /// Returns none if the response is no part of a stream that may go on.
    pub(super) fn new(forward: &Forward, progress: &Progress) -> Option<Self> {
        let key = match &forward.stream {
            StreamPart::Beginning(key) | StreamPart::Continuation { key, .. } => *key,
            StreamPart::None => return None,
        };
        Some(Self { key, forward: forward.clone(), progress: progress.clone() })
    }

    /// Makes further attempts after the event `last_event_id`, which the caller has. Returns the rest of the stream, or none
    /// if there is none to be had.
    ///
    /// A stream that broke off soon after its first content may have crashed its endpoint, and is left to its caller.
    pub(crate) fn go_on(
        self,
        last_event_id: String,
        content_age_ms: Option<TimeMs>,
    ) -> BoxFuture<'static, Option<ResponseBody>> {
        async move {
            let Self { key, mut forward, progress } = self;
            let gateway = forward.gateway.clone();
            let began_ms = gateway.clock.now();
            if content_age_ms.is_none_or(|age_ms| age_ms < ANSWER_AGE_MS) {
                return None;
            }
            let knowledge = gateway.streams.lock().knowledge(&key, began_ms);
            let StreamKnowledge::Known(origin) = knowledge else { return None };
            let (home, build) = gateway.stream_home(origin, &forward.route)?;
            if home != forward.service {
                return None;
            }
            forward.stream = StreamPart::Continuation { key, origin, build };
            forward.last_event_id = Some(last_event_id.clone());
            forward.record.notes.push("went_on");
            let (request, from) = (forward.record.request_id.clone(), forward.record.endpoint.clone());
            let outcome = forward.run_after(progress).await;
            let pause_ms = gateway.clock.now().since(began_ms).get();
            let (body, reason) = match outcome {
                Ok(response) if !response.status().is_success() => (None, "endpoint_error"),
                Ok(response) if !is_event_stream(response.headers()) => (None, "no_stream"),
                Ok(response) => (Some(response.into_body()), ""),
                Err((error, _)) => (None, error.kind.into()),
            };
            gateway.metrics.record_stream(if body.is_some() { "went_on" } else { "broken_off" });
            log::info!(
                target: "belief", request = request.as_deref().unwrap_or_default(),
                from = from.as_ref().map_or("", |id| id.as_str()), origin:% = origin,
                after_event = last_event_id.as_str(), pause_ms = pause_ms, reason = reason;
                "{}", if body.is_some() { "stream goes on at another endpoint" } else { "stream can't go on" }
            );
            body
        }
        .boxed()
    }
}
