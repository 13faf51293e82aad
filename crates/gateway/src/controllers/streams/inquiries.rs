//! Asks the keepers of a stream that a caller takes up here and that this instance does not know.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bilberryford_coord::{InquiryStep, StreamInquiry, StreamKey, StreamKnowledge};
use bilberryford_types::TimeMs;
use tokio::time::timeout;

use super::{log_contradiction, ranked_peers};
use crate::{
    controllers::peers::send_message,
    gateway::Gateway,
    peer_loads::{PeerMessage, StreamAnswer},
};

/// The most inquiries at a time; callers may make up names.
const MAX_INQUIRIES: usize = 256;
/// The most inquiries that are remembered after their end, to log the answers that come late.
const MAX_ENDED: usize = 64;

/// The inquiries of this instance about streams that it does not know.
#[derive(Default)]
pub(crate) struct StreamInquiries {
    /// Those that requests wait for.
    open: HashMap<StreamKey, SharedInquiry>,
    /// The last ones that ended, with the times of their ends.
    ended: VecDeque<(StreamKey, TimeMs)>,
}

/// An inquiry for all requests of this instance that ask for one stream.
struct SharedInquiry {
    inquiry: StreamInquiry<SocketAddr>,
    waiting_requests: usize,
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
        let ended = inquiries.ended.iter().rev().find(|(key, _)| *key == answer.key);
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
    shared.inquiry.record_answer(from);
    let known = gateway.streams.lock().apply(answer.key, answer.knowledge, now_ms);
    drop(inquiries);
    log_contradiction(answer.key, answer.knowledge, known);
    gateway.inquiry_answered.notify_waiters();
}

/// A request's part in an inquiry, which ends with the last request that waits for it.
struct OpenInquiry<'a> {
    gateway: &'a Gateway,
    key: StreamKey,
    request: &'a str,
    began_ms: TimeMs,
    /// How much later than asked for a timer of the inquiry fired, at most.
    timer_lag_ms: TimeMs,
}

impl<'a> OpenInquiry<'a> {
    /// Joins the inquiry about a stream, or begins it with `peers`. Returns none if there are too many.
    fn join(
        gateway: &'a Gateway,
        key: StreamKey,
        request: &'a str,
        peers: impl FnOnce() -> Vec<SocketAddr>,
    ) -> Option<Self> {
        let mut inquiries = gateway.inquiries.lock();
        if inquiries.open.len() >= MAX_INQUIRIES && !inquiries.open.contains_key(&key) {
            log::warn!(
                target: "belief", request = request, stream:% = key, open = MAX_INQUIRIES;
                "no inquiry about a stream: there are too many"
            );
            return None;
        }
        let shared = inquiries.open.entry(key).or_insert_with(|| SharedInquiry {
            inquiry: StreamInquiry::new(peers()),
            waiting_requests: 0,
        });
        shared.waiting_requests += 1;
        let began_ms = gateway.clock.now();
        Some(Self { gateway, key, request, began_ms, timer_lag_ms: TimeMs(0) })
    }

    /// Logs how the inquiry ended for this request.
    fn log_end(&self, knowledge: StreamKnowledge) {
        let now_ms = self.gateway.clock.now();
        let Some(suppressed) = self.gateway.request_log.take_stream_inquiry_record(now_ms) else {
            return;
        };
        let inquiries = self.gateway.inquiries.lock();
        let inquiry = inquiries.open.get(&self.key).map(|shared| &shared.inquiry);
        let silent: Vec<_> = inquiry
            .iter()
            .flat_map(|inquiry| inquiry.silent_peers())
            .map(ToString::to_string)
            .collect();
        let rounds = inquiry.map_or(0, StreamInquiry::rounds);
        drop(inquiries);
        let outcome: &'static str = knowledge.into();
        log::info!(
            target: "belief", request = self.request, stream:% = self.key, outcome = outcome,
            took_ms = now_ms.since(self.began_ms).get(), rounds = rounds,
            silent = silent.join(" ").as_str(), timer_lag_ms = self.timer_lag_ms.get(),
            left_out = suppressed;
            "inquiry about a stream ended"
        );
    }
}

impl Drop for OpenInquiry<'_> {
    fn drop(&mut self) {
        let mut inquiries = self.gateway.inquiries.lock();
        let Some(shared) = inquiries.open.get_mut(&self.key) else { return };
        shared.waiting_requests -= 1;
        if shared.waiting_requests == 0 {
            inquiries.open.remove(&self.key);
            inquiries.ended.truncate(MAX_ENDED - 1);
            inquiries.ended.push_front((self.key, self.gateway.clock.now()));
        }
    }
}

/// Returns what is known of a stream that `request` takes up, after asking its keepers if this instance does not know it.
pub(crate) async fn find_stream(
    gateway: &Gateway,
    key: StreamKey,
    request: &str,
) -> StreamKnowledge {
    let mut open: Option<OpenInquiry<'_>> = None;
    loop {
        let answered = gateway.inquiry_answered.notified();
        let now_ms = gateway.clock.now();
        let knowledge = gateway.streams.lock().knowledge(&key, now_ms);
        if knowledge != StreamKnowledge::Unknown {
            open.inspect(|open| open.log_end(knowledge));
            return knowledge;
        }
        if gateway.unconfirmed_streams.lock().contains(&key) {
            answered.await;
            continue;
        }
        let Some(link) = gateway.peer_link.get() else { return knowledge };
        let open = match &mut open {
            Some(open) => open,
            None => {
                let peers = || {
                    let mut peers = ranked_peers(gateway, &link.addresses, &key);
                    peers.retain(|peer| *peer != gateway.settings.peer_listen);
                    peers
                };
                let Some(joined) = OpenInquiry::join(gateway, key, request, peers) else {
                    return knowledge;
                };
                open.insert(joined)
            }
        };
        let step = {
            let mut inquiries = gateway.inquiries.lock();
            inquiries.open.get_mut(&key).map(|shared| shared.inquiry.step(now_ms))
        };
        match step {
            Some(InquiryStep::Ask(peers)) => {
                send_message(&link.socket, &peers, &PeerMessage::AskStream(key)).await;
            }
            Some(InquiryStep::Wait(until_ms)) => {
                let wait = Duration::from_millis(until_ms.since(now_ms).get());
                // The end of the wait is the end of the round.
                let _ = timeout(wait, answered).await;
                let lag_ms = gateway.clock.now().since(until_ms);
                open.timer_lag_ms = open.timer_lag_ms.max(lag_ms);
            }
            Some(InquiryStep::Exhausted) | None => {
                let knowledge = gateway.streams.lock().knowledge(&key, gateway.clock.now());
                open.log_end(knowledge);
                return knowledge;
            }
        }
    }
}
