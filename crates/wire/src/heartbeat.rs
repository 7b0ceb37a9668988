//! What hosts that route alone tell each other several times a second.

use carawayseam_types::{BackendName, EngineId, EngineKey, HostId, Incarnation, Millis, Tier};
use serde::{Deserialize, Serialize};

/// One host's heartbeat with its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub host: HostId,
    /// The sender's start; a later one replaces all that an earlier one said.
    pub incarnation: Incarnation,
    /// Grows with each beat of one start.
    pub seq: u64,
    /// Whether the sender may serve requests with keys.
    pub serves_keys: bool,
    /// What the sender has running, by backend server.
    pub engines: Vec<EngineLoad>,
    /// Requests that wait at the sender.
    pub waiting: Vec<WaitingLoad>,
    /// What the sender knows of moves between versions.
    #[serde(rename = "moves")]
    pub rollouts: Vec<RolloutCounts>,
    /// Contents under which servers crashed, and how often the sender saw it.
    pub crashes: Vec<(u128, u32)>,
    /// Backend servers that told the sender lately that they leave, each with its start.
    #[serde(rename = "leavers")]
    pub draining_servers: Vec<(EngineId, Option<u64>)>,
}

/// What a host counted during one move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCounts {
    /// The backend.
    pub backend: BackendName,
    /// The order's revision in the store.
    pub revision: u64,
    /// The time since the order.
    pub elapsed: Millis,
    /// Answers of the new version.
    pub new_all: u32,
    /// Those of them that were failures or came much too late.
    pub new_bad: u32,
    /// Answers of the old versions.
    pub old_all: u32,
    /// Those of them that were failures or came much too late.
    pub old_bad: u32,
}

/// What a host has running on one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The backend server.
    pub engine: EngineKey,
    /// Requests.
    pub running: u32,
    /// Prompt tokens sent whose first event has not come.
    #[serde(rename = "prompt_ahead")]
    pub pending_prompt_tokens: u32,
}

/// Requests of one tier that wait for one backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingLoad {
    /// The backend.
    pub backend: BackendName,
    /// The tier.
    pub tier: Tier,
    /// How many.
    pub count: u32,
}
