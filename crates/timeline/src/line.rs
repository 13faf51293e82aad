//! Reads one line of a source.

use bilberryford_types::Event;
use serde_json::Value;

/// How an event starts when it stands in a text log line.
const EVENT_START: &str = "{\"at\":";

/// The longest line in bytes; a longer one is no event.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// What a line holds.
pub(crate) enum Line {
    /// An event.
    Event(Box<Event>),
    /// Nothing of interest: an empty line or an ordinary log line.
    Other,
    /// Something that should be an event or a log line, but can't be read.
    Unreadable,
}

/// Reads a line as an event, as a JSON log line that holds one, or as a text log line that holds one.
pub(crate) fn read(line: &str) -> Line {
    let line = line.trim();
    if line.is_empty() {
        return Line::Other;
    }
    if line.len() > MAX_LINE_BYTES {
        return Line::Unreadable;
    }
    if let Ok(event) = serde_json::from_str(line) {
        return Line::Event(event);
    }
    match serde_json::from_str::<Value>(line) {
        Ok(value) => of_log_line(&value),
        Err(_) => of_text(line),
    }
}

fn of_log_line(value: &Value) -> Line {
    match value.get("message").and_then(Value::as_str) {
        Some(message) if message.starts_with(EVENT_START) => of_text(message),
        Some(_) => Line::Other,
        None => Line::Unreadable,
    }
}

fn of_text(line: &str) -> Line {
    let Some(start) = line.find(EVENT_START) else {
        return if looks_like_log(line) { Line::Other } else { Line::Unreadable };
    };
    // Whatever a log format appends after the event is not part of it.
    let mut events = serde_json::Deserializer::from_str(&line[start..]).into_iter::<Event>();
    match events.next() {
        Some(Ok(event)) => Line::Event(Box::new(event)),
        Some(Err(_)) | None => Line::Unreadable,
    }
}

/// Whether a line is an ordinary text log line, which starts with a date.
fn looks_like_log(line: &str) -> bool {
    line.as_bytes().first().is_some_and(u8::is_ascii_digit)
}
