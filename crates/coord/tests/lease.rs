//! Leases: tables of the single steps, and a simulation in which holders pause and the platform loses and delays.

use std::collections::BTreeMap;

use bilberryford_coord::{
    AcquireOutcome, Held, Lease, LeaseHolder, LeaseObject, LeaseRecord, LeaseTerms, LeaseUpdate,
    LeaseWriteOutcome, RenewalOutcome, WatchOutcome, Watching,
};
use bilberryford_types::{Fencing, Incarnation, ObjectVersion, TimeMs};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;

const TERMS: LeaseTerms = LeaseTerms::new(TimeMs(4_000), TimeMs(500));

fn holder(name: &str) -> LeaseHolder {
    LeaseHolder { instance: name.parse().unwrap(), incarnation: Incarnation(1) }
}

fn object(version: u64, name: Option<&str>, fencing: u64) -> LeaseObject {
    let record = LeaseRecord {
        holder: name.map(holder),
        fencing: Fencing(fencing),
        duration_ms: TERMS.duration,
    };
    LeaseObject { version: ObjectVersion(version), record }
}

fn watching(name: &str) -> Lease<Watching> {
    Lease::new(holder(name), TERMS)
}

fn held(name: &str, now: u64) -> Lease<Held> {
    let WatchOutcome::Acquire { lease, .. } = watching(name).observe(None, TimeMs(now)) else {
        panic!("an absent lease is free");
    };
    let AcquireOutcome::Held(lease) = lease.on_write(LeaseWriteOutcome::Applied(ObjectVersion(1)))
    else {
        panic!("a taken write holds");
    };
    lease
}

#[rstest]
#[case::absent(None, Some(1))]
#[case::released(Some(object(3, None, 7)), Some(8))]
#[case::own_and_not_held(Some(object(3, Some("a"), 7)), Some(8))]
#[case::held_by_another(Some(object(3, Some("b"), 7)), None)]
fn the_first_read_takes_only_what_is_free(
    #[case] found: Option<LeaseObject>,
    #[case] fencing: Option<u64>,
) {
    let taken = match watching("a").observe(found.as_ref(), TimeMs(10)) {
        WatchOutcome::Acquire { update, .. } => Some(update.record.fencing.get()),
        WatchOutcome::Wait { .. } => None,
    };
    assert_eq!(taken, fencing);
}

#[rstest]
#[case::unchanged_for_the_duration(&[(0, 3), (4_000, 3)], true)]
#[case::a_moment_less(&[(0, 3), (3_999, 3)], false)]
#[case::renewed_between(&[(0, 3), (3_000, 4), (4_000, 4)], false)]
#[case::renewed_then_silent(&[(0, 3), (3_000, 4), (7_000, 4)], true)]
fn another_takes_over_only_what_stayed_unchanged(
    #[case] reads: &[(u64, u64)],
    #[case] is_taken: bool,
) {
    let mut lease = watching("a");
    for (index, (now, version)) in reads.iter().enumerate() {
        match lease.observe(Some(&object(*version, Some("b"), 7)), TimeMs(*now)) {
            WatchOutcome::Wait { lease: waiting, .. } => lease = waiting,
            WatchOutcome::Acquire { .. } => {
                assert!(is_taken && index + 1 == reads.len());
                return;
            }
        }
    }
    assert!(!is_taken);
}

#[rstest]
#[case::at_once_where_numbers_are_checked(1_000, true, true)]
#[case::an_earlier_holder_may_have_an_order_under_way(1_499, false, false)]
#[case::after_the_longest_order(1_500, false, true)]
#[case::the_order_ends_in_time(3_500, true, true)]
#[case::the_order_would_end_too_late(3_501, true, false)]
#[case::woken_after_the_end(60_000, true, false)]
fn a_permit_is_given_only_when_the_order_ends_in_time(
    #[case] now: u64,
    #[case] is_fenced: bool,
    #[case] is_given: bool,
) {
    assert_eq!(held("a", 1_000).permit(TimeMs(now), is_fenced).is_some(), is_given);
}

#[rstest]
#[case::own_write_found(Some(object(9, Some("a"), 1)), true)]
#[case::not_there(None, false)]
#[case::another_was_first(Some(object(9, Some("b"), 1)), false)]
fn a_lost_answer_of_taking_is_read_back(#[case] found: Option<LeaseObject>, #[case] is_held: bool) {
    let WatchOutcome::Acquire { lease, .. } = watching("a").observe(None, TimeMs(0)) else {
        panic!()
    };
    let AcquireOutcome::ReadBack(lease) = lease.on_write(LeaseWriteOutcome::Unknown) else {
        panic!()
    };
    assert_eq!(matches!(lease.on_read_back(found.as_ref()), AcquireOutcome::Held(_)), is_held);
}

