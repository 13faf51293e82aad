//! Asks the keepers of a stream that a caller takes up here and that this instance does not know.
//!
//! Load pattern: the connections of nearly all instances are reset at once. Dozens of callers take their streams up elsewhere
//! while the links between the instances are full, so that answers come late or not at all.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bilberryford_coord::{
    InquiryStep, OpenInquiry, StreamInquiry, StreamKey, StreamKnowledge, StreamOrigin,
    displaced_inquiry,
};
use bilberryford_types::TimeMs;
use tokio::time::timeout;

use super::{log_contradiction, ranked_peers};
use crate::{
    controllers::peers::send_message,
    gateway::Gateway,
    peer_loads::{PeerMessage, StreamAnswer},
};

/// The most inquiries at a time. Callers may make up names, so that the team with the most inquiries ends its own for new
/// ones.
const MAX_INQUIRIES: usize = 256;
/// The most inquiries that are remembered after their end, to log the answers that come late.
const MAX_ENDED: usize = 64;

/// The inquiries of this instance about streams that it does not know.
#[derive(Default)]
pub(crate) struct StreamInquiries {
    /// Those that requests wait for.
    open: HashMap<StreamKey, SharedInquiry>,
    /// The last ones that ended, with the times of their ends, the latest first.
    ended: VecDeque<(StreamKey, TimeMs)>,
}

impl StreamInquiries {
    /// Records that `peer` denied a stream.
    pub(super) fn record_denial(&mut self, key: &StreamKey, peer: SocketAddr) {
        if let Some(shared) = self.open.get_mut(key) {
            shared.inquiry.record_denial(peer);
        }
    }

    /// Ends an inquiry to have room for a new one.
    fn make_room(&mut self) {
        let open = self.open.iter().map(|(key, shared)| OpenInquiry {
            key: *key,
            team: &shared.team,
            began_ms: shared.began_ms,
        });
        if let Some(key) = displaced_inquiry(&open.collect::<Vec<_>>()) {
            self.open.remove(&key);
        }
    }
}

/// An inquiry for all requests of this instance that ask for one stream.
struct SharedInquiry {
    inquiry: StreamInquiry<SocketAddr>,
    team: String,
    began_ms: TimeMs,
    waiting_requests: usize,
}

/// A request that takes up a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TakeUp<'a> {
    pub(crate) key: StreamKey,
    /// The request's id, for the log.
    pub(crate) request: &'a str,
    /// The team that sends it; empty if it has none.
    pub(crate) team: &'a str,
    /// Until when the request can wait for answers.
    pub(crate) until_ms: TimeMs,
}

/// What an instance found out about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum FoundStream {
    /// It began at this origin.
    Known(StreamOrigin),
    /// Two origins were reported.
    Contradictory,
    /// All peers that were asked denied it.
    Denied,
    /// Some of the peers that may know it did not answer in time.
    Unanswered,
}

impl FoundStream {
    /// None if nothing is known.
    fn of_knowledge(knowledge: StreamKnowledge) -> Option<Self> {
        match knowledge {
            StreamKnowledge::Unknown => None,
            StreamKnowledge::Known(origin) => Some(Self::Known(origin)),
            StreamKnowledge::Contradictory => Some(Self::Contradictory),
        }
    }
}

/// Applies the answer to a question of this instance.
pub(in crate::controllers) fn apply_answer(
    gateway: &Gateway,
    from: SocketAddr,
    answer: &StreamAnswer,
) {
    let now_ms = gateway.clock.now();
    let mut inquiries = gateway.inquiries.lock();
    let Some(shared) = inquiries.open.get_mut(&answer.key) else {
        let ended = inquiries.ended.iter().find(|(key, _)| *key == answer.key);
        if let Some((key, ended_ms)) = ended
            && let Some(suppressed) = gateway.request_log.take_stream_question_record(now_ms)
        {
            let reply: &'static str = answer.knowledge.into();
            log::info!(
                target: "belief", stream:% = key, from:% = from, reply = reply,
                late_ms = now_ms.since(*ended_ms).get(), left_out = suppressed;
                "answer about a stream came after its inquiry"
            );
        }
        return;
    };
    if answer.knowledge == StreamKnowledge::Unknown {
        shared.inquiry.record_denial(from);
    }
    let known = gateway.streams.lock().apply(answer.key, answer.knowledge, now_ms);
    drop(inquiries);
    log_contradiction(answer.key, answer.knowledge, known);
    gateway.inquiry_answered.notify_waiters();
}

/// A request's part in an inquiry, which ends with the last request that waits for it.
struct WaitingRequest<'a> {
    gateway: &'a Gateway,
    take_up: TakeUp<'a>,
    began_ms: TimeMs,
    /// How much later than asked for a timer of the inquiry fired, at most.
    timer_lag_ms: TimeMs,
}

