//! What the cases share: the gateway's process, its settings, the record, and clients.

use std::{
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{Message, Reader};

/// The time of day, in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The record of a case, in `record.txt` of its folder.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create() -> io::Result<Self> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        Ok(Self { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", line.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
    }
}

/// A process of the product, which is killed when this is dropped.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    child: Child,
}

fn free_port(ip: &str) -> io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of a small deployment.
    pub fn start(name: &str, platform: SocketAddr, memory_mb: u64) -> io::Result<Self> {
        let ip = "127.0.0.1";
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let (front, ready, control) = (free_port(ip)?, free_port(ip)?, free_port(ip)?);
        let peers = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let settings = format!(
            r#"{{"Node":"{name}","Role":"gateway","MachineClass":"front","Serves":["front"],"Ip":"{ip}","Zone":"zone-a","Region":"region-a","Zones":{{"zone-a":"region-a"}},"Listen":{{"Front":"{ip}:{front}","Ready":"{ip}:{ready}","Control":"{ip}:{control}"}},"PortRange":[{peers},{peers}],"Seeds":[],"FirstStart":true,"CountsAsLoss":false,"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":{memory_mb},"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,"Contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],"Tolerate":{{"Machines":1,"Zones":0,"Regions":0}},"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":8,"LossSlackMs":200,"ConfigMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":58,"RecoverS":12,"MaxTransitMs":120,"ReuseWindowS":20,"FencingEnforced":true,"LeaseMs":3000,"ThawMs":300,"VersionMs":10000,"VersionAllMs":14000}},"Provider":{{"Address":"{platform}","form":"objects","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}}}"#
        );
        fs::write(folder.join("node.json"), settings)?;
        let child = spawn(&folder)?;
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self { front: address(front), ready: address(ready), folder, child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process with SIGKILL and starts it again, as the platform does.
    pub fn kill_and_restart(&mut self, delay: Duration) -> io::Result<()> {
        let _ = self.child.kill();
        let _ = self.child.wait();
        sleep(delay);
        self.child = spawn(&self.folder)?;
        Ok(())
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// The resident memory of the process, in MiB.
    pub fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) / 1024
    }

    /// Waits until the instance says that it is ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            let answer =
                call(self.ready, "GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n", &[], 1_000);
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }
}

fn spawn(folder: &std::path::Path) -> io::Result<Child> {
    let program =
        std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/bilberryford".to_owned());
    let log = File::options().create(true).append(true).open(folder.join("log.txt"))?;
    Command::new(program)
        .arg("gateway")
        .env("BILBERRYFORD_CONFIG", folder.join("node.json"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Opens a connection of a client, which waits a second for it.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a connection of its own and reads the answer, for `limit_ms` at most.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit_ms: u64) -> io::Result<Message> {
    let stream = connect(address)?;
    exchange(&stream, head, body, limit_ms)
}

/// Sends a request and reads the answer, for `limit_ms` at most between two pieces of it.
pub fn exchange(stream: &TcpStream, head: &str, body: &[u8], limit_ms: u64) -> io::Result<Message> {
    stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
    let mut writer = stream.try_clone()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes)?;
    Reader::new(stream.try_clone()?).message()
}

/// A worker's address and entry in the list of workers.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    /// The model that it serves; none for a plain service.
    pub model: Option<&'static str>,
}

impl Worker {
    pub fn entry(&self, sequence: u64) -> String {
        let models = self.model.map_or(String::new(), |model| {
            format!(
                r#""Stage":"unified","Models":[{{"Name":"{model}","Version":1,"Adapters":[]}}],"#
            )
        });
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"zone-a","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,{models}"Sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.born
        )
    }

    /// The same entry as another writer may leave it: `ColdRemainingMs`, `Stage` and `Models` are missing.
    pub fn entry_with_missing_fields(&self, sequence: u64) -> String {
        let entry = Self { model: None, ..self.clone() }.entry(sequence);
        entry.replace(r#""ColdRemainingMs":0,"#, "")
    }
}
