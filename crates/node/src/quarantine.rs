//! Requests that crash endpoints: what this instance does about them.
//!
//! What is held here are views; a claim is as exclusive as the members' agreement on who owns a key. A suspect whose
//! owner can't be asked is refused as not run rather than tried. See `docs/design/poison.md`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::{
    ClaimReply, Quarantine, QuarantineSource, QuarantineState, rendezvous_owner,
};
use bilberryford_peer::{PeerClient, Standings, Suspect, SuspectReply, Verdict};
use bilberryford_types::{
    AttemptId, Digest, EndpointId, EventKind, InstanceId, ModelName, TeamName, TimeMs,
};
use futures::{StreamExt, stream};
use tokio::time::sleep;

use crate::{controllers::MAX_UNWRITTEN, node::Node};

/// How long a peer may take to answer about a suspect, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 250;
/// How many peers are told of a crash at once.
const TELL_AT_ONCE: usize = 64;
/// How long until a peer that did not answer is told again, in milliseconds.
const TELL_AGAIN_MS: u64 = 200;
/// How often it is told again.
const TELL_AGAIN_LIMIT: u32 = 300;
/// How often it is tried to give a claim back.
const GIVE_BACK_LIMIT: u32 = 20;
/// How many quarantined fingerprints a heartbeat carries.
pub(crate) const GOSSIP_LIMIT: usize = 64;
/// How many keys of each standing an instance is told that has just started.
const STANDINGS_LIMIT: usize = 1_024;
/// How long a quarantine that came by gossip is kept, in milliseconds; the platform's record has the true span.
const GOSSIP_SPAN: TimeMs = TimeMs(3_600_000);

/// The table, behind the lock that the node keeps it in.
pub(crate) type Table = parking_lot::Mutex<Quarantine>;

/// What identifies a request that may crash endpoints.
pub(crate) fn fingerprint(team: &TeamName, model: &ModelName, body: &[u8]) -> Digest {
    digest("request", &[team.as_str().as_bytes(), model.as_str().as_bytes(), body])
}

fn endpoint_key(endpoint: &EndpointId) -> Digest {
    digest("endpoint", &[endpoint.as_str().as_bytes()])
}

fn digest(what: &str, parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new_derive_key("bilberryford quarantine v1");
    for part in std::iter::once(&what.as_bytes()).chain(parts) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    Digest(*hasher.finalize().as_bytes())
}

/// A claim that is held at its owner; it is given back when it is dropped.
pub(crate) struct ClaimGuard {
    node: Arc<Node>,
    key: Digest,
    attempt: AttemptId,
    verdict: Verdict,
}

impl ClaimGuard {
    /// Gives the claim back after a clean run, which acquits the suspect.
    pub(crate) fn acquit(mut self) {
        self.verdict = Verdict::Clean;
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let (node, key, verdict) = (self.node.clone(), self.key, self.verdict);
        let suspect = message(key, &self.attempt, verdict, TimeMs(0));
        if verdict == Verdict::Clean {
            node.take_suspect(&suspect);
        }
        tokio::spawn(async move {
            for _ in 0..GIVE_BACK_LIMIT {
                if node.ask_owner(suspect.clone()).await.is_some() {
                    return;
                }
                sleep(Duration::from_millis(TELL_AGAIN_MS)).await;
            }
        });
    }
}

/// Tells one peer; its address when it did not answer.
async fn tell(peers: PeerClient, address: SocketAddr, suspect: Suspect) -> Option<SocketAddr> {
    let told = peers.suspect(address, suspect, TimeMs(ASK_TIMEOUT_MS)).await;
    told.is_err().then_some(address)
}

/// Tells peers once, and goes on in the background with those that did not answer.
async fn tell_all(peers: PeerClient, addresses: Vec<SocketAddr>, suspect: Suspect) {
    let told = stream::iter(addresses)
        .map(|address| tell(peers.clone(), address, suspect.clone()))
        .buffer_unordered(TELL_AT_ONCE);
    let silent: Vec<_> = told.filter_map(std::future::ready).collect().await;
    if !silent.is_empty() {
        tokio::spawn(tell_again(peers, silent, suspect));
    }
}

