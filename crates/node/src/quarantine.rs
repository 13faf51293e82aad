//! Quarantine of requests that crash endpoints: claims, crash reports and their propagation to peers.
//!
//! The table is a view of this instance, and a claim is only as exclusive as the members' agreement on the owner of its
//! key. If the owner of a suspect can't be reached, the request is refused as not run. See `docs/design/poison.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::{
    ClaimReply, Quarantine, QuarantineSource, QuarantineState, rendezvous_owner,
};
use bilberryford_peer::{
    PeerClient, QuarantineSnapshot, SuspectAction, SuspectMessage, SuspectReply,
};
use bilberryford_types::{
    AttemptId, Digest, EndpointId, EventKind, InstanceId, ModelName, TeamName, TimeMs,
};
use futures::{StreamExt, stream};
use tokio::time::sleep;

use crate::{controllers::MAX_UNWRITTEN, node::Node};

/// Deadline of a peer's reply to a message about a suspect, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 250;
/// Maximum number of concurrent messages to peers.
const MAX_CONCURRENT_CALLS: usize = 64;
/// Time until a message is sent again to a peer that did not reply, in milliseconds.
const RESEND_MS: u64 = 200;
/// Number of times that a message is sent again.
const MAX_RESENDS: u32 = 300;
/// Number of attempts to release a claim.
const MAX_RELEASE_ATTEMPTS: u32 = 20;
/// Maximum number of quarantined fingerprints in a heartbeat.
pub(crate) const MAX_GOSSIPED_KEYS: usize = 64;
/// Maximum number of keys of each state in a snapshot for an instance that has just started.
const MAX_SNAPSHOT_KEYS: usize = 1_024;
/// How long a quarantine learned from a peer lasts here; its actual end is in the platform's record.
const GOSSIPED_SPAN: TimeMs = TimeMs(3_600_000);

/// The quarantine table, behind its lock.
pub(crate) type Table = parking_lot::Mutex<Quarantine>;

/// Returns the digest that identifies a request.
pub(crate) fn fingerprint(team: &TeamName, model: &ModelName, body: &[u8]) -> Digest {
    digest("request", &[team.as_str().as_bytes(), model.as_str().as_bytes(), body])
}

fn endpoint_key(endpoint: &EndpointId) -> Digest {
    digest("endpoint", &[endpoint.as_str().as_bytes()])
}

fn digest(domain: &str, parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key("bilberryford quarantine v1");
    for part in std::iter::once(&domain.as_bytes()).chain(parts) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}

/// A claim that the owner of its key has granted; it is released on drop.
pub(crate) struct ClaimGuard {
    node: Arc<Node>,
    key: Digest,
    attempt: AttemptId,
    action: SuspectAction,
}

impl ClaimGuard {
    /// Releases the claim after a clean run, which clears the suspect.
    pub(crate) fn clear(mut self) {
        self.action = SuspectAction::Clear;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let (node, key, action) = (self.node.clone(), self.key, self.action);
        let suspect = suspect_message(key, &self.attempt, action, TimeMs(0));
        if action == SuspectAction::Clear {
            node.apply_suspect(&suspect);
        }
        tokio::spawn(async move {
            for _ in 0..MAX_RELEASE_ATTEMPTS {
                if node.call_owner(suspect.clone()).await.is_some() {
                    return;
                }
                sleep(Duration::from_millis(RESEND_MS)).await;
            }
        });
    }
}

/// Sends the message to one peer. Returns its address if it did not reply.
async fn notify_peer(
    peers: PeerClient,
    address: SocketAddr,
    suspect: SuspectMessage,
) -> Option<SocketAddr> {
    let reply = peers.send_suspect(address, suspect, TimeMs(PEER_TIMEOUT_MS)).await;
    reply.is_err().then_some(address)
}

/// Sends the message to peers once, and continues in the background with those that did not reply.
async fn notify_peers(peers: PeerClient, addresses: Vec<SocketAddr>, suspect: SuspectMessage) {
    let results = stream::iter(addresses)
        .map(|address| notify_peer(peers.clone(), address, suspect.clone()))
        .buffer_unordered(MAX_CONCURRENT_CALLS);
    let unanswered: Vec<_> = results.filter_map(std::future::ready).collect().await;
    if !unanswered.is_empty() {
        tokio::spawn(resend(peers, unanswered, suspect));
    }
}

