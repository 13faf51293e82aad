//! Obtains the view of the store from instances that read it, and passes it on to those that ask.
//!
//! Only confirmations of the configuration are more than hints, and their age is counted so that it is never
//! underestimated, see [`crate::readers`]. Everything else only steers: a newer configuration that a reader names is
//! read from the store.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_platform::ObjectKind;
use bilberryford_types::{ModelName, ObjectVersion, TimeMs};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::watch,
    time::{sleep, timeout},
};

use super::{
    config,
    endpoints::{apply_batch, endpoints_are_complete_to},
    peers::{PeerAddresses, send_message},
};
use crate::{
    change_log::MissedChanges,
    evacuation::EvacuationView,
    gateway::Gateway,
    peer_loads::PeerMessage,
    propagation::PropagationLimits,
    publications::PublishedVersion,
    readers::{passed_on_confirmation, passed_on_deadline},
    store_contact::RecoveryLimits,
};

/// The interval between two questions, in milliseconds. It bounds how much later than a reader this instance learns of
/// a change.
const ASK_INTERVAL_MS: u64 = 400;
/// How long the last answer is relied on without another one, in milliseconds: two questions may be lost.
const ANSWER_EXPIRY_MS: TimeMs = TimeMs(1_600);
/// The number of listed instances up to which all data centres share their readers. Beyond it each has its own, since the
/// questions of all would be too many for two instances, and traffic between data centres is charged for.
const MAX_REGION_READERS: usize = 40;
/// The lateness of a timer from which it is reported, in milliseconds.
const REPORTED_LAG_MS: TimeMs = TimeMs(250);
/// The largest size of the changes in one answer, in bytes.
const MAX_CHANGES_BYTES: usize = 6_000;

/// A question for the state of the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ViewQuestion {
    /// The asker's time of the question; it identifies the answer.
    pub(crate) asked_ms: TimeMs,
    /// The version up to which the asker's endpoints are complete.
    pub(crate) endpoints_to: Option<ObjectVersion>,
}

/// A linearizable read of the store, which dates what was written before and after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PassedOnRead {
    /// The store's version that it returned.
    version: ObjectVersion,
    /// How long ago it began, in milliseconds.
    started_age_ms: TimeMs,
}

/// Published weights, as the sender knows them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct SeenWeights {
    model: ModelName,
    version: u64,
    /// The time for which they have been published at least, in milliseconds.
    min_age_ms: TimeMs,
    /// The time for which they have been published at most, in milliseconds; none if the sender does not know.
    max_age_ms: Option<TimeMs>,
    /// The version of the store at which they were written; none if the sender does not know.
    written: Option<ObjectVersion>,
}

/// The state of the store as one instance knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ViewAnswer {
    /// The time in the question.
    asked_ms: TimeMs,
    /// How long ago the read began that last confirmed the configuration, in milliseconds.
    confirmed_age_ms: Option<TimeMs>,
    /// The configuration in force.
    config_version: Option<u64>,
    /// How long ago the store last replied to the sender, in milliseconds; none if a call failed since.
    contact_age_ms: Option<TimeMs>,
    endpoints: MissedChanges,
    /// The latest linearizable read of the store by the sender; none if it made none.
    store_read: Option<PassedOnRead>,
    weights: Vec<SeenWeights>,
    /// The evacuated data centres; none if the sender does not know them.
    evacuations: Option<EvacuationView>,
}

/// What this instance reads from the store of the kinds that readers pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reads {
    /// Everything: it is a reader, or no reader answers.
    everything: bool,
    /// The endpoints: a reader does not retain the changes that this instance lacks.
    endpoints: bool,
}

/// Controls which watches of the store run.
#[derive(Debug)]
pub(crate) struct ReadMode(watch::Sender<Reads>);

impl Default for ReadMode {
    fn default() -> Self {
        Self(watch::Sender::new(Reads { everything: true, endpoints: false }))
    }
}

impl ReadMode {
    /// Sets whether this instance reads everything from the store, and returns true if it did the opposite before.
    fn set_reads_store(&self, reads_store: bool) -> bool {
        self.0.send_if_modified(|reads| {
            std::mem::replace(&mut reads.everything, reads_store) != reads_store
        })
    }

    /// Sets whether the endpoints have to be read once, since a reader can't pass on what this instance lacks.
    pub(super) fn set_lacks_endpoints(&self, lacks_endpoints: bool) {
        self.0.send_if_modified(|reads| {
            std::mem::replace(&mut reads.endpoints, lacks_endpoints) != lacks_endpoints
        });
    }

