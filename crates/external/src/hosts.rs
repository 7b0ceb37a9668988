//! The platform's host list, which is eventually consistent: it lags behind the actual hosts.

use carawayseam_types::{HostId, ZoneId};
use serde::{Deserialize, Serialize};

/// `GET` returns [`HostList`].
pub const HOSTS_PATH: &str = "/v1/hosts";

/// All hosts known to the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host; for a backend server, the engine id.
    pub host: HostId,
    /// The availability zone of the host.
    pub zone: ZoneId,
    /// The state of the host.
    pub state: HostState,
}

/// The state of a host in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to shut down and accepts no new work.
    Leaving,
}
