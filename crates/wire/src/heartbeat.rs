//! Heartbeats that gateway hosts exchange several times a second.

use carawayseam_types::{
    BackendName, EngineId, EngineKey, HostId, Incarnation, Millis, Revision, StoreRevision, Tier,
};
use serde::{Deserialize, Serialize};

/// The configuration that is in force on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationVersion {
    /// The configuration's own revision.
    pub revision: Revision,
    /// The revision of the store's item that held it.
    pub item: StoreRevision,
}

/// A host's heartbeat, which carries its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation; heartbeats of a later one supersede those of earlier ones.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of one incarnation.
    pub seq: u64,
    /// Whether the sender may serve requests that carry API keys.
    pub serves_keys: bool,
    /// The sender's requests in progress, by backend server.
    pub engines: Vec<EngineLoad>,
    /// The sender's queued requests, by backend and tier.
    pub waiting: Vec<WaitingLoad>,
    /// The sender's response counts of rollouts.
    pub rollouts: Vec<RolloutCounts>,
    /// Digests of request contents that crashed servers, with the number of crashes the sender saw.
    pub crashes: Vec<(u128, u32)>,
    /// Backend servers that recently reported to the sender that they are draining, with their start times.
    pub draining_servers: Vec<(EngineId, Option<u64>)>,
    /// The configuration in force, if any.
    pub configuration: Option<ConfigurationVersion>,
}

/// A host's response counts during one rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// The backend.
    pub backend: BackendName,
    /// The revision of the rollout order in the store.
    pub revision: StoreRevision,
    /// The time elapsed since the order.
    pub elapsed: Millis,
    /// Responses of the new version.
    pub new_all: u32,
    /// Failed or very slow responses of the new version.
    pub new_bad: u32,
    /// Responses of the old versions.
    pub old_all: u32,
    /// Failed or very slow responses of the old versions.
    pub old_bad: u32,
}

/// A host's load on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The backend server.
    pub engine: EngineKey,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests whose first event has not been received.
    pub pending_prompt_tokens: u32,
}

/// The number of queued requests of one tier for one backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingLoad {
    /// The backend.
    pub backend: BackendName,
    /// The tier.
    pub tier: Tier,
    /// The number of requests.
    pub count: u32,
}
