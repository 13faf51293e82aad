//! Reports to other instances where streams began, and answers their questions.

mod inquiries;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::{
    StreamKeeper, StreamKey, StreamKnowledge, StreamOrigin, UnconfirmedOrigin, live_first,
    ranked_keepers,
};
use tokio::{net::UdpSocket, time::sleep};

pub(super) use self::inquiries::apply_answer;
pub(crate) use self::inquiries::{FoundStream, StreamInquiries, TakeUp, find_stream};
use super::peers::{PeerAddresses, encode_message, send_message};
use crate::{
    gateway::Gateway,
    peer_loads::{EndpointTag, PeerMessage, StreamAnswer, StreamReport, UnconfirmedReport},
};

/// The instances that keep the record of a stream, beside the one that passes it on: it outlives the loss of a third of a
/// fleet at once for 98 streams in 100.
const KEEPERS: usize = 4;
/// The delay of the second report of a stream.
const REPEAT_DELAY: Duration = Duration::from_millis(60);

/// The peers in the order in which they keep the record of a stream, those that are live first.
///
/// The position of this instance counts, since all instances have to agree on the order, but it needs no message.
fn ranked_peers(gateway: &Gateway, addresses: &PeerAddresses, key: &StreamKey) -> Vec<SocketAddr> {
    let now_ms = gateway.clock.now();
    let local = gateway.settings.instance.as_str();
    let is_newcomer = gateway.fleet_is_unknown();
    let listed = addresses.lock();
    let members: Vec<_> = listed.iter().collect();
    let keepers: Vec<_> = members
        .iter()
        .map(|(name, peer)| StreamKeeper {
            name: name.as_str(),
            data_centre: peer.data_centre.as_ref().map(|data_centre| data_centre.as_str()),
        })
        .collect();
    let peers = gateway.peers.lock();
    let is_live = |index: usize| {
        let name = keepers[index].name;
        name == local || peers.is_live(name, now_ms)
    };
    let ranked = live_first(ranked_keepers(&keepers, key), is_newcomer, is_live);
    ranked.into_iter().map(|index| members[index].1.address).collect()
}

/// Records that a stream began at `origin`, or goes on there, and reports it to its keepers.
///
/// The messages are handed to the socket before this returns, so that no event leaves before the report of its stream.
pub(crate) fn report_stream(gateway: &Arc<Gateway>, key: StreamKey, origin: StreamOrigin) {
    let now_ms = gateway.clock.now();
    gateway.streams.lock().record(key, origin, now_ms);
    gateway.unconfirmed_streams.lock().remove(&key);
    tell_keepers(gateway, key, PeerMessage::StreamBegan(StreamReport { key, origin }));
}

/// Records that a stream began at an endpoint that has not confirmed its build, and reports it to its keepers.
///
/// Any of them can ask the endpoint later, so that the stream goes on though this instance dies meanwhile.
pub(crate) fn report_unconfirmed_stream(
    gateway: &Arc<Gateway>,
    key: StreamKey,
    origin: UnconfirmedOrigin<EndpointTag>,
) {
    let now_ms = gateway.clock.now();
    gateway.unconfirmed_streams.lock().insert(key, origin, now_ms);
    tell_keepers(gateway, key, PeerMessage::StreamUnconfirmed(UnconfirmedReport { key, origin }));
}

/// Sends a report to the keepers of a stream, and once more a little later: the queue of a full link loses all messages of a
/// moment.
fn tell_keepers(gateway: &Arc<Gateway>, key: StreamKey, message: PeerMessage) {
    send_to_keepers(gateway, key, &message);
    let gateway = gateway.clone();
    tokio::spawn(async move {
        sleep(REPEAT_DELAY).await;
        send_to_keepers(&gateway, key, &message);
    });
}

fn send_to_keepers(gateway: &Gateway, key: StreamKey, message: &PeerMessage) {
    let Some(link) = gateway.peer_link.get() else { return };
    let Some(bytes) = encode_message(message) else { return };
    let own_address = gateway.settings.peer_listen;
    for peer in ranked_peers(gateway, &link.addresses, &key).into_iter().take(KEEPERS) {
        if peer == own_address {
            continue;
        }
        // A peer without the report answers that it does not know the stream; the others may.
        if let Err(error) = link.socket.try_send_to(&bytes, peer) {
            log::debug!(peer:% = peer, error:% = error; "can't report a stream to a peer");
        }
    }
}

/// Applies a peer's report of where a stream began.
pub(super) fn apply_report(gateway: &Gateway, report: &StreamReport) {
    let now_ms = gateway.clock.now();
    let known = gateway.streams.lock().record(report.key, report.origin, now_ms);
    gateway.unconfirmed_streams.lock().remove(&report.key);
    gateway.inquiry_answered.notify_waiters();
    log_contradiction(report.key, StreamKnowledge::Known(report.origin), known);
}

/// Applies a peer's report of a stream whose endpoint has not confirmed its build, or its answer about one.
///
/// An answer that names an origin which this instance knows to be refuted counts as a denial.
pub(super) fn apply_unconfirmed(gateway: &Gateway, from: SocketAddr, report: &UnconfirmedReport) {
    let now_ms = gateway.clock.now();
    if gateway.streams.lock().knowledge(&report.key, now_ms) != StreamKnowledge::Unknown {
        return;
    }
    let mut streams = gateway.unconfirmed_streams.lock();
    streams.insert(report.key, report.origin, now_ms);
    let is_refuted = streams.is_refuted(&report.key, now_ms);
    drop(streams);
    if is_refuted {
        gateway.inquiries.lock().record_denial(&report.key, from);
    }
    gateway.inquiry_answered.notify_waiters();
}

/// Logs that `reported` makes what is `known` of a stream contradictory.
fn log_contradiction(key: StreamKey, reported: StreamKnowledge, known: StreamKnowledge) {
    if known != StreamKnowledge::Contradictory {
        return;
    }
    let origin = match reported {
        StreamKnowledge::Known(origin) => origin.to_string(),
        StreamKnowledge::Contradictory | StreamKnowledge::Unknown => String::new(),
    };
    log::warn!(
        target: "belief", stream:% = key, origin = origin.as_str();
        "stream is said to have begun at two builds; it is refused"
    );
}

/// Answers the question where a stream began.
pub(super) async fn answer(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    key: StreamKey,
) {
    let now_ms = gateway.clock.now();
    let knowledge = gateway.streams.lock().knowledge(&key, now_ms);
    let unconfirmed = match knowledge {
        StreamKnowledge::Unknown => gateway.unconfirmed_streams.lock().get(&key, now_ms),
        StreamKnowledge::Known(_) | StreamKnowledge::Contradictory => None,
    };
    if let Some(suppressed) = gateway.request_log.take_stream_question_record(now_ms) {
        let reply = unconfirmed.map_or(knowledge.into(), |_| "unconfirmed");
        log::info!(
            target: "belief", stream:% = key, from:% = from, reply = reply, left_out = suppressed;
            "peer asks for a stream"
        );
    }
    let answer = match unconfirmed {
        Some(origin) => PeerMessage::StreamUnconfirmed(UnconfirmedReport { key, origin }),
        None => PeerMessage::Stream(StreamAnswer { key, knowledge }),
    };
    send_message(socket, &[from], &answer).await;
}
