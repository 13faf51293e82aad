//! Reads the text of responses that hold what others wrote.

use std::borrow::Cow;

/// Stands for bytes that are no text. It is not assigned to a character, so that no text has it.
const NO_TEXT: char = '\u{ffff}';

/// Returns `body` as text. Bytes that are no text become a mark that [`has_unreadable`] finds, so that one object with such
/// bytes does not make the others of its list unreadable.
pub fn readable_text(body: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = str::from_utf8(body) {
        return Cow::Borrowed(text);
    }
    let mut text = String::with_capacity(body.len());
    for chunk in body.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push(NO_TEXT);
        }
    }
    Cow::Owned(text)
}

/// True for a part of a [`readable_text`] in which bytes were no text.
pub fn has_unreadable(text: &str) -> bool {
    text.contains(NO_TEXT)
}
