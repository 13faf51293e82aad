//! Discovers the other instances through the store, and exchanges messages with them over UDP.
//!
//! An instance registers its address once when it starts. Messages are small and have no reply, and the pause between
//! them grows with the number of peers, so that the traffic per instance is bounded.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_platform::{Changes, Object, ObjectKey, ObjectKind, PlatformError, Precondition};
use bilberryford_types::{DataCentreId, ObjectName, ObjectVersion, TimeMs};
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use super::{
    blame, cold, evict_parts, limits,
    list_watch::{Backoff, WatchHandler},
    shared_view, speeds, streams,
};
use crate::{
    cache_index::{HolderLoad, HolderView, holder_at},
    cost::{PlacedPrompt, is_announced},
    gateway::{Gateway, USAGE_REPORT_INTERVAL_MS},
    peer_loads::{
        EndpointLoad, EndpointTag, EngineParts, LoadMessage, MAX_REPORTED_ENDPOINTS, PeerMessage,
        RankTokens, StorePartsMessage, report_interval_ms,
    },
};

/// The pause after an error of the socket.
const ERROR_DELAY: Duration = Duration::from_millis(100);
/// The largest message, in bytes, so that a datagram is not fragmented.
const MAX_MESSAGE_BYTES: usize = 1_400;
/// The largest answer with the state of the store, in bytes. It stays within a data centre, and one that is lost is asked
/// for again.
const MAX_VIEW_BYTES: usize = 8_192;
/// The largest load report, in bytes, which leaves room for the tag of the message kind.
const MAX_LOAD_BYTES: usize = MAX_MESSAGE_BYTES - 8;

/// The shortest interval between reports of engines' parts, in milliseconds: about the time to prefill one part.
const ENGINE_REPORT_INTERVAL_MS: TimeMs = TimeMs(300);
/// The most changes of engines' parts in one message, at up to nine bytes each.
const MAX_PARTS_PER_MESSAGE: usize = 120;
/// The most messages on engines' parts in one round: a new subscription starts with many changes.
const MAX_ENGINE_MESSAGES_PER_ROUND: usize = 4;

/// The rank under which transfers are reported, since links have no priorities.
const TRANSFER_RANK: u8 = 0;

/// The pause that collects changes of instances into one batch; at a start of the whole fleet there are many.
const CHANGE_BATCH_DELAY: Duration = Duration::from_millis(2_000);

/// The stored object of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct InstanceBody {
    peer_address: SocketAddr,
    /// Not written by versions before 0.1.
    #[serde(default)]
    data_centre: Option<DataCentreId>,
}

/// A peer that the store lists.
#[derive(Debug, Clone)]
pub(super) struct ListedPeer {
    pub(super) address: SocketAddr,
    pub(super) data_centre: Option<DataCentreId>,
}

/// The peers that the store lists, by name.
pub(super) type PeerAddresses = Arc<Mutex<HashMap<ObjectName, ListedPeer>>>;

/// The socket for messages to peers and the list of peers, for requests that have to report or ask something.
pub(crate) struct PeerLink {
    pub(super) socket: Arc<UdpSocket>,
    pub(super) addresses: PeerAddresses,
}

pub(super) struct PeerHandler(pub(super) PeerAddresses);

impl PeerHandler {
    fn insert(&self, name: &ObjectName, body: &[u8]) {
        match serde_json::from_slice::<InstanceBody>(body) {
            Ok(body) => {
                let InstanceBody { peer_address: address, data_centre } = body;
                self.0.lock().insert(name.clone(), ListedPeer { address, data_centre });
            }
            Err(error) => log::warn!(peer:% = name, error:% = error; "peer entry can't be decoded"),
        }
    }
}

impl PeerHandler {
    fn record_number(&self, gateway: &Gateway) {
        *gateway.listed_peers.lock() = Some(peer_addresses(gateway, &self.0).len());
    }
}

impl WatchHandler for PeerHandler {
    const KIND: ObjectKind = ObjectKind::Instance;
    const WATCH_TIMEOUT_MS: TimeMs = TimeMs(30_000);

    const IS_SHARED: bool = false;
    const IS_HINT: bool = true;

