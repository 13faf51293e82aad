//! The syntax and the age of an idempotency key.
//!
//! The `Idempotency-Key` header is a structured-field string, which stands in quotes; a bare key is accepted as well.
//! A key that is a UUID of version 7 holds the time at which it was made, so that its age can be checked even after
//! its record is deleted. See `docs/design/orders.md`.

use bilberryford_types::{IdError, OrderKey, TimeMs};

use crate::KEY_CLOCK_SLACK_DIVISOR;

/// Why a header's value is no key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The quotes or escapes are not those of a structured-field string.
    #[error("the key is not a structured-field string")]
    Syntax,
    /// The key would change the meaning of a path that it is put into.
    #[error("the key consists of dots only")]
    Dots,
    /// The text between the quotes can't be a key.
    #[error(transparent)]
    Text(#[from] IdError),
}

/// Reads the value of an `Idempotency-Key` header.
///
/// # Errors
///
/// [`KeyError`] when the quotes, the escapes or the characters are not those of a key.
pub fn parse_key(value: &str) -> Result<OrderKey, KeyError> {
    let value = value.trim_matches([' ', '\t']);
    let text = match value.strip_prefix('"') {
        Some(rest) => unescape(rest.strip_suffix('"').ok_or(KeyError::Syntax)?)?,
        None => value.to_owned(),
    };
    if !text.is_empty() && text.chars().all(|c| c == '.') {
        return Err(KeyError::Dots);
    }
    Ok(text.parse()?)
}

fn unescape(quoted: &str) -> Result<String, KeyError> {
    let mut text = String::with_capacity(quoted.len());
    let mut chars = quoted.chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => return Err(KeyError::Syntax),
            '\\' => match chars.next() {
                Some(escaped @ ('"' | '\\')) => text.push(escaped),
                _ => return Err(KeyError::Syntax),
            },
            ' '..='~' => text.push(c),
            _ => return Err(KeyError::Syntax),
        }
    }
    Ok(text)
}

/// What a key's own time says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key holds no time.
    Unknown,
    /// The key was made within the retention.
    Fresh,
    /// The key is older than the retention.
    Expired,
    /// The key was made further in the future than clocks may differ.
    Future,
}

/// The age of `key` at `now_ms` (Unix time).
pub fn key_age(key: &OrderKey, now_ms: TimeMs, retention: TimeMs) -> KeyAge {
    let slack = TimeMs(retention.get() / KEY_CLOCK_SLACK_DIVISOR);
    match uuid_time(key.as_str()) {
        None => KeyAge::Unknown,
        Some(made_ms) if now_ms.since(made_ms) >= retention => KeyAge::Expired,
        Some(made_ms) if made_ms.since(now_ms) > slack => KeyAge::Future,
        Some(_) => KeyAge::Fresh,
    }
}

/// The time in a UUID of version 7 (RFC 9562), in milliseconds since the Unix epoch.
fn uuid_time(text: &str) -> Option<TimeMs> {
    let groups: Vec<&str> = text.split('-').collect();
    let lengths = groups.iter().map(|group| group.len());
    let is_hex = |group: &&str| group.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !lengths.eq([8, 4, 4, 4, 12]) || !groups.iter().all(is_hex) || !groups[2].starts_with('7') {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", groups[0], groups[1]), 16).ok().map(TimeMs)
}
