//! Puts the events of many sources in one order.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet},
};

use bilberryford_types::{Event, HybridTime, Incarnation, InstanceId};

use crate::{
    Filter,
    line::{self, Line},
};

/// How far the clock of one instance may move between two events before it is taken for a jump, in milliseconds.
const JUMP_MS: u64 = 300_000;
/// The most events that a time line holds; later ones are counted and passed over.
const MAX_EVENTS: usize = 2_000_000;

/// What became of one source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceReport {
    /// The file or URL.
    pub name: String,
    /// Events that were taken.
    pub events: u64,
    /// Events that another source had already given.
    pub duplicates: u64,
    /// Lines that can't be read.
    pub unreadable: u64,
    /// Events beyond what a time line holds.
    pub over_limit: u64,
    /// Why the source could not be read to its end.
    pub failure: Option<String>,
}

/// A clock that jumped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClockJump {
    /// Whose clock.
    pub instance: InstanceId,
    /// The time after the jump.
    pub at: HybridTime,
    /// How far it jumped, in milliseconds.
    pub jump_ms: u64,
}

/// Events of many processes in one order.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    events: Vec<Event>,
    seen: BTreeSet<(HybridTime, InstanceId, Incarnation)>,
    sources: Vec<SourceReport>,
}

impl Timeline {
    /// Takes the lines of a source that was read to its end, or up to `failure`.
    pub fn add_source(&mut self, name: &str, text: &str, failure: Option<String>) {
        let mut report = SourceReport {
            name: name.to_owned(),
            events: 0,
            duplicates: 0,
            unreadable: 0,
            over_limit: 0,
            failure,
        };
        for text in text.lines() {
            match line::read(text) {
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

    /// Puts the events in order; call it after the last source.
    pub fn sort(&mut self) {
        self.events.sort_by(order);
    }

    /// The events, narrowed by `filter`.
    pub fn select(&self, filter: &Filter) -> Vec<&Event> {
        filter.select(&self.events)
    }

    /// What became of each source.
    pub fn sources(&self) -> &[SourceReport] {
        &self.sources
    }

    /// Clocks that jumped; around such a place the order between instances can't be trusted.
    pub fn clock_jumps(&self) -> Vec<ClockJump> {
        let mut last = BTreeMap::<(&InstanceId, Incarnation), HybridTime>::new();
        let mut jumps = Vec::new();
        for event in &self.events {
            let before = last.insert((&event.instance, event.incarnation), event.at);
            let jump_ms =
                before.map_or(0, |before| event.at.wall_ms.saturating_sub(before.wall_ms));
            if jump_ms > JUMP_MS {
                jumps.push(ClockJump { instance: event.instance.clone(), at: event.at, jump_ms });
            }
        }
        jumps
    }
}

fn order(one: &Event, other: &Event) -> Ordering {
    (one.at, &one.instance, one.incarnation).cmp(&(other.at, &other.instance, other.incarnation))
}
