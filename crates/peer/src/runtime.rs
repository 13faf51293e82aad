//! The thread that capnp-rpc lives on.

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
    traffic::{Counted, LastRead},
};
use crate::{PeerClient, PeerError, PeerHandler, client::Call, peer_capnp};

pub(crate) use self::traffic::Counters;
pub use self::traffic::PeerTraffic;

/// How many calls may wait for the thread.
const QUEUE_LIMIT: usize = 1_024;
/// How many peers may be connected to us at once.
const MAX_INBOUND: usize = 1_024;
/// How many outgoing connections are kept; those that were idle longest make room.
const MAX_OUTBOUND: usize = 64;
/// How long an outgoing connection may be idle and still be used; a longer one may have gone silent.
const OUTBOUND_IDLE: Duration = Duration::from_secs(20);
/// How long an incoming connection may be idle before it is dropped.
const INBOUND_IDLE: Duration = Duration::from_secs(60);

/// The thread that serves peers and makes calls to them; it ends when it is dropped.
#[derive(Debug)]
pub struct PeerRuntime {
    address: SocketAddr,
    client: PeerClient,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl PeerRuntime {
    /// Starts the thread, which serves `listener`.
    ///
    /// # Errors
    ///
    /// The operating system's error when the listener can't be used or the thread can't be started.
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
            .spawn(move || run(listener, handler, queue, stopped, counters))?;
        Ok(Self { address, client, stop: Some(stop), thread: Some(thread) })
    }

    /// The address that was bound.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// A handle to make calls with.
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

fn run(
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
        let calls = spawn_local(make_calls(queue, counters));
        let _ = stopped.await;
        calls.abort();
    });
}

async fn accept(listener: TcpListener, handler: Arc<dyn PeerHandler>, counters: Arc<Counters>) {
    let connections = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        if Rc::strong_count(&connections) > MAX_INBOUND {
            continue;
        }
        let guard = connections.clone();
        let service: peer_capnp::peer::Client =
            capnp_rpc::new_client(Service { handler: handler.clone() });
        let last_read = LastRead::now();
        let network = network(stream, Side::Server, &counters, &last_read);
        let system = RpcSystem::new(Box::new(network), Some(service.client));
        spawn_local(async move {
            tokio::select! {
                _ = system => {}
                () = idle(&last_read, INBOUND_IDLE) => {}
            }
            drop(guard);
        });
    }
}

/// Ends when nothing has come in for `span`.
async fn idle(last_read: &LastRead, span: Duration) {
    while last_read.elapsed() < span {
        tokio::time::sleep(span - last_read.elapsed().min(span)).await;
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
    let reader = Counted { half: reader, counters: counters.clone(), last_read: last_read.clone() };
    let writer = Counted { half: writer, counters, last_read };
    twoparty::VatNetwork::new(reader, writer, side, Default::default())
}

/// One connection to a peer, dropped at the first failed call so that a silent one is not used again.
struct Outbound {
    peer: peer_capnp::peer::Client,
    last_read: LastRead,
    task: JoinHandle<()>,
}

impl Drop for Outbound {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The outgoing connections by address.
#[derive(Clone)]
struct Connections {
    by_address: Rc<RefCell<HashMap<SocketAddr, Rc<Outbound>>>>,
    counters: Arc<Counters>,
}

impl Connections {
    fn known(&self, to: SocketAddr) -> Option<Rc<Outbound>> {
        let known = self.by_address.borrow().get(&to).cloned()?;
        (known.last_read.elapsed() < OUTBOUND_IDLE).then_some(known)
    }

    async fn get(&self, to: SocketAddr) -> Result<Rc<Outbound>, PeerError> {
        if let Some(known) = self.known(to) {
            return Ok(known);
        }
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| PeerError::Connect { reason: error.to_string() })?;
        let last_read = LastRead::now();
        let network = network(stream, Side::Client, &self.counters, &last_read);
        let mut system = RpcSystem::new(Box::new(network), None);
        let peer = system.bootstrap(Side::Server);
        let task = spawn_local(async move { drop(system.await) });
        let outbound = Rc::new(Outbound { peer, last_read, task });
        self.keep(to, outbound.clone());
        Ok(outbound)
    }

    fn keep(&self, to: SocketAddr, outbound: Rc<Outbound>) {
        let mut by_address = self.by_address.borrow_mut();
        by_address.retain(|_, outbound| outbound.last_read.elapsed() < OUTBOUND_IDLE);
        if by_address.len() >= MAX_OUTBOUND {
            let idle = by_address.iter().max_by_key(|(_, outbound)| outbound.last_read.elapsed());
            if let Some(address) = idle.map(|(address, _)| *address) {
                by_address.remove(&address);
            }
        }
        by_address.insert(to, outbound);
    }

    fn give_up(&self, to: SocketAddr) {
        self.by_address.borrow_mut().remove(&to);
    }
}

async fn make_calls(mut queue: mpsc::Receiver<Call>, counters: Arc<Counters>) {
    let connections = Connections { by_address: Rc::default(), counters };
    while let Some(call) = queue.recv().await {
        let connections = connections.clone();
        connections.counters.count_call();
        spawn_local(async move {
            let span = Duration::from_millis(call.timeout.get());
            let work = async {
                let outbound = connections.get(call.to).await?;
                request::perform(&outbound.peer, call.kind).await
            };
            let result = timeout(span, work).await.unwrap_or(Err(PeerError::Timeout));
            if result.is_err() {
                connections.give_up(call.to);
            }
            let _ = call.reply.send(result);
        });
    }
}
