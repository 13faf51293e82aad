//! An endpoint on raw sockets that answers in ways that no sound server does.
//!
//! What is sent before the fault is a sound response of the caller's choice, so that the same faults are played at engines,
//! plain services, reports and cache events. The endpoint counts what it sent until its peer closed the connection: that
//! bounds the memory that one endpoint can cost.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::sleep,
};

/// The size of one write of an answer without end.
const FLOOD_BYTES: usize = 16 * 1024;
/// The pause between the bytes of an answer that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(40);
/// The longest head of a request that is read.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A way to misbehave.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Misbehaviour {
    /// Each response is sent once more when the next request of the connection has come, before its own.
    LateSecondCopy,
    /// Header lines without end.
    EndlessHead,
    /// One header line without end.
    EndlessHeaderLine,
    /// Interim responses without end.
    EndlessInterim,
    /// A chunked body without end.
    EndlessBody,
    /// A body without length and end.
    EndlessUnframedBody,
    /// The extension of a chunk, without end.
    EndlessChunkExtension,
    /// Trailers without end.
    EndlessTrailers,
    /// A chunk of nearly 2^64 bytes, and its bytes.
    AbsurdChunk,
    /// Bytes that are no HTTP.
    NoHttp,
    /// Two lengths that differ.
    TwoLengths,
    /// A length and chunks.
    LengthAndChunks,
    /// The first half of the response, then the connection is closed.
    CloseHalfway,
    /// The first half of the response, then the connection is reset.
    ResetHalfway,
    /// The first half of the response, then nothing.
    SilenceHalfway,
    /// The response without a length, reset halfway.
    UnframedResetHalfway,
    /// Bytes after the end of the response.
    BytesAfterEnd,
    /// A byte of the head now and then, without end.
    TricklingHead,
    /// Nothing after the request.
    Silence,
}

/// Counters of what an endpoint did.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests of which the head was read.
    pub requests: AtomicUsize,
    /// Bytes that were written.
    pub sent_bytes: AtomicU64,
    /// Connections that are open.
    pub open_connections: AtomicUsize,
}

/// A running endpoint, which ends when this is dropped.
#[derive(Debug)]
pub struct MisbehavingEndpoint {
    /// Its address.
    pub address: SocketAddr,
    /// Its counters.
    pub counters: Arc<Counters>,
    task: JoinHandle<()>,
}

impl Drop for MisbehavingEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Makes a sound response, with a length, to a request with the given head.
pub type SoundResponse = Arc<dyn Fn(&str) -> String + Send + Sync>;

impl MisbehavingEndpoint {
    /// Starts an endpoint on a free port.
    ///
    /// # Errors
    ///
    /// The operating system's error if no port can be bound.
    pub async fn start(misbehaviour: Misbehaviour, sound: SoundResponse) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let counters = Arc::new(Counters::default());
        let shared = counters.clone();
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (sound, counters) = (sound.clone(), shared.clone());
                connections.spawn(async move {
                    counters.open_connections.fetch_add(1, Ordering::SeqCst);
                    // The end of the connection by its peer ends it here.
                    let _ = serve(stream, misbehaviour, &sound, &counters).await;
                    counters.open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Self { address, counters, task })
    }
}

/// Reads a request whose body has a length, and returns its head and its body.
///
/// # Errors
///
/// The operating system's error, or [`io::ErrorKind::InvalidData`] if the head is too long.
pub async fn read_request(stream: &mut TcpStream) -> io::Result<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
        if head.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok()).flatten()
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok((head, body))
}

async fn send(stream: &mut TcpStream, counters: &Counters, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await?;
    counters.sent_bytes.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    Ok(())
}

/// Sends `start`, and `more` until the peer closes the connection.
async fn flood(
    stream: &mut TcpStream,
    counters: &Counters,
    start: &str,
    more: &str,
) -> io::Result<()> {
    send(stream, counters, start.as_bytes()).await?;
    let block = more.repeat(FLOOD_BYTES.div_ceil(more.len()));
    loop {
        send(stream, counters, block.as_bytes()).await?;
    }
}

