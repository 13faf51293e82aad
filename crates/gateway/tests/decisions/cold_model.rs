//! A cold endpoint, over all instances together. A simulated fleet has far more requests for an endpoint than it tolerates
//! while it is cold. The endpoint crashes with requests in flight and comes back under its id and address; its entries
//! arrive up to 3 s late; datagrams are lost and delayed; instances are frozen, restarted and started.

use std::collections::VecDeque;

use bilberryford_coord::SharePlace;
use bilberryford_gateway::{
    CircuitState, ColdEndpoints, ColdEvidence, ColdLimit, ColdReport, ColdSource, EndpointHealth,
    EndpointLimits, EndpointTag, LimitContext, LimitReport, LimitSharers, report_interval_ms,
};
use bilberryford_types::{RequestRate, TimeMs};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

const STEP_MS: u64 = 5;
const COLD_MS: u64 = 3_000;
/// The limit is half of the bound: 10 requests a second, one and a half times, and 5 more.
const LIMIT: ColdLimit = ColdLimit { rate: RequestRate::per_s(10), lasts_ms: TimeMs(COLD_MS) };
const BOUND: usize = 20;
const WINDOW_MS: u64 = 1_000;
const URGENT_INTERVAL_MS: u64 = 20;
const LIVENESS_MS: u64 = 3_000;
const ACQUAINTANCE_MS: u64 = 2_000;
const MAX_ENTRY_DELAY_MS: u64 = 3_000;
/// The idle time within which a closed connection shows the end of its endpoint.
const MAX_POOLED_MS: u64 = 1_500;
const CRASH_INTERVAL_MS: u64 = 20_000;

#[derive(Clone, Copy)]
struct Network {
    loss_percent: u32,
    max_delay_ms: u64,
    /// How long the endpoint is down.
    down_ms: (u64, u64),
}

const CALM: Network = Network { loss_percent: 1, max_delay_ms: 5, down_ms: (100, 2_000) };
const LOSSY: Network = Network { loss_percent: 20, max_delay_ms: 200, down_ms: (500, 4_000) };

#[derive(Default)]
struct Instance {
    limits: EndpointLimits,
    cold: ColdEndpoints,
    health: EndpointHealth,
    /// The listed incarnation; none before the first list.
    listed: Option<u64>,
    received_ms: Vec<Option<u64>>,
    started_ms: u64,
    stopped_until_ms: u64,
    /// The time of the last response, and the incarnation to which its connection leads.
    pooled: Option<(u64, u64)>,
    /// The end of a time without messages from and to other instances.
    cut_until_ms: u64,
    next_report_ms: u64,
    next_urgent_ms: u64,
}

struct Sharers<'a> {
    own: usize,
    received_ms: &'a [Option<u64>],
    started_ms: u64,
    order: &'a [u64],
    interval_ms: u64,
    now_ms: u64,
}

impl Sharers<'_> {
    fn is_newcomer(&self) -> bool {
        self.now_ms - self.started_ms < ACQUAINTANCE_MS.max(5 * self.interval_ms)
    }
}

impl LimitSharers for Sharers<'_> {
    fn place(&self, _: EndpointTag, takes_part: &dyn Fn(&str) -> bool) -> Option<SharePlace> {
        if self.is_newcomer() {
            return None;
        }
        let liveness_ms = LIVENESS_MS.max(3 * self.interval_ms);
        let is_live = |at: usize| {
            self.received_ms[at].is_some_and(|received_ms| self.now_ms - received_ms < liveness_ms)
        };
        let others = || {
            (0..self.order.len())
                .filter(|&at| at != self.own && is_live(at))
                .filter(|&at| takes_part(&name(at)))
        };
        let rank = others().filter(|&at| self.order[at] < self.order[self.own]).count();
        Some(SharePlace::new(rank as u64, others().count() as u64 + 1))
    }

    fn listed_instances(&self) -> u64 {
        self.order.len() as u64
    }

    fn report_interval_ms(&self) -> TimeMs {
        TimeMs(self.interval_ms)
    }
}

fn name(at: usize) -> String {
    format!("front-{at}")
}

