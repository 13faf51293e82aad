//! Which endpoints may go on with a stream, and which build begins one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bilberryford_coord::{
    StreamKey, StreamKnowledge, StreamOrigin, UnconfirmedOrigin, covers_connection,
};
use bilberryford_types::{Build, EndpointId, PoolName, TimeMs};
use tokio::time::sleep;

use super::Gateway;
use crate::{
    controllers::{report_stream, report_unconfirmed_stream},
    deployment::Route,
    endpoints::EndpointRecord,
    local_state::{BuildStanding, LocalState},
    peer_loads::EndpointTag,
    placement::Candidate,
};

/// How often an engine is asked for the time of its start, and the time after which it is not asked again, in milliseconds: a
/// stream or a request waits for the answer.
const MAX_START_QUESTIONS: u32 = 4;
const START_QUESTIONS_MS: TimeMs = TimeMs(400);
/// The pauses between the questions to an engine that has begun a stream and does not state the start of its incarnation: the
/// first one, by which each is longer than the one before, and the longest.
const QUESTION_PAUSE_STEP: Duration = Duration::from_millis(50);
const MAX_QUESTION_PAUSE: Duration = Duration::from_secs(1);
/// How long it is asked, in milliseconds, unless a caller takes the stream up later.
const CONFIRMATION_MS: TimeMs = TimeMs(5_000);

/// An endpoint by its entry.
#[derive(Debug, Clone)]
pub(crate) struct ListedEndpoint {
    id: EndpointId,
    address: SocketAddr,
    incarnation: EndpointTag,
}

impl From<&Candidate> for ListedEndpoint {
    fn from(candidate: &Candidate) -> Self {
        let Candidate { id, address, incarnation, .. } = candidate;
        Self { id: id.clone(), address: *address, incarnation: *incarnation }
    }
}

/// Returns true if the state is that of the listed incarnation, and not of one that was listed since.
fn is_subject(state: &LocalState, id: &EndpointId, incarnation: EndpointTag) -> bool {
    EndpointTag::new(id.as_str(), state.started_ms) == incarnation
}

impl Gateway {
    /// Returns the service and the build of `origin`, if the route leads to the service and an endpoint of the build is
    /// ready.
    pub(crate) fn stream_home(
        &self,
        origin: StreamOrigin,
        route: &Route,
    ) -> Option<(PoolName, Build)> {
        let now_ms = self.clock.now();
        let endpoints = self.endpoints.lock();
        let local = self.local.lock();
        let is_refuted = |record: &EndpointRecord| {
            local.get(&record.id).is_some_and(|state| {
                state.started_ms == record.started_ms
                    && state.build_standing == BuildStanding::Refuted
            })
        };
        let record = endpoints.ready(now_ms).find(|record| {
            route.targets.iter().any(|target| target.service == record.service)
                && StreamOrigin::new(&record.service, &record.build) == origin
                && !is_refuted(record)
        })?;
        Some((record.service.clone(), record.build.clone()))
    }

    /// Records that a connection to an endpoint was lost, so that the endpoint may have started anew with another build.
    pub(crate) fn doubt_build(&self, endpoint: &EndpointId) {
        if let Some(state) = self.local.lock().get_mut(endpoint)
            && state.build_standing == BuildStanding::AsListed
        {
            state.build_standing = BuildStanding::Doubtful;
        }
    }

    /// Returns true if the build in the candidate's entry is that of what answers on a connection of `opened_ms`, by the
    /// endpoint's own word. Entries may be older than their endpoints; those of services without engines count.
    fn is_build_certain(
        &self,
        candidate: &Candidate,
        service: &PoolName,
        opened_ms: TimeMs,
    ) -> bool {
        if !self.has_engines(service) {
            return true;
        }
        let local = self.local.lock();
        local.get(&candidate.id).is_some_and(|state| {
            is_subject(state, &candidate.id, candidate.incarnation)
                && state.build_standing == BuildStanding::AsListed
                && covers_connection(state.build_confirmed_ms, opened_ms)
        })
    }

    /// Asks an engine whether it is the incarnation that its entry describes. Returns the standing of its build, which is in
    /// doubt if it does not say.
    ///
    /// An endpoint ends but once, so that the answer holds for all connections that were opened before and still serve.
    /// Endpoints of services without engines make no reports; their entries count.
    pub(crate) async fn confirm_build(
        &self,
        endpoint: &ListedEndpoint,
        service: &PoolName,
    ) -> BuildStanding {
        if !self.has_engines(service) {
            return BuildStanding::AsListed;
        }
        let Some((asked_ms, started_ms)) = self.ask_for_start(endpoint).await else {
            return BuildStanding::Doubtful;
        };
        let is_listed = EndpointTag::new(endpoint.id.as_str(), started_ms) == endpoint.incarnation;
        let standing = if is_listed { BuildStanding::AsListed } else { BuildStanding::Refuted };
        let before = self.set_build_standing(endpoint, standing, asked_ms);
        if !is_listed && before != Some(BuildStanding::Refuted) {
            log::warn!(
                target: "belief", endpoint:% = endpoint.id, listed:% = endpoint.incarnation,
                started:% = started_ms;
                "endpoint is another incarnation than its entry; its build is unknown"
            );
        }
        standing
    }

