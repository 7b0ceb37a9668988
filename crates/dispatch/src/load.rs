//! What a host tells of its load: to its peers, and to operators.

use carawayseam_types::{BackendName, EngineId, EngineKey, Tier, VersionId};
use serde::Serialize;

use crate::engine::ServerLoad;

/// How many requests of a tier wait for a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingCount {
    /// The backend.
    pub backend: BackendName,
    /// The tier.
    pub tier: Tier,
    /// How many.
    pub count: u32,
}

/// What this host announces to its peers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// What this host has running, by server.
    pub engines: Vec<(EngineKey, ServerLoad)>,
    /// Requests that wait here, by backend and tier.
    pub waiting: Vec<WaitingCount>,
}

/// What this host knows of one server, for operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineDump {
    /// The server.
    pub engine: EngineId,
    /// Its backend.
    pub backend: BackendName,
    /// Its version.
    pub version: VersionId,
    /// Whether it takes work now.
    pub takes_work: bool,
    /// This host's requests there.
    pub running: u32,
    /// All hosts' requests there.
    pub used: u32,
    /// The share of attempts that failed lately.
    pub failure_share: f64,
    /// The learned time between events, in milliseconds.
    pub event_ms: f64,
    /// The learned time to read a thousand prompt tokens, in milliseconds.
    pub thousand_tokens_ms: f64,
}
