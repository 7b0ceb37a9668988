//! A plain service: order and pass services, some of whose calls may not be repeated.

use carawayseam_types::{EngineId, OrganisationId, RequestId, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`Call`]: [`CallResponse`].
pub const CALL_PATH: &str = "/v1/call";
/// `GET`: [`Counts`], which tell a double run.
pub const COUNTS_PATH: &str = "/v1/counts";
/// `GET`: [`ServerState`].
pub const STATE_PATH: &str = "/v1/state";

/// A server's name and version, which also shows that it is alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerState {
    /// The server.
    pub engine: EngineId,
    /// The version it runs.
    pub version: VersionId,
}

/// A call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The caller's request id.
    pub request_id: RequestId,
    /// The route's operation, such as `reserve`.
    pub operation: String,
    /// The caller's body.
    pub body: serde_json::Value,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// The request it answers.
    pub request_id: RequestId,
    /// The version that ran it.
    pub version: VersionId,
    /// The result.
    pub result: serde_json::Value,
}

/// How often each request ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// `organisation/request id` with its number of runs.
    pub runs: Vec<(String, u32)>,
}