    fn change_batch_delay(&self, _gateway: &Gateway) -> Duration {
        CHANGE_BATCH_DELAY
    }

    fn on_list(
        &self,
        gateway: &Gateway,
        _version: ObjectVersion,
        objects: Vec<Object>,
        _started_ms: TimeMs,
    ) {
        self.0.lock().clear();
        for object in objects {
            self.insert(&object.name, &object.body);
        }
        self.record_number(gateway);
    }

    fn on_changes(&self, gateway: &Gateway, _since: ObjectVersion, changes: Changes) {
        for change in changes.changes {
            match change.body {
                Some(body) => self.insert(&change.name, &body),
                None => {
                    self.0.lock().remove(&change.name);
                }
            }
        }
        self.record_number(gateway);
    }
}

/// Writes this instance's address to the store, with retries until that succeeds, and again in each era of the store.
pub(super) async fn register(gateway: Arc<Gateway>) {
    let settings = &gateway.settings;
    let Ok(name) = settings.instance.as_str().parse() else { return };
    let key = ObjectKey::new(ObjectKind::Instance, name);
    let body = InstanceBody {
        peer_address: settings.peer_listen,
        data_centre: Some(settings.data_centre.clone()),
    };
    let Ok(body) = serde_json::to_vec(&body).map(Bytes::from) else { return };
    let mut precondition = Precondition::Absent;
    let mut backoff = Backoff::default();
    loop {
        gateway.metrics.store_calls.add(1, &[]);
        match gateway.store.put(&key, precondition, body.clone()).await {
            Ok(version) => {
                // The copy from which the store comes back may lack this object.
                gateway.store.wait_for_era_after(version.era()).await;
                precondition = Precondition::Absent;
            }
            Err(PlatformError::Conflict { current }) => {
                precondition = Precondition::Version(current);
                backoff.wait().await;
            }
            Err(error) => {
                log::debug!(error:% = error; "can't register this instance in the store");
                backoff.wait().await;
            }
        }
    }
}

/// Sends this instance's messages to its peers and receives theirs.
pub(super) async fn exchange(gateway: Arc<Gateway>, addresses: PeerAddresses) {
    let socket = match UdpSocket::bind(gateway.settings.peer_listen).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!(error:% = error; "can't bind the address for peers; loads are not shared");
            return;
        }
    };
    let link = PeerLink { socket: socket.clone(), addresses: addresses.clone() };
    if gateway.peer_link.set(link).is_err() {
        log::error!("the link to peers is set up twice; the first one stays in use");
    }
    tokio::join!(
        receive(&gateway, &socket),
        report_loads(&gateway, &socket, &addresses),
        forward_store_parts(&gateway, &socket, &addresses),
        shared_view::ask(&gateway, &socket, &addresses),
        limits::report(&gateway, &socket, &addresses),
        cold::report(&gateway, &socket, &addresses),
        blame::keep(&gateway),
        blame::learn(&gateway, &socket, &addresses),
        blame::report(&gateway, &socket, &addresses),
        evict_parts::run(&gateway, &socket, &addresses),
        evict_parts::report_uses(&gateway, &socket, &addresses),
    );
}

/// Applies changes of a store that a peer forwarded, unless this instance is subscribed to the store itself.
fn apply_store_parts(gateway: &Gateway, message: StorePartsMessage) {
    let now_ms = gateway.clock.now();
    let mut holders = gateway.holders.lock();
    let holder = holder_at(&mut holders, message.holder);
    if let Some(holder) = holder.filter(|holder| !holder.is_subscribed()) {
        holder.apply_peer_changes(message.since, message.changes, now_ms);
    }
}

fn apply_engine_parts(gateway: &Gateway, engines: &[EngineParts]) {
    let now_ms = gateway.clock.now();
    let mut holders = gateway.holders.lock();
    for report in engines {
        let is_subject = |view: &&mut HolderView| view.traits().incarnation == Some(report.engine);
        if let Some(view) = holders.iter_mut().find(is_subject) {
            view.apply_part_reports(&report.changes, now_ms);
        }
    }
}

