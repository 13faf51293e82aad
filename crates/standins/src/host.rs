//! Runs a stand-in on a thread of its own, so that it can crash and come back at the same address.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc,
    },
    thread,
    time::Duration,
};

use bilberryford_node::NoDelayAcceptor;
use poem::{EndpointExt, Server, endpoint::BoxEndpoint};
use tokio::{net::TcpSocket, sync::Notify};

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Ends the current life of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct CrashHandle {
    notify: Arc<Notify>,
    down: Arc<AtomicBool>,
}

impl CrashHandle {
    /// Drops every connection and all state of this life; the stand-in comes back after its restart time.
    pub fn crash(&self) {
        self.notify.notify_one();
    }

    /// Keeps the stand-in down after its next crash, or lets it come back.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Release);
    }
}

/// A stand-in that runs.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where it takes HTTP.
    pub address: SocketAddr,
    exits: CrashHandle,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ServerHandle {
    /// The base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Ends its current life, as a crash of the process would.
    pub fn crash(&self) {
        self.exits.crash();
    }

    /// Ends its life and keeps it down until it is let up again.
    pub fn set_down(&self, down: bool) {
        self.exits.set_down(down);
        if down {
            self.exits.crash();
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.exits.set_down(false);
        self.exits.crash();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in; `build` makes a fresh application for each life.
///
/// # Errors
///
/// The operating system's error when the address can't be bound.
pub fn host(
    listen: SocketAddr,
    restart: Duration,
    build: impl Fn(CrashHandle) -> BoxEndpoint<'static, poem::Response> + Send + 'static,
) -> io::Result<ServerHandle> {
    let exits = CrashHandle::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (bound, address) = mpsc::channel();
    let life = Life { exits: exits.clone(), stop: stop.clone(), restart };
    let thread = thread::spawn(move || life.run(listen, &bound, &build));
    let address = address.recv().map_err(io::Error::other)??;
    Ok(ServerHandle { address, exits, stop, thread: Some(thread) })
}

struct Life {
    exits: CrashHandle,
    stop: Arc<AtomicBool>,
    restart: Duration,
}

impl Life {
    /// # Invariant
    ///
    /// `reserved` is bound for as long as the stand-in exists, but never listens. Between two lives connections are
    /// refused, and no outgoing connection of this machine can take the port meanwhile.
    fn run(
        &self,
        listen: SocketAddr,
        bound: &mpsc::Sender<io::Result<SocketAddr>>,
        build: &dyn Fn(CrashHandle) -> BoxEndpoint<'static, poem::Response>,
    ) {
        let reserved = socket(listen).and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (address, _reserved) = match reserved {
            Ok(reserved) => reserved,
            Err(error) => return drop(bound.send(Err(error))),
        };
        while !self.stop.load(Ordering::Acquire) {
            if let Err(error) = self.serve(address, bound, build(self.exits.clone())) {
                log::error!("a stand-in failed: {error}");
            }
            thread::sleep(self.restart);
            while self.exits.down.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn serve(
        &self,
        address: SocketAddr,
        bound: &mpsc::Sender<io::Result<SocketAddr>>,
        app: BoxEndpoint<'static, poem::Response>,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let notify = self.exits.notify.clone();
        let result = runtime.block_on(async move {
            let acceptor = NoDelayAcceptor::from_tokio(socket(address)?.listen(BACKLOG)?)?;
            let _ = bound.send(Ok(address));
            let server = Server::new_with_acceptor(acceptor).run(app.map_to_response());
            tokio::select! {
                result = server => result,
                () = notify.notified() => Ok(()),
            }
        });
        // Dropping the runtime closes every connection, as the end of a process would.
        runtime.shutdown_background();
        result
    }
}

/// A socket bound to `address`, which several sockets of this process may be.
fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}