/// Resends the message to peers that did not reply, up to [`MAX_RESENDS`] times. An instance that was paused waits for
/// these messages, see `pause.rs`.
async fn resend(peers: PeerClient, mut unanswered: Vec<SocketAddr>, suspect: SuspectMessage) {
    for _ in 0..MAX_RESENDS {
        if unanswered.is_empty() {
            return;
        }
        sleep(Duration::from_millis(RESEND_MS)).await;
        let results = stream::iter(unanswered)
            .map(|address| notify_peer(peers.clone(), address, suspect.clone()))
            .buffer_unordered(MAX_CONCURRENT_CALLS);
        unanswered = results.filter_map(std::future::ready).collect().await;
    }
}

fn suspect_message(
    key: Digest,
    attempt: &AttemptId,
    action: SuspectAction,
    span: TimeMs,
) -> SuspectMessage {
    SuspectMessage { fingerprint: key, attempt: attempt.to_string(), action, span }
}

impl Node {
    /// Returns the quarantine state of a fingerprint in the local table.
    pub(crate) fn quarantine_state(&self, fingerprint: &Digest) -> QuarantineState {
        self.quarantine.lock().state(fingerprint, self.now())
    }

    /// Clears a suspect in the local table that its owner has cleared.
    pub(crate) fn clear_local_suspicion(&self, fingerprint: Digest, attempt: &AttemptId) {
        self.quarantine.lock().clear(fingerprint, attempt.as_str(), self.now());
    }

    /// Claims the exclusive right to run the suspect `fingerprint`.
    pub(crate) async fn claim_suspect(
        self: &Arc<Self>,
        fingerprint: Digest,
        attempt: &AttemptId,
        span: TimeMs,
    ) -> Result<ClaimGuard, ClaimReply> {
        self.claim(fingerprint, attempt, span).await
    }

    /// Claims the exclusive right to run a suspect at `endpoint`.
    pub(crate) async fn claim_endpoint(
        self: &Arc<Self>,
        endpoint: &EndpointId,
        attempt: &AttemptId,
        span: TimeMs,
    ) -> Result<ClaimGuard, ClaimReply> {
        self.claim(endpoint_key(endpoint), attempt, span).await
    }

    async fn claim(
        self: &Arc<Self>,
        key: Digest,
        attempt: &AttemptId,
        span: TimeMs,
    ) -> Result<ClaimGuard, ClaimReply> {
        match self.call_owner(suspect_message(key, attempt, SuspectAction::Claim, span)).await {
            Some(reply) if reply.granted => Ok(ClaimGuard {
                node: self.clone(),
                key,
                attempt: attempt.clone(),
                action: SuspectAction::Release,
            }),
            Some(reply) if reply.quarantined => Err(ClaimReply::Quarantined),
            Some(reply) if reply.crashes == 0 => Err(ClaimReply::Cleared),
            _ => Err(ClaimReply::Busy),
        }
    }

    /// Records a crash and reports it to every peer, before the caller gets a response and can send the request again.
    pub(crate) async fn report_crash(
        &self,
        fingerprint: Digest,
        attempt: &AttemptId,
        was_alone: bool,
    ) {
        let action = if was_alone { SuspectAction::Quarantine } else { SuspectAction::MarkSuspect };
        let suspect = suspect_message(fingerprint, attempt, action, TimeMs(0));
        self.apply_suspect(&suspect);
        if was_alone {
            self.queue_quarantine_write(fingerprint);
        }
        self.events.write(EventKind::Suspected, |event| {
            event.attempt = Some(attempt.clone());
            event.detail = format!("{fingerprint} {}", if was_alone { "alone" } else { "" });
        });
        let Some(peers) = self.peers() else { return };
        // A member that is considered failed may only be paused, so it is notified as well.
        let addresses: Vec<_> =
            self.members.peers().into_iter().map(|(member, _)| member.address).collect();
        let notification = tokio::spawn(notify_peers(peers, addresses, suspect));
        // Spawned, so that peers are notified even if the run is dropped here at its deadline.
        drop(notification.await);
    }

