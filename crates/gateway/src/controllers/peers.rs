//! Finds the other instances in the store, and exchanges loads with them over UDP.
//!
//! An instance writes its address once, at its start. Messages are small, sent without waiting for an answer, and the
//! pause between them grows with the number of peers, so that an instance's share of them stays bounded.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_platform::{Change, Object, ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{ObjectName, TimeMs};
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use super::follow::{Pauses, Sink};
use crate::{
    cache_index::{HolderLoad, HolderView, holder_at},
    gateway::Gateway,
    peer_loads::{
        EndpointLoad, EndpointTag, EngineParts, LoadMessage, MAX_REPORTED_ENDPOINTS, PeerMessage,
        RankTokens, StorePartsMessage,
    },
    quarantine::Fingerprint,
};

/// The pause between messages to few peers, in milliseconds: short against the wait in a queue.
const TELL_EVERY_MS: u64 = 100;
/// How many peers an instance tells of its load at that pace.
const PEERS_AT_PACE: u64 = 10;
/// The largest message, in bytes: one datagram without fragments.
const MAX_MESSAGE_BYTES: usize = 1_400;
/// The largest load in a message, in bytes: the message's kind goes before it.
const MAX_LOAD_BYTES: usize = MAX_MESSAGE_BYTES - 8;

/// The least pause between messages on engines' parts, in milliseconds: about as long as a part is read.
const TELL_ENGINES_EVERY_MS: TimeMs = TimeMs(300);
/// The most changes of engines' parts in one message, at nine bytes each.
const MAX_PARTS_TOLD: usize = 120;
/// The most such messages in one round; an engine that is followed anew has much to tell.
const MAX_ENGINE_MESSAGES: usize = 4;
/// The most crashes that one message tells of, so that it fits into one datagram.
const MAX_CRASHES_TOLD: usize = 80;

/// The rank under which transfers are told: links know none.
const TRANSFER_RANK: u8 = 0;

/// What the store keeps of an instance.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct InstanceBody {
    peer_address: SocketAddr,
}

/// The addresses of peers, as the store lists them.
pub(super) type PeerAddresses = Arc<Mutex<HashMap<ObjectName, SocketAddr>>>;

pub(super) struct PeerSink(pub(super) PeerAddresses);

impl PeerSink {
    fn take(&self, name: &ObjectName, body: &[u8]) {
        match serde_json::from_slice::<InstanceBody>(body) {
            Ok(body) => {
                self.0.lock().insert(name.clone(), body.peer_address);
            }
            Err(error) => log::warn!(peer:% = name, error:% = error; "peer left out"),
        }
    }
}

impl Sink for PeerSink {
    const KIND: ObjectKind = ObjectKind::Instance;
    const WAIT_MS: TimeMs = TimeMs(25_000);
    const PAUSE_AFTER_CHANGES: Duration = Duration::from_millis(2_000);

    fn listed(&self, _gateway: &Gateway, objects: Vec<Object>, _started_ms: TimeMs) {
        self.0.lock().clear();
        for object in objects {
            self.take(&object.name, &object.body);
        }
    }

    fn changed(&self, _gateway: &Gateway, change: Change) {
        match change.body {
            Some(body) => self.take(&change.name, &body),
            None => {
                self.0.lock().remove(&change.name);
            }
        }
    }
}

/// Writes this instance's address to the store, again until it is taken.
pub(super) async fn register(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let Ok(name) = settings.instance.as_str().parse() else { return };
    let key = ObjectKey::new(ObjectKind::Instance, name);
    let body = InstanceBody { peer_address: settings.peer_listen };
    let Ok(body) = serde_json::to_vec(&body).map(Bytes::from) else { return };
    let mut precondition = Precondition::Absent;
    let mut pauses = Pauses::default();
    loop {
        gateway.metrics.store_calls.add(1, &[]);
        match gateway.store.put(&key, precondition, body.clone()).await {
            Ok(_) => return,
            Err(PlatformError::Conflict { current }) => {
                precondition = Precondition::Version(current);
                pauses.after_failure().await;
            }
            Err(error) => {
                log::debug!(error:% = error; "instance not written to the store");
                pauses.after_failure().await;
            }
        }
    }
}

