//! Messages about the paces of backend servers, which hosts of a large fleet learn together.

use carawayseam_types::{EngineKey, HostId, Incarnation, Millis};
use serde::{Deserialize, Serialize};

/// A host's samples of the paces of servers, for the owner of their slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSamples {
    /// The sender.
    pub host: HostId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each message of one incarnation to one owner.
    pub seq: u64,
    /// The samples.
    pub samples: Vec<ServerSample>,
}

/// The mean of samples of one server at one concurrency.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSample {
    /// The server.
    pub engine: EngineKey,
    /// The number of requests that ran on it.
    pub concurrency: u32,
    /// The mean time between two events of one request, in microseconds.
    pub event_us: u32,
    /// The time per prompt token in nanoseconds; 0 if it was not measured.
    pub token_ns: u32,
    /// The number of samples.
    pub count: u32,
}

/// Estimates of the paces of servers by the owners of their slots, which any host passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPaces {
    /// The sender.
    pub host: HostId,
    /// The estimates.
    pub paces: Vec<ServerPace>,
}

/// An estimate of the pace of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// The server.
    pub engine: EngineKey,
    /// A digest of the name of the host that owned the server's slots.
    pub owner: u32,
    /// Increases with each estimate of one owner.
    pub version: u64,
    /// The time since the estimate was made.
    pub age: Millis,
    /// The time between events of a single request, in millionths of 25 ms.
    pub factor: u32,
    /// The concurrency from which the server's requests only share one speed.
    pub knee: u32,
    /// The number of requests that the server handles well.
    pub soft_capacity: u32,
    /// The number of samples.
    pub samples: u32,
}
