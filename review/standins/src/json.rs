//! Just enough JSON to take raw values out of a document, without a library.

/// The end of the value that begins at `at`.
fn end_of_value(text: &[u8], at: usize) -> Option<usize> {
    match text.get(at)? {
        b'"' => {
            let mut index = at + 1;
            while index < text.len() {
                match text[index] {
                    b'\\' => index += 2,
                    b'"' => return Some(index + 1),
                    _ => index += 1,
                }
            }
            None
        }
        b'{' | b'[' => {
            let mut depth = 0;
            let mut index = at;
            while index < text.len() {
                match text[index] {
                    b'"' => {
                        index = end_of_value(text, index)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return Some(index + 1);
                        }
                    }
                    _ => {}
                }
                index += 1;
            }
            None
        }
        _ => {
            let len = text[at..].iter().position(|byte| b",]} \r\n\t".contains(byte));
            Some(at + len.unwrap_or(text.len() - at))
        }
    }
}

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while text.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The raw value of a field of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = end_of_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = end_of_value(bytes, at)?;
        if key == name {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// The value of a text field, without escapes.
pub fn text<'a>(document: &'a str, name: &str) -> Option<&'a str> {
    field(document, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// The value of a whole number.
pub fn number(document: &str, name: &str) -> Option<u64> {
    field(document, name)?.parse().ok()
}
