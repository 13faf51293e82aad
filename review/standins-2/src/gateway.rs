//! Instances as processes, started with the command of the deploy file.

use std::{
    fs::{self, File},
    io::{self, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::http::{read_body, read_head};

/// The figures of the settings that cases change.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: u64,
    pub budget_window_s: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { grace_s: 8, budget_window_s: 10 }
    }
}

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    ip: IpAddr,
    peer_port: u16,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

/// Two free ports.
fn free_ports(ip: IpAddr) -> io::Result<[u16; 2]> {
    let (first, second) = (TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?);
    Ok([first.local_addr()?.port(), second.local_addr()?.port()])
}

impl Gateway {
    /// Prepares an instance with a loopback address of its own.
    pub fn new(index: u8, store: SocketAddr, folder: &Path) -> io::Result<Self> {
        let [low, high, ..] = std::process::id().to_le_bytes();
        let ip: IpAddr = Ipv4Addr::new(127, 100 + high % 100, low, index + 1).into();
        let peer_port = UdpSocket::bind((ip, 0))?.local_addr()?.port();
        let [front, ready] = free_ports(ip)?;
        Ok(Self {
            name: format!("front-{index}"),
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            ip,
            peer_port,
            store,
            folder: folder.to_owned(),
            child: None,
        })
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Writes the settings file, which replaces the one before at once.
    pub fn write_settings(&self, bounds: Bounds) -> io::Result<()> {
        let Bounds { grace_s, budget_window_s } = bounds;
        let (name, ip, front, ready) = (&self.name, self.ip, self.front, self.ready);
        let (peer_port, last_port) = (self.peer_port, self.peer_port.saturating_add(15));
        let store = self.store;
        let text = format!(
            r#"{{"Node":"{name}","Role":"gateway","MachineClass":"front","Serves":["front"],"Ip":"{ip}","Zone":"z1","Region":"r1","Zones":{{"z1":"r1"}},
"Listen":{{"Front":"{front}","Ready":"{ready}"}},"PortRange":[{peer_port},{last_port}],"Seeds":[],"FirstStart":false,"CountsAsLoss":false,
"Limits":{{"CpuShare":0.25,"Cores":1,"MemoryMb":260,"MaxFds":4100,"LinkMbps":1000.0,"DiskMb":0}},"DataDir":null,"Discovery":"platform","Entry":"vip","HeartbeatMs":1200,
"Contracts":["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"],"Tolerate":{{"Machines":1,"Zones":0,"Regions":0}},
"Bounds":{{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,"GraceS":{grace_s},"LossSlackMs":200,"ConfigMs":2000,"RollbackSlackMs":250,"OuterMs":5000,"StrictRevoke":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,"BudgetWindowS":{budget_window_s},"BudgetSlack":56,"RecoverS":12,"MaxTransitMs":120,"ReuseWindowS":20,"FencingEnforced":true,"LeaseMs":3000,"ThawMs":300,"VersionMs":10000,"VersionAllMs":14000}},
"Provider":{{"Address":"{store}","form":"objects","WritesPerS":400,"ReadsPerS":2000,"HistoryS":20,"ValueBytes":1048576,"TtlMinMs":1000}}}}"#
        );
        let new = self.settings_path().with_extension("new");
        fs::write(&new, text)?;
        fs::rename(new, self.settings_path())
    }

    /// Starts the process. Its log is appended to a file in the folder.
    pub fn start(&mut self) -> io::Result<()> {
        let path = self.folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(path)?;
        let child = Command::new("target/release/bilberryford")
            .arg("gateway")
            .env("BILBERRYFORD_CONFIG", self.settings_path())
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// True once the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let timeout = Duration::from_millis(500);
            let mut stream = TcpStream::connect_timeout(&self.ready, timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            let text = format!(
                "GET /-/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                self.ready
            );
            stream.write_all(text.as_bytes())?;
            let mut reader = BufReader::new(stream);
            let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let _ = read_body(&mut reader, &head, &mut Vec::new());
            Ok(head.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
