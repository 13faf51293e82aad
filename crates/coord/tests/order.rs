//! Orders: tables of the decisions, and a model in which attempts, lost responses, late writes and pauses interleave.

use bilberryford_coord::{
    DispatchWindow, IntentStep, IntentWrite, KeyAge, OrderDecision, OrderRecord, OrderReply,
    OrderState, OutcomeStep, OutcomeWrite, PutOutcome, StoredOrder, key_age, parse_key,
};
use bilberryford_types::{Digest, ObjectVersion, TimeMs};
use proptest::prelude::*;
use rstest::rstest;

const RETENTION: TimeMs = TimeMs(80_000);
const DISPATCH_WINDOW: TimeMs = TimeMs(1_000);
const DIGEST: Digest = Digest([1; 32]);

fn record(attempt: usize, state: OrderState) -> OrderRecord {
    OrderRecord {
        digest: DIGEST,
        attempt: format!("a-{attempt}").parse().unwrap(),
        instance: "entry-1".parse().unwrap(),
        written_ms: TimeMs(100_000),
        running_ms: TimeMs(5_000),
        state,
    }
}

fn reply(body: Option<&str>) -> OrderReply {
    let body = body.map(str::to_owned);
    OrderReply { status: 200, content_type: None, body, body_digest: None }
}

fn done(body: Option<&str>) -> OrderState {
    OrderState::Done { reply: reply(body), from_status: false }
}

fn replayed() -> OrderDecision {
    OrderDecision::Replay { reply: reply(Some("x")), from_status: false }
}

#[rstest]
#[case::not_run(OrderState::NotRun, 1, 0, OrderDecision::WriteIntent)]
#[case::not_run_and_old(OrderState::NotRun, 1, 90_000, OrderDecision::WriteIntent)]
#[case::not_run_with_another_digest(OrderState::NotRun, 2, 0, OrderDecision::KeyReused)]
#[case::running(OrderState::Intent, 1, 4_999, OrderDecision::Running)]
#[case::clock_behind_the_writer(OrderState::Intent, 1, -9_000, OrderDecision::Running)]
#[case::no_longer_running(OrderState::Intent, 1, 5_000, OrderDecision::InDoubt)]
#[case::in_doubt(OrderState::InDoubt, 1, 0, OrderDecision::InDoubt)]
#[case::in_doubt_and_old(OrderState::InDoubt, 1, 80_000, OrderDecision::KeyExpired)]
#[case::intent_and_old(OrderState::Intent, 1, 80_000, OrderDecision::KeyExpired)]
#[case::done(done(Some("x")), 1, 79_999, replayed())]
#[case::done_and_old(done(Some("x")), 1, 80_000, OrderDecision::KeyExpired)]
#[case::done_with_another_digest(done(Some("x")), 2, 0, OrderDecision::KeyReused)]
#[case::done_without_a_stored_body(done(None), 1, 0, OrderDecision::ResponseNotStored)]
fn the_record_of_a_key_decides_about_a_request(
    #[case] state: OrderState,
    #[case] digest: u8,
    #[case] age_ms: i64,
    #[case] expected: OrderDecision,
) {
    let now = TimeMs(100_000_u64.checked_add_signed(age_ms).unwrap());
    let decision = record(1, state).decide(&Digest([digest; 32]), now, RETENTION);
    assert_eq!(decision, expected);
}

#[rstest]
#[case::at_retention(80_000, false)]
#[case::within_slack(90_000, false)]
#[case::past_slack(90_001, true)]
fn a_record_is_deleted_after_the_retention_and_the_slack(
    #[case] age: u64,
    #[case] is_sweepable: bool,
) {
    let record = record(1, OrderState::InDoubt);
    assert_eq!(record.is_sweepable(TimeMs(100_000 + age), RETENTION), is_sweepable);
}