fn incarnation_tag(incarnation: u64) -> EndpointTag {
    EndpointTag::new("engine", TimeMs(incarnation))
}

fn endpoint_tag() -> EndpointTag {
    EndpointTag::of_endpoint("engine")
}

enum Event {
    Message { from: usize, to: usize, limits: Vec<LimitReport>, cold: Vec<ColdReport> },
    Response { to: usize, started_ms: u64, sent_ms: u64 },
    Lost { to: usize, started_ms: u64, incarnation: u64 },
    Entry { to: usize, started_ms: u64, incarnation: u64, left_ms: u64 },
}

impl Event {
    fn to(&self) -> usize {
        let (Self::Message { to, .. }
        | Self::Response { to, .. }
        | Self::Lost { to, .. }
        | Self::Entry { to, .. }) = self;
        *to
    }
}

struct InFlight {
    from: usize,
    started_ms: u64,
    sent_ms: u64,
    ends_ms: u64,
}

struct Fleet {
    instances: Vec<Instance>,
    order: Vec<u64>,
    network: Network,
    events: VecDeque<Vec<Event>>,
    random: StdRng,
    now_ms: u64,
    interval_ms: u64,
    incarnation: u64,
    /// The start of the present incarnation; later than now while the endpoint is down.
    up_ms: u64,
    in_flight: Vec<InFlight>,
    arrived_ms: VecDeque<u64>,
    /// The requests that the endpoint got while it was cold, and the milliseconds of its cold periods.
    cold_requests: u64,
    cold_ms: u64,
    worst: usize,
    served: u64,
}

impl Fleet {
    fn new(instances: usize, network: Network, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let interval_ms = report_interval_ms(instances - 1).get();
        let now_ms = 100_000;
        let fleet = (0..instances)
            .map(|_| Instance {
                listed: Some(1),
                received_ms: vec![Some(now_ms); instances],
                next_report_ms: now_ms + random.random_range(0..interval_ms),
                ..Instance::default()
            })
            .collect();
        let order = (0..instances).map(|_| random.random()).collect();
        Self {
            instances: fleet,
            order,
            network,
            events: VecDeque::new(),
            random,
            now_ms,
            interval_ms,
            incarnation: 1,
            up_ms: 0,
            in_flight: Vec::new(),
            arrived_ms: VecDeque::new(),
            cold_requests: 0,
            cold_ms: 0,
            worst: 0,
            served: 0,
        }
    }

    fn is_cold(&self) -> bool {
        self.now_ms >= self.up_ms && self.now_ms - self.up_ms < COLD_MS && self.up_ms > 0
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        let step = (after_ms / STEP_MS) as usize;
        while self.events.len() <= step {
            self.events.push_back(Vec::new());
        }
        self.events[step].push(event);
    }

    fn with_cold<T>(
        &mut self,
        at: usize,
        work: impl FnOnce(&mut ColdEndpoints, &mut LimitContext<'_, Sharers<'_>>) -> T,
    ) -> T {
        let instance = &mut self.instances[at];
        let sharers = Sharers {
            own: at,
            received_ms: &instance.received_ms,
            started_ms: instance.started_ms,
            order: &self.order,
            interval_ms: self.interval_ms,
            now_ms: self.now_ms,
        };
        let (limits, now_ms) = (&mut instance.limits, TimeMs(self.now_ms));
        work(&mut instance.cold, &mut LimitContext { limits, sharers: &sharers, now_ms })
    }

    fn record(&mut self, at: usize, incarnation: u64, cold_for_ms: u64, source: ColdSource) {
        let evidence = ColdEvidence {
            endpoint: endpoint_tag(),
            incarnation: incarnation_tag(incarnation),
            cold_for_ms: TimeMs(cold_for_ms),
            source,
        };
        self.with_cold(at, |cold, context| cold.record(&evidence, LIMIT, context));
    }

    fn suspect(&mut self, at: usize, is_certain: bool, source: ColdSource) {
        let now_ms = TimeMs(self.now_ms);
        self.instances[at].health.record_failure(now_ms, is_certain);
        if let Some(incarnation) = self.instances[at].listed {
            self.record(at, incarnation, 0, source);
        }
    }