impl<'a> WaitingRequest<'a> {
    /// Joins the inquiry about a stream, or begins it with `peers`.
    fn join(
        gateway: &'a Gateway,
        take_up: TakeUp<'a>,
        peers: impl FnOnce() -> Vec<SocketAddr>,
    ) -> Self {
        let began_ms = gateway.clock.now();
        let mut inquiries = gateway.inquiries.lock();
        if inquiries.open.len() >= MAX_INQUIRIES && !inquiries.open.contains_key(&take_up.key) {
            inquiries.make_room();
            // The requests that wait for the inquiry that has ended learn of that.
            gateway.inquiry_answered.notify_waiters();
        }
        let shared = inquiries.open.entry(take_up.key).or_insert_with(|| SharedInquiry {
            inquiry: StreamInquiry::new(peers()),
            team: take_up.team.to_owned(),
            began_ms,
            waiting_requests: 0,
        });
        shared.waiting_requests += 1;
        Self { gateway, take_up, began_ms, timer_lag_ms: TimeMs(0) }
    }

    /// Logs how the inquiry ended for this request.
    fn log_end(&self, found: FoundStream) {
        let now_ms = self.gateway.clock.now();
        let Some(suppressed) = self.gateway.request_log.take_stream_inquiry_record(now_ms) else {
            return;
        };
        let inquiries = self.gateway.inquiries.lock();
        let inquiry = inquiries.open.get(&self.take_up.key).map(|shared| &shared.inquiry);
        let silent: Vec<_> = inquiry
            .iter()
            .flat_map(|inquiry| inquiry.silent_peers())
            .map(ToString::to_string)
            .collect();
        let rounds = inquiry.map_or(0, StreamInquiry::rounds);
        drop(inquiries);
        let outcome: &'static str = found.into();
        log::info!(
            target: "belief", request = self.take_up.request, stream:% = self.take_up.key,
            outcome = outcome, took_ms = now_ms.since(self.began_ms).get(),
            limit_ms = self.take_up.until_ms.since(self.began_ms).get(), rounds = rounds,
            silent = silent.join(" ").as_str(), timer_lag_ms = self.timer_lag_ms.get(),
            left_out = suppressed;
            "inquiry about a stream ended"
        );
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let key = self.take_up.key;
        let mut inquiries = self.gateway.inquiries.lock();
        let Some(shared) = inquiries.open.get_mut(&key) else { return };
        shared.waiting_requests = shared.waiting_requests.saturating_sub(1);
        if shared.waiting_requests == 0 {
            inquiries.open.remove(&key);
            inquiries.ended.truncate(MAX_ENDED - 1);
            inquiries.ended.push_front((key, self.gateway.clock.now()));
        }
    }
}

/// Returns what is known of a stream, after asking its keepers if this instance does not know it.
///
/// The answer comes as soon as one of them knows the stream or all have denied it. While some are silent, they are asked again
/// until the request can't wait longer. If one knows a stream whose endpoint has not confirmed its build, this instance asks
/// the endpoint as well.
pub(crate) async fn find_stream(gateway: &Arc<Gateway>, take_up: TakeUp<'_>) -> FoundStream {
    let TakeUp { key, until_ms, .. } = take_up;
    let mut waiting: Option<WaitingRequest<'_>> = None;
    loop {
        let answered = gateway.inquiry_answered.notified();
        let now_ms = gateway.clock.now();
        let knowledge = gateway.streams.lock().knowledge(&key, now_ms);
        if let Some(found) = FoundStream::of_knowledge(knowledge) {
            waiting.inspect(|waiting| waiting.log_end(found));
            return found;
        }
        let unconfirmed = gateway.unconfirmed_streams.lock().get(&key, now_ms);
        if let Some(origin) = unconfirmed {
            gateway.confirm_stream(key, origin);
        }
        let Some(link) = gateway.peer_link.get() else { return FoundStream::Unanswered };
        let waiting = waiting.get_or_insert_with(|| {
            WaitingRequest::join(gateway, take_up, || {
                let mut peers = ranked_peers(gateway, &link.addresses, &key);
                peers.retain(|peer| *peer != gateway.settings.peer_listen);
                peers
            })
        });
        let step = {
            let mut inquiries = gateway.inquiries.lock();
            let shared = inquiries.open.get_mut(&key);
            // An inquiry that is gone was displaced by one of another stream.
            shared.map_or(InquiryStep::Unanswered, |shared| shared.inquiry.step(now_ms, until_ms))
        };
        let wait_until_ms = match step {
            InquiryStep::Ask(peers) => {
                send_message(&link.socket, &peers, &PeerMessage::AskStream(key)).await;
                continue;
            }
            InquiryStep::Wait(until_ms) => until_ms,
            // The endpoint may still confirm what the others don't know.
            InquiryStep::Denied if unconfirmed.is_some() && now_ms < until_ms => until_ms,
            InquiryStep::Denied | InquiryStep::Unanswered => {
                let is_denied = step == InquiryStep::Denied && unconfirmed.is_none();
                let found = if is_denied { FoundStream::Denied } else { FoundStream::Unanswered };
                waiting.log_end(found);
                return found;
            }
        };
        let wait = Duration::from_millis(wait_until_ms.since(now_ms).get());
        // The end of the wait is the end of the round.
        let _ = timeout(wait, answered).await;
        let lag_ms = gateway.clock.now().since(wait_until_ms);
        waiting.timer_lag_ms = waiting.timer_lag_ms.max(lag_ms);
    }
}