#[rstest]
#[case::bare("order-1", Some("order-1"))]
#[case::quoted("\"order-1\"", Some("order-1"))]
#[case::spaces(" \"order-1\" ", Some("order-1"))]
#[case::uuid(
    "\"8e03978e-40d5-43dd-bc93-6894a57f9324\"",
    Some("8e03978e-40d5-43dd-bc93-6894a57f9324")
)]
#[case::missing_closing_quote("\"order-1", None)]
#[case::only_a_quote("\"", None)]
#[case::quote_inside("\"a\"b\"", None)]
#[case::bad_escape("\"a\\b\"", None)]
#[case::valid_escape_but_invalid_key("\"a\\\\b\"", None)]
#[case::parameters("\"a\";b", None)]
#[case::empty("", None)]
#[case::empty_string("\"\"", None)]
#[case::dots("..", None)]
#[case::slash("a/b", None)]
fn a_header_value_is_parsed_as_a_key(#[case] value: &str, #[case] expected: Option<&str>) {
    let key = parse_key(value).ok();
    assert_eq!(key.as_ref().map(|key| key.as_str()), expected);
}

/// 0x17f22e279b0 is 1,645,557,742,000 ms, the example of RFC 9562.
#[rstest]
#[case::no_time("order-1", 0, KeyAge::Unknown)]
#[case::version_4("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 90_000, KeyAge::Unknown)]
#[case::just_made("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0, KeyAge::Fresh)]
#[case::within_retention("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 79_999, KeyAge::Fresh)]
#[case::expired("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 80_000, KeyAge::Expired)]
#[case::slightly_ahead("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", -10_000, KeyAge::Fresh)]
#[case::future("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", -10_001, KeyAge::Future)]
fn a_key_yields_its_age(#[case] key: &str, #[case] age_ms: i64, #[case] expected: KeyAge) {
    let now = TimeMs(1_645_557_742_000_u64.checked_add_signed(age_ms).unwrap());
    assert_eq!(key_age(&key.parse().unwrap(), now, RETENTION), expected);
}

#[rstest]
#[case::applied(&[PutOutcome::Applied(ObjectVersion::new(7))], None, IntentStep::Durable(ObjectVersion::new(7)))]
#[case::not_applied(&[PutOutcome::NotApplied], None, IntentStep::GiveUp { needs_fence: false, is_key_used: false })]
#[case::unknown_and_read_failed(
    &[PutOutcome::Unknown], Some(Err(())), IntentStep::GiveUp { needs_fence: true, is_key_used: false }
)]
#[case::unknown_and_absent(&[PutOutcome::Unknown], Some(Ok(None)), IntentStep::Put(ObjectVersion::ABSENT))]
#[case::conflict_and_read_failed(
    &[PutOutcome::Conflict], Some(Err(())), IntentStep::GiveUp { needs_fence: false, is_key_used: true }
)]
#[case::applied_without_response(
    &[PutOutcome::Unknown], Some(Ok(Some((1, OrderState::Intent)))), IntentStep::Durable(ObjectVersion::new(9))
)]
#[case::fenced(
    &[PutOutcome::Unknown],
    Some(Ok(Some((1, OrderState::NotRun)))),
    IntentStep::GiveUp { needs_fence: false, is_key_used: true }
)]
#[case::another_attempt(&[PutOutcome::Unknown], Some(Ok(Some((2, OrderState::Intent)))), IntentStep::Decide)]
#[case::conflict(&[PutOutcome::Conflict], Some(Ok(Some((2, OrderState::InDoubt)))), IntentStep::Decide)]
fn each_outcome_of_an_intent_write_has_one_next_step(
    #[case] puts: &[PutOutcome],
    #[case] get: Option<Result<Option<(usize, OrderState)>, ()>>,
    #[case] expected: IntentStep,
) {
    let (mut write, first) = IntentWrite::new("a-1".parse().unwrap());
    assert_eq!(first, IntentStep::Put(ObjectVersion::ABSENT));
    let mut step = first;
    for outcome in puts {
        step = write.on_put(*outcome);
    }
    if let Some(get) = get {
        assert_eq!(step, IntentStep::Get);
        let found = get.map(|found| {
            found.map(|(attempt, state)| StoredOrder {
                version: ObjectVersion::new(9),
                record: record(attempt, state),
            })
        });
        step = write.on_get(found.as_ref().map(Option::as_ref).map_err(|_| ()));
    }
    assert_eq!(step, expected);
}

/// The fault that a call to the platform or the service encounters.
#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The call has no effect, and the caller knows it.
    Outage,
    /// The call takes effect and the response is lost.
    LostResponse,
    /// The call takes effect later and the response is lost.
    Late,
    /// The call never takes effect and the response is lost.
    LostRequest,
}