#[rstest]
#[case::taken(LeaseWriteOutcome::Applied(ObjectVersion(2)), None, Some(4_500))]
#[case::lost_and_landed(LeaseWriteOutcome::Unknown, Some(object(2, Some("a"), 1)), Some(4_500))]
#[case::lost_and_not_landed(LeaseWriteOutcome::Unknown, Some(object(1, Some("a"), 1)), Some(3_000))]
#[case::an_earlier_renewal_landed(
    LeaseWriteOutcome::Conflict,
    Some(object(2, Some("a"), 1)),
    Some(4_500)
)]
#[case::another_took_over(LeaseWriteOutcome::Conflict, Some(object(2, Some("b"), 2)), None)]
#[case::deleted(LeaseWriteOutcome::Conflict, None, None)]
fn a_renewal_counts_from_before_its_call(
    #[case] result: LeaseWriteOutcome,
    #[case] found: Option<LeaseObject>,
    #[case] stops_at: Option<u64>,
) {
    let (lease, _) = held("a", 0).renew(TimeMs(1_500)).unwrap();
    let renewal = match lease.on_renewal(result, TimeMs(2_000)) {
        RenewalOutcome::ReadBack(lease) => lease.reconcile(found.as_ref(), TimeMs(2_500)),
        other => other,
    };
    let found = match renewal {
        RenewalOutcome::Held(lease) => Some(lease.stops_at().get()),
        RenewalOutcome::Lost(_) | RenewalOutcome::ReadBack(_) => None,
    };
    assert_eq!(found, stops_at);
}

#[test]
fn a_paused_holder_can_neither_renew_nor_act() {
    assert!(held("a", 0).renew(TimeMs(3_000)).is_err());
    assert!(held("a", 0).permit(TimeMs(3_000), true).is_none());
}

/// One act under a permit, in the simulation's own time.
#[derive(Debug)]
struct Act {
    fencing: Fencing,
    from: u64,
    to: u64,
}

/// What an agent waits for.
#[derive(Debug)]
enum Step {
    Look,
    Looked(Lease<Watching>, Option<LeaseObject>),
    Written(Lease<bilberryford_coord::Acquiring>, LeaseWriteOutcome),
    TakingRead(Lease<bilberryford_coord::Acquiring>, Option<LeaseObject>),
    Hold(Lease<Held>),
    Renewed(Lease<Held>, LeaseWriteOutcome),
    RenewalRead(Lease<Held>, Option<LeaseObject>),
}

struct Agent {
    name: &'static str,
    offset: u64,
    /// How fast its clock runs, in thousandths.
    rate: u64,
}

impl Agent {
    fn clock(&self, time: u64) -> TimeMs {
        TimeMs(self.offset + time * self.rate / 1_000)
    }

    fn span(&self, own: TimeMs) -> u64 {
        own.get() * 1_000 / self.rate
    }
}

struct World {
    rng: StdRng,
    object: Option<LeaseObject>,
    versions: u64,
    delayed: BTreeMap<(u64, u64), LeaseUpdate>,
    steps: BTreeMap<(u64, usize), Step>,
    acts: Vec<Act>,
}

impl World {
    fn apply(&mut self, update: &LeaseUpdate) -> LeaseWriteOutcome {
        let current = self.object.as_ref().map_or(ObjectVersion::ABSENT, |object| object.version);
        if current != update.expected {
            return LeaseWriteOutcome::Conflict;
        }
        self.versions += 1;
        let version = ObjectVersion(self.versions);
        self.object = Some(LeaseObject { version, record: update.record.clone() });
        LeaseWriteOutcome::Applied(version)
    }

    /// Writes, with answers lost and effects delayed now and then.
    fn write(&mut self, now: u64, update: &LeaseUpdate) -> LeaseWriteOutcome {
        match self.rng.random_range(0..10) {
            0 => {
                self.apply(update);
                LeaseWriteOutcome::Unknown
            }
            1 => {
                let due = now + self.rng.random_range(100..12_000);
                let salt = self.rng.random_range(0..u64::MAX);
                self.delayed.insert((due, salt), update.clone());
                LeaseWriteOutcome::Unknown
            }
            2 => LeaseWriteOutcome::Unknown,
            _ => self.apply(update),
        }
    }

    /// How long until an agent goes on: mostly short, sometimes it is paused.
    fn pause(&mut self) -> u64 {
        if self.rng.random_ratio(1, 8) {
            self.rng.random_range(1_000..15_000)
        } else {
            self.rng.random_range(1..300)
        }
    }

    fn then(&mut self, now: u64, agent: usize, step: Step) {
        let at = now + self.pause();
        self.steps.insert((at, agent), step);
    }

    fn run_delayed(&mut self, until: u64) {
        while let Some(entry) = self.delayed.first_entry().filter(|entry| entry.key().0 <= until) {
            let update = entry.remove();
            self.apply(&update);
        }
    }

