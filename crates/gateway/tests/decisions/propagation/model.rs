//! A model of instances that keep their views with the decisions of the gateway. Messages and calls take time and wait for the
//! processor, and one call in twenty fails.

mod instance;

use bilberryford_gateway::{
    ConfirmationStep, PropagationLimits, RecoveryLimits, passed_on_confirmation,
};
use bilberryford_types::TimeMs;
use rand::{RngExt, SeedableRng, rngs::StdRng};

pub(super) use self::instance::{Cut, Deployment, GROWN, LARGE, MEDIUM, SMALL};
use self::instance::{Instance, WatchState};
use crate::decisions::readers::{ASK_MS, EXPIRY_MS, address};

const STEP_MS: u64 = 20;
/// How long a call of a silent store takes to fail, and a watch to notice it.
const SILENCE_MS: u64 = 900;
const WATCH_SILENCE_MS: u64 = 2_000;
/// The longest time that a call, a datagram or a timer waits for the processor of an instance.
const LAG_MS: u64 = 60;
const ENDPOINT_WATCH_MS: u64 = 2_500;
const FIRST_WATCH_DELAY_MS: u64 = 900;
pub(super) const DAY_MS: u64 = 60_000;

enum Message {
    Question { from: usize, to: usize, asked_ms: u64 },
    Answer { from: usize, to: usize, asked_ms: u64, view: View },
    Read { to: usize, started_ms: u64, version: u64, is_linearizable: bool },
}

/// What a reader passes on.
#[derive(Clone, Copy)]
struct View {
    confirmed_age_ms: Option<TimeMs>,
    contact_age_ms: Option<TimeMs>,
    version: u64,
}

pub(super) struct Day {
    deployment: Deployment,
    pub(super) limits: PropagationLimits,
    recovery: RecoveryLimits,
    instances: Vec<Instance>,
    under_way: Vec<(u64, Message)>,
    /// The times at which the store acknowledged the versions from 1 on.
    written_ms: Vec<u64>,
    /// The longest time from the acknowledgement of a version to its use at an instance in touch.
    pub(super) slowest_ms: u64,
    random: StdRng,
    pub(super) now_ms: u64,
}

impl Day {
    pub(super) fn new(deployment: Deployment, seed: u64) -> Self {
        let bound_ms = TimeMs(deployment.bound_ms);
        let mut day = Self {
            deployment,
            limits: PropagationLimits {
                config_propagation_ms: bound_ms,
                key_revocation_ms: TimeMs(5_000),
            },
            recovery: RecoveryLimits {
                in_touch_ms: TimeMs(deployment.in_touch_ms),
                heartbeat_ms: TimeMs(1_200),
                endpoint_drain_ms: bound_ms,
                config_propagation_ms: bound_ms,
            },
            instances: Vec::new(),
            under_way: Vec::new(),
            written_ms: vec![0],
            slowest_ms: 0,
            random: StdRng::seed_from_u64(seed),
            now_ms: 0,
        };
        day.instances = (0..deployment.instances).map(|number| day.start(number)).collect();
        day
    }

    /// A process that has just started.
    fn start(&mut self, number: usize) -> Instance {
        let next_ask_ms = self.now_ms + self.below(ASK_MS);
        Instance::start(number, self.deployment, self.now_ms, next_ask_ms)
    }

    pub(super) fn below(&mut self, limit: u64) -> u64 {
        self.random.random_range(0..limit.max(1))
    }

    fn newest(&self) -> u64 {
        self.written_ms.len() as u64
    }

    pub(super) fn write(&mut self) {
        self.written_ms.push(self.now_ms);
    }

    fn send(&mut self, delay_ms: u64, message: Message) {
        let lag_ms = self.below(LAG_MS);
        self.under_way.push((self.now_ms + delay_ms + lag_ms, message));
    }

    /// Sends the reply to a read that begins now; only a linearizable one confirms the version.
    fn reply(&mut self, to: usize, delay_ms: u64, is_linearizable: bool) {
        let (started_ms, version) = (self.now_ms, self.newest());
        self.send(delay_ms, Message::Read { to, started_ms, version, is_linearizable });
    }

    /// Makes a call, and returns when it fails, if it does. One call in twenty fails, but no two of an instance in a row.
    fn fails_at(&mut self, number: usize) -> Option<u64> {
        let fails_by_chance = self.below(20) == 0;
        let instance = &mut self.instances[number];
        instance.reads += 1;
        match instance.cut {
            Some((Cut::Refused, _)) => Some(self.now_ms + 10),
            Some((Cut::Silent, _)) => Some(self.now_ms + SILENCE_MS),
            None if fails_by_chance && !instance.has_failed_call => {
                instance.has_failed_call = true;
                Some(self.now_ms + 10)
            }
            None => {
                instance.has_failed_call = false;
                None
            }
        }
    }

    fn backoff_ms(&mut self, failures: u32) -> u64 {
        let max_ms = (150_u64 << failures.min(4)).min(700);
        max_ms / 2 + self.below(max_ms / 2)
    }

