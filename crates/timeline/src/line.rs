//! Parsing of one line of a source.

use bilberryford_types::Event;
use serde_json::Value;

/// The start of an event within a log line; `at` is the first field of every event.
const EVENT_START: &str = "{\"at\":";

/// The limit on the length of a line, in bytes; a longer line is unreadable.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// The content of a line.
pub(crate) enum Line {
    /// An event.
    Event(Box<Event>),
    /// An empty line, or a log line without an event.
    Other,
    /// Neither an event nor a log line.
    Unreadable,
}

/// Parses a line that is an event, or a JSON or text log line that may contain one.
pub(crate) fn parse(line: &str) -> Line {
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
        Ok(value) => parse_json_log(&value),
        Err(_) => parse_text_log(line),
    }
}

fn parse_json_log(value: &Value) -> Line {
    match value.get("message").and_then(Value::as_str) {
        Some(message) if message.starts_with(EVENT_START) => parse_text_log(message),
        Some(_) => Line::Other,
        None => Line::Unreadable,
    }
}

fn parse_text_log(line: &str) -> Line {
    let Some(start) = line.find(EVENT_START) else {
        return if is_text_log(line) { Line::Other } else { Line::Unreadable };
    };
    // A log format may append fields after the event, so only the first JSON value is parsed.
    let mut events = serde_json::Deserializer::from_str(&line[start..]).into_iter::<Event>();
    match events.next() {
        Some(Ok(event)) => Line::Event(Box::new(event)),
        Some(Err(_)) | None => Line::Unreadable,
    }
}

/// Returns true if a line looks like a text log line, which starts with a date.
fn is_text_log(line: &str) -> bool {
    line.as_bytes().first().is_some_and(u8::is_ascii_digit)
}
