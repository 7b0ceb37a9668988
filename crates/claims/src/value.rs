//! What the store holds of a claim.

use carawayseam_types::{Digest, EnvironmentId, HostId, Incarnation, Nonce, OrganisationId, RequestId};
use serde::{Deserialize, Serialize};

/// The key of a request's claim.
#[must_use]
pub fn claim_key(environment: &EnvironmentId, organisation: &OrganisationId, request: &RequestId) -> String {
    format!("claims/{environment}/{organisation}/{request}")
}

/// One life of one host.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{host}#{incarnation}")]
pub struct HostIncarnation {
    /// The host.
    pub host: HostId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// A claim's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimValue {
    /// By which the writer knows its own write again.
    pub nonce: Nonce,
    /// Who wrote it.
    pub owner: HostIncarnation,
    /// The digest of the caller's body; another body under the same id is a conflict.
    pub body: Digest,
    /// How far the request has come.
    pub state: ClaimState,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// It may be dispatched at any time by its owner, or was.
    Claimed,
    /// Its owner gave it up before any byte left; another may take it over.
    Released,
    /// It ran.
    #[serde(rename = "ran")]
    Completed {
        /// The service's answer.
        #[serde(rename = "answer")]
        response: serde_json::Value,
    },
}

/// A claim as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredClaim {
    /// The value.
    pub value: ClaimValue,
    /// The store's revision of the key.
    pub revision: u64,
}
