//! Clients, on kept connections or on new ones.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Head, read_body, read_head};

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Why it is not complete; none if it is.
    pub error: Option<String>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn is_complete(&self) -> bool {
        self.error.is_none()
    }

    /// One word for the record.
    pub fn summary(&self) -> String {
        match (&self.head, &self.error) {
            (Some(head), None) => format!("{} complete, {} bytes", head.status(), self.body.len()),
            (Some(head), Some(error)) => {
                format!("{} cut after {} bytes: {error}", head.status(), self.body.len())
            }
            (None, error) => format!("no answer: {}", error.as_deref().unwrap_or_default()),
        }
    }
}

pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends a request and waits for its answer, each read for `patience` at most.
    pub fn request(&mut self, head: &str, body: &[u8], patience: Duration) -> Answer {
        let mut answer = Answer::default();
        let result = (|| -> io::Result<()> {
            let mut stream = self.reader.get_ref();
            stream.set_read_timeout(Some(patience))?;
            stream.write_all(&[head.as_bytes(), body].concat())?;
            let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            answer.head = Some(head.clone());
            read_body(&mut self.reader, &head, &mut answer.body)
        })();
        answer.error = result.err().map(|error| error.to_string());
        answer
    }
}

/// Sends a request on a new connection.
pub fn request(address: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Answer {
    match Connection::open(address) {
        Ok(mut connection) => connection.request(head, body, patience),
        Err(error) => Answer { error: Some(error.to_string()), ..Answer::default() },
    }
}