/// Waits until the peer closes the connection.
async fn wait_for_close(stream: &mut TcpStream) -> io::Result<()> {
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// The head of a sound response without its length, and its body.
fn split(response: &str) -> (String, &str) {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let is_kept = |line: &&str| !line.to_ascii_lowercase().starts_with("content-length");
    let head: Vec<_> = head.lines().filter(is_kept).collect();
    (head.join("\r\n"), body)
}

async fn serve(
    mut stream: TcpStream,
    misbehaviour: Misbehaviour,
    sound: &SoundResponse,
    counters: &Counters,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut last: Option<String> = None;
    loop {
        let (request, _) = read_request(&mut stream).await?;
        counters.requests.fetch_add(1, Ordering::SeqCst);
        let response = sound(&request);
        if misbehaviour == Misbehaviour::LateSecondCopy {
            if let Some(last) = last.replace(response.clone()) {
                send(&mut stream, counters, last.as_bytes()).await?;
            }
            send(&mut stream, counters, response.as_bytes()).await?;
        } else {
            misbehave(&mut stream, misbehaviour, &response, counters).await?;
            return Ok(());
        }
    }
}

async fn misbehave(
    stream: &mut TcpStream,
    misbehaviour: Misbehaviour,
    response: &str,
    counters: &Counters,
) -> io::Result<()> {
    let (head, body) = split(response);
    let half = &response.as_bytes()[..response.len() - body.len() / 2 - 1];
    let chunked = format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n");
    match misbehaviour {
        Misbehaviour::LateSecondCopy => Ok(()),
        Misbehaviour::EndlessHead => {
            flood(stream, counters, &format!("{head}\r\n"), "X-More: more\r\n").await
        }
        Misbehaviour::EndlessHeaderLine => {
            flood(stream, counters, &format!("{head}\r\nX-More: "), "more").await
        }
        Misbehaviour::EndlessInterim => {
            flood(stream, counters, "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n").await
        }
        Misbehaviour::EndlessBody => flood(stream, counters, &chunked, "8\r\nmoremore\r\n").await,
        Misbehaviour::EndlessUnframedBody => {
            flood(stream, counters, &format!("{head}\r\n\r\n"), "more").await
        }
        Misbehaviour::EndlessChunkExtension => {
            flood(stream, counters, &format!("{chunked}2;x="), "more").await
        }
        Misbehaviour::EndlessTrailers => {
            let start = format!("{chunked}{:x}\r\n{body}\r\n0\r\n", body.len());
            flood(stream, counters, &start, "X-More: more\r\n").await
        }
        Misbehaviour::AbsurdChunk => {
            flood(stream, counters, &format!("{chunked}fffffffffffffff0\r\n"), "more").await
        }
        Misbehaviour::NoHttp => flood(stream, counters, "", "\u{7f}\u{1}no http\r\n").await,
        Misbehaviour::TwoLengths => {
            let length = body.len();
            let text = format!(
                "{head}\r\nContent-Length: {length}\r\nContent-Length: {}\r\n\r\n{body}",
                length / 2
            );
            send(stream, counters, text.as_bytes()).await?;
            wait_for_close(stream).await
        }
        Misbehaviour::LengthAndChunks => {
            let text = format!(
                "{head}\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                body.len() / 2,
                body.len()
            );
            send(stream, counters, text.as_bytes()).await?;
            wait_for_close(stream).await
        }
        Misbehaviour::CloseHalfway => send(stream, counters, half).await,
        Misbehaviour::ResetHalfway => {
            send(stream, counters, half).await?;
            reset(stream)
        }
        Misbehaviour::SilenceHalfway => {
            send(stream, counters, half).await?;
            wait_for_close(stream).await
        }
        Misbehaviour::UnframedResetHalfway => {
            let text = format!("{head}\r\n\r\n{}", &body[..body.len() / 2]);
            send(stream, counters, text.as_bytes()).await?;
            // The peer reads what was sent before the reset, which would discard it.
            sleep(TRICKLE_PAUSE).await;
            reset(stream)
        }
        Misbehaviour::BytesAfterEnd => {
            send(stream, counters, response.as_bytes()).await?;
            send(stream, counters, response.as_bytes()).await?;
            wait_for_close(stream).await
        }
        Misbehaviour::TricklingHead => {
            send(stream, counters, head.as_bytes()).await?;
            loop {
                send(stream, counters, b"\r\nX: y").await?;
                sleep(TRICKLE_PAUSE).await;
            }
        }
        Misbehaviour::Silence => wait_for_close(stream).await,
    }
}

/// Makes the close of the connection a reset.
fn reset(stream: &TcpStream) -> io::Result<()> {
    stream.set_zero_linger()
}
