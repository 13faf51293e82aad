//! Replays of a saturated pool through admission with fair shares, beside admission by the predicted first token alone.

use std::collections::BTreeMap;

use bilberryford_coord::{FairShares, ReturnSlot, ReturnState, ShareKey, ShareTag};
use bilberryford_gateway::{Admission, Contention, Forecast, UsageMessage, admit};
use bilberryford_types::TimeMs;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

const TEAMS: usize = 24;
const LARGE_TEAMS: usize = 3;
const ENGINES: usize = 8;
const TOKENS_PER_MS: u64 = 50;
/// Requests that arrive before this time are not counted: the queues fill.
const WARM_UP_MS: u64 = 6_000;
const END_MS: u64 = 36_000;
const REPORT_INTERVAL_MS: u64 = 400;
/// How long a caller waits that ignores the time in its refusal.
const IMPATIENT_MS: u64 = 20;

#[derive(Clone, Copy)]
struct RouteShape {
    name: &'static str,
    rank: u8,
    tokens: u64,
    target_ms: u64,
    timeout_ms: u64,
    /// Its part of the engine time in calm load, in percent.
    work_percent: u64,
}

const SHORT: RouteShape = RouteShape {
    name: "short",
    rank: 0,
    tokens: 2_400,
    target_ms: 400,
    timeout_ms: 3_000,
    work_percent: 40,
};
const LONG: RouteShape = RouteShape {
    name: "long",
    rank: 1,
    tokens: 12_000,
    target_ms: 1_500,
    timeout_ms: 15_000,
    work_percent: 60,
};
const ROUTES: [RouteShape; 2] = [SHORT, LONG];

/// A load: its parts in percent of the pool's capacity.
#[derive(Clone, Copy)]
struct Load {
    calm_percent: u64,
    /// The burst, and whose it is.
    burst_percent: u64,
    burst_team: Option<usize>,
    burst_route: Option<usize>,
    /// True if the callers of the burst's team retry at once.
    is_impatient: bool,
}

const CALM: Load = Load {
    calm_percent: 80,
    burst_percent: 0,
    burst_team: None,
    burst_route: None,
    is_impatient: false,
};
const TEAM_BURST: Load = Load { burst_percent: 60, burst_team: Some(0), ..CALM };
const IMPATIENT_BURST: Load = Load { is_impatient: true, ..TEAM_BURST };
const LONG_BURST: Load = Load { burst_percent: 60, burst_route: Some(1), ..CALM };
const SHORT_BURST: Load = Load { burst_percent: 60, burst_route: Some(0), ..CALM };

#[derive(Clone, Copy)]
struct Setup {
    has_shares: bool,
    instances: usize,
    lost_percent: u64,
}

const BEFORE: Setup = Setup { has_shares: false, instances: 1, lost_percent: 0 };
const ONE: Setup = Setup { has_shares: true, instances: 1, lost_percent: 0 };
const NINE: Setup = Setup { has_shares: true, instances: 9, lost_percent: 0 };
const NINE_ALONE: Setup = Setup { has_shares: true, instances: 9, lost_percent: 100 };

#[derive(Clone, Copy)]
struct Request {
    id: u64,
    team: usize,
    route: usize,
    tokens: u64,
    instance: usize,
    arrived_ms: u64,
    is_burst: bool,
}

/// The outcome of one request.
#[derive(Clone, Copy)]
struct Outcome {
    team: usize,
    route: usize,
    tokens: u64,
    is_burst: bool,
    is_refused: bool,
    /// True if its first token came within one and a half times the target latency of its admission.
    is_in_time: bool,
}

struct Engine {
    /// Rank, order, work and the request.
    queue: BTreeMap<(u8, u64), (u64, usize)>,
    running: Option<(u64, usize)>,
}

impl Engine {
    fn wait_ms(&self, rank: u8, now_ms: u64) -> u64 {
        let running = self.running.map_or(0, |(until_ms, _)| until_ms.saturating_sub(now_ms));
        let ahead = self.queue.range(..(rank + 1, 0)).map(|(_, (work_ms, _))| work_ms);
        running + ahead.sum::<u64>()
    }
}