    pub(super) fn reads_store(&self) -> bool {
        self.0.borrow().everything
    }

    /// Waits until this instance reads objects of the kind from the store. Returns true if it did not before.
    pub(super) async fn wait_until_reading(&self, kind: ObjectKind) -> bool {
        let is_reading =
            |reads: &Reads| reads.everything || reads.endpoints && kind == ObjectKind::Endpoint;
        if is_reading(&self.0.borrow()) {
            return false;
        }
        // The sender lives as long as the gateway, so that waiting can't fail.
        self.0.subscribe().wait_for(is_reading).await.is_ok()
    }
}

/// Asks readers for the state of the store, for as long as the gateway runs.
pub(super) async fn ask(gateway: &Gateway, socket: &UdpSocket, addresses: &PeerAddresses) {
    loop {
        let now_ms = gateway.clock.now();
        let questions = {
            let listed = addresses.lock();
            let is_small = listed.len() <= MAX_REGION_READERS;
            let home = listed
                .iter()
                .filter(|(_, peer)| {
                    is_small || peer.data_centre.as_ref() == Some(&gateway.settings.data_centre)
                })
                .map(|(name, peer)| (name.as_str(), peer.address));
            let mut readers = gateway.readers.lock();
            readers.set_instances(gateway.settings.instance.as_str(), home);
            readers.next_questions(now_ms)
        };
        let endpoints_to = endpoints_are_complete_to(gateway);
        let question = PeerMessage::AskView(ViewQuestion { asked_ms: now_ms, endpoints_to });
        send_message(socket, &questions, &question).await;
        let pause_ms = rand::rng().random_range(ASK_INTERVAL_MS * 3 / 4..=ASK_INTERVAL_MS);
        let due_ms = gateway.clock.now().after(TimeMs(pause_ms));
        sleep(Duration::from_millis(pause_ms)).await;
        record_lag(gateway, due_ms);
        update_read_mode(gateway, gateway.clock.now());
    }
}

/// Records how late a timer fired that was due at `due_ms`.
fn record_lag(gateway: &Gateway, due_ms: TimeMs) {
    let lag_ms = gateway.clock.now().since(due_ms);
    gateway.metrics.record_timer_lag(lag_ms);
    if lag_ms >= REPORTED_LAG_MS {
        log::warn!(target: "belief", lag_ms = lag_ms.get(); "process runs late");
    }
}

/// Starts or ends the reads of the store, according to the readers that answer.
fn update_read_mode(gateway: &Gateway, now_ms: TimeMs) {
    let contact_age_ms = gateway.store_contact_age_ms();
    let has_old_contact = RecoveryLimits::from(gateway.bounds()).must_read(contact_age_ms);
    let reason = gateway.readers.lock().reason_to_read(now_ms, ANSWER_EXPIRY_MS, has_old_contact);
    if gateway.read_mode.set_reads_store(reason.is_some()) {
        log::info!(
            target: "belief", reads_store = reason.is_some(),
            why = reason.map_or("readers_answer", <&str>::from),
            view_age_ms = gateway.confirmation_age_ms().unwrap_or_default().get(),
            contact_age_ms = contact_age_ms.unwrap_or_default().get();
            "source of the store's state"
        );
    }
}

/// Answers a question of another instance.
pub(super) async fn answer(
    gateway: &Gateway,
    socket: &UdpSocket,
    from: SocketAddr,
    question: &ViewQuestion,
) {
    let now_ms = gateway.clock.now();
    gateway.readers.lock().record_question(now_ms);
    let endpoints = question.endpoints_to.map_or(MissedChanges::Unavailable, |version| {
        gateway.endpoint_log.lock().missed_since(version, MAX_CHANGES_BYTES)
    });
    // Read before the configuration: a confirmation applies to the version in force and to newer ones only.
    let confirmed_age_ms = gateway.keys.lock().age_ms(now_ms);
    let deployment = gateway.deployment.load();
    let to_seen = |model: &ModelName, published: PublishedVersion| SeenWeights {
        model: model.clone(),
        version: published.version,
        min_age_ms: now_ms.since(published.not_after_ms),
        max_age_ms: published.not_before_ms.map(|not_before_ms| now_ms.since(not_before_ms)),
        written: published.written,
    };
    // An instance that has just started lists only the newest version of each model.
    let bound_ms = gateway.bounds().weights_propagation_ms;
    let weights = gateway
        .weights
        .lock()
        .iter()
        .flat_map(|(model, weights)| {
            weights.in_use(now_ms, bound_ms).map(move |version| to_seen(model, version))
        })
        .collect();
    let latest_read = gateway.revision_times.lock().latest();
    let answer = ViewAnswer {
        asked_ms: question.asked_ms,
        confirmed_age_ms,
        config_version: deployment.as_ref().map(|deployment| deployment.version().get()),
        contact_age_ms: gateway.endpoints.lock().contact_age_to_pass_on_ms(now_ms),
        endpoints,
        store_read: latest_read.map(|(version, started_ms)| PassedOnRead {
            version,
            started_age_ms: now_ms.since(started_ms),
        }),
        weights,
        evacuations: gateway.evacuations.lock().view().cloned(),
    };
    send_message(socket, &[from], &PeerMessage::View(answer)).await;
}

