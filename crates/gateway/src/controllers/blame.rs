//! Reports what endpoints' crashes are blamed on to the other instances, and learns it from them after a start.

mod keeping;

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use bilberryford_coord::{BlameAgenda, BlameReports, QuarantineReport};
use bilberryford_types::TimeMs;
use rand::seq::IndexedRandom;
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep, timeout},
};

pub(super) use self::keeping::run as keep;
use super::peers::{PeerAddresses, peer_addresses, send_message};
use crate::{
    gateway::Gateway,
    peer_loads::{BlameMessage, BlameOccasion, EndpointTag, PeerMessage, report_interval_ms},
};

/// The most reports in one message, so that it fits into one datagram.
const MAX_REPORTS_PER_MESSAGE: usize = 48;
/// The most quarantines in one message, at up to 105 bytes each.
const MAX_QUARANTINES_PER_MESSAGE: usize = 12;
/// The most quarantines in the answer to an instance that has just started; it learns of further ones as they are repeated.
const MAX_QUARANTINES_IN_ANSWER: usize = 96;
/// The shortest interval between two messages, so that many crashes at once cause few messages.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which evidence is weighed while any is open.
const WEIGH_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which known evidence may be due to be repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The peers that an instance which has just started asks in each round.
const ASKED_PEERS: usize = 6;
/// The interval of these rounds: several round trips within a region.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the list of peers is looked for before it has come.
const PEERS_INTERVAL: Duration = Duration::from_millis(20);
/// The peers that have just started as well after whose answers nobody is expected to know anything: the whole fleet starts.
const UNINFORMED_ANSWERS: usize = 3;
/// The longest time for which a starting instance waits for an answer.
const MAX_LEARNING_TIME: Duration = Duration::from_millis(600);

fn message(
    gateway: &Gateway,
    reports: BlameReports<EndpointTag>,
    occasion: BlameOccasion,
) -> PeerMessage {
    PeerMessage::Blame(BlameMessage { process_number: gateway.process_number, occasion, reports })
}

/// Applies a peer's reports.
pub(super) fn apply(gateway: &Gateway, message: &BlameMessage) {
    gateway.change_blame(|blame, now_ms| {
        blame.apply_reports(message.process_number, &message.reports, now_ms)
    });
    match message.occasion {
        BlameOccasion::News => {}
        BlameOccasion::InformedAnswer => finish_learning(gateway, "peer"),
        BlameOccasion::UninformedAnswer => {
            gateway.uninformed_peers.lock().insert(message.process_number);
            finish_learning_together(gateway);
        }
    }
}

/// Ends the wait of an instance whose peers have started as well, once the store has said what it keeps.
fn finish_learning_together(gateway: &Gateway) {
    let answers = gateway.uninformed_peers.lock().len();
    let all = gateway.listed_peers.lock().unwrap_or(usize::MAX);
    if answers > 0
        && answers >= UNINFORMED_ANSWERS.min(all)
        && gateway.has_read_quarantines.load(Ordering::Relaxed)
    {
        finish_learning(gateway, "started_together");
    }
}

/// Answers the question of an instance that has just started. The last message ends its wait.
pub(super) async fn answer(gateway: &Gateway, socket: &UdpSocket, from: SocketAddr) {
    let now_ms = gateway.clock.now();
    let quarantines = gateway.blame.lock().quarantines(MAX_QUARANTINES_IN_ANSWER, now_ms);
    let mut parts: Vec<_> =
        quarantines.chunks(MAX_QUARANTINES_PER_MESSAGE).map(<[_]>::to_vec).collect();
    let last = parts.pop().unwrap_or_default();
    for part in parts {
        send_message(
            socket,
            &[from],
            &message(gateway, quarantines_only(part), BlameOccasion::News),
        )
        .await;
    }
    let occasion = match gateway.has_learned_blame() {
        true => BlameOccasion::InformedAnswer,
        false => BlameOccasion::UninformedAnswer,
    };
    let answer = message(gateway, quarantines_only(last), occasion);
    send_message(socket, &[from], &answer).await;
}

fn quarantines_only(quarantines: Vec<QuarantineReport<EndpointTag>>) -> BlameReports<EndpointTag> {
    BlameReports { quarantines, ..BlameReports::default() }
}

fn finish_learning(gateway: &Gateway, source: &'static str) {
    if !gateway.has_learned_blame.swap(true, Ordering::Relaxed) {
        let quarantined = gateway.blame.lock().quarantined(gateway.clock.now()).count();
        log::info!(
            target: "belief", source = source, quarantined = quarantined;
            "quarantined features learned"
        );
    }
}

/// Asks peers what is blamed until one of them answers that knows it itself, or several that have just started as well. What
/// the store keeps is awaited only where no peer knows.
pub(super) async fn learn(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let mut waiting_since: Option<Instant> = None;
    while !gateway.has_learned_blame() {
        let peers = peer_addresses(gateway, addresses);
        let is_alone = peers.is_empty()
            && gateway.listed_peers.lock().is_some()
            && gateway.has_read_quarantines.load(Ordering::Relaxed);
        let has_waited = waiting_since.is_some_and(|since| since.elapsed() >= MAX_LEARNING_TIME);
        if is_alone || has_waited {
            return finish_learning(gateway, if is_alone { "no_peers" } else { "no_answer" });
        }
        // Without the list of peers, the instance serves once it has had the configuration for as long.
        if !peers.is_empty() || gateway.deployment.load().is_some() {
            waiting_since.get_or_insert_with(Instant::now);
        }
        if peers.is_empty() {
            sleep(PEERS_INTERVAL).await;
            continue;
        }
        let asked: Vec<_> = peers.sample(&mut rand::rng(), ASKED_PEERS).copied().collect();
        send_message(socket, &asked, &PeerMessage::AskBlame).await;
        sleep(ASK_INTERVAL).await;
    }
    gateway.uninformed_peers.lock().clear();
}

/// Reports changes at once, and repeats them at the interval of the load reports while there is anything to repeat.
pub(super) async fn report(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let mut reported_ms = TimeMs(0);
    loop {
        let changed = gateway.blame_changed.notified();
        let agenda = gateway.blame.lock().agenda(gateway.clock.now());
        let interval_ms = report_interval_ms(peer_addresses(gateway, addresses).len());
        let wait = match agenda {
            BlameAgenda::Weigh => WEIGH_INTERVAL,
            BlameAgenda::Report => Duration::from_millis(interval_ms.get()),
            BlameAgenda::Repeat => REPEAT_INTERVAL,
            BlameAgenda::Nothing => Duration::MAX,
        };
        // Either the interval ends or there is something new.
        let _ = timeout(wait, changed).await;
        gateway.change_blame(|blame, now_ms| {
            blame.set_report_interval(interval_ms);
            blame.tick(now_ms)
        });
        let now_ms = gateway.clock.now();
        let has_news = gateway.blame.lock().take_news();
        // Answers wait for their turn, since a few instances' answers suffice to clear what many served.
        if has_news || now_ms.since(reported_ms) >= interval_ms {
            reported_ms = now_ms;
            let reports = gateway.blame.lock().take_reports(
                MAX_REPORTS_PER_MESSAGE,
                |feature| gateway.rank_for(feature),
                now_ms,
            );
            if !reports.is_empty() {
                // The wait may have lasted since before the peers were listed.
                let peers = peer_addresses(gateway, addresses);
                send_message(socket, &peers, &message(gateway, reports, BlameOccasion::News)).await;
            }
        }
        sleep(MIN_REPORT_INTERVAL).await;
    }
}
