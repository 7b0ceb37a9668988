//! Messages of gossip rounds, which hosts of a large fleet exchange in place of heartbeats to all.

use carawayseam_types::{EngineId, EngineKey, HostId, Incarnation, Millis, Tier};
use serde::{Deserialize, Serialize};

use crate::{ConfigurationVersion, EngineLoad, MAX_DATAGRAM_BYTES, SlotOutcome, WaitingLoad, encode};

/// Bytes by which a message exceeds its contents.
const MESSAGE_HEADER_BYTES: usize = 8;

/// What a host sends to a few of the others in each gossip round.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRound {
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation; rounds of a later one supersede those of earlier ones.
    pub incarnation: Incarnation,
    /// Increases with each round of one incarnation.
    pub seq: u64,
    /// Whether the sender may serve requests that carry API keys.
    pub serves_keys: bool,
    /// The configuration in force, if any.
    pub configuration: Option<ConfigurationVersion>,
    /// The sender's queued requests, by backend and tier.
    pub waiting: Vec<WaitingLoad>,
    /// Backend servers that reported lately that they are draining, with their start times.
    pub draining_servers: Vec<(EngineId, Option<u64>)>,
    /// Loads of backend servers, as measured by the owners of their slots.
    pub loads: Vec<MeasuredLoad>,
}

impl GossipRound {
    /// Drops entries until the message fits a datagram: loads first, which later rounds repeat.
    ///
    /// The limits on the numbers of entries do not bound their bytes, since names have any length.
    pub fn limit_to_datagram(&mut self) {
        let max_bytes = MAX_DATAGRAM_BYTES - MESSAGE_HEADER_BYTES;
        while encode(self).is_ok_and(|buf| buf.len() > max_bytes) {
            let dropped = self.loads.pop().is_some()
                || self.waiting.pop().is_some()
                || self.draining_servers.pop().is_some();
            if !dropped {
                return;
            }
        }
    }
}

/// The load of all hosts on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeasuredLoad {
    /// The server.
    pub engine: EngineKey,
    /// A digest of the name of the host that owned the server's slots.
    pub owner: u32,
    /// Increases with each measurement of one owner.
    pub version: u64,
    /// The time since the measurement.
    pub age: Millis,
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens of requests whose first event is outstanding.
    pub pending_prompt_tokens: u32,
}

/// Requests a slot of a backend server from the owner of its slots, for a request of a tier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotClaim {
    /// The requesting host.
    pub host: HostId,
    /// The id of the request, which the response repeats; it increases with each request of the host.
    pub request_id: u64,
    /// The server.
    pub engine: EngineKey,
    /// The tier of the request that needs the slot.
    pub tier: Tier,
}

/// The result of a [`SlotClaim`], with the load of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoad {
    /// Whether the slot is granted.
    pub outcome: SlotOutcome,
    /// Requests of all hosts in progress, including one that was granted.
    pub running: u32,
    /// Prompt tokens of requests whose first event is outstanding.
    pub pending_prompt_tokens: u32,
}

/// Confirms to the owner of slots which of them a host holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlots {
    /// The host that holds them.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each confirmation of one incarnation.
    pub seq: u64,
    /// The id of the host's last request to any host; slots that it claimed later are not among these.
    pub as_of_request: u64,
    /// The host's load on each server whose slots the receiver owns.
    pub engines: Vec<EngineLoad>,
}