/// Tells peers of this instance's load, and hears theirs.
pub(super) async fn exchange(gateway: Arc<Gateway>, addresses: PeerAddresses) {
    let socket = match UdpSocket::bind(gateway.settings.peer_listen).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!(error:% = error; "the address for peers can't be bound; loads are not shared");
            return;
        }
    };
    tokio::join!(
        hear(&gateway, &socket),
        tell(&gateway, &socket, &addresses),
        tell_parts(&gateway, &socket, &addresses),
    );
}

/// What a peer passes on of a store; an instance that follows the store itself knows it already.
fn hear_parts(gateway: &Gateway, message: StorePartsMessage) {
    let now_ms = gateway.clock.now();
    let mut holders = gateway.holders.lock();
    let holder = holder_at(&mut holders, message.holder);
    if let Some(holder) = holder.filter(|holder| !holder.is_subscribed()) {
        holder.apply_peer_changes(message.since, message.changes, now_ms);
    }
}

fn hear_engines(gateway: &Gateway, engines: &[EngineParts]) {
    let now_ms = gateway.clock.now();
    let mut holders = gateway.holders.lock();
    for told in engines {
        let is_it = |view: &&mut HolderView| view.traits().incarnation == Some(told.engine);
        if let Some(view) = holders.iter_mut().find(is_it) {
            view.apply_part_reports(&told.changes, now_ms);
        }
    }
}

fn hear_crashes(gateway: &Gateway, crashes: &[(Fingerprint, EndpointTag)]) {
    let now_ms = gateway.clock.now();
    let mut suspects = gateway.suspects.lock();
    let is_news = |(request, life): &&(Fingerprint, EndpointTag)| {
        suspects.apply_report(*request, *life, now_ms)
    };
    let held: Vec<_> = crashes.iter().filter(is_news).map(|(request, _)| *request).collect();
    drop(suspects);
    gateway.note_held(held, "peers saw it lost with endpoints");
}

fn peers_of(gateway: &Gateway, addresses: &PeerAddresses) -> Vec<SocketAddr> {
    let own = gateway.settings.peer_listen;
    addresses.lock().values().copied().filter(|at| *at != own).collect()
}

async fn send_all(socket: &UdpSocket, peers: &[SocketAddr], message: &PeerMessage) {
    match postcard::to_stdvec(message) {
        Ok(bytes) if bytes.len() <= MAX_MESSAGE_BYTES => {
            for peer in peers {
                if let Err(error) = socket.send_to(&bytes, peer).await {
                    log::debug!(peer:% = peer, error:% = error; "message not sent");
                }
            }
        }
        // Peers notice the gap and ask the store itself.
        Ok(bytes) => log::debug!(bytes = bytes.len(); "message too large to send"),
        Err(error) => log::error!(error:% = error; "message can't be written"),
    }
}

/// Passes on what stores say as soon as it is heard.
async fn tell_parts(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    loop {
        gateway.has_parts_to_tell.notified().await;
        let messages = std::mem::take(&mut *gateway.parts_to_tell.lock());
        let peers = peers_of(gateway, addresses);
        for message in messages {
            send_all(socket, &peers, &PeerMessage::Parts(message)).await;
        }
    }
}

async fn hear(gateway: &Gateway, socket: &UdpSocket) {
    let mut buffer = [0u8; MAX_MESSAGE_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes::<PeerMessage>(&buffer[..length]) {
                Ok(PeerMessage::Load(message)) => {
                    gateway.peers.lock().apply(message, gateway.clock.now());
                }
                Ok(PeerMessage::Parts(message)) => hear_parts(gateway, message),
                Ok(PeerMessage::Engines(engines)) => hear_engines(gateway, &engines),
                Ok(PeerMessage::Crashes(crashes)) => hear_crashes(gateway, &crashes),
                Err(error) => log::debug!(from:% = from, error:% = error; "message left out"),
            },
            Err(error) => {
                // A peer's closed port shows as an error of the socket.
                log::debug!(error:% = error; "no message");
                sleep(Duration::from_millis(TELL_EVERY_MS)).await;
            }
        }
    }
}