/// Tells peers that did not answer, until they do; an instance that was paused waits for this, see `pause.rs`.
async fn tell_again(peers: PeerClient, mut silent: Vec<SocketAddr>, suspect: Suspect) {
    for _ in 0..TELL_AGAIN_LIMIT {
        if silent.is_empty() {
            return;
        }
        sleep(Duration::from_millis(TELL_AGAIN_MS)).await;
        let told = stream::iter(silent)
            .map(|address| tell(peers.clone(), address, suspect.clone()))
            .buffer_unordered(TELL_AT_ONCE);
        silent = told.filter_map(std::future::ready).collect().await;
    }
}

fn message(key: Digest, attempt: &AttemptId, verdict: Verdict, span: TimeMs) -> Suspect {
    Suspect { fingerprint: key, attempt: attempt.to_string(), verdict, span }
}

impl Node {
    /// What this instance knows of a fingerprint.
    pub(crate) fn standing(&self, fingerprint: &Digest) -> QuarantineState {
        self.quarantine.lock().state(fingerprint, self.now())
    }

    /// Forgets a suspicion that the owner has lifted.
    pub(crate) fn acquit_here(&self, fingerprint: Digest, attempt: &AttemptId) {
        self.quarantine.lock().clear(fingerprint, attempt.as_str(), self.now());
    }

    /// Claims the right to run the suspect `fingerprint`.
    pub(crate) async fn claim_suspect(
        self: &Arc<Self>,
        fingerprint: Digest,
        attempt: &AttemptId,
        span: TimeMs,
    ) -> Result<ClaimGuard, ClaimReply> {
        self.claim(fingerprint, attempt, span).await
    }