    fn reads_store(&self, number: usize) -> bool {
        let instance = &self.instances[number];
        let now = TimeMs(self.now_ms);
        let has_old_contact = self.recovery.must_read(instance.contact.contact_age_ms(now));
        instance.readers.reason_to_read(now, EXPIRY_MS, has_old_contact).is_some()
    }

    fn run_watch(&mut self, number: usize) {
        let now_ms = self.now_ms;
        match self.instances[number].watch {
            WatchState::Idle if self.reads_store(number) => {
                self.instances[number].watch = WatchState::ListsAt(now_ms);
            }
            WatchState::ListsAt(at_ms) if at_ms <= now_ms => {
                let watch = match self.fails_at(number) {
                    Some(failed_ms) => {
                        let failures = self.instances[number].backoff;
                        self.instances[number].backoff += 1;
                        WatchState::ListsAt(failed_ms + self.backoff_ms(failures))
                    }
                    None => {
                        self.reply(number, 10, true);
                        self.instances[number].backoff = 0;
                        self.instances[number].watched = self.newest();
                        let from_ms = now_ms + FIRST_WATCH_DELAY_MS;
                        WatchState::Watches { from_ms, fails_ms: u64::MAX }
                    }
                };
                self.instances[number].watch = watch;
            }
            WatchState::Watches { fails_ms, .. } if fails_ms <= now_ms => {
                let pause_ms = self.backoff_ms(0);
                self.instances[number].watch = WatchState::ListsAt(now_ms + pause_ms);
            }
            WatchState::Watches { from_ms, fails_ms } if from_ms <= now_ms => {
                let newest = self.newest();
                let (cut, watched) = (self.instances[number].cut, self.instances[number].watched);
                if let Some((how, _)) = cut {
                    let notices_ms = if how == Cut::Silent { WATCH_SILENCE_MS } else { 0 };
                    let fails_ms = fails_ms.min(now_ms + notices_ms);
                    self.instances[number].watch = WatchState::Watches { from_ms, fails_ms };
                } else if newest > watched {
                    self.instances[number].watched = newest;
                    let from_ms = now_ms + 100;
                    self.instances[number].watch =
                        WatchState::Watches { from_ms, fails_ms: u64::MAX };
                    self.reply(number, 5, false);
                } else if !self.reads_store(number) {
                    self.instances[number].watch = WatchState::Idle;
                }
            }
            _ => {}
        }
    }

    /// The watch of endpoints, whose replies are contact with the store.
    fn run_contact(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.instances[number].next_contact_ms > now_ms || !self.reads_store(number) {
            return;
        }
        let cut = self.instances[number].cut;
        let instance = &mut self.instances[number];
        if cut.is_some() {
            instance.contact.record_lost_contact(TimeMs(now_ms));
            instance.next_contact_ms = now_ms + 500;
        } else {
            instance.contact.record_contact(TimeMs(now_ms), self.recovery);
            instance.next_contact_ms = now_ms + ENDPOINT_WATCH_MS;
        }
    }

    fn run_confirmation(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.instances[number].next_confirmation_ms > now_ms {
            return;
        }
        let age_ms = self.instances[number].keys.age_ms(TimeMs(now_ms));
        if let ConfirmationStep::Wait(wait_ms) =
            self.limits.next_step(self.reads_store(number), age_ms)
        {
            self.instances[number].next_confirmation_ms = now_ms + wait_ms.get();
            return;
        }
        let next_ms = if let Some(failed_ms) = self.fails_at(number) {
            let failures = self.instances[number].confirmation_failures;
            self.instances[number].confirmation_failures += 1;
            failed_ms + self.backoff_ms(failures)
        } else {
            self.reply(number, 10, true);
            self.instances[number].confirmation_failures = 0;
            let interval_ms = self.limits.confirm_interval_ms().get();
            now_ms + interval_ms * 3 / 4 + self.below(interval_ms / 4)
        };
        let lag_ms = self.below(LAG_MS);
        self.instances[number].next_confirmation_ms = next_ms + lag_ms;
    }

