//! Workers of one service, which write their entries to the store and answer as a case wants.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Head, read_body, read_head},
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that reached a worker.
pub struct Arrival<'a> {
    pub worker: &'a Worker,
    pub head: &'a Head,
    pub stream: &'a mut TcpStream,
}

impl Arrival<'_> {
    pub fn id(&self) -> &str {
        self.head.header("request-id").unwrap_or_default()
    }

    /// Writes a complete answer.
    pub fn answer(&mut self, status: u16, extra: &str, body: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status} x\r\nRequest-Id: {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            self.id(),
            body.len()
        );
        self.stream.write_all(text.as_bytes())
    }
}

pub type Handler = dyn Fn(Arrival<'_>) -> io::Result<()> + Send + Sync;

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    /// The model of an engine.
    model: Option<String>,
    slots: u32,
    born_ms: AtomicU64,
    heartbeats: AtomicU64,
    is_down: AtomicBool,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    store: Arc<Store>,
    handler: Arc<Handler>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        model: Option<&str>,
        slots: u32,
        store: &Arc<Store>,
        handler: Arc<Handler>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            model: model.map(str::to_owned),
            slots,
            born_ms: AtomicU64::new(unix_ms()),
            heartbeats: AtomicU64::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            store: store.clone(),
            handler,
        });
        worker.clone().accept(listener)?;
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                if !beating.is_down.load(Ordering::SeqCst) {
                    beating.write_entry();
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let worker = self.clone();
                        thread::spawn(move || worker.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(())
    }

    fn models(&self) -> String {
        match &self.model {
            Some(model) => format!("[{{\"Name\":\"{model}\",\"Version\":1,\"Adapters\":[]}}]"),
            None => "[]".to_owned(),
        }
    }

    fn write_entry(&self) {
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"z1\",\"Version\":\"v1\",\"Slots\":{},\"State\":\"ready\",\"ColdRemainingMs\":0,\"Models\":{},\"Sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.slots,
            self.models(),
            self.heartbeats.fetch_add(1, Ordering::SeqCst),
            self.born_ms.load(Ordering::SeqCst),
        );
        self.store.put("servers", &self.id, &entry);
    }

    /// Ends the worker with all its connections, as a crash of its process does. It starts again at the same address after
    /// `down`, as a new incarnation.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if self.is_down.swap(true, Ordering::SeqCst) {
            return;
        }
        for (_, stream) in self.connections.lock().expect("no user panics").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let listener = loop {
                match TcpListener::bind(worker.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            worker.born_ms.store(unix_ms(), Ordering::SeqCst);
            worker.heartbeats.store(0, Ordering::SeqCst);
            worker.is_down.store(false, Ordering::SeqCst);
            worker.write_entry();
            worker.accept(listener)
        });
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(copy) = stream.try_clone() {
            self.connections.lock().expect("no user panics").insert(number, copy);
        }
        let _ = self.exchange(stream);
        if let Some(stream) = self.connections.lock().expect("no user panics").remove(&number) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn exchange(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut writing = stream.try_clone()?;
        let mut reading = BufReader::new(stream);
        while let Some(head) = read_head(&mut reading)? {
            let mut body = Vec::new();
            read_body(&mut reading, &head, &mut body)?;
            let mut arrival = Arrival { worker: self, head: &head, stream: &mut writing };
            let path = head.word(1);
            let is_other = head.header("expect-instance").is_some_and(|id| id != self.id);
            if is_other {
                arrival.answer(421, "Not-Executed: 1\r\n", "")?;
            } else if path.starts_with("/-/report") {
                let report = format!(
                    "{{\"Stage\":\"unified\",\"Models\":{},\"Busy\":false,\"Sequence\":0,\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0,\"born\":{}}}",
                    self.models(),
                    self.born_ms.load(Ordering::SeqCst)
                );
                arrival.answer(200, "Content-Type: application/json\r\n", &report)?;
            } else if path.starts_with("/-/kv-events") {
                let wait = head.header("wait-ms").and_then(|value| value.parse().ok());
                thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
                let events = "{\"Epoch\":1,\"Next\":0,\"Lost\":false,\"Events\":[]}";
                arrival.answer(200, "Content-Type: application/json\r\n", events)?;
            } else if path.starts_with("/-/kv-list") {
                let held = "{\"Epoch\":1,\"Next\":0,\"Held\":[]}";
                arrival.answer(200, "Content-Type: application/json\r\n", held)?;
            } else if path == "/health" {
                let id = format!("Instance-Id: {}\r\n", self.id);
                arrival.answer(200, &id, "")?;
            } else {
                (self.handler)(arrival)?;
            }
        }
        Ok(())
    }
}