    /// Applies a message about a suspect, from a peer or from this instance, to the table and returns the reply.
    pub(crate) fn apply_suspect(&self, suspect: &SuspectMessage) -> SuspectReply {
        let SuspectMessage { fingerprint: key, attempt, action, span } = suspect;
        let now = self.now();
        let mut table = self.quarantine.lock();
        let mut claim = None;
        let mut is_new = false;
        match action {
            SuspectAction::Claim => claim = Some(table.claim(*key, attempt, *span, now)),
            SuspectAction::MarkSuspect => drop(table.mark_suspect(*key, now)),
            SuspectAction::Clear => table.clear(*key, attempt, now),
            SuspectAction::Release => table.release(key, attempt),
            SuspectAction::Quarantine => {
                is_new = table.quarantine(*key, TimeMs(u64::MAX), QuarantineSource::Local, now);
            }
        }
        let state = table.state(key, now);
        drop(table);
        if is_new {
            self.write_quarantine_event(key, attempt);
            if self.remote_owner(key).is_none() {
                self.queue_quarantine_write(*key);
            }
        }
        let crashes = match (state, claim) {
            (QuarantineState::Quarantined, _) => 2,
            // 0 crashes tell the requester that the suspect was cleared, so a busy claim is reported as 1.
            (QuarantineState::Suspect, _) | (_, Some(ClaimReply::Busy)) => 1,
            (QuarantineState::Clear, _) => 0,
        };
        SuspectReply {
            crashes,
            quarantined: state == QuarantineState::Quarantined,
            granted: claim == Some(ClaimReply::Granted),
        }
    }

    /// Queues a quarantine decision for writing to the platform.
    fn queue_quarantine_write(&self, key: Digest) {
        let mut unwritten = self.unwritten_quarantines.lock();
        if unwritten.len() < MAX_UNWRITTEN && !unwritten.contains(&key) {
            unwritten.push(key);
        }
    }

    fn write_quarantine_event(&self, key: &Digest, detail: &str) {
        self.events.write(EventKind::Quarantined, |event| {
            event.detail = format!("{key} {detail}");
        });
    }

    /// Quarantines `keys` as decided elsewhere, for `span` if it is known. `origin` names the peer or the platform in
    /// events.
    pub(crate) fn apply_quarantined(&self, keys: &[Digest], span: Option<TimeMs>, origin: &str) {
        let now = self.now();
        let span = span.unwrap_or(GOSSIPED_SPAN);
        for key in keys.iter().take(MAX_GOSSIPED_KEYS) {
            if self.quarantine.lock().quarantine(*key, span, QuarantineSource::Remote, now) {
                self.write_quarantine_event(key, origin);
            }
        }
    }

    /// Returns the suspected and the quarantined keys, for an instance that has just started.
    pub(crate) fn quarantine_snapshot(&self) -> QuarantineSnapshot {
        let now = self.now();
        let table = self.quarantine.lock();
        QuarantineSnapshot {
            suspected: table.keys_in_state(QuarantineState::Suspect, MAX_SNAPSHOT_KEYS, now),
            quarantined: table.keys_in_state(QuarantineState::Quarantined, MAX_SNAPSHOT_KEYS, now),
        }
    }

    /// Applies a peer's snapshot at the start of this instance.
    pub(crate) fn apply_quarantine_snapshot(&self, snapshot: &QuarantineSnapshot, origin: &str) {
        let now = self.now();
        let mut table = self.quarantine.lock();
        snapshot.suspected.iter().for_each(|key| table.apply_peer_suspicion(*key, now));
        drop(table);
        for keys in snapshot.quarantined.chunks(MAX_GOSSIPED_KEYS) {
            self.apply_quarantined(keys, None, origin);
        }
    }

    /// Sends the message to the owner of its key, which may be this instance. Returns `None` if the owner does not
    /// reply.
    async fn call_owner(&self, suspect: SuspectMessage) -> Option<SuspectReply> {
        let Some((address, peers)) = self.remote_owner(&suspect.fingerprint).zip(self.peers())
        else {
            return Some(self.apply_suspect(&suspect));
        };
        peers.send_suspect(address, suspect, TimeMs(PEER_TIMEOUT_MS)).await.ok()
    }

    /// Returns the address of the peer that owns the key, or `None` if this instance owns it or no member does.
    fn remote_owner(&self, key: &Digest) -> Option<SocketAddr> {
        let addresses = self.members.peer_addresses();
        let local: Option<&InstanceId> = (!self.is_leaving()).then_some(&self.settings.instance);
        let members = addresses.iter().map(|(instance, _)| instance).chain(local);
        let owner = rendezvous_owner(members, &key.0)?.clone();
        addresses.into_iter().find(|(instance, _)| *instance == owner).map(|(_, address)| address)
    }
}