struct Replay {
    setup: Setup,
    load: Load,
    rng: StdRng,
    engines: Vec<Engine>,
    instances: Vec<FairShares>,
    pending: BTreeMap<u64, Vec<Request>>,
    outcomes: Vec<Outcome>,
    admitted_ms: Vec<u64>,
    /// Returns at the promised time, and those of them that were admitted.
    due: (usize, usize),
    next_id: u64,
}

impl Replay {
    fn new(load: Load, setup: Setup) -> Self {
        let engine = |_| Engine { queue: BTreeMap::new(), running: None };
        Self {
            setup,
            load,
            rng: StdRng::seed_from_u64(11),
            engines: (0..ENGINES).map(engine).collect(),
            instances: (0..setup.instances).map(|_| FairShares::default()).collect(),
            pending: BTreeMap::new(),
            outcomes: Vec::new(),
            admitted_ms: Vec::new(),
            due: (0, 0),
            next_id: 0,
        }
    }

    fn run(mut self) -> Report {
        for now_ms in 0..END_MS {
            self.arrive(now_ms);
            let mut due = self.pending.remove(&now_ms).unwrap_or_default();
            due.drain(..).for_each(|request| self.ask(request, now_ms));
            self.work(now_ms);
            if self.setup.instances > 1 && now_ms % REPORT_INTERVAL_MS == 0 {
                self.exchange(now_ms);
            }
        }
        Report { outcomes: self.outcomes, due: self.due }
    }