    fn deliver(&mut self) {
        for event in self.events.pop_front().unwrap_or_default() {
            let to = event.to();
            if self.now_ms < self.instances[to].stopped_until_ms {
                let rest_ms = self.instances[to].stopped_until_ms - self.now_ms;
                self.schedule(rest_ms, event);
                continue;
            }
            let process_ms = self.instances[to].started_ms;
            match event {
                Event::Message { from, to, limits: limit_reports, cold: reports } => {
                    let is_cut = |at: usize| self.now_ms < self.instances[at].cut_until_ms;
                    if is_cut(from) || is_cut(to) {
                        continue;
                    }
                    self.instances[to].received_ms[from] = Some(self.now_ms);
                    let incarnation = self.instances[to].listed;
                    self.with_cold(to, |cold, context| {
                        let listed =
                            incarnation.map(|incarnation| (incarnation_tag(incarnation), LIMIT));
                        let is_newcomer = context.sharers.is_newcomer();
                        for report in &reports {
                            cold.apply_report(report, listed, is_newcomer, context);
                        }
                        let LimitContext { limits, sharers, now_ms } = context;
                        for report in &limit_reports {
                            limits.apply_report(&name(from), report, *sharers, *now_ms);
                        }
                    });
                }
                Event::Response { to, started_ms, sent_ms } if started_ms == process_ms => {
                    self.instances[to].health.record_success();
                    self.instances[to].pooled = Some((self.now_ms, self.incarnation));
                    self.with_cold(to, |cold, context| {
                        cold.record_response(endpoint_tag(), TimeMs(sent_ms), context)
                    });
                }
                // A request to an incarnation that is no longer listed says nothing of the listed one.
                Event::Lost { to, started_ms, incarnation }
                    if started_ms == process_ms
                        && self.instances[to]
                            .listed
                            .is_some_and(|listed| listed <= incarnation) =>
                {
                    self.suspect(to, false, ColdSource::ConnectionLost);
                }
                Event::Entry { to, started_ms, incarnation, left_ms }
                    if started_ms == process_ms
                        && self.instances[to].listed.is_none_or(|listed| listed <= incarnation) =>
                {
                    if self.instances[to].listed != Some(incarnation) {
                        self.instances[to].health = EndpointHealth::default();
                    }
                    self.instances[to].listed = Some(incarnation);
                    self.record(to, incarnation, left_ms, ColdSource::Entry);
                }
                _ => {}
            }
        }
    }

    /// The store's entry, as each instance sees it after a delay.
    fn write_entry(&mut self, left_ms: u64) {
        for to in 0..self.instances.len() {
            let started_ms = self.instances[to].started_ms;
            let incarnation = self.incarnation;
            let delay_ms = self.random.random_range(0..=MAX_ENTRY_DELAY_MS);
            self.schedule(delay_ms, Event::Entry { to, started_ms, incarnation, left_ms });
        }
    }

    fn run_endpoint(&mut self) {
        if self.now_ms.is_multiple_of(CRASH_INTERVAL_MS) {
            let (shortest_ms, longest_ms) = self.network.down_ms;
            self.up_ms =
                self.now_ms + self.random.random_range(shortest_ms..longest_ms) / STEP_MS * STEP_MS;
            for request in std::mem::take(&mut self.in_flight) {
                let InFlight { from: to, started_ms, .. } = request;
                let incarnation = self.incarnation;
                self.schedule(1, Event::Lost { to, started_ms, incarnation });
            }
            self.incarnation += 1;
        }
        if self.now_ms == self.up_ms {
            self.arrived_ms.clear();
            self.write_entry(COLD_MS);
        } else if self.up_ms > 0 && self.now_ms == self.up_ms + COLD_MS {
            self.write_entry(0);
        }
        let now_ms = self.now_ms;
        let (ended, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|one| one.ends_ms <= now_ms);
        self.in_flight = rest;
        let ended: Vec<InFlight> = ended;
        for InFlight { from: to, started_ms, sent_ms, .. } in ended {
            self.schedule(0, Event::Response { to, started_ms, sent_ms });
        }
    }

