//! Embeds the coordination state machines in a program that uses nothing else of bilberryford.
//!
//! Two instances share a lease on an object in an in-memory store. One of them crashes; the other detects the failure
//! with probes and takes over the lease. A client then consults a retry budget before each retry. The program advances
//! its own clock and seeds the random generator with a constant, so that the output is the same in every run:
//!
//! ```text
//! $ cargo run -p bilberryford-coord --example embed
//!     0 ms  a acquires the lease, fencing number 1
//!     0 ms  b waits until 6000 ms
//!  3000 ms  a has renewed the lease 2 times and crashes
//!  3000 ms  a probe of a by b fails: suspect
//!  3500 ms  c and d report to b that a is unresponsive: failed
//!  3500 ms  b reads version 3, which is new, and waits until 9500 ms
//!  9500 ms  b acquires the lease, fencing number 2
//!  9500 ms  an order of the old holder with number 1 is refused, one with number 2 is accepted
//!  9500 ms  100 requests fail: 10 may be retried, 90 are refused at once
//! ```

use std::net::SocketAddr;

use bilberryford_coord::{
    AcquireOutcome, Held, Lease, LeaseHolder, LeaseObject, LeaseTerms, LeaseUpdate,
    LeaseWriteOutcome, Liveness, MemberRecord, MemberReport, Membership, RenewalOutcome,
    RetryBudgets, RetryClass, WatchOutcome, Watching, backoff,
};
use bilberryford_types::{Fencing, Generation, Incarnation, InstanceId, ObjectVersion, TimeMs};
use rand::{SeedableRng, rngs::StdRng};

/// A lease duration of 6 s, and orders of at most 1 s.
const TERMS: LeaseTerms = LeaseTerms::new(TimeMs(6_000), TimeMs(1_000));
/// The time left until the deadline of a failed request.
const TIME_LEFT: TimeMs = TimeMs(2_000);

type AnyError = Box<dyn std::error::Error>;

/// A store of one versioned object with conditional updates, which is all that a lease requires.
#[derive(Default)]
struct Store {
    object: Option<LeaseObject>,
}

impl Store {
    fn read(&self) -> Option<&LeaseObject> {
        self.object.as_ref()
    }

    fn update(&mut self, update: LeaseUpdate) -> LeaseWriteOutcome {
        let current = self.object.as_ref().map_or(ObjectVersion::ABSENT, |object| object.version);
        if current != update.expected {
            return LeaseWriteOutcome::Conflict;
        }
        let version = ObjectVersion::new(current.revision() + 1);
        self.object = Some(LeaseObject { version, record: update.record });
        LeaseWriteOutcome::Applied(version)
    }
}

/// An endpoint that refuses orders with an outdated fencing number.
#[derive(Default)]
struct Endpoint {
    highest: Fencing,
}

impl Endpoint {
    fn accepts(&mut self, fencing: Fencing) -> bool {
        let is_accepted = fencing >= self.highest;
        self.highest = self.highest.max(fencing);
        is_accepted
    }
}

fn main() -> Result<(), AnyError> {
    let mut store = Store::default();
    let mut endpoint = Endpoint::default();
    let start = TimeMs(0);

    let first = acquire(&mut store, watching("a")?, start)?;
    println!("{:>5} ms  a acquires the lease, fencing number {}", start.get(), first.fencing());
    let (second, until) = wait(&store, watching("b")?, start)?;
    println!("{:>5} ms  b waits until {} ms", start.get(), until.get());

    let first = renew(&mut store, first, TimeMs(1_500))?;
    let first = renew(&mut store, first, TimeMs(3_000))?;
    let old_number = first.fencing();
    println!(" 3000 ms  a has renewed the lease 2 times and crashes");
    detect_failure()?;

    // The renewals changed the version, so b waits for a full duration from its first read of the new version.
    let (second, until) = wait(&store, second, TimeMs(3_500))?;
    println!(" 3500 ms  b reads version 3, which is new, and waits until {} ms", until.get());
    let second = acquire(&mut store, second, until)?;
    println!("{:>5} ms  b acquires the lease, fencing number {}", until.get(), second.fencing());

    let permit = second.permit(until, true).ok_or("the new holder got no permit")?;
    let is_new_accepted = endpoint.accepts(permit.fencing);
    let is_old_accepted = endpoint.accepts(old_number);
    if !is_new_accepted || is_old_accepted {
        return Err(
            "the endpoint accepted an order of the old holder, or refused the new one".into()
        );
    }
    println!(
        "{:>5} ms  an order of the old holder with number {old_number} is refused, one with number {} is accepted",
        until.get(),
        permit.fencing
    );
    retry_within_budget(until)
}

