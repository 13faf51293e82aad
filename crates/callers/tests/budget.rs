//! The bytes that all messages of an instance may take.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Wake, Waker},
};

use bilberryford_callers::{BodyRoom, ByteBudget, HeldResponse};
use bilberryford_types::Bytes;

const MIB: u64 = 1024 * 1024;
/// Memory with a budget of 10 MiB.
const MEMORY: Bytes = Bytes(30 * MIB);

#[derive(Default)]
struct Flag(AtomicBool);

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn holding(budget: &Arc<ByteBudget>, name: &str, bytes: u64) -> HeldResponse {
    let held = budget.register(name.to_owned());
    held.grow(bytes);
    held
}

/// The sum of many responses, each within its own bound, ended processes.
#[tokio::test]
async fn a_full_budget_ends_the_response_that_holds_most() {
    let budget = ByteBudget::of_memory(MEMORY);
    let small: Vec<_> = (0..9).map(|_| holding(&budget, "sound", MIB / 2)).collect();
    let large = holding(&budget, "endless", 5 * MIB);
    let task = tokio::spawn(std::future::pending::<()>());
    large.end_with(task.abort_handle());
    assert!(!large.is_ended());
    let last = holding(&budget, "sound", MIB);
    assert!(large.is_ended());
    assert!(small.iter().all(|held| !held.is_ended()) && !last.is_ended());
    assert!(task.await.expect_err("an end").is_cancelled());
    assert_eq!(budget.held_bytes(), 9 * MIB / 2 + MIB);
    // What its connection still reads is on its way out.
    large.grow(MIB);
    drop((small, large, last));
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn responses_read_ahead_less_as_the_budget_fills() {
    let budget = ByteBudget::of_memory(MEMORY);
    let flag = Arc::new(Flag::default());
    let waker = Waker::from(flag.clone());
    let response = budget.register("endpoint".to_owned());
    let first = response.readable_bytes(&waker);
    let other = budget.take(9 * MIB + MIB / 2);
    assert!(response.readable_bytes(&waker) < first);
    response.grow(response.readable_bytes(&waker));
    assert_eq!(response.readable_bytes(&waker), 0);
    assert!(!flag.0.load(Ordering::Relaxed));
    response.shrink(32 * 1024);
    assert!(flag.0.load(Ordering::Relaxed), "the connection is not woken");
    assert!(response.readable_bytes(&waker) > 0);
    drop(other);
}

/// What holds nothing can always read, however full the budget is, so that it never waits for itself.
#[test]
fn a_response_that_holds_nothing_may_read() {
    let budget = ByteBudget::of_memory(MEMORY);
    let _other = budget.take(20 * MIB);
    let response = budget.register("endpoint".to_owned());
    assert!(response.readable_bytes(Waker::noop()) > 0);
}

/// An endpoint that sends without end does not keep the requests of others out.
#[test]
fn responses_give_way_to_requests() {
    let budget = ByteBudget::of_memory(MEMORY);
    let room = BodyRoom::new(MEMORY, budget.clone());
    let responses: Vec<_> = (0..9).map(|_| holding(&budget, "endless", MIB)).collect();
    let bodies: Vec<_> = (0..5).filter_map(|_| room.reserve(MIB)).collect();
    assert!(bodies.len() >= 3, "{} bodies", bodies.len());
    assert!(responses.iter().any(HeldResponse::is_ended));
    assert!(budget.held_bytes() <= budget.max_bytes());
}

/// Guards against uploads that end responses of sound endpoints: what was accepted goes on, and what finds no room is refused.
#[test]
fn an_upload_ends_no_response_of_a_sound_endpoint() {
    let budget = ByteBudget::of_memory(MEMORY);
    let room = BodyRoom::new(MEMORY, budget.clone());
    let responses: Vec<_> = (0..60).map(|_| budget.register("sound".to_owned())).collect();
    // Their callers read slowly, so that each holds as much as it may.
    for response in &responses {
        let bytes = response.readable_bytes(Waker::noop());
        assert!(bytes > 0);
        response.grow(bytes);
    }
    let large: Vec<_> = (0..9).map_while(|_| room.reserve(MIB)).collect();
    let small: Vec<_> = (0..999).map_while(|_| room.reserve(64 * 1024)).collect();
    assert_eq!(large.len(), 3);
    assert!(small.len() >= 60, "{} small bodies", small.len());
    assert!(room.reserve(64 * 1024).is_none(), "no body is refused");
    let ended = responses.iter().filter(|response| response.is_ended()).count();
    assert_eq!(ended, 0);
    assert!(budget.held_bytes() <= budget.max_bytes());
}

/// A response that is held whole has a limit of its own, and does not end those that are passed on in parts.
#[test]
fn a_response_that_is_held_whole_ends_no_other_one() {
    let budget = ByteBudget::of_memory(MEMORY);
    let sound = holding(&budget, "sound", MIB);
    let buffered = budget.take(12 * MIB);
    let last = holding(&budget, "sound", 64 * 1024);
    assert!(!sound.is_ended() && !last.is_ended());
    drop((sound, buffered, last));
    assert_eq!(budget.held_bytes(), 0);
}
