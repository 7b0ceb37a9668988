//! The load that a host reports to its peers and to operators.

use carawayseam_types::{BackendName, EngineId, EngineKey, Tier, VersionId};
use serde::Serialize;

use crate::engine::ServerLoad;

/// The number of requests of one tier that wait for a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingCount {
    /// The backend the requests wait for.
    pub backend: BackendName,
    /// The tier of the requests.
    pub tier: Tier,
    /// The number of waiting requests.
    pub count: u32,
}

/// The load that a host announces to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// The host's running requests, by server.
    pub engines: Vec<(EngineKey, ServerLoad)>,
    /// Requests that wait at the host, by backend and tier.
    pub waiting: Vec<WaitingCount>,
}

/// This host's state of one backend server, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineDump {
    /// The server's id.
    pub engine: EngineId,
    /// The backend that the server belongs to.
    pub backend: BackendName,
    /// The version that the server runs.
    pub version: VersionId,
    /// Whether the server accepts new requests now.
    pub takes_work: bool,
    /// Number of this host's requests that run on the server.
    pub running: u32,
    /// Number of requests of all hosts that run on the server.
    pub used: u32,
    /// The fraction of recent attempts that failed.
    pub failure_share: f64,
    /// The estimated time between events, in milliseconds.
    pub event_ms: f64,
    /// The estimated time to process a thousand prompt tokens, in milliseconds.
    pub thousand_tokens_ms: f64,
    /// Number of requests that the server handles well, as far as it was learned; otherwise its slots.
    pub soft_capacity: u32,
    /// Number of samples from which the capacity was learned.
    pub pace_samples: u32,
}
