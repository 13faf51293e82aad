//! The server for callers: accepts connections and closes them without losing a request.
//!
//! Both front ends use it, on hyper's connections. The server loop of poem polls a connection once more after a response
//! body failed, which ends the chunked encoding as if the response were complete; here, a failed body ends the connection.
//!
//! A planned stop loses requests in two places if nothing prevents it: closing the listener resets connections that the
//! kernel has accepted, and hyper closes a connection on which it has read nothing, whatever the socket holds by then.
//! [`serve_callers`] therefore accepts what waits before it closes the listener, gives a new connection the time for its
//! first request, and looks for unread bytes before it ends an idle one. See `docs/design/shutdown.md`.

mod connection;
mod stream;

use std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::connection::serve_connection;
pub use crate::connection::{ConnectionLimits, set_socket_options};

/// The delay after a failed accept, for example when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Responds to the requests of callers.
pub trait Respond: Send + Sync + 'static {
    /// The body of a response. An error in it ends the connection, so that a truncated response never looks complete.
    type Body: hyper::body::Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>>
        + Send
        + 'static;

    /// The limits on a connection that is accepted now.
    fn connection_limits(&self) -> ConnectionLimits;

    /// Responds to a request of the caller at `from`.
    fn respond(
        &self,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// Accepts connections until `shutdown` is cancelled, then waits up to `drain_timeout` for the requests in progress.
/// Returns the number of connections that were closed with one in progress.
pub async fn serve_callers<R: Respond>(
    responder: Arc<R>,
    listener: TcpListener,
    shutdown: CancellationToken,
    drain_timeout: Duration,
) -> usize {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    connections.spawn(serve_connection(responder.clone(), stream, from, shutdown.clone()));
                }
                Err(error) => {
                    log::warn!(error:% = error; "can't accept a connection");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next() => {}
            () = shutdown.cancelled() => break,
        }
    }
    for (stream, from) in take_waiting(listener) {
        connections.spawn(serve_connection(responder.clone(), stream, from, shutdown.clone()));
    }
    let drained = async { while connections.join_next().await.is_some() {} };
    if timeout(drain_timeout, drained).await.is_err() {
        log::warn!(
            target: "life", left = connections.len();
            "drain timed out; closing the remaining connections"
        );
    }
    connections.len()
}

/// Accepts the connections that the kernel has established, and closes the listener, which would reset them.
fn take_waiting(listener: TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => {
            log::warn!(error:% = error; "can't take the waiting connections; they are reset");
            return Vec::new();
        }
    };
    let mut waiting = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, from)) => match into_tokio(stream) {
                Ok(stream) => waiting.push((stream, from)),
                Err(error) => {
                    log::warn!(error:% = error; "can't use a waiting connection; it is reset");
                }
            },
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            // None is left, or no further one can be accepted.
            Err(error) => {
                if error.kind() != io::ErrorKind::WouldBlock {
                    log::warn!(error:% = error; "can't accept a waiting connection; the rest is reset");
                }
                return waiting;
            }
        }
    }
}

fn into_tokio(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// The result of a service that can't fail.
type Served<B> = Result<Response<B>, Infallible>;