    fn step(&mut self, now: u64, index: usize, agent: &Agent, step: Step) {
        let clock = agent.clock(now);
        match step {
            Step::Look => {
                let found = self.object.clone();
                self.then(now, index, Step::Looked(watching(agent.name), found));
            }
            Step::Looked(lease, found) => match lease.observe(found.as_ref(), clock) {
                WatchOutcome::Wait { lease, .. } => {
                    let found = self.object.clone();
                    self.then(now, index, Step::Looked(lease, found));
                }
                WatchOutcome::Acquire { lease, update } => {
                    let result = self.write(now, &update);
                    self.then(now, index, Step::Written(lease, result));
                }
            },
            Step::Written(lease, result) => {
                let taken = lease.on_write(result);
                self.taken(now, index, taken);
            }
            Step::TakingRead(lease, found) => {
                let taken = lease.on_read_back(found.as_ref());
                self.taken(now, index, taken);
            }
            Step::Hold(lease) => self.hold(now, index, agent, lease),
            Step::Renewed(lease, result) => {
                let renewal = lease.on_renewal(result, clock);
                self.renewal(now, index, renewal);
            }
            Step::RenewalRead(lease, found) => {
                let renewal = lease.reconcile(found.as_ref(), clock);
                self.renewal(now, index, renewal);
            }
        }
    }

    fn taken(&mut self, now: u64, index: usize, taken: AcquireOutcome) {
        match taken {
            AcquireOutcome::Held(lease) => self.then(now, index, Step::Hold(lease)),
            AcquireOutcome::Lost(_) => self.then(now, index, Step::Look),
            AcquireOutcome::ReadBack(lease) => {
                let found = self.object.clone();
                self.then(now, index, Step::TakingRead(lease, found));
            }
        }
    }

    fn hold(&mut self, now: u64, index: usize, agent: &Agent, lease: Lease<Held>) {
        let clock = agent.clock(now);
        if let Some(permit) = lease.permit(clock, self.rng.random()) {
            let to = now + agent.span(permit.until.since(clock));
            self.acts.push(Act { fencing: permit.fencing, from: now, to });
        }
        if self.rng.random_ratio(1, 20) {
            // INVARIANT: whoever releases has ended its acts.
            let over = now + agent.span(TERMS.max_order_duration);
            let (_, update) = lease.release();
            let salt = self.rng.random_range(0..u64::MAX);
            self.delayed.insert((over, salt), update);
            self.steps.insert((over + 1, index), Step::Look);
            return;
        }
        match lease.renew(clock) {
            Err(_) => self.then(now, index, Step::Look),
            Ok((lease, update)) => {
                let result = self.write(now, &update);
                self.then(now, index, Step::Renewed(lease, result));
            }
        }
    }

    fn renewal(&mut self, now: u64, index: usize, renewal: RenewalOutcome) {
        match renewal {
            RenewalOutcome::Held(lease) => self.then(now, index, Step::Hold(lease)),
            RenewalOutcome::Lost(_) => self.then(now, index, Step::Look),
            RenewalOutcome::ReadBack(lease) => {
                let found = self.object.clone();
                self.then(now, index, Step::RenewalRead(lease, found));
            }
        }
    }
}

fn simulate(seed: u64) -> Vec<Act> {
    let agents = [
        Agent { name: "a", offset: 0, rate: 1_000 },
        Agent { name: "b", offset: 1_000_000, rate: 950 },
        Agent { name: "c", offset: 77, rate: 1_050 },
    ];
    let mut world = World {
        rng: StdRng::seed_from_u64(seed),
        object: None,
        versions: 0,
        delayed: BTreeMap::new(),
        steps: (0..agents.len()).map(|index| ((0, index), Step::Look)).collect(),
        acts: Vec::new(),
    };
    while let Some(((now, index), step)) = world.steps.pop_first() {
        if now > 200_000 {
            break;
        }
        world.run_delayed(now);
        world.step(now, index, &agents[index], step);
    }
    world.acts
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn two_holders_never_act_at_the_same_time_and_numbers_grow(seed: u64) {
        let acts = simulate(seed);
        for pair in acts.windows(2) {
            prop_assert!(pair[0].fencing <= pair[1].fencing, "{:?}", pair);
            let is_same = pair[0].fencing == pair[1].fencing;
            prop_assert!(is_same || pair[0].to <= pair[1].from, "{:?}", pair);
        }
    }
}

#[test]
fn the_simulation_hands_the_lease_over_many_times() {
    let acts: Vec<_> = (0..20).flat_map(simulate).collect();
    let holders = acts.windows(2).filter(|pair| pair[0].fencing != pair[1].fencing).count();
    assert!(acts.len() > 500 && holders > 50, "{} acts, {holders} changes", acts.len());
}