    /// New requests of this millisecond.
    fn arrive(&mut self, now_ms: u64) {
        for (route, shape) in ROUTES.iter().enumerate() {
            let work_ms = (shape.tokens / TOKENS_PER_MS) as f64;
            let per_ms = |percent: u64| ENGINES as f64 * percent as f64 / 100.0 / work_ms;
            let calm = per_ms(self.load.calm_percent) * shape.work_percent as f64 / 100.0;
            let burst = match (self.load.burst_team, self.load.burst_route) {
                (_, Some(of)) => per_ms(self.load.burst_percent) * f64::from(of == route),
                _ => per_ms(self.load.burst_percent) * shape.work_percent as f64 / 100.0,
            };
            for (rate, is_burst) in [(calm, false), (burst, true)] {
                let mut left = rate;
                while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
                    self.arrive_one(route, is_burst, now_ms);
                    left -= 1.0;
                }
            }
        }
    }

    fn arrive_one(&mut self, route: usize, is_burst: bool, now_ms: u64) {
        // The large teams have four tenths of the calm load.
        let is_large = self.rng.random_range(0..10) < 4;
        let team = match self.load.burst_team {
            Some(team) if is_burst => team,
            _ if is_large => self.rng.random_range(0..LARGE_TEAMS),
            _ => self.rng.random_range(LARGE_TEAMS..TEAMS),
        };
        // Between a third and three times the usual length, with a mean of about one.
        let exponent: f64 = self.rng.random_range(-1.0..1.0);
        let tokens = (ROUTES[route].tokens as f64 * 3.0_f64.powf(exponent) * 0.824) as u64;
        let instance = self.rng.random_range(0..self.setup.instances);
        self.next_id += 1;
        let request = Request {
            id: self.next_id,
            team,
            route,
            tokens,
            instance,
            arrived_ms: now_ms,
            is_burst,
        };
        self.ask(request, now_ms);
    }

    fn ask(&mut self, request: Request, now_ms: u64) {
        let now = TimeMs(now_ms);
        let shape = &ROUTES[request.route];
        let work_ms = (request.tokens / TOKENS_PER_MS).max(1);
        let left_ms = (request.arrived_ms + shape.timeout_ms).saturating_sub(now_ms);
        let waits = self.engines.iter().map(|engine| engine.wait_ms(shape.rank, now_ms));
        let (engine, wait_ms) =
            waits.enumerate().min_by_key(|(_, wait_ms)| *wait_ms).expect("there is an engine");
        let mut forecast = Forecast {
            first_token_ms: TimeMs(wait_ms + work_ms),
            own_work_ms: TimeMs(work_ms),
            rank_per_mille: 1_000,
            waiting_tokens: wait_ms * TOKENS_PER_MS,
            left_ms: TimeMs(left_ms),
            timeout_ms: TimeMs(shape.timeout_ms),
            target_ms: TimeMs(shape.target_ms),
            is_continuation: false,
        };
        let share = ShareKey {
            rank: shape.rank,
            tag: ShareTag::new(&format!("team-{}", request.team), shape.name),
        };
        let shares = &mut self.instances[request.instance];
        let mut state = ReturnState::Unknown;
        let mut admission = admit(&forecast, None);
        if self.setup.has_shares {
            shares.set_engines(ENGINES as u64);
            forecast.rank_per_mille = shares.rank_per_mille(shape.rank, now);
            if forecast.is_late() {
                shares.record_pressure(now);
            }
            let standing = shares.decide(share, now);
            state = shares.take_return(request.id, now);
            let contention = standing
                .map(|decided| Contention { standing: decided.standing, return_state: state });
            admission = admit(&forecast, contention.as_ref());
            if let Admission::RetryAfter(after_ms) = &mut admission {
                if let ReturnState::Early { left_ms } = state {
                    *after_ms = left_ms.max(*after_ms);
                } else {
                    match state {
                        ReturnState::Unknown => shares.record_refused(share, work_ms, now),
                        _ => shares.record_pressure(now),
                    }
                    if standing.is_some() {
                        let longest_ms = forecast.longest_return_ms();
                        let slot = ReturnSlot { work_ms, backlog_ms: *after_ms, longest_ms };
                        *after_ms = shares.promise_return(request.id, share, &slot, now);
                    }
                }
            } else {
                shares.cancel_return(request.id);
                shares.record_used(share, work_ms, now);
            }
        }
        if state == ReturnState::Due {
            self.due.0 += 1;
            self.due.1 += usize::from(admission == Admission::Admitted);
        }
        match admission {
            Admission::Admitted => self.enqueue(engine, request, work_ms, now_ms),
            Admission::RetryAfter(after_ms) => self.refuse(request, after_ms.get(), now_ms),
        }
    }

    fn outcome(request: &Request, is_refused: bool) -> Outcome {
        Outcome {
            team: request.team,
            route: request.route,
            tokens: request.tokens,
            is_burst: request.is_burst,
            is_refused,
            is_in_time: false,
        }
    }

    fn enqueue(&mut self, engine: usize, request: Request, work_ms: u64, now_ms: u64) {
        let index = self.outcomes.len();
        let mut outcome = Self::outcome(&request, false);
        if request.arrived_ms < WARM_UP_MS {
            // It is served, and not counted.
            outcome.team = usize::MAX;
        }
        self.outcomes.push(outcome);
        self.admitted_ms.push(now_ms);
        let rank = ROUTES[request.route].rank;
        self.engines[engine].queue.insert((rank, index as u64), (work_ms, index));
    }

    fn refuse(&mut self, request: Request, after_ms: u64, now_ms: u64) {
        let is_impatient = self.load.is_impatient && Some(request.team) == self.load.burst_team;
        let after_ms = if is_impatient { IMPATIENT_MS } else { after_ms };
        let deadline_ms = request.arrived_ms + ROUTES[request.route].timeout_ms;
        let back_ms = now_ms + after_ms.max(1);
        let waits = is_impatient || after_ms * 3 <= deadline_ms - now_ms + 2;
        if waits && back_ms + 200 < deadline_ms {
            self.pending.entry(back_ms).or_default().push(request);
        } else if request.arrived_ms >= WARM_UP_MS {
            self.outcomes.push(Self::outcome(&request, true));
            self.admitted_ms.push(now_ms);
        }
    }

    fn work(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            if let Some((until_ms, index)) = engine.running {
                if until_ms > now_ms {
                    continue;
                }
                let outcome = &mut self.outcomes[index];
                let took_ms = now_ms - self.admitted_ms[index];
                let target_ms = ROUTES[outcome.route].target_ms;
                let work_ms = outcome.tokens / TOKENS_PER_MS;
                // A prompt whose own work takes longer than the target can't be in time otherwise.
                outcome.is_in_time = took_ms <= (target_ms * 3 / 2).max(target_ms + work_ms);
                engine.running = None;
            }
            if let Some((_, (work_ms, index))) = engine.queue.pop_first() {
                engine.running = Some((now_ms + work_ms, index));
            }
        }
    }

    fn exchange(&mut self, now_ms: u64) {
        let sequence = now_ms;
        let reports: Vec<_> = (0..self.instances.len())
            .map(|sender| self.instances[sender].report(1, sequence, TimeMs(now_ms)))
            .collect();
        for (sender, report) in reports.iter().enumerate() {
            let Some(report) = report else { continue };
            for receiver in (0..self.instances.len()).filter(|receiver| *receiver != sender) {
                if self.rng.random_range(0..100) >= self.setup.lost_percent {
                    let name = format!("instance-{sender}");
                    self.instances[receiver].apply_report(&name, report, TimeMs(now_ms));
                }
            }
        }
    }
}