    /// Asks an engine for the time of its start, again if its report is lost or garbled. Returns it after the time of the
    /// question; none if the engine does not say.
    async fn ask_for_start(&self, endpoint: &ListedEndpoint) -> Option<(TimeMs, TimeMs)> {
        let first_asked_ms = self.clock.now();
        let mut questions = 0;
        while questions < MAX_START_QUESTIONS {
            let asked_ms = self.clock.now();
            if asked_ms.since(first_asked_ms) >= START_QUESTIONS_MS {
                break;
            }
            questions += 1;
            let report = self.orders.report(endpoint.address, &endpoint.id).await;
            if let Some(started_ms) = report.and_then(|report| report.started_ms) {
                return Some((asked_ms, started_ms));
            }
        }
        log::info!(
            target: "belief", endpoint:% = endpoint.id, incarnation:% = endpoint.incarnation,
            questions = questions, took_ms = self.clock.now().since(first_asked_ms).get();
            "endpoint does not state its incarnation"
        );
        None
    }

    /// Sets the standing of an incarnation's build by its word of `asked_ms`, and returns the one before; none if another
    /// one is listed by now.
    fn set_build_standing(
        &self,
        endpoint: &ListedEndpoint,
        standing: BuildStanding,
        asked_ms: TimeMs,
    ) -> Option<BuildStanding> {
        let mut local = self.local.lock();
        let state = local.get_mut(&endpoint.id)?;
        if !is_subject(state, &endpoint.id, endpoint.incarnation) {
            return None;
        }
        state.build_confirmed_ms = (standing == BuildStanding::AsListed).then_some(asked_ms);
        Some(std::mem::replace(&mut state.build_standing, standing))
    }

    pub(crate) fn has_engines(&self, service: &PoolName) -> bool {
        let deployment = self.deployment.load();
        let service = deployment.as_ref().and_then(|deployment| deployment.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Records that the candidate begins a stream. One of which the build is not certain is unconfirmed until its endpoint has
    /// stated its incarnation, and can't be taken up before.
    pub(crate) fn record_stream_beginning(
        self: &Arc<Self>,
        key: StreamKey,
        candidate: &Candidate,
        service: &PoolName,
        opened_ms: TimeMs,
    ) {
        let Some(build) = &candidate.build else { return };
        let origin = StreamOrigin::new(service, build);
        self.metrics.record_stream("begun");
        if self.is_build_certain(candidate, service, opened_ms) {
            return report_stream(self, key, origin);
        }
        let unconfirmed = UnconfirmedOrigin { origin, incarnation: candidate.incarnation };
        report_unconfirmed_stream(self, key, unconfirmed);
        self.confirm_stream(key, unconfirmed);
    }

    /// Asks the endpoint that began a stream for its incarnation until it states one, and records the stream if that is the
    /// one in its entry. The listed incarnation was there before the stream, so that a later word holds for it as well.
    pub(crate) fn confirm_stream(
        self: &Arc<Self>,
        key: StreamKey,
        unconfirmed: UnconfirmedOrigin<EndpointTag>,
    ) {
        if !self.confirming_streams.lock().insert(key) {
            return;
        }
        let gateway = self.clone();
        tokio::spawn(async move {
            let standing = gateway.ask_until_stated(&key, unconfirmed.incarnation).await;
            match standing {
                Some(BuildStanding::AsListed) => report_stream(&gateway, key, unconfirmed.origin),
                Some(BuildStanding::Refuted) => gateway.unconfirmed_streams.lock().refute(&key),
                Some(BuildStanding::Doubtful) | None => {}
            }
            gateway.confirming_streams.lock().remove(&key);
            gateway.inquiry_answered.notify_waiters();
            if let Some(standing) = standing.filter(|of| *of != BuildStanding::AsListed) {
                gateway.metrics.record_stream("begun_unconfirmed");
                log::info!(
                    target: "belief", stream:% = key, incarnation:% = unconfirmed.incarnation,
                    standing = <&'static str>::from(standing);
                    "stream can't be taken up: the build that began it is not certain"
                );
            }
        });
    }

    /// Requests the start time of an incarnation until the endpoint reports one or [`CONFIRMATION_MS`] has passed. Returns none
    /// if a peer has confirmed the stream meanwhile, so that there is nothing to report.
    async fn ask_until_stated(
        &self,
        key: &StreamKey,
        incarnation: EndpointTag,
    ) -> Option<BuildStanding> {
        let until_ms = self.clock.now().after(CONFIRMATION_MS);
        let mut pause = QUESTION_PAUSE_STEP;
        loop {
            let standing = match self.listed_incarnation(incarnation) {
                Some((listed, service)) => self.confirm_build(&listed, &service).await,
                None => BuildStanding::Doubtful,
            };
            let now_ms = self.clock.now();
            let is_known = self.streams.lock().knowledge(key, now_ms) != StreamKnowledge::Unknown;
            if is_known {
                return None;
            }
            if standing != BuildStanding::Doubtful || now_ms >= until_ms {
                return Some(standing);
            }
            sleep(pause).await;
            pause = (pause + QUESTION_PAUSE_STEP).min(MAX_QUESTION_PAUSE);
        }
    }

    /// The endpoint whose entry describes `incarnation`, with its service.
    fn listed_incarnation(&self, incarnation: EndpointTag) -> Option<(ListedEndpoint, PoolName)> {
        let endpoints = self.endpoints.lock();
        let id = endpoints.id_of(incarnation)?;
        let record = endpoints.get(&id)?;
        let (address, service) = (record.address, record.service.clone());
        Some((ListedEndpoint { id, address, incarnation }, service))
    }
}
