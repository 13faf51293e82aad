//! Entry instances as child processes, with their CPU time and memory.

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

/// The arguments of an instance.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Path of the `bilberryford` binary.
    pub binary: PathBuf,
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// The environment.
    pub environment: String,
    /// The platform's base URL.
    pub platform_url: String,
    /// Additional flags.
    pub flags: Vec<String>,
}

/// A child process that runs an entry instance; it is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The address for callers.
    pub address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    data_centre: DataCentreId,
    child: Child,
}

impl InstanceSpec {
    /// Returns the arguments for a short drain delay, unless the flags set one.
    fn drain_delay_args(&self) -> &'static [&'static str] {
        let flag = "--drain-delay-ms";
        if self.flags.iter().any(|argument| argument == flag) {
            &[]
        } else {
            &["--drain-delay-ms", "300"]
        }
    }
}

impl Instance {
    /// Starts an instance and waits until it prints its addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or exits before it listens.
    pub fn start(spec: &InstanceSpec) -> io::Result<Self> {
        let mut child = Command::new(&spec.binary)
            .args(["serve", "--instance", &spec.name, "--data-centre", &spec.data_centre])
            .args(["--environment", &spec.environment, "--platform-url", &spec.platform_url])
            .args(["--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"])
            .args(["--run-key", "a key for stand-ins only"])
            .args(spec.drain_delay_args())
            .args(&spec.flags)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no standard output"))?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let (address, peer_address) = addresses(&line).ok_or_else(|| {
            let _ = child.kill();
            io::Error::other(format!("{} printed no listen addresses: {line:?}", spec.name))
        })?;
        let data_centre = spec.data_centre.parse().map_err(io::Error::other)?;
        Ok(Self { name: spec.name.clone(), address, peer_address, data_centre, child })
    }

    /// Returns the base URL for callers.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns its row in the platform's list of instances.
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

    /// Sends SIGTERM and waits up to `limit` for the exit. Returns true if the process exited with success; one that does
    /// not exit in time is killed.
    pub fn stop(mut self, limit: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.success();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Kills the process and waits for its exit.
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
    let mut fields = line.split_whitespace().skip(1);
    let http = fields.next()?.strip_prefix("http=")?.parse().ok()?;
    let peer = fields.next()?.strip_prefix("peer=")?.parse().ok()?;
    Some((http, peer))
}

/// Returns the resident memory of a process in mebibytes, or NaN if it can't be read.
pub fn resident_mb(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(f64::NAN) / 1_024.0
}

/// Returns the CPU time that a process has used, in seconds.
pub fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/schedstat")).unwrap_or_default();
    let main_thread_ns =
        stat.split_whitespace().next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0);
    let tasks = std::fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let threads_ns: f64 = tasks
        .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
        .filter_map(|stat| stat.split_whitespace().next()?.parse::<f64>().ok())
        .sum();
    threads_ns.max(main_thread_ns) / 1e9
}

/// Returns the `bilberryford` binary in the directory of this executable, after building it if the sources are present.
///
/// # Errors
///
/// Returns an error if there is no binary and it can't be built.
pub fn find_binary() -> io::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let directory = executable
        .parent()
        .ok_or_else(|| io::Error::other("the current executable has no parent directory"))?;
    let binary = directory.join("bilberryford");
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    if manifest.exists() {
        let mut build = Command::new("cargo");
        build
            .args(["build", "--quiet", "--package", "bilberryford", "--manifest-path"])
            .arg(&manifest);
        if directory.ends_with("release") {
            build.arg("--release");
        }
        let status = build.stdout(Stdio::null()).status();
        if !status.is_ok_and(|status| status.success()) && !binary.exists() {
            return Err(io::Error::other("cargo could not build the bilberryford binary"));
        }
    }
    if binary.exists() {
        Ok(binary)
    } else {
        Err(io::Error::other("no bilberryford binary in the directory of the current executable"))
    }
}
