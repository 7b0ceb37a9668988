//! A request as the scheduler sees it.

use carawayseam_types::{
    BackendName, Digest, HostId, Millis, OrganisationId, RequestSeq, RouteName, Tier, Tokens, VersionId,
};
use serde::{Deserialize, Serialize};

/// Where a request came from.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Origin {
    /// A caller of this host.
    Caller,
    /// Another entry host, which keeps the caller's connection.
    Peer(HostId),
}

/// A request that waits for an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its number on this host.
    pub seq: RequestSeq,
    /// Where it came from; a request from a peer is never forwarded again.
    pub origin: Origin,
    /// The caller's organisation.
    pub organisation: OrganisationId,
    /// The tier it is served in.
    pub tier: Tier,
    /// The route, by which its length is predicted.
    pub route: RouteName,
    /// The model or plain service.
    pub backend: BackendName,
    /// The version that must serve it.
    pub version: VersionId,
    /// The digest of its content, by which poison is recognised.
    pub content: Digest,
    /// The digest of the prompt's shared beginning, for cache affinity.
    pub prefix: Digest,
    /// The length of the shared beginning.
    pub prefix_tokens: Tokens,
    /// The prompt's length; 0 for plain services.
    pub prompt_tokens: Tokens,
    /// The longest answer allowed; 0 for plain services.
    pub max_output: Tokens,
    /// Tokens that the caller already has from an earlier attempt.
    pub delivered: Tokens,
    /// When the whole answer is due.
    pub deadline: Millis,
    /// Whether it may run twice without harm. Others get one dispatch at most.
    pub idempotent: bool,
}
