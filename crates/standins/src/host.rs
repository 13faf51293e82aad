//! Runs a stand-in on a thread of its own, so that it can crash and come back at the same address.

use std::{
    io,
    net::{SocketAddr, TcpListener},
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
use tokio::sync::Notify;

/// Ends the current life of a stand-in.
#[derive(Debug, Clone, Default)]
pub struct Exits {
    notify: Arc<Notify>,
    down: Arc<AtomicBool>,
}

impl Exits {
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
pub struct Hosted {
    /// Where it takes HTTP.
    pub address: SocketAddr,
    exits: Exits,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Hosted {
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

impl Drop for Hosted {
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
    build: impl Fn(Exits) -> BoxEndpoint<'static, poem::Response> + Send + 'static,
) -> io::Result<Hosted> {
    let exits = Exits::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (bound, address) = mpsc::channel();
    let life = Life { exits: exits.clone(), stop: stop.clone(), restart };
    let thread = thread::spawn(move || life.run(listen, &bound, &build));
    let address = address.recv().map_err(io::Error::other)??;
    Ok(Hosted { address, exits, stop, thread: Some(thread) })
}

struct Life {
    exits: Exits,
    stop: Arc<AtomicBool>,
    restart: Duration,
}

impl Life {
    fn run(
        &self,
        listen: SocketAddr,
        bound: &mpsc::Sender<io::Result<SocketAddr>>,
        build: &dyn Fn(Exits) -> BoxEndpoint<'static, poem::Response>,
    ) {
        let mut listen = listen;
        while !self.stop.load(Ordering::Acquire) {
            match bind(listen) {
                Ok(listener) => {
                    listen = listener.local_addr().unwrap_or(listen);
                    let _ = bound.send(Ok(listen));
                    if let Err(error) = self.serve(listener, build(self.exits.clone())) {
                        log::error!("a stand-in failed: {error}");
                    }
                }
                Err(error) => drop(bound.send(Err(error))),
            }
            thread::sleep(self.restart);
            while self.exits.down.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn serve(
        &self,
        listener: TcpListener,
        app: BoxEndpoint<'static, poem::Response>,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let notify = self.exits.notify.clone();
        let result = runtime.block_on(async move {
            let acceptor =
                NoDelayAcceptor::from_tokio(tokio::net::TcpListener::from_std(listener)?)?;
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

fn bind(listen: SocketAddr) -> io::Result<TcpListener> {
    // tokio's listener sets SO_REUSEADDR, so that a crashed stand-in can come back at once.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(tokio::net::TcpListener::bind(listen))?.into_std()?;
    Ok(listener)
}
