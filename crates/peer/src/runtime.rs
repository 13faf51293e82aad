//! The peer thread, which runs capnp-rpc, and its connections.

mod request;
mod service;
mod traffic;

use std::{
    cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, sync::Arc, thread,
    time::Duration,
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::AsyncReadExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::{JoinHandle, LocalSet, spawn_local},
    time::timeout,
};

use self::{
    service::Service,
    traffic::{CountingStream, LastRead},
};
use crate::{PeerClient, PeerError, PeerHandler, client::Call, peer_capnp};

pub(crate) use self::traffic::Counters;
pub use self::traffic::PeerTraffic;

/// The maximum number of outgoing calls that wait for the peer thread.
const QUEUE_LIMIT: usize = 1_024;
/// The maximum number of incoming connections; further ones are closed at once.
const MAX_INBOUND: usize = 1_024;
/// The maximum number of pooled outgoing connections; the one that was idle longest is evicted.
const MAX_OUTBOUND: usize = 64;
/// The idle time after which an outgoing connection is not reused, because it may have stalled unnoticed.
const OUTBOUND_IDLE: Duration = Duration::from_secs(20);
/// The idle time after which an incoming connection is closed.
const INBOUND_IDLE: Duration = Duration::from_secs(60);

/// The thread that serves peers and makes calls to them. Dropping it stops the thread and waits for its end.
#[derive(Debug)]
pub struct PeerRuntime {
    address: SocketAddr,
    client: PeerClient,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeerRuntime {
    /// Starts the thread, which accepts connections from `listener`.
    ///
    /// # Errors
    ///
    /// The operating system's error if the listener can't be used or the thread can't be started.
    pub fn start(
        listener: std::net::TcpListener,
        handler: Arc<dyn PeerHandler>,
    ) -> io::Result<Self> {
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (calls, queue) = mpsc::channel(QUEUE_LIMIT);
        let (stop, stopped) = oneshot::channel();
        let counters = Arc::new(Counters::default());
        let client = PeerClient::new(calls, counters.clone());
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run_thread(listener, handler, queue, stopped, counters))?;
        Ok(Self { address, client, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the local address of the listener.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle for calls to peers.
    pub fn client(&self) -> PeerClient {
        self.client.clone()
    }
}

impl Drop for PeerRuntime {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_thread(
    listener: std::net::TcpListener,
    handler: Arc<dyn PeerHandler>,
    queue: mpsc::Receiver<Call>,
    stopped: oneshot::Receiver<()>,
    counters: Arc<Counters>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the peer runtime can't be built: {error}");
            return;
        }
    };
    LocalSet::new().block_on(&runtime, async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => drop(spawn_local(accept(listener, handler, counters.clone()))),
            Err(error) => log::error!("the peer listener can't be used: {error}"),
        }
        let calls = spawn_local(dispatch_calls(queue, counters));
        let _ = stopped.await;
        calls.abort();
    });
}

async fn accept(listener: TcpListener, handler: Arc<dyn PeerHandler>, counters: Arc<Counters>) {
    // Every open connection holds a clone, so the reference count bounds their number.
    let open_connections = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if Rc::strong_count(&open_connections) > MAX_INBOUND {
            continue;
        }
        let connection_guard = open_connections.clone();
        let service: peer_capnp::peer::Client =
            capnp_rpc::new_client(Service { handler: handler.clone() });
        let last_read = LastRead::now();
        let network = network(stream, Side::Server, &counters, &last_read);
        let system = RpcSystem::new(Box::new(network), Some(service.client));
        spawn_local(async move {
            tokio::select! {
                _ = system => {}
                () = wait_until_idle(&last_read, INBOUND_IDLE) => {}
            }
            drop(connection_guard);
        });
    }
}

/// Completes once nothing has been read for `max_idle`.
async fn wait_until_idle(last_read: &LastRead, max_idle: Duration) {
    while last_read.elapsed() < max_idle {
        tokio::time::sleep(max_idle - last_read.elapsed().min(max_idle)).await;
    }
}

fn network(
    stream: TcpStream,
    side: Side,
    counters: &Arc<Counters>,
    last_read: &LastRead,
) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin + use<>> {
    let _ = stream.set_nodelay(true);
    let stream = tokio_util::compat::TokioAsyncReadCompatExt::compat(stream);
    let (reader, writer) = stream.split();
    let (counters, last_read) = (counters.clone(), last_read.clone());
    let reader =
        CountingStream { inner: reader, counters: counters.clone(), last_read: last_read.clone() };
    let writer = CountingStream { inner: writer, counters, last_read };
    twoparty::VatNetwork::new(reader, writer, side, Default::default())
}

/// A connection to a peer. It is dropped at the first failed call, so that a stalled connection is not reused.
struct OutboundConnection {
    peer: peer_capnp::peer::Client,
    last_read: LastRead,
    task: JoinHandle<()>,
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The pool of outgoing connections, by address.
#[derive(Clone)]
struct ConnectionPool {
    by_address: Rc<RefCell<HashMap<SocketAddr, Rc<OutboundConnection>>>>,
    counters: Arc<Counters>,
}

impl ConnectionPool {
    fn reusable(&self, to: SocketAddr) -> Option<Rc<OutboundConnection>> {
        let connection = self.by_address.borrow().get(&to).cloned()?;
        (connection.last_read.elapsed() < OUTBOUND_IDLE).then_some(connection)
    }

    /// Returns a pooled connection to the peer, or establishes one.
    async fn get(&self, to: SocketAddr) -> Result<Rc<OutboundConnection>, PeerError> {
        if let Some(connection) = self.reusable(to) {
            return Ok(connection);
        }
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| PeerError::Connect { reason: error.to_string() })?;
        let last_read = LastRead::now();
        let network = network(stream, Side::Client, &self.counters, &last_read);
        let mut system = RpcSystem::new(Box::new(network), None);
        let peer = system.bootstrap(Side::Server);
        let task = spawn_local(async move { drop(system.await) });
        let connection = Rc::new(OutboundConnection { peer, last_read, task });
        self.insert(to, connection.clone());
        Ok(connection)
    }

    fn insert(&self, to: SocketAddr, connection: Rc<OutboundConnection>) {
        let mut by_address = self.by_address.borrow_mut();
        by_address.retain(|_, pooled| pooled.last_read.elapsed() < OUTBOUND_IDLE);
        if by_address.len() >= MAX_OUTBOUND {
            let longest_idle =
                by_address.iter().max_by_key(|(_, pooled)| pooled.last_read.elapsed());
            if let Some(address) = longest_idle.map(|(address, _)| *address) {
                by_address.remove(&address);
            }
        }
        by_address.insert(to, connection);
    }

    fn remove(&self, to: SocketAddr) {
        self.by_address.borrow_mut().remove(&to);
    }
}

async fn dispatch_calls(mut queue: mpsc::Receiver<Call>, counters: Arc<Counters>) {
    let pool = ConnectionPool { by_address: Rc::default(), counters };
    while let Some(call) = queue.recv().await {
        let pool = pool.clone();
        pool.counters.count_call();
        spawn_local(async move {
            let deadline = Duration::from_millis(call.timeout.get());
            let reply = async {
                let connection = pool.get(call.to).await?;
                request::call_peer(&connection.peer, call.kind).await
            };
            let result = timeout(deadline, reply).await.unwrap_or(Err(PeerError::Timeout));
            if result.is_err() {
                pool.remove(call.to);
            }
            let _ = call.reply_sender.send(result);
        });
    }
}
