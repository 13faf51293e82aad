//! A caller that sends requests on new connections until an instance refuses them, as during a planned stop.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::Duration,
};

use tokio::time::{interval, timeout};

/// The longest wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// What came of the requests of one caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOutcomes {
    /// The complete responses, whatever their status.
    pub answered: usize,
    /// What came of the requests without one.
    pub cut: Vec<String>,
}

/// True if `response` ends where its headers say.
fn is_complete(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().parse::<usize>().ok()).flatten()
    });
    length == Some(body.len())
}

/// Sends `request`, which asks for the end of its connection, on new connections until `address` refuses one. `pause` lies
/// between connecting and sending.
pub fn call_until_refused(address: SocketAddr, request: &str, pause: Duration) -> CallOutcomes {
    let mut outcomes = CallOutcomes::default();
    loop {
        let mut stream = match TcpStream::connect(address) {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return outcomes,
            Err(error) => {
                outcomes.cut.push(error.to_string());
                continue;
            }
        };
        sleep(pause);
        let mut response = String::new();
        let result = stream
            .set_read_timeout(Some(RESPONSE_TIMEOUT))
            .and_then(|()| stream.write_all(request.as_bytes()))
            .and_then(|()| stream.read_to_string(&mut response));
        match result {
            Ok(_) if is_complete(&response) => outcomes.answered += 1,
            Ok(_) => outcomes.cut.push(format!("closed after {response:?}")),
            Err(error) => outcomes.cut.push(error.to_string()),
        }
    }
}

/// Connects until `address` establishes no more connections, as an instance that stops does, and returns the last one.
pub async fn last_connection(address: SocketAddr) -> Option<tokio::net::TcpStream> {
    /// Much longer than a connection takes on one machine. The first packet of a later one is dropped.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
    let mut last = None;
    let mut attempts = interval(Duration::from_millis(5));
    while let Ok(Ok(stream)) =
        timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address)).await
    {
        last = Some(stream);
        attempts.tick().await;
    }
    last
}

/// Runs `callers` callers at once until `address` refuses connections, and returns the sum of their outcomes.
pub fn call_at_once(address: SocketAddr, request: &str, callers: usize) -> CallOutcomes {
    /// The pauses between connecting and sending, in milliseconds.
    const PAUSES_MS: [u64; 4] = [0, 1, 5, 25];
    std::thread::scope(|scope| {
        let pauses = PAUSES_MS.iter().cycle().take(callers);
        let running: Vec<_> = pauses
            .map(|pause_ms| {
                let pause = Duration::from_millis(*pause_ms);
                scope.spawn(move || call_until_refused(address, request, pause))
            })
            .collect();
        running.into_iter().fold(CallOutcomes::default(), |mut sum, caller| {
            match caller.join() {
                Ok(outcomes) => {
                    sum.answered += outcomes.answered;
                    sum.cut.extend(outcomes.cut);
                }
                Err(_) => sum.cut.push("the caller panicked".to_owned()),
            }
            sum
        })
    })
}