    /// Claims the right to run a suspect at `endpoint`, so that it is the only one there.
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
        match self.ask_owner(message(key, attempt, Verdict::Ask, span)).await {
            Some(reply) if reply.granted => Ok(ClaimGuard {
                node: self.clone(),
                key,
                attempt: attempt.clone(),
                verdict: Verdict::Released,
            }),
            Some(reply) if reply.quarantined => Err(ClaimReply::Quarantined),
            Some(reply) if reply.crashes == 0 => Err(ClaimReply::Cleared),
            _ => Err(ClaimReply::Busy),
        }
    }

    /// Takes note of a crash and tells every peer, before the caller hears of it and can send the request again.
    pub(crate) async fn report_crash(
        &self,
        fingerprint: Digest,
        attempt: &AttemptId,
        was_alone: bool,
    ) {
        let verdict = if was_alone { Verdict::Convicted } else { Verdict::Crashed };
        let suspect = message(fingerprint, attempt, verdict, TimeMs(0));
        self.take_suspect(&suspect);
        if was_alone {
            self.keep_conviction(fingerprint);
        }
        self.events.write(EventKind::Suspected, |event| {
            event.attempt = Some(attempt.clone());
            event.detail = format!("{fingerprint} {}", if was_alone { "alone" } else { "" });
        });
        let Some(peers) = self.peers() else { return };
        // A member that is taken for failed may only be paused; it has to hear of this too.
        let addresses: Vec<_> =
            self.members.all().into_iter().map(|(member, _)| member.address).collect();
        let first = tokio::spawn(tell_all(peers, addresses, suspect));
        // The run may end here at its deadline; its peers are told all the same.
        drop(first.await);
    }

    /// Answers a peer, or this instance itself, from the table.
    pub(crate) fn take_suspect(&self, suspect: &Suspect) -> SuspectReply {
        let Suspect { fingerprint: key, attempt, verdict, span } = suspect;
        let now = self.now();
        let mut table = self.quarantine.lock();
        let mut claim = None;
        let mut is_news = false;
        match verdict {
            Verdict::Ask => claim = Some(table.claim(*key, attempt, *span, now)),
            Verdict::Crashed => drop(table.mark_suspect(*key, now)),
            Verdict::Clean => table.clear(*key, attempt, now),
            Verdict::Released => table.release(key, attempt),
            Verdict::Convicted => {
                is_news = table.quarantine(*key, TimeMs(u64::MAX), QuarantineSource::Local, now);
            }
        }
        let standing = table.state(key, now);
        drop(table);
        if is_news {
            self.quarantine_event(key, attempt);
            if self.owner_of(key).is_none() {
                self.keep_conviction(*key);
            }
        }
        let crashes = match (standing, claim) {
            (QuarantineState::Quarantined, _) => 2,
            // A claim that is held elsewhere must not look like an acquittal.
            (QuarantineState::Suspect, _) | (_, Some(ClaimReply::Busy)) => 1,
            (QuarantineState::Clear, _) => 0,
        };
        SuspectReply {
            crashes,
            quarantined: standing == QuarantineState::Quarantined,
            granted: claim == Some(ClaimReply::Granted),
        }
    }

    /// Has a conviction written to the platform.
    fn keep_conviction(&self, key: Digest) {
        let mut convictions = self.unwritten_quarantines.lock();
        if convictions.len() < MAX_UNWRITTEN && !convictions.contains(&key) {
            convictions.push(key);
        }
    }

    fn quarantine_event(&self, key: &Digest, detail: &str) {
        self.events.write(EventKind::Quarantined, |event| {
            event.detail = format!("{key} {detail}");
        });
    }

    /// Takes over what a peer has in quarantine.
    pub(crate) fn take_quarantined(&self, keys: &[Digest], span: Option<TimeMs>, from: &str) {
        let now = self.now();
        let span = span.unwrap_or(GOSSIP_SPAN);
        for key in keys.iter().take(GOSSIP_LIMIT) {
            if self.quarantine.lock().quarantine(*key, span, QuarantineSource::Remote, now) {
                self.quarantine_event(key, from);
            }
        }
    }

    /// What an instance that has just started has to know.
    pub(crate) fn standings(&self) -> Standings {
        let now = self.now();
        let table = self.quarantine.lock();
        Standings {
            suspected: table.keys_in_state(QuarantineState::Suspect, STANDINGS_LIMIT, now),
            quarantined: table.keys_in_state(QuarantineState::Quarantined, STANDINGS_LIMIT, now),
        }
    }

    /// Takes over what a peer knows, at the start of this instance.
    pub(crate) fn take_standings(&self, standings: &Standings, from: &str) {
        let now = self.now();
        let mut table = self.quarantine.lock();
        standings.suspected.iter().for_each(|key| table.apply_peer_suspicion(*key, now));
        drop(table);
        for keys in standings.quarantined.chunks(GOSSIP_LIMIT) {
            self.take_quarantined(keys, None, from);
        }
    }

    /// Asks the owner of the key; none when it does not answer.
    async fn ask_owner(&self, suspect: Suspect) -> Option<SuspectReply> {
        let Some((address, peers)) = self.owner_of(&suspect.fingerprint).zip(self.peers()) else {
            return Some(self.take_suspect(&suspect));
        };
        peers.suspect(address, suspect, TimeMs(ASK_TIMEOUT_MS)).await.ok()
    }

    /// Where the owner of the key is called; none when this instance owns it.
    fn owner_of(&self, key: &Digest) -> Option<SocketAddr> {
        let addresses = self.members.addresses();
        let own: Option<&InstanceId> = (!self.is_leaving()).then_some(&self.settings.instance);
        let members = addresses.iter().map(|(instance, _)| instance).chain(own);
        let owner = rendezvous_owner(members, &key.0)?.clone();
        addresses.into_iter().find(|(instance, _)| *instance == owner).map(|(_, address)| address)
    }
}