    fn run_questions(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.instances[number].next_ask_ms > now_ms {
            return;
        }
        let pause_ms = ASK_MS * 3 / 4 + self.below(ASK_MS / 4 + LAG_MS);
        self.instances[number].next_ask_ms = now_ms + pause_ms;
        let asked = self.instances[number].readers.next_questions(TimeMs(now_ms));
        for to in asked.iter().map(|to| usize::from(to.port()) - 1_000) {
            if self.below(100) > 0 {
                self.send(1, Message::Question { from: number, to, asked_ms: now_ms });
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let now = TimeMs(self.now_ms);
        match message {
            Message::Question { from, to, asked_ms } => {
                let instance = &mut self.instances[to];
                instance.readers.record_question(now);
                let view = View {
                    confirmed_age_ms: instance.keys.age_ms(now),
                    contact_age_ms: instance.contact.contact_age_to_pass_on_ms(now),
                    version: instance.version,
                };
                self.send(1, Message::Answer { from: to, to: from, asked_ms, view });
            }
            Message::Answer { from, to, asked_ms, view } => {
                if self.now_ms - asked_ms < EXPIRY_MS.get() {
                    self.apply_view(from, to, TimeMs(asked_ms), view);
                }
            }
            Message::Read { to, started_ms, version, is_linearizable } => {
                let instance = &mut self.instances[to];
                if version >= instance.version {
                    instance.version = version;
                    if is_linearizable {
                        instance.keys.confirm(TimeMs(started_ms));
                        instance.contact.record_contact(TimeMs(started_ms), self.recovery);
                    }
                }
            }
        }
    }

    fn apply_view(&mut self, from: usize, to: usize, asked_ms: TimeMs, view: View) {
        let (now, recovery) = (TimeMs(self.now_ms), self.recovery);
        let max_age_ms = self.limits.max_confirmation_age_ms();
        let confirmed_age_ms = view.confirmed_age_ms.filter(|age_ms| *age_ms <= max_age_ms);
        let instance = &mut self.instances[to];
        let has_contact = view.contact_age_ms.is_some_and(|age_ms| {
            instance.contact.record_passed_on_contact(asked_ms, age_ms, now, recovery)
        });
        let is_usable = confirmed_age_ms.is_some() && has_contact;
        instance.readers.record_answer(address(from), asked_ms, is_usable);
        let Some(age_ms) = confirmed_age_ms else { return };
        if instance.version >= view.version {
            instance.keys.confirm(passed_on_confirmation(asked_ms, age_ms));
        } else if self.fails_at(to).is_none() {
            // The first read may be old, so that the version comes with the second one.
            self.reply(to, 20, true);
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.under_way).into_iter().partition(|(at_ms, message)| {
                let (Message::Question { to, .. }
                | Message::Answer { to, .. }
                | Message::Read { to, .. }) = message;
                *at_ms <= now_ms && self.instances[*to].suspended_until_ms <= now_ms
            });
        self.under_way = later;
        due.into_iter().for_each(|(_, message)| self.receive(message));
        for number in 0..self.instances.len() {
            let instance = &mut self.instances[number];
            instance.cut = instance.cut.filter(|(_, until_ms)| *until_ms > now_ms);
            if instance.cut.is_some() || instance.suspended_until_ms > now_ms {
                instance.disturbed_ms = now_ms;
            }
            if instance.suspended_until_ms > now_ms {
                continue;
            }
            self.run_watch(number);
            self.run_contact(number);
            self.run_confirmation(number);
            self.run_questions(number);
        }
        self.measure();
    }

    /// Measures how long the oldest change that an instance in touch lacks has been acknowledged.
    fn measure(&mut self) {
        let in_touch_ms = self.deployment.in_touch_ms;
        let is_in_touch = |instance: &&Instance| self.now_ms - instance.disturbed_ms >= in_touch_ms;
        let lacking = self.instances.iter().filter(is_in_touch);
        let lacking = lacking.filter_map(|one| self.written_ms.get(one.version as usize));
        let slowest_ms = lacking.map(|at_ms| self.now_ms - at_ms).max().unwrap_or(0);
        self.slowest_ms = self.slowest_ms.max(slowest_ms);
    }

    /// The instances that read the store in one data centre.
    pub(super) fn readers_of(&self, data_centre: usize) -> Vec<usize> {
        let of_data_centre = (0..self.instances.len())
            .filter(|number| number % self.deployment.data_centres == data_centre);
        of_data_centre.filter(|number| self.reads_store(*number)).collect()
    }

    /// Runs until a reader of the data centre has just confirmed the configuration, and returns all its readers.
    pub(super) fn run_until_confirmed(&mut self, data_centre: usize) -> Vec<usize> {
        loop {
            self.step();
            let readers = self.readers_of(data_centre);
            let ages_ms = readers.iter().map(|reader| {
                self.instances[*reader].keys.age_ms(TimeMs(self.now_ms)).unwrap_or_default()
            });
            if ages_ms.min().is_some_and(|age_ms| age_ms <= TimeMs(2 * LAG_MS)) {
                return readers;
            }
        }
    }

    pub(super) fn cut(&mut self, number: usize, how: Cut, for_ms: u64) {
        self.instances[number].cut = Some((how, self.now_ms + for_ms));
    }

    /// Replaces an instance by a process that has just started.
    pub(super) fn restart(&mut self, number: usize) {
        let started = self.start(number);
        self.instances[number] = started;
    }

    /// The reads of the configuration so far.
    pub(super) fn reads(&self) -> u64 {
        self.instances.iter().map(|instance| instance.reads).sum()
    }

    pub(super) fn suspend(&mut self, number: usize, for_ms: u64) {
        self.instances[number].suspended_until_ms = self.now_ms + for_ms;
    }

    pub(super) fn run_for(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }
}