pub(super) fn peer_addresses(gateway: &Gateway, addresses: &PeerAddresses) -> Vec<SocketAddr> {
    let own_address = gateway.settings.peer_listen;
    let listed = addresses.lock();
    listed.values().map(|peer| peer.address).filter(|at| *at != own_address).collect()
}

pub(super) async fn send_message(socket: &UdpSocket, peers: &[SocketAddr], message: &PeerMessage) {
    if peers.is_empty() {
        return;
    }
    let max_bytes = match message {
        PeerMessage::View(_) => MAX_VIEW_BYTES,
        _ => MAX_MESSAGE_BYTES,
    };
    let Some(bytes) = encode_message(message) else { return };
    if bytes.len() > max_bytes {
        // Peers notice the gap and request a snapshot from the store.
        log::debug!(bytes = bytes.len(); "message to peers exceeds one datagram; not sent");
        return;
    }
    for peer in peers {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!(peer:% = peer, error:% = error; "can't send a message to a peer");
        }
    }
}

pub(super) fn encode_message(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_stdvec(message)
        .inspect_err(|error| log::error!(error:% = error; "message to peers can't be encoded"))
        .ok()
}

/// Forwards changes of stores as soon as they arrive.
async fn forward_store_parts(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    loop {
        gateway.store_parts_added.notified().await;
        let messages = std::mem::take(&mut *gateway.pending_store_parts.lock());
        let peers = peer_addresses(gateway, addresses);
        for message in messages {
            send_message(socket, &peers, &PeerMessage::Parts(message)).await;
        }
    }
}

async fn receive(gateway: &Arc<Gateway>, socket: &UdpSocket) {
    let mut buffer = [0u8; MAX_VIEW_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match postcard::from_bytes::<PeerMessage>(&buffer[..length]) {
                Ok(PeerMessage::Load(message)) => {
                    gateway.peers.lock().apply(message, gateway.clock.now());
                }
                Ok(PeerMessage::Speeds(report)) => speeds::apply(gateway, &report),
                Ok(PeerMessage::Parts(message)) => apply_store_parts(gateway, message),
                Ok(PeerMessage::Engines(engines)) => apply_engine_parts(gateway, &engines),
                Ok(
                    PeerMessage::RetiredCrashes(_)
                    | PeerMessage::RetiredQuestion
                    | PeerMessage::RetiredViewQuestion
                    | PeerMessage::RetiredViewAnswer
                    | PeerMessage::RetiredAnswer,
                ) => {}
                Ok(PeerMessage::Placed(prompt)) => {
                    gateway.peers.lock().apply_placed(prompt, gateway.clock.now());
                }
                Ok(PeerMessage::Blame(message)) => blame::apply(gateway, &message),
                Ok(PeerMessage::AskBlame) => {
                    cold::inform(gateway, socket, from).await;
                    blame::answer(gateway, socket, from).await;
                }
                Ok(PeerMessage::AskView(question)) => {
                    shared_view::answer(gateway, socket, from, &question).await;
                }
                Ok(PeerMessage::Limits(message)) => {
                    gateway.apply_limit_reports(&message.instance, &message.reports);
                }
                Ok(PeerMessage::Cold(reports)) => gateway.apply_cold_reports(&reports),
                Ok(PeerMessage::View(answer)) => shared_view::apply(gateway, from, answer),
                Ok(PeerMessage::StreamBegan(report)) => streams::apply_report(gateway, &report),
                Ok(PeerMessage::AskStream(key)) => {
                    streams::answer(gateway, socket, from, key).await;
                }
                Ok(PeerMessage::StreamUnconfirmed(report)) => {
                    streams::apply_unconfirmed(gateway, from, &report);
                }
                Ok(PeerMessage::Usage(message)) => gateway.apply_usage_report(&message),
                Ok(PeerMessage::Stream(answer)) => streams::apply_answer(gateway, from, &answer),
                Ok(PeerMessage::PartUses(report)) => evict_parts::apply_uses(gateway, &report),
                Ok(PeerMessage::PartsLeaving(message)) => {
                    evict_parts::mark_leaving(gateway, message.store, &message.parts);
                }
                Err(error) => {
                    log::debug!(
                        from:% = from, error:% = error;
                        "message from a peer can't be decoded"
                    )
                }
            },
            Err(error) => {
                // A closed port at a peer is reported as an error of this socket.
                log::debug!(error:% = error; "no message");
                sleep(ERROR_DELAY).await;
            }
        }
    }
}