    fn send_messages(&mut self, from: usize) {
        let now_ms = self.now_ms;
        let is_periodic = now_ms >= self.instances[from].next_report_ms;
        let is_urgent = self.instances[from].cold.is_report_due()
            && now_ms >= self.instances[from].next_urgent_ms;
        if !is_periodic && !is_urgent {
            return;
        }
        self.instances[from].next_urgent_ms = now_ms + URGENT_INTERVAL_MS;
        let (cold, limits) = self.with_cold(from, |cold, context| {
            cold.update(|_| true, context);
            let LimitContext { limits, sharers, now_ms } = context;
            let mut reports = Vec::new();
            if is_periodic {
                limits.refresh(*sharers, |_| true, *now_ms);
                reports = limits.take_reports(true, *now_ms);
            }
            (cold.take_reports(is_periodic, *now_ms), reports)
        });
        if is_periodic {
            self.instances[from].next_report_ms = now_ms + self.interval_ms;
        }
        for to in (0..self.instances.len()).filter(|&to| to != from) {
            if self.random.random_range(0..100) >= self.network.loss_percent {
                let delay_ms = self.random.random_range(1..=self.network.max_delay_ms);
                let (limits, cold) = (limits.clone(), cold.clone());
                self.schedule(delay_ms, Event::Message { from, to, limits, cold });
            }
        }
    }

    fn request(&mut self, from: usize) {
        let now_ms = TimeMs(self.now_ms);
        let instance = &mut self.instances[from];
        let circuit = instance.health.circuit(now_ms);
        if circuit == CircuitState::Open
            || instance.listed.is_none()
            || instance.limits.next_ms(endpoint_tag(), now_ms) > now_ms
        {
            return;
        }
        if self.now_ms < self.up_ms {
            self.suspect(from, true, ColdSource::CircuitOpened);
            return;
        }
        let is_closed = |(at_ms, incarnation): (u64, u64)| {
            incarnation != self.incarnation && self.now_ms - at_ms < MAX_POOLED_MS
        };
        if instance.pooled.take_if(|pooled| is_closed(*pooled)).is_some()
            && let Some(incarnation) = instance.listed.filter(|listed| *listed < self.incarnation)
        {
            self.record(from, incarnation, 0, ColdSource::ConnectionLost);
            return;
        }
        if !instance.limits.try_take(endpoint_tag(), now_ms) {
            return;
        }
        if circuit == CircuitState::HalfOpen {
            instance.health.start_trial();
        }
        let started_ms = instance.started_ms;
        self.served += 1;
        self.arrived_ms.push_back(self.now_ms);
        self.cold_requests += u64::from(self.is_cold());
        let ends_ms = self.now_ms + self.random.random_range(5..400);
        self.in_flight.push(InFlight { from, started_ms, sent_ms: self.now_ms, ends_ms });
    }

