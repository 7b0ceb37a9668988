//! A gateway process with its proxies.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use carawayseam_platform_standins::harness::{Addresses, is_ready};
use carawayseam_platform_standins::{LinkTargets, PeerProxy, ServerLinks, Store};
use carawayseam_testbed::Relay;
use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

const POLL: Duration = Duration::from_millis(50);
/// A process that does not listen by then has failed.
const START_LIMIT: Duration = Duration::from_secs(20);
/// A process that was asked to stop ends by then.
const STOP_LIMIT: Duration = Duration::from_secs(10);

/// A gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) callers: SocketAddr,
    admin: SocketAddr,
    /// Its endpoint of the store.
    pub(crate) store: Store,
    pub(crate) store_link: Relay,
    pub(crate) peer_link: PeerProxy,
    pub(crate) server_links: ServerLinks,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    incarnation: AtomicU32,
    child: Mutex<Option<Child>>,
    /// Held by the one who starts the process anew.
    pub(crate) restarting: Mutex<()>,
}

impl Gateway {
    /// Starts a gateway whose settings and logs lie in `dir`.
    pub(crate) async fn start(
        program: &Path,
        dir: &Path,
        number: usize,
        store: &Store,
        targets: &LinkTargets,
    ) -> eyre::Result<Self> {
        let server_links = ServerLinks::new(targets);
        let store = store.linked_endpoint(&server_links).await;
        let store_link = Relay::start(store.address).await.wrap_err("no proxy")?;
        let mut addresses = Addresses::choose(store_link.address());
        let peer_link = PeerProxy::start(addresses.peers, server_links.clone()).await;
        let peer_link = peer_link.wrap_err("no proxy")?;
        addresses.peers_announced = Some(peer_link.address());
        let settings = dir.join(format!("gateway-{number}.yaml"));
        std::fs::write(&settings, addresses.settings(&format!("gateway-{number}")))
            .wrap_err("cannot write the settings")?;
        let gateway = Self {
            callers: addresses.callers,
            admin: addresses.admin,
            store,
            store_link,
            peer_link,
            server_links,
            program: program.to_owned(),
            settings,
            log: dir.join(format!("gateway-{number}.log")),
            incarnation: AtomicU32::new(0),
            child: Mutex::new(None),
            restarting: Mutex::new(()),
        };
        gateway.spawn().await?;
        Ok(gateway)
    }

    /// Starts the process anew; its log is appended.
    pub(crate) async fn spawn(&self) -> eyre::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .wrap_err("cannot open the log")?;
        let errors = log.try_clone().wrap_err("cannot open the log")?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.program.display()))?;
        *self.child.lock().await = Some(child);
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.wait_until_listening().await
    }

    async fn wait_until_listening(&self) -> eyre::Result<()> {
        let listening = async {
            for address in [self.callers, self.admin] {
                while TcpStream::connect(address).await.is_err() {
                    sleep(POLL).await;
                }
            }
        };
        timeout(START_LIMIT, listening)
            .await
            .wrap_err("the gateway does not listen")
    }

    /// Waits until it wants callers, at most for a limit.
    pub(crate) async fn wait_until_ready(&self, limit: Duration) -> bool {
        let ready = async {
            while TcpStream::connect(self.admin).await.is_err() || !is_ready(self.admin).await {
                sleep(POLL).await;
            }
        };
        timeout(limit, ready).await.is_ok()
    }

    /// Which start of the process this is.
    pub(crate) fn incarnation(&self) -> u32 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Sends a signal; a process that has ended gets none.
    pub(crate) async fn signal(&self, signal: Signal) {
        let child = self.child.lock().await;
        let id = child.as_ref().and_then(Child::id);
        if let Some(pid) = id.and_then(|id| Pid::from_raw(id.cast_signed())) {
            // It may have ended just now.
            let _sent = kill_process(pid, signal);
        }
    }

    /// Waits until the process has ended; true if it ended well.
    pub(crate) async fn wait(&self) -> eyre::Result<bool> {
        let ended = async {
            loop {
                let status = match self.child.lock().await.as_mut() {
                    Some(child) => child.try_wait().wrap_err("cannot wait for the gateway")?,
                    None => return Ok(false),
                };
                if let Some(status) = status {
                    return Ok(status.success());
                }
                sleep(POLL).await;
            }
        };
        timeout(STOP_LIMIT, ended)
            .await
            .unwrap_or_else(|_elapsed| Err(eyre!("the gateway does not stop")))
    }
}
