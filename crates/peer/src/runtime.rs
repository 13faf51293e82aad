//! The thread that capnp-rpc lives on.

use std::{collections::HashMap, io, net::SocketAddr, rc::Rc, sync::Arc, thread, time::Duration};

use bilberryford_types::{Generation, ObjectVersion, Priority, TimeMs, Tokens};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::{AsyncReadExt, FutureExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot},
    task::{LocalSet, spawn_local},
    time::timeout,
};

use crate::{
    Borrow, BorrowReply, ConfigReply, PeerClient, PeerError, PeerHandler, PlaceReply, PlaceRequest,
    Suspect, SuspectReply,
    client::{Call, CallKind, Reply},
    convert, peer_capnp,
};

/// How many calls may wait for the thread.
const QUEUE_LIMIT: usize = 1_024;
/// How many peers may be connected to us at once.
const MAX_INBOUND: usize = 1_024;
/// How many outgoing connections are kept; the oldest idle one is not tracked, all are dropped at the limit.
const MAX_OUTBOUND: usize = 512;

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
        let thread = thread::Builder::new()
            .name("peer".to_owned())
            .spawn(move || run(listener, handler, queue, stopped))?;
        Ok(Self { address, client: PeerClient::new(calls), stop: Some(stop), thread: Some(thread) })
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
            Ok(listener) => drop(spawn_local(accept(listener, handler))),
            Err(error) => log::error!("the peer listener can't be used: {error}"),
        }
        let calls = spawn_local(make_calls(queue));
        let _ = stopped.await;
        calls.abort();
    });
}

async fn accept(listener: TcpListener, handler: Arc<dyn PeerHandler>) {
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
        let system = RpcSystem::new(Box::new(network(stream, Side::Server)), Some(service.client));
        spawn_local(system.map(move |_| drop(guard)));
    }
}

fn network(stream: TcpStream, side: Side) -> twoparty::VatNetwork<impl futures::AsyncRead + Unpin> {
    let _ = stream.set_nodelay(true);
    let stream = tokio_util::compat::TokioAsyncReadCompatExt::compat(stream);
    let (reader, writer) = stream.split();
    twoparty::VatNetwork::new(reader, writer, side, Default::default())
}

/// One connection to a peer, dropped at the first failed call so that a silent one is not used again.
struct Outbound {
    peer: peer_capnp::peer::Client,
}

async fn make_calls(mut queue: mpsc::Receiver<Call>) {
    let peers: Rc<std::cell::RefCell<HashMap<SocketAddr, Rc<Outbound>>>> = Rc::default();
    while let Some(call) = queue.recv().await {
        let peers = peers.clone();
        spawn_local(async move {
            let span = Duration::from_millis(call.timeout.get());
            let known = peers.borrow().get(&call.to).cloned();
            let work = async {
                let outbound = match known {
                    Some(outbound) => outbound,
                    None => {
                        let outbound = Rc::new(connect(call.to).await?);
                        let mut peers = peers.borrow_mut();
                        if peers.len() >= MAX_OUTBOUND {
                            peers.clear();
                        }
                        peers.insert(call.to, outbound.clone());
                        outbound
                    }
                };
                perform(&outbound.peer, call.kind).await
            };
            let result = timeout(span, work).await.unwrap_or(Err(PeerError::Timeout));
            if result.is_err() {
                peers.borrow_mut().remove(&call.to);
            }
            let _ = call.reply.send(result);
        });
    }
}

async fn connect(to: SocketAddr) -> Result<Outbound, PeerError> {
    let stream = TcpStream::connect(to)
        .await
        .map_err(|error| PeerError::Connect { reason: error.to_string() })?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let peer = system.bootstrap(Side::Server);
    spawn_local(system);
    Ok(Outbound { peer })
}

