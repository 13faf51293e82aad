//! Writes a time line for a terminal.

use std::fmt::Write;

use bilberryford_types::Event;

use crate::{Filter, Timeline};

/// The time line as text, one event a line, followed by what was passed over.
pub fn render_text(timeline: &Timeline, filter: &Filter) -> String {
    let events = timeline.select(filter);
    let start_ms = events.first().map_or(0, |event| event.at.wall_ms);
    let mut out = String::new();
    for event in &events {
        let since_ms = event.at.wall_ms.saturating_sub(start_ms);
        let _ = writeln!(
            out,
            "{:>+9.3}s {:<14} {:<16} {}",
            since_ms as f64 / 1_000.0,
            event.instance.as_str(),
            event.kind.to_string(),
            subject(event)
        );
    }
    out.push_str(&notes(timeline, events.len()));
    out
}

/// What the event is about, in a fixed order of fields.
pub(crate) fn subject(event: &Event) -> String {
    let fields = [
        ("request", event.request.as_ref().map(ToString::to_string)),
        ("attempt", event.attempt.as_ref().map(ToString::to_string)),
        ("team", event.team.as_ref().map(ToString::to_string)),
        ("endpoint", event.endpoint.as_ref().map(ToString::to_string)),
        ("order", event.order.as_ref().map(ToString::to_string)),
        ("generation", event.generation.as_ref().map(ToString::to_string)),
        ("version", event.object_version.as_ref().map(ToString::to_string)),
        ("error", event.error.as_ref().map(ToString::to_string)),
    ];
    let named = fields.into_iter().filter_map(|(name, value)| Some(format!("{name}={}", value?)));
    let detail = (!event.detail.is_empty()).then(|| event.detail.clone());
    named.chain(detail).collect::<Vec<_>>().join(" ")
}

/// What was read and what was passed over.
pub(crate) fn notes(timeline: &Timeline, shown: usize) -> String {
    let mut out = format!("{shown} event(s) shown\n");
    for source in timeline.sources() {
        let _ = write!(out, "{}: {} event(s)", source.name, source.events);
        let counts = [
            ("repeated", source.duplicates),
            ("unreadable", source.unreadable),
            ("over the limit", source.over_limit),
        ];
        for (what, count) in counts.iter().filter(|(_, count)| *count > 0) {
            let _ = write!(out, ", {count} {what}");
        }
        if let Some(failure) = &source.failure {
            let _ = write!(out, ", not read to its end: {failure}");
        }
        out.push('\n');
    }
    for jump in timeline.clock_jumps() {
        let _ = writeln!(
            out,
            "the clock of {} jumped by {} ms at {}",
            jump.instance, jump.jump_ms, jump.at
        );
    }
    out
}
