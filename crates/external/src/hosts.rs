//! The platform's host list, which lags behind the truth.

use carawayseam_types::{HostId, ZoneId};
use serde::{Deserialize, Serialize};

/// `GET`: [`HostList`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// All hosts the platform knows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name; for backend servers, the engine's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it stays.
    pub state: HostState,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It runs.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}