/// A holder of parts in messages; its address can't be the id of an endpoint.
fn holder_tag(holder: &HolderView) -> EndpointTag {
    EndpointTag::new(&holder.address().to_string(), TimeMs(0))
}

/// Takes what the peers said of holders into the views that plans are made from.
fn update_holders(gateway: &Gateway) {
    let now_ms = gateway.clock.now();
    let peers = gateway.peers.lock();
    for holder in gateway.holders.lock().iter_mut() {
        let load = peers.load(holder_tag(holder), TRANSFER_RANK, now_ms);
        holder.set_peer_load(HolderLoad {
            fetching_tokens: load.waiting_tokens,
            slowness_percent: load.slowness_percent,
        });
    }
}

fn message(gateway: &Gateway, incarnation: u64, sequence: u64) -> LoadMessage {
    let now_ms = gateway.clock.now();
    let mut endpoints: Vec<(EndpointTag, _)> = gateway
        .local
        .lock()
        .iter()
        .map(|(id, state)| (EndpointTag::new(id.as_str(), state.born_ms), state.told(now_ms)))
        .filter(|(_, load)| load.in_flight > 0 || load.slowness_percent > 0 || load.is_loading)
        .collect();
    endpoints.extend(gateway.holders.lock().iter_mut().filter_map(|holder| {
        let load = holder.local_load(now_ms);
        let mut waiting = RankTokens::default();
        waiting.add(TRANSFER_RANK, load.fetching_tokens);
        let is_told = load.fetching_tokens > 0 || load.slowness_percent.is_some();
        is_told.then_some((
            holder_tag(holder),
            EndpointLoad {
                waiting,
                slowness_percent: load.slowness_percent.unwrap_or(0),
                ..EndpointLoad::default()
            },
        ))
    }));
    endpoints.sort_by_key(|(_, load)| std::cmp::Reverse((load.is_loading, load.in_flight)));
    endpoints.truncate(MAX_REPORTED_ENDPOINTS);
    let instance = gateway.settings.instance.to_string();
    let can_check_keys = gateway.keys.lock().is_valid(now_ms);
    LoadMessage { instance, incarnation, sequence, can_check_keys, endpoints }
}

/// Tells what became of parts in engines' memories.
async fn tell_engines(gateway: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    for _ in 0..MAX_ENGINE_MESSAGES {
        let told = gateway.engine_parts.lock().take(MAX_PARTS_TOLD);
        if told.is_empty() {
            break;
        }
        send_all(socket, peers, &PeerMessage::Engines(told)).await;
    }
}

async fn tell(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let incarnation = rand::random();
    let mut sequence = 0;
    let mut told_engines_ms = TimeMs(0);
    loop {
        let peers = peers_of(gateway, addresses);
        sequence += 1;
        let load = message(gateway, incarnation, sequence).trimmed(MAX_LOAD_BYTES);
        send_all(socket, &peers, &PeerMessage::Load(load)).await;
        let crashes = gateway.suspects.lock().take_reports(MAX_CRASHES_TOLD, gateway.clock.now());
        if !crashes.is_empty() {
            send_all(socket, &peers, &PeerMessage::Crashes(crashes)).await;
        }
        if gateway.clock.now().since(told_engines_ms) >= TELL_ENGINES_EVERY_MS {
            told_engines_ms = gateway.clock.now();
            tell_engines(gateway, socket, &peers).await;
        }
        gateway.peers.lock().expire(gateway.clock.now());
        update_holders(gateway);
        let pause_ms = TELL_EVERY_MS * (peers.len() as u64).div_ceil(PEERS_AT_PACE).max(1);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