    fn check(&mut self) {
        let now_ms = self.now_ms;
        while self.arrived_ms.front().is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms) {
            self.arrived_ms.pop_front();
        }
        if self.is_cold() {
            self.cold_ms += STEP_MS;
            self.worst = self.worst.max(self.arrived_ms.len());
        }
    }

    fn fault(&mut self) {
        let at = self.random.random_range(0..self.instances.len());
        let for_ms = self.random.random_range(500..6_000);
        let fault = self.random.random_range(0..3);
        let instance = &mut self.instances[at];
        if fault == 0 {
            instance.cut_until_ms = self.now_ms + for_ms;
            return;
        }
        instance.stopped_until_ms = instance.stopped_until_ms.max(self.now_ms + for_ms);
        if fault == 1 {
            self.restart(at);
        }
    }

    /// The process is killed, and another one starts that knows nothing.
    fn restart(&mut self, at: usize) {
        let started_ms = self.instances[at].stopped_until_ms.max(self.now_ms + 500);
        self.in_flight.retain(|request| request.from != at);
        for events in &mut self.events {
            events.retain(|event| event.to() != at);
        }
        self.instances[at] = Instance {
            received_ms: vec![None; self.instances.len()],
            started_ms,
            stopped_until_ms: started_ms,
            next_report_ms: started_ms,
            ..Instance::default()
        };
        // The first list may be as late as other entries. It lacks a restart that was written or seen later.
        let listed_ms = started_ms + self.random.random_range(10..300);
        let seen_ms = self.up_ms + self.random.random_range(0..=MAX_ENTRY_DELAY_MS);
        let (incarnation, left_ms) = match listed_ms {
            _ if self.up_ms == 0 => (self.incarnation, 0),
            _ if listed_ms < seen_ms => (self.incarnation - 1, 0),
            _ => (self.incarnation, (self.up_ms + COLD_MS).saturating_sub(listed_ms)),
        };
        let delay_ms = listed_ms - self.now_ms;
        self.schedule(delay_ms, Event::Entry { to: at, started_ms, incarnation, left_ms });
        if listed_ms < seen_ms && self.up_ms > 0 {
            let (incarnation, left_ms) = (self.incarnation, COLD_MS);
            let event = Event::Entry { to: at, started_ms, incarnation, left_ms };
            self.schedule(seen_ms - self.now_ms, event);
        }
    }

    fn play(&mut self, for_ms: u64, per_s: u64, faults_every_ms: Option<u64>) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.run_endpoint();
            self.deliver();
            if faults_every_ms.is_some_and(|every_ms| self.now_ms.is_multiple_of(every_ms)) {
                self.fault();
            }
            for at in 0..self.instances.len() {
                if self.now_ms >= self.instances[at].stopped_until_ms {
                    self.send_messages(at);
                }
            }
            let due_milli = per_s * STEP_MS;
            let requests = due_milli / 1_000
                + u64::from(self.random.random_range(0..1_000) < due_milli % 1_000);
            for _ in 0..requests {
                let at = self.random.random_range(0..self.instances.len());
                if self.now_ms >= self.instances[at].stopped_until_ms {
                    self.request(at);
                }
            }
            self.check();
            self.now_ms += STEP_MS;
        }
    }

    /// The share of the limit that was used in cold periods, in percent.
    fn used_percent(&self) -> u64 {
        let allowed = LIMIT.rate.milli_per_s() * self.cold_ms / 1_000_000;
        100 * self.cold_requests / allowed.max(1)
    }
}

/// Guards against the crash of an endpoint that comes back while many instances have requests for it.
#[rstest]
#[case::calm_3(3, CALM, None)]
#[case::calm_9(9, CALM, None)]
#[case::calm_31(31, CALM, None)]
#[case::calm_91(91, CALM, None)]
#[case::calm_300(300, CALM, None)]
#[case::lossy_9(9, LOSSY, None)]
#[case::lossy_31(31, LOSSY, None)]
#[case::lossy_91(91, LOSSY, None)]
#[case::faults_3(3, CALM, Some(2_000))]
#[case::faults_9(9, CALM, Some(1_000))]
#[case::faults_31(31, CALM, Some(500))]
#[case::faults_91(91, CALM, Some(200))]
#[case::faults_and_loss_91(91, LOSSY, Some(200))]
#[case::faults_300(300, CALM, Some(100))]
fn a_cold_endpoint_gets_no_more_than_its_bound(
    #[case] instances: usize,
    #[case] network: Network,
    #[case] faults_every_ms: Option<u64>,
) {
    let seeds = match instances {
        0..=40 => 8,
        41..=100 => 3,
        _ => 1,
    };
    let mut worst = (0, 0);
    let mut used_percent = Vec::new();
    for seed in 0..seeds {
        let mut fleet = Fleet::new(instances, network, seed);
        fleet.play(65_000, 400, faults_every_ms);
        worst = worst.max((fleet.worst, seed));
        used_percent.push(fleet.used_percent());
    }
    println!("{instances} instances: {worst:?} in a second; used {used_percent:?} percent");
    assert!(worst.0 <= BOUND, "{} requests in a second with seed {}", worst.0, worst.1);
}