fn watching(name: &str) -> Result<Lease<Watching>, AnyError> {
    let me = LeaseHolder { instance: name.parse()?, incarnation: Incarnation(1) };
    Ok(Lease::new(me, TERMS))
}

fn acquire(
    store: &mut Store,
    lease: Lease<Watching>,
    now: TimeMs,
) -> Result<Lease<Held>, AnyError> {
    let WatchOutcome::Acquire { lease, update } = lease.observe(store.read(), now) else {
        return Err("the lease is not free".into());
    };
    match lease.on_write(store.update(update)) {
        AcquireOutcome::Held(lease) => Ok(lease),
        AcquireOutcome::Lost(_) | AcquireOutcome::ReadBack(_) => {
            Err("the update was not applied".into())
        }
    }
}

fn wait(
    store: &Store,
    lease: Lease<Watching>,
    now: TimeMs,
) -> Result<(Lease<Watching>, TimeMs), AnyError> {
    match lease.observe(store.read(), now) {
        WatchOutcome::Wait { lease, until } => Ok((lease, until)),
        WatchOutcome::Acquire { .. } => Err("an unexpired lease was free to acquire".into()),
    }
}

fn renew(store: &mut Store, lease: Lease<Held>, now: TimeMs) -> Result<Lease<Held>, AnyError> {
    let (lease, update) = lease.renew(now).map_err(|_| "the lease has expired")?;
    match lease.on_renewal(store.update(update), now) {
        RenewalOutcome::Held(lease) => Ok(lease),
        RenewalOutcome::Lost(_) | RenewalOutcome::ReadBack(_) => {
            Err("the renewal was not applied".into())
        }
    }
}

/// Instance b and two others detect that a has failed. Membership is advisory; the lease does not depend on it.
fn detect_failure() -> Result<(), AnyError> {
    let mut view = Membership::new("b".parse()?);
    for (name, port) in [("a", 1), ("c", 2), ("d", 3)] {
        view.observe_alive(member(name, port)?, false, TimeMs(2_500));
    }
    let a: InstanceId = "a".parse()?;
    view.record_probe_failure(&a, TimeMs(3_000));
    println!(" 3000 ms  a probe of a by b fails: {}", state_of(&view, &a)?);
    for reporter in ["d", "c"] {
        let report =
            MemberReport { record: member("a", 1)?, state: Liveness::Suspect, age: TimeMs(0) };
        view.apply_report(&reporter.parse()?, report, TimeMs(3_500));
    }
    println!(" 3500 ms  c and d report to b that a is unresponsive: {}", state_of(&view, &a)?);
    Ok(())
}

fn member(name: &str, port: u16) -> Result<MemberRecord, AnyError> {
    Ok(MemberRecord {
        instance: name.parse()?,
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        data_centre: "dc1".parse()?,
        generation: Generation(1),
    })
}

fn state_of(view: &Membership, instance: &InstanceId) -> Result<Liveness, AnyError> {
    let found = view.members().find(|(record, _)| record.instance == *instance);
    found.map(|(_, state)| state).ok_or_else(|| "a member is missing from the view".into())
}

/// All endpoints of a pool fail, so that every first attempt fails. The budget limits the retries to a tenth of them.
fn retry_within_budget(now: TimeMs) -> Result<(), AnyError> {
    let (team, pool) = ("team-1".parse()?, "serving".parse()?);
    let mut budgets = RetryBudgets::default();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        budgets.record_first_attempt(&team, &pool, now);
    }
    let allowed =
        (0..100).filter(|_| budgets.try_take(&team, &pool, RetryClass::NotStarted, now)).count();
    backoff(0, TIME_LEFT, &mut rng).ok_or("the first delay does not end before the deadline")?;
    println!(
        "{:>5} ms  100 requests fail: {allowed} may be retried, {} are refused at once",
        now.get(),
        100 - allowed
    );
    Ok(())
}
