//! The settings file of a gateway process, in YAML.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

use carawayseam_node::{SettingsError, parse_settings, read_settings_file};
use carawayseam_types::{Bytes, HostId, Millis, ZoneId};
use compact_str::CompactString;
use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

/// The numbers of hosts that may send heartbeats to each other; below two there is nothing to exchange, and above
/// this many, heartbeats take more than a small host's share of its processor.
const FULL_MESH_HOSTS: RangeInclusive<usize> = 2..=64;
/// The numbers of connections that callers may keep open; each takes a descriptor.
const CLIENT_CONNECTIONS: RangeInclusive<usize> = 16..=1_000_000;
/// The numbers of connections to the admin address and the metrics address each; below this many, several balancers and
/// scrapers would close each other's connections.
const ADMIN_CONNECTIONS: RangeInclusive<usize> = 4..=1_024;
/// The least memory that a process needs.
const MIN_MEMORY: Bytes = Bytes(16 * 1_024 * 1_024);

/// The validated settings of a process.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address to which callers connect.
    pub callers: SocketAddr,
    /// The address that serves readiness, metrics and the state dump.
    pub admin: SocketAddr,
    /// The path of the balancer's readiness checks.
    pub ready_path: CompactString,
    /// An additional address that serves metrics; without it, only the admin address does.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The address on which datagrams from peers are received, and by TCP connections that this host
    /// relays to backend servers.
    pub peers: SocketAddr,
    /// The address that peers send datagrams and connect to, if it differs from `peers` because of an address
    /// translation or relay.
    #[serde(default)]
    pub peers_announced: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The number of traffic threads; the control state has an additional thread.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Requests with keys are served only if the configuration was confirmed within this time.
    #[serde_as(as = "DisplayFromStr")]
    pub max_key_age: Millis,
    /// How long a planned shutdown may take.
    #[serde_as(as = "DisplayFromStr")]
    pub stop_within: Millis,
    /// Tokens by which all hosts together may exceed an organisation's quota in one window, in
    /// addition to a tenth of the quota.
    pub quota_tolerance: f64,
    /// Limits on retries.
    pub retries: RetrySettings,
    /// The memory that the process may use; bodies are read only as far as a part of it has room.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_memory")]
    pub memory: Bytes,
    /// The largest number of hosts that send heartbeats to all others; in a larger fleet, each host exchanges
    /// messages with a few of the others at a time.
    #[serde(default = "default_full_mesh_hosts")]
    pub full_mesh_hosts: usize,
    /// The largest number of connections of callers; by default a third of the descriptors that the process may open, since
    /// each may need another one to a server.
    #[serde(default)]
    pub max_client_connections: Option<usize>,
    /// The largest number of connections to the admin address and to the metrics address each.
    #[serde(default = "default_max_admin_connections")]
    pub max_admin_connections: usize,
    /// Whether requests are placed by the learned pace of backend servers, where these differ.
    #[serde(default)]
    pub learned_placement: bool,
}

/// Limits on sending requests to another backend server after a failed attempt, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries as a fraction of a backend's requests.
    pub ratio: f64,
    /// Retries in one window in addition to that fraction.
    pub extra: f64,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] contains the file, line and field.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let (name, text) = read_settings_file(file)?;
        Self::from_yaml(&name, &text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] contains the file, line and field.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_settings(file, text)?;
        let invalid = SettingsError::out_of_range(file);
        match &settings {
            s if s.traffic_threads == 0 => Err(invalid("traffic_threads", "at least 1 thread")),
            s if !s.ready_path.starts_with('/') => Err(invalid("ready_path", "a path that begins with /")),
            s if s.max_key_age == Millis::ZERO => Err(invalid("max_key_age", "more than 0ms")),
            s if s.stop_within == Millis::ZERO => Err(invalid("stop_within", "more than 0ms")),
            s if s.quota_tolerance.is_nan() || s.quota_tolerance < 0.0 => {
                Err(invalid("quota_tolerance", "0 tokens or more"))
            }
            s if !FULL_MESH_HOSTS.contains(&s.full_mesh_hosts) => {
                Err(invalid("full_mesh_hosts", "from 2 to 64 hosts"))
            }
            s if s
                .max_client_connections
                .is_some_and(|max| !CLIENT_CONNECTIONS.contains(&max)) =>
            {
                Err(invalid(
                    "max_client_connections",
                    "from 16 to 1000000 connections",
                ))
            }
            s if !ADMIN_CONNECTIONS.contains(&s.max_admin_connections) => {
                Err(invalid("max_admin_connections", "from 4 to 1024 connections"))
            }
            s if s.memory < MIN_MEMORY => Err(invalid("memory", "16MiB or more")),
            s if !is_fraction(s.retries.ratio) => Err(invalid("retries.ratio", "a share from 0 to 1")),
            s if s.retries.extra.is_nan() || s.retries.extra < 0.0 => {
                Err(invalid("retries.extra", "0 or more"))
            }
            _ => Ok(settings),
        }
    }
}

impl Settings {
    /// Returns the address that peers send datagrams and connect to.
    #[must_use]
    pub fn announced_address(&self) -> SocketAddr {
        self.peers_announced.unwrap_or(self.peers)
    }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

const fn default_memory() -> Bytes {
    Bytes(96 * 1_024 * 1_024)
}

const fn default_max_admin_connections() -> usize {
    64
}

const fn default_full_mesh_hosts() -> usize {
    40
}

const fn default_traffic_threads() -> usize {
    1
}