struct Report {
    outcomes: Vec<Outcome>,
    due: (usize, usize),
}

impl Report {
    fn of(&self, is_counted: impl Fn(&Outcome) -> bool) -> Vec<Outcome> {
        let counted = self.outcomes.iter().filter(|outcome| outcome.team < TEAMS);
        counted.filter(|outcome| is_counted(outcome)).copied().collect()
    }

    /// The requests that were served in time, per thousand.
    fn served(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        let outcomes = self.of(is_counted);
        let in_time = outcomes.iter().filter(|outcome| outcome.is_in_time).count();
        in_time * 1_000 / outcomes.len().max(1)
    }

    /// The requests that were refused until their deadline, per thousand.
    fn refused(&self, is_counted: impl Fn(&Outcome) -> bool) -> usize {
        let outcomes = self.of(is_counted);
        let refused = outcomes.iter().filter(|outcome| outcome.is_refused).count();
        refused * 1_000 / outcomes.len().max(1)
    }

    fn all(&self) -> usize {
        self.served(|_| true)
    }

    fn team(&self, team: usize) -> usize {
        self.served(|outcome| outcome.team == team)
    }

    fn route(&self, route: usize) -> usize {
        self.served(|outcome| outcome.route == route)
    }

    fn small_teams(&self) -> usize {
        self.served(|outcome| outcome.team >= LARGE_TEAMS)
    }

    /// The largest tenth of a route's prompts, and the fifth below it.
    fn largest(&self, route: usize) -> [usize; 2] {
        let mut sizes: Vec<_> = self
            .of(|outcome| outcome.route == route)
            .iter()
            .map(|outcome| outcome.tokens)
            .collect();
        sizes.sort_unstable();
        let at = |percent: usize| sizes[sizes.len() * percent / 100];
        let (tenth, third) = (at(90), at(70));
        let of = |from: u64, to: u64| {
            self.served(|outcome| outcome.route == route && (from..to).contains(&outcome.tokens))
        };
        [of(tenth, u64::MAX), of(third, tenth)]
    }

    fn print(&self, name: &str) {
        let refused_small = self.refused(|outcome| outcome.team >= LARGE_TEAMS);
        let burst = self.served(|outcome| outcome.is_burst);
        let smallest = (0..TEAMS).map(|team| self.team(team)).min();
        println!(
            "{name}: all {} short {} long {} small teams {} (refused {refused_small}) worst team {smallest:?} \
             burst {burst} largest of short {:?} of long {:?} due {:?}",
            self.all(),
            self.route(0),
            self.route(1),
            self.small_teams(),
            self.largest(0),
            self.largest(1),
            self.due,
        );
    }
}

fn replay(name: &str, load: Load, setup: Setup) -> Report {
    let report = Replay::new(load, setup).run();
    report.print(name);
    report
}

