//! A reader for the JSON bodies that instances send to the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number in its own spelling.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        skip_space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn u64(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => write!(f, "null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(text) => write!(f, "{text}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                write!(f, "[")?;
                for (index, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if index > 0 { "," } else { "" })?;
                }
                write!(f, "]")
            }
            Self::Table(fields) => {
                write!(f, "{{")?;
                for (index, (name, field)) in fields.iter().enumerate() {
                    write!(f, "{}", if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{field}")?;
                }
                write!(f, "}}")
            }
        }
    }
}

fn write_text(f: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    write!(f, "\"")?;
    for character in text.chars() {
        match character {
            '"' => write!(f, "\\\"")?,
            '\\' => write!(f, "\\\\")?,
            control if control < ' ' => write!(f, "\\u{:04x}", control as u32)?,
            other => write!(f, "{other}")?,
        }
    }
    write!(f, "\"")
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = text(bytes, at)?;
                        skip_space(bytes, at);
                        (bytes.get(*at)? == &b':').then_some(())?;
                        *at += 1;
                        fields.insert(name, value(bytes, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(text(bytes, at)?)),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|byte| !b",]}: \r\n\t".contains(byte)) {
                *at += 1;
            }
            Some(match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                number => Json::Number(number.to_owned()),
            })
        }
    }
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    (bytes.get(*at)? == &b'"').then_some(())?;
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        let mut buffer = [0; 4];
                        let character = char::from_u32(code)?;
                        out.extend(character.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
