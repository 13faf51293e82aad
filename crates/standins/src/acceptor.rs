//! Accepts connections with Nagle's algorithm disabled, since a token must be sent as soon as it is written.

use std::io;

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::TcpStream;

/// A TCP acceptor that sets `TCP_NODELAY` on each connection.
pub(crate) struct NoDelayAcceptor(TcpAcceptor);

impl NoDelayAcceptor {
    /// Creates an acceptor from a bound listener.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the listener can't be used.
    pub(crate) fn from_tokio(listener: tokio::net::TcpListener) -> io::Result<Self> {
        TcpAcceptor::from_tokio(listener).map(Self)
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(TcpStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.0.accept().await?;
        // Without the option the connection still works, with higher latency.
        let _ = stream.set_nodelay(true);
        Ok((stream, local, remote, scheme))
    }
}