#[derive(Debug, Clone)]
enum Step {
    /// An attempt performs its next step.
    Advance(usize, Fault),
    /// A late write takes effect if its precondition holds.
    ApplyLate(usize),
    /// Time passes while all attempts are paused.
    Wait(u64),
    /// The process that runs the attempt is killed.
    Kill(usize),
}

#[derive(Debug)]
enum Actor {
    Intent(IntentWrite, IntentStep, Option<StoredOrder>),
    Dispatching(ObjectVersion),
    Settling(OutcomeWrite, OutcomeStep),
    Ended,
}

/// One key on the platform, the service that runs its order, and the attempts.
#[derive(Debug, Default)]
struct World {
    version: u64,
    object: Option<StoredOrder>,
    late_writes: Vec<(ObjectVersion, OrderRecord)>,
    now: TimeMs,
    runs: u32,
    /// The attempts that reported "not run" to their caller.
    reported_not_run: Vec<usize>,
    /// The attempts that the service ran.
    ran: Vec<usize>,
    actors: Vec<(DispatchWindow, Actor)>,
}

impl World {
    fn current_version(&self) -> ObjectVersion {
        self.object.as_ref().map_or(ObjectVersion::ABSENT, |found| found.version)
    }

    fn apply_write(&mut self, expected: ObjectVersion, record: OrderRecord) -> PutOutcome {
        if self.current_version() != expected {
            return PutOutcome::Conflict;
        }
        self.version += 1;
        let version = ObjectVersion::new(self.version);
        self.object = Some(StoredOrder { version, record });
        PutOutcome::Applied(version)
    }

    fn put(&mut self, expected: ObjectVersion, record: OrderRecord, fault: Fault) -> PutOutcome {
        match fault {
            Fault::None => self.apply_write(expected, record),
            Fault::Outage => PutOutcome::NotApplied,
            Fault::LostResponse => {
                self.apply_write(expected, record);
                PutOutcome::Unknown
            }
            Fault::Late => {
                self.late_writes.push((expected, record));
                PutOutcome::Unknown
            }
            Fault::LostRequest => PutOutcome::Unknown,
        }
    }

    fn get(&self, fault: Fault) -> Result<Option<StoredOrder>, ()> {
        match fault {
            Fault::None | Fault::Late => Ok(self.object.clone()),
            _ => Err(()),
        }
    }

    fn start(&mut self, attempt: usize) {
        let (write, step) = IntentWrite::new(format!("a-{attempt}").parse().unwrap());
        let window = DispatchWindow::new(self.now, DISPATCH_WINDOW);
        self.actors.push((window, Actor::Intent(write, step, None)));
    }

    fn advance(&mut self, number: usize, fault: Fault) {
        let (window, actor) = std::mem::replace(
            &mut self.actors[number],
            (DispatchWindow::new(self.now, DISPATCH_WINDOW), Actor::Ended),
        );
        let actor = match actor {
            Actor::Intent(write, step, found) => self.intent(number, write, step, found, fault),
            Actor::Dispatching(version) => self.dispatch(number, window, version, fault),
            Actor::Settling(write, step) => self.settle(write, step, fault),
            Actor::Ended => Actor::Ended,
        };
        self.actors[number] = (window, actor);
    }

    fn intent(
        &mut self,
        number: usize,
        mut write: IntentWrite,
        step: IntentStep,
        mut found: Option<StoredOrder>,
        fault: Fault,
    ) -> Actor {
        let step = match step {
            IntentStep::Put(expected) => {
                let outcome = self.put(expected, record(number, OrderState::Intent), fault);
                write.on_put(outcome)
            }
            IntentStep::Get => {
                let result = self.get(fault);
                found = result.clone().ok().flatten();
                write.on_get(result.as_ref().map(Option::as_ref).map_err(|_| ()))
            }
            IntentStep::Durable(version) => return Actor::Dispatching(version),
            IntentStep::Decide => {
                let stored = found.take().unwrap();
                match stored.record.decide(&DIGEST, TimeMs(100_000).after(self.now), RETENTION) {
                    OrderDecision::WriteIntent => write.restart(stored.version),
                    _ => return Actor::Ended,
                }
            }
            IntentStep::GiveUp { needs_fence, is_key_used } => {
                if !is_key_used {
                    self.reported_not_run.push(number);
                }
                if !needs_fence {
                    return Actor::Ended;
                }
                let write = OutcomeWrite::new(record(number, OrderState::NotRun), write.expected());
                return Actor::Settling(write, OutcomeStep::Get);
            }
        };
        Actor::Intent(write, step, found)
    }

