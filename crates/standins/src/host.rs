//! Runs a stand-in's HTTP server on its own thread, so that it can crash and restart at the same address.

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

use crate::acceptor::NoDelayAcceptor;
use bilberryford_endpoint::ATTEMPT_HEADER;
use poem::{Endpoint, EndpointExt, Server, endpoint::BoxEndpoint};
use tokio::{net::TcpSocket, sync::Notify};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Crashes a stand-in from within its application.
#[derive(Debug, Clone, Default)]
pub struct CrashHandle {
    notify: Arc<Notify>,
    is_down: Arc<AtomicBool>,
}

impl CrashHandle {
    /// Drops every connection and the application with its state; the stand-in restarts after its restart time.
    pub fn crash(&self) {
        self.notify.notify_one();
    }

    /// With true, the stand-in stays down after its next crash; with false, it restarts.
    pub fn set_down(&self, down: bool) {
        self.is_down.store(down, Ordering::Release);
    }
}

/// A running stand-in; dropping the handle stops it.
#[derive(Debug)]
pub struct ServerHandle {
    /// The address of its HTTP server.
    pub address: SocketAddr,
    crash_handle: CrashHandle,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ServerHandle {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Drops all connections and state, as a crash of the process would.
    pub fn crash(&self) {
        self.crash_handle.crash();
    }

    /// With true, crashes the stand-in and keeps it down; with false, lets it restart.
    pub fn set_down(&self, down: bool) {
        self.crash_handle.set_down(down);
        if down {
            self.crash_handle.crash();
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        self.crash_handle.set_down(false);
        self.crash_handle.crash();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts a stand-in; `build_app` creates the application at the start and after each crash.
///
/// # Errors
///
/// Returns the operating system's error if the address can't be bound.
pub fn host(
    listen: SocketAddr,
    restart: Duration,
    build_app: impl Fn(CrashHandle) -> BoxEndpoint<'static, poem::Response> + Send + 'static,
) -> io::Result<ServerHandle> {
    let crash_handle = CrashHandle::default();
    let stop = Arc::new(AtomicBool::new(false));
    let (address_sender, address) = mpsc::channel();
    let supervisor = Supervisor { crash_handle: crash_handle.clone(), stop: stop.clone(), restart };
    let thread = thread::spawn(move || supervisor.run(listen, &address_sender, &build_app));
    let address = address.recv().map_err(io::Error::other)??;
    Ok(ServerHandle { address, crash_handle, stop, thread: Some(thread) })
}

struct Supervisor {
    crash_handle: CrashHandle,
    stop: Arc<AtomicBool>,
    restart: Duration,
}

impl Supervisor {
    /// # Invariant
    ///
    /// `_reserved` is bound for as long as the stand-in exists, but never listens. Between a crash and the restart,
    /// connections are refused and no outgoing connection of this machine can take the port.
    fn run(
        &self,
        listen: SocketAddr,
        address_sender: &mpsc::Sender<io::Result<SocketAddr>>,
        build_app: &dyn Fn(CrashHandle) -> BoxEndpoint<'static, poem::Response>,
    ) {
        let reserved = socket(listen).and_then(|socket| Ok((socket.local_addr()?, socket)));
        let (address, _reserved) = match reserved {
            Ok(reserved) => reserved,
            Err(error) => return drop(address_sender.send(Err(error))),
        };
        while !self.stop.load(Ordering::Acquire) {
            if let Err(error) =
                self.serve(address, address_sender, build_app(self.crash_handle.clone()))
            {
                log::error!("stand-in server failed: {error}");
            }
            thread::sleep(self.restart);
            while self.crash_handle.is_down.load(Ordering::Acquire) {
                thread::sleep(Duration::from_millis(10));
            }
        }
    }

    fn serve(
        &self,
        address: SocketAddr,
        address_sender: &mpsc::Sender<io::Result<SocketAddr>>,
        app: BoxEndpoint<'static, poem::Response>,
    ) -> io::Result<()> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let notify = self.crash_handle.notify.clone();
        let result = runtime.block_on(async move {
            let acceptor = NoDelayAcceptor::from_tokio(socket(address)?.listen(BACKLOG)?)?;
            let _ = address_sender.send(Ok(address));
            let server = Server::new_with_acceptor(acceptor).run(app.around(echo_attempt));
            tokio::select! {
                result = server => result,
                () = notify.notified() => Ok(()),
            }
        });
        // Shutting the runtime down closes every connection, as the end of a process would.
        runtime.shutdown_background();
        result
    }
}

/// Binds a socket to `address`, to which other sockets of this process may be bound at the same time.
fn socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Repeats the attempt's id, so that callers can use a connection again.
async fn echo_attempt(
    app: Arc<BoxEndpoint<'static, poem::Response>>,
    request: poem::Request,
) -> poem::Result<poem::Response> {
    let attempt = request.headers().get(ATTEMPT_HEADER).cloned();
    let mut response = Endpoint::get_response(&app, request).await;
    if let Some(attempt) = attempt {
        response.headers_mut().insert(ATTEMPT_HEADER, attempt);
    }
    Ok(response)
}
