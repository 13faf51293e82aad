//! Renders a timeline as text.

use std::fmt::Write;

use bilberryford_types::Event;

use crate::{Filter, Timeline};

/// Renders the timeline as text, one event per line, followed by the summary of its sources.
pub fn render_text(timeline: &Timeline, filter: &Filter) -> String {
    let events = timeline.select(filter);
    let start_ms = events.first().map_or(0, |event| event.at.wall_ms);
    let mut out = String::new();
    for event in &events {
        let elapsed_ms = event.at.wall_ms.saturating_sub(start_ms);
        let _ = writeln!(
            out,
            "{:>+9.3}s {:<14} {:<16} {}",
            elapsed_ms as f64 / 1_000.0,
            event.instance.as_str(),
            event.kind.to_string(),
            event_fields(event)
        );
    }
    out.push_str(&summary(timeline, events.len()));
    out
}

/// Formats the fields that are set, in a fixed order, followed by the detail.
pub(crate) fn event_fields(event: &Event) -> String {
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

/// Summarizes the sources and lists the clock jumps; `shown` is the number of events shown.
pub(crate) fn summary(timeline: &Timeline, shown: usize) -> String {
    let mut out = format!("{shown} event(s) shown\n");
    for source in timeline.sources() {
        let _ = write!(out, "{}: {} event(s)", source.name, source.events);
        let counts = [
            ("repeated", source.duplicates),
            ("unreadable", source.unreadable),
            ("over the limit", source.over_limit),
        ];
        for (label, count) in counts.iter().filter(|(_, count)| *count > 0) {
            let _ = write!(out, ", {count} {label}");
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