    /// The service responds, can't be connected to, or its response is lost.
    fn dispatch(
        &mut self,
        number: usize,
        window: DispatchWindow,
        version: ObjectVersion,
        fault: Fault,
    ) -> Actor {
        let state = if !window.is_open(self.now) {
            OrderState::InDoubt
        } else if matches!(fault, Fault::Outage) {
            self.reported_not_run.push(number);
            OrderState::NotRun
        } else {
            self.runs += 1;
            self.ran.push(number);
            if matches!(fault, Fault::None) { done(Some("x")) } else { OrderState::InDoubt }
        };
        Actor::Settling(
            OutcomeWrite::new(record(number, state), version),
            OutcomeStep::Put(version),
        )
    }

    fn settle(&mut self, mut write: OutcomeWrite, step: OutcomeStep, fault: Fault) -> Actor {
        let step = match step {
            OutcomeStep::Put(expected) => {
                let put = self.put(expected, write.record.clone(), fault);
                write.on_put(put)
            }
            OutcomeStep::Get | OutcomeStep::RetryLater => {
                let result = self.get(fault);
                write.on_get(result.as_ref().map(Option::as_ref).map_err(|_| ()))
            }
            OutcomeStep::Written(_) | OutcomeStep::Superseded => return Actor::Ended,
        };
        Actor::Settling(write, step)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Advance(number, fault) => {
                while self.actors.len() <= number {
                    self.start(self.actors.len());
                }
                self.advance(number, fault);
            }
            Step::ApplyLate(index) if !self.late_writes.is_empty() => {
                let (expected, record) = self.late_writes.remove(index % self.late_writes.len());
                self.apply_write(expected, record);
            }
            Step::Kill(number) if number < self.actors.len() => {
                self.actors[number].1 = Actor::Ended;
            }
            Step::Wait(span) => self.now = self.now.after(TimeMs(span)),
            Step::ApplyLate(_) | Step::Kill(_) => {}
        }
    }

    /// Runs without further faults until all late writes are applied and all attempts have ended.
    fn run_to_end(&mut self) {
        while !self.late_writes.is_empty() {
            self.apply(&Step::ApplyLate(0));
        }
        for _ in 0..32 {
            (0..self.actors.len()).for_each(|number| self.advance(number, Fault::None));
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Outage),
        1 => Just(Fault::LostResponse),
        2 => Just(Fault::Late),
        1 => Just(Fault::LostRequest),
    ]
}

fn steps(kills: bool) -> impl Strategy<Value = Vec<Step>> {
    let kill = if kills { 1 } else { 0 };
    let step = prop_oneof![
        12 => (0..4_usize, fault()).prop_map(|(number, fault)| Step::Advance(number, fault)),
        3 => (0..4_usize).prop_map(Step::ApplyLate),
        2 => (0..6_000_u64).prop_map(Step::Wait),
        kill => (0..4_usize).prop_map(Step::Kill),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_key_runs_at_most_once_and_a_refusal_as_not_run_is_true(steps in steps(true)) {
        let mut world = World::default();
        steps.iter().for_each(|step| world.apply(step));
        world.run_to_end();
        prop_assert!(world.runs <= 1, "{world:?}");
        prop_assert!(world.reported_not_run.iter().all(|number| !world.ran.contains(number)), "{world:?}");
    }

    #[test]
    fn without_a_kill_a_key_is_settled_once_the_platform_is_back(steps in steps(false)) {
        let mut world = World::default();
        steps.iter().for_each(|step| world.apply(step));
        world.run_to_end();
        let state = world.object.as_ref().map(|found| &found.record.state);
        prop_assert!(state != Some(&OrderState::Intent), "{world:?}");
        if world.runs == 0 && !matches!(state, Some(OrderState::InDoubt)) {
            // The order did not run and is not in doubt, so that a new attempt runs it.
            let next = world.actors.len();
            world.start(next);
            (0..16).for_each(|_| world.advance(next, Fault::None));
            prop_assert_eq!(world.runs, 1, "{:?}", world);
        }
    }
}
