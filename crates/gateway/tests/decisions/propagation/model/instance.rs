//! The deployments of the model, and what one instance of it knows.

use bilberryford_gateway::{EndpointTable, KeyValidity, ReaderSelection};
use bilberryford_types::TimeMs;

use crate::decisions::readers::{address, name};

/// The figures of a deployment.
#[derive(Clone, Copy)]
pub(in super::super) struct Deployment {
    pub(in super::super) instances: usize,
    pub(in super::super) data_centres: usize,
    pub(super) in_touch_ms: u64,
    pub(in super::super) bound_ms: u64,
}

pub(in super::super) const SMALL: Deployment =
    Deployment { instances: 9, data_centres: 1, in_touch_ms: 3_000, bound_ms: 2_000 };
pub(in super::super) const MEDIUM: Deployment =
    Deployment { instances: 31, data_centres: 1, in_touch_ms: 4_000, bound_ms: 3_000 };
pub(in super::super) const GROWN: Deployment =
    Deployment { instances: 91, data_centres: 3, in_touch_ms: 4_000, bound_ms: 3_000 };
pub(in super::super) const LARGE: Deployment =
    Deployment { instances: 301, data_centres: 5, in_touch_ms: 5_000, bound_ms: 4_000 };

/// How the store treats an instance that it does not serve.
#[derive(Clone, Copy, PartialEq)]
pub(in super::super) enum Cut {
    Refused,
    Silent,
}

/// The watch of the configuration.
#[derive(Clone, Copy)]
pub(super) enum WatchState {
    /// Waits until the instance reads the store.
    Idle,
    /// Lists at this time.
    ListsAt(u64),
    /// Watches from this time, and fails at that.
    Watches { from_ms: u64, fails_ms: u64 },
}

pub(super) struct Instance {
    pub(super) readers: ReaderSelection,
    pub(super) keys: KeyValidity,
    pub(super) contact: EndpointTable,
    pub(super) version: u64,
    pub(super) watch: WatchState,
    /// The version of the last change that the watch returned.
    pub(super) watched: u64,
    pub(super) backoff: u32,
    pub(super) next_contact_ms: u64,
    pub(super) next_confirmation_ms: u64,
    pub(super) confirmation_failures: u32,
    pub(super) next_ask_ms: u64,
    pub(super) cut: Option<(Cut, u64)>,
    pub(super) suspended_until_ms: u64,
    /// The last moment at which something disturbed it.
    pub(super) disturbed_ms: u64,
    pub(super) has_failed_call: bool,
    pub(super) reads: u64,
}

impl Instance {
    /// A process that starts at `now_ms` and asks its readers from `next_ask_ms` on.
    pub(super) fn start(
        number: usize,
        deployment: Deployment,
        now_ms: u64,
        next_ask_ms: u64,
    ) -> Self {
        let mut readers = ReaderSelection::default();
        let Deployment { instances, data_centres, .. } = deployment;
        let listed: Vec<_> = (0..instances)
            .filter(|other| other % data_centres == number % data_centres)
            .map(|other| (name(other), address(other)))
            .collect();
        readers.set_instances(&name(number), listed.iter().map(|(name, at)| (name.as_str(), *at)));
        Self {
            readers,
            keys: KeyValidity::new(TimeMs(5_000)),
            contact: EndpointTable::default(),
            version: 0,
            watch: WatchState::ListsAt(now_ms),
            watched: 0,
            backoff: 0,
            next_contact_ms: now_ms,
            next_confirmation_ms: now_ms,
            confirmation_failures: 0,
            next_ask_ms,
            cut: None,
            suspended_until_ms: 0,
            disturbed_ms: now_ms,
            has_failed_call: false,
            reads: 0,
        }
    }
}
