//! A small HTTP/1.1 server and the reader of messages, for the stand-ins.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// A request or a response: its first line, its headers and its body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from one side of a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message { first_line: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that the head announces.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
                message.body.extend(self.bytes(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.bytes(length.unwrap_or(0))?;
        Ok(())
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }
}

/// What a server does with a connection after a request.
pub enum Reply {
    /// Sends a response and keeps the connection.
    Send(u16, Vec<(String, String)>, Vec<u8>),
    /// Sends a stream of events in chunks, with a pause before each.
    Events(Vec<(String, String)>, Vec<String>, Duration),
    /// Leaves the request unanswered until its sender closes the connection.
    Silence,
}

impl Reply {
    pub fn json(status: u16, body: impl Into<String>) -> Self {
        let headers = vec![("Content-Type".to_owned(), "application/json".to_owned())];
        Self::Send(status, headers, body.into().into_bytes())
    }

    pub fn empty(status: u16, headers: &[(&str, &str)]) -> Self {
        let owned = headers.iter().map(|(name, value)| (name.to_string(), value.to_string()));
        Self::Send(status, owned.collect(), Vec::new())
    }
}

fn serve_connection(stream: TcpStream, handler: &(dyn Fn(&Message) -> Reply + Send + Sync)) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        match handler(&request) {
            Reply::Send(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    return;
                }
            }
            Reply::Events(headers, events, pause) => {
                let mut head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n".to_owned();
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                let chunks = events.iter().map(|event| format!("{:x}\r\n{event}\r\n", event.len()));
                let texts = std::iter::once(head).chain(chunks).chain(["0\r\n\r\n".to_owned()]);
                for text in texts {
                    thread::sleep(pause);
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            }
            Reply::Silence => {
                // Reads until the other side closes.
                let _ = reader.message();
                return;
            }
        }
    }
}

/// The open connections of a server.
#[derive(Clone, Default)]
pub struct Connections(Arc<Mutex<Vec<TcpStream>>>);

impl Connections {
    /// Closes all of them, as the end of the server's process does.
    pub fn close_all(&self) {
        for stream in self.0.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves `handler` on a free port of `ip`, with a thread for each connection, until the process ends.
pub fn serve(
    ip: &str,
    handler: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    serve_with(ip, Connections::default(), handler)
}

/// The same, with the connections in the hands of the caller.
pub fn serve_with(
    ip: &str,
    connections: Connections,
    handler: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Ok(stream) = stream.try_clone() {
                connections.0.lock().unwrap().push(stream);
            }
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
    Ok(address)
}