/// A team with little demand must not be refused because of another team's burst, also if the burst's callers retry at
/// once.
#[rstest]
#[case::one_instance(TEAM_BURST, ONE)]
#[case::nine_instances(TEAM_BURST, NINE)]
#[case::callers_that_retry_at_once(IMPATIENT_BURST, ONE)]
#[case::callers_that_retry_at_once_at_nine_instances(IMPATIENT_BURST, NINE)]
fn small_teams_are_not_refused_in_another_teams_burst(#[case] load: Load, #[case] setup: Setup) {
    let fair = replay("fair", load, setup);
    assert_eq!(fair.refused(|outcome| outcome.team >= LARGE_TEAMS), 0);
}

/// Lost reports: without any, small teams are still served more often than without shares.
#[test]
fn small_teams_are_served_more_often_if_all_reports_are_lost() {
    let before = replay("before", TEAM_BURST, BEFORE);
    let fair = replay("fair", TEAM_BURST, NINE_ALONE);
    assert!(fair.small_teams() > before.small_teams());
}

/// Small teams must keep what they have without the burst of another team: their first tokens are in time.
#[rstest]
#[case::one_instance(TEAM_BURST, ONE)]
#[case::nine_instances(TEAM_BURST, NINE)]
#[case::callers_that_retry_at_once(IMPATIENT_BURST, ONE)]
#[case::callers_that_retry_at_once_at_nine_instances(IMPATIENT_BURST, NINE)]
fn small_teams_are_in_time_in_another_teams_burst(#[case] load: Load, #[case] setup: Setup) {
    let calm = replay("calm", CALM, setup);
    let fair = replay("fair", load, setup);
    assert!(fair.small_teams() + 20 >= calm.small_teams());
}

/// The bounds on how often each kind of request is served, in a burst of one team and of each route.
#[rstest]
fn no_team_route_or_size_is_starved(
    #[values(TEAM_BURST, IMPATIENT_BURST, LONG_BURST, SHORT_BURST)] load: Load,
    #[values(ONE, NINE)] setup: Setup,
) {
    replay("before", load, BEFORE);
    let fair = replay("fair", load, setup);
    for team in 0..TEAMS {
        assert!(fair.team(team) * 4 >= fair.all(), "team {team}: {}", fair.team(team));
    }
    for route in 0..ROUTES.len() {
        assert!(fair.route(route) * 4 >= fair.all(), "route {route}: {}", fair.route(route));
        for class in fair.largest(route) {
            assert!(class * 2 >= fair.route(route), "route {route}: {class}");
        }
    }
    assert!(fair.route(0) + 50 >= fair.route(1), "the more urgent route is served less");
}

/// Nothing is withheld: at least as much is served in time as by the predicted first token alone.
#[rstest]
fn the_time_of_the_pool_is_used(#[values(CALM, TEAM_BURST, LONG_BURST, SHORT_BURST)] load: Load) {
    let before = replay("before", load, BEFORE);
    let fair = replay("fair", load, ONE);
    assert!(fair.all() + 20 >= before.all());
}

/// A caller that comes back at the promised time has a place before new requests of its share.
#[rstest]
fn promised_returns_have_a_place(#[values(TEAM_BURST, LONG_BURST)] load: Load) {
    let fair = replay("fair", load, ONE);
    let (due, admitted) = fair.due;
    assert!(due > 100, "{due} returns");
    assert!(admitted * 100 >= due * 95, "{admitted} of {due} returns");
}

/// A report of all shares that it may list fits into one datagram, also with the largest numbers.
#[test]
fn a_full_report_fits_into_a_datagram() {
    let mut shares = FairShares::default();
    for number in 0..200 {
        let tag = ShareTag::new(&format!("team-{number}"), "route");
        shares.record_used(ShareKey { rank: 9, tag }, u64::from(u32::MAX), TimeMs(10_000));
        shares.record_refused(ShareKey { rank: 9, tag }, u64::from(u32::MAX), TimeMs(10_000));
    }
    let report = shares.report(u64::MAX, u64::from(u32::MAX), TimeMs(10_000)).expect("pressure");
    let pool = "a-pool-with-a-long-name".parse().expect("a name");
    let message = UsageMessage { instance: "an-instance-with-a-long-name".into(), pool, report };
    let bytes = postcard::to_stdvec(&message).expect("it can be encoded").len();
    assert!(bytes <= 1_392, "{bytes} bytes");
}
