//! Whether a stream of events ends between two events.
//!
//! A response without a length or chunks ends with its connection, and an endpoint that ends in the middle of it closes
//! that connection too. A stream that ends inside an event has been broken off, whatever its framing says.

use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, header};

/// The largest part of an event that is held back, in bytes. A stream with a larger one can't go on at another endpoint.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// Returns true if the headers of a response announce a stream of events.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type
        .and_then(|value| value.split(';').next())
        .is_some_and(|kind| kind.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// What the line that is being read holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

/// The position in a stream of events.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventPosition {
    line: Line,
    is_after_carriage_return: bool,
    is_inside_event: bool,
    has_event: bool,
}

impl EventPosition {
    /// Reads the next bytes of the stream.
    pub fn read(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|byte| self.read_byte(*byte));
    }

    fn read_byte(&mut self, byte: u8) {
        let ends_line_of_before = byte == b'\n' && self.is_after_carriage_return;
        self.is_after_carriage_return = byte == b'\r';
        match (byte, self.line) {
            _ if ends_line_of_before => {}
            // An empty line ends the event.
            (b'\n' | b'\r', Line::Empty) => {
                self.has_event |= std::mem::take(&mut self.is_inside_event);
            }
            (b'\n' | b'\r', _) => self.line = Line::Empty,
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Empty) => {
                self.line = Line::Field;
                self.is_inside_event = true;
            }
            _ => {}
        }
    }

    /// Returns true if the stream would break off inside an event if it ended here.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }

    /// Returns true once an event is complete. A comment is none.
    pub fn has_event(&self) -> bool {
        self.has_event
    }
}

/// The events of a stream that may go on at another endpoint: only complete ones are passed on, since the next endpoint
/// begins with a whole event.
#[derive(Debug, Default)]
pub struct EventBuffer {
    position: EventPosition,
    held: BytesMut,
    last_event_id: Option<String>,
    /// True if a part of an event was passed on, since it was too large to hold.
    has_passed_part: bool,
}

impl EventBuffer {
    /// Adds the next bytes of the stream, and returns those that complete events.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let mut complete = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.position.read_byte(*byte);
            if !self.position.is_inside_event() {
                complete = self.held.len() + index + 1;
            }
        }
        self.held.extend_from_slice(bytes);
        if self.held.len() - complete > MAX_HELD_BYTES {
            self.has_passed_part = true;
            complete = self.held.len();
        }
        let events = self.held.split_to(complete).freeze();
        if let Some(id) = last_id(&events) {
            self.last_event_id = Some(id);
        }
        events
    }

    /// Returns true if the stream would break off inside an event if it ended here.
    pub fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Returns true once an event is complete, or a part of one was passed on.
    pub fn has_event(&self) -> bool {
        self.position.has_event() || self.has_passed_part
    }

    /// The id of the last event that was passed on; none if the stream can't go on after it.
    pub fn last_event_id(&self) -> Option<&str> {
        self.last_event_id.as_deref().filter(|_| !self.has_passed_part)
    }
}

/// The last id among complete events.
fn last_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|byte| matches!(byte, b'\n' | b'\r'));
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let id = ids.next()?;
    Some(String::from_utf8_lossy(id).trim_start_matches(' ').to_owned())
}