/// Announces a prompt with much work that this instance has placed on an endpoint.
pub(crate) fn announce_prompt(gateway: &Gateway, prompt: &PlacedPrompt) {
    let Some(link) = gateway.peer_link.get() else { return };
    let peers = peer_addresses(gateway, &link.addresses);
    if !is_announced(u64::from(prompt.waiting_tokens), peers.len()) {
        return;
    }
    let Some(bytes) = encode_message(&PeerMessage::Placed(prompt.clone())) else { return };
    for peer in peers {
        if let Err(error) = link.socket.try_send_to(&bytes, peer) {
            log::debug!(peer:% = peer, error:% = error; "can't announce a prompt to a peer");
        }
    }
}

/// The identifier of a holder of parts in load reports. Its address can't be the id of an endpoint.
fn holder_tag(holder: &HolderView) -> EndpointTag {
    EndpointTag::new(&holder.address().to_string(), TimeMs(0))
}

/// Updates the views of holders with the loads that peers reported.
fn update_holder_loads(gateway: &Gateway) {
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

fn load_message(gateway: &Gateway, incarnation: u64, sequence: u64) -> LoadMessage {
    let now_ms = gateway.clock.now();
    let mut endpoints: Vec<(EndpointTag, _)> = gateway
        .local
        .lock()
        .iter()
        .map(|(id, state)| {
            (EndpointTag::new(id.as_str(), state.started_ms), state.load_report(now_ms))
        })
        .filter(|(_, load)| load.in_flight > 0 || load.slowness_percent > 0 || load.is_loading)
        .collect();
    endpoints.extend(gateway.holders.lock().iter_mut().filter_map(|holder| {
        let load = holder.local_load(now_ms);
        let mut waiting = RankTokens::default();
        waiting.add(TRANSFER_RANK, load.fetching_tokens);
        let is_reported = load.fetching_tokens > 0 || load.slowness_percent.is_some();
        is_reported.then_some((
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

/// Reports changes of the parts in engines' memories.
async fn report_engine_parts(gateway: &Gateway, socket: &UdpSocket, peers: &[SocketAddr]) {
    for _ in 0..MAX_ENGINE_MESSAGES_PER_ROUND {
        let reports = gateway.pending_engine_parts.lock().take(MAX_PARTS_PER_MESSAGE);
        if reports.is_empty() {
            break;
        }
        send_message(socket, peers, &PeerMessage::Engines(reports)).await;
    }
}

async fn report_loads(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    let incarnation = rand::random();
    let mut sequence = 0;
    let mut engines_reported_ms = TimeMs(0);
    let mut usage_reported_ms = TimeMs(0);
    loop {
        let peers = peer_addresses(gateway, addresses);
        sequence += 1;
        let load = load_message(gateway, incarnation, sequence).trimmed(MAX_LOAD_BYTES);
        send_message(socket, &peers, &PeerMessage::Load(load)).await;
        if let Some(report) = speeds::take_report(gateway, incarnation, sequence) {
            send_message(socket, &peers, &PeerMessage::Speeds(report)).await;
        }
        if gateway.clock.now().since(engines_reported_ms) >= ENGINE_REPORT_INTERVAL_MS {
            engines_reported_ms = gateway.clock.now();
            report_engine_parts(gateway, socket, &peers).await;
        }
        if gateway.clock.now().since(usage_reported_ms) >= USAGE_REPORT_INTERVAL_MS {
            usage_reported_ms = gateway.clock.now();
            for message in gateway.usage_reports(sequence, peers.len()) {
                send_message(socket, &peers, &PeerMessage::Usage(message)).await;
            }
        }
        let live_instances = {
            let mut peers = gateway.peers.lock();
            peers.expire(gateway.clock.now());
            peers.live_instances(gateway.clock.now())
        };
        gateway.metrics.live_peers.record(live_instances - 1, &[]);
        update_holder_loads(gateway);
        sleep(Duration::from_millis(report_interval_ms(peers.len()).get())).await;
    }
}
