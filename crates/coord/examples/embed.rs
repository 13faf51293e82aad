//! Embeds the coordination parts in a program that has nothing else of bilberryford.
//!
//! Two instances share a lease over an object store in memory, one of them dies, the other notices by probes and takes
//! the lease over, and a client asks a retry budget before each retry. The clock is a number that this program moves
//! on, and randomness comes from a fixed seed, so that the output is the same in every run:
//!
//! ```text
//! $ cargo run -p bilberryford-coord --example embed
//!     0 ms  a takes the lease, fencing number 1
//!     0 ms  b waits until 6000 ms
//!  3000 ms  a renewed 2 times and dies
//!  3000 ms  b probes a: suspect
//!  3500 ms  b hears from c and d about a: failed
//!  3500 ms  b sees version 3, which is new, and waits until 9500 ms
//!  9500 ms  b takes the lease, fencing number 2
//!  9500 ms  an order of the old holder, number 1, is refused; number 2 is taken
//!  9500 ms  100 requests fail: 10 may be tried again, 90 are refused at once
//! ```

use std::net::SocketAddr;

use bilberryford_coord::{
    AcquireOutcome, Held, Lease, LeaseHolder, LeaseObject, LeaseTerms, LeaseUpdate,
    LeaseWriteOutcome, Liveness, MemberRecord, MemberReport, Membership, RenewalOutcome,
    RetryBudgets, RetryClass, WatchOutcome, Watching, backoff,
};
use bilberryford_types::{Fencing, Generation, Incarnation, InstanceId, ObjectVersion, TimeMs};
use rand::{SeedableRng, rngs::StdRng};

/// The lease's duration and its longest order.
const TERMS: LeaseTerms = LeaseTerms::new(TimeMs(6_000), TimeMs(1_000));
/// How long a failed request's caller still waits.
const CALLER_WAITS: TimeMs = TimeMs(2_000);

type AnyError = Box<dyn std::error::Error>;

/// One object with a version and conditional updates; any store that has these will do.
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
        let version = ObjectVersion(current.get() + 1);
        self.object = Some(LeaseObject { version, record: update.record });
        LeaseWriteOutcome::Applied(version)
    }
}

/// An endpoint that checks fencing numbers.
#[derive(Default)]
struct Endpoint {
    highest: Fencing,
}

impl Endpoint {
    fn takes(&mut self, fencing: Fencing) -> bool {
        let is_taken = fencing >= self.highest;
        self.highest = self.highest.max(fencing);
        is_taken
    }
}

fn main() -> Result<(), AnyError> {
    let mut store = Store::default();
    let mut endpoint = Endpoint::default();
    let start = TimeMs(0);

    let first = take(&mut store, watching("a")?, start)?;
    println!("{:>5} ms  a takes the lease, fencing number {}", start.get(), first.fencing());
    let (second, until) = wait(&store, watching("b")?, start)?;
    println!("{:>5} ms  b waits until {} ms", start.get(), until.get());

    let first = renew(&mut store, first, TimeMs(1_500))?;
    let first = renew(&mut store, first, TimeMs(3_000))?;
    let old_number = first.fencing();
    println!(" 3000 ms  a renewed 2 times and dies");
    notice_failure()?;

    // The renewals moved the version on, so b starts to count anew from the time at which it reads it.
    let (second, until) = wait(&store, second, TimeMs(3_500))?;
    println!(" 3500 ms  b sees version 3, which is new, and waits until {} ms", until.get());
    let second = take(&mut store, second, until)?;
    println!("{:>5} ms  b takes the lease, fencing number {}", until.get(), second.fencing());

    let permit = second.permit(until, true).ok_or("a new holder may act")?;
    let is_new_taken = endpoint.takes(permit.fencing);
    let is_old_taken = endpoint.takes(old_number);
    if !is_new_taken || is_old_taken {
        return Err("the endpoint follows the wrong holder".into());
    }
    println!(
        "{:>5} ms  an order of the old holder, number {old_number}, is refused; number {} is taken",
        until.get(),
        permit.fencing
    );
    retry(until)
}

fn watching(name: &str) -> Result<Lease<Watching>, AnyError> {
    let me = LeaseHolder { instance: name.parse()?, incarnation: Incarnation(1) };
    Ok(Lease::new(me, TERMS))
}

fn take(store: &mut Store, lease: Lease<Watching>, now: TimeMs) -> Result<Lease<Held>, AnyError> {
    let WatchOutcome::Acquire { lease, update } = lease.observe(store.read(), now) else {
        return Err("the lease is not free".into());
    };
    match lease.on_write(store.update(update)) {
        AcquireOutcome::Held(lease) => Ok(lease),
        AcquireOutcome::Lost(_) | AcquireOutcome::ReadBack(_) => {
            Err("the update was not taken".into())
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
        WatchOutcome::Acquire { .. } => Err("the lease is held and must not be taken".into()),
    }
}

fn renew(store: &mut Store, lease: Lease<Held>, now: TimeMs) -> Result<Lease<Held>, AnyError> {
    let (lease, update) = lease.renew(now).map_err(|_| "the lease ran out")?;
    match lease.on_renewal(store.update(update), now) {
        RenewalOutcome::Held(lease) => Ok(lease),
        RenewalOutcome::Lost(_) | RenewalOutcome::ReadBack(_) => {
            Err("the renewal was not taken".into())
        }
    }
}

/// Instance b and two others find that a is gone; membership only steers, the lease does not depend on it.
fn notice_failure() -> Result<(), AnyError> {
    let mut view = Membership::new("b".parse()?);
    for (name, port) in [("a", 1), ("c", 2), ("d", 3)] {
        view.observe_alive(member(name, port)?, false, TimeMs(2_500));
    }
    let a: InstanceId = "a".parse()?;
    view.record_probe_failure(&a, TimeMs(3_000));
    println!(" 3000 ms  b probes a: {}", state_of(&view, &a)?);
    for teller in ["d", "c"] {
        let told =
            MemberReport { record: member("a", 1)?, state: Liveness::Suspect, age: TimeMs(0) };
        view.apply_report(&teller.parse()?, told, TimeMs(3_500));
    }
    println!(" 3500 ms  b hears from c and d about a: {}", state_of(&view, &a)?);
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
    found.map(|(_, state)| state).ok_or_else(|| "a member was forgotten".into())
}

/// A pool fails as a whole: every first try fails, and the budget keeps retries to a tenth of them.
fn retry(now: TimeMs) -> Result<(), AnyError> {
    let (team, pool) = ("team-1".parse()?, "serving".parse()?);
    let mut budgets = RetryBudgets::default();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        budgets.record_first_attempt(&team, &pool, now);
    }
    let again =
        (0..100).filter(|_| budgets.try_take(&team, &pool, RetryClass::NotStarted, now)).count();
    backoff(0, CALLER_WAITS, &mut rng).ok_or("the first delay ends before the deadline")?;
    println!(
        "{:>5} ms  100 requests fail: {again} may be tried again, {} are refused at once",
        now.get(),
        100 - again
    );
    Ok(())
}
