//! Merges the events of many sources in one order.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use bilberryford_types::{Event, HybridTime, Incarnation, InstanceId};

use crate::{
    Filter,
    line::{self, Line},
};

/// The longest interval between two events of an instance that is not reported as a clock jump, in milliseconds.
const MAX_INTERVAL_MS: u64 = 300_000;
/// The limit on the events of a timeline, which bounds its memory; events beyond it are only counted.
const MAX_EVENTS: usize = 2_000_000;

/// The result of reading one source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceReport {
    /// The file or URL of the source.
    pub name: String,
    /// The number of events added to the timeline.
    pub events: u64,
    /// The number of events that the timeline already contained.
    pub duplicates: u64,
    /// The number of lines that are neither events nor log lines.
    pub unreadable: u64,
    /// The number of events dropped because the timeline was full.
    pub over_limit: u64,
    /// The reason why the source could not be read to its end.
    pub failure: Option<String>,
}

/// A forward jump of an instance's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClockJump {
    /// The instance.
    pub instance: InstanceId,
    /// The first timestamp after the jump.
    pub at: HybridTime,
    /// The size of the jump, in milliseconds.
    pub jump_ms: u64,
}

/// The merged events of many processes.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    events: Vec<Event>,
    seen: BTreeSet<(HybridTime, InstanceId, Incarnation)>,
    sources: Vec<SourceReport>,
}

impl Timeline {
    /// Adds the events of a source. `text` is its content, up to `failure` if it could not be read to its end.
    pub fn add_source(&mut self, name: &str, text: &str, failure: Option<String>) {
        let mut report = SourceReport {
            name: name.to_owned(),
            events: 0,
            duplicates: 0,
            unreadable: 0,
            over_limit: 0,
            failure,
        };
        for line in text.lines() {
            match line::parse(line) {
                Line::Event(event) => self.add(*event, &mut report),
                Line::Other => {}
                Line::Unreadable => report.unreadable += 1,
            }
        }
        self.sources.push(report);
    }

    fn add(&mut self, event: Event, report: &mut SourceReport) {
        if self.events.len() >= MAX_EVENTS {
            report.over_limit += 1;
        } else if self.seen.insert((event.at, event.instance.clone(), event.incarnation)) {
            report.events += 1;
            self.events.push(event);
        } else {
            report.duplicates += 1;
        }
    }

    /// Sorts the events; must be called after the last source was added.
    pub fn sort(&mut self) {
        self.events.sort_by(compare);
    }

    /// Returns the events that match `filter`.
    pub fn select(&self, filter: &Filter) -> Vec<&Event> {
        filter.select(&self.events)
    }

    /// Returns a report for each source, in the order in which they were added.
    pub fn sources(&self) -> &[SourceReport] {
        &self.sources
    }

    /// Returns the clock jumps of all instances. Around a jump, the order between instances is unreliable.
    pub fn clock_jumps(&self) -> Vec<ClockJump> {
        let mut last = BTreeMap::<(&InstanceId, Incarnation), HybridTime>::new();
        let mut jumps = Vec::new();
        for event in &self.events {
            let previous = last.insert((&event.instance, event.incarnation), event.at);
            let jump_ms =
                previous.map_or(0, |previous| event.at.wall_ms.saturating_sub(previous.wall_ms));
            if jump_ms > MAX_INTERVAL_MS {
                jumps.push(ClockJump { instance: event.instance.clone(), at: event.at, jump_ms });
            }
        }
        jumps
    }
}

fn compare(left: &Event, right: &Event) -> Ordering {
    (left.at, &left.instance, left.incarnation).cmp(&(right.at, &right.instance, right.incarnation))
}