async fn perform(peer: &peer_capnp::peer::Client, kind: CallKind) -> Result<Reply, PeerError> {
    let reply = match kind {
        CallKind::Heartbeat(beat) => {
            let mut request = peer.heartbeat_request();
            convert::write_heartbeat(&beat, request.get().init_beat());
            let response = request.send().promise.await?;
            Reply::Heartbeat(Box::new(convert::read_heartbeat(response.get()?.get_beat()?)?))
        }
        CallKind::Configuration(above) => {
            let mut request = peer.configuration_request();
            request.get().set_above(above.get());
            let response = request.send().promise.await?;
            let results = response.get()?;
            let reply = ConfigReply {
                generation: Generation(results.get_generation()),
                version: ObjectVersion(results.get_version()),
                body: results.get_body()?.to_vec(),
            };
            Reply::Configuration((reply.generation > above).then_some(reply))
        }
        CallKind::Suspect(suspect) => {
            let mut request = peer.suspect_request();
            let mut params = request.get();
            params.set_fingerprint(&suspect.fingerprint.0);
            params.set_attempt(suspect.attempt.as_str());
            params.set_verdict(convert::write_verdict(suspect.verdict));
            params.set_span_ms(suspect.span.get());
            let response = request.send().promise.await?;
            let results = response.get()?;
            Reply::Suspect(SuspectReply {
                crashes: results.get_crashes(),
                quarantined: results.get_quarantined(),
                granted: results.get_granted(),
            })
        }
        CallKind::PickedUp(run) => {
            let mut request = peer.picked_up_request();
            request.get().set_run(run.as_str());
            request.send().promise.await?;
            Reply::PickedUp(())
        }
        CallKind::Borrow(borrow) => {
            let mut request = peer.borrow_request();
            let mut params = request.get();
            params.set_team(borrow.team.as_str());
            params.set_borrower(borrow.borrower.as_str());
            params.set_in_use(borrow.in_use);
            params.set_want(borrow.want);
            let response = request.send().promise.await?;
            let results = response.get()?;
            let valid = TimeMs(results.get_valid_ms().into());
            Reply::Borrow(BorrowReply { granted: results.get_granted(), valid })
        }
        CallKind::Place(place) => {
            let mut request = peer.place_request();
            write_place(&place, request.get().init_request());
            let response = request.send().promise.await?;
            let decision = response.get()?.get_decision()?;
            Reply::Place(read_decision(decision)?)
        }
    };
    Ok(reply)
}

fn write_place(place: &PlaceRequest, mut builder: peer_capnp::place_request::Builder<'_>) {
    builder.set_model(place.model.as_str());
    builder.set_weight_version(place.weight_version.as_str());
    builder.set_priority(place.priority as u8);
    builder.set_prompt_tokens(place.prompt_tokens.get());
    builder.set_max_tokens(place.max_tokens.get());
    builder.set_deadline_ms(place.deadline.get());
    let mut chain = builder.reborrow().init_chain(place.chain.len() as u32);
    for (index, digest) in (0..).zip(&place.chain) {
        chain.set(index, &digest.0);
    }
    let mut excluded = builder.init_excluded(place.excluded.len() as u32);
    for (index, endpoint) in (0..).zip(&place.excluded) {
        excluded.set(index, endpoint.as_str());
    }
}

fn read_place(reader: peer_capnp::place_request::Reader<'_>) -> Result<PlaceRequest, capnp::Error> {
    let chain = reader.get_chain()?;
    let excluded = reader.get_excluded()?;
    convert::bounded(chain.len())?;
    convert::bounded(excluded.len())?;
    let priority = match reader.get_priority() {
        0 => Priority::Batch,
        1 => Priority::Standard,
        2 => Priority::Interactive,
        _ => return Err(convert::bad("unknown priority")),
    };
    Ok(PlaceRequest {
        model: convert::text(reader.get_model()?)?,
        weight_version: convert::text(reader.get_weight_version()?)?,
        priority,
        prompt_tokens: Tokens(reader.get_prompt_tokens()),
        max_tokens: Tokens(reader.get_max_tokens()),
        deadline: TimeMs(reader.get_deadline_ms()),
        chain: chain.iter().map(|data| convert::digest(data?)).collect::<Result<_, _>>()?,
        excluded: excluded.iter().map(|name| convert::text(name?)).collect::<Result<_, _>>()?,
    })
}

