//! A whole environment on loopback.

mod builder;
mod look;
mod operate;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use carawayseam_clients::{Http, KvClient};
use carawayseam_external::hosts::{HOSTS_PATH, Host, HostList, HostState};
use carawayseam_types::Millis;
use serde_json::{Value, json};
use tempfile::TempDir;

pub use self::builder::FleetBuilder;
use crate::error::io;
use crate::{Caller, Process, Program, Programs, Relay, TestbedError};

/// One entry host and its processes.
#[derive(Debug)]
pub struct EntryHost {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Its way to the store, which can be cut.
    pub store: Relay,
    /// Its way to the host list, which can be cut.
    pub host_list: Relay,
    /// The entry process.
    pub entry: Process,
    /// The control process.
    pub control: Option<Process>,
}

/// A whole environment on loopback.
#[derive(Debug)]
pub struct Fleet {
    /// The stand-in of the key-value service.
    pub store: Process,
    /// The stand-in of the host list.
    pub host_list: Process,
    /// The stand-in of the weight store.
    pub weights: Process,
    /// The stand-ins of the backend servers.
    pub engines: BTreeMap<String, Process>,
    /// The entry hosts.
    pub hosts: Vec<EntryHost>,
    /// The document with the stand-ins' addresses.
    pub document: String,
    /// Sends requests.
    pub caller: Caller,
    folder: TempDir,
    listed: HostList,
    http: reqwest::Client,
    programs: Programs,
    settings: FleetSettings,
}

#[derive(Debug, Clone)]
struct FleetSettings {
    environment: String,
    drain_notice: Millis,
    control: bool,
}

impl Fleet {
    /// Begins with a document whose engines' addresses are replaced by the stand-ins'.
    #[must_use]
    pub fn builder(programs: Programs, document: &str) -> FleetBuilder {
        FleetBuilder {
            programs,
            document: document.to_owned(),
            hosts: Vec::new(),
            engine_args: Vec::new(),
            service_args: Vec::new(),
            drain_notice: Millis(200),
            control: true,
        }
    }

    /// Starts an entry host, which joins by the hosts that run.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when a process does not start.
    pub async fn add_host(&mut self, name: &str, zone: &str) -> Result<(), TestbedError> {
        self.list_host(name, zone, HostState::Live).await?;
        let store = Relay::start(self.store.address("listening")?).await?;
        let host_list = Relay::start(self.host_list.address("listening")?).await?;
        let platform = (store.address(), host_list.address());
        let mut seeds = Vec::new();
        for host in &self.hosts {
            seeds.push(host.entry.address("peers")?);
        }
        let file = self.write_settings(&format!("{name}-entry"), name, zone, &seeds, platform)?;
        let log = self.log_file(&format!("{name}-entry"));
        let args = [format!("--settings={}", file.display())];
        let entry = Process::start(&self.programs, Program::Entry, &args, Some(&log)).await?;
        seeds.push(entry.address("peers")?);
        let control = if self.settings.control {
            let file = self.write_settings(&format!("{name}-control"), name, zone, &seeds, platform)?;
            let log = self.log_file(&format!("{name}-control"));
            let args = [format!("--settings={}", file.display())];
            Some(Process::start(&self.programs, Program::Control, &args, Some(&log)).await?)
        } else {
            None
        };
        let (callers, admin) = (entry.address("callers")?, entry.address("admin")?);
        self.hosts.push(EntryHost {
            name: name.to_owned(),
            callers,
            admin,
            store,
            host_list,
            entry,
            control,
        });
        Ok(())
    }

    /// Shows a host or backend server in the host list.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the host list does not take it.
    pub async fn list_host(&mut self, name: &str, zone: &str, state: HostState) -> Result<(), TestbedError> {
        let host = Host {
            host: name.parse()?,
            zone: zone.parse()?,
            state,
        };
        self.listed.hosts.retain(|listed| listed.host != host.host);
        self.listed.hosts.push(host);
        let url = format!("http://{}{HOSTS_PATH}", self.host_list.address("listening")?);
        self.http
            .put(url)
            .json(&self.listed)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    /// A client of the store.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the HTTP library cannot be set up.
    pub fn store_client(&self) -> Result<KvClient, TestbedError> {
        let http = Http::builder().timeout(Millis(2_000)).build()?;
        Ok(KvClient::new(
            http,
            &format!("http://{}", self.store.address("listening")?),
        ))
    }

    /// Sets a stand-in's fault switches.
    ///
    /// # Errors
    ///
    /// [`TestbedError`] when the stand-in does not take them.
    pub async fn set_faults(&self, process: &Process, faults: &Value) -> Result<(), TestbedError> {
        let url = format!("http://{}/faults", process.address("listening")?);
        self.http
            .post(url)
            .json(faults)
            .send()
            .await?
            .error_for_status()?;
        Ok(())
    }

    fn log_file(&self, process: &str) -> PathBuf {
        self.folder.path().join(format!("{process}.log"))
    }

    fn write_settings(
        &self,
        file: &str,
        host: &str,
        zone: &str,
        seeds: &[SocketAddr],
        (store, host_list): (SocketAddr, SocketAddr),
    ) -> Result<PathBuf, TestbedError> {
        let settings = json!({
            "host": host,
            "zone": zone,
            "environments": [self.settings.environment],
            "seeds": seeds,
            "store": format!("http://{store}"),
            "host_list": format!("http://{host_list}"),
            "drain_notice": format!("{}ms", self.settings.drain_notice.0),
            "traffic_threads": 2,
        });
        let path = self.folder.path().join(format!("{file}.yaml"));
        // JSON is valid YAML.
        std::fs::write(&path, settings.to_string()).map_err(io("writing settings"))?;
        Ok(path)
    }
}
