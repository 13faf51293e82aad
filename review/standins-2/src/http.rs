//! HTTP/1.1 heads and bodies on blocking streams.

use std::io::{self, BufRead, Read};

#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads the head of a message; none if the stream ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let Some(start) = read_line(reader)? else { return Ok(None) };
    let mut head = Head { start, headers: Vec::new() };
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message to its end into `body`, which keeps what came if it fails.
pub fn read_body(reader: &mut impl BufRead, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
    if !head.is_chunked() {
        return read_exact(reader, head.length(), body);
    }
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        read_exact(reader, length, body)?;
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if length == 0 {
            return Ok(());
        }
    }
}

fn read_exact(reader: &mut impl BufRead, length: usize, body: &mut Vec<u8>) -> io::Result<()> {
    let read = reader.take(length as u64).read_to_end(body)?;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}
