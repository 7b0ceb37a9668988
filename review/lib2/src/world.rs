//! The deployment of a case: the store's stand-in, servers, and gateways as processes.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use carawayseam_platform_standins::Store;
use carawayseam_platform_standins::harness::is_ready;
use carawayseam_platform_standins::ports::free_port;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::sleep;

/// Why a case could not run.
pub type Failed = String;

/// The record of a run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, Failed> {
        let file = File::create(path).map_err(|e| format!("record.txt: {e}"))?;
        Ok(Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:>6} {text}").unwrap();
    }

    /// Writes a line to the record and to the output.
    pub fn say(&self, text: &str) {
        println!("{:>6} {text}", self.now());
        self.line(text);
    }
}

/// A gateway process.
pub struct Gateway {
    pub host: String,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    pub peers: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    memory: String,
    child: tokio::sync::Mutex<Option<Child>>,
}

/// What differs between the gateways of a deployment.
pub struct GatewaySpec<'a> {
    pub host: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub memory_mib: u64,
}

impl Gateway {
    /// Writes the settings as the template `deploy/settings.yaml` is filled in for slama-seam, and starts the process.
    pub async fn start(root: &Path, dir: &Path, spec: GatewaySpec<'_>) -> Result<Self, Failed> {
        let gateway = Self {
            host: spec.host.to_owned(),
            callers: free_port(),
            admin: free_port(),
            peers: free_port(),
            program: root.join("target/release/carawayseam-gateway"),
            settings: dir.join(format!("{}.yaml", spec.host)),
            log: dir.join(format!("{}.log", spec.host)),
            memory: format!("{}MiB", spec.memory_mib),
            child: tokio::sync::Mutex::new(None),
        };
        let template =
            std::fs::read_to_string(root.join("deploy/settings.yaml")).map_err(|e| e.to_string())?;
        let values = [
            ("{{node}}", spec.host.to_owned()),
            ("{{zone}}", spec.zone.to_owned()),
            ("{{listen.front}}", gateway.callers.to_string()),
            ("{{listen.ready}}", gateway.admin.to_string()),
            ("{{ip_addr}}:9464", free_port().to_string()),
            ("{{ip_addr}}:{{port_range.0}}", gateway.peers.to_string()),
            ("{{platform.address}}", spec.store.to_string()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
            ("{{bounds.quota_slack}}", "140000".to_owned()),
            ("{{bounds.retry_ratio}}", "0.2".to_owned()),
            ("{{bounds.retry_slack}}", "54".to_owned()),
        ];
        let text = values
            .iter()
            .fold(template, |text, (from, to)| text.replace(from, to));
        if text.contains("{{") {
            return Err(format!("a placeholder is not filled in: {text}"));
        }
        std::fs::write(&gateway.settings, text).map_err(|e| e.to_string())?;
        gateway.spawn().await?;
        Ok(gateway)
    }

    /// Starts the process, also after it has ended.
    pub async fn spawn(&self) -> Result<(), Failed> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| e.to_string())?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .args(["--memory", &self.memory])
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.display()))?;
        *self.child.lock().await = Some(child);
        Ok(())
    }

    pub async fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if TcpStream::connect(self.admin).await.is_ok() && is_ready(self.admin).await {
                return true;
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Sends a signal, such as `KILL`, `TERM`, `STOP` or `CONT`.
    pub async fn signal(&self, signal: &str) {
        let id = self.child.lock().await.as_ref().and_then(Child::id);
        if let Some(id) = id {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{signal} {id}"))
                .status()
                .await;
        }
    }

    /// Returns a size in the status of the process; 0 if it has ended.
    pub async fn memory_kib(&self, field: &str) -> u64 {
        let id = self.child.lock().await.as_ref().and_then(Child::id).unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix(field)?.strip_prefix(':'));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    }

    /// Waits for the end of the process.
    pub async fn wait(&self) {
        let child = self.child.lock().await.take();
        if let Some(mut child) = child {
            let _ = child.wait().await;
        }
    }
}

/// Gateways of a small deployment with four hosts in three zones, like slama-seam.
pub const HOSTS: [(&str, &str); 4] = [
    ("front-atelier-1", "atelier"),
    ("front-atelier-2", "atelier"),
    ("front-depot-1", "depot"),
    ("front-bureau-1", "bureau"),
];

/// The memory of the smallest front machines of slama-seam.
const MEMORY_MIB: u64 = 390;

pub async fn start_gateways(root: &Path, dir: &Path, store: &Store) -> Result<Vec<Arc<Gateway>>, Failed> {
    let mut gateways = Vec::new();
    for (host, zone) in HOSTS {
        let spec = GatewaySpec {
            host,
            zone,
            store: store.address,
            memory_mib: MEMORY_MIB,
        };
        gateways.push(Arc::new(Gateway::start(root, dir, spec).await?));
    }
    for gateway in &gateways {
        if !gateway.wait_until_ready(Duration::from_secs(20)).await {
            return Err(format!("{} did not become ready", gateway.host));
        }
    }
    Ok(gateways)
}

pub async fn stop_all(gateways: &[Arc<Gateway>]) {
    for gateway in gateways {
        gateway.signal("KILL").await;
    }
    for gateway in gateways {
        gateway.wait().await;
    }
}
