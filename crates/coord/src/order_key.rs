//! Syntax and age of idempotency keys.
//!
//! The `Idempotency-Key` header is a structured-field string, which is quoted; a bare key is accepted as well. A UUID
//! of version 7 contains its creation time, so that the age of such a key can be checked even after its record is
//! deleted. See `docs/design/orders.md`.

use bilberryford_types::{IdError, OrderKey, TimeMs};

use crate::KEY_CLOCK_SLACK_DIVISOR;

/// The reason why a header value is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The value is not a valid structured-field string.
    #[error("the key is not a structured-field string")]
    Syntax,
    /// The key consists of dots only, which would change the meaning of a path that contains it.
    #[error("the key consists of dots only")]
    Dots,
    /// The unquoted text is not a valid key.
    #[error(transparent)]
    Text(#[from] IdError),
}

/// Parses the value of an `Idempotency-Key` header.
///
/// # Errors
///
/// [`KeyError`] if the quoting, an escape or a character is not allowed in a key.
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

/// The age of a key according to the creation time that it contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyAge {
    /// The key contains no time.
    Unknown,
    /// The key was created within the retention.
    Fresh,
    /// The key is older than the retention.
    Expired,
    /// The creation time is further in the future than the slack for clock differences allows.
    Future,
}

/// Returns the age of `key` at `now_ms` (Unix time).
pub fn key_age(key: &OrderKey, now_ms: TimeMs, retention: TimeMs) -> KeyAge {
    let slack = TimeMs(retention.get() / KEY_CLOCK_SLACK_DIVISOR);
    match uuid_v7_time(key.as_str()) {
        None => KeyAge::Unknown,
        Some(created_ms) if now_ms.since(created_ms) >= retention => KeyAge::Expired,
        Some(created_ms) if created_ms.since(now_ms) > slack => KeyAge::Future,
        Some(_) => KeyAge::Fresh,
    }
}

/// The creation time in a UUID of version 7 (RFC 9562), in milliseconds since the Unix epoch.
fn uuid_v7_time(text: &str) -> Option<TimeMs> {
    let groups: Vec<&str> = text.split('-').collect();
    let lengths = groups.iter().map(|group| group.len());
    let is_hex = |group: &&str| group.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !lengths.eq([8, 4, 4, 4, 12]) || !groups.iter().all(is_hex) || !groups[2].starts_with('7') {
        return None;
    }
    u64::from_str_radix(&format!("{}{}", groups[0], groups[1]), 16).ok().map(TimeMs)
}
