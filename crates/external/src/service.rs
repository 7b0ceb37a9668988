//! Plain services, such as order and pass services. Some of their calls are not idempotent.

use carawayseam_types::{EngineId, OrganisationId, RequestId, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`Call`] returns [`CallResponse`].
pub const CALL_PATH: &str = "/v1/call";
/// `GET` returns [`Counts`], which reveal a call that ran twice.
pub const COUNTS_PATH: &str = "/v1/counts";
/// `GET` returns [`ServerState`].
pub const STATE_PATH: &str = "/v1/state";

/// The name and version of a server; the response also serves as a liveness check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerState {
    /// The server.
    pub engine: EngineId,
    /// The version that the server runs.
    pub version: VersionId,
}

/// A call to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The caller's request id.
    pub request_id: RequestId,
    /// The route's operation, such as `reserve`.
    pub operation: String,
    /// The body of the caller's request.
    pub body: serde_json::Value,
}

/// The response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallResponse {
    /// The id of the request that was called.
    pub request_id: RequestId,
    /// The version that ran the call.
    pub version: VersionId,
    /// The result.
    pub result: serde_json::Value,
}

/// The number of runs of each request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Pairs of `organisation/request id` and the number of runs.
    pub runs: Vec<(String, u32)>,
}