/// Applies an answer to a question of this instance.
pub(super) fn apply(gateway: &Arc<Gateway>, from: SocketAddr, answer: ViewAnswer) {
    let asked_ms = answer.asked_ms;
    let now_ms = gateway.clock.now();
    let limits = RecoveryLimits::from(gateway.bounds());
    let propagation = PropagationLimits::from(gateway.bounds());
    let confirmed_age_ms =
        answer.confirmed_age_ms.filter(|age_ms| *age_ms <= propagation.max_confirmation_age_ms());
    // An answer that was under way for long says nothing of the reader's present state.
    if asked_ms > now_ms || now_ms.since(asked_ms) >= ANSWER_EXPIRY_MS {
        return;
    }
    let has_contact = answer.contact_age_ms.is_some_and(|age_ms| {
        gateway.endpoints.lock().record_passed_on_contact(asked_ms, age_ms, now_ms, limits)
    });
    let is_usable = confirmed_age_ms.is_some() && has_contact;
    gateway.readers.lock().record_answer(from, asked_ms, is_usable);
    if !is_usable {
        // Without waiting for the next question: what this instance lacks may be a departure.
        update_read_mode(gateway, now_ms);
    }
    if has_contact {
        match answer.endpoints {
            MissedChanges::Batches(batches) => {
                batches.iter().for_each(|batch| apply_batch(gateway, batch));
            }
            MissedChanges::Unavailable => gateway.read_mode.set_lacks_endpoints(true),
        }
    }
    // A later view holds whoever passes it on. The first one has to be recent, since this instance begins to serve by it.
    let knows_evacuations = gateway.evacuations.lock().view().is_some();
    if gateway.bounds().evacuation_ms.is_some()
        && let Some(view) = answer.evacuations
        && (has_contact || knows_evacuations)
    {
        gateway.apply_evacuations(view, "reader");
    }
    if let Some(read) = answer.store_read {
        let started_ms = passed_on_confirmation(asked_ms, read.started_age_ms);
        gateway.revision_times.lock().record(read.version, started_ms, now_ms);
    }
    let reader = from.to_string();
    for weights in answer.weights {
        let SeenWeights { model, version, min_age_ms, max_age_ms, written } = weights;
        // The reads of a reader that has just started may all be later than those that former readers passed on.
        let known = written
            .map(|written| gateway.revision_times.lock().span_of(written))
            .unwrap_or_default();
        let passed_on_ms = max_age_ms.map(|age_ms| passed_on_confirmation(asked_ms, age_ms));
        let published = PublishedVersion {
            version,
            not_before_ms: passed_on_ms.max(known.not_before_ms),
            not_after_ms: passed_on_deadline(now_ms, min_age_ms),
            written,
        };
        gateway.change_publications(&model, &reader, |weights| weights.record(published));
    }
    let (Some(age_ms), Some(version)) = (confirmed_age_ms, answer.config_version) else { return };
    let confirmed_ms = passed_on_confirmation(asked_ms, age_ms);
    if config::version_in_force(gateway) >= Some(version) {
        gateway.confirm_keys(confirmed_ms);
        return;
    }
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let fetched = config::fetch(&gateway, version);
        if timeout(Duration::from_millis(ANSWER_EXPIRY_MS.get()), fetched).await.is_err() {
            log::warn!(version = version; "configuration named by a reader not read in time");
        }
        if config::version_in_force(&gateway) >= Some(version) {
            gateway.confirm_keys(confirmed_ms);
        }
    });
}
