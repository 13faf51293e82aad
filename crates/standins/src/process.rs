//! Entry instances as processes: started, signalled and stopped by id.

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use bilberryford_platform::{InstanceRecord, InstanceState, Role};
use bilberryford_types::DataCentreId;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};

/// How an instance is started.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// The binary.
    pub binary: PathBuf,
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The environment.
    pub environment: String,
    /// The platform's base URL.
    pub platform_url: String,
    /// More flags.
    pub flags: Vec<String>,
}

/// An entry instance that was started here.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    data_centre: DataCentreId,
    child: Child,
}

impl InstanceSpec {
    /// A short drain delay, where the flags don't give one.
    fn drain_delay(&self) -> &'static [&'static str] {
        let flag = "--drain-delay-ms";
        if self.flags.iter().any(|given| given == flag) {
            &[]
        } else {
            &["--drain-delay-ms", "300"]
        }
    }
}

impl Instance {
    /// Starts one and waits for the line with its addresses.
    ///
    /// # Errors
    ///
    /// When the process can't be started or ends before it listens.
    pub fn start(spec: &InstanceSpec) -> io::Result<Self> {
        let mut child = Command::new(&spec.binary)
            .args(["serve", "--instance", &spec.name, "--data-centre", &spec.data_centre])
            .args(["--environment", &spec.environment, "--platform-url", &spec.platform_url])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--run-key", "a key for stand-ins only"])
            .args(spec.drain_delay())
            .args(&spec.flags)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let (address, peer_address) = addresses(&line).ok_or_else(|| {
            let _ = child.kill();
            io::Error::other(format!("{} did not say where it listens: {line:?}", spec.name))
        })?;
        let data_centre = spec.data_centre.parse().map_err(io::Error::other)?;
        Ok(Self { name: spec.name.clone(), address, peer_address, data_centre, child })
    }

    /// The base URL for callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its row in the platform's list.
    pub fn record(&self) -> InstanceRecord {
        InstanceRecord {
            id: self.name.clone(),
            role: Role::Entry,
            pool: None,
            address: self.address,
            peer_address: Some(self.peer_address),
            data_centre: self.data_centre.clone(),
            state: InstanceState::Live,
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Asks it to stop and waits for its end; a process that does not end in time is killed and false is answered.
    pub fn stop(mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Ends it at once.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let mut words = line.split_whitespace().skip(1);
    let http = words.next()?.strip_prefix("http=")?.parse().ok()?;
    let peer = words.next()?.strip_prefix("peer=")?.parse().ok()?;
    Some((http, peer))
}

/// The resident memory of a process in mebibytes.
pub fn resident_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(f64::NAN) / 1_024.0
}

/// The processor time that a process has used, in seconds.
pub fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).unwrap_or_default();
    let own = stat.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let all: f64 = tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|stat| stat.split_whitespace().next()?.parse::<f64>().ok())
        .sum();
    all.max(own) / 1e9
}

/// The `bilberryford` binary beside this program, built first when `cargo` is at hand.
///
/// # Errors
///
/// When there is no binary and it can't be built.
pub fn find_binary() -> io::Result<PathBuf> {
    let here = std::env::current_exe()?;
    let folder = here.parent().ok_or_else(|| io::Error::other("this program has no folder"))?;
    let binary = folder.join("bilberryford");
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    if manifest.exists() {
        let mut build = Command::new("cargo");
        build
            .args(["build", "--quiet", "--package", "bilberryford", "--manifest-path"])
            .arg(&manifest);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status = build.stdout(Stdio::null()).status();
        if !status.is_ok_and(|status| status.success()) && !binary.exists() {
            return Err(io::Error::other("bilberryford can't be built"));
        }
    }
    if binary.exists() {
        Ok(binary)
    } else {
        Err(io::Error::other("there is no bilberryford beside this program"))
    }
}