fn read_decision(
    reader: peer_capnp::place_decision::Reader<'_>,
) -> Result<Option<PlaceReply>, capnp::Error> {
    let endpoint = reader.get_endpoint()?;
    if endpoint.is_empty() {
        return Ok(None);
    }
    let store = reader.get_store()?;
    Ok(Some(PlaceReply {
        endpoint: convert::text(endpoint)?,
        store: if store.is_empty() { None } else { Some(convert::text(store)?) },
        import_blocks: reader.get_import_blocks(),
        reason: reader.get_reason()?.to_string().map_err(convert::bad)?,
    }))
}

struct Service {
    handler: Arc<dyn PeerHandler>,
}

impl peer_capnp::peer::Server for Service {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer_capnp::peer::HeartbeatParams,
        mut results: peer_capnp::peer::HeartbeatResults,
    ) -> Result<(), capnp::Error> {
        let beat = convert::read_heartbeat(params.get()?.get_beat()?)?;
        let reply = self.handler.heartbeat(beat);
        convert::write_heartbeat(&reply, results.get().init_beat());
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer_capnp::peer::ConfigurationParams,
        mut results: peer_capnp::peer::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let above = Generation(params.get()?.get_above());
        if let Some(reply) = self.handler.configuration(above) {
            let mut builder = results.get();
            builder.set_generation(reply.generation.get());
            builder.set_version(reply.version.get());
            builder.set_body(&reply.body);
        }
        Ok(())
    }

    async fn suspect(
        self: Rc<Self>,
        params: peer_capnp::peer::SuspectParams,
        mut results: peer_capnp::peer::SuspectResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.handler.suspect(Suspect {
            fingerprint: convert::digest(params.get_fingerprint()?)?,
            attempt: params.get_attempt()?.to_string().map_err(convert::bad)?,
            verdict: convert::read_verdict(params.get_verdict()?),
            span: TimeMs(params.get_span_ms()),
        });
        let mut builder = results.get();
        builder.set_crashes(reply.crashes);
        builder.set_quarantined(reply.quarantined);
        builder.set_granted(reply.granted);
        Ok(())
    }

    async fn picked_up(
        self: Rc<Self>,
        params: peer_capnp::peer::PickedUpParams,
        _results: peer_capnp::peer::PickedUpResults,
    ) -> Result<(), capnp::Error> {
        self.handler.picked_up(convert::text(params.get()?.get_run()?)?);
        Ok(())
    }

    async fn borrow(
        self: Rc<Self>,
        params: peer_capnp::peer::BorrowParams,
        mut results: peer_capnp::peer::BorrowResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let reply = self.handler.borrow(Borrow {
            team: convert::text(params.get_team()?)?,
            borrower: convert::text(params.get_borrower()?)?,
            in_use: params.get_in_use(),
            want: params.get_want(),
        });
        let mut builder = results.get();
        builder.set_granted(reply.granted);
        builder.set_valid_ms(u32::try_from(reply.valid.get()).unwrap_or(u32::MAX));
        Ok(())
    }

    async fn place(
        self: Rc<Self>,
        params: peer_capnp::peer::PlaceParams,
        mut results: peer_capnp::peer::PlaceResults,
    ) -> Result<(), capnp::Error> {
        let request = read_place(params.get()?.get_request()?)?;
        if let Some(reply) = self.handler.place(request) {
            let mut builder = results.get().init_decision();
            builder.set_endpoint(reply.endpoint.as_str());
            builder.set_store(reply.store.as_ref().map_or("", |store| store.as_str()));
            builder.set_import_blocks(reply.import_blocks);
            builder.set_reason(reply.reason.as_str());
        }
        Ok(())
    }
}
