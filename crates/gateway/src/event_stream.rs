//! Whether a stream of events ends between two events.
//!
//! A response without a length or chunks ends with its connection, and an endpoint that ends in the middle of it closes
//! that connection too. A stream that ends inside an event has been broken off, whatever its framing says.

use hyper::{HeaderMap, header};

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
            (b'\n' | b'\r', Line::Empty) => self.is_inside_event = false,
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
}
