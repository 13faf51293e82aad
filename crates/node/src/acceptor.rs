//! Takes connections without Nagle's algorithm: a token must leave as soon as it is written.

use std::io;

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::TcpStream;

/// A TCP acceptor that sends small writes at once.
pub struct NoDelayAcceptor(TcpAcceptor);

impl NoDelayAcceptor {
    /// Wraps a bound listener.
    ///
    /// # Errors
    ///
    /// The operating system's error when the listener can't be used.
    pub fn from_tokio(listener: tokio::net::TcpListener) -> io::Result<Self> {
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
        // A socket that refuses the option still works, only slower.
        let _ = stream.set_nodelay(true);
        Ok((stream, local, remote, scheme))
    }
}
