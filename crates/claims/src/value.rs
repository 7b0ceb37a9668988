//! The stored form of a claim.

use carawayseam_types::{Digest, EnvironmentId, HostId, Incarnation, Nonce, OrganisationId, RequestId};
use serde::{Deserialize, Serialize};

/// Returns the store key of the claim on a request.
#[must_use]
pub fn claim_key(environment: &EnvironmentId, organisation: &OrganisationId, request: &RequestId) -> String {
    format!("claims/{environment}/{organisation}/{request}")
}

/// A host and its incarnation: one run of the host's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{host}#{incarnation}")]
pub struct HostIncarnation {
    /// Name of the host.
    pub host: HostId,
    /// Distinguishes this run of the process from earlier and later runs on the same host.
    pub incarnation: Incarnation,
}

/// The value stored under a claim's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// Chosen by the writer, so that it can recognise its own write after a lost response.
    pub nonce: Nonce,
    /// The host that wrote the claim, in the incarnation that wrote it.
    pub owner: HostIncarnation,
    /// Digest of the request body; a different body under the same request id is a conflict.
    pub body: Digest,
    /// State of the request, as far as the owner has recorded it.
    pub state: ClaimState,
}

/// The state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The owner may dispatch the request at any time, or has already done so.
    Claimed,
    /// The owner released the claim before it sent any byte of the request; another host may
    /// take it over.
    Released,
    /// The request was executed.
    #[serde(rename = "ran")]
    Completed {
        /// The response of the service.
        #[serde(rename = "answer")]
        response: serde_json::Value,
    },
}

/// A claim as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// Value stored under the key.
    pub value: ClaimValue,
    /// Revision of the key in the store.
    pub revision: u64,
}
