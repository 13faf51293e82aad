//! Renders a timeline as a self-contained HTML page.

use std::fmt::Write;

use bilberryford_types::{Event, EventKind, InstanceId};

use crate::{
    Filter, Timeline,
    text::{event_fields, summary},
};

/// The limit on the rows of a page; browsers become slow with more.
const MAX_ROWS: usize = 20_000;

const STYLE: &str = "body{font:14px/1.4 system-ui,sans-serif;margin:1.5rem;color:#1c2430;background:#fff}\
h1{font-size:1.2rem}input{font:inherit;padding:.3rem .5rem;width:28rem;margin:.5rem 0}\
table{border-collapse:collapse;width:100%}th,td{padding:.15rem .5rem;text-align:left;vertical-align:top;\
border-bottom:1px solid #e4e8ee}th{position:sticky;top:0;background:#f4f6f9}\
td.t{font-variant-numeric:tabular-nums;text-align:right;white-space:nowrap}td.l{text-align:center;width:5.5rem}\
th.l{width:5.5rem;font-weight:600;font-size:.8rem;text-align:center}\
td.d{font:12px/1.5 ui-monospace,monospace;word-break:break-all}\
.k{display:inline-block;border-radius:.6rem;padding:0 .5rem;font-size:.75rem;background:#dfe7f3;white-space:nowrap}\
.good{background:#d5efdc}.bad{background:#f8d7d3}.warn{background:#fbeac4}pre{background:#f4f6f9;padding:.75rem}";

const SCRIPT: &str = "const box=document.getElementById('find');box.addEventListener('input',()=>{\
const word=box.value.toLowerCase();for(const row of document.querySelectorAll('tbody tr'))\
row.hidden=word!==''&&!row.textContent.toLowerCase().includes(word)});";

/// Renders the timeline as an HTML page with one column per instance and one row per event.
pub fn render_html(timeline: &Timeline, filter: &Filter) -> String {
    let events = timeline.select(filter);
    let instances = instances(&events);
    let mut page = String::from("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    let _ =
        write!(page, "<title>bilberryford time line</title><style>{STYLE}</style></head><body>");
    page.push_str("<h1>bilberryford time line</h1><label>show rows with <input id=\"find\" autofocus></label>");
    page.push_str("<table><thead><tr><th>time</th>");
    for instance in &instances {
        let _ = write!(page, "<th class=\"l\">{}</th>", escape(instance.as_str()));
    }
    page.push_str("<th>about</th></tr></thead><tbody>");
    let start_ms = events.first().map_or(0, |event| event.at.wall_ms);
    for event in events.iter().take(MAX_ROWS) {
        write_row(&mut page, event, &instances, start_ms);
    }
    page.push_str("</tbody></table>");
    if events.len() > MAX_ROWS {
        let _ = write!(
            page,
            "<p>{} more rows are left out; narrow the time line.</p>",
            events.len() - MAX_ROWS
        );
    }
    let _ = write!(page, "<pre>{}</pre>", escape(&summary(timeline, events.len().min(MAX_ROWS))));
    let _ = write!(page, "<script>{SCRIPT}</script></body></html>");
    page
}

fn instances<'a>(events: &[&'a Event]) -> Vec<&'a InstanceId> {
    let mut instances: Vec<_> = events.iter().map(|event| &event.instance).collect();
    instances.sort();
    instances.dedup();
    instances
}

fn write_row(page: &mut String, event: &Event, instances: &[&InstanceId], start_ms: u64) {
    let elapsed_s = event.at.wall_ms.saturating_sub(start_ms) as f64 / 1_000.0;
    let _ = write!(page, "<tr><td class=\"t\" title=\"{}\">+{elapsed_s:.3} s</td>", event.at);
    for instance in instances {
        if **instance == event.instance {
            let _ = write!(
                page,
                "<td class=\"l\"><span class=\"k {}\">{}</span></td>",
                css_class(event.kind),
                event.kind
            );
        } else {
            page.push_str("<td class=\"l\"></td>");
        }
    }
    let _ = write!(page, "<td class=\"d\">{}</td></tr>", escape(&event_fields(event)));
}

/// Returns the CSS class of a kind: success, failure, warning or none.
const fn css_class(kind: EventKind) -> &'static str {
    match kind {
        EventKind::Answered
        | EventKind::OrderSettled
        | EventKind::ConfigInForce
        | EventKind::FirstToken => "good",
        EventKind::Refused
        | EventKind::AttemptFailed
        | EventKind::Failed
        | EventKind::OrderInDoubt
        | EventKind::Quarantined
        | EventKind::ConfigRefused => "bad",
        EventKind::Suspected
        | EventKind::Leaving
        | EventKind::Resumed
        | EventKind::Continued
        | EventKind::ChunkDropped
        | EventKind::CacheGap
        | EventKind::LeaseLost
        | EventKind::PlatformState => "warn",
        _ => "",
    }
}

fn escape(text: &str) -> String {
    text.chars().fold(String::with_capacity(text.len()), |mut out, c| {
        match c {
            '&' => out.push_str("&amp;"),
            '<' => out.push_str("&lt;"),
            '>' => out.push_str("&gt;"),
            '"' => out.push_str("&quot;"),
            other => out.push(other),
        }
        out
    })
}
