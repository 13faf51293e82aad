//! How many requests may be sent to a second endpoint, over all instances together.
//!
//! The load pattern it answers: a pool fails, and every instance repeats every request to what is left of it. Each
//! instance repeats at most a share of the first sends that it made itself in the window, so the sum over all instances
//! stays under the share of all first sends, without a message between instances. A small floor lets an instance with
//! little traffic repeat at all; it comes out of the slack that the deployment allows.

use std::collections::VecDeque;

use bilberryford_types::TimeMs;

/// The part of the allowed ratio that is used: the rest covers windows that are cut differently elsewhere.
const USED_RATIO_PARTS: (u64, u64) = (3, 4);
/// The part of the slack that is dealt out to instances.
const USED_SLACK_PARTS: (u64, u64) = (3, 4);
/// The slots of a window.
const SLOTS: u64 = 10;

/// What the deployment allows.
#[derive(Debug, Clone, Copy)]
pub struct RetryLimits {
    /// Repeats for a thousand first sends.
    pub ratio_per_mille: u64,
    /// The length of the window.
    pub window_ms: TimeMs,
    /// Repeats in a window that are allowed whatever the traffic, over all instances.
    pub slack: u64,
    /// How many instances share the slack.
    pub instances: u64,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    number: u64,
    first_sends: u64,
    repeats: u64,
}

/// The budget of one service at one instance.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    fn slot(&mut self, limits: &RetryLimits, now_ms: TimeMs) -> &mut Slot {
        let number = now_ms.get() / (limits.window_ms.get() / SLOTS).max(1);
        while self.slots.front().is_some_and(|slot| slot.number + SLOTS <= number) {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number != number) {
            self.slots.push_back(Slot { number, first_sends: 0, repeats: 0 });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }

    /// Counts the first send of a request.
    pub fn record_first_attempt(&mut self, limits: &RetryLimits, now_ms: TimeMs) {
        self.slot(limits, now_ms).first_sends += 1;
    }

    /// Takes one repeat, or answers that none is left.
    pub fn try_take(&mut self, limits: &RetryLimits, now_ms: TimeMs) -> bool {
        self.slot(limits, now_ms);
        let first_sends: u64 = self.slots.iter().map(|slot| slot.first_sends).sum();
        let repeats: u64 = self.slots.iter().map(|slot| slot.repeats).sum();
        let (part, whole) = USED_RATIO_PARTS;
        let shared = first_sends * limits.ratio_per_mille * part / (whole * 1_000);
        let (part, whole) = USED_SLACK_PARTS;
        let floor = limits.slack * part / (whole * limits.instances.max(1));
        let is_allowed = repeats < shared + floor;
        if is_allowed {
            self.slot(limits, now_ms).repeats += 1;
        }
        is_allowed
    }
}
